// Package remote is the board's table of remote regions: the load of each service, the
// requests that this host sent there, whether the region answers, and its round trip.
package remote

import (
	"math"
	"sync"
	"time"
)

const (
	// loadTTL is the age beyond which a service load is not used.
	loadTTL = 10 * time.Second
	// spillWindow is the time constant over which the share of spilled requests decays.
	spillWindow = 30 * time.Second
	// rampTime is the length of the slow start of a region that returns; rampStart is
	// its share of slots at the beginning.
	rampTime  = 30 * time.Second
	rampStart = 0.2
	// failureHold is how long a region that did not answer gets no spilled requests,
	// unless a packet from it arrives earlier.
	failureHold = 5 * time.Second
	// silentAfter is the time without any packet from a region after which it counts as
	// silent.
	silentAfter = 4 * time.Second
	// minSpillSample is the least number of requests to which the spill bound is applied.
	minSpillSample = 10
)

// Key identifies a service in a region.
type Key struct {
	Region  string
	Service string
}

// ServiceLoad is the load of a service in a region, as last announced.
type ServiceLoad struct {
	Slots float64
	Busy  float64
	// At is when the load was measured; zero if none was received.
	At time.Time
	// sent counts the requests that this host sent there since the load arrived.
	sent float64
	// rejoinedAt is when the region last announced slots after it had none, or after it
	// announced no load for loadTTL.
	rejoinedAt time.Time
}

// View is the estimated load of a service in a region: the last announced load plus this
// host's requests since.
type View struct {
	Slots float64
	Busy  float64
	// Known reports whether a load no older than loadTTL was announced.
	Known bool
	// Ramp is the share of the slots that the region may use, 0 to 1.
	Ramp float64
	Age  time.Duration
}

// requestCounts counts the requests of a service, in total and spilled by region. The
// counts decay with spillWindow.
type requestCounts struct {
	total  float64
	spills map[string]float64
	at     time.Time
}

// Table holds the state of remote regions. Its lock is a leaf.
type Table struct {
	mu     sync.Mutex
	loads  map[Key]*ServiceLoad
	counts map[string]*requestCounts
	// lastFailure is when a region last did not answer, lastSeen when its newest packet
	// was sent or arrived.
	lastFailure map[string]time.Time
	lastSeen    map[string]time.Time
	// roundTrips holds the mean measured round trips to regions.
	roundTrips     map[string]time.Duration
	queuedPrefills map[Key]announcedPrefill
}

// announcedPrefill is the queued prefill that a request of each priority waits for.
type announcedPrefill struct {
	times []time.Duration
	at    time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		loads: map[Key]*ServiceLoad{}, counts: map[string]*requestCounts{},
		lastFailure: map[string]time.Time{}, lastSeen: map[string]time.Time{}, roundTrips: map[string]time.Duration{},
		queuedPrefills: map[Key]announcedPrefill{},
	}
}

// PutLoad stores a service load measured at the time at. It ignores the load and returns
// false unless it is newer than the stored one.
func (t *Table) PutLoad(k Key, slots, busy float64, at, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.loads[k]
	if !ok {
		s = &ServiceLoad{}
		t.loads[k] = s
	}
	if !at.After(s.At) {
		return false
	}
	t.markSeen(at, k.Region)
	absent := s.Slots == 0 || now.Sub(s.At) > loadTTL
	if !s.At.IsZero() && absent && slots > 0 {
		s.rejoinedAt = now
	}
	s.Slots, s.Busy, s.At, s.sent = slots, busy, at, 0
	return true
}

// MarkSeen records that a packet from a region arrived.
func (t *Table) MarkSeen(at time.Time, region string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.markSeen(at, region)
}

func (t *Table) markSeen(at time.Time, region string) {
	if at.After(t.lastSeen[region]) {
		t.lastSeen[region] = at
	}
}

// MarkFailed records that a region did not answer.
func (t *Table) MarkFailed(now time.Time, region string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastFailure[region] = now
}

// Silent reports whether a region did not answer within failureHold and has sent no
// packet since, or has sent none for silentAfter.
func (t *Table) Silent(now time.Time, region string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	lastSeen, lastFailure := t.lastSeen[region], t.lastFailure[region]
	if now.Sub(lastSeen) > silentAfter {
		return true
	}
	return !lastFailure.IsZero() && now.Sub(lastFailure) < failureHold && !lastSeen.After(lastFailure)
}

// View returns the estimated load of a service in a region.
func (t *Table) View(k Key, now time.Time) View {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.loads[k]
	if !ok || now.Sub(s.At) > loadTTL {
		return View{Ramp: 1}
	}
	v := View{Slots: s.Slots, Busy: s.Busy + s.sent, Known: true, Ramp: 1, Age: now.Sub(s.At)}
	if !s.rejoinedAt.IsZero() {
		share := float64(now.Sub(s.rejoinedAt)) / float64(rampTime)
		v.Ramp = math.Min(1, rampStart+(1-rampStart)*share)
	}
	return v
}

// Get returns the last service load as received.
func (t *Table) Get(k Key) (ServiceLoad, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.loads[k]; ok {
		return *s, true
	}
	return ServiceLoad{}, false
}

// CountRequest counts a request of a service. region is the remote region that it spilled
// to, or empty.
func (t *Table) CountRequest(now time.Time, service, region string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.countsAt(now, service)
	c.total++
	if region == "" {
		return
	}
	c.spills[region]++
	if s, ok := t.loads[Key{region, service}]; ok {
		s.sent++
	}
}

// countsAt returns the counts of a service, decayed to now.
func (t *Table) countsAt(now time.Time, service string) *requestCounts {
	c, ok := t.counts[service]
	if !ok {
		c = &requestCounts{spills: map[string]float64{}, at: now}
		t.counts[service] = c
		return c
	}
	keep := math.Exp(-float64(max(0, now.Sub(c.at))) / float64(spillWindow))
	c.total *= keep
	for r := range c.spills {
		c.spills[r] *= keep
	}
	c.at = now
	return c
}

// SpillAllowed reports whether one more request of a service may spill to a region. bound
// is the largest share of requests that may spill there, 0 to 1.
func (t *Table) SpillAllowed(now time.Time, service, region string, bound float64) bool {
	if bound <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.countsAt(now, service)
	return c.spills[region]+1 <= bound*math.Max(minSpillSample, c.total+1)
}

const (
	// defaultRoundTrip is the round trip to a region before the first measurement.
	defaultRoundTrip = 100 * time.Millisecond
	// roundTripWeight is the weight of one measurement in the moving average.
	roundTripWeight = 0.2
)

// ObserveRoundTrip records the time that a region took to acknowledge a request.
func (t *Table) ObserveRoundTrip(region string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.roundTrips[region]
	if !ok {
		old = d
	}
	t.roundTrips[region] = old + time.Duration(roundTripWeight*float64(d-old))
}

// RoundTrip returns the mean round trip to a region.
func (t *Table) RoundTrip(region string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.roundTrips[region]; ok {
		return d
	}
	return defaultRoundTrip
}

// SetQueuedPrefill stores the queued prefill that a region announced: the time that a
// request waits for at its endpoints, by priority.
func (t *Table) SetQueuedPrefill(now time.Time, k Key, times []time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.queuedPrefills[k] = announcedPrefill{times: times, at: now}
}

// QueuedPrefill returns the queued prefill that a request of a priority waits for in a
// region: the announced one minus the time since, as engines prefill meanwhile.
func (t *Table) QueuedPrefill(now time.Time, k Key, priority int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.queuedPrefills[k]
	if len(p.times) == 0 {
		return 0
	}
	return max(0, p.times[min(max(0, priority), len(p.times)-1)]-now.Sub(p.at))
}
