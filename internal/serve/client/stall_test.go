package client

import (
	"context"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
)

// TestStalledAnswersEnd guards against answers that never end as their endpoint sends a byte or
// a comment now and then, and against large events and answers that are cut.
func TestStalledAnswersEnd(t *testing.T) {
	const idle, slack, gap = 400 * time.Millisecond, 600 * time.Millisecond, 100 * time.Millisecond
	const eventsHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	large := strings.Repeat("z", 10<<10)
	tests := []struct {
		name, head, repeated, end string
		whole                     bool
	}{
		{"bytes of an unfinished event", eventsHead + "data: x\n\n", "d", "", false},
		{"empty comments", eventsHead + "data: x\n\n", ":\n\n", "", false},
		{"bytes of the head", "HTTP/1.1 200 OK\r\nX-More: ", "d", "", false},
		{"bytes of a whole body", "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n", "d", "", false},
		{"events", eventsHead, "data: x\n\n", "data: [DONE]\n\n", true},
		{"a large event", eventsHead + "data: ", large, "\n\ndata: [DONE]\n\n", true},
		{"a large whole body", "HTTP/1.1 200 OK\r\nContent-Length: 122880\r\n\r\n", large, "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			address := listenOnce(t, func(c net.Conn) {
				_, _ = c.Write([]byte(tt.head))
				for range 12 {
					time.Sleep(gap)
					if _, err := c.Write([]byte(tt.repeated)); err != nil {
						return
					}
				}
				_, _ = c.Write([]byte(tt.end))
				if !tt.whole {
					time.Sleep(testTimeout)
				}
			})
			start := time.Now()
			out := Do(context.Background(), Attempt{
				Address: address, Method: "GET", Path: "/", Deadline: start.Add(testTimeout), IdleTimeout: idle, MaxAnswerBytes: 1 << 20,
			}, Sink{Head: func(wire.Head) error { return nil }, Data: func([]byte) error { return nil }})
			took := time.Since(start)
			switch {
			case out.Whole != tt.whole:
				t.Errorf("whole %v after %v, want %v (error %v)", out.Whole, took, tt.whole, out.Err)
			case !tt.whole && (out.Reason != retry.Silent || took > idle+slack):
				t.Errorf("reason %q after %v, want a silent attempt after %v", out.Reason, took, idle)
			}
		})
	}
}
