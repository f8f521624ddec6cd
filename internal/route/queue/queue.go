// Package queue orders the requests of a service that wait at a host for an endpoint.
package queue

import (
	"math"
	"sync"
	"time"
)

// agingStep is the wait after which a request moves up by one priority class, so that no
// class starves.
const agingStep = 5 * time.Second

// The weights by which tokens count as service to a caller, from the virtual token
// counters of the supplied paper (Fairness in Serving Large Language Models).
const (
	// PromptWeight is the weight of a prompt token, OutputWeight that of an answer token.
	PromptWeight = 1.0
	OutputWeight = 2.0
)

// Waiter is a queued request.
type Waiter struct {
	// Ready is closed when the request may be placed again, and when it is evicted.
	Ready chan struct{}

	caller string
	class  int
	joined time.Time
	seq    uint64
	state  state
}

// state is that of a waiter; one that left keeps the state waiting.
type state int

const (
	waiting state = iota
	woken
	evicted
)

// Queue is the queue of one service at this host.
type Queue struct {
	mu    sync.Mutex
	limit int
	fair  bool
	seq   uint64
	items []*Waiter
	// counters hold the service that each caller received, in weighted tokens.
	counters map[string]float64
	// waiting counts the queued requests of each caller.
	waiting map[string]int
}

// New returns an empty queue of at most limit requests. Within a priority class, a
// fair queue wakes the caller that received the least service first; any other queue
// wakes in order of arrival.
func New(limit int, fair bool) *Queue {
	return &Queue{limit: limit, fair: fair, counters: map[string]float64{}, waiting: map[string]int{}}
}

// Join adds a request of a priority class, 0 being the highest, that has been waiting
// since joined. It returns nil if the queue is full. A full fair queue evicts the last
// request of the caller with the most requests, if that is more than the new request's
// caller would have.
func (l *Queue) Join(joined time.Time, class int, caller string) *Waiter {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.items) >= l.limit && !l.makeRoom(caller) {
		return nil
	}
	l.lift(caller)
	l.seq++
	it := &Waiter{Ready: make(chan struct{}), caller: caller, class: class, joined: joined, seq: l.seq}
	l.items = append(l.items, it)
	l.waiting[caller]++
	return it
}

// lift raises the counter of a caller without queued requests to the lowest counter of
// the queued callers, so that it gets no credit for the time in which it asked for
// nothing.
func (l *Queue) lift(caller string) {
	if l.waiting[caller] > 0 {
		return
	}
	lowest := math.Inf(1)
	for c, n := range l.waiting {
		if n > 0 {
			lowest = math.Min(lowest, l.counters[c])
		}
	}
	if !math.IsInf(lowest, 1) {
		l.counters[caller] = math.Max(l.counters[caller], lowest)
	}
}

// makeRoom evicts a request in favour of a caller and reports whether it did.
func (l *Queue) makeRoom(caller string) bool {
	if !l.fair {
		return false
	}
	most := ""
	for c, n := range l.waiting {
		if n > l.waiting[most] || (n == l.waiting[most] && c < most) {
			most = c
		}
	}
	if l.waiting[most] <= l.waiting[caller]+1 {
		return false
	}
	for i := len(l.items) - 1; i >= 0; i-- {
		if l.items[i].caller == most {
			l.remove(i, evicted)
			return true
		}
	}
	return false
}

// remove takes the waiter at an index out of the queue and closes its Ready channel,
// unless the new state is waiting, as for a request that left.
func (l *Queue) remove(i int, s state) {
	it := l.items[i]
	l.items = append(l.items[:i], l.items[i+1:]...)
	l.waiting[it.caller]--
	if l.waiting[it.caller] == 0 {
		delete(l.waiting, it.caller)
	}
	it.state = s
	if s != waiting {
		close(it.Ready)
	}
}

// Leave removes a request that stops waiting and reports whether it was still queued.
func (l *Queue) Leave(it *Waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.items {
		if l.items[i] == it {
			l.remove(i, waiting)
			return true
		}
	}
	return false
}

// Evicted reports whether the request was evicted in favour of another caller's.
func (l *Queue) Evicted(it *Waiter) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return it.state == evicted
}

// Wake removes and wakes up to n requests, in order, and returns their number.
func (l *Queue) Wake(now time.Time, n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := 0
	for count < n && len(l.items) > 0 {
		first := 0
		for i := 1; i < len(l.items); i++ {
			if l.before(now, l.items[i], l.items[first]) {
				first = i
			}
		}
		l.remove(first, woken)
		count++
	}
	return count
}

// effectiveClass returns the priority class of a request, raised for its wait.
func effectiveClass(now time.Time, it *Waiter) int {
	return max(0, it.class-int(now.Sub(it.joined)/agingStep))
}

// before reports whether a is woken before b.
func (l *Queue) before(now time.Time, a, b *Waiter) bool {
	if ca, cb := effectiveClass(now, a), effectiveClass(now, b); ca != cb {
		return ca < cb
	}
	if l.fair && a.caller != b.caller {
		if sa, sb := l.counters[a.caller], l.counters[b.caller]; sa != sb {
			return sa < sb
		}
	}
	if !a.joined.Equal(b.joined) {
		return a.joined.Before(b.joined)
	}
	return a.seq < b.seq
}

// Charge adds service that a caller received, in weighted tokens.
func (l *Queue) Charge(caller string, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters[caller] += tokens
}

// Len returns the number of queued requests.
func (l *Queue) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.items)
}

// Ahead returns the number of requests that would be woken before a new one. In a fair
// queue these include no more than one request of each other caller beyond the number
// that the new one's caller has queued.
func (l *Queue) Ahead(now time.Time, class int, caller string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	own := l.waiting[caller]
	seen := map[string]int{}
	for _, it := range l.items {
		if effectiveClass(now, it) > class {
			continue
		}
		if l.fair && it.caller != caller {
			if seen[it.caller] > own {
				continue
			}
			seen[it.caller]++
		}
		n++
	}
	return n
}
