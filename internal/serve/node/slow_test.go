package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// TestSlowCallerGetsItsWholeStream guards against a stream that is cut, or run again elsewhere, as
// its caller does not read for longer than the endpoint may be silent.
func TestSlowCallerGetsItsWholeStream(t *testing.T) {
	// The events fill the buffers of all connections on the way.
	const count, pause = 10_000, 4 * time.Second
	id, want := strings.Repeat("r", 1000), 0
	for n := range count {
		want += len(routed.Event(id, n))
	}
	for _, tt := range []struct{ name, host, path string }{
		{"with a gap target", "a", "/stream-gap/x"},
		{"with a gap target, relayed", "b", "/stream-gap/x"},
		{"not resumable", "a", "/stream-once/x"},
		{"not resumable, relayed", "b", "/stream-once/x"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t)
			f.store.put(feed.Change{RemovedEndpoint: "model-b1"})
			f.startEndpoint("model-a2", "model", "a")
			f.eventually("the endpoints of region a are registered", func() bool {
				for _, n := range f.nodes {
					_, left := n.board.Registry.Get("model-b1")
					if _, added := n.board.Registry.Get("model-a2"); left || !added {
						return false
					}
				}
				return true
			})
			for _, name := range []string{"model-a1", "model-a2"} {
				f.endpoints[name].EventCount = count
			}
			status, body, err := f.callResponse(tt.host, http.MethodPost, tt.path, id, func(*http.Response) { time.Sleep(pause) }, nil)
			if status != http.StatusOK || len(body) != want || err != nil {
				t.Errorf("got status %d, %d bytes, error %v, want %d bytes", status, len(body), err, want)
			}
			if n := len(f.runs("model-a1", "model-a2")); n != 1 {
				t.Errorf("the stream ran %d times, want once", n)
			}
		})
	}
}

// TestStalledStreamOutlastsItsDeadline guards against a stream that is open after its deadline, at
// its caller or at its endpoint, as the endpoint sends a comment or a byte now and then and no other
// endpoint can serve it.
func TestStalledStreamOutlastsItsDeadline(t *testing.T) {
	const deadline, slack = 3 * time.Second, 1500 * time.Millisecond
	for _, host := range []string{"a", "b"} {
		for _, path := range []string{"/stream-gap/x", "/stream-once/x", "/unsafe/x"} {
			for _, text := range []string{": ping\n\n", "d"} {
				t.Run(fmt.Sprint(host, path, " ", strings.TrimSpace(text)), func(t *testing.T) {
					t.Parallel()
					f := startFleet(t)
					left := make(chan time.Time, 1)
					e := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						w.Header().Set(platTerms.RequestID, r.Header.Get(platTerms.RequestID))
						if strings.Contains(path, "stream") {
							w.Header().Set("Content-Type", "text/event-stream")
							_, _ = w.Write([]byte(routed.Event("r", 0)))
						}
						for r.Context().Err() == nil {
							_, _ = w.Write([]byte(text))
							_ = http.NewResponseController(w).Flush()
							time.Sleep(100 * time.Millisecond)
						}
						left <- time.Now()
					}))
					t.Cleanup(e.Close)
					for _, id := range []string{"model-a1", "model-b1", "plain-a1", "plain-b1"} {
						f.store.put(feed.Change{RemovedEndpoint: id})
					}
					for _, service := range []string{"model", "plain"} {
						f.store.put(feed.Change{Key: "slow-" + service, Endpoint: &regis.Endpoint{
							ID: "slow-" + service, Service: service, Address: e.Listener.Addr().String(), Centre: "a1", Slots: 8,
						}})
					}
					f.eventually("only the slow endpoints are registered", func() bool {
						for _, n := range f.nodes {
							if _, ok := n.board.Registry.Get("slow-plain"); !ok || n.board.Registry.Len() != 2 {
								return false
							}
						}
						return true
					})
					start := time.Now()
					status, body, err := f.callHost(host, http.MethodPost, path, "r", func(r *http.Request) {
						r.Header.Set(platTerms.Deadline, fmt.Sprint(deadline.Milliseconds()))
					})
					if took := time.Since(start); took < deadline-slack/3 || took > deadline+slack || (status == http.StatusOK && err == nil) {
						t.Errorf("status %d, body %q, error %v after %v, want a failure after %v", status, body, err, took, deadline)
					}
					select {
					case at := <-left:
						if took := at.Sub(start); took > deadline+slack {
							t.Errorf("the endpoint's request ended after %v", took)
						}
					case <-time.After(2 * time.Second):
						t.Error("the endpoint still has the request")
					}
				})
			}
		}
	}
}
