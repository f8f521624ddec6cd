package endpt

import "time"

// SetStart sets the number of an endpoint's process. If it is another one than before, nothing that
// is known of the earlier process holds for it: loads, requests in flight, speed, failures,
// ejections, rate limits and pauses. What the new process did before its registration was read is kept:
// the count of recent requests, a rate limit and a pause that were named since the restart was first
// suspected. So is that suspicion, as the new process may have ended meanwhile. SetStart reports whether
// it replaced the number of an earlier process.
func (t *Table) SetStart(now time.Time, name string, start uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.states[name]
	if !ok {
		s = t.state(name)
		if t.synced {
			s.joinedAt = now
		}
	}
	switch s.start {
	case start:
	case 0:
		s.start = start
	default:
		next := &State{start: start, startedAt: now, joinedAt: now, recentRequests: s.recentRequests, restart: s.restart}
		if s.restart.why == Ended && s.rateLimit.heardAt.After(s.restart.first) {
			next.rateLimit, next.limitedSends = s.rateLimit, s.limitedSends
		}
		if s.restart.why == Ended && s.pause.namedAt.After(s.restart.first) {
			next.pause = s.pause
		}
		t.states[name] = next
		return true
	}
	return false
}

// isEarlier reports whether a number is that of an earlier process than the present one.
func (s *State) isEarlier(start uint64) bool { return start != 0 && start < s.start }

// Dispatch counts a request of this host that was placed by a registration with the number start,
// and the prefill time of its prompt. If the endpoint has started again since, it counts nothing and
// returns false: the end of that request is not counted at the new process either.
func (t *Table) Dispatch(now time.Time, name string, start uint64, priority int, prefill time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(name)
	if s.isEarlier(start) {
		return false
	}
	s.startRequest(now)
	s.addQueuedPrefill(priority, prefill)
	return true
}
