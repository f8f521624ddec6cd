package endpt

import "time"

// sharedLife is how long what another host told of its requests counts.
const sharedLife = 2 * time.Second

// Tell takes in what another host has at its region's endpoints; what it does
// not name it has nothing at.
func (t *Table) Tell(now time.Time, host string, list map[string]Shared) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.states {
		told, ok := list[name]
		if !ok {
			delete(s.shared, host)
			continue
		}
		if s.shared == nil {
			s.shared = map[string]Shared{}
		}
		told.At = now
		s.shared[host] = told
	}
}

// Taken returns what this host has at endpoints, for other hosts.
func (t *Table) Taken() map[string]Shared {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := map[string]Shared{}
	for name, s := range t.states {
		if s.Own > 0 {
			out[name] = Shared{Requests: s.Own, Pending: s.pending}
		}
	}
	return out
}

// Ranks is the number of ranks that engines order requests by, 0 first.
const Ranks = 10

// Waits holds the time of prompts without a first token, by rank.
type Waits [Ranks]time.Duration

// rankOf returns the rank of a priority.
func rankOf(priority int) int { return min(max(0, priority), Ranks-1) }

// passed is the part of less urgent prompts that a more urgent one waits for:
// engines take the more urgent one first, but end the step that they are at.
const passed = 0.3

// For returns what a request of a priority waits for.
func (w Waits) For(priority int) time.Duration {
	rank := rankOf(priority)
	sum := time.Duration(0)
	for i, d := range w {
		if i > rank {
			d = time.Duration(passed * float64(d))
		}
		sum += d
	}
	return sum
}

// With returns the waits with those of another host added.
func (w Waits) With(other Waits) Waits {
	for i, d := range other {
		w[i] += d
	}
	return w
}

// Pend adds the time of a prompt that was sent, or takes it back with its first
// token.
func (t *Table) Pend(name string, priority int, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(name)
	rank := rankOf(priority)
	s.pending[rank] = max(0, s.pending[rank]+d)
}

// Pending returns the time of all hosts' prompts there without a first token.
func (s *State) Pending(now time.Time) Waits {
	sum := s.pending
	for _, o := range s.shared {
		if now.Sub(o.At) < sharedLife {
			sum = sum.With(o.Pending)
		}
	}
	return sum
}

// Known returns the number of requests that all hosts are known to have there.
func (s *State) Known(now time.Time) float64 {
	n := float64(s.Own)
	for _, o := range s.shared {
		if now.Sub(o.At) < sharedLife {
			n += float64(o.Requests)
		}
	}
	return n
}

// AdmitCold counts a request to a cold endpoint and reports whether it is within
// this host's share of the endpoint's rate: so many in any second.
func (t *Table) AdmitCold(now time.Time, name string, most int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(name)
	for len(s.cold) > 0 && now.Sub(s.cold[0]) >= coldWindow {
		s.cold = s.cold[1:]
	}
	if len(s.cold) >= most {
		return false
	}
	s.cold = append(s.cold, now)
	return true
}

// coldWindow is the time over which the rate of a cold endpoint holds; the part
// beyond a second is for requests that are delayed on their way.
const coldWindow = 1100 * time.Millisecond
