// Package endpt is the board's table of endpoints: reported load, this host's
// in-flight requests, observed latency and failures, and ejection.
package endpt

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/route/eject"
)

const (
	// reportHalfLife is the age at which the load of a report counts half.
	reportHalfLife = 4 * time.Second
	// historyAge is how long earlier in-flight counts are kept, as reports may be that
	// late.
	historyAge = 5 * time.Second
	// sampleWeight is the weight of one new answer in the slowdown averages.
	sampleWeight = 0.2
	// paceHalfLife is the age at which a reported pace counts half, as it changes many times a
	// second.
	paceHalfLife = 100 * time.Millisecond
	// fullHold is how long an endpoint that refused a request counts as full.
	fullHold = 300 * time.Millisecond
	// maxSlowdown bounds the slowdown of one answer from above, its inverse from below.
	maxSlowdown = 50.0
	// slowdownHalfLife is the time in which a slowdown average moves half way back to 1.
	slowdownHalfLife = 15 * time.Second
	// rampTime is the length of the slow start of an endpoint that joins or returns;
	// rampStart is its share of slots at the beginning.
	rampTime  = 10 * time.Second
	rampStart = 0.25
)

// Report is the load and state that an endpoint reports.
type Report struct {
	Running int
	Queued  int
	// Pace is how long work takes there, as a multiple of the usual time; 0 if unknown.
	Pace float64
	// At is when the report was made, estimated from its age.
	At      time.Time
	Leaving bool
	// Failing reports whether polls of the endpoint fail.
	Failing bool
	// Start is the number of the process that the report is of, 0 if unknown.
	Start uint64
}

// State is the last known state of an endpoint.
type State struct {
	Report Report
	// InFlight is the number of this host's in-flight requests at the endpoint.
	InFlight int
	// history holds this host's in-flight counts since historyAge ago, oldest first.
	history []inFlightCount
	// inFlightAtReport is this host's in-flight count at Report.At, at most the reported
	// load.
	inFlightAtReport int
	firstSlowdown    slowdown
	workSlowdown     slowdown
	failures         eject.Record
	// failedAt is when an attempt of this host last failed.
	failedAt    time.Time
	failureRate failureRate
	joinedAt    time.Time
	// start is the number of the endpoint's process, 0 if unknown, and startedAt when this host
	// learned of it.
	start     uint64
	startedAt time.Time
	// refusedAt is when the endpoint last refused a request because it was full.
	refusedAt time.Time
	// leavingSince is when the endpoint last announced that it is draining, zero if a
	// later report withdrew that.
	leavingSince time.Time
	// queuedPrefill is that of this host's prompts.
	queuedPrefill QueuedPrefill
	// peerLoads holds the announced loads of the region's other hosts, by host.
	peerLoads map[string]HostLoad
	// recentRequests holds the times of this host's requests within coldWindow, if the rate
	// of the endpoint is limited while it is cold.
	recentRequests []time.Time
	// warmAt is when this host sent the last health check whose answer states no warm-up, wantedAt
	// when a request last depended on such an answer.
	warmAt, wantedAt time.Time
	// restart is the suspicion that the endpoint has started again.
	restart   restart
	rateLimit rateLimit
	pause     pause
	// limitedSends holds the times of this host's requests while the endpoint names a
	// rate limit, oldest first.
	limitedSends []time.Time
}

// HostLoad is the load of one host at an endpoint.
type HostLoad struct {
	Requests int
	// QueuedPrefill is that of the host's prompts.
	QueuedPrefill QueuedPrefill
	// At is when the announcement arrived.
	At time.Time
}

// inFlightCount is the number of in-flight requests from a time on.
type inFlightCount struct {
	at    time.Time
	count int
}

// setInFlight sets the in-flight count of this host and keeps it for historyAge.
func (s *State) setInFlight(now time.Time, count int) {
	for len(s.history) > 1 && now.Sub(s.history[1].at) > historyAge {
		s.history = s.history[1:]
	}
	s.InFlight = count
	s.history = append(s.history, inFlightCount{at: now, count: count})
}

// inFlightAt returns the in-flight count of this host at an earlier time, 0 if the
// history does not go back that far.
func (s *State) inFlightAt(at time.Time) int {
	count := 0
	for _, c := range s.history {
		if c.at.After(at) {
			break
		}
		count = c.count
	}
	return count
}

// slowdown is a moving average of the measured time divided by the usual time.
type slowdown struct {
	ratio float64
	at    time.Time
}

// current returns the slowdown factor, which decays to 1 with slowdownHalfLife.
func (s slowdown) current(now time.Time) float64 {
	if s.at.IsZero() {
		return 1
	}
	return 1 + (s.ratio-1)*math.Exp2(-float64(now.Sub(s.at))/float64(slowdownHalfLife))
}

// withSample returns the average after one more sample.
func (s slowdown) withSample(now time.Time, sample, usual time.Duration) slowdown {
	if usual <= 0 {
		return s
	}
	ratio := math.Min(maxSlowdown, math.Max(1/maxSlowdown, float64(sample)/float64(usual)))
	old := s.current(now)
	return slowdown{ratio: old + sampleWeight*(ratio-old), at: now}
}

// Load returns the estimated number of requests at the endpoint: this host's
// in-flight requests plus those of other hosts by the last report, whose weight
// decays with reportHalfLife.
func (s *State) Load(now time.Time) float64 {
	if s.Report.At.IsZero() {
		return float64(s.InFlight)
	}
	others := math.Max(0, float64(s.Report.Running+s.Report.Queued-s.inFlightAtReport))
	age := math.Max(0, float64(now.Sub(s.Report.At)))
	return float64(s.InFlight) + others*math.Exp2(-age/float64(reportHalfLife))
}

// RefusalLoad returns the load to add to an endpoint, whatever it reports: all its slots
// if it refused a request within fullHold, else 0.
func (s *State) RefusalLoad(now time.Time, slots int) float64 {
	if now.Sub(s.refusedAt) < fullHold {
		return float64(slots)
	}
	return 0
}

// TimeToFirstToken returns the expected time to first token once a slot is free, given
// the usual one.
func (s *State) TimeToFirstToken(now time.Time, usual time.Duration) time.Duration {
	return time.Duration(s.firstSlowdown.current(now) * float64(usual))
}

// AnswerTime returns the expected time of a complete answer, given the usual one.
func (s *State) AnswerTime(now time.Time, usual time.Duration) time.Duration {
	return time.Duration(s.workSlowdown.current(now) * float64(usual))
}

// Speed returns how long a complete answer is expected to take, as a multiple of the usual time: by
// the endpoint's earlier answers, and by the pace that it reported, the less the older that is.
func (s *State) Speed(now time.Time) float64 {
	speed := s.workSlowdown.current(now)
	if s.Report.Pace > 0 {
		age := math.Max(0, float64(now.Sub(s.Report.At)))
		speed *= math.Pow(s.Report.Pace, math.Exp2(-age/float64(paceHalfLife)))
	}
	return speed
}

// Leaving reports whether the endpoint announced that it is draining.
func (s *State) Leaving() bool { return !s.leavingSince.IsZero() }

// Ejected reports whether the endpoint is ejected after failures in a row.
func (s *State) Ejected(now time.Time) bool { return s.failures.Ejected(now) }

// Ramp returns the share of its slots, rampStart to 1, that an endpoint may use. It
// grows over rampTime after the endpoint joined or returned from ejection, while its
// caches are cold.
func (s *State) Ramp(now time.Time) float64 {
	from := s.joinedAt
	if back := s.failures.EjectedUntil(); back.After(from) {
		from = back
	}
	if from.IsZero() {
		return 1
	}
	share := float64(now.Sub(from)) / float64(rampTime)
	return math.Min(1, rampStart+(1-rampStart)*math.Max(0, share))
}

// Table holds the endpoint states. Its lock is taken after that of the revisions
// table; no other lock is taken while it is held.
type Table struct {
	mu     sync.RWMutex
	states map[string]*State
	// synced reports whether Sync was called.
	synced bool
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

// Sync adds the named endpoints and removes all others that have none of this host's
// requests in flight and got none lately, name no rate limit and are not paused: a registration
// that lapses comes back, and these hold on. Endpoints added after the first call get a slow start.
func (t *Table) Sync(now time.Time, names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	keep := make(map[string]bool, len(names))
	for _, n := range names {
		keep[n] = true
		if _, ok := t.states[n]; !ok {
			s := t.state(n)
			if t.synced {
				s.joinedAt = now
			}
		}
	}
	t.synced = true
	for n, s := range t.states {
		if !keep[n] && s.expired(now) {
			delete(t.states, n)
		}
	}
}

// expired reports whether nothing of the state holds for an endpoint that registers again.
func (s *State) expired(now time.Time) bool {
	s.trimRequests(now)
	return s.InFlight == 0 && len(s.recentRequests) == 0 && !s.rateLimit.active(now) && !now.Before(s.pause.until)
}

// PutReport stores a report. It ignores the report and returns false if a newer one is
// stored.
func (t *Table) PutReport(name string, r Report) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(name)
	if r.At.Before(s.Report.At) || s.isEarlier(r.Start) {
		return false
	}
	s.Report = r
	if r.Leaving {
		s.leavingSince = r.At
	} else if !r.Failing && r.At.After(s.leavingSince) {
		s.leavingSince = time.Time{}
	}
	s.inFlightAtReport = min(s.inFlightAt(r.At), r.Running+r.Queued)
	return true
}

// MarkLeaving records that an endpoint announced in an answer that it is draining. Only a
// later report of the endpoint withdraws that.
func (t *Table) MarkLeaving(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(name).leavingSince = now
}

// StartRequest adds one to the in-flight requests of this host at an endpoint.
func (t *Table) StartRequest(now time.Time, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state(name).startRequest(now)
}

func (s *State) startRequest(now time.Time) {
	s.setInFlight(now, s.InFlight+1)
	s.recordSend(now)
	s.recordTrial(now)
}

// Result is how an attempt at an endpoint ended.
type Result struct {
	// Start is the number of the process that the attempt was made at, 0 if unknown.
	Start uint64
	Whole bool
	// Failed reports whether the attempt failed because of the endpoint, not the caller.
	Failed bool
	// Full reports whether the endpoint refused the request because it was full.
	Full bool
	// ServerError reports whether a complete answer carried a server error of the endpoint.
	ServerError bool
	// TimeToFirstToken is the time to first token, zero if unknown.
	TimeToFirstToken time.Duration
	// AnswerTime is the time of the complete answer, zero if unknown.
	AnswerTime time.Duration
	// ExpectedTimeToFirstToken is the expected time to first token, without the prefill
	// that the prefix cache saves.
	ExpectedTimeToFirstToken time.Duration
	// ExpectedAnswerTime is the expected time of the complete answer.
	ExpectedAnswerTime time.Duration
}

// FinishRequest takes one off the in-flight requests of this host at an endpoint and
// records the result of the attempt.
func (t *Table) FinishRequest(now time.Time, name string, r Result) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(name)
	if s.isEarlier(r.Start) {
		return
	}
	s.setInFlight(now, max(0, s.InFlight-1))
	if r.Full {
		s.refusedAt = now
	}
	if r.TimeToFirstToken > 0 {
		s.firstSlowdown = s.firstSlowdown.withSample(now, r.TimeToFirstToken, r.ExpectedTimeToFirstToken)
	}
	if r.Whole || r.Failed {
		s.failureRate = s.failureRate.withAnswer(now, r.Failed || r.ServerError)
	}
	switch {
	case r.Whole:
		s.failures = s.failures.WithSuccess()
		if r.AnswerTime > 0 {
			s.workSlowdown = s.workSlowdown.withSample(now, r.AnswerTime, r.ExpectedAnswerTime)
		}
	case r.Failed:
		s.failures, s.failedAt = s.failures.WithFailure(now), now
	}
}

// FailedWithin reports whether an attempt of this host at an endpoint failed within a time.
func (t *Table) FailedWithin(now time.Time, name string, d time.Duration) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	s, ok := t.states[name]
	return ok && !s.failedAt.IsZero() && now.Sub(s.failedAt) <= d
}

// Get returns a copy of the state of an endpoint, the zero State if it is unknown.
func (t *Table) Get(name string) State {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if s, ok := t.states[name]; ok {
		return s.clone()
	}
	return State{}
}

// clone returns a copy that shares no memory with s.
func (s *State) clone() State {
	out := *s
	out.history = slices.Clone(s.history)
	out.peerLoads = maps.Clone(s.peerLoads)
	out.recentRequests = slices.Clone(s.recentRequests)
	out.limitedSends = slices.Clone(s.limitedSends)
	return out
}

// Each calls f with the index and state of each named endpoint. It holds the table's
// lock, so f must not call the table.
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

// ExpireReports expires every report after a pause of the process, so that Load counts
// only this host's in-flight requests until the next report.
func (t *Table) ExpireReports() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range t.states {
		s.Report.At = time.Time{}
	}
}
