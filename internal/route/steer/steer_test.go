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
		name  string
		own   string
		alive []string
		loads []Load
		want  []string
		why   Why
	}{
		{"nothing known", "a", all, nil, []string{"a"}, Own},
		{"nothing known, no host", "a", []string{"b", "c"}, nil, []string{"b", "c"}, Without},
		{"a home", "b", all, mixed, []string{"b"}, Own},
		{"most is bound elsewhere", "a", all, mixed, []string{"b"}, Cross},
		{"less is bound elsewhere", "a", all, []Load{{Homes: []string{"b"}, Amount: 5}, {Amount: 5}}, []string{"a"}, Own},
		{"the home has no host", "a", []string{"a", "c"}, mixed, []string{"a"}, Own},
		{"no host, a home", "a", []string{"b", "c"}, mixed, []string{"b"}, Without},
		{"homes that differ", "c", all, disjoint, []string{"a", "b"}, Cross},
		{"homes that differ, no host", "d", all, disjoint, []string{"a", "b"}, Without},
		{"nobody", "a", nil, mixed, nil, Without},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			list, why := Regions(tt.own, tt.alive, tt.loads)
			if !slices.Equal(list, tt.want) || why != tt.why {
				t.Errorf("Regions = %v, %s; want %v, %s", list, why, tt.want, tt.why)
			}
		})
	}
}

// TestNeverWorseThanTheOwnRegion: whatever is chosen lives, and may hold no less of
// the requests than the callers' own region.
func TestNeverWorseThanTheOwnRegion(t *testing.T) {
	regions := []string{"a", "b", "c", "d"}
	rapid.Check(t, func(rt *rapid.T) {
		subset := rapid.SliceOfDistinct(rapid.SampledFrom(regions), rapid.ID)
		alive := subset.Draw(rt, "alive")
		var loads []Load
		for range rapid.IntRange(0, 5).Draw(rt, "loads") {
			loads = append(loads, Load{Homes: subset.Draw(rt, "homes"), Amount: rapid.Float64Range(0, 100).Draw(rt, "amount")})
		}
		list, _ := Regions("a", alive, loads)
		if len(list) == 0 && len(alive) > 0 {
			rt.Fatal("no region though some have hosts")
		}
		for _, r := range list {
			if !slices.Contains(alive, r) {
				rt.Errorf("%s has no host", r)
			}
			if slices.Contains(alive, "a") && share(r, loads) < share("a", loads) {
				rt.Errorf("%s holds less than the own region", r)
			}
		}
	})
}
