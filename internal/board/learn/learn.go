// Package learn is the board's table of what endpoints were seen to take: the
// speed at which engines read prompts and the usual time of plain answers.
package learn

import (
	"sync"
	"time"
)

const (
	// firstRate is the number of prompt tokens read in a millisecond before
	// anything was seen, firstWork the time of a plain answer.
	firstRate = 55.0
	firstWork = 50 * time.Millisecond
	// weight is that of one new sample, lowWeight where it is slower than held, as
	// it may have waited behind others.
	weight    = 0.1
	lowWeight = 0.03
	// sample is the least number of prompt tokens of a sample of the speed.
	sample = 1500
	// base is the part of a first token's time that does not depend on the prompt.
	base = 12 * time.Millisecond
)

type service struct {
	rate float64
	work time.Duration
}

// Table holds the speeds by service. Its lock is a leaf.
type Table struct {
	mu       sync.Mutex
	services map[string]service
}

// NewTable returns a table that has seen nothing.
func NewTable() *Table { return &Table{services: map[string]service{}} }

func (t *Table) get(name string) service {
	s, ok := t.services[name]
	if !ok {
		return service{rate: firstRate, work: firstWork}
	}
	return s
}

// Read returns the time in which an engine of a service reads a prompt.
func (t *Table) Read(name string, tokens int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(float64(tokens) / t.get(name).rate * float64(time.Millisecond))
}

// Work returns the usual time of a plain answer.
func (t *Table) Work(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(name).work
}

// First takes in how long a prompt of so many tokens took to its first token.
func (t *Table) First(name string, tokens int, took time.Duration) {
	if tokens < sample || took <= base {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(name)
	rate := float64(tokens) / (float64(took-base) / float64(time.Millisecond))
	w := weight
	if rate < s.rate {
		w = lowWeight
	}
	s.rate += w * (rate - s.rate)
	t.services[name] = s
}

// Done takes in how long a plain answer took.
func (t *Table) Done(name string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(name)
	s.work += time.Duration(weight * float64(took-s.work))
	t.services[name] = s
}
