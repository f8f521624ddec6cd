package health

import (
	"testing"
	"time"
)

var epoch = time.Unix(1_000_000, 0)

// TestPause: after a pause the view counts as stale until it is refreshed, or until
// refreshTimeout, so that an isolated host still serves.
func TestPause(t *testing.T) {
	p := NewTable(epoch)
	if p.Beat(epoch.Add(pauseThreshold)) || p.Stale(epoch.Add(pauseThreshold)) {
		t.Error("a beat in time was detected as a pause")
	}
	resumed := epoch.Add(time.Minute)
	if !p.Stale(resumed) {
		t.Error("the view is not stale before the first beat after a pause")
	}
	if !p.Beat(resumed) || p.Pauses() != 1 || !p.Stale(resumed.Add(time.Millisecond)) {
		t.Error("a pause was not detected")
	}
	if p.Stale(resumed.Add(refreshTimeout)) {
		t.Error("the view is still stale after refreshTimeout")
	}
	p.MarkFresh()
	if p.Stale(resumed.Add(time.Millisecond)) {
		t.Error("the view is still stale after MarkFresh")
	}
}

// TestStoppedClock: the wall clock alone shows a pause, as a paused machine may stop
// the monotonic clock.
func TestStoppedClock(t *testing.T) {
	start := time.Now()
	p := NewTable(start)
	jumped := start.Round(0).Add(time.Hour)
	if !p.Beat(jumped) {
		t.Error("a jump of the wall clock by an hour was not detected as a pause")
	}
}
