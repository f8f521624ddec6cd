package node

import (
	"fmt"
	"testing"

	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// TestRepeatedAnswersReachNoOtherCaller guards against a late copy of an answer on a reused
// connection, which must not reach the next caller, nor make its request count as not run.
func TestRepeatedAnswersReachNoOtherCaller(t *testing.T) {
	for _, region := range []string{"a", "b"} {
		for _, service := range []string{"plain", "model"} {
			t.Run(fmt.Sprint(map[string]string{"a": "local", "b": "relayed"}[region], " ", service), func(t *testing.T) {
				t.Parallel()
				f := startFleet(t)
				first, second := f.onlyIn(region, service)
				path, want := "/unsafe/x", routed.PlainAnswer
				if service == "model" {
					path, want = "/stream/x", wholeStream
				}
				call := func(id string) {
					if status, body, err := f.call("POST", path, id, nil); status != 200 || body != want(id) || err != nil {
						t.Errorf("%s: got status %d, body %q, error %v, want the request's own answer", id, status, body, err)
					}
				}
				inject := func(injected routed.Fault) {
					f.endpoints[first].SetFault(injected)
					f.endpoints[second].SetFault(injected)
				}
				for _, late := range routed.LateCopies() {
					// The first request of each pair leaves a connection at both endpoints.
					cut := routed.Fault{Times: 1, CutAfter: 2, CutOnce: true}
					inject(routed.Fault{})
					call(fmt.Sprint("before ", late))
					if service == "model" {
						inject(cut)
						call(fmt.Sprint("resumed before ", late))
						cut.Late = late
						inject(cut)
						call(fmt.Sprint("resumed after ", late))
						inject(routed.Fault{})
						call(fmt.Sprint("again before ", late))
					}
					inject(routed.Fault{Times: 1, Late: late})
					call(fmt.Sprint("after ", late))
				}
				runs, wantRuns := len(f.runs(first, second)), map[string]int{"plain": 8, "model": 28}[service]
				if runs != wantRuns {
					t.Errorf("got %d runs, want %d", runs, wantRuns)
				}
			})
		}
	}
}
