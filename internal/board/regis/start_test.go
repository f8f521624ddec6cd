package regis

import (
	"testing"
	"time"
)

// TestStartOfProcess guards against what is known of an endpoint's earlier process being applied to
// the next one under its id, and against a live endpoint that counts as started again because its
// registration was written with an odd incarnation.
func TestStartOfProcess(t *testing.T) {
	for _, tt := range []struct {
		name                   string
		first, second          int64
		firstAddr, secondAddr  string
		removed, again, leaves bool
	}{
		{"same process", 7, 7, "a:1", "a:1", false, false, true},
		{"same process elsewhere", 7, 7, "a:1", "a:2", false, false, true},
		{"started again", 7, 8, "a:1", "a:1", false, true, false},
		{"started again after its removal", 7, 8, "a:1", "a:1", true, true, false},
		{"registered again after its removal", 7, 7, "a:1", "a:1", true, false, true},
		{"incarnation is gone", 7, 0, "a:1", "a:1", false, false, true},
		{"incarnation is gone, listens elsewhere", 7, 0, "a:1", "a:2", false, true, false},
		{"incarnation never known, listens elsewhere", 0, 0, "a:1", "a:2", false, true, false},
		{"incarnation never known", 0, 0, "a:1", "a:1", false, false, true},
	} {
		table := NewTable()
		e := entry("e", 1)
		e.Incarnation, e.Address = tt.first, tt.firstAddr
		table.Put(e)
		first, _ := table.Get("e")
		table.MarkLeaving(start, Leaving{ID: "e", Incarnation: tt.first}, true)
		if tt.removed {
			table.Remove("e", 2, time.Time{})
		}
		e.Revision, e.Incarnation, e.Address = 3, tt.second, tt.secondAddr
		table.Put(e)
		second, _ := table.Get("e")
		if again := first.Start != second.Start; again != tt.again || table.Current(first) == again || !table.Current(second) {
			t.Errorf("%s: another process: %v, want %v", tt.name, again, tt.again)
		}
		if second.Draining != tt.leaves {
			t.Errorf("%s: leaves: %v, want %v", tt.name, second.Draining, tt.leaves)
		}
	}
}

// TestInvalidRegistrationIsKeptForAWhile guards against a live endpoint that is lost because another
// writer overwrote its registration, be it watched or listed, and against one that is kept for ever.
func TestInvalidRegistrationIsKeptForAWhile(t *testing.T) {
	for _, again := range []bool{false, true} {
		table, until := NewTable(), start.Add(5*time.Second)
		table.Put(entry("e", 1))
		if !table.MarkInvalid("e", 2, until) || table.MarkInvalid("e", 3, until.Add(time.Hour)) || table.MarkInvalid("f", 3, until) {
			t.Fatal("want the first overwrite of a registered endpoint to be new, and no other")
		}
		if _, dropped := table.Replace(nil, 4, time.Time{}); len(dropped) != 0 || len(table.Endpoints("s")) != 1 || table.Endpoints("s")[0].Cold(start) {
			t.Error("the endpoint was dropped by a listing, or counts as cold")
		}
		if again {
			table.Put(entry("e", 5))
		}
		if dropped := table.Expire(until); (len(dropped) == 0) != again {
			t.Errorf("registered again: %v, dropped: %v", again, dropped)
		}
	}
}

// TestLateReadBringsEndpointBack: a registration that was read before the removal of its endpoint is not
// stored after it, while one that the watch does not show yet is.
func TestLateReadBringsEndpointBack(t *testing.T) {
	table := NewTable()
	table.Put(Endpoint{ID: "a", Service: "s", Release: "v1", Incarnation: 1, Revision: 5})
	if !table.Renew(Endpoint{ID: "a", Service: "s", Release: "v2", Incarnation: 2, Revision: 7}) {
		t.Error("Renew of a newer registration = false, want true")
	}
	if table.Renew(Endpoint{ID: "a", Service: "s", Release: "v1", Incarnation: 1, Revision: 6}) {
		t.Error("Renew of an older registration = true, want false")
	}
	if e, _ := table.Get("a"); e.Release != "v2" {
		t.Errorf("release %q, want v2", e.Release)
	}
	table.Remove("a", 9, time.Time{})
	table.Renew(Endpoint{ID: "a", Service: "s", Release: "v2", Incarnation: 2, Revision: 8})
	if _, ok := table.Get("a"); ok {
		t.Error("an endpoint is registered again by a read from before its removal")
	}
}
