// Package items keeps a copy of the items of the platform's store, so that a host
// that can't reach the store can fetch them from a peer host that can.
package items

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/plat/eras"
)

// maxTombstones bounds the tombstones in a table.
const maxTombstones = 4096

// Item is a key of the store with its last change.
type Item struct {
	Key string
	// Value is the encoded value; this package does not decode it.
	Value    []byte
	Revision uint64
	// Deleted marks a tombstone, the item of a deleted key.
	Deleted bool
	// ReadAt is when the change was read from the store.
	ReadAt time.Time
	// Heartbeat reports whether the change only renewed the item.
	Heartbeat bool
	// changed is the revision of the last change that was no heartbeat.
	changed uint64
}

// Table holds items by key; its zero value is an empty table. No other lock is
// taken while its lock is held.
type Table struct {
	mu    sync.Mutex
	items map[string]Item
	// revision is the store's revision up to which the table is complete.
	revision uint64
	// changed is the highest revision of a change that was no heartbeat.
	changed uint64
	// floor is the revision up to which tombstones can be missing.
	floor uint64
	// tombstones counts the deleted items.
	tombstones int
}

// Apply applies changes that make the table complete up to a revision.
func (t *Table) Apply(items []Item, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, it := range items {
		t.put(it)
	}
	t.revision = max(t.revision, revision)
	t.trim()
}

// Replace applies a whole listing of a revision. Items missing from it get a
// tombstone with that revision, the latest at which they can have been removed. A listing
// of a later era replaces all, as the items of the era before may never have been written.
func (t *Table) Replace(items []Item, revision uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.revision != 0 && eras.Of(revision) > eras.Of(t.revision) {
		t.items, t.tombstones = nil, 0
		t.revision, t.changed, t.floor = revision, revision, revision
	}
	listed := make(map[string]bool, len(items))
	for _, it := range items {
		listed[it.Key] = true
		t.put(it)
	}
	for key, it := range t.items {
		if !listed[key] && it.Revision <= revision && !it.Deleted {
			t.put(Item{Key: key, Revision: revision, Deleted: true})
		}
	}
	if t.revision == 0 {
		// Removals before the first listing are not known.
		t.floor = revision
	}
	t.revision = max(t.revision, revision)
	t.trim()
}

// put stores an item unless the table has a newer one.
func (t *Table) put(it Item) {
	old, ok := t.items[it.Key]
	if ok && it.Revision < old.Revision {
		return
	}
	if t.items == nil {
		t.items = map[string]Item{}
	}
	it.changed = it.Revision
	if it.Heartbeat && ok && !old.Deleted {
		it.changed = old.changed
	}
	t.changed = max(t.changed, it.changed)
	t.items[it.Key] = it
	t.tombstones += tombstoneCount(it) - tombstoneCount(old)
}

// tombstoneCount returns 1 for a tombstone, else 0.
func tombstoneCount(it Item) int {
	if it.Deleted {
		return 1
	}
	return 0
}

// trim drops the older half of the tombstones if there are more than maxTombstones.
func (t *Table) trim() {
	if t.tombstones <= maxTombstones {
		return
	}
	deleted := make([]Item, 0, t.tombstones)
	for _, it := range t.items {
		if it.Deleted {
			deleted = append(deleted, it)
		}
	}
	slices.SortFunc(deleted, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, it := range deleted[:len(deleted)/2] {
		delete(t.items, it.Key)
		t.floor = max(t.floor, it.Revision)
		t.tombstones--
	}
}

// Revisions returns the revision up to which the table is complete, and that of the last
// change that was no heartbeat.
func (t *Table) Revisions() (revision, changed uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revision, t.changed
}

// Since returns the items that changed after a revision by more than heartbeats, ordered
// by revision, and the revision up to which they are complete. If tombstones after from
// can be missing, it returns all live items instead and whole is true.
func (t *Table) Since(from uint64) (items []Item, revision uint64, whole bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.revision <= from {
		return nil, t.revision, false
	}
	whole = from < t.floor
	for _, it := range t.items {
		if (whole && !it.Deleted) || (!whole && it.changed > from) {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return items, t.revision, whole
}
