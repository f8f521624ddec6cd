package client

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

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
