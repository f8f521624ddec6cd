package steer

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

func TestRegions(t *testing.T) {
	all := []string{"a", "b", "c"}
	mixed := []Load{{Homes: []string{"b"}, Amount: 6}, {Amount: 4}}
	disjoint := []Load{{Homes: []string{"a", "b"}, Amount: 6}, {Homes: []string{"c"}, Amount: 4}}
	tests := []struct {
		name      string
		local     string
		available []string
		loads     []Load
		want      []string
		why       Reason
	}{
		{"no known loads", "a", all, nil, []string{"a"}, Local},
		{"no known loads, no local host", "a", []string{"b", "c"}, nil, []string{"b", "c"}, NoLocalHost},
		{"local region is a home", "b", all, mixed, []string{"b"}, Local},
		{"most requests have a remote home", "a", all, mixed, []string{"b"}, CrossToHome},
		{"half of the requests have a remote home", "a", all, []Load{{Homes: []string{"b"}, Amount: 5}, {Amount: 5}}, []string{"a"}, Local},
		{"remote home without a host", "a", []string{"a", "c"}, mixed, []string{"a"}, Local},
		{"no local host, one home", "a", []string{"b", "c"}, mixed, []string{"b"}, NoLocalHost},
		{"different homes", "c", all, disjoint, []string{"a", "b"}, CrossToHome},
		{"different homes, no local host", "d", all, disjoint, []string{"a", "b"}, NoLocalHost},
		{"no host at all", "a", nil, mixed, nil, NoLocalHost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			list, why := Regions(tt.local, tt.available, tt.loads)
			if !slices.Equal(list, tt.want) || why != tt.why {
				t.Errorf("Regions = %v, %s; want %v, %s", list, why, tt.want, tt.why)
			}
		})
	}
}

// TestChosenRegionsServeMore checks that every chosen region has a host and may serve no
// smaller share of the requests than the callers' local region.
func TestChosenRegionsServeMore(t *testing.T) {
	regions := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(rt *rapid.T) {
		subset := rapid.SliceOfDistinct(rapid.SampledFrom(regions), rapid.ID)
		available := subset.Draw(rt, "available")
		var loads []Load
		for range rapid.IntRange(0, 5).Draw(rt, "loads") {
			loads = append(loads, Load{Homes: subset.Draw(rt, "homes"), Amount: rapid.Float64Range(0, 100).Draw(rt, "amount")})
		}
		list, _ := Regions("a", available, loads)
		if len(list) == 0 && len(available) > 0 {
			rt.Fatal("chose no region though some have hosts")
		}
		for _, r := range list {
			if !slices.Contains(available, r) {
				rt.Errorf("chose region %s, which has no host", r)
			}
			if slices.Contains(available, "a") && servableShare(r, loads) < servableShare("a", loads) {
				rt.Errorf("region %s may serve a smaller share than the local region", r)
			}
		}
	})
}
