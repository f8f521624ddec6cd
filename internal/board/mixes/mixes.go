// Package mixes is the board's table of traffic mixes: for each host name that callers
// use, the number of requests that this host received by route.
package mixes

import (
	"maps"
	"sync"
	"time"
)

const (
	// minRequests is the least number of requests from which a mix is returned.
	minRequests = 20
	// halvingCount is the number of requests at which all counts are halved.
	halvingCount = 500
	// mixTTL is how long a mix is valid without new requests. This host does not see
	// callers that it directed to another region, so an idle mix starts anew.
	mixTTL = time.Minute
	// maxNames bounds the number of host names in the table.
	maxNames = 10_000
)

// mix counts the recent requests under one host name.
type mix struct {
	total  float64
	routes map[string]float64
	at     time.Time
}

// Table holds the mixes by host name. Its lock is a leaf.
type Table struct {
	mu    sync.Mutex
	mixes map[string]*mix
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{mixes: map[string]*mix{}} }

// CountRequest counts a request of a route under a host name.
func (t *Table) CountRequest(now time.Time, name, route string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.mixes[name]
	if !ok || now.Sub(m.at) > mixTTL {
		m = &mix{routes: map[string]float64{}}
		if !ok && len(t.mixes) >= maxNames {
			t.evict(now)
		}
		t.mixes[name] = m
	}
	if m.total >= halvingCount {
		m.halve()
	}
	m.routes[route]++
	m.total, m.at = m.total+1, now
}

// halve halves all counts and removes routes that count less than one request.
func (m *mix) halve() {
	m.total = 0
	for route, n := range m.routes {
		if n < 1 {
			delete(m.routes, route)
			continue
		}
		m.routes[route] = n / 2
		m.total += n / 2
	}
}

// evict removes the expired mixes, or all mixes if that does not make room.
func (t *Table) evict(now time.Time) {
	for name, m := range t.mixes {
		if now.Sub(m.at) > mixTTL {
			delete(t.mixes, name)
		}
	}
	if len(t.mixes) >= maxNames {
		clear(t.mixes)
	}
}

// RouteCounts returns the request counts of a host name by route, in which older requests
// count less; nil if there are fewer than minRequests.
func (t *Table) RouteCounts(now time.Time, name string) map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	m, ok := t.mixes[name]
	if !ok || m.total < minRequests || now.Sub(m.at) > mixTTL {
		return nil
	}
	return maps.Clone(m.routes)
}
