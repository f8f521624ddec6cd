package regis

import (
	"maps"
	"slices"

	"github.com/hyssopspindle/hyssopspindle/internal/plat/eras"
)

// Memory is what a table holds and a store that came back from an older copy may lack.
type Memory struct {
	// Listed is the ordered revision of the last listing, Restored that of the first one after
	// the store came back, 0 if it never did.
	Listed, Restored uint64
	// Gone lists the endpoints whose removal the store acknowledged.
	Gone []string
	// Draining lists the registered endpoints that drain, Leaving those that announced that
	// they leave.
	Draining, Leaving []Leaving
}

// Memory returns the memory of the table.
func (t *Table) Memory() Memory {
	t.mu.RLock()
	defer t.mu.RUnlock()
	m := Memory{Listed: t.listed, Restored: t.restored, Gone: slices.Sorted(maps.Keys(t.gone))}
	for _, id := range slices.Sorted(maps.Keys(t.endpoints)) {
		if e := t.endpoints[id]; e.Draining {
			m.Draining = append(m.Draining, Leaving{ID: id, Incarnation: e.Incarnation})
		}
	}
	for _, id := range slices.Sorted(maps.Keys(t.leaving)) {
		m.Leaving = append(m.Leaving, Leaving{ID: id, Incarnation: t.leaving[id].incarnation})
	}
	return m
}

// Learn adds the memory of a peer host to the table of a host that has just listed the store
// for the first time. What the store wrote after it came back from an older copy holds; of what
// the copy itself has, endpoints that are known to be gone or to drain are so. Learn returns the
// ids of the dropped endpoints.
func (t *Table) Learn(m Memory) (dropped []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.restored = max(t.restored, m.Restored)
	if eras.Of(m.Listed) < eras.Of(t.listed) {
		// The peer host has not listed the store since it came back.
		t.restored = max(t.restored, t.listed)
	}
	dropped = t.learnGone(m.Gone)
	for _, l := range m.Draining {
		if e, known := t.endpoints[l.ID]; known && e.Incarnation == l.Incarnation && e.Revision <= t.restored {
			if !e.Draining {
				t.withheld[l.ID] = e
			}
			e.Draining = true
			t.endpoints[l.ID] = e
		}
	}
	t.learnLeaving(m.Leaving)
	t.reindex()
	return dropped
}

// learnGone drops the endpoints that are known to be gone. The caller holds the lock.
func (t *Table) learnGone(gone []string) (dropped []string) {
	for _, id := range gone {
		e, known := t.endpoints[id]
		switch {
		case !known && len(t.gone) < maxGone:
			t.gone[id] = true
		case known && e.Revision <= t.restored:
			t.drop(id)
			t.withheld[id] = e
			dropped = append(dropped, id)
		}
	}
	return dropped
}

// learnLeaving marks the endpoints that announced that they leave. The caller holds the lock.
func (t *Table) learnLeaving(list []Leaving) {
	for _, l := range list {
		e, known := t.endpoints[l.ID]
		_, marked := t.leaving[l.ID]
		if marked || len(t.leaving) >= maxGone || (known && e.Incarnation > l.Incarnation) {
			continue
		}
		t.leaving[l.ID] = leavingMark{incarnation: l.Incarnation}
		if known && e.Incarnation == l.Incarnation {
			e.Draining = true
			t.endpoints[l.ID] = e
		}
	}
}

// Restored returns the revision of the first listing of the present era, 0 before the first
// restore of the store.
func (t *Table) Restored() uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.restored
}

// LowerRestored applies that a peer host has listed the restored store at a revision already: what
// was written later is not the older copy's own, though it is in this host's first listing. It
// returns the registrations that are in force by that.
func (t *Table) LowerRestored(revision uint64) (changed []Endpoint) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if revision >= t.restored || eras.Of(revision) != eras.Of(t.restored) {
		return nil
	}
	t.restored = revision
	for _, id := range slices.Sorted(maps.Keys(t.withheld)) {
		if e := t.withheld[id]; e.Revision > revision && t.put(e) {
			changed = append(changed, e)
		}
	}
	return changed
}
