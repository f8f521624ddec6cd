package mixes

import (
	"fmt"
	"sync"
	"testing"
	"time"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

func countRequests(t *Table, route string, n int) {
	for range n {
		t.CountRequest(noon, "n", route)
	}
}

func TestRouteCounts(t *testing.T) {
	table := NewTable()
	if got := table.RouteCounts(noon, "n"); got != nil {
		t.Errorf("counts before any request = %v, want nil", got)
	}
	countRequests(table, "r", minRequests-1)
	if got := table.RouteCounts(noon, "n"); got != nil {
		t.Errorf("counts of too few requests = %v, want nil", got)
	}
	countRequests(table, "s", 1)
	got := table.RouteCounts(noon.Add(mixTTL), "n")
	if got["r"] != minRequests-1 || got["s"] != 1 {
		t.Errorf("counts = %v, want minRequests-1 of r and 1 of s", got)
	}
	got["r"] = 0
	if table.RouteCounts(noon, "n")["r"] == 0 {
		t.Error("a change of the returned map changed the table")
	}
	if got := table.RouteCounts(noon.Add(mixTTL+1), "n"); got != nil {
		t.Errorf("counts after mixTTL = %v, want nil", got)
	}
}

func TestLaterRequestsCountMore(t *testing.T) {
	table := NewTable()
	countRequests(table, "old", 10*halvingCount)
	countRequests(table, "new", 2*halvingCount)
	if got := table.RouteCounts(noon, "n"); got["new"] < 3*got["old"] {
		t.Errorf("counts = %v, want new at least 3 times old", got)
	}
	countRequests(table, "new", 20*halvingCount)
	if got := table.RouteCounts(noon, "n"); len(got) != 1 {
		t.Errorf("counts = %v, want route new only", got)
	}
}

func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for i := range maxNames + 10 {
		table.CountRequest(noon, fmt.Sprint("n", i), "r")
	}
	if len(table.mixes) > maxNames {
		t.Errorf("%d host names stored, want at most maxNames", len(table.mixes))
	}
}

// TestCountsShareNoMemory reads returned counts while the table changes; the race
// detector reports memory that they share.
func TestCountsShareNoMemory(_ *testing.T) {
	table := NewTable()
	countRequests(table, "r", minRequests)
	var tasks sync.WaitGroup
	tasks.Go(func() { countRequests(table, "r", 3*halvingCount) })
	tasks.Go(func() {
		for range 500 {
			for route := range table.RouteCounts(noon, "n") {
				_ = route
			}
		}
	})
	tasks.Wait()
}
