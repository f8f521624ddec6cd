package pool

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
)

// TestAnswersEnd states which answers count as whole. It guards against a broken answer that looks
// whole, as far as its end shows it: an answer that states no length is whole once its connection is
// closed, as the protocol has it.
func TestAnswersEnd(t *testing.T) {
	const (
		first, second = "id: 0\ndata: x\n\n", "id: 1\ndata: y\n\n"
		kind          = "X-Id: a\r\nContent-Type: text/event-stream\r\n"
		head11        = "HTTP/1.1 200 OK\r\n" + kind
		head10        = "HTTP/1.0 200 OK\r\n" + kind
		chunked       = "Transfer-Encoding: chunked\r\n"
		length        = "Content-Length: 15\r\n"
		closes        = "Connection: close\r\n"
		chunk         = "f\r\n" + first + "\r\n"
		plain         = "HTTP/1.1 200 OK\r\nX-Id: a\r\n"
		plain10       = "HTTP/1.0 200 OK\r\nX-Id: a\r\n"
	)
	for _, tt := range []struct {
		name, script string
		// after is the last event that the caller has.
		after int
		whole bool
		body  string
		// reused reports whether the next request uses the connection.
		reused bool
	}{
		{"chunks", head11 + chunked + "\r\n" + chunk + lastChunk, stream.NoID, true, first, true},
		{"chunks with extensions", head11 + chunked + "\r\nf;a=\"b\";c\r\n" + first + "\r\n0;last\r\n\r\n", stream.NoID, true, first, true},
		{"chunks with a trailer", head11 + chunked + "\r\n" + chunk + "0\r\nX-Sum: 1\r\n\r\n", stream.NoID, true, first, true},
		{"chunks cut within the trailer", head11 + chunked + closes + "\r\n" + chunk + "0\r\nX-Sum: 1", stream.NoID, false, first, false},
		{"chunks cut before the empty line", head11 + chunked + closes + "\r\n" + chunk + "0\r\nX-Sum: 1\r\n", stream.NoID, false, first, false},
		{"chunk of a bad size", head11 + chunked + closes + "\r\n" + chunk + "zz\r\n", stream.NoID, false, first, false},
		{"chunks of which one is longer than its size", head11 + chunked + closes + "\r\n" + "e\r\n" + first + "\r\n" + lastChunk, stream.NoID, false, "", false},
		{"bytes after the last chunk", head11 + chunked + "\r\n" + chunk + lastChunk + "data: z\n\n", stream.NoID, true, first, false},
		{"second answer after the last chunk", head11 + chunked + "\r\n" + chunk + lastChunk + plain + "Content-Length: 4\r\n\r\nevil", stream.NoID, true, first, false},
		{"length", head11 + length + "\r\n" + first, stream.NoID, true, first, true},
		{"bytes after the length", head11 + length + "\r\n" + first + second, stream.NoID, true, first, false},
		{"length that ends within an event", head11 + "Content-Length: 20\r\n" + closes + "\r\n" + first + second, stream.NoID, false, first, false},
		{"length that exceeds the stream", head11 + "Content-Length: 99\r\n" + closes + "\r\n" + first, stream.NoID, false, first, false},
		{"two lengths", head11 + length + "Content-Length: 30\r\n" + closes + "\r\n" + first + second, stream.NoID, false, "", false},
		{"negative length", head11 + "Content-Length: -1\r\n" + closes + "\r\n" + first, stream.NoID, false, "", false},
		{"chunks and a length", head11 + chunked + "Content-Length: 4\r\n" + closes + "\r\n" + chunk + lastChunk, stream.NoID, true, first, false},
		{"other encoding than chunks", head11 + "Transfer-Encoding: gzip, chunked\r\n" + closes + "\r\n" + chunk + lastChunk, stream.NoID, false, "", false},
		{"connection", head11 + "\r\n" + first, stream.NoID, true, first, false},
		{"connection, within an event", head11 + "\r\n" + first + second[:9], stream.NoID, false, first, false},
		{"connection, before the first event", head11 + "\r\n", stream.NoID, false, "", false},
		{"connection, within the first event", head11 + "\r\n" + first[:9], stream.NoID, false, "", false},
		{"HTTP/1.0 connection", head10 + "\r\n" + first, stream.NoID, true, first, false},
		{"HTTP/1.0 length", head10 + length + "\r\n" + first, stream.NoID, true, first, false},
		{"HTTP/1.0 short", head10 + "Content-Length: 30\r\n" + closes + "\r\n" + first, stream.NoID, false, first, false},
		{"HTTP/1.0 chunks", head10 + chunked + closes + "\r\n" + chunk + lastChunk, stream.NoID, false, "", false},
		{"HTTP/1.0 chunks cut off", head10 + chunked + closes + "\r\n" + chunk, stream.NoID, false, "", false},
		{"HTTP/1.0 plain chunks", plain10 + "transfer-encoding: chunked\r\n" + closes + "\r\n5\r\nhello\r\n" + lastChunk, stream.NoID, false, "", false},
		{"HTTP/1.0 plain", plain10 + "\r\nhello", stream.NoID, true, "hello", false},
		{"plain, connection, no body", plain + "\r\n", stream.NoID, true, "", false},
		{"no events", head11 + "Content-Length: 0\r\n\r\n", stream.NoID, true, "", true},
		{"rest with a length of 0", head11 + "Content-Length: 0\r\n\r\n", 0, true, "", true},
		{"rest without chunks", head11 + chunked + "\r\n" + lastChunk, 0, true, "", true},
		{"rest that repeats the last event", head11 + chunked + "\r\n" + chunk + lastChunk, 0, true, "", true},
		{"rest, connection", head11 + "\r\n" + second, 0, true, second, false},
		{"rest, connection, after the last event", head11 + "\r\n" + first, 0, true, "", false},
		{"rest, connection, before an event", head11 + "\r\n", 0, false, "", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			s := listen(t, tt.script, answer("b", "next"))
			c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
			defer c.Pool.Close()
			out, body := do(c, s.Addr().String(), func(a *Attempt) { a.LastEventID = tt.after })
			if out.Whole != tt.whole || body != tt.body {
				t.Errorf("got whole %v, body %q (error %v), want %v and %q", out.Whole, body, out.Err, tt.whole, tt.body)
			}
			if !out.Whole && (out.Ran != fault.RanUnknown || out.Err == nil || out.CallerLeft) {
				t.Errorf("broken answer: ran %s, error %v", out.Ran, out.Err)
			}
			next, body := do(c, s.Addr().String(), func(a *Attempt) { a.ID = "b" })
			if next.Reused != tt.reused || !next.Whole || !strings.HasPrefix(body, "next") {
				t.Errorf("next answer: connection reused %v, body %q (error %v), want %v", next.Reused, body, next.Err, tt.reused)
			}
		})
	}
}

// TestResetAfterPauseEndsStreamAsWhole guards against a reset that is lost, as the kernel reports it once
// and its connection as closed from then on: a host that was paused reads it with what arrived after a
// timeout, and takes an answer without a length for whole.
func TestResetAfterPauseEndsStreamAsWhole(t *testing.T) {
	for _, kind := range []string{"text/event-stream", "text/plain"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		reset, gone := make(chan struct{}), make(chan struct{})
		go func() {
			defer close(gone)
			defer func() { _ = l.Close() }()
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Type: " + kind + "\r\n\r\nid: 0\ndata: x\n\n"))
				<-reset
			}
			if tcp, ok := c.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}()
		// late is how far the host's clock is behind, so that its next deadline has passed already.
		var late atomic.Int64
		c := &Client{Pool: New(), Terms: testTerms, Now: func() time.Time { return time.Now().Add(-time.Duration(late.Load())) }}
		asked := 0
		out, _ := do(c, l.Addr().String(), func(a *Attempt) {
			a.Body, a.IdleTimeout = nil, 50*time.Millisecond
			a.Abandon = func() bool {
				if asked++; asked == 1 {
					close(reset)
					<-gone
					time.Sleep(20 * time.Millisecond)
					late.Store(int64(time.Minute))
				} else {
					late.Store(0)
				}
				return false
			}
		})
		c.Pool.Close()
		if out.Whole || out.Err == nil || asked == 0 {
			t.Errorf("%s: a reset answer counts as whole: %v (asked %d times, error %v)", kind, out.Whole, asked, out.Err)
		}
	}
}

// TestResetWhileWritingEndsAnswerAsWhole guards against a reset that is lost, as the write of a long
// request's body gets its error and the read of the answer, which has no length, an end.
func TestResetWhileWritingEndsAnswerAsWhole(t *testing.T) {
	const rounds = 20
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			c, _ := nc.(*net.TCPConn)
			_, _ = c.Read(make([]byte, 1<<10))
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Type: text/event-stream\r\n\r\nid: 0\ndata: x\n\n"))
			time.Sleep(3 * time.Millisecond)
			_ = c.SetLinger(0)
			_ = c.Close()
		}
	}()
	whole := 0
	for range rounds {
		c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
		if out, _ := do(c, l.Addr().String(), func(a *Attempt) { a.Body = make([]byte, 8<<20) }); out.Whole {
			whole++
		}
		c.Pool.Close()
	}
	if whole > 0 {
		t.Errorf("%d of %d reset answers count as whole", whole, rounds)
	}
}

// TestEarlyEndOfAnswerIsWhole: an endpoint that ends an answer without a length and reads the rest of
// the request then has sent it whole.
func TestEarlyEndOfAnswerIsWhole(t *testing.T) {
	for _, kind := range []string{"text/event-stream", "text/plain"} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go func() {
			defer func() { _ = l.Close() }()
			nc, err := l.Accept()
			if err != nil {
				return
			}
			c, _ := nc.(*net.TCPConn)
			_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Type: " + kind + "\r\n\r\nid: 0\ndata: x\n\n"))
			_ = c.CloseWrite()
			time.Sleep(20 * time.Millisecond)
			_, _ = io.Copy(io.Discard, c)
			_ = c.Close()
		}()
		c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
		if out, body := do(c, l.Addr().String(), func(a *Attempt) { a.Body = make([]byte, 8<<20) }); !out.Whole || body != "id: 0\ndata: x\n\n" {
			t.Errorf("%s: whole %v, body %q (error %v)", kind, out.Whole, body, out.Err)
		}
		c.Pool.Close()
	}
}

// TestHeadOfStreamIsRefused guards against the head of a stream without chunks, the whole answer to a
// request for no more, that counts as broken off before its first event.
func TestHeadOfStreamIsRefused(t *testing.T) {
	s := listen(t, "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
	c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
	defer c.Pool.Close()
	out, body := do(c, s.Addr().String(), func(a *Attempt) { a.Method, a.Body = http.MethodHead, nil })
	if !out.Whole || body != "" {
		t.Errorf("got whole %v, body %q (error %v), want the whole answer", out.Whole, body, out.Err)
	}
}

// TestShorterStreamEndsAnother guards against a stream that ends as complete since another one, which
// ended before what the caller has, does.
func TestShorterStreamEndsAnother(t *testing.T) {
	s := listen(t, events("id: 0\ndata: x\n\n", "id: 1\ndata: y\n\n")+lastChunk)
	c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
	defer c.Pool.Close()
	out, body := do(c, s.Addr().String(), func(a *Attempt) { a.LastEventID = 5 })
	if out.Whole {
		t.Errorf("an answer that ends after event 1 counts as the whole rest after event 5 (body %q)", body)
	}
}

// TestRepeatedStreamRepeatsEventsWithoutIDs guards against events without ids that callers get again, as
// the endpoint that continues their stream sends it from its beginning.
func TestRepeatedStreamRepeatsEventsWithoutIDs(t *testing.T) {
	const rest = "id: 2\ndata: z\n\n"
	s := listen(t, events("id: 0\ndata: x\n\n", "data: u\n\n", "id: 1\ndata: y\n\n", rest)+lastChunk)
	c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
	defer c.Pool.Close()
	out, body := do(c, s.Addr().String(), func(a *Attempt) { a.LastEventID = 1 })
	if !out.Whole || body != rest {
		t.Errorf("got whole %v, body %q (error %v), want %q", out.Whole, body, out.Err, rest)
	}
}

// TestEarlyEndWithoutReadingIsRefused guards against an answer to a part of a long request that counts
// as broken off, as the endpoint ends it and doesn't read the rest.
func TestEarlyEndWithoutReadingIsRefused(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan struct{})
	defer func() {
		close(ended)
		_ = l.Close()
	}()
	go func() {
		nc, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = nc.Close() }()
		_, _ = http.ReadRequest(bufio.NewReaderSize(nc, 16))
		_, _ = io.WriteString(nc, "HTTP/1.1 413 Too Large\r\nX-Id: a\r\nConnection: close\r\n\r\ntoo large")
		if c, ok := nc.(*net.TCPConn); ok {
			_ = c.CloseWrite()
		}
		<-ended
	}()
	c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
	defer c.Pool.Close()
	out, body := do(c, l.Addr().String(), func(a *Attempt) { a.Body = make([]byte, 12<<20) })
	if !out.Whole || body != "too large" {
		t.Errorf("got whole %v, status %d, body %q (error %v), want the whole answer", out.Whole, out.Status, body, out.Err)
	}
}
