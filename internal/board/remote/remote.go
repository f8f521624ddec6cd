// Package remote is the board's table of remote regions: the load of each service, the
// requests that this host sent there, reachability and round-trip time.
package remote

import (
	"math"
	"sync"
	"time"
)

const (
	// sumTTL is the age beyond which a load summary is not used.
	sumTTL = 10 * time.Second
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
	// minSpillSample is the least number of requests by which the spill bound is computed.
	minSpillSample = 10
)

// Key identifies a service in a region.
type Key struct {
	Region  string
	Service string
}

// ServiceLoad is the load summary of a service in a region.
type ServiceLoad struct {
	Slots float64
	Busy  float64
	// At is when the summary was made; zero if none was received.
	At time.Time
	// sent counts the requests that this host sent there since the summary.
	sent float64
	// rejoinedAt is when the region last got slots again after it had none, or sent no
	// summary for sumTTL.
	rejoinedAt time.Time
}

// View is the estimated load of a service in a region: the last summary plus this
// host's requests since.
type View struct {
	Slots float64
	Busy  float64
	// Known reports whether a summary no older than sumTTL exists.
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
	sums   map[Key]*ServiceLoad
	counts map[string]*requestCounts
	// lastFailure is when a region last did not answer, lastSeen when its newest packet
	// was sent or arrived.
	lastFailure map[string]time.Time
	lastSeen    map[string]time.Time
	// roundTrips holds the measured round-trip times to regions.
	roundTrips map[string]time.Duration
	// backlogs holds the announced prefill backlogs.
	backlogs map[Key]backlog
}

// backlog is an announced prefill backlog: the time that a request of each priority
// waits.
type backlog struct {
	times []time.Duration
	at    time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		sums: map[Key]*ServiceLoad{}, counts: map[string]*requestCounts{},
		lastFailure: map[string]time.Time{}, lastSeen: map[string]time.Time{}, roundTrips: map[string]time.Duration{},
		backlogs: map[Key]backlog{},
	}
}

// PutLoad stores a load summary made at a time. It returns false and ignores the summary
// unless it is newer than the stored one.
func (t *Table) PutLoad(k Key, slots, busy float64, at, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.sums[k]
	if !ok {
		s = &ServiceLoad{}
		t.sums[k] = s
	}
	if !at.After(s.At) {
		return false
	}
	t.markSeen(at, k.Region)
	absent := s.Slots == 0 || now.Sub(s.At) > sumTTL
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
	s, ok := t.sums[k]
	if !ok || now.Sub(s.At) > sumTTL {
		return View{Ramp: 1}
	}
	v := View{Slots: s.Slots, Busy: s.Busy + s.sent, Known: true, Ramp: 1, Age: now.Sub(s.At)}
	if !s.rejoinedAt.IsZero() {
		share := float64(now.Sub(s.rejoinedAt)) / float64(rampTime)
		v.Ramp = math.Min(1, rampStart+(1-rampStart)*share)
	}
	return v
}

// Get returns the last summary as received.
func (t *Table) Get(k Key) (ServiceLoad, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.sums[k]; ok {
		return *s, true
	}
	return ServiceLoad{}, false
}

// CountRequest counts a request of a service. Region is the remote region that it spilled to,
// or empty.
func (t *Table) CountRequest(now time.Time, service, region string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.countsAt(now, service)
	f.total++
	if region == "" {
		return
	}
	f.spills[region]++
	if s, ok := t.sums[Key{region, service}]; ok {
		s.sent++
	}
}

// countsAt returns the counts of a service, decayed to now.
func (t *Table) countsAt(now time.Time, service string) *requestCounts {
	f, ok := t.counts[service]
	if !ok {
		f = &requestCounts{spills: map[string]float64{}, at: now}
		t.counts[service] = f
		return f
	}
	keep := math.Exp(-float64(max(0, now.Sub(f.at))) / float64(spillWindow))
	f.total *= keep
	for r := range f.spills {
		f.spills[r] *= keep
	}
	f.at = now
	return f
}

// SpillAllowed reports whether one more request of a service may spill to a region. The bound
// is the largest share of requests that may spill there, 0 to 1.
func (t *Table) SpillAllowed(now time.Time, service, region string, bound float64) bool {
	if bound <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.countsAt(now, service)
	return f.spills[region]+1 <= bound*math.Max(minSpillSample, f.total+1)
}

const (
	// defaultRoundTrip is the round-trip time to a region before the first measurement.
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

// RoundTrip returns the mean round-trip time to a region.
func (t *Table) RoundTrip(region string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.roundTrips[region]; ok {
		return d
	}
	return defaultRoundTrip
}

// SetQueuedPrefill stores the prefill backlog that a region announced: the time that a request
// waits at its endpoints, by priority.
func (t *Table) SetQueuedPrefill(now time.Time, k Key, times []time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.backlogs[k] = backlog{times: times, at: now}
}

// QueuedPrefill returns the prefill backlog that a request of a priority waits for in a region:
// the announced backlog minus the time since.
func (t *Table) QueuedPrefill(now time.Time, k Key, priority int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.backlogs[k]
	if len(w.times) == 0 {
		return 0
	}
	return max(0, w.times[min(priority, len(w.times)-1)]-now.Sub(w.at))
}
