// Package mixes is the board's table of what callers ask of this host under each
// host name: the requests by route.
package mixes

import (
	"maps"
	"sync"
	"time"
)

const (
	// sample is the least number of requests that tell of a mix.
	sample = 20
	// window is the number of requests from which earlier ones count half.
	window = 500
	// life is how long a mix counts without new requests: callers that were sent to
	// another region are not seen here, so the mix is then seen anew.
	life = time.Minute
	// mostNames bounds the table.
	mostNames = 10_000
)

type mix struct {
	all    float64
	routes map[string]float64
	at     time.Time
}

// Table holds the mixes by host name. Its lock is a leaf.
type Table struct {
	mu   sync.Mutex
	list map[string]*mix
}

// NewTable returns a table that has seen nothing.
func NewTable() *Table { return &Table{list: map[string]*mix{}} }

// Note counts a request of a route under a host name.
func (t *Table) Note(now time.Time, name, route string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.list[name]
	if !ok || now.Sub(m.at) > life {
		m = &mix{routes: map[string]float64{}}
		if !ok && len(t.list) >= mostNames {
			t.sweep(now)
		}
		t.list[name] = m
	}
	if m.all >= window {
		m.halve()
	}
	m.routes[route]++
	m.all, m.at = m.all+1, now
}

// halve lets what was seen count half, and forgets what counts next to nothing.
func (m *mix) halve() {
	m.all = 0
	for route, n := range m.routes {
		if n < 1 {
			delete(m.routes, route)
			continue
		}
		m.routes[route] = n / 2
		m.all += n / 2
	}
}

// sweep makes room: what is old goes, or all where nothing is.
func (t *Table) sweep(now time.Time) {
	for name, m := range t.list {
		if now.Sub(m.at) > life {
			delete(t.list, name)
		}
	}
	if len(t.list) >= mostNames {
		clear(t.list)
	}
}

// Of returns the requests of a host name by route, nil where too few are known.
func (t *Table) Of(now time.Time, name string) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.list[name]
	if !ok || m.all < sample || now.Sub(m.at) > life {
		return nil
	}
	return maps.Clone(m.routes)
}
