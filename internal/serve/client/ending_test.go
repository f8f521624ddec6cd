package client

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// listenOnce starts an endpoint that passes one connection on to serve.
func listenOnce(t *testing.T, serve func(c net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			serve(c)
		}
	}()
	return l.Addr().String()
}

// doOnce makes one attempt and returns the result and the body that was passed on.
func doOnce(address string, onData func()) (Result, string) {
	var got strings.Builder
	out := Do(context.Background(), Attempt{
		Address: address, Method: "GET", Path: "/", Deadline: time.Now().Add(testTimeout), IdleTimeout: testTimeout, MaxAnswerBytes: 1 << 20,
	}, Sink{Head: func(wire.Head) error { return nil }, Data: func(p []byte) error {
		got.Write(p)
		onData()
		return nil
	}})
	return out, got.String()
}

func TestBrokenUnframedAnswerIsNotWhole(t *testing.T) {
	const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	events := []string{"data: a\n\n", "data: b\n\n", "data: [DONE]\n\n"}
	body := []string{"hello", " world", "!"}
	tests := []struct {
		name   string
		head   string
		parts  []string
		ending routed.Ending
		whole  bool
		want   string
	}{
		{"stream", streamHead, events, routed.EndWhole, true, strings.Join(events, "")},
		{"stream within an event", streamHead, events, routed.EndEvent, false, events[0]},
		{"stream within a rune", streamHead, events, routed.EndRune, false, events[0]},
		{"stream reset", streamHead, events, routed.EndReset, false, events[0]},
		{"stream without its closing event", streamHead, events[:2], routed.EndWhole, false, events[0] + events[1]},
		{"answer", "HTTP/1.1 200 OK\r\n\r\n", body, routed.EndWhole, true, "hello world!"},
		{"answer of HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n", body, routed.EndWhole, true, "hello world!"},
		{"answer reset", "HTTP/1.1 200 OK\r\n\r\n", body, routed.EndReset, false, ""},
		{"answer shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n", body, routed.EndWhole, false, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			address := listenOnce(t, func(c net.Conn) { tt.ending.Send(c, tt.head, tt.parts) })
			if out, got := doOnce(address, func() {}); out.Whole != tt.whole || got != tt.want {
				t.Errorf("got whole %v, body %q, want %v and %q (error %v)", out.Whole, got, tt.whole, tt.want, out.Err)
			}
		})
	}
}

// listenEach starts an endpoint that sends the answers to its requests in turn, each on a connection
// that it closes then.
func listenEach(t *testing.T, answers ...string) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for i := 0; ; i++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil && i < len(answers) {
				_, _ = c.Write([]byte(answers[i]))
			}
			_ = c.Close()
		}
	}()
	return l.Addr().String()
}

// TestOtherAnswerContinuesStream guards against a resumed stream that has the text of an answer in it
// that is no stream of events, although its status is 200.
func TestOtherAnswerContinuesStream(t *testing.T) {
	const first = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Stream-Id: s\r\n\r\nid: 0\ndata: a\n\n"
	const rest, closing = "id: 1\ndata: b\n\n", "data: [DONE]\n\n"
	for _, tt := range []struct {
		name, head, body string
		whole            bool
	}{
		{"events", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream; charset=utf-8\r\n\r\n", rest + closing, true},
		{"events, type in capitals", "HTTP/1.1 200 OK\r\nContent-Type: Text/Event-Stream\r\n\r\n", rest + closing, true},
		{"text", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", "not found\n\ntry again\n\n" + closing, false},
		{"similar type", "HTTP/1.1 200 OK\r\nContent-Type: text/event-streams\r\n\r\n", rest + closing, false},
		{"JSON", "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n", "{\"error\":1}\n\n" + closing, false},
		{"no type", "HTTP/1.1 200 OK\r\n\r\n", "<html>\n\n" + closing, false},
		{"encoded", "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nContent-Encoding: gzip\r\n\r\n", "\x1f\x8b\n\n" + closing, false},
		{"failure", "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/event-stream\r\n\r\n", rest + closing, false},
		{"a head in the body", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", "HTTP/1.1 500 x\r\n\r\n" + closing, false},
	} {
		address := listenEach(t, first, tt.head+tt.body)
		out, got := doOnce(address, func() {})
		want := "id: 0\ndata: a\n\n"
		if tt.whole {
			want += rest + closing
		}
		if out.Whole != tt.whole || got != want || !out.Started {
			t.Errorf("%s: whole %v, body %q, want %v and %q (error %v)", tt.name, out.Whole, got, tt.whole, want, out.Err)
		}
		if !tt.whole && out.Ran != fault.RanUnknown {
			t.Errorf("%s: ran %s, want unknown", tt.name, out.Ran)
		}
	}
}

// TestStreamOfOddTypeIsTakenForWhole guards against a stream that is collected as a whole answer, whose
// closing event is not looked for, and against an encoded one whose bytes are passed on as events.
func TestStreamOfOddTypeIsTakenForWhole(t *testing.T) {
	for _, fields := range []string{
		"Content-Type: Text/Event-Stream\r\n", "Content-Type: text/event-stream;charset=utf-8\r\n", "Content-Type:  text/event-stream ;x\r\n",
		"Content-Type: text/event-stream\r\nContent-Encoding: gzip\r\n",
	} {
		out, got := doOnce(listenEach(t, "HTTP/1.1 200 OK\r\n"+fields+"\r\ndata: a\n\n"), func() {})
		want := "data: a\n\n"
		if strings.Contains(fields, "gzip") {
			want = ""
		}
		if out.Whole || got != want {
			t.Errorf("%q without its closing event: whole %v, body %q", fields, out.Whole, got)
		}
	}
}

func TestUnframedStreamIsPassedOnAsItArrives(t *testing.T) {
	passed := make(chan struct{}, 2)
	address := listenOnce(t, func(c net.Conn) {
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\n"))
		select {
		case <-passed:
			_, _ = c.Write([]byte("data: [DONE]\n\n"))
		case <-time.After(testTimeout / 4):
		}
	})
	if out, got := doOnce(address, func() { passed <- struct{}{} }); !out.Whole {
		t.Errorf("got body %q (error %v), want the event before the stream goes on", got, out.Err)
	}
}

func TestInterimAnswerIsNotTheAnswer(t *testing.T) {
	address := listenOnce(t, func(c net.Conn) {
		_, _ = c.Write([]byte("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx"))
	})
	if out, got := doOnce(address, func() {}); out.Status != http.StatusOK || got != "x" {
		t.Errorf("got status %d, body %q (error %v), want 200 and \"x\"", out.Status, got, out.Err)
	}
}
