package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

var begin = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

// TestWindowsOfAllHosts checks for any arrivals and failures that in every window the
// retries of all hosts together stay within the bound. Its requests are those of that
// window, the one before, or the one half a window before, whichever has the most.
func TestWindowsOfAllHosts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		hosts := rapid.IntRange(1, 12).Draw(rt, "hosts")
		b := Bound{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
		var list []*FleetBudget
		for range hosts {
			list = append(list, NewFleetBudget(b, func() int { return hosts }))
		}
		var requests, retries []time.Time
		now := begin
		for range rapid.IntRange(1, 600).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(rt, "ms")) * time.Millisecond)
			w := list[rapid.IntRange(0, hosts-1).Draw(rt, "host")]
			w.AddRequest(now, "s")
			requests = append(requests, now)
			for range rapid.IntRange(0, 3).Draw(rt, "retries") {
				if w.Spend(now, "s") {
					retries = append(retries, now)
				}
			}
			limit := b.Slack + b.Ratio*max(within(requests, now, b.Window), within(requests, now.Add(-b.Window), b.Window),
				within(requests, now.Add(-b.Window/2), b.Window))
			if got := within(retries, now, b.Window); got > limit {
				rt.Fatalf("%v retries of all hosts in a window, want at most %v", got, limit)
			}
		}
	})
}

func within(list []time.Time, now time.Time, window time.Duration) float64 {
	n := 0.0
	for _, at := range list {
		if age := now.Sub(at); age >= 0 && age < window {
			n++
		}
	}
	return n
}

func TestAvailableDoesNotSpend(t *testing.T) {
	w := NewFleetBudget(Bound{Ratio: 0.2, Slack: 10, Window: 10 * time.Second}, func() int { return 1 })
	spent := 0
	for w.Available(begin, "s") && spent < 100 {
		if !w.Available(begin, "s") || !w.Spend(begin, "s") {
			t.Fatalf("after %d retries: Available reports true, then Available or Spend reports false", spent)
		}
		spent++
	}
	if spent == 0 || spent > 10 || w.Spend(begin, "s") {
		t.Errorf("spent %d retries, want 1 to 10, and none after Available reports false", spent)
	}
}

func TestWindowAdvances(t *testing.T) {
	const slack = 20
	w := NewFleetBudget(Bound{Slack: slack, Window: 10 * time.Second}, func() int { return 1 })
	for range int(safetyFactor * slack) {
		if !w.Spend(begin, "s") {
			t.Fatal("the budget refuses a retry within the slack")
		}
	}
	if w.Spend(begin.Add(8*time.Second), "s") {
		t.Error("the budget allows more retries than the slack within a window")
	}
	if !w.Spend(begin.Add(11*time.Second), "s") || !w.Spend(begin, "other") {
		t.Error("the window does not advance, or services share it")
	}
}

// TestRetriesWithShiftingPeaks: regions peak one after the other while every request
// fails. Each host may retry most at a different time, and one window holds the retries
// of several hosts.
func TestRetriesWithShiftingPeaks(t *testing.T) {
	b := Bound{Ratio: 0.2, Slack: 54, Window: 10 * time.Second}
	const hosts, step, span = 6, 10 * time.Millisecond, 12 * time.Second
	var list []*FleetBudget
	for range hosts {
		list = append(list, NewFleetBudget(b, func() int { return hosts }))
	}
	var requests, retries []time.Time
	for now := begin; now.Before(begin.Add(60 * time.Second)); now = now.Add(step) {
		failing := now.Sub(begin) > 10*time.Second
		for i, w := range list {
			every := 4
			if int(now.Sub(begin)/span)%3 == i/2 {
				every = 1
			}
			if int(now.Sub(begin)/step)%every != 0 {
				continue
			}
			w.AddRequest(now, "s")
			requests = append(requests, now)
			if failing && w.Spend(now, "s") {
				retries = append(retries, now)
			}
		}
		if now.Sub(begin)%time.Second != 0 {
			continue
		}
		limit := b.Slack + b.Ratio*max(within(requests, now, b.Window), within(requests, now.Add(-b.Window), b.Window),
			within(requests, now.Add(-b.Window/2), b.Window))
		if got := within(retries, now, b.Window); got > limit {
			t.Fatalf("%v retries of all hosts in a window, want at most %v, after %v", got, limit, now.Sub(begin))
		}
	}
}
