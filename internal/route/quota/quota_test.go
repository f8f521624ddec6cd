package quota

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/base/seeds"
)

func init() { seeds.Fix() }

var start = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

// TestSharesAddUp checks for any fleet that the shares of hosts which know each other add
// up to exactly the rate. The cores of all hosts are known, or of none.
func TestSharesAddUp(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(rt, "hosts")
		rate := rapid.IntRange(0, 60).Draw(rt, "rate")
		endpoint := rapid.String().Draw(rt, "endpoint")
		known := rapid.IntRange(0, 1).Draw(rt, "known")
		var fleet []Host
		for i := range n {
			fleet = append(fleet, Host{Name: strconv.Itoa(i), Cores: float64(known * rapid.IntRange(1, 3).Draw(rt, "cores"))})
		}
		sum := 0
		for i := range n {
			table := New(start, fleet[i])
			others := slices.Delete(slices.Clone(fleet), i, i+1)
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
	table := New(start, Host{Name: "a"})
	if table.Share(start.Add(discoveryTime-1), "e", 10) != 0 || table.Share(start.Add(discoveryTime), "e", 10) != 10 {
		t.Error("want share 0 before discoveryTime has passed and the whole rate after it")
	}
}

// TestDepartedHostStillCounts: the requests that a host sent just before it ended fall
// into the same second as those that the others send then.
func TestDepartedHostStillCounts(t *testing.T) {
	table := New(start, Host{Name: "a"})
	now := start.Add(time.Minute)
	table.UpdateHosts(now, []Host{{Name: "b"}})
	update := func(from, to time.Duration) {
		const period = 200 * time.Millisecond
		for at := from; at <= to; at += period {
			table.UpdateHosts(now.Add(at), nil)
		}
	}
	update(200*time.Millisecond, time.Second)
	if got := table.Share(now.Add(time.Second), "e", 10); got != 5 {
		t.Errorf("share %d one second after the other host ended, want 5", got)
	}
	update(1200*time.Millisecond, 2*time.Second)
	if got := table.Share(now.Add(2*time.Second), "e", 10); got != 10 {
		t.Errorf("share %d two seconds after the other host ended, want 10", got)
	}
}

// TestLargeHostsTakeTheRate: of a rate below the number of hosts, the hosts that get most
// requests take the shares.
func TestLargeHostsTakeTheRate(t *testing.T) {
	const large, rate = 6, 9
	var fleet []Host
	for i := range 65 {
		h := Host{Name: fmt.Sprintf("h%d", i), Cores: 0.2}
		if i < large {
			h.Cores = 0.8
		}
		fleet = append(fleet, h)
	}
	now, sum := start.Add(time.Minute), 0
	for i, h := range fleet {
		table := New(start, h)
		table.UpdateHosts(now, slices.Delete(slices.Clone(fleet), i, i+1))
		share := table.Share(now, "e", rate)
		sum += share
		if i < large && share != 1 {
			t.Errorf("share of large host %s = %d, want 1", h.Name, share)
		}
	}
	if sum != rate {
		t.Errorf("shares add up to %d, want %d", sum, rate)
	}
}

// TestStartedHostWaitsForAllOthers: a host of a large fleet that still learns of others
// after discoveryTime has no share yet.
func TestStartedHostWaitsForAllOthers(t *testing.T) {
	table := New(start, Host{Name: "a"})
	now := start.Add(discoveryTime)
	table.UpdateHosts(now, []Host{{Name: "b"}})
	if got := table.Share(now, "e", 10); got != 0 {
		t.Errorf("share %d when a new host was just listed, want 0", got)
	}
	table.UpdateHosts(now.Add(settleTime), []Host{{Name: "b"}})
	if got := table.Share(now.Add(settleTime), "e", 10); got != 5 {
		t.Errorf("share %d after settleTime without a new host, want 5", got)
	}
	late := start.Add(maxSettleTime)
	table.UpdateHosts(late, []Host{{Name: "b"}, {Name: "c"}})
	if got := table.Share(late, "e", 9); got != 3 {
		t.Errorf("share %d when a host joins a running fleet, want 3", got)
	}
}

// TestViewsOfCoresGiveTheRemainderTwice: hosts that have not learned the cores of all others yet take
// no more than the rate together.
func TestViewsOfCoresGiveTheRemainderTwice(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(rt, "hosts")
		rate := rapid.IntRange(0, 60).Draw(rt, "rate")
		var fleet []Host
		for i := range n {
			fleet = append(fleet, Host{Name: strconv.Itoa(i), Cores: float64(rapid.IntRange(1, 3).Draw(rt, "cores"))})
		}
		sum := 0
		for i := range n {
			others := slices.Delete(slices.Clone(fleet), i, i+1)
			for j := range others {
				if rapid.IntRange(0, 4).Draw(rt, "unknown") == 0 {
					others[j].Cores = 0
				}
			}
			sum += Part(rate, "e", fleet[i], others)
		}
		if sum > rate {
			rt.Fatalf("shares of %d hosts add up to %d, want at most %d", n, sum, rate)
		}
	})
}

// TestPausedHostTakesTheWholeRate: a host that wakes from a pause counts the hosts that it had listed before, until an update shows that
// they are gone, and for a while afterwards.
func TestPausedHostTakesTheWholeRate(t *testing.T) {
	start := time.Now()
	table := New(start, Host{Name: "a", Cores: 1})
	now := start.Add(maxSettleTime)
	others := []Host{{Name: "b", Cores: 1}, {Name: "c", Cores: 1}}
	table.UpdateHosts(now, others)
	for _, pause := range []time.Duration{departedTime, 2 * departedTime, pacedDepartedTime, time.Minute} {
		now = now.Add(pause + time.Millisecond)
		if n := table.Hosts(now); n != 3 {
			t.Errorf("%v after the last update: %d hosts, want 3", pause, n)
		}
		if most, window := table.Pace(now, "e", 3); most > int(window.Seconds()) {
			t.Errorf("%v after the last update: %d requests of a named limit of 3 in %v, want a third", pause, most, window)
		}
		table.UpdateHosts(now, others)
	}
	now = now.Add(time.Minute)
	table.UpdateHosts(now, others[:1])
	if n := table.Hosts(now.Add(departedTime)); n != 3 {
		t.Errorf("a host that is gone after a pause no longer counts: %d hosts, want 3", n)
	}
	if n := table.Hosts(now.Add(departedTime + time.Millisecond)); n != 2 {
		t.Errorf("a host that has been gone for long counts: %d hosts, want 2", n)
	}
}
