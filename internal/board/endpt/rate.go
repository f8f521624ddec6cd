package endpt

import (
	"math"
	"time"
)

const (
	// maxFailureRate is the share of failed answers above which an endpoint is ejected.
	// It is above the share that fails at every endpoint, because of the requests.
	maxFailureRate = 0.3
	// minRateSample is the least number of answers by which an endpoint is ejected.
	minRateSample = 8
	// rateHalfLife is the age at which an answer counts half.
	rateHalfLife = 3 * time.Second
	// rateHold is how long an endpoint ejected by its failure rate gets no requests while
	// others have room. Its rate is then measured anew.
	rateHold = 3 * time.Second
)

// failureRate counts the answers of an endpoint, with the weight of each decaying by
// rateHalfLife.
type failureRate struct {
	answers  float64
	failures float64
	at       time.Time
	// holdUntil is the end of the ejection.
	holdUntil time.Time
}

// withAnswer returns the rate after one more answer. If that ejects the endpoint, the
// counts start anew.
func (r failureRate) withAnswer(now time.Time, failed bool) failureRate {
	keep := 1.0
	if !r.at.IsZero() {
		keep = math.Exp2(-float64(max(0, now.Sub(r.at))) / float64(rateHalfLife))
	}
	r.answers, r.failures, r.at = r.answers*keep+1, r.failures*keep, now
	if failed {
		r.failures++
	}
	if r.answers >= minRateSample && r.failures > maxFailureRate*r.answers && !now.Before(r.holdUntil) {
		return failureRate{holdUntil: now.Add(rateHold)}
	}
	return r
}

// EjectedByRate reports whether the endpoint is ejected by its failure rate. Ejected, in
// contrast, depends on several failures in a row.
func (s *State) EjectedByRate(now time.Time) bool { return now.Before(s.failureRate.holdUntil) }
