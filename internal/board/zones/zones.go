// Package zones is the board's table of other regions: what each has free for
// a service, and how much was sent there.
package zones

import (
	"math"
	"sync"
	"time"
)

const (
	// trust is the age at which a sum is no longer used.
	trust = 10 * time.Second
	// window is the time over which the share of spilled requests is taken.
	window = 30 * time.Second
	// rampTime is how long a region that returns is filled slowly.
	rampTime  = 30 * time.Second
	rampStart = 0.2
	// silence is how long a region that did not answer gets no spilled requests,
	// unless it is heard of again.
	silence = 5 * time.Second
	// spillAge is the age of the newest sum from which a region counts as silent.
	spillAge = 4 * time.Second
	// minSample is the number of requests below which no share is taken.
	minSample = 10
)

// Key names one service in one region.
type Key struct {
	Region  string
	Service string
}

// Sum is the state of one service in one region.
type Sum struct {
	Slots float64
	Busy  float64
	// At is when the sum was true; zero if never heard.
	At time.Time
	// sent counts this host's requests there since the sum.
	sent   float64
	joined time.Time
}

// View is a sum as it counts at one time.
type View struct {
	Slots float64
	Busy  float64
	Known bool
	Ramp  float64
	Age   time.Duration
}

type flow struct {
	total  float64
	spills map[string]float64
	at     time.Time
}

// Table holds the sums. Its lock is a leaf.
type Table struct {
	mu    sync.Mutex
	sums  map[Key]*Sum
	flows map[string]*flow
	// failed and heard are when a region last did not answer and was last heard of.
	failed map[string]time.Time
	heard  map[string]time.Time
	// away is the time to a region and back, as measured.
	away map[string]time.Duration
	// waits holds the time of unread prompts in regions.
	waits map[Key]wait
}

// wait is the time of unread prompts as it was told, for each priority.
type wait struct {
	times []time.Duration
	at    time.Time
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		sums: map[Key]*Sum{}, flows: map[string]*flow{},
		failed: map[string]time.Time{}, heard: map[string]time.Time{}, away: map[string]time.Duration{},
		waits: map[Key]wait{},
	}
}

// Note takes a sum in; an older one than that held is ignored.
func (t *Table) Note(k Key, slots, busy float64, at, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.sums[k]
	if !ok {
		s = &Sum{}
		t.sums[k] = s
	}
	if !at.After(s.At) {
		return false
	}
	t.hear(at, k.Region)
	gone := s.Slots == 0 || now.Sub(s.At) > trust
	if !s.At.IsZero() && gone && slots > 0 {
		s.joined = now
	}
	s.Slots, s.Busy, s.At, s.sent = slots, busy, at, 0
	return true
}

// Heard notes that a region was heard of.
func (t *Table) Heard(at time.Time, region string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hear(at, region)
}

func (t *Table) hear(at time.Time, region string) {
	if at.After(t.heard[region]) {
		t.heard[region] = at
	}
}

// Failed notes that a region did not answer.
func (t *Table) Failed(now time.Time, region string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.failed[region] = now
}

// Silent reports whether a region did not answer lately, or was not heard of.
func (t *Table) Silent(now time.Time, region string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	heard, failed := t.heard[region], t.failed[region]
	if now.Sub(heard) > spillAge {
		return true
	}
	return !failed.IsZero() && now.Sub(failed) < silence && !heard.After(failed)
}

// View returns a sum as it counts now.
func (t *Table) View(k Key, now time.Time) View {
	t.mu.Lock()
	defer t.mu.Unlock()
	s, ok := t.sums[k]
	if !ok || now.Sub(s.At) > trust {
		return View{Ramp: 1}
	}
	v := View{Slots: s.Slots, Busy: s.Busy + s.sent, Known: true, Ramp: 1, Age: now.Sub(s.At)}
	if !s.joined.IsZero() {
		share := float64(now.Sub(s.joined)) / float64(rampTime)
		v.Ramp = math.Min(1, rampStart+(1-rampStart)*share)
	}
	return v
}

// Get returns a sum as it was heard.
func (t *Table) Get(k Key) (Sum, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s, ok := t.sums[k]; ok {
		return *s, true
	}
	return Sum{}, false
}

// Count counts one request of a service; region is where it spilled to, or empty.
func (t *Table) Count(now time.Time, service, region string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flow(now, service)
	f.total++
	if region == "" {
		return
	}
	f.spills[region]++
	if s, ok := t.sums[Key{region, service}]; ok {
		s.sent++
	}
}

func (t *Table) flow(now time.Time, service string) *flow {
	f, ok := t.flows[service]
	if !ok {
		f = &flow{spills: map[string]float64{}, at: now}
		t.flows[service] = f
		return f
	}
	keep := math.Exp(-float64(max(0, now.Sub(f.at))) / float64(window))
	f.total *= keep
	for r := range f.spills {
		f.spills[r] *= keep
	}
	f.at = now
	return f
}

// Open reports whether one more request may spill to a region under a bound on
// the share of requests, 0 to 1.
func (t *Table) Open(now time.Time, service, region string, bound float64) bool {
	if bound <= 0 {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.flow(now, service)
	return f.spills[region]+1 <= bound*math.Max(minSample, f.total+1)
}

const (
	// unknownAway is the time to a region and back that was not measured yet.
	unknownAway = 100 * time.Millisecond
	// awayWeight is the weight of one measurement.
	awayWeight = 0.2
)

// Measured takes in the time that a region took to acknowledge a request.
func (t *Table) Measured(region string, d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, ok := t.away[region]
	if !ok {
		old = d
	}
	t.away[region] = old + time.Duration(awayWeight*float64(d-old))
}

// Away returns the time to a region and back.
func (t *Table) Away(region string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if d, ok := t.away[region]; ok {
		return d
	}
	return unknownAway
}

// Told takes in the time of unread prompts at a region's endpoints that a request
// waits for, by its priority.
func (t *Table) Told(now time.Time, k Key, times []time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waits[k] = wait{times: times, at: now}
}

// Wait returns the time of unread prompts that a request of a priority waits for
// in a region; what was told runs off as they are read.
func (t *Table) Wait(now time.Time, k Key, priority int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.waits[k]
	if len(w.times) == 0 {
		return 0
	}
	return max(0, w.times[min(priority, len(w.times)-1)]-now.Sub(w.at))
}
