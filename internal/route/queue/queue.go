// Package queue orders the requests that wait at a host for an endpoint.
package queue

import (
	"container/heap"
	"sync"
	"time"
)

// ageStep is the wait that lifts a request by one class of priority, so that
// no class starves.
const ageStep = 5 * time.Second

// Item is a request that waits.
type Item struct {
	// Turn is closed when the request may try again.
	Turn chan struct{}

	rank  time.Time
	seq   uint64
	index int
}

// Line is the queue of one service.
type Line struct {
	mu    sync.Mutex
	limit int
	seq   uint64
	items items
}

// NewLine returns an empty queue of at most limit requests.
func NewLine(limit int) *Line { return &Line{limit: limit} }

// Join adds a request of a class, 0 first; it returns nil where the queue is full.
func (l *Line) Join(now time.Time, class int) *Item {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.items) >= l.limit {
		return nil
	}
	l.seq++
	it := &Item{
		Turn: make(chan struct{}), seq: l.seq,
		// Classes are apart by a fixed time: an older request of a later class
		// comes before a younger one of an earlier class.
		rank: now.Add(time.Duration(class) * ageStep),
	}
	heap.Push(&l.items, it)
	return it
}

// Leave removes a request that waits no longer; it reports whether it still waited.
func (l *Line) Leave(it *Item) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if it.index < 0 {
		return false
	}
	heap.Remove(&l.items, it.index)
	return true
}

// Wake gives up to n requests their turn, in order, and returns how many.
func (l *Line) Wake(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	woken := 0
	for woken < n && len(l.items) > 0 {
		it, _ := heap.Pop(&l.items).(*Item)
		close(it.Turn)
		woken++
	}
	return woken
}

// Len returns the number of requests that wait.
func (l *Line) Len() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.items)
}

// Ahead returns how many requests would be before a new one of the class.
func (l *Line) Ahead(now time.Time, class int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	rank := now.Add(time.Duration(class) * ageStep)
	n := 0
	for _, it := range l.items {
		if !it.rank.After(rank) {
			n++
		}
	}
	return n
}

type items []*Item

func (q items) Len() int { return len(q) }

func (q items) Less(i, j int) bool {
	if !q[i].rank.Equal(q[j].rank) {
		return q[i].rank.Before(q[j].rank)
	}
	return q[i].seq < q[j].seq
}

func (q items) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *items) Push(x any) {
	it, _ := x.(*Item)
	it.index = len(*q)
	*q = append(*q, it)
}

func (q *items) Pop() any {
	old := *q
	it := old[len(old)-1]
	old[len(old)-1] = nil
	it.index = -1
	*q = old[:len(old)-1]
	return it
}
