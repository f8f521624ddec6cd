package slow

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/base/seeds"
)

func init() { seeds.Fix() }

var start = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

// TestSharesAddUp holds for any fleet: hosts that know each other never send more
// than the rate together, and all of it is used.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(rt, "hosts")
		most := rapid.IntRange(0, 60).Draw(rt, "most")
		endpoint := rapid.String().Draw(rt, "endpoint")
		sum := 0
		for i := range n {
			table := New(start, strconv.Itoa(i))
			var others []string
			for j := range n {
				if j != i {
					others = append(others, strconv.Itoa(j))
				}
			}
			now := start.Add(time.Minute)
			table.Hosts(now, others)
			sum += table.Share(now, endpoint, most)
		}
		if sum != most {
			rt.Fatalf("%d hosts send %d of %d", n, sum, most)
		}
	})
}

func TestNothingBeforeOthersAreKnown(t *testing.T) {
	table := New(start, "a")
	if table.Share(start.Add(settle-1), "e", 10) != 0 || table.Share(start.Add(settle), "e", 10) != 10 {
		t.Error("a host that has just started takes the whole rate")
	}
}

// TestEndedHostStillCounts: what a host sent before it ended counts in the same
// second as what the others send then.
func TestEndedHostStillCounts(t *testing.T) {
	table := New(start, "a")
	now := start.Add(time.Minute)
	table.Hosts(now, []string{"b"})
	table.Hosts(now.Add(time.Second), nil)
	if got := table.Share(now.Add(time.Second), "e", 10); got != 5 {
		t.Errorf("share %d right after the other ended", got)
	}
	table.Hosts(now.Add(2*time.Second), nil)
	if got := table.Share(now.Add(2*time.Second), "e", 10); got != 10 {
		t.Errorf("share %d long after the other ended", got)
	}
}
