package node

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// brokenStream starts a fleet with five endpoints of a service in region a and a stream there
// that breaks after its third event. From then on, all endpoints refuse requests. wait waits
// until the stream has ended, and returns its body.
func brokenStream(t *testing.T) (f *fleet, ids []string, wait func() string) {
	t.Helper()
	f = startFleet(t)
	f.store.put(feed.Change{RemovedEndpoint: "model-b1"})
	ids = []string{"model-a1", "model-a2", "model-a3", "model-a4", "model-a5"}
	for _, id := range ids[1:] {
		f.startEndpoint(id, "model", "a")
	}
	f.eventually("five endpoints are registered", func() bool { return len(f.nodes["a"].board.Registry.Endpoints("model")) == len(ids) })
	for _, id := range ids {
		f.endpoints[id].EventGap = 100 * time.Millisecond
		f.endpoints[id].SetFault(routed.Fault{Times: 1, CutAfter: 3})
	}
	body := ""
	var call sync.WaitGroup
	call.Go(func() { _, body, _ = f.call(http.MethodPost, "/stream-gap/x", "r", nil) })
	f.eventually("the stream runs", func() bool { return len(f.runs(ids...)) == 1 })
	for _, id := range ids {
		f.endpoints[id].SetFault(routed.Fault{Times: 1 << 20, NotRun: true})
	}
	return f, ids, func() string {
		call.Wait()
		return body
	}
}

// refusals returns the number of requests that endpoints refused.
func (f *fleet) refusals(ids []string) int {
	n := 0
	for _, id := range ids {
		n += f.endpoints[id].Refused()
	}
	return n
}

// TestHeldStreamUsesUpRetryBudget: one stream that waits for an endpoint leaves retries to the
// other requests of its service, and resumes soon after an endpoint takes it.
func TestHeldStreamUsesUpRetryBudget(t *testing.T) {
	f, ids, wait := brokenStream(t)
	for range 30 {
		time.Sleep(100 * time.Millisecond)
		if !f.nodes["a"].proxy.Budget.Available(time.Now(), "model") {
			t.Fatalf("the stream has used up the retry budget with %d attempts", f.refusals(ids))
		}
	}
	for _, id := range ids {
		f.endpoints[id].SetFault(routed.Fault{})
	}
	free := time.Now()
	if body := wait(); body != wholeStream("r") || time.Since(free) > 2*time.Second {
		t.Errorf("got body %q, %v after endpoints were free, want the whole stream within 2 s", body, time.Since(free))
	}
}

// TestHeldRelayedStreamExceedsItsAttempts: a begun stream whose runs break one after the other
// in another region runs no more often than its route allows.
func TestHeldRelayedStreamExceedsItsAttempts(t *testing.T) {
	f := startFleet(t)
	f.store.put(feed.Change{RemovedEndpoint: "model-b1"})
	ids := []string{"model-a1", "model-a2", "model-a3", "model-a4"}
	for _, id := range ids[1:] {
		f.startEndpoint(id, "model", "a")
	}
	f.eventually("four endpoints are registered", func() bool {
		return len(f.nodes["b"].board.Registry.Endpoints("model")) == len(ids) && len(f.nodes["a"].board.Registry.Endpoints("model")) == len(ids)
	})
	for _, id := range ids {
		f.endpoints[id].SetFault(routed.Fault{Times: 100, CutAfter: 1})
	}
	_, _, _ = f.callHost("b", http.MethodPost, "/stream-gap/x", "r", nil)
	if n := len(f.runs(ids...)); n > 2 {
		t.Errorf("the stream ran %d times, its route allows 2", n)
	}
}

// TestDrainingHostCutsSilentStream: a host that shuts down keeps the attempt of a silent stream,
// which resumes before the host ends.
func TestDrainingHostCutsSilentStream(t *testing.T) {
	f := startFleet(t)
	f.store.put(feed.Change{RemovedEndpoint: "model-b1"})
	f.eventually("one endpoint is registered", func() bool { return len(f.nodes["a"].board.Registry.Endpoints("model")) == 1 })
	first := f.endpoints["model-a1"]
	first.EventGap = 50 * time.Millisecond
	first.SetFault(routed.Fault{Times: 1, PauseAfter: 2, Pause: 3 * time.Second})
	body := ""
	var call sync.WaitGroup
	call.Go(func() { _, body, _ = f.call(http.MethodPost, "/stream-gap/x", "r", nil) })
	f.eventually("the stream runs", func() bool { return len(f.runs("model-a1")) == 1 })
	first.SetFault(routed.Fault{Times: 1 << 20, NotRun: true})
	f.startEndpoint("model-a2", "model", "a")
	f.endpoints["model-a2"].SetFault(routed.Fault{Times: 1 << 20, NotRun: true})
	f.nodes["a"].Drain(t.Context())
	f.closeHost("a")
	call.Wait()
	if body != wholeStream("r") {
		t.Errorf("got body %q, want the whole stream", body)
	}
}
