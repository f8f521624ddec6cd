// Package revis is the board's table of configuration revisions: the active revision
// with its documents, and the last rejected revision.
package revis

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
)

// Active is an active revision with its documents, as served to peer hosts.
type Active struct {
	Inventory *invent.Inventory
	Head      []byte
	Documents map[string][]byte
	// Since is when the revision became active at this host.
	Since time.Time
}

// Rejection is a revision that was not accepted.
type Rejection struct {
	Revision uint64
	Err      error
	At       time.Time
}

// Table holds the active revision. Readers take no lock. Advance takes the table's
// lock, which comes before all others.
type Table struct {
	mu       sync.Mutex
	active   atomic.Pointer[Active]
	rejected atomic.Pointer[Rejection]
}

// NewTable returns a table without a revision.
func NewTable() *Table { return &Table{} }

// Inventory returns the active inventory, nil if there is none yet.
func (t *Table) Inventory() *invent.Inventory {
	if a := t.active.Load(); a != nil {
		return a.Inventory
	}
	return nil
}

// Active returns the active revision, nil if there is none yet.
func (t *Table) Active() *Active { return t.active.Load() }

// Revision returns the number of the active revision, 0 if there is none.
func (t *Table) Revision() uint64 {
	if a := t.active.Load(); a != nil {
		return a.Inventory.Revision
	}
	return 0
}

// Version returns the version of the active configuration, the lowest if there is none.
func (t *Table) Version() invent.Version { return t.Inventory().Version() }

// LastRejection returns the last rejected revision, nil if there is none.
func (t *Table) LastRejection() *Rejection { return t.rejected.Load() }

// Reject records a rejected revision.
func (t *Table) Reject(r Rejection) { t.rejected.Store(&r) }

// Advance makes a revision active and calls apply before readers see it. It returns
// false if the version does not supersede the active one.
func (t *Table) Advance(a *Active, apply func(*invent.Inventory)) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !a.Inventory.Version().Supersedes(t.Version()) {
		return false
	}
	apply(a.Inventory)
	t.active.Store(a)
	return true
}
