package frail

import (
	"testing"
	"time"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// TestBrittleTime: the time begins with the first answer that says so and ends with one to a later
// request that does not, or when nothing is said for long; then the room grows back.
func TestBrittleTime(t *testing.T) {
	table, limit := NewTable(), 5
	if table.Share(at(0), "s") != 1 {
		t.Error("room is bounded before any answer")
	}
	if table.Record(at(0), "s", nil, at(0)) || !table.Record(at(1000), "s", &limit, at(900)) || table.Record(at(1100), "s", &limit, at(1000)) {
		t.Error("only the first answer that names a limit is a change")
	}
	if table.Record(at(1200), "s", nil, at(1050)) || table.Share(at(1200), "s") != 0 {
		t.Error("an answer to an earlier request ends the time")
	}
	if table.Share(at(1200), "other") != 1 {
		t.Error("another service is brittle too")
	}
	if !table.Record(at(2000), "s", nil, at(1900)) {
		t.Error("an answer to a later request does not end the time")
	}
	for _, tt := range []struct {
		ms   int
		want float64
	}{{2000, 0}, {3500, 0.5}, {5000, 1}, {60_000, 1}} {
		if got := table.Share(at(tt.ms), "s"); got != tt.want {
			t.Errorf("share %v at %d ms, want %v", got, tt.ms, tt.want)
		}
	}
	table.Record(at(70_000), "s", &limit, at(70_000))
	if table.Share(at(70_000).Add(memory+easeTime), "s") != 1 || table.Share(at(70_000).Add(memory-1), "s") != 0 {
		t.Error("the time does not end without an answer")
	}
}

// TestReports: peers receive what answers to this host said, and a late report changes nothing.
func TestReports(t *testing.T) {
	a, b, limit := NewTable(), NewTable(), 5
	a.Record(at(0), "s", &limit, at(0))
	for _, r := range a.Reports(at(500)) {
		if !b.Merge(at(600), r) || b.Share(at(600), "s") != 0 {
			t.Errorf("report %+v has no effect", r)
		}
	}
	if len(b.Reports(at(600))) != 0 || len(a.Reports(at(0).Add(reportAge))) != 0 {
		t.Error("old reports, or those of others, are passed on")
	}
	if b.Merge(at(700), Report{Service: "s", Age: time.Second}) || b.Share(at(700), "s") != 0 {
		t.Error("a report of an earlier answer ends the time")
	}
	if !b.Merge(at(900), Report{Service: "s", Age: 100 * time.Millisecond}) || b.Share(at(900), "s") > 0.1 {
		t.Error("a report of a later answer does not end the time")
	}
}
