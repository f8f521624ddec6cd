package rules

import (
	"math"
	"testing"
)

// TestCost: a request counts as nothing, or as less than nothing, because of the counts that its
// caller states.
func TestCost(t *testing.T) {
	tokens := Customer{Quota: Quota{Unit: Tokens, Uncounted: 500}}
	for _, tt := range []struct {
		c            Customer
		prompt, most int
		want         float64
	}{
		{tokens, 100, 20, 120},
		{tokens, 0, 0, 500},
		{tokens, math.MaxInt, math.MaxInt, 2 * float64(math.MaxInt)},
		{Customer{Quota: Quota{Unit: Requests}}, 100, 20, 1},
	} {
		if got := tt.c.Cost(tt.prompt, tt.most); got != tt.want {
			t.Errorf("%d and %d tokens count %.0f %s, want %.0f", tt.prompt, tt.most, got, tt.c.Quota.Unit, tt.want)
		}
	}
}
