package rules

import (
	"fmt"
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
