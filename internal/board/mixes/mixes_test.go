package mixes

import (
	"fmt"
	"testing"
	"time"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func note(t *Table, route string, n int) {
	for range n {
		t.Note(noon, "n", route)
	}
}

func TestOf(t *testing.T) {
	table := NewTable()
	if got := table.Of(noon, "n"); got != nil {
		t.Errorf("before anything was seen: %v", got)
	}
	note(table, "r", sample-1)
	if got := table.Of(noon, "n"); got != nil {
		t.Errorf("of too few: %v", got)
	}
	note(table, "s", 1)
	got := table.Of(noon.Add(life), "n")
	if got["r"] != sample-1 || got["s"] != 1 {
		t.Errorf("mix %v", got)
	}
	got["r"] = 0
	if table.Of(noon, "n")["r"] == 0 {
		t.Error("a caller changes the table")
	}
	if got := table.Of(noon.Add(life+1), "n"); got != nil {
		t.Errorf("of long ago: %v", got)
	}
}

func TestLaterRequestsCountMore(t *testing.T) {
	table := NewTable()
	note(table, "old", 10*window)
	note(table, "new", 2*window)
	if got := table.Of(noon, "n"); got["new"] < 3*got["old"] {
		t.Errorf("what callers asked for long ago counts %v", got)
	}
	note(table, "new", 20*window)
	if got := table.Of(noon, "n"); len(got) != 1 {
		t.Errorf("routes without requests are kept: %v", got)
	}
}

func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for i := range mostNames + 10 {
		table.Note(noon, fmt.Sprint("n", i), "r")
	}
	if len(table.list) > mostNames {
		t.Errorf("%d names are kept", len(table.list))
	}
}
