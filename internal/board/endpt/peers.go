package endpt

import "time"

// peerLoadTTL is how long a peer host's announced load counts.
const peerLoadTTL = 2 * time.Second

// SetPeerLoads stores the load that a peer host announced for the endpoints of the region.
// The host has no requests at endpoints that the list omits.
func (t *Table) SetPeerLoads(now time.Time, host string, list map[string]HostLoad) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, s := range t.states {
		load, ok := list[name]
		if !ok {
			delete(s.peerLoads, host)
			continue
		}
		if s.peerLoads == nil {
			s.peerLoads = map[string]HostLoad{}
		}
		load.At = now
		s.peerLoads[host] = load
	}
}

// HostLoads returns this host's load by endpoint, to announce to peer hosts.
func (t *Table) HostLoads() map[string]HostLoad {
	t.mu.RLock()
	defer t.mu.RUnlock()
	out := map[string]HostLoad{}
	for name, s := range t.states {
		if s.InFlight > 0 {
			out[name] = HostLoad{Requests: s.InFlight, QueuedPrefill: s.queuedPrefill}
		}
	}
	return out
}

// Ranks is the number of priority ranks by which engines order requests, 0 first.
const Ranks = 10

// QueuedPrefill is the prefill time of the prompts at an endpoint that have no first token
// yet, by rank.
type QueuedPrefill [Ranks]time.Duration

// rankOf returns the rank of a priority, which is bounded to the range of ranks.
func rankOf(priority int) int { return min(max(0, priority), Ranks-1) }

// lessUrgentShare is the share of less urgent queued prefill that a request still waits
// for: engines take the more urgent request first, but finish the current step.
const lessUrgentShare = 0.3

// Ahead returns the prefill time that a request of a priority waits for.
func (q QueuedPrefill) Ahead(priority int) time.Duration {
	rank := rankOf(priority)
	sum := time.Duration(0)
	for i, d := range q {
		if i > rank {
			d = time.Duration(lessUrgentShare * float64(d))
		}
		sum += d
	}
	return sum
}

// Plus returns the sum of two queued prefills.
func (q QueuedPrefill) Plus(other QueuedPrefill) QueuedPrefill {
	for i, d := range other {
		q[i] += d
	}
	return q
}

// after returns the queued prefill that is left after a time, as engines prefill
// meanwhile, the most urgent first.
func (q QueuedPrefill) after(d time.Duration) QueuedPrefill {
	for i := range q {
		done := min(q[i], d)
		q[i] -= done
		d -= done
	}
	return q
}

// AddQueuedPrefill adds d to this host's queued prefill at an endpoint: the prefill time
// of a prompt when it is sent, the negative time when its first token arrives.
func (t *Table) AddQueuedPrefill(name string, priority int, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(name).addQueuedPrefill(priority, d)
}

func (s *State) addQueuedPrefill(priority int, d time.Duration) {
	rank := rankOf(priority)
	s.queuedPrefill[rank] = max(0, s.queuedPrefill[rank]+d)
}

// QueuedPrefill returns the queued prefill of all hosts of the region at the endpoint.
func (s *State) QueuedPrefill(now time.Time) QueuedPrefill {
	sum := s.queuedPrefill
	for _, l := range s.peerLoads {
		if now.Sub(l.At) < peerLoadTTL {
			sum = sum.Plus(l.QueuedPrefill.after(now.Sub(l.At)))
		}
	}
	return sum
}

// KnownInFlight returns the number of in-flight requests at the endpoint of this host and,
// as announced, of its peer hosts.
func (s *State) KnownInFlight(now time.Time) float64 {
	n := float64(s.InFlight)
	for _, l := range s.peerLoads {
		if now.Sub(l.At) < peerLoadTTL {
			n += float64(l.Requests)
		}
	}
	return n
}

// RefusedWithin reports whether the endpoint refused a request for want of room within a time.
func (s *State) RefusedWithin(now time.Time, d time.Duration) bool { return now.Sub(s.refusedAt) < d }

// AdmitCold counts a request to a cold endpoint and returns true if it is within this
// host's share of the cold-endpoint rate limit, most requests in any second.
func (t *Table) AdmitCold(now time.Time, name string, most int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(name)
	s.trimRequests(now)
	if len(s.recentRequests) >= most {
		return false
	}
	s.recentRequests = append(s.recentRequests, now)
	return true
}

// RecordWarm counts a request to an endpoint that is warm as far as this host knows. If it
// turns out to be cold, the request counts towards its rate limit.
func (t *Table) RecordWarm(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(name)
	s.trimRequests(now)
	s.recentRequests = append(s.recentRequests, now)
}

// ConfirmWarm records that the endpoint answered a health check, which was sent at a time, without a
// warm-up. It ends the suspicion of a restart if no sign of one was seen since the check was sent.
func (t *Table) ConfirmWarm(sent time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(name)
	if sent.After(s.warmAt) {
		s.warmAt = sent
	}
	if sent.After(s.restart.last) {
		s.restart = restart{}
	}
}

// AdmitUnconfirmed counts a request to an endpoint that may become cold without this host's notice,
// and returns true if no more than most were sent since the last answer that it is warm, and within
// the window of the cold-endpoint rate limit.
func (t *Table) AdmitUnconfirmed(now time.Time, name string, most int) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(name)
	s.wantedAt = now
	if s.usedSinceWarm(now) >= most {
		return false
	}
	s.recentRequests = append(s.recentRequests, now)
	return true
}

// UsedSinceWarm returns the number of requests that AdmitUnconfirmed counts.
func (t *Table) UsedSinceWarm(now time.Time, name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.state(name).usedSinceWarm(now)
}

func (s *State) usedSinceWarm(now time.Time) int {
	s.trimRequests(now)
	// Requests that were sent just before the check may arrive after it.
	from := s.warmAt.Add(-maxArrivalDelay)
	n := 0
	for _, at := range s.recentRequests {
		if at.After(from) {
			n++
		}
	}
	return n
}

// RecentRequests returns the number of this host's requests to an endpoint within the window of the
// cold-endpoint rate limit.
func (t *Table) RecentRequests(now time.Time, name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.states[name]
	if !ok {
		return 0
	}
	s.trimRequests(now)
	return len(s.recentRequests)
}

// trimRequests drops the requests that are older than coldWindow.
func (s *State) trimRequests(now time.Time) {
	for len(s.recentRequests) > 0 && now.Sub(s.recentRequests[0]) >= coldWindow {
		s.recentRequests = s.recentRequests[1:]
	}
}

const (
	// maxArrivalDelay allows for requests that are delayed on the way to the endpoint.
	maxArrivalDelay = 100 * time.Millisecond
	// coldWindow is the window of the cold-endpoint rate limit.
	coldWindow = time.Second + maxArrivalDelay
)
