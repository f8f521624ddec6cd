package meter

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
)

// TestReasons holds the typed lists and the metrics together: every reason of a
// refusal and of a retry has its counter from the beginning, and a status.
func TestReasons(t *testing.T) {
	m := New()
	if got, want := testutil.CollectAndCount(m.refusals), 3*len(fault.Codes()); got != want {
		t.Errorf("%d refusal counters, want %d", got, want)
	}
	if got, want := testutil.CollectAndCount(m.retries), len(retry.Reasons()); got != want {
		t.Errorf("%d retry counters, want %d", got, want)
	}
	for _, c := range fault.Codes() {
		if s := c.Status(); s < 400 || s == 500 {
			t.Errorf("%s has status %d", c, s)
		}
		m.Refusal(fault.New(c, fault.RanNo, "x"))
	}
	for _, r := range retry.Reasons() {
		m.Retry(r)
		m.Denied(r)
	}
	if got, want := testutil.CollectAndCount(m.refusals), 3*len(fault.Codes()); got != want {
		t.Errorf("%d refusal counters after use, want %d", got, want)
	}
}

func TestTimesOfRoutesThatAreGone(t *testing.T) {
	m := New()
	m.Took("old", "answered", time.Second)
	m.Took("old", "busy", time.Second)
	m.Took("kept", "answered", time.Second)
	m.Took("", "no_route", time.Millisecond)
	m.Routes([]string{"kept", "new"})
	if got := testutil.CollectAndCount(m.took); got != 2 {
		t.Errorf("%d sets of times, want those of the kept route and of none", got)
	}
	m.Took("old", "answered", time.Second)
	m.Routes([]string{"kept"})
	if got := testutil.CollectAndCount(m.took); got != 2 {
		t.Errorf("%d sets of times after a late request", got)
	}
}
