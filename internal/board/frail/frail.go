// Package frail is the board's table of the services whose endpoints announce that they are
// brittle: one that has to turn away more than a number of requests in a second for want of
// room ends. A service is brittle as a whole, as an endpoint that is back after its end has
// answered no request yet.
package frail

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// memory is how long a service stays brittle without an answer or a report that confirms it.
	memory = 30 * time.Second
	// reportAge is how long an announcement is reported to peer hosts.
	reportAge = 2 * time.Second
	// easeTime is the time after the end in which the room is given back.
	easeTime = 3 * time.Second
	// maxServices bounds the services, whose names also come from peer hosts.
	maxServices = 1024
)

// Report is the announcement in an answer of an endpoint of a service, or that there was none.
type Report struct {
	Service string
	// Limit is the number of requests that an endpoint may turn away in a second, nil if the
	// answer named none.
	Limit *int
	Age   time.Duration
}

type state struct {
	brittle bool
	limit   int
	// at is when that was last announced, and own whether in an answer to this host.
	at  time.Time
	own bool
	// since is when the service became brittle, or no longer.
	since time.Time
}

// Table holds the services that were brittle lately. Its lock is a leaf.
type Table struct {
	mu     sync.Mutex
	states map[string]*state
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{states: map[string]*state{}} }

// Record records what an answer to a request that was sent at a time announced, nil for nothing, and
// reports whether that changed the state of the service. Answers overtake each other, so only one
// to a later request ends the brittle time.
func (t *Table) Record(now time.Time, service string, limit *int, sent time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[service]
	if limit == nil && (s == nil || !s.brittle || sent.Before(s.at)) {
		return false
	}
	return t.put(service, limit, now, true)
}

// Merge records the report of a peer host, and reports whether that changed the state.
func (t *Table) Merge(now time.Time, r Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at := now.Add(-r.Age)
	if s := t.states[r.Service]; s != nil && !at.After(s.at) {
		return false
	}
	return t.put(r.Service, r.Limit, at, false)
}

func (t *Table) put(service string, limit *int, at time.Time, own bool) bool {
	s := t.states[service]
	if s == nil {
		if len(t.states) >= maxServices {
			return false
		}
		s = &state{}
		t.states[service] = s
	}
	changed := s.brittle != (limit != nil)
	s.brittle, s.at, s.own = limit != nil, at, own
	if limit != nil {
		s.limit = *limit
	}
	if changed {
		s.since = at
	}
	return changed
}

// Share returns the share of the usual room that the hosts may use beyond the slots of an
// endpoint: 0 while the service is brittle, and growing to 1 after that.
func (t *Table) Share(now time.Time, service string) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.states[service]
	switch {
	case s == nil:
		return 1
	case s.brittle && now.Sub(s.at) < memory:
		return 0
	}
	ended := s.since
	if s.brittle {
		ended = s.at.Add(memory)
	}
	return min(1, max(0, float64(now.Sub(ended))/float64(easeTime)))
}

// Reports returns the announcements in recent answers to this host, to report to peer hosts.
func (t *Table) Reports(now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Report
	for service, s := range t.states {
		age := now.Sub(s.at)
		if !s.own || age >= reportAge {
			continue
		}
		r := Report{Service: service, Age: age}
		if s.brittle {
			limit := s.limit
			r.Limit = &limit
		}
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b Report) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
