// Package eject decides when an endpoint that fails gets no work for a while.
package eject

import "time"

const (
	// failLimit is the number of failures in a row that eject an endpoint.
	failLimit = 3
	shortest  = 2 * time.Second
	longest   = 60 * time.Second
	// calm is the time without failures after which the next ejection is short again.
	calm = 2 * time.Minute
)

// Record is an endpoint's history of failures. It is never changed.
type Record struct {
	fails int
	times int
	until time.Time
	last  time.Time
}

// WithFailure returns the record after a failure.
func (r Record) WithFailure(now time.Time) Record {
	if now.Sub(r.last) > calm {
		r.times = 0
	}
	r.last = now
	r.fails++
	if r.fails < failLimit {
		return r
	}
	r.fails = 0
	r.until = now.Add(min(shortest<<min(r.times, 10), longest))
	r.times++
	return r
}

// WithSuccess returns the record after a whole answer.
func (r Record) WithSuccess() Record {
	r.fails = 0
	r.until = time.Time{}
	return r
}

// Out reports whether the endpoint is ejected.
func (r Record) Out(now time.Time) bool { return now.Before(r.until) }

// Returned is when the last ejection ended; zero if there was none.
func (r Record) Returned() time.Time { return r.until }

// Most returns how many of n endpoints may be out at once: half of them, or the
// only one, as a decision takes what is out where nothing else is left.
func Most(n int) int { return max(min(n, 1), n/2) }
