// Package queue orders the requests that wait at a host for an endpoint.
package queue

import (
	"math"
	"sync"
	"time"
)

// ageStep is the wait that lifts a request by one class of priority, so that
// no class starves.
const ageStep = 5 * time.Second

// The weights of the service that a caller gets, from the virtual token
// counters of the supplied paper (Fairness in Serving Large Language Models).
const (
	// PromptWeight counts a token of the prompt, OutputWeight one of the answer.
	PromptWeight = 1.0
	OutputWeight = 2.0
)

// Item is a request that waits.
type Item struct {
	// Turn is closed when the request may try again, or was put out.
	Turn chan struct{}

	caller string
	class  int
	joined time.Time
	seq    uint64
	state  state
}

type state int

const (
	waiting state = iota
	woken
	put
)

// Line is the queue of one service.
type Line struct {
	mu    sync.Mutex
	limit int
	fair  bool
	seq   uint64
	items []*Item
	// counters hold the service that each caller got, in weighted tokens.
	counters map[string]float64
	waiting  map[string]int
}

// NewLine returns an empty queue of at most limit requests. A fair one gives
// each turn to the caller that got least, within a class of priority.
func NewLine(limit int, fair bool) *Line {
	return &Line{limit: limit, fair: fair, counters: map[string]float64{}, waiting: map[string]int{}}
}

// Join adds a request of a class, 0 first, that waits since joined. It returns
// nil where the queue is full. In a fair queue a caller with fewer requests
// puts the last one of the caller with most out.
func (l *Line) Join(joined time.Time, class int, caller string) *Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.items) >= l.limit && !l.makeRoom(caller) {
		return nil
	}
	l.lift(caller)
	l.seq++
	it := &Item{Turn: make(chan struct{}), caller: caller, class: class, joined: joined, seq: l.seq}
	l.items = append(l.items, it)
	l.waiting[caller]++
	return it
}

// lift keeps a caller that comes back from living on service that it did not
// ask for: its counter starts at the lowest of those that wait.
func (l *Line) lift(caller string) {
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

func (l *Line) makeRoom(caller string) bool {
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
			l.take(i, put)
			return true
		}
	}
	return false
}

// take removes an item and ends its wait.
func (l *Line) take(i int, s state) {
	it := l.items[i]
	l.items = append(l.items[:i], l.items[i+1:]...)
	l.waiting[it.caller]--
	if l.waiting[it.caller] == 0 {
		delete(l.waiting, it.caller)
	}
	it.state = s
	if s != waiting {
		close(it.Turn)
	}
}

// Leave removes a request that waits no longer; it reports whether it still waited.
func (l *Line) Leave(it *Item) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range l.items {
		if l.items[i] == it {
			l.take(i, waiting)
			return true
		}
	}
	return false
}

// PutOut reports whether the request lost its place to another caller's.
func (l *Line) PutOut(it *Item) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return it.state == put
}

// Wake gives up to n requests their turn, in order, and returns how many.
func (l *Line) Wake(now time.Time, n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	done := 0
	for done < n && len(l.items) > 0 {
		first := 0
		for i := 1; i < len(l.items); i++ {
			if l.before(now, l.items[i], l.items[first]) {
				first = i
			}
		}
		l.take(first, woken)
		done++
	}
	return done
}

// classNow is a request's class after the lift for its wait.
func classNow(now time.Time, it *Item) int {
	return max(0, it.class-int(now.Sub(it.joined)/ageStep))
}

func (l *Line) before(now time.Time, a, b *Item) bool {
	if ca, cb := classNow(now, a), classNow(now, b); ca != cb {
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

// Charge counts service that a caller got, in weighted tokens.
func (l *Line) Charge(caller string, tokens float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counters[caller] += tokens
}

// Len returns the number of requests that wait.
func (l *Line) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.items)
}

// Ahead returns how many requests would get their turn before a new one. In a
// fair queue another caller has no more turns before it than its own caller has.
func (l *Line) Ahead(now time.Time, class int, caller string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	own := l.waiting[caller]
	seen := map[string]int{}
	for _, it := range l.items {
		if classNow(now, it) > class {
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
