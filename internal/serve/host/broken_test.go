package host

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/serve/front"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/engine"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/httpd"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/plain"
)

// post sends a request to host a1 with the client of the standard library.
func (f *fleet) post(path, body, key string) (status int, text string, err error) {
	f.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+f.settings["a1"].Callers+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set(front.TimeoutField, "5000")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(data), err
}

// logText collects log lines.
type logText struct {
	mu   sync.Mutex
	text []string
}

// Write implements io.Writer. It gets a line at a time.
func (l *logText) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text = append(l.text, string(p))
	return len(p), nil
}

// lines returns the lines with a message.
func (l *logText) lines(message string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, line := range l.text {
		if strings.Contains(line, `"message":"`+message+`"`) {
			out = append(out, line)
		}
	}
	return out
}

// TestBrokenHeadReachesCallerOfInventory guards against an answer whose head HTTP does not allow that reaches a
// caller of a service of the inventory, in the region of its endpoint or in another one. A request that may be
// repeated gets the answer of another endpoint, and the connection is closed.
func TestBrokenHeadReachesCallerOfInventory(t *testing.T) {
	const rest = "Content-Type: text/plain\r\nContent-Length: 6\r\n"
	heads := map[string]string{
		"status zero":    "HTTP/1.1 000 OK\r\n" + rest,
		"status 099":     "HTTP/1.1 099 OK\r\n" + rest,
		"other protocol": "HTTP/1.1 101 Switching Protocols\r\n\r\nHTTP/1.1 200 OK\r\n" + rest,
		"version 2":      "HTTP/2.0 200 OK\r\n" + rest,
		"blank in name":  "HTTP/1.1 200 OK\r\nX Odd: 1\r\n" + rest,
		"blank behind":   "HTTP/1.1 200 OK\r\nX-Odd : 1\r\n" + rest,
		"length":         "HTTP/1.1 200 OK\r\nContent-Length : 6\r\n",
		"control byte":   "HTTP/1.1 200 OK\r\nX\x01Odd: 1\r\n" + rest,
	}
	for region, where := range map[string]string{"a": "local", "b": "relayed"} {
		t.Run(where, func(t *testing.T) {
			t.Parallel()
			log := &logText{}
			f := newFleet(t, plan{
				hosts: map[string]string{"a1": "a", "b1": "b"}, log: log,
				engines: map[string]string{"e1": region, "e2": region}, plains: map[string]string{"p1": region},
			})
			left := func() int { return f.engines["e1"].Left() + f.engines["e2"].Left() + f.plains["p1"].Left() }
			check := func(name, path, body, key string) {
				t.Helper()
				before := left()
				status, text, err := f.post(path, body, key)
				// A request that may be repeated can end as no other endpoint is left.
				refused := status == http.StatusBadGateway || key == "" && status == http.StatusServiceUnavailable
				if !refused || strings.Contains(text, "broken") || !strings.Contains(text, `"ran":"unknown"`) || err != nil {
					t.Errorf("%s: got status %d, body %.200q, error %v, want a refusal that says it may have run", name, status, text, err)
					return
				}
				f.eventually("the connection of the broken answer is closed", func() bool { return left() > before })
			}
			// One of two engines is broken: each request gets an answer of the other.
			raw := httpd.Raw{Text: heads["status zero"] + "\r\nbroken", Stay: true}
			f.engines["e1"].SetFault(engine.Fault{Raw: raw})
			for i := range 8 {
				if status, text, err := f.post(chatPath, chatBody(2, i%2 == 0), ""); status != http.StatusOK || strings.Contains(text, "broken") || err != nil {
					t.Errorf("one broken engine of two: got status %d, body %.200q, error %v", status, text, err)
				}
			}
			if f.engines["e1"].Left() == 0 {
				t.Error("no request reached the broken engine")
			}
			if failed := log.lines("attempt failed"); len(failed) == 0 || !strings.Contains(failed[0], `status \"000\"`) || !strings.Contains(failed[0], `"endpoint":"e1"`) {
				t.Errorf("the log does not show what was broken: %q", failed)
			}
			prefix := f.operationPrefix("a1")
			for name, head := range heads {
				raw := httpd.Raw{Text: head + "\r\nbroken", Stay: true}
				f.plains["p1"].SetFault(plain.Fault{Raw: raw})
				check(name+", operation", orderPath, "x", fmt.Sprintf("%s.%s", prefix, strings.ReplaceAll(name, " ", "-")))
				for _, e := range f.engines {
					e.SetFault(engine.Fault{Raw: raw})
				}
				check(name+", completion", chatPath, chatBody(2, false), "")
				check(name+", stream", chatPath, chatBody(2, true), "")
			}
		})
	}
}

// TestEarlyAnswerWithoutLengthThatIsResetOfInventory guards against a part of an answer that reaches its caller as the
// whole: the endpoint answers a long upload at once without a length, and resets the connection while it is written.
func TestEarlyAnswerWithoutLengthThatIsResetOfInventory(t *testing.T) {
	for region, where := range map[string]string{"a": "local", "b": "relayed"} {
		t.Run(where, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, plan{hosts: map[string]string{"a1": "a", "b1": "b"}, plains: map[string]string{"p1": region}})
			prefix := f.operationPrefix("a1")
			n := 0
			for _, read := range []int{0, 4 << 10, 256 << 10} {
				for _, pause := range []time.Duration{0, 2 * time.Millisecond, 20 * time.Millisecond, 1200 * time.Millisecond} {
					f.plains["p1"].SetFault(plain.Fault{Raw: httpd.Raw{
						Text: "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\npart", Early: true, Read: read, Pause: pause, Reset: true,
					}})
					for _, size := range []int{1 << 10, 64 << 10, 300 << 10, 4 << 20, f.settings["a1"].Limits.Body} {
						n++
						status, text, err := f.post(orderPath, strings.Repeat("u", size), fmt.Sprint(prefix, ".", n))
						if status != http.StatusBadGateway || strings.Contains(text, "part") || !strings.Contains(text, `"ran":"unknown"`) || err != nil {
							t.Errorf("upload of %d bytes, read %d, reset after %v: got status %d, body %.200q, error %v", size, read, pause, status, text, err)
						}
					}
				}
			}
			if got := len(f.plains["p1"].Effects()); got < n {
				t.Errorf("%d of %d requests reached the endpoint", got, n)
			}
		})
	}
}
