// Package routes is the board's table of the published rules in force.
package routes

import (
	"sync/atomic"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
)

// Table holds the rules in force. Readers take no lock.
type Table struct{ force atomic.Pointer[rules.Rules] }

// NewTable returns a table without rules.
func NewTable() *Table { return &Table{} }

// Rules returns the rules in force, or nil.
func (t *Table) Rules() *rules.Rules { return t.force.Load() }

// Apply puts rules in force unless those held are of the same or a higher
// version. It reports whether it did.
func (t *Table) Apply(r *rules.Rules) bool {
	for {
		held := t.force.Load()
		if held != nil && held.Version >= r.Version {
			return false
		}
		if t.force.CompareAndSwap(held, r) {
			return true
		}
	}
}

// Version returns that of the rules in force, 0 if there are none.
func (t *Table) Version() uint64 {
	if r := t.force.Load(); r != nil {
		return r.Version
	}
	return 0
}
