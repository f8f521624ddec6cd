package socket

import (
	"net"
	"os"
	"path/filepath"
	"sync"
	"testing"
)

// TestCloseKeepsOtherDescriptors guards against a listener that closes a descriptor
// twice: the second close hits a file that was opened in between. The library's own
// listener fails this test within a few rounds.
func TestCloseKeepsOtherDescriptors(t *testing.T) {
	name := filepath.Join(t.TempDir(), "f")
	if err := os.WriteFile(name, []byte("x"), 0o600); err != nil {
		t.Fatal(err)
	}
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for range 4 {
		wait.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				f, err := os.Open(name)
				if err != nil {
					t.Error(err)
					return
				}
				if _, err := f.Read(make([]byte, 1)); err != nil {
					t.Error(err)
				}
				if err := f.Close(); err != nil {
					t.Error(err)
				}
			}
		})
	}
	for range 300 {
		l, err := Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		if err := l.Close(); err != nil {
			t.Error(err)
		}
		if err := l.Close(); err != nil {
			t.Error(err)
		}
	}
	close(stop)
	wait.Wait()
}

func TestListenAndClose(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	_ = c.Close()
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if c, err := net.Dial("tcp", address); err == nil {
		_ = c.Close()
		t.Error("listener accepts connections after Close")
	}
}
