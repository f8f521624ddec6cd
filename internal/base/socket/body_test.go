package socket

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

const (
	bodyEvent = "data: x\n\n"
	// bodyTimeout bounds each wait of these tests.
	bodyTimeout = 10 * time.Second
	// childVariable has the address file of a process that TestKilledHostEndsStream starts.
	childVariable = "HYSSOPSPINDLE_TEST_STREAM"
)

// startStreams starts a server that starts a stream for each request and ends it as end does. It
// returns its address.
func startStreams(t *testing.T, end func(ctx context.Context, c *app.RequestContext)) string {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	hz := server.New(
		server.WithListener(l), server.WithTransport(NewTransporter), server.WithDisablePrintRoute(true), server.WithSenseClientDisconnection(true),
		server.WithExitWaitTime(10*time.Millisecond), server.WithWriteTimeout(100*time.Millisecond),
	)
	hz.NoRoute(func(ctx context.Context, c *app.RequestContext) {
		c.Response.Header.Set("Content-Type", "text/event-stream")
		c.SetStatusCode(200)
		StartStream(c)
		_, _ = c.WriteString(bodyEvent)
		_ = c.Flush()
		end(ctx, c)
	})
	Run(hz, func(err error) { t.Error(err) })
	t.Cleanup(func() { _ = Shutdown(hz, 10*time.Millisecond) })
	return l.Addr().String()
}

// dialStream sends requests of a version of HTTP on a new connection, which is to end after a single
// one.
func dialStream(t *testing.T, address, version string, requests int) *net.TCPConn {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(bodyTimeout))
	request := "GET /x " + version + "\r\nHost: h\r\n"
	if requests == 1 {
		request += "Connection: close\r\n"
	}
	if _, err := io.WriteString(nc, strings.Repeat(request+"\r\n", requests)); err != nil {
		t.Fatal(err)
	}
	c, _ := nc.(*net.TCPConn)
	return c
}

// readToEnd returns all bytes of a connection, and whether the one answer in them ended as whole.
func readToEnd(c net.Conn, version string) (all []byte, whole bool) {
	var b bytes.Buffer
	_, err := io.Copy(&b, bufio.NewReader(c))
	if version == "HTTP/1.0" {
		return b.Bytes(), err == nil && bytes.Contains(b.Bytes(), []byte("\r\n\r\n"))
	}
	return b.Bytes(), bytes.Contains(b.Bytes(), []byte("\r\n0\r\n"))
}

// TestBrokenStreamLooksWhole guards against a stream that its host does not complete and that ends
// for its caller as if it were complete, however the host ends it.
func TestBrokenStreamLooksWhole(t *testing.T) {
	const rounds = 25
	large := bytes.Repeat([]byte(bodyEvent), 1<<20)
	for _, tt := range []struct {
		name string
		end  func(ctx context.Context, c *app.RequestContext)
		// slow reports whether the caller reads late, halfClosed whether it closes its sending side.
		slow, halfClosed bool
		whole            bool
	}{
		{"completed", func(context.Context, *app.RequestContext) {}, false, false, true},
		{"completed before the caller reads", func(_ context.Context, c *app.RequestContext) { _, _ = c.Write(large[:1<<16]) }, true, false, true},
		{"broken", func(_ context.Context, c *app.RequestContext) { BreakStream(c) }, false, false, false},
		{"broken with data that was not flushed", func(_ context.Context, c *app.RequestContext) {
			_, _ = c.Write(large[:1<<10])
			BreakStream(c)
		}, false, false, false},
		{"broken twice", func(_ context.Context, c *app.RequestContext) { BreakStream(c); BreakStream(c) }, false, false, false},
		{"closed", func(_ context.Context, c *app.RequestContext) { _ = c.GetConn().Close() }, false, false, false},
		{"write timeout", func(_ context.Context, c *app.RequestContext) {
			_, _ = c.Write(large)
			if c.Flush() == nil {
				panic("no timeout")
			}
			_ = c.GetConn().Close()
		}, true, false, false},
		{"write timeout, then completed", func(_ context.Context, c *app.RequestContext) {
			_, _ = c.Write(large)
			_ = c.Flush()
		}, true, false, false},
		{"half-closed by the caller", func(ctx context.Context, c *app.RequestContext) {
			<-ctx.Done()
			_ = c.GetConn().Close()
		}, false, true, false},
	} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(tt.name+" "+version, func(t *testing.T) {
				address := startStreams(t, tt.end)
				n := rounds
				if tt.slow {
					n = 2
				}
				for range n {
					requests := 1
					if !tt.whole && !tt.halfClosed {
						requests = 2
					}
					c := dialStream(t, address, version, requests)
					if tt.halfClosed {
						_ = c.CloseWrite()
					}
					if tt.slow {
						time.Sleep(300 * time.Millisecond)
					}
					all, whole := readToEnd(c, version)
					if whole != tt.whole {
						t.Fatalf("whole %v, want %v: %d bytes, the last of them %q", whole, tt.whole, len(all), all[max(0, len(all)-40):])
					}
					if heads := bytes.Count(all, []byte("HTTP/1.1 ")); heads > 1 {
						t.Fatalf("%d answers on a connection whose first was broken off", heads)
					}
				}
			})
		}
	}
}

// TestKilledHostEndsStream guards against a stream that ends for its caller as complete because its
// host's process ended.
func TestKilledHostEndsStream(t *testing.T) {
	if path := os.Getenv(childVariable); path != "" {
		address := startStreams(t, func(context.Context, *app.RequestContext) { select {} })
		if err := os.WriteFile(path+".new", []byte(address), 0o600); err == nil {
			_ = os.Rename(path+".new", path)
		}
		time.Sleep(bodyTimeout)
		return
	}
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		path := t.TempDir() + "/address"
		child := exec.Command(os.Args[0], "-test.run=^TestKilledHostEndsStream$")
		child.Env = append(os.Environ(), childVariable+"="+path)
		if err := child.Start(); err != nil {
			t.Fatal(err)
		}
		var address []byte
		for end := time.Now().Add(bodyTimeout); len(address) == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			address, _ = os.ReadFile(path)
		}
		c := dialStream(t, string(address), version, 1)
		var first [1]byte
		_, err := io.ReadFull(c, first[:])
		err = errors.Join(err, child.Process.Signal(syscall.SIGKILL))
		_ = child.Wait()
		if err != nil {
			t.Fatal(err)
		}
		if all, whole := readToEnd(c, version); whole {
			t.Errorf("%s: the stream ends as whole after %q", version, all)
		}
	}
}

// TestEndOfStreamFollowsHead guards against the last chunk of a stream behind the head that a caller
// asked for alone: it would be read as the beginning of the next answer.
func TestEndOfStreamFollowsHead(t *testing.T) {
	address := serve(t, bodyTimeout, bodyTimeout, func(_ context.Context, c *app.RequestContext) {
		c.Response.Header.Set("Content-Type", "text/event-stream")
		c.SetStatusCode(http.StatusOK)
		StartStream(c)
	})
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = nc.Close() }()
	_ = nc.SetDeadline(time.Now().Add(bodyTimeout))
	if _, err := io.WriteString(nc, "HEAD /x HTTP/1.1\r\nHost: h\r\n\r\nGET /x HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(nc)
	for _, method := range []string{http.MethodHead, http.MethodGet} {
		resp, err := http.ReadResponse(r, &http.Request{Method: method})
		if err != nil {
			t.Fatalf("%s: %v", method, err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Errorf("%s: %v", method, err)
		}
		_ = resp.Body.Close()
	}
}
