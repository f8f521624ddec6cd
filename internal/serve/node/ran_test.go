package node

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// TestRequestsThatMayHaveRun guards against a second run of an unsafe request whose answer was
// lost or is in doubt, and against a status that states that it did not run. All
// endpoints have the fault, so that no attempt of a safe request can hide the first one's.
func TestRequestsThatMayHaveRun(t *testing.T) {
	lost := 502
	tests := []struct {
		name  string
		fault routed.Fault
		// status is that of unsafe requests; safe ones get one of 500 and above.
		status int
		body   string
	}{
		{"connection closed", routed.Fault{Drop: true}, lost, "endpoint failed\n"},
		{"body cut off", routed.Fault{CutBody: true}, lost, "endpoint failed\n"},
		{"reset within the body", routed.Fault{Ending: routed.EndReset}, lost, "endpoint failed\n"},
		{"chunks without the last one", routed.Fault{Ending: routed.EndNoLast}, lost, "endpoint failed\n"},
		{"500", routed.Fault{Status: 500}, 500, "failed"},
		{"504", routed.Fault{Status: 504}, 504, "failed"},
		{"503 without the mark", routed.Fault{Status: 503}, lost, "endpoint failed\n"},
		{"429 without the mark", routed.Fault{Status: 429}, lost, "endpoint failed\n"},
		{"408 without the mark", routed.Fault{Status: 408}, lost, "endpoint failed\n"},
		{"200 with the mark", routed.Fault{Status: 200, Marked: true}, lost, "endpoint failed\n"},
	}
	for _, region := range []string{"a", "b"} {
		where := map[string]string{"a": "local", "b": "relayed"}[region]
		t.Run(where, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t)
			plain, other := f.onlyIn(region, "plain")
			model, otherModel := f.onlyIn(region, "model")
			for _, tt := range tests {
				for _, path := range []string{"/unsafe/x", "/unsafe-twice/x", "/safe/x", "/stream-once/x", "/stream/x"} {
					id := fmt.Sprint(tt.name, " ", path)
					before := len(f.runs(plain, other, model, otherModel))
					tt.fault.Times = 9
					for _, e := range []string{plain, other, model, otherModel} {
						f.endpoints[e].SetFault(tt.fault)
					}
					signed := ""
					status, body, err := f.callResponse("a", "POST", path, id, func(r *http.Response) { signed = r.Header.Get(routed.SignedBy) }, nil)
					if status == lost && signed != "" {
						t.Errorf("%s: got status %d with the signature of %s, which gave another one", id, status, signed)
					}
					runs := len(f.runs(plain, other, model, otherModel)) - before
					if fault.StatesNotRun(status) {
						t.Errorf("%s: got status %d for a request that ran %d times", id, status, runs)
					}
					if runs < 1 || runs > 2 || (runs > 1 && (strings.HasPrefix(path, "/unsafe") || path == "/stream-once/x")) {
						t.Errorf("%s: ran %d times", id, runs)
					}
					if strings.HasPrefix(path, "/unsafe") && (status != tt.status || body != tt.body || err != nil) {
						t.Errorf("%s: got status %d, body %q, error %v, want %d and %q", id, status, body, err, tt.status, tt.body)
					}
					if path == "/safe/x" && status < 500 {
						t.Errorf("%s: got status %d", id, status)
					}
				}
			}
		})
	}
}

// TestRelayEndsAfterTheRun guards against a second run, or a word that there was none, when the
// host that relayed a request ends while its endpoint runs it, or the endpoint never answers.
func TestRelayEndsAfterTheRun(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/unsafe-twice/x", "/safe/x"} {
		for _, ends := range []bool{true, false} {
			t.Run(fmt.Sprint(path, " relay ends ", ends), func(t *testing.T) {
				t.Parallel()
				f := startFleet(t)
				first, second := f.onlyIn("b", "plain")
				for _, e := range []string{first, second} {
					f.endpoints[e].SetFault(routed.Fault{Times: 9, Silent: true})
				}
				done := make(chan int, 1)
				go func() {
					status, _, _ := f.call("POST", path, "r", func(r *http.Request) {
						if !ends {
							r.Header.Set(platTerms.Deadline, "1500")
						}
					})
					done <- status
				}()
				f.eventually("the request runs", func() bool { return len(f.runs(first, second)) > 0 })
				if ends {
					f.closeHost("b")
				}
				status := <-done
				if fault.StatesNotRun(status) || status == 200 {
					t.Errorf("got status %d", status)
				}
				if n := len(f.runs(first, second)); n > 1 && path != "/safe/x" {
					t.Errorf("ran %d times", n)
				}
			})
		}
	}
}

// TestAnswersLostOnKeptConnections guards against a second run of a request, or a word that there was
// none, when a kept connection ends after its endpoint ran the request.
func TestAnswersLostOnKeptConnections(t *testing.T) {
	for _, region := range []string{"a", "b"} {
		for name, lost := range map[string]routed.Fault{
			"closed": {Drop: true}, "body cut off": {CutBody: true}, "reset": {Ending: routed.EndReset},
		} {
			t.Run(fmt.Sprint(map[string]string{"a": "local", "b": "relayed"}[region], " ", name), func(t *testing.T) {
				t.Parallel()
				f := startFleet(t)
				first, second := f.onlyIn(region, "plain")
				for _, path := range []string{"/unsafe/x", "/unsafe-twice/x"} {
					kept := map[string]bool{}
					if status, _, err := f.call("POST", path, "before "+path, nil); status != http.StatusOK || err != nil {
						t.Fatalf("%s: got status %d, error %v, want an answer", path, status, err)
					}
					for _, r := range f.runs(first, second) {
						kept[r.Conn] = true
					}
					lost.Times = 2
					f.endpoints[first].SetFault(lost)
					f.endpoints[second].SetFault(lost)
					status, _, _ := f.call("POST", path, "lost "+path, nil)
					f.endpoints[first].SetFault(routed.Fault{})
					f.endpoints[second].SetFault(routed.Fault{})
					runs := slices.DeleteFunc(f.runs(first, second), func(r routed.Run) bool { return r.ID != "lost "+path })
					if len(runs) != 1 || !kept[runs[0].Conn] || status != http.StatusBadGateway {
						t.Errorf("%s: ran %d times, got status %d, want one run on a kept connection and status 502", path, len(runs), status)
					}
				}
			})
		}
	}
}
