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
	// firstBase is the part of a first token's time that does not depend on the
	// prompt, before anything was seen; short is the most tokens of a sample of it.
	firstBase = 50 * time.Millisecond
	short     = 1000
)

type service struct {
	rate float64
	work time.Duration
	base time.Duration
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
		return service{rate: firstRate, work: firstWork, base: firstBase}
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

// Base returns the time to a first token beside that of reading the prompt.
func (t *Table) Base(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(name).base
}

// First takes in how long an engine took to a first token, of which so many
// tokens had to be read. What is slower than held counts less, as the prompt may
// have waited behind others.
func (t *Table) First(name string, tokens int, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(name)
	switch {
	case tokens <= short:
		read := time.Duration(float64(tokens) / s.rate * float64(time.Millisecond))
		sample := max(0, took-read)
		w := weight
		if sample > s.base {
			w = lowWeight
		}
		s.base += time.Duration(w * float64(sample-s.base))
	case tokens >= sample && took > s.base:
		rate := float64(tokens) / (float64(took-s.base) / float64(time.Millisecond))
		w := weight
		if rate < s.rate {
			w = lowWeight
		}
		s.rate += w * (min(rate, mostFaster*s.rate) - s.rate)
	}
	t.services[name] = s
}

// mostFaster bounds what one sample says, as a prompt may have been kept.
const mostFaster = 2.0

// Done takes in how long a plain answer took.
func (t *Table) Done(name string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(name)
	s.work += time.Duration(weight * float64(took-s.work))
	t.services[name] = s
}
