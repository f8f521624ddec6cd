package zones

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/base/seeds"
)

func init() { seeds.Fix() }

var epoch = time.Unix(1_000_000, 0)

// TestSpillBound: whatever the order of requests, no more than the bound's share
// spills over a window, beyond what a quiet service may.
func TestSpillBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bound := rapid.Float64Range(0, 1).Draw(rt, "bound")
		tab, now := NewTable(), epoch
		total, spilled := 0, 0
		for range rapid.IntRange(1, 400).Draw(rt, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(rt, "ms")) * time.Millisecond)
			to := ""
			if tab.Open(now, "s", "r", bound) {
				to = "r"
				spilled++
			}
			tab.Count(now, "s", to)
			total++
		}
		// The window forgets by e to the minus one in 30 s; the run is shorter.
		if most := bound*float64(max(total, minSample))*1.5 + 1; float64(spilled) > most {
			rt.Fatalf("%d of %d spilled, bound %.2f", spilled, total, bound)
		}
	})
}

func TestSilence(t *testing.T) {
	tab := NewTable()
	if !tab.Silent(epoch, "r") {
		t.Error("a region that was never heard of is not silent")
	}
	tab.Heard(epoch, "r")
	if tab.Silent(epoch.Add(time.Second), "r") || !tab.Silent(epoch.Add(spillAge+1), "r") {
		t.Error("silence does not follow what was heard")
	}
	tab.Heard(epoch.Add(time.Second), "r")
	tab.Failed(epoch.Add(2*time.Second), "r")
	if !tab.Silent(epoch.Add(2*time.Second), "r") {
		t.Error("a region that did not answer is not silent")
	}
	tab.Heard(epoch.Add(3*time.Second), "r")
	if tab.Silent(epoch.Add(3*time.Second), "r") {
		t.Error("a region that was heard of again is silent")
	}
}

func TestReturningRegionIsFilledSlowly(t *testing.T) {
	tab, k := NewTable(), Key{"r", "s"}
	tab.Note(k, 10, 0, epoch, epoch)
	if v := tab.View(k, epoch); v.Ramp != 1 || !v.Known {
		t.Errorf("first view %+v", v)
	}
	tab.Note(k, 0, 0, epoch.Add(time.Second), epoch.Add(time.Second))
	back := epoch.Add(2 * time.Second)
	tab.Note(k, 10, 0, back, back)
	if v := tab.View(k, back); v.Ramp > rampStart+0.01 {
		t.Errorf("returning region has ramp %v", v.Ramp)
	}
	late := back.Add(rampTime)
	for now := back; !now.After(late); now = now.Add(trust / 2) {
		tab.Note(k, 10, 0, now, now)
	}
	if v := tab.View(k, late); v.Ramp != 1 {
		t.Errorf("ramp %v after its time", v.Ramp)
	}
	if v := tab.View(k, late.Add(trust+1)); v.Known {
		t.Error("an old sum is still trusted")
	}
}

func TestSentCountsUntilTheNextSum(t *testing.T) {
	tab, k := NewTable(), Key{"r", "s"}
	tab.Note(k, 10, 2, epoch, epoch)
	tab.Count(epoch, "s", "r")
	if v := tab.View(k, epoch); v.Busy != 3 {
		t.Errorf("busy %v, want 3", v.Busy)
	}
	tab.Note(k, 10, 2, epoch.Add(1), epoch.Add(1))
	if v := tab.View(k, epoch.Add(1)); v.Busy != 2 {
		t.Errorf("busy %v, want 2", v.Busy)
	}
}
