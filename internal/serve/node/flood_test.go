package node

import (
	"testing"

	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// TestEndlessAnswerIsServedElsewhere: the caller gets the answer of another endpoint, and
// the log leads from the request's id to the reason and the endpoint.
func TestEndlessAnswerIsServedElsewhere(t *testing.T) {
	for _, flood := range append(routed.HeadFloods(), routed.FloodBody, routed.FloodChunks) {
		t.Run(string(flood), func(t *testing.T) {
			t.Parallel()
			f := startFleet(t)
			first, second := f.onlyIn("a", "plain")
			f.endpoints[first].SetFault(routed.Fault{Times: 1, Flood: flood})
			status, body, err := f.call("GET", "/safe/x", "r", nil)
			if status != 200 || body != routed.PlainAnswer("r") || err != nil || len(f.runs(second)) != 1 {
				t.Errorf("got status %d, body %q, error %v, want the answer of the other endpoint", status, body, err)
			}
			f.eventually("the connection of the endless answer is closed", func() bool { return f.endpoints[first].Cancelled() == 1 })
			f.log.mu.Lock()
			defer f.log.mu.Unlock()
			for _, line := range f.log.lines {
				if line["request"] == "r" && line["message"] == "attempt failed" && line["reason"] == string(retry.Oversize) && line["endpoint"] == first {
					return
				}
			}
			t.Error("no line names the request, the reason and the endpoint")
		})
	}
}
