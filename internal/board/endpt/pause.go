package endpt

import "time"

const (
	// maxPause bounds the time for which an endpoint gets no requests at its own word, so
	// that a wrong value does not lose it until its next start.
	maxPause = time.Hour
	// trialTime is how long after a pause the first request may take to be answered before
	// another one is sent.
	trialTime = time.Second
)

// pause is the time for which an endpoint wants no requests of this host.
type pause struct {
	until time.Time
	// namedAt is when the endpoint named it.
	namedAt time.Time
	// trial reports whether no answer has shown yet that the endpoint serves again. Until
	// then it gets one request at a time, so that not all hosts return at once in full.
	trial   bool
	trialAt time.Time
}

// SetPause stores that an endpoint wants no requests of this host for a time from now, and
// reports whether that prolongs its pause.
func (t *Table) SetPause(now time.Time, name string, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(name)
	until := now.Add(min(d, maxPause))
	if !until.After(s.pause.until) {
		return false
	}
	s.pause = pause{until: until, namedAt: now, trial: true}
	return true
}

// EndPause records that an endpoint served a request that was sent at a time.
func (t *Table) EndPause(name string, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.states[name]; ok && s.pause.trial && !sent.Before(s.pause.until) {
		s.pause.trial = false
	}
}

// PauseDelay returns the time until this host may send a request to the endpoint; 0 means
// now.
func (s *State) PauseDelay(now time.Time) time.Duration {
	if d := s.pause.until.Sub(now); d > 0 {
		return d
	}
	if s.pause.trial && !s.pause.trialAt.IsZero() {
		return max(0, s.pause.trialAt.Add(trialTime).Sub(now))
	}
	return 0
}

// recordTrial records a request to an endpoint after its pause.
func (s *State) recordTrial(now time.Time) {
	if s.pause.trial && !now.Before(s.pause.until) {
		s.pause.trialAt = now
	}
}
