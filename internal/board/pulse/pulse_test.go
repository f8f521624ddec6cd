package pulse

import (
	"testing"
	"time"
)

var epoch = time.Unix(1_000_000, 0)

// TestPause: after a gap nothing is believed until a fresh view was had, or
// nobody answered for a while, so that an isolated host still serves.
func TestPause(t *testing.T) {
	p := NewTable(epoch)
	if p.Beat(epoch.Add(limit)) || p.Doubtful(epoch.Add(limit)) {
		t.Error("a beat in time counts as a pause")
	}
	woke := epoch.Add(time.Minute)
	if !p.Doubtful(woke) {
		t.Error("before the first beat after a pause old beliefs are trusted")
	}
	if !p.Beat(woke) || p.Pauses() != 1 || !p.Doubtful(woke.Add(time.Millisecond)) {
		t.Error("a pause is not noticed")
	}
	if p.Doubtful(woke.Add(grace)) {
		t.Error("a host that nobody answers never serves again")
	}
	p.Refreshed()
	if p.Doubtful(woke.Add(time.Millisecond)) {
		t.Error("a fresh view does not end the doubt")
	}
}

// TestStoppedClock: a pause is noticed by the wall clock too, as a stopped
// machine may stop the monotonic one.
func TestStoppedClock(t *testing.T) {
	start := time.Now()
	p := NewTable(start)
	jumped := start.Round(0).Add(time.Hour)
	if !p.Beat(jumped) {
		t.Error("an hour by the wall clock is no pause")
	}
}
