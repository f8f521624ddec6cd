package endpt

import "time"

// SetStart sets the number of an endpoint's process. If it is another one than before, nothing that
// is known of the earlier process holds for it: loads, requests in flight, speed, failures,
// ejections, rate limits and pauses. The count of recent requests is kept, as the new process got
// those that were sent before its registration was read, and so is the suspicion of a restart, as the
// new process may have ended meanwhile. SetStart reports whether it replaced the number of an earlier
// process.
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
		t.states[name] = &State{start: start, startedAt: now, joinedAt: now, recentRequests: s.recentRequests, restart: s.restart}
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
