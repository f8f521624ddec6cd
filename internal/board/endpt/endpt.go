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
	// learn is the weight of one new answer in the averages.
	learn = 0.2
	// fullTime is how long an endpoint that refused a request counts as full.
	fullTime = 300 * time.Millisecond
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
	// ownThen is Own at the time of the report.
	ownThen int
	first   average
	work    average
	record  eject.Record
	joined  time.Time
	// refused is when the endpoint last refused a request as it was full.
	refused time.Time
	// left is when the endpoint last said that it takes no more work.
	left time.Time
}

type average struct {
	value time.Duration
	at    time.Time
}

// toward returns the average, drawn back to the usual value as it ages.
func (a average) toward(usual time.Duration, now time.Time) time.Duration {
	if a.at.IsZero() {
		return usual
	}
	keep := math.Exp2(-float64(now.Sub(a.at)) / float64(forget))
	return usual + time.Duration(float64(a.value-usual)*keep)
}

func (a average) with(now time.Time, sample, usual time.Duration) average {
	old := a.toward(usual, now)
	return average{value: old + time.Duration(learn*float64(sample-old)), at: now}
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
	return s.first.toward(usual, now)
}

// Work returns the expected time of a whole answer.
func (s *State) Work(now time.Time, usual time.Duration) time.Duration {
	return s.work.toward(usual, now)
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
	} else if r.At.After(s.left) {
		s.left = time.Time{}
	}
	s.ownThen = min(s.Own, r.Running+r.Queued)
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
func (t *Table) Start(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(name).Own++
}

// Result is how an attempt at an endpoint ended.
type Result struct {
	Whole bool
	// Failed says that the endpoint, not the caller, was the cause.
	Failed bool
	// Full says that the endpoint refused the request.
	Full bool
	// First and Work are zero where not known.
	First time.Duration
	Work  time.Duration
	// UsualFirst and UsualWork are the service's.
	UsualFirst time.Duration
	UsualWork  time.Duration
}

// Done counts a request of this host out and learns from it.
func (t *Table) Done(now time.Time, name string, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(name)
	s.Own = max(0, s.Own-1)
	if r.Full {
		s.refused = now
	}
	if r.First > 0 {
		s.first = s.first.with(now, r.First, r.UsualFirst)
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
