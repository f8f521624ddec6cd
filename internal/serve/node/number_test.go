package node

import (
	"fmt"
	"math"
	"net/http"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// TestDeadlineOutOfRange guards against a stated number that overflows a duration: the deadline then
// lies in the past, and a caller that waits long is refused at once.
func TestDeadlineOutOfRange(t *testing.T) {
	f := startFleet(t)
	for text, want := range map[string]int{
		"1e300": 200, "9223372036854775808": 200, "1e18": 200, "60000.5": 200,
		"NaN": 400, "Inf": 400, "+Inf": 400, "-Inf": 400, "-1": 400, "1e400": 400, "soon": 400,
	} {
		status, body, err := f.call("GET", "/safe/x", "deadline "+text, func(r *http.Request) { r.Header.Set(platTerms.Deadline, text) })
		if err != nil || status != want {
			t.Errorf("deadline %q: got %d %q, %v, want status %d", text, status, body, err, want)
		}
	}
}

// TestTokensOutOfRange guards against token counts of one request that overflow the queued prefill of
// its endpoint, so that requests of other callers are placed wrongly or refused.
func TestTokensOutOfRange(t *testing.T) {
	f := startFleet(t)
	f.endpoints["model-a1"].SetFault(routed.Fault{Times: 1000, Silent: true})
	f.endpoints["model-b1"].SetFault(routed.Fault{Times: 1000, Silent: true})
	for i := range 3 {
		go func() {
			_, _, _ = f.call("POST", "/stream-once/x", fmt.Sprint("large", i), func(r *http.Request) {
				r.Header.Set(platTerms.Tokens, fmt.Sprint(math.MaxInt64, ",", math.MaxInt64))
				r.Header.Set(platTerms.Parts, fmt.Sprint("a:", math.MaxInt64, ",b:", math.MaxInt64))
				r.Header.Set(platTerms.Deadline, "5000")
			})
		}()
	}
	time.Sleep(time.Second)
	f.endpoints["model-a1"].SetFault(routed.Fault{})
	f.endpoints["model-b1"].SetFault(routed.Fault{})
	for i := range 4 {
		id := fmt.Sprint("small", i)
		began := time.Now()
		status, body, err := f.call("POST", "/stream/x", id, func(r *http.Request) {
			r.Header.Set(platTerms.Tokens, "100,10")
			r.Header.Set(platTerms.Parts, "c:50,d:50")
			r.Header.Set(platTerms.Deadline, "3000")
		})
		if err != nil || status != 200 || body != wholeStream(id) {
			t.Errorf("request beside large ones: got %d %q, %v after %v, want a whole stream", status, body, err, time.Since(began))
		}
	}
}
