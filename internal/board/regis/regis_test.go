package regis

import (
	"testing"
	"time"
)

var start = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

func entry(id string, revision uint64) Endpoint {
	return Endpoint{ID: id, Service: "s", Address: "127.0.0.1:1", Centre: "c", Region: "r", Slots: 4, Revision: revision}
}

func ids(t *Table) string {
	out := ""
	for _, e := range t.Of("s") {
		out += e.ID
	}
	return out
}

func TestPutIgnoresOlder(t *testing.T) {
	table := NewTable()
	draining := entry("a", 5)
	draining.Draining = true
	if !table.Put(draining) {
		t.Error("new registration changed nothing")
	}
	if table.Put(entry("a", 4)) || !table.Of("s")[0].Draining {
		t.Error("an older registration took a leaving mark back")
	}
	if table.Put(func() Endpoint { e := draining; e.Revision = 6; return e }()) {
		t.Error("a heartbeat counts as a change")
	}
	if !table.Put(entry("a", 7)) || table.Of("s")[0].Draining {
		t.Error("a newer registration is not taken")
	}
}

func TestRebornUnderItsID(t *testing.T) {
	table := NewTable()
	table.Put(entry("a", 1))
	again := entry("a", 2)
	again.Born, again.ColdUntil = 1000, start.Add(3*time.Second)
	if !table.Put(again) {
		t.Error("a restart under the old id changed nothing")
	}
}

func TestRemove(t *testing.T) {
	table := NewTable()
	table.Put(entry("a", 5))
	if table.Remove("a", 4, time.Time{}) || ids(table) != "a" {
		t.Error("an older removal was taken")
	}
	if !table.Remove("a", 6, time.Time{}) || ids(table) != "" {
		t.Error("removal was not taken")
	}
	if table.Remove("b", 6, time.Time{}) {
		t.Error("removal of an unknown one changed something")
	}
}

// TestLapsedInAnOutage: a registration that vanished while the store was away
// stays until its time is up, and for good if it comes back before.
func TestLapsedInAnOutage(t *testing.T) {
	table := NewTable()
	for _, id := range []string{"a", "b"} {
		table.Put(entry(id, 5))
	}
	until := start.Add(2 * time.Second)
	table.Remove("a", 6, until)
	table.Remove("b", 6, until)
	if ids(table) != "ab" {
		t.Fatalf("lapsed at once: %s", ids(table))
	}
	table.Put(entry("b", 7))
	if gone := table.Expire(until.Add(-time.Millisecond)); len(gone) != 0 {
		t.Errorf("expired before the time: %v", gone)
	}
	if gone := table.Expire(until); len(gone) != 1 || ids(table) != "b" {
		t.Errorf("expired %v, left %s", gone, ids(table))
	}
}

func TestPostponeWhileAway(t *testing.T) {
	table := NewTable()
	table.Put(entry("a", 5))
	table.Remove("a", 6, start.Add(time.Second))
	table.Postpone(start.Add(5 * time.Second))
	if gone := table.Expire(start.Add(4 * time.Second)); len(gone) != 0 {
		t.Error("dropped while the store was away")
	}
	if gone := table.Expire(start.Add(5 * time.Second)); len(gone) != 1 {
		t.Error("kept for ever")
	}
}

func TestReplace(t *testing.T) {
	table := NewTable()
	for _, e := range []Endpoint{entry("a", 1), entry("b", 2), entry("late", 9)} {
		table.Put(e)
	}
	changed, gone := table.Replace([]Endpoint{entry("b", 2), entry("c", 3)}, 8, time.Time{})
	if len(changed) != 1 || changed[0].ID != "c" || len(gone) != 1 || gone[0] != "a" || ids(table) != "bclate" {
		t.Errorf("changed %v, gone %v, left %s", changed, gone, ids(table))
	}
	if _, gone = table.Replace(nil, 10, start); len(gone) != 0 || ids(table) != "bclate" {
		t.Errorf("a listing after an outage dropped %v at once", gone)
	}
}

func TestEvacuate(t *testing.T) {
	table := NewTable()
	if !table.Evacuate("c", true, 5) || table.Evacuate("c", true, 6) {
		t.Error("a mark is no change, or the same one is")
	}
	if !table.Evacuated("c") || table.Evacuated("d") || len(table.Marks()) != 1 {
		t.Error("mark is not kept")
	}
	if table.Evacuate("c", false, 4) || !table.Evacuated("c") {
		t.Error("an older order took the mark back")
	}
	table.Evacuate("c", false, 7)
	if table.Evacuated("c") {
		t.Error("mark is not taken back")
	}
	if table.Evacuate("c", true, 6); table.Evacuated("c") || len(table.Marks()) != 0 {
		t.Error("an older mark came again")
	}
}

func TestDrain(t *testing.T) {
	table := NewTable()
	table.Put(entry("a", 5))
	table.Drain("a")
	if !table.Of("s")[0].Draining {
		t.Error("own word of leaving is not kept")
	}
	table.Drain("unknown")
}
