// Package regis is the board's table of registered endpoints and evacuated data
// centres, as the platform's store tells of them.
package regis

import (
	"maps"
	"slices"
	"sync"
	"time"
)

// Endpoint is one registration. An endpoint that starts again under its id has
// a later Born.
type Endpoint struct {
	ID      string
	Service string
	Address string
	Centre  string
	Region  string
	// Slots is the number of requests that it works on at once.
	Slots int
	// Draining says that the endpoint takes no new requests.
	Draining bool
	// ColdUntil is when the endpoint is expected to have warmed up.
	ColdUntil time.Time
	// Born is the start of the endpoint's process, in milliseconds since 1970; 0
	// if not known.
	Born int64
	// Revision is the store's at the registration's last change.
	Revision uint64
}

// Table holds the registrations. Its lock is a leaf.
type Table struct {
	mu        sync.RWMutex
	endpoints map[string]Endpoint
	services  map[string][]Endpoint
	evacuated map[string]mark
	// doubted holds endpoints whose registration vanished while the store was
	// disturbed, with the time from which they count as gone.
	doubted map[string]time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		endpoints: map[string]Endpoint{}, services: map[string][]Endpoint{},
		evacuated: map[string]mark{}, doubted: map[string]time.Time{},
	}
}

// Put takes a registration in; an older revision than that held is ignored. It
// reports whether more than the revision changed.
func (t *Table) Put(e Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.put(e)
}

func (t *Table) put(e Endpoint) bool {
	old, ok := t.endpoints[e.ID]
	if ok && e.Revision < old.Revision {
		return false
	}
	delete(t.doubted, e.ID)
	t.endpoints[e.ID] = e
	if ok && same(old, e) {
		return false
	}
	t.index()
	return true
}

// coldSlack is the difference of two statements of one cold time, from the
// delays of heartbeats, below which they count as the same.
const coldSlack = 500 * time.Millisecond

func same(a, b Endpoint) bool {
	if d := a.ColdUntil.Sub(b.ColdUntil); d > coldSlack || d < -coldSlack {
		return false
	}
	b.Revision, b.ColdUntil = a.Revision, a.ColdUntil
	return a == b
}

// Remove drops a registration that the store removed at a revision. While the
// store was disturbed lately the endpoint stays until the given time, as it may
// only have been unable to renew.
func (t *Table) Remove(id string, revision uint64, until time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.endpoints[id]
	if !ok || revision < e.Revision {
		return false
	}
	if !until.IsZero() {
		if _, held := t.doubted[id]; !held {
			t.doubted[id] = until
		}
		return false
	}
	t.drop(id)
	return true
}

func (t *Table) drop(id string) {
	delete(t.endpoints, id)
	delete(t.doubted, id)
	t.index()
}

// Replace takes a whole listing in: what it lacks is removed as by Remove.
func (t *Table) Replace(list []Endpoint, revision uint64, until time.Time) (changed []Endpoint, gone []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
		if t.put(e) {
			changed = append(changed, e)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(t.endpoints)) {
		e := t.endpoints[id]
		if listed[id] || e.Revision > revision {
			continue
		}
		if until.IsZero() {
			t.drop(id)
			gone = append(gone, id)
		} else if _, held := t.doubted[id]; !held {
			t.doubted[id] = until
		}
	}
	return changed, gone
}

// Expire drops the doubted endpoints whose time is up and returns their ids.
func (t *Table) Expire(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var gone []string
	for id, until := range t.doubted {
		if !now.Before(until) {
			gone = append(gone, id)
		}
	}
	for _, id := range gone {
		t.drop(id)
	}
	return gone
}

// Postpone holds doubted endpoints until a later time, while the store is away.
func (t *Table) Postpone(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.doubted {
		t.doubted[id] = until
	}
}

// Drain notes that an endpoint itself said that it takes no new requests.
func (t *Table) Drain(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.endpoints[id]; ok && !e.Draining {
		e.Draining = true
		t.endpoints[id] = e
		t.index()
	}
}

// index rebuilds the lists that readers share.
func (t *Table) index() {
	services := make(map[string][]Endpoint, len(t.services))
	for _, id := range slices.Sorted(maps.Keys(t.endpoints)) {
		e := t.endpoints[id]
		services[e.Service] = append(services[e.Service], e)
	}
	t.services = services
}

// Of returns the endpoints of a service. The list is shared and never changed.
func (t *Table) Of(service string) []Endpoint {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.services[service]
}

// IDs returns the ids of the endpoints in a region.
func (t *Table) IDs(region string) []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []string
	for id, e := range t.endpoints {
		if e.Region == region {
			out = append(out, id)
		}
	}
	return out
}

// Len counts the endpoints.
func (t *Table) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.endpoints)
}

// mark is the last order on a data centre, kept when it is taken back so that an
// older one does not come again.
type mark struct {
	on       bool
	revision uint64
}

// Evacuate marks a data centre to get no new requests, or takes the mark back, at
// a revision of the store; an older one than that held is ignored. It reports
// whether the mark changed.
func (t *Table) Evacuate(centre string, on bool, revision uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.evacuated[centre]
	if revision < old.revision {
		return false
	}
	t.evacuated[centre] = mark{on: on, revision: revision}
	return on != old.on
}

// Evacuated reports whether a data centre is to get no new requests.
func (t *Table) Evacuated(centre string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.evacuated[centre].on
}

// Marks returns the evacuated data centres.
func (t *Table) Marks() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []string
	for centre, m := range t.evacuated {
		if m.on {
			out = append(out, centre)
		}
	}
	slices.Sort(out)
	return out
}
