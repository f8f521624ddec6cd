package endpt

import (
	"math"
	"time"
)

const (
	// maxFailureRate is the share of failed answers above which an endpoint is ejected.
	// It exceeds the share of requests that fail at any endpoint.
	maxFailureRate = 0.3
	// minRateSample is the least number of answers from which a rate is taken.
	minRateSample = 8
	// rateHalfLife is the age at which an answer counts half.
	rateHalfLife = 3 * time.Second
	// rateHold is how long an endpoint ejected by its failure rate gets no work while
	// others have room. Its rate is then measured anew.
	rateHold = 3 * time.Second
)

// failureRate counts the answers of an endpoint, with the weight of each decaying by
// rateHalfLife.
type failureRate struct {
	answers float64
	faults  float64
	at      time.Time
	// holdUntil is the end of the ejection.
	holdUntil time.Time
}

// withAnswer returns the rate after one more answer.
func (q failureRate) withAnswer(now time.Time, fault bool) failureRate {
	keep := 1.0
	if !q.at.IsZero() {
		keep = math.Exp2(-float64(max(0, now.Sub(q.at))) / float64(rateHalfLife))
	}
	q.answers, q.faults, q.at = q.answers*keep+1, q.faults*keep, now
	if fault {
		q.faults++
	}
	if q.answers >= minRateSample && q.faults > maxFailureRate*q.answers && !now.Before(q.holdUntil) {
		return failureRate{holdUntil: now.Add(rateHold)}
	}
	return q
}

// EjectedByRate reports whether the endpoint is ejected by its failure rate. Ejected, in
// contrast, depends on several failures in a row.
func (s *State) EjectedByRate(now time.Time) bool { return now.Before(s.failureRate.holdUntil) }
