package node

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// TestStreamIsCutWhenItsContinuationFails: a stream that is silent for seconds or breaks at
// its endpoint reaches its caller whole although the endpoint that is to continue it refuses.
func TestStreamIsCutWhenItsContinuationFails(t *testing.T) {
	silent := routed.Fault{Times: 1, PauseAfter: 2, Pause: 4 * time.Second}
	broken := routed.Fault{Times: 1, CutAfter: 2}
	for _, tt := range []struct {
		name string
		// host is the region of the host that the caller sends the request to; both endpoints
		// are in region a.
		host  string
		fault routed.Fault
	}{
		{"silent", "a", silent},
		{"silent at a relay", "b", silent},
		{"broken", "a", broken},
		{"broken at a relay", "b", broken},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := startFleet(t)
			f.store.put(feed.Change{RemovedEndpoint: "model-b1"})
			f.eventually("one endpoint is registered", func() bool { return len(f.nodes[tt.host].board.Registry.Endpoints("model")) == 1 })
			f.endpoints["model-a1"].EventGap = 50 * time.Millisecond
			f.endpoints["model-a1"].SetFault(tt.fault)
			var call sync.WaitGroup
			call.Go(func() {
				status, body, err := f.callHost(tt.host, http.MethodPost, "/stream-gap/x", "r", nil)
				if status != http.StatusOK || body != wholeStream("r") || err != nil {
					t.Errorf("got status %d, body %q, error %v, want the whole stream", status, body, err)
				}
			})
			f.eventually("the stream runs", func() bool { return len(f.runs("model-a1")) == 1 })
			f.startEndpoint("model-a2", "model", "a")
			f.endpoints["model-a2"].SetFault(routed.Fault{Times: 5, NotRun: true})
			call.Wait()
		})
	}
}

// TestBrieflySilentStreamRunsTwice: an endpoint that is silent for a second or so in the
// middle of a stream keeps it, although another endpoint would continue it.
func TestBrieflySilentStreamRunsTwice(t *testing.T) {
	f := startFleet(t)
	f.startEndpoint("model-a2", "model", "a")
	f.eventually("three endpoints are registered", func() bool { return len(f.nodes["a"].board.Registry.Endpoints("model")) == 3 })
	for _, e := range f.endpoints {
		e.SetFault(routed.Fault{Times: 1, PauseAfter: 2, Pause: 1500 * time.Millisecond})
	}
	status, body, err := f.call(http.MethodPost, "/stream-gap/x", "r", nil)
	if status != http.StatusOK || body != wholeStream("r") || err != nil {
		t.Errorf("got status %d, body %q, error %v, want the whole stream", status, body, err)
	}
	if n := len(f.runs("model-a1", "model-a2", "model-b1")); n != 1 {
		t.Errorf("the stream ran %d times, want once", n)
	}
}

// TestSilentAnswerIsLostToRefusal: a request that may be repeated and whose endpoint is silent
// for a second or so before its answer is answered, although the other endpoint refuses.
func TestSilentAnswerIsLostToRefusal(t *testing.T) {
	const target = 200 * time.Millisecond
	shares := func(service string) []rules.Share { return []rules.Share{{Service: service, Weight: 1}} }
	for _, tt := range []struct{ name, path, service string }{
		{"safe", "/safe/x", "plain"},
		{"stream before its first event", "/stream/x", "model"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := startFleet(t)
			f.store.put(feed.Change{RemovedEndpoint: tt.service + "-b1"})
			f.store.put(feed.Change{Rules: rules.New(8, []rules.Route{
				{Name: "safe", Host: "h", Prefix: "/safe/", Shares: shares("plain"), Kind: rules.Safe, Attempts: 2, Timeout: 3 * waitTimeout, Target: target},
				{Name: "stream", Host: "h", Prefix: "/stream/", Shares: shares("model"), Kind: rules.Stream, Resumable: true, Attempts: 2, Timeout: 3 * waitTimeout, Target: target},
			}, []rules.Service{{Name: "plain"}, {Name: "model"}}, rules.Limits{})})
			f.eventually("the rules are in force and one endpoint is registered", func() bool {
				b := f.nodes["a"].board
				return b.Routes.Version() == 8 && len(b.Registry.Endpoints(tt.service)) == 1
			})
			e := f.endpoints[tt.service+"-a1"]
			e.SetHeadDelay(1300 * time.Millisecond)
			var call sync.WaitGroup
			call.Go(func() {
				if status, body, err := f.call(http.MethodPost, tt.path, "r", nil); status != http.StatusOK || err != nil {
					t.Errorf("got status %d, body %q, error %v, want the answer of the silent endpoint", status, body, err)
				}
			})
			f.eventually("the request runs", func() bool { return len(e.Runs()) == 1 })
			f.startEndpoint("other", tt.service, "a")
			f.endpoints["other"].SetFault(routed.Fault{Times: 1 << 20, NotRun: true})
			call.Wait()
		})
	}
}
