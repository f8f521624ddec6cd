package node

import (
	"fmt"
	"net/http"
	"slices"
	"testing"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
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
				runs, wantRuns := len(f.runs(first, second)), map[string]int{"plain": 2, "model": 7}[service]*len(routed.LateCopies())
				if runs != wantRuns {
					t.Errorf("got %d runs, want %d", runs, wantRuns)
				}
			})
		}
	}
}

// TestRefusalsWrittenOnceMoreAreNotBelieved guards against a refusal that a faulty endpoint writes once
// more on a kept connection: the caller of the next request would come back, or another endpoint
// run it, although it runs.
func TestRefusalsWrittenOnceMoreAreNotBelieved(t *testing.T) {
	statuses := []int{http.StatusBadRequest, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable}
	for _, region := range []string{"a", "b"} {
		for _, service := range []string{"plain", "model"} {
			where := map[string]string{"a": "local", "b": "relayed"}[region]
			t.Run(fmt.Sprint(where, " ", service, " answered"), func(t *testing.T) {
				t.Parallel()
				c := startCopies(t, region, service)
				for _, late := range routed.LateCopies() {
					for _, status := range statuses {
						c.play(routed.Fault{Late: late, LateStatus: status})
					}
				}
			})
			// Endpoints that send no answer get fewer requests for a time, so each has its own fleet.
			for i, late := range []routed.Late{routed.LateEarlier, routed.LateUnknown, routed.LateTwoIDs, routed.LateNoID} {
				t.Run(fmt.Sprint(where, " ", service, " silent ", late), func(t *testing.T) {
					t.Parallel()
					startCopies(t, region, service).play(routed.Fault{Late: late, LateStatus: statuses[i], Silent: true})
				})
			}
		}
	}
}

// copies is a fleet whose two endpoints of a service write refusals once more.
type copies struct {
	*fleet
	first, second string
	path          string
	answer        func(id string) string
}

func startCopies(t *testing.T, region, service string) *copies {
	c := &copies{fleet: startFleet(t), path: "/unsafe/x", answer: routed.PlainAnswer}
	c.first, c.second = c.onlyIn(region, service)
	if service == "model" {
		c.path, c.answer = "/stream-once/x", wholeStream
	}
	return c
}

func (c *copies) inject(f routed.Fault) {
	f.Times = 2
	c.endpoints[c.first].SetFault(f)
	c.endpoints[c.second].SetFault(f)
}

// play has both endpoints refuse a request, and then sends one that runs behind a copy.
func (c *copies) play(f routed.Fault) {
	c.t.Helper()
	name := fmt.Sprint(f.Late, " ", f.LateStatus)
	c.inject(routed.Fault{NotRun: true})
	if status, _, err := c.call("POST", c.path, "refused before "+name, nil); status != http.StatusServiceUnavailable || err != nil {
		c.t.Fatalf("%s: got status %d, error %v, want a refusal", name, status, err)
	}
	c.inject(f)
	id := "after " + name
	status, body, err := c.call("POST", c.path, id, func(r *http.Request) {
		if f.Silent {
			r.Header.Set(platTerms.Deadline, "300")
		}
	})
	all := c.runs(c.first, c.second)
	runs := slices.DeleteFunc(all, func(r routed.Run) bool { return r.ID != id })
	if len(runs) != 1 {
		c.t.Fatalf("%s: ran %d times, got status %d, want one run", id, len(runs), status)
	}
	if conn := runs[0].Conn; conn != c.endpoints[c.first].RefusedConn() && conn != c.endpoints[c.second].RefusedConn() {
		c.t.Errorf("%s: ran on another connection than the refused request's", id)
	}
	switch {
	case fault.StatesNotRun(status):
		c.t.Errorf("%s: got status %d, body %q, want no word that it did not run", id, status, body)
	case f.Silent && status < http.StatusInternalServerError:
		c.t.Errorf("%s: got status %d, body %q, want a failure", id, status, body)
	case !f.Silent && (status != http.StatusOK || body != c.answer(id) || err != nil):
		c.t.Errorf("%s: got status %d, body %q, error %v, want the request's own answer", id, status, body, err)
	}
}
