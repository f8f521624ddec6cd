package eras

import (
	"cmp"
	"math"
	"testing"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/base/seeds"
)

func init() { seeds.Fix() }

// TestLaterErasAreNewer: ordered revisions compare by era, then by revision.
func TestLaterErasAreNewer(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		draw := func(name string) (era, revision uint64) {
			return rapid.Uint64Range(0, maxEra).Draw(rt, name+" era"), rapid.Uint64Range(0, maxRevision).Draw(rt, name)
		}
		eraA, a := draw("a")
		eraB, b := draw("b")
		want := cmp.Or(cmp.Compare(eraA, eraB), cmp.Compare(a, b))
		if got := cmp.Compare(Join(eraA, a), Join(eraB, b)); got != want {
			rt.Fatalf("era %d revision %d compares as %d with era %d revision %d, want %d", eraA, a, got, eraB, b, want)
		}
		if o := Join(eraA, a); Of(o) != eraA || Revision(o) != a {
			rt.Fatalf("era %d revision %d became era %d revision %d", eraA, a, Of(o), Revision(o))
		}
	})
	if Join(0, 900) != 900 {
		t.Error("a store without eras does not keep its own revisions")
	}
	if Join(4, 900) >= Join(5, 850) || Join(math.MaxUint64, math.MaxUint64) != math.MaxUint64 {
		t.Error("a later era is not newer, or values out of range wrap around")
	}
}
