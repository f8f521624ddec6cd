// Package routes is the board's table of the active published rules.
package routes

import (
	"sync/atomic"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
)

// Table holds the active rules. Readers take no lock.
type Table struct{ active atomic.Pointer[rules.Rules] }

// NewTable returns a table without rules.
func NewTable() *Table { return &Table{} }

// Rules returns the active rules, nil if there are none yet.
func (t *Table) Rules() *rules.Rules { return t.active.Load() }

// Apply makes rules active and returns true, unless the active rules have the same or
// a higher version.
func (t *Table) Apply(r *rules.Rules) bool {
	for {
		current := t.active.Load()
		if current != nil && current.Version >= r.Version {
			return false
		}
		if t.active.CompareAndSwap(current, r) {
			return true
		}
	}
}

// Version returns the version of the active rules, 0 if there are none.
func (t *Table) Version() uint64 {
	if r := t.active.Load(); r != nil {
		return r.Version
	}
	return 0
}
