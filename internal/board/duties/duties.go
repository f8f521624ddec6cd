// Package duties is the board's table of the hosts that take on duties for others: the
// entry hosts of each region, and whether this host reads the platform's store.
package duties

import (
	"sync/atomic"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
)

// Plan is one assignment of the duties. It is immutable.
type Plan struct {
	// Entries holds the other hosts that callers of a region are given, by region.
	Entries map[string][]member.Member
	// SelfEntry reports whether callers are given this host.
	SelfEntry bool
	// SelfReads reports whether this host reads the platform's store.
	SelfReads bool
	// Readers are the other hosts of this host's data centre that read the store.
	Readers []member.Member
}

// Table holds the current plan. Readers take no lock.
type Table struct{ plan atomic.Pointer[Plan] }

// NewTable returns a table for a host that knows no other hosts yet, so that it takes on
// all duties.
func NewTable() *Table {
	t := &Table{}
	t.Store(&Plan{SelfEntry: true, SelfReads: true})
	return t
}

// Plan returns the current plan, which must not be changed.
func (t *Table) Plan() *Plan { return t.plan.Load() }

// Store replaces the plan.
func (t *Table) Store(p *Plan) { t.plan.Store(p) }
