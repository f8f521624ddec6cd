package node

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/stand/forged"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// innerRequest is a request that stands in the body of another one.
func innerRequest(id string) string {
	return "POST /unsafe/hidden HTTP/1.1\r\nHost: h\r\n" + platTerms.RequestID + ": " + id + "\r\nContent-Length: 0\r\n\r\n"
}

// allRuns returns the runs of all endpoints.
func (f *fleet) allRuns() []routed.Run { return f.runs(slices.Sorted(maps.Keys(f.endpoints))...) }

// TestRequestInsideAnotherOneRuns guards against a request in the body of another one that is run, as the head or the
// chunks around it are read in two ways. Such a request gets 400, and nothing behind it on its connection is read.
func TestRequestInsideAnotherOneRuns(t *testing.T) {
	for region, where := range map[string]string{"a": "local", "b": "relayed"} {
		t.Run(where, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t)
			f.onlyIn(region, "plain")
			address := f.nodes["a"].settings.Callers
			shapes := append(forged.Heads(), forged.Bodies()...)
			for i, s := range shapes {
				outer, hidden := fmt.Sprintf("outer-%d", i), fmt.Sprintf("hidden-%d", i)
				text := s.Text("POST /unsafe/x", "h", platTerms.RequestID+": "+outer+"\r\n", innerRequest(hidden))
				answers, ended, err := forged.Send(address, text, waitTimeout, time.Second)
				if err != nil {
					t.Fatal(err)
				}
				if len(answers) != 1 || answers[0].Status != http.StatusBadRequest || !ended {
					t.Errorf("%s: got answers %v, connection ended %v, want 400 and its end: %q", s.Name, answers, ended, text)
				}
			}
			for _, r := range f.allRuns() {
				t.Errorf("%s %s ran as %s", r.Method, r.Target, r.ID)
			}
			f.checkMalformedLogged(len(shapes))
		})
	}
}

// checkMalformedLogged checks the log lines of refused requests: one for each, which quotes what was wrong and is bounded.
func (f *fleet) checkMalformedLogged(want int) {
	f.t.Helper()
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	lines := 0
	for _, line := range f.log.lines {
		if line["message"] != "malformed request refused" {
			continue
		}
		lines++
		if detail := fmt.Sprint(line["detail"]); line["listener"] != "callers" || line["reason"] == "" || detail == "" || len(detail) > 500 {
			f.t.Errorf("log line %v", line)
		}
	}
	if lines != want {
		f.t.Errorf("%d log lines of malformed requests, want %d", lines, want)
	}
}

// TestSoundRequestIsChanged guards against a request that is only unusual, or holds the text of another one in its body,
// and that is refused, or reaches its endpoint with another method, target or body.
func TestSoundRequestIsChanged(t *testing.T) {
	for region, where := range map[string]string{"a": "local", "b": "relayed"} {
		t.Run(where, func(t *testing.T) {
			t.Parallel()
			f := startFleet(t)
			f.onlyIn(region, "plain")
			for i, s := range forged.Sound() {
				for _, method := range []string{"POST", "GET", "DELETE", "Odd-Method"} {
					id, inner := fmt.Sprintf("sound-%d-%s", i, method), innerRequest("hidden")
					text := s.Text(method+" /unsafe/x", "h", platTerms.RequestID+": "+id+"\r\n", inner)
					answers, _, err := forged.Send(f.nodes["a"].settings.Callers, text, waitTimeout, 20*time.Millisecond)
					if err != nil || len(answers) != 1 || answers[0].Status != http.StatusOK {
						t.Errorf("%s %s: got answers %v, error %v, want one with 200", s.Name, method, answers, err)
					}
					ran := 0
					for _, r := range f.allRuns() {
						if r.ID != id {
							continue
						}
						if ran++; r.Method != method || r.Target != "/unsafe/x"+s.Target || r.Body != inner {
							t.Errorf("%s: %s %q ran with body %q", s.Name, r.Method, r.Target, r.Body)
						}
					}
					if ran != 1 {
						t.Errorf("%s %s: %d runs, want 1", s.Name, method, ran)
					}
				}
			}
			for _, r := range f.allRuns() {
				if strings.HasPrefix(r.ID, "hidden") {
					t.Errorf("%s ran", r.ID)
				}
			}
		})
	}
}
