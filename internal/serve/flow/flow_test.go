package flow

import (
	"context"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
)

// TestGateAfterPause: a process that wakes late dispatches nothing before it has
// a fresh view, nothing past a deadline, and nothing whose sender has left.
func TestGateAfterPause(t *testing.T) {
	start := time.Now()
	now := start
	b := board.New(start, "h", "r", "c", 1)
	f := New(b, meter.New(), nil, WithNow(func() time.Time { return now }))
	deadline := start.Add(time.Hour)
	if r := f.Gate(context.Background(), deadline); r != nil {
		t.Fatalf("without a pause: %v", r)
	}
	now = start.Add(10 * time.Second)
	left, cancel := context.WithCancel(context.Background())
	cancel()
	if r := f.Gate(left, deadline); r == nil || r.Code != fault.Cancelled || r.Ran != fault.RanNo {
		t.Errorf("after a pause, sender left: %v", r)
	}
	done := make(chan *fault.Refusal, 1)
	go func() { done <- f.Gate(context.Background(), deadline) }()
	select {
	case r := <-done:
		t.Fatalf("after a pause it went on old beliefs: %v", r)
	case <-time.After(3 * pauseStep):
	}
	b.Pulse.Beat(now)
	b.Pulse.Refreshed()
	if r := <-done; r != nil {
		t.Errorf("with a fresh view: %v", r)
	}
	if r := f.Gate(context.Background(), now); r == nil || r.Code != fault.Deadline || r.RetryAfter == 0 {
		t.Errorf("at the deadline: %v", r)
	}
}
