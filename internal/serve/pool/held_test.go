package pool

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/peak"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/held"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// TestEndlessAnswersLeaveTheHostItsMemory: endless answers of all kinds at once, from many
// endpoints, and an answer with a length among them.
func TestEndlessAnswersLeaveTheHostItsMemory(t *testing.T) {
	const limit, share, maxHeap, each = 64 << 20, 16 << 20, 220 << 20, 6 // bytes, endpoints a kind
	level := atomic.Int64{}
	c := &Client{
		Pool: New(WithHeld(held.New(limit, share, func(n int) { level.Store(int64(n)) }))), Terms: testTerms, Now: time.Now,
	}
	defer c.Pool.Close()
	sized := listen(t, answer("a", string(make([]byte, 1<<20))))
	stop := peak.Heap(0)
	var running sync.WaitGroup
	for _, f := range append(routed.HeadFloods(), routed.BodyFloods()...) {
		for range each {
			address, _ := listenFlood(t, f)
			running.Go(func() {
				out := c.Do(t.Context(), Attempt{
					Address: address, Method: "GET", Target: "/", Host: "h", ID: "a", Deadline: time.Now().Add(testTimeout),
					LastEventID: stream.NoID, MaxAnswerBytes: 64 << 20,
				}, client.Sink{Head: func(wire.Head) error { return nil }, Data: func([]byte) error { return nil }})
				if out.Whole || (out.Reason != retry.Oversize && out.Reason != retry.Broken) {
					t.Errorf("%s: got whole %v, reason %q (error %v)", f, out.Whole, out.Reason, out.Err)
				}
			})
		}
	}
	running.Go(func() {
		if out, _ := do(c, sized.Addr().String(), func(a *Attempt) { a.MaxAnswerBytes = share }); !out.Whole {
			t.Errorf("answer with a length is not whole: %v", out.Err)
		}
	})
	running.Wait()
	if most := stop(); most > maxHeap {
		t.Errorf("heap grew to %d MiB, want at most %d", most>>20, maxHeap>>20)
	} else {
		t.Logf("heap grew to %d MiB", most>>20)
	}
	if n := level.Load(); n != 0 {
		t.Errorf("%d bytes are held after all answers ended", n)
	}
}
