package pool

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
)

// write is a text that an endpoint sends after a pause.
type write struct {
	pause time.Duration
	text  string
}

// repeat returns n writes of a text.
func repeat(n int, pause time.Duration, text string) []write {
	list := make([]write, n)
	for i := range list {
		list[i] = write{pause, text}
	}
	return list
}

// listenWrites starts an endpoint that answers each connection with the writes and closes it.
func listenWrites(t *testing.T, list []write) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				_, _ = http.ReadRequest(bufio.NewReader(c))
				for _, w := range list {
					time.Sleep(w.pause)
					if _, err := c.Write([]byte(w.text)); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

const (
	eventsHead = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Type: text/event-stream\r\n\r\n"
	wholeHead  = "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 1000\r\n\r\n"
)

// TestStalledAnswersEnd guards against answers that never end as their endpoint sends a byte,
// a comment or a repeated event now and then, and against healthy ones that are cut. The bounds
// of the attempt are 400 ms each, its deadline is far later.
func TestStalledAnswersEnd(t *testing.T) {
	const bound, slack = 400 * time.Millisecond, 600 * time.Millisecond
	one, two := "id: 0\ndata: x\n\n", "id: 1\ndata: y\n\n"
	begun := write{0, eventsHead + one}
	// large takes several reads, none of which ends it, and 3 times the bound.
	large := "data: " + strings.Repeat("z", 40<<10)
	tests := []struct {
		name   string
		writes []write
		change func(*Attempt)
		// whole reports whether the answer must arrive.
		whole bool
	}{
		{"bytes of an unfinished event", append([]write{begun}, repeat(60, 100*time.Millisecond, "d")...), nil, false},
		{"bytes of an unfinished event, close together", append([]write{begun}, repeat(10_000, 500*time.Microsecond, "d")...), nil, false},
		{"lines of an unfinished event", append([]write{begun}, repeat(60, 100*time.Millisecond, "data: x\n")...), nil, false},
		{"empty comments", append([]write{begun}, repeat(60, 100*time.Millisecond, ":\n\n")...), nil, false},
		{"empty comments, close together", append([]write{begun}, repeat(10_000, 500*time.Microsecond, ": wait\n\n")...), nil, false},
		{"empty lines", append([]write{begun}, repeat(60, 100*time.Millisecond, "\n")...), nil, false},
		{"events without data", append([]write{begun}, repeat(60, 100*time.Millisecond, "event: ping\n\n")...), nil, false},
		{"a repeated event", append([]write{begun}, repeat(60, 100*time.Millisecond, one)...), nil, false},
		{"comments before the first event", append([]write{{0, eventsHead}}, repeat(60, 100*time.Millisecond, ":\n\n")...), nil, false},
		{"bytes of the head", append([]write{{0, "HTTP/1.1 200 OK\r\nX-Id: a\r\nX-More: "}}, repeat(60, 100*time.Millisecond, "d")...), nil, false},
		{"bytes of the head, close together", append([]write{{0, "HTTP/1.1 200 OK\r\nX-More: "}}, repeat(10_000, 500*time.Microsecond, "d")...), nil, false},
		{"interim answers", repeat(15, 100*time.Millisecond, "HTTP/1.1 103 Early\r\n\r\n"), nil, false},
		{"bytes of a whole body", append([]write{{0, wholeHead}}, repeat(60, 100*time.Millisecond, "d")...), nil, false},
		{"bytes of a whole body without an idle timeout", append([]write{{0, wholeHead}}, repeat(60, 100*time.Millisecond, "d")...), func(a *Attempt) { a.IdleTimeout = 0 }, false},
		{"chunks of a whole body", append([]write{{0, "HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n"}}, repeat(60, 100*time.Millisecond, "1\r\nd\r\n")...), nil, false},

		{"events with pauses under the bound", []write{begun, {300 * time.Millisecond, two}, {300 * time.Millisecond, "id: 2\ndata: z\n\n"}, {300 * time.Millisecond, "data: [DONE]\n\n"}}, nil, true},
		{"events without ids with pauses under the bound", append([]write{{0, eventsHead}}, repeat(4, 300*time.Millisecond, "data: x\n\n")...), nil, true},
		{"a large event in parts", append(append([]write{begun}, repeat(4, 300*time.Millisecond, large)...), write{0, "\n\n"}), nil, true},
		{"a head long before the first event", []write{{0, eventsHead}, {700 * time.Millisecond, one}}, func(a *Attempt) { a.HeadTimeout = time.Second }, true},
		{"a late head", []write{{700 * time.Millisecond, eventsHead + one}}, func(a *Attempt) { a.HeadTimeout = time.Second }, true},
		{
			"events that the caller has", append([]write{{0, eventsHead}}, write{300 * time.Millisecond, one}, write{300 * time.Millisecond, two}, write{300 * time.Millisecond, "id: 2\ndata: z\n\n"}),
			func(a *Attempt) { a.LastEventID = 1 }, true,
		},
		{"a silence that is no reason to abandon", []write{begun, {time.Second, two}}, func(a *Attempt) { a.Abandon = func() bool { return false } }, true},
		{"a large whole body", append([]write{{0, "HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 163840\r\n\r\n"}}, repeat(4, 300*time.Millisecond, strings.Repeat("z", 40<<10))...), nil, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
			defer c.Pool.Close()
			start := time.Now()
			out, _ := do(c, listenWrites(t, tt.writes), func(a *Attempt) {
				a.HeadTimeout, a.IdleTimeout = bound, bound
				if tt.change != nil {
					tt.change(a)
				}
			})
			if tt.whole {
				if !out.Whole {
					t.Errorf("healthy answer was cut after %v: %v", time.Since(start), out.Err)
				}
				return
			}
			if took := time.Since(start); out.Whole || out.Reason != retry.Silent || out.Ran != fault.RanUnknown || took > bound+slack {
				t.Errorf("whole %v, reason %q, ran %s after %v, want a silent attempt after %v (error %v)", out.Whole, out.Reason, out.Ran, took, bound, out.Err)
			}
		})
	}
}

// TestStalledAnswerIsKeptWithoutAnAlternative: a stalled stream that is not to be abandoned is
// asked about once in each idle timeout, whatever it sends, and ends at its deadline.
func TestStalledAnswerIsKeptWithoutAnAlternative(t *testing.T) {
	const deadline = time.Second
	var asked atomic.Int64
	c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
	defer c.Pool.Close()
	address := listenWrites(t, append([]write{{0, eventsHead + "data: x\n\n"}}, repeat(10_000, 500*time.Microsecond, ":\n\n")...))
	start := time.Now()
	out, _ := do(c, address, func(a *Attempt) {
		a.IdleTimeout, a.Deadline = 100*time.Millisecond, start.Add(deadline)
		a.Abandon = func() bool {
			asked.Add(1)
			return false
		}
	})
	if took := time.Since(start); out.Whole || took < deadline || took > 2*deadline {
		t.Errorf("whole %v after %v, want a failure after %v (error %v)", out.Whole, took, deadline, out.Err)
	}
	if n := asked.Load(); n < 1 || n > 10 {
		t.Errorf("asked %d times, want 1 to 10", n)
	}
}
