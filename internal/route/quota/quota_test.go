package quota

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/base/seeds"
)

func init() { seeds.Fix() }

var start = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

// TestSharesAddUp checks for any fleet that the shares of hosts which know each other add
// up to exactly the rate.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(rt, "hosts")
		rate := rapid.IntRange(0, 60).Draw(rt, "rate")
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
			table.UpdateHosts(now, others)
			sum += table.Share(now, endpoint, rate)
		}
		if sum != rate {
			rt.Fatalf("shares of %d hosts add up to %d, want %d", n, sum, rate)
		}
	})
}

// TestNewHostHasNoShare: a host that does not know the others yet would take the whole
// rate.
func TestNewHostHasNoShare(t *testing.T) {
	table := New(start, "a")
	if table.Share(start.Add(discoveryTime-1), "e", 10) != 0 || table.Share(start.Add(discoveryTime), "e", 10) != 10 {
		t.Error("want share 0 before discoveryTime has passed and the whole rate after it")
	}
}

// TestDepartedHostStillCounts: the requests that a host sent just before it ended fall
// into the same second as those that the others send then.
func TestDepartedHostStillCounts(t *testing.T) {
	table := New(start, "a")
	now := start.Add(time.Minute)
	table.UpdateHosts(now, []string{"b"})
	table.UpdateHosts(now.Add(time.Second), nil)
	if got := table.Share(now.Add(time.Second), "e", 10); got != 5 {
		t.Errorf("share %d one second after the other host ended, want 5", got)
	}
	table.UpdateHosts(now.Add(2*time.Second), nil)
	if got := table.Share(now.Add(2*time.Second), "e", 10); got != 10 {
		t.Errorf("share %d two seconds after the other host ended, want 10", got)
	}
}
