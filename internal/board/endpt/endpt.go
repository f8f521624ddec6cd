// Package endpt is the board's table of endpoints: what they report, what this
// host has in flight there, how they did, and whether they are ejected.
package endpt

import (
	"math"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/route/eject"
)

const (
	// trust is the age at which a report counts half.
	trust = 4 * time.Second
	// memory is how long earlier numbers of own requests are remembered.
	memory = 5 * time.Second
	// learn is the weight of one new answer in the averages.
	learn = 0.2
	// fullTime is how long an endpoint that refused a request counts as full.
	fullTime = 300 * time.Millisecond
	// mostRatio bounds how much one answer counts.
	mostRatio = 50.0
	// forget is the time in which an average falls half way back to the usual one.
	forget = 15 * time.Second
	// rampTime is how long an endpoint that returns is filled slowly.
	rampTime  = 10 * time.Second
	rampStart = 0.25
)

// Report is what an endpoint says of itself.
type Report struct {
	Running int
	Queued  int
	// At is when the report was true, as far as its age is known.
	At      time.Time
	Leaving bool
	Failing bool
}

// State is what is believed of an endpoint.
type State struct {
	Report Report
	// Own is the number of this host's requests in flight there.
	Own int
	// past holds earlier values of Own, oldest first.
	past []change
	// ownThen is Own at the time of the report.
	ownThen int
	first   average
	work    average
	record  eject.Record
	quality quality
	joined  time.Time
	// refused is when the endpoint last refused a request as it was full.
	refused time.Time
	// left is when the endpoint last said that it takes no more work.
	left time.Time
	// pending is the time of this host's prompts there without a first token.
	pending Waits
	// shared holds what other hosts of the region told that they have there.
	shared map[string]Shared
	// cold holds the times of this host's last requests while it is cold.
	cold []time.Time
}

// Shared is what another host has at an endpoint.
type Shared struct {
	Requests int
	Pending  Waits
	At       time.Time
}

// change is a value of Own from a time on.
type change struct {
	at  time.Time
	own int
}

// setOwn changes Own and remembers the change for as long as reports may lag.
func (s *State) setOwn(now time.Time, own int) {
	for len(s.past) > 1 && now.Sub(s.past[1].at) > memory {
		s.past = s.past[1:]
	}
	s.Own = own
	s.past = append(s.past, change{at: now, own: own})
}

// ownAt returns Own at an earlier time, as far as it is remembered.
func (s *State) ownAt(at time.Time) int {
	own := 0
	for _, c := range s.past {
		if c.at.After(at) {
			break
		}
		own = c.own
	}
	return own
}

// average is a running mean of how many times longer something took than usual.
type average struct {
	ratio float64
	at    time.Time
}

// now returns the ratio, drawn back to 1 as it ages.
func (a average) now(now time.Time) float64 {
	if a.at.IsZero() {
		return 1
	}
	return 1 + (a.ratio-1)*math.Exp2(-float64(now.Sub(a.at))/float64(forget))
}

func (a average) with(now time.Time, sample, usual time.Duration) average {
	if usual <= 0 {
		return a
	}
	ratio := math.Min(mostRatio, math.Max(1/mostRatio, float64(sample)/float64(usual)))
	old := a.now(now)
	return average{ratio: old + learn*(ratio-old), at: now}
}

// Load estimates the requests at the endpoint: those of other hosts by the
// report, counted less as it ages, and this host's own exactly.
func (s *State) Load(now time.Time) float64 {
	if s.Report.At.IsZero() {
		return float64(s.Own)
	}
	others := math.Max(0, float64(s.Report.Running+s.Report.Queued-s.ownThen))
	age := math.Max(0, float64(now.Sub(s.Report.At)))
	return float64(s.Own) + others*math.Exp2(-age/float64(trust))
}

// Excess returns what is added to the load of an endpoint of so many slots that
// just refused a request, whatever its reports say.
func (s *State) Excess(now time.Time, slots int) float64 {
	if now.Sub(s.refused) < fullTime {
		return float64(slots)
	}
	return 0
}

// First returns the expected time before the first token once a slot is free.
func (s *State) First(now time.Time, usual time.Duration) time.Duration {
	return time.Duration(s.first.now(now) * float64(usual))
}

// Work returns the expected time of a whole answer.
func (s *State) Work(now time.Time, usual time.Duration) time.Duration {
	return time.Duration(s.work.now(now) * float64(usual))
}

// Leaving reports whether the endpoint said that it takes no more work.
func (s *State) Leaving() bool { return !s.left.IsZero() }

// Ejected reports whether the endpoint gets no work for its failures.
func (s *State) Ejected(now time.Time) bool { return s.record.Out(now) }

// Ramp returns the share of its slots that an endpoint may use, which grows
// after it joined or returned, while its cache is cold.
func (s *State) Ramp(now time.Time) float64 {
	from := s.joined
	if back := s.record.Returned(); back.After(from) {
		from = back
	}
	if from.IsZero() {
		return 1
	}
	share := float64(now.Sub(from)) / float64(rampTime)
	return math.Min(1, rampStart+(1-rampStart)*math.Max(0, share))
}

// Table holds the states. Its lock is taken after that of the revisions table
// and before none.
type Table struct {
	mu     sync.RWMutex
	states map[string]*State
	settle bool
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{states: map[string]*State{}} }

func (t *Table) state(name string) *State {
	s, ok := t.states[name]
	if !ok {
		s = &State{}
		t.states[name] = s
	}
	return s
}

// Sync keeps the states of the named endpoints only. Endpoints that appear
// after the first call are filled slowly.
func (t *Table) Sync(now time.Time, names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	keep := make(map[string]bool, len(names))
	for _, n := range names {
		keep[n] = true
		if _, ok := t.states[n]; !ok {
			s := t.state(n)
			if t.settle {
				s.joined = now
			}
		}
	}
	t.settle = true
	for n, s := range t.states {
		if !keep[n] && s.Own == 0 {
			delete(t.states, n)
		}
	}
}

// Note takes a report in; an older one than that held is ignored.
func (t *Table) Note(name string, r Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(name)
	if r.At.Before(s.Report.At) {
		return false
	}
	s.Report = r
	if r.Leaving {
		s.left = r.At
	} else if !r.Failing && r.At.After(s.left) {
		s.left = time.Time{}
	}
	s.ownThen = min(s.ownAt(r.At), r.Running+r.Queued)
	return true
}

// Left notes that an endpoint said in an answer that it takes no more work. Only
// a later report of its own takes that back.
func (t *Table) Left(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(name).left = now
}

// Start counts a request of this host in.
func (t *Table) Start(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(name)
	s.setOwn(now, s.Own+1)
}

// Result is how an attempt at an endpoint ended.
type Result struct {
	Whole bool
	// Failed says that the endpoint, not the caller, was the cause.
	Failed bool
	// Full says that the endpoint refused the request.
	Full bool
	// Fault says that a whole answer was the endpoint's own failure.
	Fault bool
	// First and Work are zero where not known.
	First time.Duration
	Work  time.Duration
	// UsualFirst and UsualWork are what was expected, the first with the cache's
	// part taken off.
	UsualFirst time.Duration
	UsualWork  time.Duration
}

// Done counts a request of this host out and learns from it.
func (t *Table) Done(now time.Time, name string, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(name)
	s.setOwn(now, max(0, s.Own-1))
	if r.Full {
		s.refused = now
	}
	if r.First > 0 {
		s.first = s.first.with(now, r.First, r.UsualFirst)
	}
	if r.Whole || r.Failed {
		s.quality = s.quality.with(now, r.Failed || r.Fault)
	}
	switch {
	case r.Whole:
		s.record = s.record.WithSuccess()
		if r.Work > 0 {
			s.work = s.work.with(now, r.Work, r.UsualWork)
		}
	case r.Failed:
		s.record = s.record.WithFailure(now)
	}
}

// Get returns a copy of the state.
func (t *Table) Get(name string) State {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if s, ok := t.states[name]; ok {
		return *s
	}
	return State{}
}

// Each calls f for each name with its state, under the table's lock: f must
// not call the table.
func (t *Table) Each(names []string, f func(i int, s *State)) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	none := &State{}
	for i, n := range names {
		if s, ok := t.states[n]; ok {
			f(i, s)
			continue
		}
		f(i, none)
	}
}

// Doubt makes every report old, after a pause of the process.
func (t *Table) Doubt() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.states {
		s.Report.At = time.Time{}
	}
}
