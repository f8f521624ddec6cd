package meter

import (
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
)

// TestReasons checks that every refusal code and every retry reason has its counters
// before it first occurs, and that every code has an HTTP error status.
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
			t.Errorf("code %s has status %d, want at least 400 and not 500, the status of unknown codes", c, s)
		}
		m.CountRefusal(fault.New(c, fault.RanNo, "x"))
	}
	for _, r := range retry.Reasons() {
		m.CountRetry(r)
		m.CountRetryDenied(r)
	}
	if got, want := testutil.CollectAndCount(m.refusals), 3*len(fault.Codes()); got != want {
		t.Errorf("%d refusal counters after use, want %d", got, want)
	}
}

// TestRemovedRoutes checks that the request times of removed routes are dropped, also
// those of a request that ends after its route was removed.
func TestRemovedRoutes(t *testing.T) {
	m := New()
	m.ObserveRequestTime("old", "answered", time.Second)
	m.ObserveRequestTime("old", "busy", time.Second)
	m.ObserveRequestTime("kept", "answered", time.Second)
	m.ObserveRequestTime("", "no_route", time.Millisecond)
	m.KeepRoutes([]string{"kept", "new"})
	if got := testutil.CollectAndCount(m.requestTime); got != 2 {
		t.Errorf("%d series of request times, want 2: the kept route and no route", got)
	}
	m.ObserveRequestTime("old", "answered", time.Second)
	m.KeepRoutes([]string{"kept"})
	if got := testutil.CollectAndCount(m.requestTime); got != 2 {
		t.Errorf("%d series of request times after a request of a removed route, want 2", got)
	}
}

// TestRemovedCustomers checks that the series of customers that are no longer published are dropped,
// also those of a request that ends after its customer was removed.
func TestRemovedCustomers(t *testing.T) {
	m := New()
	m.CountCustomer("unknown", true)
	m.KeepLimited([]string{"old", "kept"})
	for _, name := range []string{"old", "kept"} {
		m.CountCustomer(name, true)
		m.CountCustomer(name, false)
		m.SetCustomerLevel(name, 5)
	}
	m.KeepLimited([]string{"kept"})
	m.CountCustomer("old", false)
	m.SetCustomerLevel("old", 5)
	if requests, levels := testutil.CollectAndCount(m.customerRequests), testutil.CollectAndCount(m.customerLevels); requests != 2 || levels != 1 {
		t.Errorf("%d series of requests and %d of levels, want those of one customer: 2 and 1", requests, levels)
	}
}

// TestRemovedEndpoints checks that the series of endpoints that are no longer registered are dropped.
func TestRemovedEndpoints(t *testing.T) {
	m := New()
	m.CountColdRequest("old", "lapsed")
	m.CountColdRequest("old", "registered")
	m.CountColdRequest("kept", "announced")
	m.KeepEndpoints([]string{"kept", "new"})
	if got := testutil.CollectAndCount(m.coldRequests); got != 1 {
		t.Errorf("%d series of requests to cold endpoints, want that of the registered one", got)
	}
}
