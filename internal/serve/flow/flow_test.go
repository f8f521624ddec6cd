package flow

import (
	"context"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
)

// TestGateAfterPause guards against dispatching a request on stale state after a pause
// of the process, past its deadline, or after its caller disconnected.
func TestGateAfterPause(t *testing.T) {
	start := time.Now()
	now := start
	b := board.New(start, "h", "r", "c", 1)
	f := New(b, meter.New(), nil, WithNow(func() time.Time { return now }))
	deadline := start.Add(time.Hour)
	if r := f.Gate(context.Background(), deadline); r != nil {
		t.Fatalf("without a pause: got %v, want no refusal", r)
	}
	now = start.Add(10 * time.Second)
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	if r := f.Gate(cancelled, deadline); r == nil || r.Code != fault.Cancelled || r.Ran != fault.RanNo {
		t.Errorf("after a pause, caller disconnected: got %v, want cancelled and not run", r)
	}
	done := make(chan *fault.Refusal, 1)
	go func() { done <- f.Gate(context.Background(), deadline) }()
	select {
	case r := <-done:
		t.Fatalf("after a pause: Gate returned %v before the state was refreshed", r)
	case <-time.After(3 * stalePollInterval):
	}
	b.Health.Beat(now)
	b.Health.MarkFresh()
	if r := <-done; r != nil {
		t.Errorf("after the refresh: got %v, want no refusal", r)
	}
	if r := f.Gate(context.Background(), now); r == nil || r.Code != fault.Deadline || r.RetryAfter == 0 {
		t.Errorf("at the deadline: got %v, want deadline with a retry delay", r)
	}
}
