package retry

import (
	"sync"
	"time"
)

// Bound is what a platform allows of repeats of one service, over all hosts: so
// many for each request in a window, and a slack.
type Bound struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// safety is the part of the bound that hosts use, as they do not ask each other:
// where regions peak one after the other, one window holds what hosts were
// allowed by their peaks at different times.
const safety = 0.55

const (
	// parts is the number of parts of a window that are counted apart.
	parts = 10
	// buckets is one more, so that a whole window is counted at any moment.
	buckets = parts + 1
)

// Windows bounds the repeats of this host such that those of all hosts together
// stay within a bound. Its lock is a leaf.
type Windows struct {
	bound Bound
	hosts func() int

	mu       sync.Mutex
	began    time.Time
	services map[string]*window
}

// window counts requests and repeats in a ring of buckets.
type window struct {
	requests [buckets]float64
	repeats  [buckets]float64
	at       int64
}

// NewWindows returns a budget for a fleet of so many hosts, this one counted.
func NewWindows(b Bound, hosts func() int) *Windows {
	return &Windows{bound: b, hosts: hosts, services: map[string]*window{}}
}

// get returns a service's window, moved on to now.
func (w *Windows) get(now time.Time, service string) *window {
	s, ok := w.services[service]
	if w.began.IsZero() {
		w.began = now
	}
	// The time since the first call does not jump with the time of day.
	slot := int64(now.Sub(w.began) / (w.bound.Window / parts))
	if !ok {
		s = &window{at: slot}
		w.services[service] = s
	}
	if slot-s.at >= buckets {
		*s = window{at: slot}
	}
	for s.at < slot {
		s.at++
		i := s.at % buckets
		s.requests[i], s.repeats[i] = 0, 0
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

// Earn counts one request of a caller.
func (w *Windows) Earn(now time.Time, service string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.get(now, service)
	s.requests[s.at%buckets]++
}

// Spend counts one repeat and reports whether the budget had it.
func (w *Windows) Spend(now time.Time, service string) bool {
	hosts := w.hosts()
	w.mu.Lock()
	defer w.mu.Unlock()
	s := w.get(now, service)
	if !w.has(s, hosts) {
		return false
	}
	s.repeats[s.at%buckets]++
	return true
}

// Left reports whether the budget has a repeat, without spending it.
func (w *Windows) Left(now time.Time, service string) bool {
	hosts := w.hosts()
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.has(w.get(now, service), hosts)
}

// has reports whether a window has room for one more repeat.
func (w *Windows) has(s *window, hosts int) bool {
	most := safety * (w.bound.Ratio*sum(s.requests) + w.bound.Slack/float64(max(1, hosts)))
	return sum(s.repeats)+1 <= most
}
