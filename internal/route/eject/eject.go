// Package eject decides when, and for how long, an endpoint that fails is ejected.
package eject

import "time"

const (
	// failLimit is the number of consecutive failures that eject an endpoint.
	failLimit = 3
	// The first ejection lasts minEjection; each further one lasts twice as long, up
	// to maxEjection.
	minEjection = 2 * time.Second
	maxEjection = 60 * time.Second
	// backoffReset is the time without a failure after which the next ejection lasts
	// minEjection again.
	backoffReset = 2 * time.Minute
)

// Record is the failure history of an endpoint. It is immutable.
type Record struct {
	// failures counts the failures since the last success or ejection.
	failures    int
	ejections   int
	until       time.Time
	lastFailure time.Time
}

// WithFailure returns the record after a failure.
func (r Record) WithFailure(now time.Time) Record {
	if now.Sub(r.lastFailure) > backoffReset {
		r.ejections = 0
	}
	r.lastFailure = now
	r.failures++
	if r.failures < failLimit {
		return r
	}
	r.failures = 0
	r.until = now.Add(min(minEjection<<min(r.ejections, 10), maxEjection))
	r.ejections++
	return r
}

// WithSuccess returns the record after a complete answer; it ends an ejection.
func (r Record) WithSuccess() Record {
	r.failures = 0
	r.until = time.Time{}
	return r
}

// Ejected reports whether the endpoint is ejected at a time.
func (r Record) Ejected(now time.Time) bool { return now.Before(r.until) }

// EjectedUntil returns when the last ejection ends or ended. It is zero if there was none
// or a success followed.
func (r Record) EjectedUntil() time.Time { return r.until }

// MaxEjected returns how many of n endpoints may be ejected at once: half of them, or the
// only one, as an ejected endpoint is still used if no other is left.
func MaxEjected(n int) int { return max(min(n, 1), n/2) }
