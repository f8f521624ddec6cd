package kept

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/terms"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
)

// patience bounds what the tests wait for; none of them measures a time.
const patience = 20 * time.Second

var names = &terms.Terms{
	RequestID: "X-Id", NotRun: "X-Not-Run", Load: "X-Load",
	ReadLoad: func(v string) (terms.Load, bool) { return terms.Load{Running: 3, Slots: 8}, v == "3" },
}

// scripted is an endpoint that answers each request on a connection with the
// next text of its script; an empty one closes the connection, and "reset"
// resets it.
type scripted struct {
	net.Listener
	conns    atomic.Int64
	requests atomic.Int64
	script   []string
}

func listen(t *testing.T, script ...string) *scripted {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scripted{Listener: l, script: script}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serve(c)
		}
	}()
	return s
}

func (s *scripted) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		at := int(s.requests.Add(1)) - 1
		if at >= len(s.script) {
			return
		}
		buf := make([]byte, 4096)
		for {
			if _, err := req.Body.Read(buf); err != nil {
				break
			}
		}
		switch text := s.script[at]; text {
		case "":
			return
		case "reset":
			_ = c.(*net.TCPConn).SetLinger(0)
			return
		case "hang":
			_, _ = r.ReadByte()
			return
		default:
			if _, err := c.Write([]byte(text)); err != nil || strings.Contains(text, "Connection: close") ||
				!strings.Contains(text, "Content-Length") && !strings.Contains(text, "chunked") {
				return
			}
		}
	}
}

func answer(id, body string, more ...string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n%s\r\n%s", id, len(body), strings.Join(more, ""), body)
}

func events(list ...string) string {
	out := "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, e := range list {
		out += fmt.Sprintf("%x\r\n%s\r\n", len(e), e)
	}
	return out
}

const lastChunk = "0\r\n\r\n"

func do(c *Client, address string, change func(*Call)) (Result, string) {
	call := Call{
		Address: address, Method: "POST", Target: "/p?q=1", Host: "h", ID: "a", Body: []byte("body"),
		Deadline: time.Now().Add(patience), After: stream.NoID, MaxAnswer: 1 << 20,
	}
	if change != nil {
		change(&call)
	}
	var got strings.Builder
	out := c.Do(context.Background(), call, client.Sink{
		Head: func(wire.Head) error { return nil },
		Data: func(p []byte) error {
			got.Write(p)
			return nil
		},
	})
	return out, got.String()
}

func TestOutcomes(t *testing.T) {
	tests := []struct {
		name   string
		script string
		change func(*Call)
		whole  bool
		ran    fault.Ran
		reason retry.Reason
		body   string
	}{
		{"whole", answer("a", "hello"), nil, true, fault.RanYes, "", "hello"},
		{"an endpoint's own failure is an answer", "HTTP/1.1 500 No\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nno", nil, true, fault.RanYes, "", "no"},
		{"own failure of what is tried elsewhere", "HTTP/1.1 500 No\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nno", func(c *Call) { c.Again = true }, false, fault.RanYes, retry.Status, ""},
		{"unframed answer ends with its connection", "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nhello", nil, true, fault.RanYes, "", "hello"},
		{"says it did not run", "HTTP/1.1 503 No\r\nX-Id: a\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", nil, false, fault.RanNo, retry.Refused, ""},
		{"another endpoint has the address", "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", nil, false, fault.RanNo, retry.Refused, ""},
		{"closed without an answer", "", nil, false, fault.RanUnknown, retry.Broken, ""},
		{"reset without an answer", "reset", nil, false, fault.RanUnknown, retry.Broken, ""},
		{"no answer in time", "hang", func(c *Call) { c.HeadWait = 50 * time.Millisecond }, false, fault.RanUnknown, retry.Silent, ""},
		{"short body", "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 9\r\nConnection: close\r\n\r\nhello", nil, false, fault.RanUnknown, retry.Broken, ""},
		{"no answer at all but bytes", "what is this\r\n\r\n", nil, false, fault.RanUnknown, retry.Broken, ""},
		{"interim answer first", "HTTP/1.1 103 Early\r\n\r\n" + answer("a", "x"), nil, true, fault.RanYes, "", "x"},
		{"answer to another request first", answer("z", "foreign") + answer("a", "mine"), nil, true, fault.RanYes, "", "mine"},
		{"only an answer to another request", answer("z", "foreign", "Connection: close\r\n"), nil, false, fault.RanUnknown, retry.Broken, ""},
		{"whole stream", events("id: 0\ndata: x\n\n", "id: 1\ndata: y\n\n") + lastChunk, nil, true, fault.RanYes, "", "id: 0\ndata: x\n\nid: 1\ndata: y\n\n"},
		{"stream cut within an event", events("id: 0\ndata: x\n\n", "id: 1\nda") + lastChunk, nil, false, fault.RanUnknown, retry.Broken, "id: 0\ndata: x\n\n"},
		{"stream without its end", events("id: 0\ndata: x\n\n") + "Connection: close", nil, false, fault.RanUnknown, retry.Broken, "id: 0\ndata: x\n\n"},
		{"too large", answer("a", strings.Repeat("x", 100)), func(c *Call) { c.MaxAnswer = 10 }, false, fault.RanUnknown, retry.Broken, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := listen(t, tt.script)
			c := &Client{Pool: NewPool(), Terms: names, Now: time.Now}
			defer c.Pool.Close()
			out, body := do(c, s.Addr().String(), tt.change)
			if out.Whole != tt.whole || out.Ran != tt.ran || out.Reason != tt.reason || body != tt.body {
				t.Errorf("whole %v, ran %s, reason %q, body %q (%v)", out.Whole, out.Ran, out.Reason, body, out.Err)
			}
			if n := s.requests.Load(); n != 1 {
				t.Errorf("endpoint got %d requests", n)
			}
		})
	}
}

func TestDialFailureDidNotRun(t *testing.T) {
	l := listen(t)
	address := l.Addr().String()
	_ = l.Close()
	out, _ := do(&Client{Pool: NewPool(), Terms: names, Now: time.Now}, address, nil)
	if out.Ran != fault.RanNo || out.Reason != retry.Dial {
		t.Errorf("ran %s, reason %s", out.Ran, out.Reason)
	}
}

func TestKeepsConnections(t *testing.T) {
	tests := []struct {
		name  string
		first string
		conns int64
	}{
		{"framed answer", answer("a", "x"), 1},
		{"endpoint says close", answer("a", "x", "Connection: close\r\n"), 2},
		{"endpoint's idle time is over", answer("a", "x", "Keep-Alive: timeout=0\r\n"), 2},
		{"bytes after the answer", answer("a", "x") + answer("z", "extra"), 2},
		{"stream", events("id: 0\ndata: x\n\n") + lastChunk, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := listen(t, tt.first, answer("a", "second"))
			c := &Client{Pool: NewPool(), Terms: names, Now: time.Now}
			defer c.Pool.Close()
			for range 2 {
				if out, _ := do(c, s.Addr().String(), nil); !out.Whole {
					t.Fatalf("not whole: %v", out.Err)
				}
			}
			if n := s.conns.Load(); n != tt.conns {
				t.Errorf("%d connections, want %d", n, tt.conns)
			}
		})
	}
}

// TestLateBytesCloseAKeptConnection: an extra answer that comes while the
// connection is unused is never taken for the next request's.
func TestLateBytesCloseAKeptConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	unused, sent := make(chan struct{}), make(chan struct{})
	go func() {
		for first := true; ; first = false {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(c)
			_, _ = http.ReadRequest(r)
			_, _ = c.Write([]byte(answer("a", "right")))
			if first {
				<-unused
				_, _ = c.Write([]byte(answer("", "late")))
				close(sent)
			}
		}
	}()
	c := &Client{Pool: NewPool(), Terms: names, Now: time.Now}
	defer c.Pool.Close()
	for i := range 2 {
		_, body := do(c, l.Addr().String(), nil)
		if body != "right" {
			t.Fatalf("request %d got %q", i, body)
		}
		if i == 0 {
			close(unused)
		}
		<-sent
	}
}

// TestSweepAndIdleLife: an unused connection is not taken once its time is over.
func TestSweepAndIdleLife(t *testing.T) {
	s := listen(t, answer("a", "x", "Keep-Alive: timeout=2\r\n"), answer("a", "y"))
	now := time.Now()
	c := &Client{Pool: NewPool(WithNow(func() time.Time { return now })), Terms: names, Now: time.Now}
	defer c.Pool.Close()
	do(c, s.Addr().String(), nil)
	now = now.Add(2 * time.Second)
	do(c, s.Addr().String(), nil)
	if n := s.conns.Load(); n != 2 {
		t.Errorf("%d connections, want 2", n)
	}
	now = now.Add(time.Hour)
	c.Pool.Sweep(now)
	if len(c.Pool.idle) != 0 {
		t.Error("sweep left connections")
	}
}

func TestLongBodyIsWrittenWhole(t *testing.T) {
	s := listen(t, answer("a", "x"), answer("a", "y"))
	c := &Client{Pool: NewPool(), Terms: names, Now: time.Now}
	defer c.Pool.Close()
	for range 2 {
		out, _ := do(c, s.Addr().String(), func(c *Call) { c.Body = make([]byte, 1<<20) })
		if !out.Whole {
			t.Fatalf("not whole: %v", out.Err)
		}
	}
}

// TestEarlyAnswerToALongBody: the rest of the body is never followed by another
// request before it was written.
func TestEarlyAnswerToALongBody(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(c)
			if _, err := http.ReadRequest(r); err != nil {
				continue
			}
			_, _ = c.Write([]byte("HTTP/1.1 413 No\r\nX-Id: a\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"))
		}
	}()
	c := &Client{Pool: NewPool(), Terms: names, Now: time.Now}
	defer c.Pool.Close()
	for range 2 {
		out, _ := do(c, l.Addr().String(), func(c *Call) { c.Body = make([]byte, 32<<20) })
		if out.Ran != fault.RanNo || out.Status != http.StatusRequestEntityTooLarge {
			t.Fatalf("ran %s, status %d: %v", out.Ran, out.Status, out.Err)
		}
	}
	if n := len(c.Pool.idle); n != 0 {
		t.Error("a connection with an unwritten body was kept")
	}
}

func TestCallerLeaves(t *testing.T) {
	s := listen(t, "hang")
	c := &Client{Pool: NewPool(), Terms: names, Now: time.Now}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for s.requests.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	out := c.Do(ctx, Call{
		Address: s.Addr().String(), Method: "GET", Target: "/", Host: "h", ID: "a",
		Deadline: time.Now().Add(patience), MaxAnswer: 1, After: stream.NoID,
	}, client.Sink{})
	if !out.CallerLeft || out.Whole {
		t.Errorf("caller left %v: %v", out.CallerLeft, out.Err)
	}
}

func TestResumeSkipsWhatTheCallerHas(t *testing.T) {
	s := listen(t, events("id: 3\ndata: x\n\n", "id: 4\ndata: y\n\n")+lastChunk)
	c := &Client{Pool: NewPool(), Terms: names, Now: time.Now}
	defer c.Pool.Close()
	out, body := do(c, s.Addr().String(), func(c *Call) { c.After = 3 })
	if !out.Whole || body != "id: 4\ndata: y\n\n" || out.Last != 4 {
		t.Errorf("whole %v, last %d, body %q", out.Whole, out.Last, body)
	}
}

func TestLoadIsRead(t *testing.T) {
	s := listen(t, answer("a", "x", "X-Load: 3\r\n"))
	c := &Client{Pool: NewPool(), Terms: names, Now: time.Now}
	defer c.Pool.Close()
	if out, _ := do(c, s.Addr().String(), nil); out.Load.Running != 3 || out.Load.Slots != 8 {
		t.Errorf("load %+v", out.Load)
	}
}
