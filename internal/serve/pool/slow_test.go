package pool

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
)

// TestAnswersWithoutATimeoutEndAtTheDeadline guards against answers that never end though only their
// deadline bounds them, as their endpoint sends something now and then, and against healthy ones
// that are cut before it.
func TestAnswersWithoutATimeoutEndAtTheDeadline(t *testing.T) {
	const deadline, slack = 800 * time.Millisecond, 400 * time.Millisecond
	begun := write{0, eventsHead + "data: x\n\n"}
	tests := []struct {
		name   string
		writes []write
		whole  bool
	}{
		{"silence", []write{begun, {3 * time.Second, "data: y\n\n"}}, false},
		{"comments", append([]write{begun}, repeat(60, 100*time.Millisecond, ": ping\n\n")...), false},
		{"comments, close together", append([]write{begun}, repeat(20_000, 200*time.Microsecond, ":\n\n")...), false},
		{"bytes of an event", append([]write{begun}, repeat(60, 100*time.Millisecond, "d")...), false},
		{"events without end", append([]write{begun}, repeat(60, 100*time.Millisecond, "data: y\n\n")...), false},
		{"bytes of the head", repeat(60, 100*time.Millisecond, "H"), false},
		{"bytes of a whole body", append([]write{{0, wholeHead}}, repeat(60, 100*time.Millisecond, "d")...), false},
		{"a silence before the deadline", []write{begun, {600 * time.Millisecond, "data: y\n\n"}}, true},
		{"bytes of an event before the deadline", append(append([]write{begun}, repeat(6, 100*time.Millisecond, "data: y\n")...), write{0, "\n"}), true},
		{"a head byte by byte before the deadline", append([]write{}, headBytes(10*time.Millisecond)...), true},
		{"bytes of a whole body before the deadline", append([]write{{0, strings.Replace(wholeHead, "1000", "6", 1)}}, repeat(6, 100*time.Millisecond, "d")...), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
			defer c.Pool.Close()
			start := time.Now()
			out, _ := do(c, listenWrites(t, tt.writes), func(a *Attempt) { a.Deadline = start.Add(deadline) })
			took := time.Since(start)
			switch {
			case out.Whole != tt.whole:
				t.Errorf("whole %v after %v, want %v (error %v)", out.Whole, took, tt.whole, out.Err)
			case !tt.whole && (took < deadline || took > deadline+slack || out.Reason != retry.Silent || out.Ran != fault.RanUnknown):
				t.Errorf("reason %q, ran %s after %v, want a silent attempt after %v (error %v)", out.Reason, out.Ran, took, deadline, out.Err)
			}
		})
	}
}

// headBytes returns the writes of an answer whose head is sent byte by byte.
func headBytes(pause time.Duration) (list []write) {
	for _, b := range strings.Split("HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 2\r\n\r\n", "") {
		list = append(list, write{pause, b})
	}
	return append(list, write{0, "ok"})
}

// TestSlowCallerLosesItsStream guards against a stream that is given up as silent after its caller
// has not read for a while, though its endpoint has sent events or still sends them.
func TestSlowCallerLosesItsStream(t *testing.T) {
	const bound = 300 * time.Millisecond
	one, two, three := "id: 0\ndata: x\n\n", "id: 1\ndata: y\n\n", "id: 2\ndata: z\n\n"
	comment := ": ping\n\n"
	for _, tt := range []struct {
		name string
		// slow is the text for whose first writing the caller takes three times the bound.
		slow   string
		writes []write
	}{
		{"an event, more have arrived", one, []write{{0, eventsHead + one}, {50 * time.Millisecond, two}, {50 * time.Millisecond, three}}},
		{"an event, more follow", one, []write{{0, eventsHead + one}, {4 * bound, two}, {bound / 2, three}}},
		{"a comment, events have arrived", comment, []write{{0, eventsHead + one}, {50 * time.Millisecond, comment}, {50 * time.Millisecond, two}, {bound / 2, three}}},
		{"a comment, comments and events have arrived", comment, []write{{0, eventsHead + one}, {50 * time.Millisecond, comment}, {50 * time.Millisecond, comment + comment}, {50 * time.Millisecond, two}, {50 * time.Millisecond, three}}},
		{"a comment before the first event", comment, []write{{0, eventsHead + comment}, {bound / 2, one + two}, {bound / 2, three}}},
		{"a comment, a large event has arrived in parts", comment, append(append([]write{{0, eventsHead + one + comment}, {0, "id: 1\n"}}, repeat(16, 50*time.Millisecond, "data: "+strings.Repeat("y", 4<<10)+"\n")...), write{0, "\n"}, write{0, three})},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
			defer c.Pool.Close()
			attempt := Attempt{
				Address: listenWrites(t, tt.writes), Method: http.MethodPost, Target: "/p", Host: "h", ID: "a", HeadTimeout: bound, IdleTimeout: bound,
				Deadline: time.Now().Add(testTimeout), LastEventID: stream.NoID, MaxAnswerBytes: 1 << 20,
			}
			var got strings.Builder
			waited := false
			out := c.Do(context.Background(), attempt, client.Sink{
				Head: func(wire.Head) error { return nil },
				Data: func(p []byte) error {
					if !waited && strings.Contains(string(p), tt.slow) {
						waited = true
						time.Sleep(3 * bound)
					}
					got.Write(p)
					return nil
				},
			})
			sent := strings.TrimPrefix(joined(tt.writes), eventsHead)
			if !out.Whole || got.String() != sent {
				t.Errorf("whole %v, got %d bytes, want %d (error %v)", out.Whole, got.Len(), len(sent), out.Err)
			}
		})
	}
}

// joined returns the text of writes.
func joined(list []write) string {
	var b strings.Builder
	for _, w := range list {
		b.WriteString(w.text)
	}
	return b.String()
}
