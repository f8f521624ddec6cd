package endpt

import (
	"cmp"
	"slices"
	"time"
)

const (
	// limitMemory is how long a rate limit holds that neither an answer nor a peer host
	// has confirmed. It exceeds the longest span between two requests to an endpoint with
	// a very low limit.
	limitMemory = 60 * time.Second
	// announcedLimitAge is how long a host passes on what it heard of an endpoint's limit.
	announcedLimitAge = 2 * time.Second
)

// rateLimit is what is known of the rate of requests that an endpoint takes from all
// hosts together.
type rateLimit struct {
	// limited is false after the endpoint has lifted its limit.
	limited   bool
	perSecond float64
	// heardAt is when the endpoint last named or lifted the limit, and own whether it did
	// so in an answer to this host.
	heardAt time.Time
	own     bool
}

func (l rateLimit) active(now time.Time) bool {
	return l.limited && now.Sub(l.heardAt) < limitMemory
}

// RateLimit returns the rate limit that the endpoint names, in requests per second, and
// whether it names one.
func (s *State) RateLimit(now time.Time) (perSecond float64, limited bool) {
	return s.rateLimit.perSecond, s.rateLimit.active(now)
}

// SetRateLimit stores the rate limit that the head of an endpoint's answer names, nil for
// none, and reports whether the limit changed. sent is when the request was sent: an
// answer without a limit lifts one only if its request was sent after the limit was named,
// as answers overtake each other.
func (t *Table) SetRateLimit(now time.Time, name string, perSecond *float64, sent time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(name)
	if perSecond == nil && (!s.rateLimit.limited || sent.Before(s.rateLimit.heardAt)) {
		return false
	}
	return s.putRateLimit(perSecond, now, true)
}

// SetPeerRateLimit stores what a peer host heard of an endpoint's rate limit at a time,
// nil for none, unless something later is known, and reports whether the limit changed.
func (t *Table) SetPeerRateLimit(name string, perSecond *float64, heard time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.states[name]
	// What was received before this host recorded the present process may be of an earlier one.
	if !ok || !heard.After(s.rateLimit.heardAt) || heard.Before(s.startedAt) {
		return false
	}
	return s.putRateLimit(perSecond, heard, false)
}

func (s *State) putRateLimit(perSecond *float64, heard time.Time, own bool) bool {
	old := s.rateLimit
	s.rateLimit = rateLimit{heardAt: heard, own: own}
	if perSecond != nil {
		s.rateLimit.limited, s.rateLimit.perSecond = true, *perSecond
	}
	return s.rateLimit.limited != old.limited || s.rateLimit.perSecond != old.perSecond
}

// recordSend records a request to an endpoint that names a rate limit.
func (s *State) recordSend(now time.Time) {
	if !s.rateLimit.active(now) {
		return
	}
	for len(s.limitedSends) > 0 && now.Sub(s.limitedSends[0]) >= limitMemory {
		s.limitedSends = s.limitedSends[1:]
	}
	s.limitedSends = append(s.limitedSends, now)
}

// LimitDelay returns the time until this host may send another request to an endpoint at
// which it may start most requests in any window; 0 means now. With no share at all it
// returns a whole window.
func (t *Table) LimitDelay(now time.Time, name string, most int, window time.Duration) time.Duration {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s, ok := t.states[name]
	if most <= 0 {
		return window
	}
	if !ok || len(s.limitedSends) < most {
		return 0
	}
	return max(0, window-now.Sub(s.limitedSends[len(s.limitedSends)-most]))
}

// NamedLimit is what a host heard of an endpoint's rate limit.
type NamedLimit struct {
	Endpoint string
	// PerSecond is nil if the endpoint lifted its limit.
	PerSecond *float64
	Age       time.Duration
}

// NamedLimits returns what answers to this host said lately of rate limits, the latest
// first, to announce to peer hosts.
func (t *Table) NamedLimits(now time.Time) []NamedLimit {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []NamedLimit
	for name, s := range t.states {
		l := s.rateLimit
		age := now.Sub(l.heardAt)
		if !l.own || age >= announcedLimitAge {
			continue
		}
		named := NamedLimit{Endpoint: name, Age: age}
		if l.limited {
			named.PerSecond = &l.perSecond
		}
		out = append(out, named)
	}
	slices.SortFunc(out, func(a, b NamedLimit) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Endpoint, b.Endpoint))
	})
	return out
}

// Limited reports whether an endpoint names a rate limit.
func (t *Table) Limited(now time.Time, name string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s, ok := t.states[name]
	return ok && s.rateLimit.active(now)
}

// CountLimited returns the number of endpoints that name a rate limit.
func (t *Table) CountLimited(now time.Time) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n := 0
	for _, s := range t.states {
		if s.rateLimit.active(now) {
			n++
		}
	}
	return n
}
