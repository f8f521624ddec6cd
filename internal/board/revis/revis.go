// Package revis is the board's table of configuration revisions: the one in
// force and the documents it was made from.
package revis

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
)

// Force is a revision in force with its documents, as served to other hosts.
type Force struct {
	Inventory *invent.Inventory
	Head      []byte
	Documents map[string][]byte
	// Since is when it came into force at this host.
	Since time.Time
}

// Rejection is a revision that was not accepted.
type Rejection struct {
	Revision uint64
	Err      error
	At       time.Time
}

// Table holds the revision in force. Reading it takes no lock; its lock, taken
// by Advance, comes before all others.
type Table struct {
	mu       sync.Mutex
	force    atomic.Pointer[Force]
	rejected atomic.Pointer[Rejection]
}

// NewTable returns a table without a revision.
func NewTable() *Table { return &Table{} }

// Inventory returns the inventory in force, nil if there is none yet.
func (t *Table) Inventory() *invent.Inventory {
	if f := t.force.Load(); f != nil {
		return f.Inventory
	}
	return nil
}

// Force returns the revision in force, nil if there is none yet.
func (t *Table) Force() *Force { return t.force.Load() }

// Revision returns the number of the revision in force, 0 if there is none.
func (t *Table) Revision() uint64 {
	if f := t.force.Load(); f != nil {
		return f.Inventory.Revision
	}
	return 0
}

// Mark returns the mark of the revision in force.
func (t *Table) Mark() invent.Mark { return t.Inventory().Mark() }

// Rejected returns the last revision that was not accepted, nil if there is none.
func (t *Table) Rejected() *Rejection { return t.rejected.Load() }

// Reject notes a revision that was not accepted.
func (t *Table) Reject(r Rejection) { t.rejected.Store(&r) }

// Advance puts a configuration in force and runs apply before it is visible. It
// reports false for one whose mark is not above that in force.
func (t *Table) Advance(f *Force, apply func(*invent.Inventory)) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !f.Inventory.Mark().Above(t.Mark()) {
		return false
	}
	apply(f.Inventory)
	t.force.Store(f)
	return true
}
