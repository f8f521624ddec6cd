// Package limit bounds the in-flight requests and the request rate of each caller at one
// host.
package limit

import (
	"math"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
)

// headroom is the factor by which a host's share of a bound exceeds an equal split, as
// callers do not spread evenly over the hosts.
const headroom = 2.0

// burstSeconds is the time for which unused rate accumulates.
const burstSeconds = 2.0

// minRetryAfter is the shortest retry delay sent with a refusal.
const minRetryAfter = 100 * time.Millisecond

// usage is the current use of one service by one caller.
type usage struct {
	inFlight int
	// tokens are those of the rate's token bucket, as of refilled.
	tokens   float64
	refilled time.Time
}

// key identifies a usage. Usage is counted for each service, so that a slow service
// does not use up its caller's limit for the others.
type key struct{ caller, service string }

// Table counts the usage of each caller and service at this host.
type Table struct {
	mu     sync.Mutex
	usages map[key]*usage
	// maxInFlight bounds the in-flight requests of a caller to a service.
	maxInFlight int
}

// NewTable returns a table that allows a caller at most maxInFlight in-flight requests to
// a service, whatever the inventory allows.
func NewTable(maxInFlight int) *Table {
	return &Table{usages: map[key]*usage{}, maxInFlight: maxInFlight}
}

// Share returns a host's share of a fleet-wide bound, at least 1.
func Share(bound float64, hosts int) float64 {
	if hosts <= 1 {
		return math.Max(1, bound)
	}
	return math.Max(1, math.Min(bound, bound*headroom/float64(hosts)))
}

// Admit counts a request as in flight or refuses it. hosts is the number of hosts that
// the caller's requests spread over. Each admitted request ends with a call of Done.
func (t *Table) Admit(now time.Time, c *invent.Caller, service string, hosts int) *fault.Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := key{c.Name, service}
	u, ok := t.usages[k]
	if !ok {
		u = &usage{tokens: math.Inf(1), refilled: now}
		t.usages[k] = u
	}
	if u.inFlight >= t.maxInFlight || (c.Concurrent > 0 && float64(u.inFlight) >= Share(float64(c.Concurrent), hosts)) {
		return fault.New(fault.RateLimit, fault.RanNo, "caller %s has %d requests to %s in flight", c.Name, u.inFlight, service).
			WithRetryAfter(time.Second)
	}
	if c.Rate > 0 {
		rate := Share(c.Rate, hosts)
		u.refill(now, rate)
		if u.tokens < 1 {
			wait := time.Duration((1 - u.tokens) / rate * float64(time.Second))
			return fault.New(fault.RateLimit, fault.RanNo, "caller %s exceeds its rate limit", c.Name).
				WithRetryAfter(max(minRetryAfter, wait))
		}
		u.tokens--
	}
	u.inFlight++
	return nil
}

// refill adds the tokens for the time since the last refill.
func (u *usage) refill(now time.Time, rate float64) {
	elapsed := now.Sub(u.refilled).Seconds()
	u.refilled = now
	u.tokens = math.Min(math.Max(1, rate*burstSeconds), u.tokens+math.Max(0, elapsed)*rate)
}

// Done ends an admitted request.
func (t *Table) Done(caller, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u, ok := t.usages[key{caller, service}]; ok && u.inFlight > 0 {
		u.inFlight--
	}
}
