package endpt

import (
	"math"
	"time"
)

const (
	// shunShare is the part of answers that fail from which an endpoint is shunned:
	// above what requests cause that fail wherever they run.
	shunShare = 0.3
	// shunSample is the least number of answers that are judged by.
	shunSample = 8
	// shunMemory is the time in which earlier answers count half.
	shunMemory = 3 * time.Second
	// shunTime is how long a shunned endpoint gets no work where others have room;
	// then it is judged anew.
	shunTime = 3 * time.Second
)

// quality counts an endpoint's answers, earlier ones less.
type quality struct {
	answers float64
	faults  float64
	at      time.Time
	// until is when the endpoint is no longer shunned.
	until time.Time
}

// with returns the quality after one more answer.
func (q quality) with(now time.Time, fault bool) quality {
	keep := 1.0
	if !q.at.IsZero() {
		keep = math.Exp2(-float64(max(0, now.Sub(q.at))) / float64(shunMemory))
	}
	q.answers, q.faults, q.at = q.answers*keep+1, q.faults*keep, now
	if fault {
		q.faults++
	}
	if q.answers >= shunSample && q.faults > shunShare*q.answers && !now.Before(q.until) {
		return quality{until: now.Add(shunTime)}
	}
	return q
}

// Shunned reports whether too many of the endpoint's answers fail, though not
// several in a row as for one that is ejected.
func (s *State) Shunned(now time.Time) bool { return now.Before(s.quality.until) }
