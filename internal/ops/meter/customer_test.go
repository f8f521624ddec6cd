package meter

import (
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
)

// TestCustomerSeriesAreBounded guards against series of customers that were removed staying forever.
func TestCustomerSeriesAreBounded(t *testing.T) {
	m := New()
	for _, name := range []string{"", "stays", "gone"} {
		m.CountCustomerRefusal(fault.BadKey, name)
		m.CountCustomerRefusal(fault.NotReady, name)
	}
	m.KeepCustomers([]string{"stays"})
	series := make(chan prometheus.Metric, 16)
	m.customerRefusals.Collect(series)
	if len(series) != 4 {
		t.Errorf("%d series are left, want 4: two reasons of the customer that stays and of unknown keys", len(series))
	}
}
