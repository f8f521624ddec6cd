package rules

import (
	"fmt"
	"math"
	"testing"
)

// TestCompareCustomers guards against log lines that miss a change of a key, a priority, homes or a
// quota, or that contain a key.
func TestCompareCustomers(t *testing.T) {
	key := func(text string) KeyHash { return HashKey([]byte(text)) }
	low, high := 5, 0
	version := func(list ...Customer) *Rules { return New(1, nil, nil, Limits{}, WithCustomers(list)) }
	old := version(
		Customer{Name: "same", Keys: []KeyHash{key("s1"), key("s2")}, Priority: &low},
		Customer{Name: "key", Keys: []KeyHash{key("k1")}},
		Customer{Name: "priority", Priority: &low},
		Customer{Name: "homes", Homes: []string{"a"}},
		Customer{Name: "quota", Quota: Quota{Burst: 1}},
		Customer{Name: "gone", Keys: []KeyHash{key("g1")}},
	)
	lowAgain := 5
	next := version(
		Customer{Name: "same", Keys: []KeyHash{key("s2"), key("s1")}, Priority: &lowAgain},
		Customer{Name: "key", Keys: []KeyHash{key("k2")}},
		Customer{Name: "priority", Priority: &high},
		Customer{Name: "homes"},
		Customer{Name: "quota", Quota: Quota{Burst: 2}},
		Customer{Name: "new", Keys: []KeyHash{key("n1")}},
	)
	got := fmt.Sprintf("%+v", CompareCustomers(old, next))
	want := fmt.Sprintf("{Added:[new] Changed:[key priority homes quota] Removed:[gone] KeysAdded:[key:%s new:%s] KeysRemoved:[gone:%s key:%s]}",
		key("k2").Short(), key("n1").Short(), key("g1").Short(), key("k1").Short())
	if got != want {
		t.Errorf("changes are %s, want %s", got, want)
	}
	if d := CompareCustomers(nil, old); len(d.Added) != 6 || len(d.KeysAdded) != 4 {
		t.Errorf("changes from no rules are %+v, want 6 customers with 4 keys", d)
	}
}

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
