package endpt

import (
	"testing"
	"time"
)

var epoch = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// TestLoadCountsOwnOnce: a report that lags counts this host's own requests as
// they were when it was true, so that each request is counted once.
func TestLoadCountsOwnOnce(t *testing.T) {
	tab := NewTable()
	for range 4 {
		tab.Start(at(0), "e")
	}
	for range 3 {
		tab.Done(at(100), "e", Result{Whole: true})
	}
	// True at 50 ms, when all four of ours were among the six; it arrives at 300 ms.
	tab.Note("e", Report{Running: 6, At: at(50)})
	s := tab.Get("e")
	if got := s.Load(at(50)); got != 3 {
		t.Errorf("load %.1f, want 1 of ours and 2 of others", got)
	}
	if got := s.Load(at(50 + 4000)); got != 2 {
		t.Errorf("load %.1f with an old report, want 1 of ours and half of 2", got)
	}
}

func TestOlderReportIsIgnored(t *testing.T) {
	tab := NewTable()
	tab.Note("e", Report{Running: 1, At: at(200)})
	if tab.Note("e", Report{Running: 9, At: at(100)}) {
		t.Error("an older report was taken")
	}
}

// TestLeaving: only a later report of its own takes back that an endpoint leaves.
func TestLeaving(t *testing.T) {
	tab := NewTable()
	tab.Left(at(100), "e")
	tab.Note("e", Report{At: at(50)})
	if s := tab.Get("e"); !s.Leaving() {
		t.Error("an earlier report took it back")
	}
	tab.Note("e", Report{At: at(120), Failing: true})
	if s := tab.Get("e"); !s.Leaving() {
		t.Error("a failed poll, which is not the endpoint's word, took it back")
	}
	tab.Note("e", Report{At: at(150)})
	if s := tab.Get("e"); s.Leaving() {
		t.Error("a later report does not take it back")
	}
	tab.Note("e", Report{At: at(200), Leaving: true})
	if s := tab.Get("e"); !s.Leaving() {
		t.Error("its own report is not believed")
	}
}

func TestSlowIsLearnedAndForgotten(t *testing.T) {
	tab := NewTable()
	usual := 100 * time.Millisecond
	for range 30 {
		tab.Start(at(0), "e")
		tab.Done(at(0), "e", Result{Whole: true, First: time.Second, UsualFirst: usual})
	}
	s := tab.Get("e")
	if got := s.First(at(0), usual); got < 900*time.Millisecond {
		t.Errorf("expects %v of an endpoint that takes 1 s", got)
	}
	if got := s.First(epoch.Add(10*forget), usual); got > 110*time.Millisecond {
		t.Errorf("still expects %v much later", got)
	}
}

func TestRampAfterJoining(t *testing.T) {
	tab := NewTable()
	tab.Sync(epoch, []string{"old"})
	tab.Sync(epoch, []string{"old", "new"})
	old, fresh := tab.Get("old"), tab.Get("new")
	if old.Ramp(epoch) != 1 || fresh.Ramp(epoch) >= 0.5 || fresh.Ramp(epoch.Add(rampTime)) != 1 {
		t.Errorf("ramps %v, %v, %v", old.Ramp(epoch), fresh.Ramp(epoch), fresh.Ramp(epoch.Add(rampTime)))
	}
}
