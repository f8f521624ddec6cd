package pool

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"strconv"
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

// testTimeout bounds each wait of the tests; none of them measures a time.
const testTimeout = 20 * time.Second

var testTerms = &terms.Terms{
	RequestID: "X-Id", NotRun: "X-Not-Run", Load: "X-Load",
	ParseLoad: func(v string) (terms.Load, bool) { return terms.Load{Running: 3, Slots: 8}, v == "3" },
	ParseDecimal: func(v string) (float64, bool) {
		n, err := strconv.ParseFloat(v, 64)
		return n, err == nil
	},
}

// scriptedEndpoint answers each request, on any connection, with the next text of its
// script. An empty text closes the connection, "reset" resets it, and "hang" sends no answer.
type scriptedEndpoint struct {
	net.Listener
	conns    atomic.Int64
	requests atomic.Int64
	script   []string
}

func listen(t *testing.T, script ...string) *scriptedEndpoint {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedEndpoint{Listener: l, script: script}
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

func (s *scriptedEndpoint) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		n := int(s.requests.Add(1)) - 1
		if n >= len(s.script) {
			return
		}
		buf := make([]byte, 4096)
		for {
			if _, err := req.Body.Read(buf); err != nil {
				break
			}
		}
		switch text := s.script[n]; text {
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

const chunkedHead = "HTTP/1.1 200 OK\r\nX-Id: a\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n"

const lastChunk = "0\r\n\r\n"

func do(c *Client, address string, change func(*Attempt)) (Result, string) {
	attempt := Attempt{
		Address: address, Method: "POST", Target: "/p?q=1", Host: "h", ID: "a", Body: []byte("body"),
		Deadline: time.Now().Add(testTimeout), LastEventID: stream.NoID, MaxAnswerBytes: 1 << 20,
	}
	if change != nil {
		change(&attempt)
	}
	var got strings.Builder
	out := c.Do(context.Background(), attempt, client.Sink{
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
		change func(*Attempt)
		whole  bool
		ran    fault.Ran
		reason retry.Reason
		body   string
	}{
		{"whole", answer("a", "hello"), nil, true, fault.RanYes, "", "hello"},
		{"error answer is passed on", "HTTP/1.1 500 No\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nno", nil, true, fault.RanYes, "", "no"},
		{"error answer that is retried", "HTTP/1.1 500 No\r\nX-Id: a\r\nContent-Length: 2\r\n\r\nno", func(a *Attempt) { a.RetryServerErrors = true }, false, fault.RanYes, retry.Status, ""},
		{"unframed answer ends with its connection", "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nhello", nil, true, fault.RanYes, "", "hello"},
		{"endpoint states that it did not run the request", "HTTP/1.1 503 No\r\nX-Id: a\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", nil, false, fault.RanNo, retry.Refused, ""},
		{"another endpoint has the address", "HTTP/1.1 421 No\r\nContent-Length: 0\r\n\r\n", nil, false, fault.RanNo, retry.Refused, ""},
		{"closed without an answer", "", nil, false, fault.RanUnknown, retry.Broken, ""},
		{"reset without an answer", "reset", nil, false, fault.RanUnknown, retry.Broken, ""},
		{"no answer in time", "hang", func(a *Attempt) { a.HeadTimeout = 50 * time.Millisecond }, false, fault.RanUnknown, retry.Silent, ""},
		{"short body", "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 9\r\nConnection: close\r\n\r\nhello", nil, false, fault.RanUnknown, retry.Broken, ""},
		{"bytes that are not an answer", "what is this\r\n\r\n", nil, false, fault.RanUnknown, retry.Broken, ""},
		{"interim answer first", "HTTP/1.1 103 Early\r\n\r\n" + answer("a", "x"), nil, true, fault.RanYes, "", "x"},
		{"answer to another request first", answer("z", "foreign") + answer("a", "mine"), nil, true, fault.RanYes, "", "mine"},
		{"only an answer to another request", answer("z", "foreign", "Connection: close\r\n"), nil, false, fault.RanUnknown, retry.Broken, ""},
		{"whole stream", events("id: 0\ndata: x\n\n", "id: 1\ndata: y\n\n") + lastChunk, nil, true, fault.RanYes, "", "id: 0\ndata: x\n\nid: 1\ndata: y\n\n"},
		{"stream cut within an event", events("id: 0\ndata: x\n\n", "id: 1\nda") + lastChunk, nil, false, fault.RanUnknown, retry.Broken, "id: 0\ndata: x\n\n"},
		{"stream without chunks", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: x\n\n", nil, true, fault.RanYes, "", "data: x\n\n"},
		{"stream with an empty line at its end", events("data: x\n\n", "\r\n") + lastChunk, nil, true, fault.RanYes, "", "data: x\n\n"},
		{"stream without chunks cut within an event", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: x\n\ndata: y\n", nil, false, fault.RanUnknown, retry.Broken, "data: x\n\n"},
		{"stream without its end", events("id: 0\ndata: x\n\n") + "Connection: close", nil, false, fault.RanUnknown, retry.Broken, "id: 0\ndata: x\n\n"},
		{"answer marked as not run", answer("a", "x", "X-Not-Run: 1\r\n"), nil, false, fault.RanUnknown, retry.Status, ""},
		{"answer marked as run", answer("a", "x", "X-Not-Run: 0\r\n"), nil, true, fault.RanYes, "", "x"},
		{"busy without the mark", strings.Replace(answer("a", "x"), "200 OK", "429 No", 1), func(a *Attempt) { a.RetryServerErrors = true }, false, fault.RanYes, retry.Status, ""},
		{"short stream", strings.Replace(events()+"id: 0\ndata: x\n\n", "Transfer-Encoding: chunked", "Connection: close\r\nContent-Length: 99", 1), nil, false, fault.RanUnknown, retry.Broken, "id: 0\ndata: x\n\n"},
		{"chunks without the last one", chunkedHead + "5\r\nhello\r\n", nil, false, fault.RanUnknown, retry.Broken, ""},
		{"chunk that ends early", chunkedHead + "9\r\nhello", nil, false, fault.RanUnknown, retry.Broken, ""},
		{"chunks that end within the last one", chunkedHead + "5\r\nhello\r\n0\r\n", nil, false, fault.RanUnknown, retry.Broken, ""},
		{"chunks with an error status without the last one", strings.Replace(chunkedHead, "200 OK", "500 No", 1) + "5\r\nhello\r\n", nil, false, fault.RanUnknown, retry.Broken, ""},
		{"too large", answer("a", strings.Repeat("x", 100)), func(a *Attempt) { a.MaxAnswerBytes = 10 }, false, fault.RanUnknown, retry.Oversize, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := listen(t, tt.script)
			c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
			defer c.Pool.Close()
			out, body := do(c, s.Addr().String(), tt.change)
			if out.Whole != tt.whole || out.Ran != tt.ran || out.Reason != tt.reason || body != tt.body {
				t.Errorf("got whole %v, ran %s, reason %q, body %q (error %v)", out.Whole, out.Ran, out.Reason, body, out.Err)
			}
			if n := s.requests.Load(); n != 1 {
				t.Errorf("endpoint received %d requests, want 1", n)
			}
		})
	}
}

func TestDialFailureDidNotRun(t *testing.T) {
	l := listen(t)
	address := l.Addr().String()
	_ = l.Close()
	out, _ := do(&Client{Pool: New(), Terms: testTerms, Now: time.Now}, address, nil)
	if out.Ran != fault.RanNo || out.Reason != retry.Dial {
		t.Errorf("ran %s, reason %s, want no and dial", out.Ran, out.Reason)
	}
}

func TestReusesConnections(t *testing.T) {
	tests := []struct {
		name  string
		first string
		conns int64
	}{
		{"framed answer", answer("a", "x"), 1},
		{"endpoint sends Connection: close", answer("a", "x", "Connection: close\r\n"), 2},
		{"endpoint's keep-alive timeout is 0", answer("a", "x", "Keep-Alive: timeout=0\r\n"), 2},
		{"endpoint's keep-alive timeout overflows a duration", answer("a", "x", "Keep-Alive: timeout=9999999999\r\n"), 1},
		{"endpoint's keep-alive timeout overflows an integer", answer("a", "x", "Keep-Alive: timeout=99999999999999999999\r\n"), 1},
		{"bytes after the answer", answer("a", "x") + answer("z", "extra"), 2},
		{"stream", events("id: 0\ndata: x\n\n") + lastChunk, 1},
		{"answer without an id", "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx", 2},
		{"answer after one to another request", answer("z", "foreign") + answer("a", "x"), 2},
		{"answer without a length", "HTTP/1.1 200 OK\r\nX-Id: a\r\n\r\nx", 2},
		{"stream without chunks", "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Type: text/event-stream\r\n\r\ndata: x\n\n", 2},
		{"answer without a length that asks to keep the connection", "HTTP/1.0 200 OK\r\nX-Id: a\r\nConnection: keep-alive\r\n\r\nx", 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := listen(t, tt.first, answer("b", "second"))
			c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
			defer c.Pool.Close()
			for _, id := range []string{"a", "b"} {
				if out, _ := do(c, s.Addr().String(), func(a *Attempt) { a.ID = id }); !out.Whole {
					t.Fatalf("answer is not whole: %v", out.Err)
				}
			}
			if n := s.conns.Load(); n != tt.conns {
				t.Errorf("got %d connections, want %d", n, tt.conns)
			}
		})
	}
}

// TestHealthChecksLeaveConnectionsReusable guards against a health check, which has no id and whose
// answer has none, closing its connection or marking the endpoint as one whose answers lack ids.
func TestHealthChecksLeaveConnectionsReusable(t *testing.T) {
	const healthy = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	// A dash stands for a health check, any other letter for a request with that id.
	for name, ids := range map[string]string{"check first": "-a-b--c", "request first": "a-b--c"} {
		t.Run(name, func(t *testing.T) {
			var script []string
			for _, id := range ids {
				if id == '-' {
					script = append(script, healthy)
				} else {
					script = append(script, answer(string(id), "x"))
				}
			}
			s := listen(t, script...)
			c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
			defer c.Pool.Close()
			for i, id := range ids {
				out, _ := do(c, s.Addr().String(), func(a *Attempt) { a.ID = strings.Trim(string(id), "-") })
				if !out.Whole || out.Reused != (i > 0) {
					t.Errorf("attempt %d of %s: whole %v, reused %v, want a whole answer, and all but the first reused: %v", i, ids, out.Whole, out.Reused, out.Err)
				}
			}
			if n := s.conns.Load(); n != 1 {
				t.Errorf("got %d connections, want 1", n)
			}
		})
	}
}

// TestLateBytesCloseAPooledConnection: an endpoint sends an extra answer while the
// connection is idle. It must not be taken for the answer to the next request.
func TestLateBytesCloseAPooledConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	idle, sent := make(chan struct{}), make(chan struct{})
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
				<-idle
				_, _ = c.Write([]byte(answer("", "late")))
				close(sent)
			}
		}
	}()
	c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
	defer c.Pool.Close()
	for i := range 2 {
		_, body := do(c, l.Addr().String(), nil)
		if body != "right" {
			t.Fatalf("request %d got the answer %q, want \"right\"", i, body)
		}
		if i == 0 {
			close(idle)
		}
		<-sent
	}
}

// TestRepeatedAnswersReachNoOtherRequest guards against an answer that an endpoint sends a second
// time, when the connection carries the next request already: the next caller must not get it,
// also if it states that the request was not run.
func TestRepeatedAnswersReachNoOtherRequest(t *testing.T) {
	const own = "own answer"
	refused := func(id string) string {
		return "HTTP/1.1 503 No\r\n" + id + "X-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	}
	for _, tt := range []struct {
		name, first, late string
		// nextID is the id of the second request.
		nextID string
	}{
		{"id of the first request", answer("a", "first"), answer("a", "late"), "b"},
		{"another id", answer("a", "first"), answer("z", "late"), "b"},
		{"no id", answer("a", "first"), strings.Replace(answer("a", "late"), "X-Id: a\r\n", "", 1), "b"},
		{"chunks, no id", answer("a", "first"), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nlate\r\n" + lastChunk, "b"},
		{"stream", events("data: x\n\n") + lastChunk, events("data: late\n\n") + lastChunk, "b"},
		{"stream, no id", answer("a", "first"), strings.Replace(events("data: late\n\n")+lastChunk, "X-Id: a\r\n", "", 1), "b"},
		{"refusal", refused("X-Id: a\r\n"), refused("X-Id: a\r\n"), "b"},
		{"refusal, no id", answer("a", "first"), refused(""), "b"},
		{"refusal, the same request again", refused("X-Id: a\r\n"), refused("X-Id: a\r\n"), "a"},
		{"answer, the same request again", answer("a", "first"), answer("a", "late"), "a"},
		{"no id, up to the end of the connection", answer("a", "first"), "HTTP/1.1 200 OK\r\n\r\nlate", "b"},
		{"two copies", answer("a", "first"), answer("a", "late") + answer("a", "late"), "b"},
		{"bytes that are no answer", answer("a", "first"), "late", "b"},
	} {
		t.Run(tt.name, func(t *testing.T) {
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
					go serveLate(c, tt.first, tt.late, own)
				}
			}()
			c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
			defer c.Pool.Close()
			if out, _ := do(c, l.Addr().String(), nil); out.Status == 0 {
				t.Fatalf("first request: %v", out.Err)
			}
			out, body := do(c, l.Addr().String(), func(a *Attempt) {
				a.ID, a.HeadTimeout = tt.nextID, time.Second
				if tt.nextID == "a" {
					a.Target = "/again"
				}
			})
			if body != "" && body != own || out.Ran == fault.RanNo || (out.Whole && body != own) {
				t.Errorf("second request got %q, whole %v, ran %s (error %v), want its own answer or none, and no word that it did not run", body, out.Whole, out.Ran, out.Err)
			}
		})
	}
}

// TestAnswersWithoutIDsCostOneRequest: an endpoint that leaves the id out of some answers holds
// one request up, not each one that reuses a connection.
func TestAnswersWithoutIDsCostOneRequest(t *testing.T) {
	const unnamed = "HTTP/1.1 503 No\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n"
	s := listen(t, answer("a", "x"), unnamed, unnamed, answer("d", "y"), unnamed)
	c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
	defer c.Pool.Close()
	for i, want := range []fault.Ran{fault.RanYes, fault.RanUnknown, fault.RanNo, fault.RanYes, fault.RanNo} {
		out, _ := do(c, s.Addr().String(), func(a *Attempt) { a.ID, a.HeadTimeout = string(rune('a'+i)), 200*time.Millisecond })
		if out.Ran != want {
			t.Errorf("request %d: ran %s, want %s (error %v)", i, out.Ran, want, out.Err)
		}
	}
}

// serveLate answers the first request of a connection with first and each later one with late,
// followed by the own answer. A request for /again is answered whole on any connection.
func serveLate(c net.Conn, first, late, own string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for n := 0; ; n++ {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		text := first
		if n > 0 {
			// The repeated answer ends up to the connection if it has no length.
			if text = late; strings.Contains(late, "Length") || strings.Contains(late, "chunked") {
				text += answer("b", own)
			}
		} else if req.RequestURI == "/again" {
			text = answer("a", own)
		}
		if _, err := c.Write([]byte(text)); err != nil || n > 0 {
			return
		}
	}
}

// TestSweepAndKeepAliveTimeout: an idle connection is not reused after its keep-alive
// timeout, and Sweep closes it.
func TestSweepAndKeepAliveTimeout(t *testing.T) {
	s := listen(t, answer("a", "x", "Keep-Alive: timeout=2\r\n"), answer("a", "y"))
	now := time.Now()
	c := &Client{Pool: New(WithNow(func() time.Time { return now })), Terms: testTerms, Now: time.Now}
	defer c.Pool.Close()
	do(c, s.Addr().String(), nil)
	now = now.Add(2 * time.Second)
	do(c, s.Addr().String(), nil)
	if n := s.conns.Load(); n != 2 {
		t.Errorf("got %d connections, want 2", n)
	}
	now = now.Add(time.Hour)
	c.Pool.Sweep(now)
	if len(c.Pool.idle) != 0 {
		t.Error("expired connections remain in the pool after Sweep")
	}
}

func TestLongBodyIsWrittenWhole(t *testing.T) {
	s := listen(t, answer("a", "x"), answer("a", "y"))
	c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
	defer c.Pool.Close()
	for range 2 {
		out, _ := do(c, s.Addr().String(), func(a *Attempt) { a.Body = make([]byte, 1<<20) })
		if !out.Whole {
			t.Fatalf("answer is not whole: %v", out.Err)
		}
	}
}

// TestEarlyAnswerToALongBody: an endpoint answers before it has read the body. The
// connection must not be reused while the body is being written, as the next request
// would follow an incomplete one.
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
	c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
	defer c.Pool.Close()
	for range 2 {
		out, _ := do(c, l.Addr().String(), func(a *Attempt) { a.Body = make([]byte, 32<<20) })
		if out.Ran != fault.RanNo || out.Status != http.StatusRequestEntityTooLarge {
			t.Fatalf("ran %s, status %d, want no and 413 (error %v)", out.Ran, out.Status, out.Err)
		}
	}
	if n := len(c.Pool.idle); n != 0 {
		t.Error("a connection with an incomplete body is in the pool")
	}
}

func TestCallerLeaves(t *testing.T) {
	s := listen(t, "hang")
	c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		for s.requests.Load() == 0 {
			time.Sleep(time.Millisecond)
		}
		cancel()
	}()
	out := c.Do(ctx, Attempt{
		Address: s.Addr().String(), Method: "GET", Target: "/", Host: "h", ID: "a",
		Deadline: time.Now().Add(testTimeout), MaxAnswerBytes: 1, LastEventID: stream.NoID,
	}, client.Sink{})
	if !out.CallerLeft || out.Whole {
		t.Errorf("caller left %v, want true, and no whole answer (error %v)", out.CallerLeft, out.Err)
	}
}

func TestResumeSkipsReceivedEvents(t *testing.T) {
	s := listen(t, events("id: 3\ndata: x\n\n", "id: 4\ndata: y\n\n")+lastChunk)
	c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
	defer c.Pool.Close()
	out, body := do(c, s.Addr().String(), func(a *Attempt) { a.LastEventID = 3 })
	if !out.Whole || body != "id: 4\ndata: y\n\n" || out.LastEventID != 4 {
		t.Errorf("whole %v, last id %d, body %q, want only the whole event 4", out.Whole, out.LastEventID, body)
	}
}

func TestLoadIsReported(t *testing.T) {
	s := listen(t, answer("a", "x", "X-Load: 3\r\n"))
	c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
	defer c.Pool.Close()
	if out, _ := do(c, s.Addr().String(), nil); out.Load.Running != 3 || out.Load.Slots != 8 {
		t.Errorf("load %+v, want 3 running and 8 slots", out.Load)
	}
}

// TestMalformedNoticeIsIgnored: a field that can't be parsed is named and changes nothing
// else that the answer says.
func TestMalformedNoticeIsIgnored(t *testing.T) {
	const limit, brittle, leaving, retryAfter = "X-Limit", "X-Brittle", "X-Leaving", "Retry-After"
	c := &Client{Terms: &terms.Terms{RateLimit: limit, Brittle: brittle, Leaving: leaving, LeavingValue: "1", ParseDecimal: func(v string) (float64, bool) {
		n, err := strconv.ParseFloat(v, 64)
		return n, err == nil
	}}}
	rate, most := 2.5, 7
	for _, tt := range []struct {
		name   string
		status int
		header map[string]string
		want   Notice
	}{
		{"nothing", 200, nil, Notice{}},
		{"all", 503, map[string]string{limit: "2.5", leaving: "1", retryAfter: "1.5"}, Notice{RateLimit: &rate, Leaving: true, Failed: true, Pause: 1500 * time.Millisecond}},
		{"time to come back of a served request", 200, map[string]string{retryAfter: "9"}, Notice{}},
		{"malformed time", 503, map[string]string{limit: "2.5", retryAfter: "Fri, 04 Dec 2026 09:00:00 GMT"}, Notice{RateLimit: &rate, Failed: true, Malformed: "Retry-After: Fri, 04 Dec 2026 09:00:00 GMT"}},
		{"absurd time", 503, map[string]string{retryAfter: "1e300"}, Notice{Failed: true, Pause: maxPauseSeconds * time.Second}},
		{"brittle", 503, map[string]string{brittle: "7"}, Notice{Brittle: &most, Failed: true}},
		{"brittle by a fraction", 200, map[string]string{brittle: "2.5"}, Notice{Malformed: "X-Brittle: 2.5"}},
		{"brittle below zero", 200, map[string]string{brittle: "-1"}, Notice{Malformed: "X-Brittle: -1"}},
		{"absurdly brittle", 200, map[string]string{brittle: "99999999999"}, Notice{Malformed: "X-Brittle: 99999999999"}},
		{"malformed limit", 200, map[string]string{limit: "few", leaving: "1"}, Notice{Leaving: true, Malformed: "X-Limit: few"}},
	} {
		resp := &http.Response{StatusCode: tt.status, Header: http.Header{}}
		for name, value := range tt.header {
			resp.Header.Set(name, value)
		}
		if got := c.notice(resp); !reflect.DeepEqual(got, tt.want) {
			t.Errorf("%s: got %+v, want %+v", tt.name, got, tt.want)
		}
	}
}

// TestSilentReaderBreaksLongRequest: an endpoint that reads nothing for two seconds gets the
// whole of a body that exceeds the receive window.
func TestSilentReaderBreaksLongRequest(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(2 * time.Second)
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("X-Id", "r")
		_, _ = w.Write([]byte("ok"))
	}))
	defer s.Close()
	c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
	out := c.Do(context.Background(), Attempt{
		Address: s.Listener.Addr().String(), Method: http.MethodPost, Target: "/", Host: "h", Body: bytes.Repeat([]byte("x"), 16<<20), ID: "r",
		Deadline: time.Now().Add(testTimeout), LastEventID: stream.NoID, MaxAnswerBytes: 1 << 20,
	}, client.Sink{Head: func(wire.Head) error { return nil }, Data: func([]byte) error { return nil }})
	if !out.Whole {
		t.Errorf("reason %s, ran %s, %v, want the whole answer", out.Reason, out.Ran, out.Err)
	}
}

// lateConn delays its second read, as a pause of the process between the read's deadline and
// the read does.
type lateConn struct {
	net.Conn
	reads int
}

func (c *lateConn) Read(p []byte) (int, error) {
	if c.reads++; c.reads == 2 {
		time.Sleep(400 * time.Millisecond)
	}
	n, err := c.Conn.Read(p)
	return n, err //nolint:wrapcheck // The client looks at the error as the connection returns it.
}

// TestPausedHostGivesUpSoundStream: a stream whose events arrived while the host's process was
// paused is not given up as silent.
func TestPausedHostGivesUpSoundStream(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Id", "r")
		w.Header().Set("Content-Type", "text/event-stream")
		for n := range 5 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(50 * time.Millisecond)
		}
	}))
	defer s.Close()
	dialer := net.Dialer{}
	p := New(WithDial(func(ctx context.Context, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, "tcp", address)
		return &lateConn{Conn: c}, err
	}))
	c := &Client{Pool: p, Terms: testTerms, Now: time.Now}
	out := c.Do(context.Background(), Attempt{
		Address: s.Listener.Addr().String(), Method: http.MethodGet, Target: "/", Host: "h", ID: "r", IdleTimeout: 200 * time.Millisecond,
		Abandon: func() bool { return true }, Deadline: time.Now().Add(testTimeout), LastEventID: stream.NoID, MaxAnswerBytes: 1 << 20,
	}, client.Sink{Head: func(wire.Head) error { return nil }, Data: func([]byte) error { return nil }})
	if !out.Whole {
		t.Errorf("reason %s after event %d: %v, want the whole stream", out.Reason, out.LastEventID, out.Err)
	}
}
