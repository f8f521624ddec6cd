// Package slow divides what a cold endpoint bears a second among the hosts that
// may send to it, which do not ask each other.
package slow

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopspindle/hyssopspindle/internal/route/place"
)

const (
	// settle is how long after its start a host may not know the others yet.
	settle = 2500 * time.Millisecond
	// linger is how long a host that ended still counts: what it sent lately counts
	// in the same second as what the others send.
	linger = 1500 * time.Millisecond
)

// Table holds the hosts that share the rate. Its lock is a leaf.
type Table struct {
	started time.Time
	own     string

	mu   sync.Mutex
	seen map[string]time.Time
}

// New returns the table of a host whose process began at a time.
func New(started time.Time, own string) *Table {
	return &Table{started: started, own: own, seen: map[string]time.Time{}}
}

// Hosts takes in the other hosts that may send to the same endpoints: all but
// those that said that they end.
func (t *Table) Hosts(now time.Time, names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range names {
		t.seen[n] = now
	}
	for n, at := range t.seen {
		if now.Sub(at) > linger {
			delete(t.seen, n)
		}
	}
}

// Share returns this host's part of so many requests a second at an endpoint.
// The parts of all hosts add up to no more than most. Those beyond an equal
// share go to the hosts that come first in the endpoint's own order.
func (t *Table) Share(now time.Time, endpoint string, most int) int {
	if now.Sub(t.started) < settle {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := xxhash.Sum64String(endpoint)
	own := place.Weight(key, t.own)
	hosts, before := 1, 0
	for n := range t.seen {
		hosts++
		if place.Weight(key, n) > own {
			before++
		}
	}
	share := most / hosts
	if before < most%hosts {
		share++
	}
	return share
}
