package endpt

import "time"

// registrationDelay is how long after its start an endpoint's new registration is read at the latest,
// by a host whose view of the store is current.
const registrationDelay = 2500 * time.Millisecond

// Suspicion is why the process behind an endpoint's address may be another one than the registered
// process. A new process is cold until its registration shows for how long.
type Suspicion string

// The suspicions. Ended means that connections to the endpoint ended or were refused, NoContact that this
// host had no connection through which it would have noticed an end.
const (
	NotSuspected Suspicion = ""
	Ended        Suspicion = "ended"
	NoContact    Suspicion = "no contact"
)

// restart is the suspicion that an endpoint has started again.
type restart struct {
	why Suspicion
	// first and last are when the first and the last sign of it were seen. A connection that was opened
	// before the first one leads to the registered process.
	first, last time.Time
}

// SuspectRestart records that an endpoint may have started again, by a sign that was seen at a time. It
// returns false if that was suspected already, for the same reason.
func (t *Table) SuspectRestart(name string, why Suspicion, seen time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := &t.state(name).restart
	known := r.why == why || r.why == Ended
	if r.why == NotSuspected {
		r.first = seen
	}
	if !known {
		r.why = why
	}
	if seen.After(r.last) {
		r.last = seen
	}
	return !known
}

// RestartSuspected returns why an endpoint may have started again, NotSuspected if nothing suggests it,
// and when the first sign of it was seen. viewAge is the age of this host's view of the store, which
// would show a new process by registrationDelay after its start.
func (t *Table) RestartSuspected(now time.Time, name string, viewAge time.Duration) (why Suspicion, first time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.states[name]
	if !ok {
		return NotSuspected, time.Time{}
	}
	if s.restart.why != NotSuspected && now.Add(-viewAge).Sub(s.restart.last) > registrationDelay {
		s.restart = restart{}
	}
	return s.restart.why, s.restart.first
}

// ConfirmProcess records an answer to a request that was sent at a time, on a connection that was opened at
// a time. It ends the suspicion of a restart if the registered process has answered since.
func (t *Table) ConfirmProcess(name string, opened, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.states[name]; ok && opened.Before(s.restart.first) && sent.After(s.restart.last) {
		s.restart = restart{}
	}
}

// Admitted reports whether a request that RecordWarm counted may still be sent to an endpoint that is
// cold, or may be unless a health check since then showed that it is warm, as no more than most were.
func (t *Table) Admitted(now time.Time, name string, most int, cold bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(name)
	s.wantedAt = now
	used := s.usedSinceWarm(now)
	if cold {
		used = len(s.recentRequests)
	}
	return used <= most
}

// Withdraw takes the last request off the count, as it is not sent.
func (t *Table) Withdraw(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.states[name]; ok && len(s.recentRequests) > 0 {
		s.recentRequests = s.recentRequests[:len(s.recentRequests)-1]
	}
}

// CheckWanted reports whether a request has lately depended on whether the endpoint is warm, which a
// health check would show.
func (t *Table) CheckWanted(now time.Time, name string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s, ok := t.states[name]
	return ok && !s.wantedAt.IsZero() && now.Sub(s.wantedAt) < coldWindow
}
