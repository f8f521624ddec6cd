package paths

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func endpointIDs(n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprint("e", i)
	}
	return out
}

// play runs the due checks every 100 ms and returns when Cut was last false and how many checks
// were made.
func play(t *Table, ids []string, from, to int, reaches func(id string, ms int) bool) (lastConnected, checks int) {
	lastConnected = from
	for ms := from; ms < to; ms += 100 {
		for _, id := range t.Due(at(ms), ids) {
			checks++
			if reaches(id, ms) {
				t.RecordOpened(at(ms), id)
			} else {
				t.RecordFailed(at(ms), id)
			}
		}
		if !t.Cut(ids) {
			lastConnected = ms
		}
	}
	return lastConnected, checks
}

// TestCutIsFound: a host that can reach no endpoint finds it out by few attempts, in regions of any
// size, and soon finds that it can reach them again.
func TestCutIsFound(t *testing.T) {
	for _, count := range []int{1, 2, 8, 120} {
		table, ids := NewTable(), endpointIDs(count)
		for _, id := range ids[:min(2, count)] {
			table.RecordFailed(at(1000), id)
		}
		found, _ := play(table, ids, 1000, 6000, func(string, int) bool { return false })
		if found > 3000 || !table.Cut(ids) {
			t.Errorf("%d endpoints: the cut of 1.0 s was not found by %d ms", count, found)
		}
		play(table, ids, 6000, 8000, func(string, int) bool { return true })
		if table.Cut(ids) {
			t.Errorf("%d endpoints: still cut 2 s after the end", count)
		}
		play(table, ids, 8000, 12_000, func(string, int) bool { return true })
		if n := table.Sync(ids); n > 0 {
			t.Errorf("%d endpoints: %d are unreachable 6 s after the end", count, n)
		}
	}
}

// TestFewEndpointsInReach: a host that reaches few of its endpoints finds out which.
func TestFewEndpointsInReach(t *testing.T) {
	table, ids := NewTable(), endpointIDs(9)
	for _, id := range ids[:2] {
		table.RecordFailed(at(1000), id)
	}
	play(table, ids, 1000, 3000, func(id string, _ int) bool { return id == ids[8] })
	if !table.Cut(ids) || !table.Reachable(ids[8]) || table.Reachable(ids[7]) {
		t.Errorf("cut %v, want true; reachable: %v the last, %v the one before", table.Cut(ids), table.Reachable(ids[8]), table.Reachable(ids[7]))
	}
}

// TestEndsAreNoCut: endpoints that ended lead to few checks of the others, and to no cut.
func TestEndsAreNoCut(t *testing.T) {
	table, ids := NewTable(), endpointIDs(120)
	for _, id := range ids[:3] {
		table.RecordFailed(at(1000), id)
	}
	_, checks := play(table, ids, 1000, 5000, func(id string, _ int) bool { return !slices.Contains(ids[:3], id) })
	if checks > 40 {
		t.Errorf("%d checks in 4 s, want at most 40", checks)
	}
	for i, id := range ids {
		if table.Reachable(id) != (i >= 3) {
			t.Errorf("endpoint %d: reachable %v", i, table.Reachable(id))
		}
	}
	if table.Sync(ids[3:]) != 0 || table.Cut(ids[3:]) {
		t.Error("endpoints that are no longer registered count")
	}
}

// TestLossyPathReturnsLate: one connection of several does not make an endpoint reachable.
func TestLossyPathReturnsLate(t *testing.T) {
	table, ids := NewTable(), endpointIDs(1)
	table.RecordFailed(at(0), "e0")
	play(table, ids, 0, 10_000, func(_ string, ms int) bool { return ms/100%2 == 0 })
	table.RecordOpened(at(10_000), "e0")
	table.RecordFailed(at(10_100), "e0")
	if table.Reachable("e0") {
		t.Error("reachable after one connection")
	}
	table.RecordOpened(at(10_200), "e0")
	table.RecordOpened(at(10_400), "e0")
	if !table.Reachable("e0") {
		t.Error("not reachable after two connections in a row")
	}
}

// TestSuspectIsChecked: an endpoint that does not answer is checked once a second at most, and not
// at all while it sends something else.
func TestSuspectIsChecked(t *testing.T) {
	table, ids := NewTable(), endpointIDs(4)
	checks := 0
	for ms := 0; ms < 5000; ms += 50 {
		table.Suspect(at(ms), "e0")
		if ms%100 == 0 {
			table.RecordReceived(at(ms), "e1")
		}
		table.Suspect(at(ms), "e1")
		due := table.Due(at(ms), ids)
		if len(due) > 1 || len(due) == 1 && due[0] != "e0" {
			t.Fatalf("due are %v", due)
		}
		checks += len(due)
	}
	if checks < 4 || checks > 6 {
		t.Errorf("%d checks in 5 s, want about 5", checks)
	}
}
