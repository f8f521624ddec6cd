package remote

import (
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/base/seeds"
)

func init() { seeds.Fix() }

var epoch = time.Unix(1_000_000, 0)

// TestSpillBound: for random request times, the share of spilled requests stays within
// the bound, applied to at least minSpillSample requests.
func TestSpillBound(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		bound := rapid.Float64Range(0, 1).Draw(rt, "bound")
		tab, now := NewTable(), epoch
		total, spilled := 0, 0
		for range rapid.IntRange(1, 400).Draw(rt, "requests") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(rt, "ms")) * time.Millisecond)
			to := ""
			if tab.SpillAllowed(now, "s", "r", bound) {
				to = "r"
				spilled++
			}
			tab.CountRequest(now, "s", to)
			total++
		}
		// The counts decay by a factor of e in 30 s; the run is shorter.
		if most := bound*float64(max(total, minSpillSample))*1.5 + 1; float64(spilled) > most {
			rt.Fatalf("%d of %d requests spilled, want at most a share of %.2f", spilled, total, bound)
		}
	})
}

func TestSilent(t *testing.T) {
	tab := NewTable()
	if !tab.Silent(epoch, "r") {
		t.Error("a region without any packet is not silent")
	}
	tab.MarkSeen(epoch, "r")
	if tab.Silent(epoch.Add(time.Second), "r") || !tab.Silent(epoch.Add(silentAfter+1), "r") {
		t.Error("region is silent 1 s after a packet, or is not after silentAfter")
	}
	tab.MarkSeen(epoch.Add(time.Second), "r")
	tab.MarkFailed(epoch.Add(2*time.Second), "r")
	if !tab.Silent(epoch.Add(2*time.Second), "r") {
		t.Error("a region that did not answer is not silent")
	}
	tab.MarkSeen(epoch.Add(3*time.Second), "r")
	if tab.Silent(epoch.Add(3*time.Second), "r") {
		t.Error("a region that sent a packet after the failure is silent")
	}
}

func TestReturningRegionRampsUp(t *testing.T) {
	tab, k := NewTable(), Key{"r", "s"}
	tab.PutLoad(k, 10, 0, epoch, epoch)
	if v := tab.View(k, epoch); v.Ramp != 1 || !v.Known {
		t.Errorf("first view = %+v, want known with ramp 1", v)
	}
	tab.PutLoad(k, 0, 0, epoch.Add(time.Second), epoch.Add(time.Second))
	returned := epoch.Add(2 * time.Second)
	tab.PutLoad(k, 10, 0, returned, returned)
	if v := tab.View(k, returned); v.Ramp > rampStart+0.01 {
		t.Errorf("ramp of a returning region = %v, want rampStart", v.Ramp)
	}
	late := returned.Add(rampTime)
	for now := returned; !now.After(late); now = now.Add(loadTTL / 2) {
		tab.PutLoad(k, 10, 0, now, now)
	}
	if v := tab.View(k, late); v.Ramp != 1 {
		t.Errorf("ramp = %v after rampTime, want 1", v.Ramp)
	}
	if v := tab.View(k, late.Add(loadTTL+1)); v.Known {
		t.Error("a load older than loadTTL is still known")
	}
}

func TestSentRequestsCountUntilNextLoad(t *testing.T) {
	tab, k := NewTable(), Key{"r", "s"}
	tab.PutLoad(k, 10, 2, epoch, epoch)
	tab.CountRequest(epoch, "s", "r")
	if v := tab.View(k, epoch); v.Busy != 3 {
		t.Errorf("busy = %v after a request was sent, want 3", v.Busy)
	}
	tab.PutLoad(k, 10, 2, epoch.Add(1), epoch.Add(1))
	if v := tab.View(k, epoch.Add(1)); v.Busy != 2 {
		t.Errorf("busy = %v after the next load, want 2", v.Busy)
	}
}

// TestCopiesShareNoMemory reads copies of loads while the table changes; the race
// detector reports memory that they share.
func TestCopiesShareNoMemory(_ *testing.T) {
	const rounds = 500
	table, k := NewTable(), Key{"r", "s"}
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for i := range rounds {
			at := epoch.Add(time.Duration(i) * time.Millisecond)
			table.PutLoad(k, float64(i), 1, at, at)
			table.SetQueuedPrefill(at, k, []time.Duration{time.Duration(i)})
			table.CountRequest(at, "s", "r")
		}
	})
	tasks.Go(func() {
		for range rounds {
			load, _ := table.Get(k)
			_ = load.Slots + load.sent + table.View(k, epoch).Busy
			_ = table.QueuedPrefill(epoch, k, 0)
		}
	})
	tasks.Wait()
}

// TestQueuedPrefillOfAnyPriority: an operator may publish any priority.
func TestQueuedPrefillOfAnyPriority(t *testing.T) {
	table, k := NewTable(), Key{"r", "s"}
	table.SetQueuedPrefill(epoch, k, []time.Duration{time.Second, 2 * time.Second})
	for priority, want := range map[int]time.Duration{-1: time.Second, 0: time.Second, 1: 2 * time.Second, 99: 2 * time.Second} {
		if got := table.QueuedPrefill(epoch, k, priority); got != want {
			t.Errorf("queued prefill of priority %d = %v, want %v", priority, got, want)
		}
	}
}
