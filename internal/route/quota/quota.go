// Package quota divides the rate limit of a cold endpoint among the hosts that may send
// to it, without coordination between them.
package quota

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopspindle/hyssopspindle/internal/route/place"
)

const (
	// discoveryTime is the time after its start in which a host may not yet know all other
	// hosts; until then its share is 0.
	discoveryTime = 2500 * time.Millisecond
	// departedTime is how long a host counts after it was last listed: its last requests
	// fall into the same second as those that the others send.
	departedTime = 1500 * time.Millisecond
)

// Table holds the hosts that share the rate limit. No other lock is taken while its lock
// is held.
type Table struct {
	started time.Time
	self    string

	mu sync.Mutex
	// lastSeen is when each other host was last listed.
	lastSeen map[string]time.Time
}

// New returns the table of the host self, whose process started at a time.
func New(started time.Time, self string) *Table {
	return &Table{started: started, self: self, lastSeen: map[string]time.Time{}}
}

// UpdateHosts updates the other hosts that may send to the same endpoints: all except those
// that announced their shutdown.
func (t *Table) UpdateHosts(now time.Time, names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range names {
		t.lastSeen[n] = now
	}
	for n, at := range t.lastSeen {
		if now.Sub(at) > departedTime {
			delete(t.lastSeen, n)
		}
	}
}

// Share returns this host's share of rate, the rate limit of an endpoint in requests per
// second. The shares of all hosts add up to no more than the rate. The remainder of an
// equal split goes to the hosts with the highest rendezvous weights for the endpoint.
func (t *Table) Share(now time.Time, endpoint string, rate int) int {
	if now.Sub(t.started) < discoveryTime {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	key := xxhash.Sum64String(endpoint)
	own := place.Weight(key, t.self)
	hosts, before := 1, 0
	for n := range t.lastSeen {
		hosts++
		if place.Weight(key, n) > own {
			before++
		}
	}
	share := rate / hosts
	if before < rate%hosts {
		share++
	}
	return share
}
