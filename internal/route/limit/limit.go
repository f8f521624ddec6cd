// Package limit bounds what one caller may use at one host.
package limit

import (
	"math"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
)

// headroom is the factor by which a host's share exceeds an equal split, as
// callers do not spread evenly over the hosts.
const headroom = 2.0

// burstSeconds is the time over which unused rate adds up.
const burstSeconds = 2.0

// minRetry is the shortest time after which a refused caller is asked to come back.
const minRetry = 100 * time.Millisecond

type usage struct {
	open   int
	tokens float64
	at     time.Time
}

// key names a caller's use of one service: a service that is slow must not use
// up what its caller may have in flight elsewhere.
type key struct{ caller, service string }

// Table counts the usage of each caller and service at this host.
type Table struct {
	mu   sync.Mutex
	used map[key]*usage
	cap  int
}

// NewTable returns a table that lets no caller have more than open requests to a
// service in flight, whatever the inventory says.
func NewTable(open int) *Table { return &Table{used: map[key]*usage{}, cap: open} }

// Share returns a host's part of a fleet-wide bound, at least 1.
func Share(bound float64, hosts int) float64 {
	if hosts <= 1 {
		return math.Max(1, bound)
	}
	return math.Max(1, math.Min(bound, bound*headroom/float64(hosts)))
}

// Admit counts one request in, or refuses it. hosts is the number of hosts
// that the caller's requests spread over. An admitted request ends with Done.
func (t *Table) Admit(now time.Time, c *invent.Caller, service string, hosts int) *fault.Refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	k := key{c.Name, service}
	u, ok := t.used[k]
	if !ok {
		u = &usage{tokens: math.Inf(1), at: now}
		t.used[k] = u
	}
	if u.open >= t.cap || (c.Concurrent > 0 && float64(u.open) >= Share(float64(c.Concurrent), hosts)) {
		return fault.New(fault.RateLimit, fault.RanNo, "caller %s has %d requests to %s in flight", c.Name, u.open, service).
			WithRetryAfter(time.Second)
	}
	if c.Rate > 0 {
		rate := Share(c.Rate, hosts)
		u.refill(now, rate)
		if u.tokens < 1 {
			wait := time.Duration((1 - u.tokens) / rate * float64(time.Second))
			return fault.New(fault.RateLimit, fault.RanNo, "caller %s exceeds its rate", c.Name).
				WithRetryAfter(max(minRetry, wait))
		}
		u.tokens--
	}
	u.open++
	return nil
}

func (u *usage) refill(now time.Time, rate float64) {
	elapsed := now.Sub(u.at).Seconds()
	u.at = now
	u.tokens = math.Min(math.Max(1, rate*burstSeconds), u.tokens+math.Max(0, elapsed)*rate)
}

// Done counts one request out.
func (t *Table) Done(caller, service string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if u, ok := t.used[key{caller, service}]; ok && u.open > 0 {
		u.open--
	}
}
