package endpt

import "time"

// absence is what attempts tell of whether an endpoint's process is there. One
// that comes back has empty caches, whether or not its registration says so yet.
type absence struct {
	// missed is when the last connection was refused, zero after a contact.
	missed time.Time
	back   time.Time
}

// withMiss returns the absence after a refused connection.
func (a absence) withMiss(now time.Time) absence {
	a.missed = now
	return a
}

// withContact returns the absence after an answer to an attempt that began at a
// time; one from before the last miss says nothing of now.
func (a absence) withContact(began, now time.Time) absence {
	if a.missed.IsZero() || began.Before(a.missed) {
		return a
	}
	return absence{back: now}
}

// Returned reports whether the endpoint is absent or came back less than a time
// ago, by this host's own attempts.
func (s *State) Returned(now time.Time, warm time.Duration) bool {
	if !s.absence.missed.IsZero() {
		return true
	}
	return !s.absence.back.IsZero() && now.Sub(s.absence.back) < warm
}
