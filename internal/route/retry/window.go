package retry

import (
	"sync"
	"time"
)

// Bound is the platform's bound on the retries of one service, over all hosts: in any
// window, Ratio for each request in it, plus Slack.
type Bound struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// safetyFactor is the share of the bound that hosts use, as they do not coordinate: if
// regions peak one after the other, one window holds the retries that several hosts
// were allowed by their peaks at different times.
const safetyFactor = 0.55

const (
	// bucketsPerWindow is the number of parts of a window that are counted separately.
	bucketsPerWindow = 10
	// buckets is one more, so that the buckets always cover a whole window.
	buckets = bucketsPerWindow + 1
)

// FleetBudget is a retry budget for each service that keeps the retries of all hosts
// together within a bound. No other lock is taken while its lock is held.
type FleetBudget struct {
	bound Bound
	hosts func() int

	mu       sync.Mutex
	start    time.Time
	services map[string]*window
}

// window counts requests and retries in a ring of buckets.
type window struct {
	requests [buckets]float64
	retries  [buckets]float64
	newest   int64
}

// NewFleetBudget returns a retry budget. hosts returns the number of hosts in the fleet,
// including this one.
func NewFleetBudget(b Bound, hosts func() int) *FleetBudget {
	return &FleetBudget{bound: b, hosts: hosts, services: map[string]*window{}}
}

// current returns a service's window, advanced to now.
func (w *FleetBudget) current(now time.Time, service string) *window {
	s, ok := w.services[service]
	if w.start.IsZero() {
		w.start = now
	}
	// The time since the first call is monotonic: it does not jump when the wall clock is
	// set.
	slot := int64(now.Sub(w.start) / (w.bound.Window / bucketsPerWindow))
	if !ok {
		s = &window{newest: slot}
		w.services[service] = s
	}
	if slot-s.newest >= buckets {
		*s = window{newest: slot}
	}
	for s.newest < slot {
		s.newest++
		i := s.newest % buckets
		s.requests[i], s.retries[i] = 0, 0
	}
	return s
}

func sum(list [buckets]float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total
}

// AddRequest counts one request of a service that a caller sent to this host; relayed requests
// count where they entered.
func (w *FleetBudget) AddRequest(now time.Time, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.current(now, service)
	s.requests[s.newest%buckets]++
}

// Spend counts one retry if the budget allows it, and reports whether it does.
func (w *FleetBudget) Spend(now time.Time, service string) bool {
	hosts := w.hosts()
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.current(now, service)
	if !w.allows(s, hosts) {
		return false
	}
	s.retries[s.newest%buckets]++
	return true
}

// Available reports whether the budget allows a retry, without counting one.
func (w *FleetBudget) Available(now time.Time, service string) bool {
	hosts := w.hosts()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.allows(w.current(now, service), hosts)
}

// allows reports whether a window has room for one more retry.
func (w *FleetBudget) allows(s *window, hosts int) bool {
	limit := safetyFactor * (w.bound.Ratio*sum(s.requests) + w.bound.Slack/float64(max(1, hosts)))
	return sum(s.retries)+1 <= limit
}
