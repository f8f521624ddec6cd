// Package items remembers what the platform's store held, as it was written, so
// that hosts that do not reach the store can be told by hosts that do.
package items

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

// mostRemoved bounds the removals that are remembered.
const mostRemoved = 4096

// Item is one key of the store at its last change.
type Item struct {
	Key string
	// Value is as it was written; nothing here reads it.
	Value    []byte
	Revision uint64
	Deleted  bool
	// At is when the change was read from the store.
	At time.Time
}

// Table holds the items; its zero value is an empty table. Its lock is a leaf.
type Table struct {
	mu   sync.Mutex
	list map[string]Item
	// at is the revision up to which the table is complete.
	at uint64
	// floor is the revision up to which removals may be forgotten.
	floor   uint64
	removed int
}

// Change takes changes in, after which the table is complete up to a revision.
func (t *Table) Change(list []Item, at uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, it := range list {
		t.put(it)
	}
	t.at = max(t.at, at)
	t.trim()
}

// Replace takes a whole listing in, complete up to a revision: what it lacks was
// removed, at the latest then.
func (t *Table) Replace(list []Item, at uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, it := range list {
		listed[it.Key] = true
		t.put(it)
	}
	for key, it := range t.list {
		if !listed[key] && it.Revision <= at && !it.Deleted {
			t.put(Item{Key: key, Revision: at, Deleted: true})
		}
	}
	if t.at == 0 {
		// What was removed before is not known.
		t.floor = at
	}
	t.at = max(t.at, at)
	t.trim()
}

func (t *Table) put(it Item) {
	old, ok := t.list[it.Key]
	if ok && it.Revision < old.Revision {
		return
	}
	if t.list == nil {
		t.list = map[string]Item{}
	}
	t.list[it.Key] = it
	t.removed += count(it) - count(old)
}

// count is 1 for a removal.
func count(it Item) int {
	if it.Deleted {
		return 1
	}
	return 0
}

// trim forgets the oldest half of the removals where there are too many.
func (t *Table) trim() {
	if t.removed <= mostRemoved {
		return
	}
	gone := make([]Item, 0, t.removed)
	for _, it := range t.list {
		if it.Deleted {
			gone = append(gone, it)
		}
	}
	slices.SortFunc(gone, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, it := range gone[:len(gone)/2] {
		delete(t.list, it.Key)
		t.floor = max(t.floor, it.Revision)
		t.removed--
	}
}

// Since returns what changed after a revision, in order, and the revision up to
// which that is complete. Whole says that it is a whole listing instead, as
// removals since then may be forgotten.
func (t *Table) Since(from uint64) (list []Item, at uint64, whole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.at <= from {
		return nil, t.at, false
	}
	whole = from < t.floor
	for _, it := range t.list {
		if (whole && !it.Deleted) || (!whole && it.Revision > from) {
			list = append(list, it)
		}
	}
	slices.SortFunc(list, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return list, t.at, whole
}
