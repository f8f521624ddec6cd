package attach

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// waitTimeout bounds each wait of the tests.
const waitTimeout = 20 * time.Second

// output collects the lines that a process writes.
type output struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.buf.Write(p)
}

func (o *output) contains(text string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Contains(o.buf.String(), text)
}

// await waits until the output contains a text.
func (o *output) await(t *testing.T, text string) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if o.contains(text) {
			return
		}
	}
	t.Fatalf("the process did not log %q; it wrote:\n%s", text, o.buf.String())
}

// writeSettings writes the settings of a host whose store does not answer.
func writeSettings(t *testing.T) string {
	t.Helper()
	var text strings.Builder
	fmt.Fprintln(&text, `name = "a1"`)
	fmt.Fprintln(&text, `region = "a"`)
	fmt.Fprintln(&text, `centre = "c"`)
	for _, key := range []string{"callers", "ready", "directory", "peers", "store"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprintf(&text, "%s = %q\n", key, l.Addr())
		_ = l.Close()
	}
	fmt.Fprintln(&text, "[regions]\nc = \"a\"")
	file := filepath.Join(t.TempDir(), "settings.toml")
	if err := os.WriteFile(file, []byte(text.String()), 0o600); err != nil {
		t.Fatal(err)
	}
	return file
}

// build builds the program and returns its path.
func build(t *testing.T) string {
	t.Helper()
	program := filepath.Join(t.TempDir(), "hyssopspindle")
	if out, err := exec.Command("go", "build", "-o", program, "../../../cmd/hyssopspindle").CombinedOutput(); err != nil {
		t.Fatalf("build: %v: %s", err, out)
	}
	return program
}

// TestSignalWhileListenersOpen guards against a process that SIGTERM kills, with its connections,
// once its first listener accepts them.
func TestSignalWhileListenersOpen(t *testing.T) {
	program := build(t)
	for range 5 {
		settings := writeSettings(t)
		text, err := os.ReadFile(settings)
		if err != nil {
			t.Fatal(err)
		}
		_, rest, _ := strings.Cut(string(text), `callers = "`)
		address, _, _ := strings.Cut(rest, `"`)
		var out output
		cmd := exec.Command(program, "attach", "--settings", settings)
		cmd.Stdout, cmd.Stderr = &out, &out
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = cmd.Process.Kill() })
		for end := time.Now().Add(waitTimeout); time.Now().Before(end); {
			if c, err := net.Dial("tcp", address); err == nil {
				_ = c.Close()
				break
			}
		}
		if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Wait(); err != nil || !out.contains("host closed") {
			t.Errorf("the process ended with %v and wrote:\n%s", err, out.buf.String())
		}
	}
}

// TestSignalsDuringDrain: signals that arrive while the host drains do not end the
// process before the drain is complete.
func TestSignalsDuringDrain(t *testing.T) {
	program := build(t)
	var out output
	cmd := exec.Command(program, "attach", "--settings", writeSettings(t))
	cmd.Stdout, cmd.Stderr = &out, &out
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = cmd.Process.Kill() })
	out.await(t, "host started")
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	out.await(t, "host is draining")
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP} {
		if err := cmd.Process.Signal(s); err != nil {
			t.Fatal(err)
		}
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the process ended with %v, want a clean exit", err)
	}
	if !out.contains("host closed") {
		t.Errorf("the process did not close the host; it wrote:\n%s", out.buf.String())
	}
}
