package held

import (
	"errors"
	"testing"

	"pgregory.net/rapid"
)

func TestDropsWhatGrowsWithoutALengthFirst(t *testing.T) {
	const limit, share = 100, 60
	type answer struct {
		endpoint string
		sized    bool
		bytes    int
		dropped  bool
	}
	tests := []struct {
		name    string
		answers []answer
	}{
		{"within the limit", []answer{{"a", false, 60, false}, {"b", false, 40, false}}},
		{"beyond the limit, the longest goes", []answer{{"a", false, 60, true}, {"b", false, 41, false}}},
		{"an announced length stays", []answer{{"a", true, 60, false}, {"b", false, 20, true}, {"c", true, 25, false}}},
		{"the last one may go itself", []answer{{"a", true, 60, false}, {"b", true, 30, false}, {"c", false, 11, true}}},
		{"beyond the share, answers of others stay", []answer{{"a", false, 30, false}, {"b", false, 35, true}, {"b", true, 26, false}}},
		{"all announced, the longest goes", []answer{{"a", true, 60, true}, {"b", true, 41, false}}},
		{"longer than the share", []answer{{"a", true, 61, true}}},
	}
	for _, tt := range tests {
		a := New(limit, share, func(int) {})
		var list []*Answer
		ended := map[int]bool{}
		for i, want := range tt.answers {
			r := a.Open(want.endpoint, want.sized, func() { ended[i] = true })
			list = append(list, r)
			if err := r.Grow(want.bytes); err != nil {
				ended[i] = errors.Is(err, ErrFull)
			}
		}
		for i, want := range tt.answers {
			if list[i].dropped != want.dropped || ended[i] != want.dropped {
				t.Errorf("%s: answer %d dropped %v, ended %v, want %v", tt.name, i, list[i].dropped, ended[i], want.dropped)
			}
		}
	}
}

// TestAccountStaysBelowItsLimits: whatever opens, grows and ends, and all is free at the end.
func TestAccountStaysBelowItsLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit, share = 1000, 300
		level := 0
		a := New(limit, share, func(n int) { level = n })
		var open []*Answer
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			if len(open) == 0 || rapid.IntRange(0, 3).Draw(t, "step") == 0 {
				endpoint := rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "endpoint")
				open = append(open, a.Open(endpoint, rapid.Bool().Draw(t, "sized"), func() {}))
				continue
			}
			i := rapid.IntRange(0, len(open)-1).Draw(t, "answer")
			if rapid.IntRange(0, 5).Draw(t, "end") == 0 {
				open[i].Close()
				open = append(open[:i], open[i+1:]...)
				continue
			}
			_ = open[i].Grow(rapid.IntRange(0, 400).Draw(t, "bytes"))
			for endpoint, n := range a.shares {
				if n > share {
					t.Fatalf("endpoint %s has %d bytes, at most %d allowed", endpoint, n, share)
				}
			}
			if a.total > limit || level != a.total {
				t.Fatalf("%d bytes are held, %d reported, at most %d allowed", a.total, level, limit)
			}
		}
		for _, r := range open {
			r.Close()
		}
		if a.total != 0 || len(a.shares) != 0 || len(a.answers) != 0 {
			t.Fatalf("after the last answer: %d bytes, %d shares, %d answers", a.total, len(a.shares), len(a.answers))
		}
	})
}
