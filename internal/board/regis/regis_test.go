package regis

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/base/seeds"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/eras"
)

func init() { seeds.Fix() }

var start = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

func entry(id string, revision uint64) Endpoint {
	return Endpoint{ID: id, Service: "s", Address: "127.0.0.1:1", Centre: "c", Region: "r", Slots: 4, Revision: revision}
}

func ids(t *Table) string {
	out := ""
	for _, e := range t.Endpoints("s") {
		out += e.ID
	}
	return out
}

func TestPutIgnoresOlder(t *testing.T) {
	table := NewTable()
	draining := entry("a", 5)
	draining.Draining = true
	if !table.Put(draining) {
		t.Error("Put of a new registration = false, want true")
	}
	if table.Put(entry("a", 4)) || !table.Endpoints("s")[0].Draining {
		t.Error("an older registration reset Draining")
	}
	if table.Put(func() Endpoint { e := draining; e.Revision = 6; return e }()) {
		t.Error("Put of a heartbeat = true, want false")
	}
	if !table.Put(entry("a", 7)) || table.Endpoints("s")[0].Draining {
		t.Error("a newer registration was not stored")
	}
}

func TestRestartUnderSameID(t *testing.T) {
	table := NewTable()
	table.Put(entry("a", 1))
	restarted := entry("a", 2)
	restarted.Incarnation, restarted.ColdUntil = 1000, start.Add(3*time.Second)
	if !table.Put(restarted) {
		t.Error("Put of a restart under the same id = false, want true")
	}
}

func TestRemove(t *testing.T) {
	table := NewTable()
	table.Put(entry("a", 5))
	if table.Remove("a", 4, time.Time{}) || ids(table) != "a" {
		t.Error("a removal of an older revision dropped the endpoint")
	}
	if !table.Remove("a", 6, time.Time{}) || ids(table) != "" {
		t.Error("a removal did not drop the endpoint")
	}
	if table.Remove("b", 6, time.Time{}) {
		t.Error("Remove of an unknown endpoint = true, want false")
	}
}

// TestRemovalAfterOutageIsDelayed: a registration that is removed after an outage of
// the store stays until the given time, and is kept if it is registered again before.
func TestRemovalAfterOutageIsDelayed(t *testing.T) {
	table := NewTable()
	for _, id := range []string{"a", "b"} {
		table.Put(entry(id, 5))
	}
	until := start.Add(2 * time.Second)
	table.Remove("a", 6, until)
	table.Remove("b", 6, until)
	if ids(table) != "ab" {
		t.Fatalf("endpoints = %s right after the removals, want ab", ids(table))
	}
	table.Put(entry("b", 7))
	if dropped := table.Expire(until.Add(-time.Millisecond)); len(dropped) != 0 {
		t.Errorf("dropped %v before the time, want none", dropped)
	}
	if dropped := table.Expire(until); len(dropped) != 1 || ids(table) != "b" {
		t.Errorf("dropped %v, left %s; want a dropped, b left", dropped, ids(table))
	}
}

func TestPostponeDuringOutage(t *testing.T) {
	table := NewTable()
	table.Put(entry("a", 5))
	table.Remove("a", 6, start.Add(time.Second))
	table.PostponeExpiry(start.Add(5 * time.Second))
	if dropped := table.Expire(start.Add(4 * time.Second)); len(dropped) != 0 {
		t.Error("an endpoint was dropped while the store was unreachable")
	}
	if dropped := table.Expire(start.Add(5 * time.Second)); len(dropped) != 1 {
		t.Error("the endpoint was not dropped at the postponed time")
	}
}

func TestReplace(t *testing.T) {
	table := NewTable()
	for _, e := range []Endpoint{entry("a", 1), entry("b", 2), entry("late", 9)} {
		table.Put(e)
	}
	changed, dropped := table.Replace([]Endpoint{entry("b", 2), entry("c", 3)}, 8, time.Time{})
	if len(changed) != 1 || changed[0].ID != "c" || len(dropped) != 1 || dropped[0] != "a" || ids(table) != "bclate" {
		t.Errorf("changed %v, dropped %v, left %s; want c, a and bclate", changed, dropped, ids(table))
	}
	if _, dropped = table.Replace(nil, 10, start); len(dropped) != 0 || ids(table) != "bclate" {
		t.Errorf("a listing after an outage dropped %v, want none", dropped)
	}
}

func TestEvacuate(t *testing.T) {
	table := NewTable()
	if !table.SetEvacuated("c", true, 5) || table.SetEvacuated("c", true, 6) {
		t.Error("SetEvacuated did not report a change, or reported an unchanged state as one")
	}
	if !table.Evacuated("c") || table.Evacuated("d") || len(table.EvacuatedCentres()) != 1 {
		t.Error("centre c is not the only evacuated centre")
	}
	if table.SetEvacuated("c", false, 4) || !table.Evacuated("c") {
		t.Error("an older revision ended the evacuation")
	}
	table.SetEvacuated("c", false, 7)
	if table.Evacuated("c") {
		t.Error("a newer revision did not end the evacuation")
	}
	if table.SetEvacuated("c", true, 6); table.Evacuated("c") || len(table.EvacuatedCentres()) != 0 {
		t.Error("an older revision restored the evacuation")
	}
}

func TestDrain(t *testing.T) {
	table := NewTable()
	table.Put(entry("a", 5))
	table.MarkDraining("a")
	if !table.Endpoints("s")[0].Draining {
		t.Error("MarkDraining did not set Draining")
	}
	table.MarkDraining("unknown")
}

// TestLapsedEndpointIsCold: an endpoint whose registration was removed during an outage of
// the store counts as cold until it registers again, as it may have restarted.
func TestLapsedEndpointIsCold(t *testing.T) {
	removals := map[string]func(t *Table){
		"removed": func(t *Table) { t.Remove("a", 6, start.Add(time.Minute)) },
		"not listed": func(t *Table) {
			t.Replace(nil, 6, start.Add(time.Minute))
		},
	}
	for name, remove := range removals {
		table := NewTable()
		table.Put(entry("a", 5))
		if table.Endpoints("s")[0].Cold(start) {
			t.Errorf("%s: a registered endpoint is cold", name)
		}
		remove(table)
		if !table.Endpoints("s")[0].Cold(start) {
			t.Errorf("%s: a lapsed endpoint is not cold", name)
		}
		if !table.Put(entry("a", 7)) || table.Endpoints("s")[0].Cold(start) {
			t.Errorf("%s: an endpoint that registered again is still cold", name)
		}
	}
	warming := entry("a", 1)
	warming.ColdUntil = start.Add(time.Second)
	if !warming.Cold(start) || warming.Cold(start.Add(time.Second)) {
		t.Error("want an endpoint to be cold until ColdUntil")
	}
}

// storeModel is a store with an operator and endpoints, which can be restored from a copy.
type storeModel struct {
	era, at uint64
	// items are the registrations by id, and copied those of the last copy.
	items, copied map[string]Endpoint
	copiedAt      uint64
}

func (m *storeModel) write(id string, draining bool) Endpoint {
	m.at++
	e := entry(id, eras.Join(m.era, m.at))
	e.Draining = draining
	m.items[id] = e
	return e
}

func (m *storeModel) list() (list []Endpoint, revision uint64) {
	for _, id := range slices.Sorted(maps.Keys(m.items)) {
		e := m.items[id]
		e.Revision = eras.Join(m.era, eras.Revision(e.Revision))
		list = append(list, e)
	}
	return list, eras.Join(m.era, m.at)
}

// TestRestoreRevivesNothing: through any order of changes, copies, restores and listings,
// an endpoint whose draining or end the host has seen gets requests only after the endpoint
// itself has written again.
func TestRestoreRevivesNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &storeModel{era: 1, at: 10, items: map[string]Endpoint{}, copied: map[string]Endpoint{}, copiedAt: 10}
		table := NewTable()
		table.Replace(nil, eras.Join(1, 10), time.Time{})
		// refused holds the endpoints that must not get requests.
		refused := map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			id := fmt.Sprint("e", rapid.IntRange(0, 3).Draw(rt, "id"))
			switch rapid.SampledFrom([]string{"ready", "drain", "remove", "copy", "restore", "list"}).Draw(rt, "step") {
			case "ready":
				table.Put(m.write(id, false))
				delete(refused, id)
			case "drain":
				table.Put(m.write(id, true))
				refused[id] = true
			case "remove":
				m.at++
				if _, ok := m.items[id]; ok {
					delete(m.items, id)
					table.Remove(id, eras.Join(m.era, m.at), time.Time{})
					refused[id] = true
				}
			case "copy":
				m.copied, m.copiedAt = maps.Clone(m.items), m.at
			case "restore":
				m.items, m.at, m.era = maps.Clone(m.copied), m.copiedAt, m.era+1
				list, revision := m.list()
				table.Replace(list, revision, start.Add(time.Hour))
			case "list":
				list, revision := m.list()
				table.Replace(list, revision, start.Add(time.Hour))
			}
			for _, e := range table.Endpoints("s") {
				if refused[e.ID] && !e.Draining {
					rt.Fatalf("endpoint %s, whose draining or end was seen, is ready at %d/%d", e.ID, eras.Of(e.Revision), eras.Revision(e.Revision))
				}
			}
		}
	})
}

// TestOlderCopyWithoutAnIncarnationRevivesNothing guards against requests to an endpoint that was
// seen to drain, as the older copy names no incarnation of its process.
func TestOlderCopyWithoutAnIncarnationRevivesNothing(t *testing.T) {
	table := NewTable()
	e := entry("e", eras.Join(1, 10))
	e.Incarnation, e.Draining = 5, true
	table.Replace([]Endpoint{e}, eras.Join(1, 10), time.Time{})
	e.Incarnation, e.Draining, e.Revision = 0, false, eras.Join(2, 8)
	table.Replace([]Endpoint{e}, eras.Join(2, 12), time.Time{})
	if got, _ := table.Get("e"); !got.Draining {
		t.Error("the endpoint takes requests again")
	}
	table.LowerRestored(eras.Join(2, 9))
	if got, _ := table.Get("e"); !got.Draining {
		t.Error("the endpoint takes requests again, though its registration is not known to be written after the restore")
	}
	table.LowerRestored(eras.Join(2, 7))
	if got, _ := table.Get("e"); got.Draining {
		t.Error("the endpoint drains, though its registration was written after the restore")
	}
}

// TestLateListingHidesWhatIsWrittenAgain guards against a host whose first listing of a restored
// store comes after writes, and that takes these for the older copy's own.
func TestLateListingHidesWhatIsWrittenAgain(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		m := &storeModel{era: 1, at: 10, items: map[string]Endpoint{}}
		early, late := NewTable(), NewTable()
		tables := []*Table{early, late}
		for _, table := range tables {
			table.Replace(nil, eras.Join(1, 10), time.Time{})
		}
		change := func(tables ...*Table) {
			id := fmt.Sprint("e", rapid.IntRange(0, 3).Draw(rt, "id"))
			kind := rapid.SampledFrom([]string{"ready", "drain", "remove"}).Draw(rt, "kind")
			if kind == "remove" {
				m.at++
				delete(m.items, id)
				for _, table := range tables {
					table.Remove(id, eras.Join(m.era, m.at), time.Time{})
				}
				return
			}
			e := m.write(id, kind == "drain")
			for _, table := range tables {
				table.Put(e)
			}
		}
		steps := func(name string) int { return rapid.IntRange(0, 12).Draw(rt, name) }
		for range steps("before the copy") {
			change(tables...)
		}
		copied, copiedAt := maps.Clone(m.items), m.at
		for range steps("after the copy") {
			change(tables...)
		}
		m.items, m.at, m.era = copied, copiedAt, 2
		list, revision := m.list()
		early.Replace(list, revision, time.Time{})
		for range steps("before the late listing") {
			change(early)
		}
		list, revision = m.list()
		late.Replace(list, revision, time.Time{})
		for range steps("before the announcement") {
			change(tables...)
		}
		late.LowerRestored(early.Restored())
		describe := func(table *Table) (out []string) {
			for _, e := range table.Endpoints("s") {
				out = append(out, fmt.Sprint(e.ID, " draining ", e.Draining))
			}
			return out
		}
		if got, want := describe(late), describe(early); !slices.Equal(got, want) {
			rt.Fatalf("the host that listed late has %v, want %v", got, want)
		}
	})
}

// TestRestoreRevivesNoEvacuation: an evacuation whose end was seen is not started by the
// copy that still has it, and a new one is.
func TestRestoreRevivesNoEvacuation(t *testing.T) {
	table := NewTable()
	table.SetEvacuated("c", true, eras.Join(1, 50))
	table.SetEvacuated("c", false, eras.Join(1, 60))
	if table.SetEvacuated("c", true, eras.Join(2, 50)) || table.Evacuated("c") {
		t.Error("the older copy started the evacuation again")
	}
	if !table.SetEvacuated("c", true, eras.Join(2, 56)) || !table.Evacuated("c") {
		t.Error("a new evacuation in the later era was ignored")
	}
	if !table.SetEvacuated("c", false, eras.Join(2, 57)) || table.Evacuated("c") {
		t.Error("the end of the new evacuation was ignored")
	}
}

// TestLeavingMarkOutlivesTheStore: what an endpoint announced of itself holds against later
// writes and a registration that lapses, until its next start.
func TestLeavingMarkOutlivesTheStore(t *testing.T) {
	table := NewTable()
	e := entry("a", 5)
	e.Incarnation = 100
	table.Put(e)
	if table.MarkLeaving(start, Leaving{ID: "a", Incarnation: 90}, true) || table.Endpoints("s")[0].Draining {
		t.Error("the announcement of an earlier start marked the endpoint")
	}
	if !table.MarkLeaving(start, Leaving{ID: "a", Incarnation: 100}, true) || !table.Endpoints("s")[0].Draining {
		t.Error("the announcement did not mark the endpoint")
	}
	if table.MarkLeaving(start, Leaving{ID: "a", Incarnation: 100}, false) || len(table.RecentLeaving(start)) != 1 {
		t.Error("the announcement of a peer host hides that of the endpoint")
	}
	e.Revision = 6
	table.Put(e)
	table.Remove("a", 7, time.Time{})
	e.Revision = 8
	table.Put(e)
	if !table.Endpoints("s")[0].Draining {
		t.Error("a later registration of the same start dropped the mark")
	}
	if len(table.RecentLeaving(start.Add(announcedLeavingAge))) != 0 {
		t.Error("an old announcement is passed on")
	}
	e.Revision, e.Incarnation = 9, 200
	table.Put(e)
	if table.Endpoints("s")[0].Draining {
		t.Error("the next start of the endpoint is marked")
	}
}

// TestAnnouncedColdOutlivesTheStore: what an endpoint answered of its warm-up holds against
// an older write that lacks it, until its end or the endpoint's next start.
func TestAnnouncedColdOutlivesTheStore(t *testing.T) {
	table := NewTable()
	e := entry("a", 5)
	e.Incarnation = 100
	table.Put(e)
	until := start.Add(3 * time.Second)
	if table.MarkCold(Cold{ID: "a", Incarnation: 90, Until: until}, true) || table.MarkCold(Cold{ID: "b", Until: until}, true) {
		t.Error("the announcement of another start or of an unknown endpoint was taken")
	}
	if !table.MarkCold(Cold{ID: "a", Incarnation: 100, Until: until}, true) || len(table.AnnouncedCold(start)) != 1 {
		t.Error("the announcement was not taken")
	}
	if table.MarkCold(Cold{ID: "a", Incarnation: 100, Until: until.Add(coldSlack)}, true) {
		t.Error("the same announcement made again is news")
	}
	until = until.Add(coldSlack)
	e.Revision = 6
	if table.Put(e) {
		t.Error("a write without a change counts as one because of the announcement")
	}
	if got, _ := table.Get("a"); !got.Cold(until.Add(-1)) || got.Cold(until) || len(table.AnnouncedCold(until)) != 0 {
		t.Error("after a write the endpoint is not cold until the end that it announced")
	}
	e.Revision, e.Incarnation = 7, 200
	table.Put(e)
	if got, _ := table.Get("a"); got.Cold(start) {
		t.Error("the next start of the endpoint is marked")
	}
}
