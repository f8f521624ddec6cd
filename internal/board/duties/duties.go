// Package duties is the board's table of the duties that hosts take on for others:
// whether this host reads the platform's store.
package duties

import "sync/atomic"

// Plan is one assignment of the duties. It is immutable.
type Plan struct {
	// SelfReads reports whether this host reads the platform's store.
	SelfReads bool
}

// Table holds the current plan. Readers take no lock.
type Table struct{ plan atomic.Pointer[Plan] }

// NewTable returns a table for a host that knows no other hosts yet, so that it takes on
// all duties.
func NewTable() *Table {
	t := &Table{}
	t.Store(&Plan{SelfReads: true})
	return t
}

// Plan returns the current plan, which must not be changed.
func (t *Table) Plan() *Plan { return t.plan.Load() }

// Store replaces the plan.
func (t *Table) Store(p *Plan) { t.plan.Store(p) }
