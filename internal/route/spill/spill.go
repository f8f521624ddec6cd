// Package spill decides whether a request of a plain service is sent to a local endpoint, waits at
// its host, goes to another region, or is refused. It is made for regions whose callers peak one
// after the other, at nearly all of the region's slots while the other regions are idle, and for
// many hosts that decide at once by views that are older than the work takes: a single view
// shows little of the slots that are free at the moment, but the mean of views shows well how many are
// in use.
package spill

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// startShare is the share of its slots up to which a region keeps all its requests. With half of
	// them in use, an endpoint of six slots that is chosen by an old view is full for about one
	// request in twenty; from there on that share grows fast.
	startShare = 0.55
	// fillShare is the share of its slots up to which a region is filled with requests of others.
	fillShare = 0.7
	// gapShare is the difference in the share of slots in use from which a request crosses to
	// another region. It exceeds the error of the means of two announcements a second: with 0.1,
	// regions that are equally busy send each other more.
	gapShare = 0.15
	// crowdedShare is the share of its slots from which each host of a region keeps to its part of
	// them and one more: views are too old to find the few slots that are free at the moment. It is
	// low because requests that endpoints reject are no part of their load.
	crowdedShare = 0.6
	// maxShare bounds the share of its requests that a region sends away, as hosts learn the state
	// of its endpoints by those that stay.
	maxShare = 0.9
	// meanTime is the time constant of the means: shorter than callers take to move to another
	// region, and longer than the views are old, as shorter means follow single bursts.
	meanTime = 500 * time.Millisecond
	// maxWeight bounds the weight of one request's view in the means, so that a host with few
	// requests does not act on a single burst.
	maxWeight = 0.25
	// targetMargin is the share of the target kept in reserve by requests that wait.
	targetMargin = 0.1
	// minRetryAfter and maxRetryAfter bound the retry delay of a refusal.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Kind is the outcome of a decision.
type Kind int

const (
	// Send means that the request is sent to a local endpoint now.
	Send Kind = iota
	// Cross means that the request goes to another region.
	Cross
	// Wait means that the request waits at this host.
	Wait
	// Refuse means that nothing can serve the request in time.
	Refuse
)

// String returns the name of the outcome.
func (k Kind) String() string { return [...]string{"sent", "crossed", "waited", "refused"}[k] }

// Region is another region that the request may go to.
type Region struct {
	Name string
	// Slots is the sum of the slots of its endpoints, Load the announced number of requests there.
	Slots     float64
	Load      float64
	RoundTrip time.Duration
	// Closed reports whether the region does not answer, or all its endpoints fail.
	Closed bool
}

// Request describes a request and the state that its placement depends on.
type Request struct {
	Service string
	// Slots is the sum of the slots of the local endpoints that may serve the request.
	Slots float64
	// Reported is the number of requests there by the reports of the endpoints, Announced that by
	// the announcements of the region's hosts.
	Reported  float64
	Announced float64
	// Free reports whether a local endpoint has a free slot, by this host's view.
	Free    bool
	Regions []Region
	// Work is the usual time of an answer.
	Work time.Duration
	// InFlight is the number of this host's own requests at the local endpoints, Places its part of
	// their slots, and Ahead the number of requests that wait at this host before this one.
	InFlight int
	Places   int
	Ahead    int
	// Queued reports whether the request waits already, QueueFull whether no further one may wait.
	Queued    bool
	QueueFull bool
	// Waited is the time since the caller's request arrived, Target the latency target, 0 for
	// none, and TimeLeft the time to the deadline.
	Waited   time.Duration
	Target   time.Duration
	TimeLeft time.Duration
}

// Verdict is a decision.
type Verdict struct {
	Kind Kind
	// Region is the index of the region of Cross.
	Region int
	// RetryAfter is the time after which a refused request is expected to find capacity.
	RetryAfter time.Duration
}

// Table holds the means of the loads by service. It may not be used concurrently.
type Table struct {
	services map[string]*means
	rand     *rand.Rand
}

// New returns an empty table that draws from rnd.
func New(rnd *rand.Rand) *Table { return &Table{services: map[string]*means{}, rand: rnd} }

// means holds moving averages of one service.
type means struct {
	at        time.Time
	reported  float64
	announced float64
	// loads are those of the other regions, shares the shares of the requests that crossed there.
	loads  map[string]float64
	shares map[string]float64
}

// weight returns the weight of what is seen now in the averages.
func (m *means) weight(now time.Time) float64 {
	return min(maxWeight, 1-math.Exp(-float64(max(0, now.Sub(m.at)))/float64(meanTime)))
}

// observe adds the loads that a request meets.
func (m *means) observe(weight float64, r *Request) {
	m.reported += weight * (r.Reported - m.reported)
	m.announced += weight * (r.Announced - m.announced)
	for i := range r.Regions {
		name, load := r.Regions[i].Name, r.Regions[i].Load
		old, ok := m.loads[name]
		if !ok {
			old = load
		}
		m.loads[name] = old + weight*(load-old)
	}
}

// load returns the mean number of requests at the local endpoints. Each source lacks requests that
// the other includes. The greater mean is taken rather than the mean of the greater value, which
// exceeds both.
func (m *means) load() float64 { return max(m.reported, m.announced) }

// crossing returns the share of the requests that crossed.
func (m *means) crossing() float64 {
	sum := 0.0
	for _, s := range m.shares {
		sum += s
	}
	return min(sum, maxShare)
}

// Crossing returns the index of the region that a request of an engine goes to, -1 if it stays. It
// is for requests with short prompts: they are sent at once at any load, and use slots and steps of
// the batch rather than prefill time, so that only the slots in use show when engines are busy.
func (t *Table) Crossing(now time.Time, r Request) int {
	_, shares := t.observe(now, &r)
	return t.draw(shares)
}

// observe adds the loads that a request meets to the means of its service, and returns the share of
// the requests that is to go to each region.
func (t *Table) observe(now time.Time, r *Request) (*means, []float64) {
	m, ok := t.services[r.Service]
	if !ok {
		m = &means{loads: map[string]float64{}, shares: map[string]float64{}}
		t.services[r.Service] = m
	}
	weight := m.weight(now)
	m.observe(weight, r)
	shares := m.plan(r)
	for name := range m.shares {
		m.shares[name] *= 1 - weight
	}
	for i, s := range shares {
		m.shares[r.Regions[i].Name] += weight * s
	}
	m.at = now
	return m, shares
}

// Decide decides on a request. Each request is decided on once as it arrives, and again whenever
// it has waited.
func (t *Table) Decide(now time.Time, r Request) Verdict {
	m, shares := t.observe(now, &r)
	if !r.Queued {
		if i := t.draw(shares); i >= 0 {
			return Verdict{Kind: Cross, Region: i}
		}
	}
	if m.free(&r) {
		return Verdict{Kind: Send}
	}
	if i := t.draw(m.rooms(&r)); i >= 0 {
		return Verdict{Kind: Cross, Region: i}
	}
	return m.waitOrRefuse(&r)
}

// free reports whether a local endpoint most likely has a slot for the request.
func (m *means) free(r *Request) bool {
	if r.Ahead > 0 && !r.Queued {
		return false
	}
	if m.load() >= crowdedShare*r.Slots {
		return r.InFlight <= r.Places
	}
	return r.Free
}

// draw returns an index with the probability of its weight; -1 with what the weights lack to 1.
func (t *Table) draw(weights []float64) int {
	at := t.rand.Float64()
	for i, w := range weights {
		if at -= w; at < 0 {
			return i
		}
	}
	return -1
}

// inTime reports whether a region would answer the request within its target.
func (r *Request) inTime(other *Region) bool {
	return !other.Closed && other.RoundTrip+r.Work < r.limit()
}

// limit returns the time in which the request is to be answered.
func (r *Request) limit() time.Duration {
	if r.Target > 0 {
		return min(r.TimeLeft, r.Target-r.Waited)
	}
	return r.TimeLeft
}

// plan returns the share of the requests that is to go to each region, so that the local endpoints
// keep startShare of their slots in use, or, if the others have no room for the rest, as much more
// as the others.
func (m *means) plan(r *Request) []float64 {
	shares := make([]float64, len(r.Regions))
	if m.load() <= startShare*r.Slots && m.crossing() == 0 {
		return shares
	}
	// The load is what is left after crossing. Dividing by the share that stayed yields the demand,
	// whatever that share was, so that the decision does not swing with its own effect.
	demand := m.load() / (1 - m.crossing())
	low, high := startShare, max(startShare, demand/r.Slots)
	for range levelSteps {
		level := (low + high) / 2
		if m.roomBelow(r, demand, level, nil) < demand-level*r.Slots {
			low = level
		} else {
			high = level
		}
	}
	excess := demand - high*r.Slots
	room := m.roomBelow(r, demand, high, shares)
	if excess <= 0 || room <= 0 {
		clear(shares)
		return shares
	}
	scale := min(maxShare, excess/demand) / room
	for i := range shares {
		shares[i] *= scale
	}
	return shares
}

// levelSteps is the number of halvings in the search for a level, for an error under 0.1 %.
const levelSteps = 10

// roomBelow returns the number of requests that the other regions may take if the local endpoints
// have a share, level, of their slots in use. It stores those of each region in rooms, unless nil.
func (m *means) roomBelow(r *Request, demand, level float64, rooms []float64) float64 {
	sum := 0.0
	for i := range r.Regions {
		other := &r.Regions[i]
		if !r.inTime(other) {
			continue
		}
		// What this region sent there is part of its load.
		load := max(0, m.loads[other.Name]-m.shares[other.Name]*demand)
		room := max(0, min(fillShare, level-gapShare)*other.Slots-load)
		sum += room
		if rooms != nil {
			rooms[i] = room
		}
	}
	return sum
}

// rooms returns weights of the regions that have room for a request which finds no free slot here,
// which sum to 1, or are all 0.
func (m *means) rooms(r *Request) []float64 {
	rooms, sum := make([]float64, len(r.Regions)), 0.0
	level := min(fillShare, m.load()/r.Slots-gapShare)
	for i := range r.Regions {
		if other := &r.Regions[i]; r.inTime(other) {
			rooms[i] = max(0, level*other.Slots-max(other.Load, m.loads[other.Name]))
			sum += rooms[i]
		}
	}
	for i := range rooms {
		rooms[i] /= max(sum, math.SmallestNonzeroFloat64)
	}
	return rooms
}

// waitOrRefuse decides on a request for which no slot is free anywhere.
func (m *means) waitOrRefuse(r *Request) Verdict {
	limit := time.Duration((1-targetMargin)*float64(r.limit())) - r.detour()
	if r.Queued {
		// The last moment at which an answer is in time: an endpoint may have a slot all the same.
		if r.Work >= limit {
			return Verdict{Kind: Send}
		}
		return Verdict{Kind: Wait}
	}
	wait := time.Duration(float64(r.Ahead+1) / float64(max(1, r.Places)) * float64(r.Work))
	switch {
	case !r.QueueFull && wait+r.Work <= limit:
		return Verdict{Kind: Wait}
	case m.halfFree(r):
		return Verdict{Kind: Send}
	}
	return Verdict{Kind: Refuse, RetryAfter: min(maxRetryAfter, max(minRetryAfter, wait+r.Work-limit))}
}

// detour returns the round trip to the nearest region: a request that waited and is rejected then
// can still be answered there.
func (r *Request) detour() time.Duration {
	nearest := time.Duration(0)
	for i := range r.Regions {
		d := r.Regions[i].RoundTrip
		if !r.Regions[i].Closed && d+r.Work < r.limit()+r.Waited && (nearest == 0 || d < nearest) {
			nearest = d
		}
	}
	return nearest
}

// halfFree reports whether half of the slots of all regions are free.
func (m *means) halfFree(r *Request) bool {
	slots, load := r.Slots, m.load()
	for i := range r.Regions {
		if !r.Regions[i].Closed {
			slots += r.Regions[i].Slots
			load += m.loads[r.Regions[i].Name]
		}
	}
	return load < slots/2
}
