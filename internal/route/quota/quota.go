// Package quota divides the rate limit of an endpoint among the hosts that may send to it,
// without coordination between them: each host reckons its own share from the hosts that
// it knows, dead ones included, as these may only be cut off. Two kinds of limit are
// divided: that of a cold endpoint, which the published rules state, and that which an
// overloaded endpoint names in its answers.
package quota

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopspindle/hyssopspindle/internal/route/place"
)

const (
	// discoveryTime is the time after its start in which a host may not yet know all other
	// hosts; until then its share is 0.
	discoveryTime = 2500 * time.Millisecond
	// settleTime is how long a host that has started must have learned of no new host
	// before it takes a share, for at most maxSettleTime after its start: in a large fleet
	// it takes longer than discoveryTime to learn of all.
	settleTime    = time.Second
	maxSettleTime = 10 * time.Second
	// departedTime is how long a host counts after it was first missing from the list: its last requests
	// fall into the same second as those that the others send.
	departedTime = 1500 * time.Millisecond
	// pacedDepartedTime is the same for a named limit, whose span is longer.
	pacedDepartedTime = paceWindow + 500*time.Millisecond
)

// Table holds the hosts that share the rate limit. No other lock is taken while its lock
// is held.
type Table struct {
	started time.Time
	self    Host

	mu sync.Mutex
	// hosts holds the other hosts by name.
	hosts map[string]seenHost
	// grown is when a new host was last listed.
	grown time.Time
	// rejoined is when this host was last out of contact with all others.
	rejoined time.Time
}

// Host is a host that may send to the same endpoints.
type Host struct {
	Name string
	// Cores is the host's processor capacity. Hosts with more of it get most requests.
	Cores float64
}

// seenHost is a host with the time of the first update that did not list it any more, zero if the last one
// did. The time since it was last listed would include a pause of this process, in which it did not leave.
type seenHost struct {
	Host
	missing time.Time
}

// counts reports whether a host counts, which is missing for at most a time.
func (h seenHost) counts(now time.Time, within time.Duration) bool {
	return h.missing.IsZero() || now.Sub(h.missing) <= within
}

// New returns the table of the host self, whose process started at a time.
func New(started time.Time, self Host) *Table {
	return &Table{started: started, self: self, hosts: map[string]seenHost{}}
}

// UpdateHosts updates the other hosts that may send to the same endpoints: all except those
// that announced their shutdown.
func (t *Table) UpdateHosts(now time.Time, list []Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	listed := make(map[string]bool, len(list))
	for _, h := range list {
		if _, known := t.hosts[h.Name]; !known {
			t.grown = now
		}
		t.hosts[h.Name], listed[h.Name] = seenHost{Host: h}, true
	}
	for name, h := range t.hosts {
		switch {
		case listed[name]:
		case h.missing.IsZero():
			h.missing = now
			t.hosts[name] = h
		case !h.counts(now, pacedDepartedTime):
			delete(t.hosts, name)
		}
	}
}

// Share returns this host's share of rate, the rate limit of an endpoint in requests per
// second: the part of it. The shares of all hosts add up to no more than the rate.
func (t *Table) Share(now time.Time, endpoint string, rate int) int {
	return t.share(now, endpoint, rate, departedTime)
}

// share returns Share, with the hosts that are missing for at most a time.
func (t *Table) share(now time.Time, endpoint string, rate int, within time.Duration) int {
	if !t.Settled(now) {
		return 0
	}
	return Part(rate, endpoint, t.self, t.others(now, within))
}

// others returns the other hosts that are listed, or missing for at most a time.
func (t *Table) others(now time.Time, within time.Duration) []Host {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Host, 0, len(t.hosts))
	for _, h := range t.hosts {
		if h.counts(now, within) {
			list = append(list, h.Host)
		}
	}
	return list
}

// Hosts returns the number of hosts among which Share divides a rate, this one included.
func (t *Table) Hosts(now time.Time) int { return 1 + len(t.others(now, departedTime)) }

// Settled reports whether this host has most likely learned of all others since its start.
func (t *Table) Settled(now time.Time) bool {
	if now.Sub(t.started) < discoveryTime {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if now.Sub(t.rejoined) < settleTime {
		return false
	}
	return now.Sub(t.started) >= maxSettleTime || now.Sub(t.grown) >= settleTime
}

// Rejoin records that this host is in contact with others again. It has no share until they have had
// the time to count it.
func (t *Table) Rejoin(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rejoined = now
}

// Part returns the part that a host gets of a number that it divides with others. The remainder
// of an equal split goes to the hosts with the most cores, among equal ones to those with the
// highest rendezvous weights for the endpoint. A host whose cores are not known yet may have more, so
// that no two hosts take the same part.
func Part(number int, endpoint string, self Host, others []Host) int {
	key := xxhash.Sum64String(endpoint)
	own := place.Weight(key, self.Name)
	hosts, before := 1+len(others), 0
	for _, h := range others {
		unknown := h.Cores == 0 && self.Cores > 0
		if unknown || h.Cores > self.Cores || (h.Cores == self.Cores && place.Weight(key, h.Name) > own) {
			before++
		}
	}
	part := number / hosts
	if before < number%hosts {
		part++
	}
	return part
}

const (
	// paceWindow is the span in which the shares of a named limit are whole requests. A
	// shorter one would leave most hosts without a share of a low limit.
	paceWindow = 4 * time.Second
	// minPace is the least rate at which an endpoint gets requests, whatever limit it
	// names: only an answer tells that the limit has ended.
	minPace = 0.05
	// maxPace bounds the arithmetic; no endpoint takes more requests per second.
	maxPace = 1e6
)

// Pace returns how many requests this host may send to an endpoint in any window, of a
// limit of perSecond that the endpoint names for all hosts together. The counts of all
// hosts add up to no more than the limit allows in the window.
func (t *Table) Pace(now time.Time, endpoint string, perSecond float64) (most int, window time.Duration) {
	perSecond = min(max(perSecond, minPace), maxPace)
	window = max(paceWindow, time.Duration(math.Ceil(float64(time.Second)/perSecond)))
	return t.share(now, endpoint, int(perSecond*window.Seconds()), pacedDepartedTime), window
}
