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

// The weights by which tokens count as service to a caller, as in the virtual token
// counters of the paper Fairness in Serving Large Language Models.
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

// state is the state of a waiter.
type state int

const (
	// waiting is also the state of a waiter that left.
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
func (q *Queue) Join(joined time.Time, class int, caller string) *Waiter {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.items) >= q.limit && !q.makeRoom(caller) {
		return nil
	}
	q.lift(caller)
	q.seq++
	it := &Waiter{Ready: make(chan struct{}), caller: caller, class: class, joined: joined, seq: q.seq}
	q.items = append(q.items, it)
	q.waiting[caller]++
	return it
}

// lift raises the counter of a caller without queued requests to the lowest counter of
// the queued callers, so that it gets no credit for the time without requests.
func (q *Queue) lift(caller string) {
	if q.waiting[caller] > 0 {
		return
	}
	lowest := math.Inf(1)
	for c, n := range q.waiting {
		if n > 0 {
			lowest = math.Min(lowest, q.counters[c])
		}
	}
	if !math.IsInf(lowest, 1) {
		q.counters[caller] = math.Max(q.counters[caller], lowest)
	}
}

// makeRoom evicts a request in favour of a caller and reports whether it did.
func (q *Queue) makeRoom(caller string) bool {
	if !q.fair {
		return false
	}
	most := ""
	for c, n := range q.waiting {
		if n > q.waiting[most] || (n == q.waiting[most] && c < most) {
			most = c
		}
	}
	if q.waiting[most] <= q.waiting[caller]+1 {
		return false
	}
	for i := len(q.items) - 1; i >= 0; i-- {
		if q.items[i].caller == most {
			q.remove(i, evicted)
			return true
		}
	}
	return false
}

// remove takes the waiter at an index out of the queue and closes its Ready channel,
// unless the new state is waiting, as for a request that left.
func (q *Queue) remove(i int, s state) {
	it := q.items[i]
	q.items = append(q.items[:i], q.items[i+1:]...)
	q.waiting[it.caller]--
	if q.waiting[it.caller] == 0 {
		delete(q.waiting, it.caller)
	}
	it.state = s
	if s != waiting {
		close(it.Ready)
	}
}

// Leave removes a request that stops waiting and reports whether it was still queued.
func (q *Queue) Leave(it *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	for i := range q.items {
		if q.items[i] == it {
			q.remove(i, waiting)
			return true
		}
	}
	return false
}

// Evicted reports whether the request was evicted in favour of another caller's.
func (q *Queue) Evicted(it *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return it.state == evicted
}

// Wake removes and wakes up to n requests, in order, and returns their number.
func (q *Queue) Wake(now time.Time, n int) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	count := 0
	for count < n && len(q.items) > 0 {
		first := 0
		for i := 1; i < len(q.items); i++ {
			if q.before(now, q.items[i], q.items[first]) {
				first = i
			}
		}
		q.remove(first, woken)
		count++
	}
	return count
}

// effectiveClass returns the priority class of a request, raised for its wait.
func effectiveClass(now time.Time, it *Waiter) int {
	return max(0, it.class-int(now.Sub(it.joined)/agingStep))
}

// before reports whether a is woken before b.
func (q *Queue) before(now time.Time, a, b *Waiter) bool {
	if ca, cb := effectiveClass(now, a), effectiveClass(now, b); ca != cb {
		return ca < cb
	}
	if q.fair && a.caller != b.caller {
		if sa, sb := q.counters[a.caller], q.counters[b.caller]; sa != sb {
			return sa < sb
		}
	}
	if !a.joined.Equal(b.joined) {
		return a.joined.Before(b.joined)
	}
	return a.seq < b.seq
}

// Charge adds service that a caller received, in weighted tokens.
func (q *Queue) Charge(caller string, tokens float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.counters[caller] += tokens
}

// Len returns the number of queued requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.items)
}

// Ahead returns the number of requests that would be woken before a new one. In a fair
// queue, each other caller counts with at most one request more than the new request's
// caller has queued.
func (q *Queue) Ahead(now time.Time, class int, caller string) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	own := q.waiting[caller]
	seen := map[string]int{}
	for _, it := range q.items {
		if effectiveClass(now, it) > class {
			continue
		}
		if q.fair && it.caller != caller {
			if seen[it.caller] > own {
				continue
			}
			seen[it.caller]++
		}
		n++
	}
	return n
}
