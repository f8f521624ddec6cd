package retry

import (
	"sync"
	"time"
)

// Bound is the platform's bound on the retries of one service over all hosts: in any
// window, at most Ratio times the requests in it plus Slack.
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

// NewFleetBudget returns a retry budget within a bound. hosts returns the number of hosts
// in the fleet, including this one.
func NewFleetBudget(b Bound, hosts func() int) *FleetBudget {
	return &FleetBudget{bound: b, hosts: hosts, services: map[string]*window{}}
}

// current returns a service's window, advanced to now.
func (b *FleetBudget) current(now time.Time, service string) *window {
	w, ok := b.services[service]
	if b.start.IsZero() {
		b.start = now
	}
	// The time since the first call is monotonic: it does not jump when the wall clock is
	// set.
	slot := int64(now.Sub(b.start) / (b.bound.Window / bucketsPerWindow))
	if !ok {
		w = &window{newest: slot}
		b.services[service] = w
	}
	if slot-w.newest >= buckets {
		*w = window{newest: slot}
	}
	for w.newest < slot {
		w.newest++
		i := w.newest % buckets
		w.requests[i], w.retries[i] = 0, 0
	}
	return w
}

func sum(list [buckets]float64) float64 {
	total := 0.0
	for _, v := range list {
		total += v
	}
	return total
}

// AddRequest counts one request of a service. A relayed request is counted only in the
// region that the caller sent it to.
func (b *FleetBudget) AddRequest(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.current(now, service)
	w.requests[w.newest%buckets]++
}

// Spend counts one retry if the budget allows it, and reports whether it does.
func (b *FleetBudget) Spend(now time.Time, service string) bool {
	return b.SpendWithin(now, service, 1)
}

// SpendWithin is like Spend, with a budget that is reduced to a share.
func (b *FleetBudget) SpendWithin(now time.Time, service string, share float64) bool {
	hosts := b.hosts()
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.current(now, service)
	if !b.allows(w, hosts, share) {
		return false
	}
	w.retries[w.newest%buckets]++
	return true
}

// Available reports whether the budget allows a retry, without counting one.
func (b *FleetBudget) Available(now time.Time, service string) bool {
	hosts := b.hosts()
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allows(b.current(now, service), hosts, 1)
}

// allows reports whether a window has room for one more retry in a share of the budget.
func (b *FleetBudget) allows(w *window, hosts int, share float64) bool {
	limit := share * safetyFactor * (b.bound.Ratio*sum(w.requests) + b.bound.Slack/float64(max(1, hosts)))
	return sum(w.retries)+1 <= limit
}
