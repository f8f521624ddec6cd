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

// TestCallersLedAstray: callers of a region without a ready host are not given hosts that
// lie neither there nor in a home of their requests while leaving ones do.
func TestCallersLedAstray(t *testing.T) {
	homes := []Load{{Homes: []string{"a", "b"}, Amount: 6}, {Amount: 4}}
	few := []Load{{Homes: []string{"a", "b"}, Amount: 1}, {Amount: 40}, {Homes: []string{"c"}, Amount: 60}}
	tests := []struct {
		name    string
		local   string
		chosen  []string
		leaving []string
		loads   []Load
		want    []string
	}{
		{"ready host in the region", "c", []string{"c"}, []string{"a"}, homes, nil},
		{"ready host in a home", "c", []string{"b"}, []string{"a", "c"}, homes, nil},
		{"leaving hosts in the region and in a home", "a", []string{"c"}, []string{"a", "b", "d"}, homes, []string{"a", "b"}},
		{"leaving hosts in the region, which is no home", "d", []string{"c"}, []string{"d"}, homes, []string{"d"}},
		{"leaving hosts elsewhere", "a", []string{"c"}, []string{"d"}, homes, nil},
		{"hosts that failed", "a", []string{"c"}, nil, homes, nil},
		{"few requests with such homes", "d", []string{"c"}, []string{"a"}, few, nil},
		{"no homes", "a", []string{"c"}, []string{"a"}, []Load{{Amount: 4}}, nil},
		{"no ready host at all", "a", nil, []string{"b", "c"}, []Load{{Amount: 4}}, []string{"b", "c"}},
		{"no ready host at all, with homes", "a", nil, []string{"b", "c"}, homes, []string{"b"}},
		{"no ready host at all, none near the homes", "a", nil, []string{"c"}, homes, []string{"c"}},
		{"unknown loads", "a", []string{"c"}, []string{"a"}, nil, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := LeavingRegions(tt.local, tt.chosen, tt.leaving, tt.loads); !slices.Equal(got, tt.want) {
				t.Errorf("LeavingRegions = %v, want %v", got, tt.want)
			}
		})
	}
}
