package endpt

import "time"

// rateLimit is the rate of requests that an endpoint takes from all hosts together.
type rateLimit struct {
	// perSecond is the rate in requests per second.
	perSecond float64
	// namedAt is when an answer last named a limit.
	namedAt time.Time
}

// SetRateLimit stores the rate limit that the head of an endpoint's answer names, nil for
// none, and reports whether the limit changed. sent is when the request was sent: an
// answer without a limit lifts one only if its request was sent after the limit was named,
// as answers overtake each other.
func (t *Table) SetRateLimit(now time.Time, name string, perSecond *float64, sent time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(name)
	old := s.rateLimit
	if perSecond == nil {
		if old == nil || sent.Before(old.namedAt) {
			return false
		}
		s.rateLimit = nil
		return true
	}
	s.rateLimit = &rateLimit{perSecond: *perSecond, namedAt: now}
	return old == nil || old.perSecond != *perSecond
}

// Limited reports whether an endpoint names a rate limit.
func (t *Table) Limited(name string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s, ok := t.states[name]
	return ok && s.rateLimit != nil
}

// CountLimited returns the number of endpoints that name a rate limit.
func (t *Table) CountLimited() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n := 0
	for _, s := range t.states {
		if s.rateLimit != nil {
			n++
		}
	}
	return n
}
