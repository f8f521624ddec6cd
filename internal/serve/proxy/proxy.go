// Package proxy serves requests of published routes: it places each request on an
// endpoint or in another region, retries failed attempts, and returns one answer
// or refusal.
package proxy

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/board/origin"
	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/terms"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/link"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/route/spill"
	"github.com/hyssopspindle/hyssopspindle/internal/route/split"
	"github.com/hyssopspindle/hyssopspindle/internal/route/usage"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/head"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/held"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/pool"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/splice"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
)

// Request is a caller's request with the route that it matched.
type Request struct {
	ID string
	// Version is the version of the published rules that the route is taken from.
	Version uint64
	Route   *rules.Route
	Service string
	Method  string
	// Target is the path and query as the caller sent them.
	Target string
	// Host is the value of the Host header.
	Host   string
	Fields []wire.Field
	Body   []byte
	// Caller is the caller's address without the port.
	Caller string
	// Arrived is when the request arrived at the host that the caller sent it to.
	Arrived  time.Time
	Deadline time.Time
	// Patience is how long the caller states that it waits from Arrived on, 0 if it states nothing. It
	// may exceed the route's timeout, which bounds Deadline.
	Patience time.Duration
	// Ended reports whether the caller's connection has ended, as the kernel knows it; nil for a
	// relayed request.
	Ended func() bool
	// RelayRoundTrip is the round-trip time to EntryRegion, for a relayed request.
	RelayRoundTrip time.Duration
	Prompt         terms.Prompt
	// LastEventID is the id of the last event that the caller received, stream.NoID for none.
	LastEventID int
	// Begun reports whether the caller has the head of a stream already, for a relayed request.
	Begun bool
	// Resumes is the id of the caller's request that brought the first event of the stream
	// that this request takes up, empty if the caller named none.
	Resumes string
	// Release is that of the endpoints which may continue the stream, for a relayed request;
	// nil means any.
	Release *string
	// EntryRegion is the region of the host that the caller sent the request to.
	EntryRegion string
	// Trial reports whether the request is the trial of a quarantined prompt part or request.
	Trial bool
	// Customer is the customer whose key the caller sent, nil for none and for a relayed request.
	Customer *rules.Customer
	// Keyed reports whether the caller sent a key, known or not, to a route that needs one; Key is
	// its hash.
	Keyed bool
	Key   rules.KeyHash
	// Cost is what a run of the request counts towards the customer's limit.
	Cost float64
	// AttemptsLeft is the number of attempts that the route still allows. Attempts that
	// certainly did not run do not count.
	AttemptsLeft int
}

// Relayed is a request that another region relayed. Its type keeps it from being
// relayed again.
type Relayed struct{ Request Request }

// Report is the outcome of a request.
type Report struct {
	// Refusal is nil if the whole answer was passed on.
	Refusal *fault.Refusal
	// Started reports whether the head of an answer was passed on.
	Started  bool
	Status   int
	Attempts int
	// Sent counts the attempts that reached an endpoint.
	Sent int
	// Runs counts the attempts that may have run.
	Runs     int
	Endpoint string
	Region   string
	// TimeToFirstByte is the time from the arrival to the first byte of the answer's body.
	TimeToFirstByte time.Duration
	// ErrorAnswer is an endpoint's error response that was not passed on.
	ErrorAnswer *wire.Answer
}

// Proxy serves the requests of one host.
type Proxy struct {
	Board  *board.Board
	Meter  *meter.Meter
	Link   *link.Link
	Client *pool.Client
	Terms  *terms.Terms
	Log    zerolog.Logger
	Now    func() time.Time
	// Held is the account of the answers that the host keeps; nil means no limit.
	Held *held.Account
	// Usage bounds what customers use; nil means that they have no limits.
	Usage *usage.Table
	// Budget limits retries.
	Budget *retry.FleetBudget
	// ColdShare returns this host's share of a cold endpoint's rate limit, in requests
	// per second.
	ColdShare func(s *rules.Service, endpoint string) int
	// Split returns this host's view and contact, from which the side of a network split follows.
	Split func(now time.Time) split.View
	// LimitShare returns how many requests this host may send to an endpoint in any window,
	// of a limit of perSecond that the endpoint names for all hosts together.
	LimitShare func(endpoint string, perSecond float64) (most int, window time.Duration)
	// RoomShare returns this host's part of a number of requests in flight at an endpoint.
	RoomShare func(endpoint string, number int) int
	// AskOrigin asks other hosts for the release that began a stream; their answers are
	// recorded in the board.
	AskOrigin func(key origin.Key)
	// ReadReleases reads from the store which releases were registered since a time, up to now at
	// least, and records them in the board. It reports whether it could.
	ReadReleases func(ctx context.Context, since time.Time) bool
	// VerifyEndpoint reads an endpoint's registration from the store and reports whether its process and
	// release are still those of e.
	VerifyEndpoint func(ctx context.Context, e regis.Endpoint) (same bool, err error)
	// CheckWarm sends a health check to an endpoint and records whether it is warm.
	CheckWarm func(ctx context.Context, e regis.Endpoint)
	// StoreAge returns the time since the store last confirmed this host's view.
	StoreAge func(now time.Time) time.Duration
	// KeysValid reports whether a version of the rules was confirmed recently enough to accept the
	// keys in it.
	KeysValid func(version uint64) bool
	// OnNews is called when peer hosts should hear at once of a long prompt that was sent to
	// an endpoint, or of what an endpoint says of itself; it may be nil.
	OnNews func()

	// Prefixes records which endpoints have which prompt prefixes cached.
	Prefixes *PrefixTable

	// closesAt is when the host closes at the latest, nil unless it drains.
	closesAt atomic.Pointer[time.Time]
	// open ends when the requests in flight are ended, as the host closes.
	open        context.Context
	endRequests context.CancelFunc

	ends endTable
	// patience is that of the callers of resumable streams.
	patience patience

	mu     sync.Mutex
	rand   *rand.Rand
	queues map[string]*waitQueue
	// spills decides on the requests of plain services; mu guards it.
	spills *spill.Table
}

// MaxAnswer is the largest answer of an endpoint, in bytes, as large as a caller's request
// may be. The answers that one endpoint sends at the same time share it until they are
// passed on; MaxHeld bounds all that a host with enough memory keeps until they are written.
const (
	MaxAnswer = 16 << 20
	MaxHeld   = 256 << 20
)

// New returns a Proxy. The caller sets the exported fields before use.
func New() *Proxy {
	rnd := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	open, end := context.WithCancel(context.Background())
	return &Proxy{
		open: open, endRequests: end,
		rand: rnd, spills: spill.New(rnd), Prefixes: NewPrefixTable(), queues: map[string]*waitQueue{},
		RoomShare:      func(_ string, number int) int { return number },
		Split:          func(time.Time) split.View { return split.View{} },
		CheckWarm:      func(context.Context, regis.Endpoint) {},
		VerifyEndpoint: func(context.Context, regis.Endpoint) (bool, error) { return true, nil },
	}
}

// Serve serves a request that a caller sent to this host. The request may be
// relayed to another region.
func (p *Proxy) Serve(ctx context.Context, r Request, sink client.Sink) Report {
	return p.serve(ctx, r, sink, true)
}

// ServeRelayed serves a request that another region relayed, in this region only.
func (p *Proxy) ServeRelayed(ctx context.Context, r Relayed, sink client.Sink) Report {
	return p.serve(ctx, r.Request, sink, false)
}

// CloseAt bounds the deadlines of the requests that arrive from now on, as the host closes at a time.
func (p *Proxy) CloseAt(end time.Time) { p.closesAt.Store(&end) }

// EndRequests ends the requests in flight: each gets an answer that states whether it may have run, and
// streams that have begun break off.
func (p *Proxy) EndRequests() { p.endRequests() }

func (p *Proxy) tellPeers() {
	if p.OnNews != nil {
		p.OnNews()
	}
}

// task is the state of one request in flight.
type task struct {
	Request
	suspects suspects
	// mayCross reports whether the request may be relayed to another region.
	mayCross bool
	// tried holds the endpoints, hosts and regions that were tried. The keys of regions
	// start with regionKeyPrefix.
	tried map[string]bool
	// barred holds the regions that would continue the stream at another release.
	barred map[string]bool
	// ran combines what all attempts so far report about the run.
	ran    fault.Ran
	report Report
	// received is what the caller has received of its answer, also through the host that relayed the
	// request.
	received splice.Answer
	// lastEventID is the id of the last event passed to the caller.
	lastEventID int
	// release is that of the endpoints which may continue the stream; nil means any.
	release *string
	// runs counts the attempts that may have run.
	runs int
	// paid is the number of runs that were charged to the customer, 0 if it has no limit; relayRuns
	// the number of attempts that a relay made and that may have run before the one that succeeded.
	paid, relayRuns int
	// lastRefusal is the refusal of the last failed attempt.
	lastRefusal *fault.Refusal
	// queuedAt is when the request first joined the queue. The request keeps its place
	// in the queue by this time when it joins again.
	queuedAt time.Time
	// failedTime is the total duration of failed attempts.
	failedTime time.Duration
	// unpaid reports whether the retry that comes next is not yet charged to the budget.
	unpaid bool
	// unreached counts the attempts that opened no connection.
	unreached int
	// silent is the endpoint that was given up as silent and may be tried once more, empty if
	// there is none.
	silent string
	// paced reports whether the request waits before its next attempt, as endpoints refused it
	// too often.
	paced bool
	// holds counts the times that the request waited for an endpoint to continue its stream.
	holds int
	// errorAnswer is the last error response of an endpoint that was not passed on.
	errorAnswer *wire.Answer
}

func newTask(r *Request, mayCross bool) *task {
	t := &task{
		Request: *r, suspects: newSuspects(r), mayCross: mayCross, tried: map[string]bool{}, ran: fault.RanNo,
		lastEventID: r.LastEventID, release: r.Release,
	}
	if r.Begun {
		t.received = splice.NewBegun()
	}
	return t
}

func (p *Proxy) serve(ctx context.Context, r Request, sink client.Sink, mayCross bool) Report {
	if end := p.closesAt.Load(); end != nil && end.Before(r.Deadline) {
		r.Deadline = *end
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	ctx, abort := context.WithCancelCause(ctx)
	defer abort(nil)
	defer context.AfterFunc(p.open, func() { abort(fault.ErrClosing) })()
	t := newTask(&r, mayCross)
	t.report.Region = p.Board.Region
	sink = p.observedSink(t, sink)
	var refusal *fault.Refusal
	if mayCross {
		// The region that relayed a request has already counted and charged it.
		if refusal = p.takeUsage(t); refusal != nil {
			t.report.Refusal = refusal
			return t.report
		}
		p.Budget.AddRequest(p.Now(), r.Service)
		p.patience.record(&r)
		refusal = p.setRelease(ctx, t)
	}
	if refusal == nil {
		refusal = p.retryLoop(ctx, t, sink)
	}
	if refusal != nil {
		refusal = refusal.WithRan(refusal.Ran.Combine(t.ran))
	}
	p.settleUsage(t, refusal)
	switch {
	case refusal == nil || t.errorAnswer == nil || t.report.Started:
	case !mayCross:
		t.report.ErrorAnswer = t.errorAnswer
	case refusal.Code != fault.Cancelled:
		refusal = passAnswer(t.errorAnswer, sink)
	}
	t.report.Refusal, t.report.Runs = refusal, t.runs
	return t.report
}

// passAnswer passes an endpoint's error response to the caller, who learns more
// from it than from a refusal of ours.
func passAnswer(a *wire.Answer, sink client.Sink) *fault.Refusal {
	if err := sink.Head(a.Head); err != nil {
		return newRefusal(fault.Cancelled, fault.RanYes, err, "caller disconnected")
	}
	if err := sink.Data(a.Body); err != nil {
		return newRefusal(fault.Cancelled, fault.RanYes, err, "caller disconnected")
	}
	return nil
}

// observedSink returns a sink that records the progress of the answer in t and
// passes only the first head on: later attempts resume the same answer.
func (p *Proxy) observedSink(t *task, sink client.Sink) client.Sink {
	return client.Sink{
		Head: func(h wire.Head) error {
			if t.report.Started {
				return nil
			}
			t.received = t.received.WithHead(h)
			t.report.Status = h.Status()
			t.report.Started = true
			if t.Route.Kind == rules.Stream && h.Status() == http.StatusOK {
				p.recordStart(t, h)
			}
			return sink.Head(h)
		},
		Data: func(data []byte) error {
			if t.report.TimeToFirstByte == 0 {
				t.report.TimeToFirstByte = p.Now().Sub(t.Arrived)
				p.Meter.ObserveFirstToken(t.Service, t.report.TimeToFirstByte)
			}
			t.received = t.received.WithData(data)
			if t.Route.Kind == rules.Stream {
				if id := stream.LastID(data); id != stream.NoID {
					t.lastEventID = id
				}
			}
			return sink.Data(data)
		},
	}
}

// result is the outcome of one attempt, at a local endpoint or in another region.
type result struct {
	whole bool
	// callerLeft reports whether the caller disconnected.
	callerLeft bool
	// started reports whether a part of the answer was passed on.
	started bool
	reason  retry.Reason
	ran     fault.Ran
	// relayRuns is the number of attempts of a relay that may have run, 0 if not known.
	relayRuns int
	// uncharged reports whether the next attempt is not charged to the retry budget,
	// as this one reached no endpoint.
	uncharged bool
	refusal   *fault.Refusal
	// errorAnswer is the endpoint's error response, if it was not passed on.
	errorAnswer *wire.Answer
	// head describes the answer of a local endpoint, also if it was not passed on.
	head localHead
}

// retryLoop makes attempts until one returns a whole answer. It returns a refusal if
// the request is refused or no further attempt may be made.
func (p *Proxy) retryLoop(ctx context.Context, t *task, sink client.Sink) *fault.Refusal {
	for {
		if r := p.gate(ctx, t); r != nil {
			return r
		}
		if p.mustHold(ctx, t) {
			continue
		}
		d := p.choose(t)
		if d.refusal != nil {
			if p.mayHold(t) {
				p.hold(ctx, t, d.refusal.Message)
				continue
			}
			if t.goBack(d.refusal) {
				continue
			}
			if t.lastRefusal != nil && d.refusal.Code == fault.NoEndpoint {
				// The last refusal tells the caller more than that no endpoint is left.
				return p.withReturn(t, t.lastRefusal)
			}
			return d.refusal
		}
		if d.wait {
			p.waitTurn(ctx, t, d)
			continue
		}
		t.report.Attempts++
		p.chargeAttempt(t)
		start := p.Now()
		res := p.attempt(ctx, t, d, sink)
		if res.whole {
			t.relayRuns = res.relayRuns
			return nil
		}
		t.recordFailure(d, res, p.Now().Sub(start))
		if r := p.afterFailure(ctx, t, res); r != nil {
			return r
		}
	}
}

// goBack reports whether a request that no other endpoint takes may be sent once more to the
// one that was given up as silent, which may have gone on by now.
func (t *task) goBack(refusal *fault.Refusal) bool {
	if t.silent == "" || refusal.Code != fault.NoEndpoint {
		return false
	}
	delete(t.tried, t.silent)
	t.silent = ""
	return true
}

// recordFailure records the result of a failed attempt, which took a while.
func (t *task) recordFailure(d decision, res result, took time.Duration) {
	t.failedTime += took
	t.lastRefusal = res.refusal
	if res.errorAnswer != nil {
		t.errorAnswer = res.errorAnswer
	}
	if res.reason == retry.Dial {
		t.unreached++
	}
	if d.region == "" && res.reason == retry.Silent {
		t.silent = d.endpoint.ID
	}
	t.ran = t.ran.Combine(res.ran)
	// An attempt that most likely reached no endpoint does not cost a begun stream its rest.
	notReached := res.uncharged && t.resumes()
	if res.ran != fault.RanNo && !notReached {
		t.runs += max(1, res.relayRuns)
	}
}

// accept returns an error if the caller can't get an answer with the head: it is not the rest of what the
// caller has, has an encoding that the caller did not ask for, or a status that may not be repeated.
func (t *task) accept(h wire.Head) error {
	if err := t.received.Accept(h); err != nil {
		return err
	}
	return cmp.Or(head.CheckEncoding(h, t.Fields), head.CheckPromise(h))
}

func (p *Proxy) attempt(ctx context.Context, t *task, d decision, sink client.Sink) result {
	begun, after := t.received.Begun(), t.lastEventID
	var part splice.Part
	sink = recordingSink(sink, &part)
	var res result
	if d.region != "" {
		res = p.attemptRemote(ctx, t, d, sink)
	} else {
		res = p.attemptLocal(ctx, t, d, sink)
	}
	p.recordPart(t, begun, after, part, d.region != "", res)
	return res
}

// stalePollInterval is the time between checks whether the state is fresh again
// after a pause of the process.
const stalePollInterval = 10 * time.Millisecond

// gate returns a refusal if the deadline has passed, the caller has disconnected, also while the
// host was too busy to read the end of its connection, the caller's key is no longer accepted, or the request or a part of its prompt is quarantined.
// After a pause of the process it blocks until the state of endpoints and hosts is
// refreshed.
func (p *Proxy) gate(ctx context.Context, t *task) *fault.Refusal {
	for p.Board.Health.Stale(p.Now()) {
		select {
		case <-ctx.Done():
			return p.contextRefusal(ctx)
		case <-time.After(stalePollInterval):
		}
	}
	if ctx.Err() != nil || !p.Now().Before(t.Deadline) {
		return p.contextRefusal(ctx)
	}
	if t.Ended != nil && t.Ended() {
		p.Meter.EndedRequests.Inc()
		return fault.New(fault.Cancelled, fault.RanNo, "caller disconnected before the request was placed")
	}
	if r := p.keyRefusal(t); r != nil {
		return r
	}
	return p.quarantineRefusal(t)
}

// contextRefusal returns the refusal of a request whose caller disconnected, whose host closes, or
// whose deadline has passed.
func (p *Proxy) contextRefusal(ctx context.Context) *fault.Refusal {
	switch {
	case fault.CallerLeft(ctx):
		return fault.New(fault.Cancelled, fault.RanNo, "caller disconnected")
	case errors.Is(context.Cause(ctx), fault.ErrClosing):
		return fault.New(fault.Leaving, fault.RanNo, "host is shutting down").WithRetryAfter(time.Millisecond)
	}
	return fault.New(fault.Deadline, fault.RanNo, "deadline passed")
}

// afterFailure decides whether a failed attempt is retried. It returns nil for a
// retry, else the refusal to return to the caller.
func (p *Proxy) afterFailure(ctx context.Context, t *task, res result) *fault.Refusal {
	if res.callerLeft || fault.CallerLeft(ctx) {
		return fault.New(fault.Cancelled, res.ran, "caller disconnected")
	}
	why := p.noRetryReason(t)
	refusedOften := t.report.Attempts-t.unreached >= t.AttemptsLeft+extraAttempts
	switch {
	case why != "":
	case refusedOften && p.mayHold(t):
		t.paced, t.unpaid = true, !res.uncharged
	case refusedOften:
		why = "refused too often"
	case res.uncharged || p.Budget.Spend(p.Now(), t.Service):
	case p.mayHold(t):
		t.unpaid = true
	default:
		why = "retry budget used up"
	}
	verdict := "retried"
	if why != "" {
		verdict = why
	}
	p.Log.Info().Str("request", t.ID).Str("service", t.Service).Str("reason", string(res.reason)).
		Str("ran", string(res.ran)).Str("endpoint", t.report.Endpoint).Str("region", t.report.Region).
		Int("tries", t.report.Attempts).Int("runs", t.runs).Dur("left", t.Deadline.Sub(p.Now())).
		AnErr("cause", res.refusal.Cause).Str("outcome", verdict).Msg("attempt failed")
	if why == "" {
		p.Meter.CountRetry(res.reason)
		return nil
	}
	p.Meter.CountRetryDenied(res.reason)
	return res.refusal
}

// repeatable reports whether another attempt may follow one that may have run.
func (t *task) repeatable() bool {
	if t.report.Started {
		return t.resumes() && t.release != nil
	}
	return t.Route.Retryable()
}

// noRetryReason returns why the request must not be retried, or an empty string if
// it may be. The text is logged under the key outcome.
func (p *Proxy) noRetryReason(t *task) string {
	now := p.Now()
	switch {
	case t.report.Started && !t.resumes():
		return "answer begun"
	case t.report.Started && t.release == nil:
		return "release that began the stream is not known"
	case !now.Before(t.Deadline):
		return "deadline passed"
	case t.ran != fault.RanNo && !t.Route.Retryable():
		return "may have run and may not be repeated"
	case t.runs >= t.AttemptsLeft:
		return "route's attempts used up"
	}
	return ""
}

// extraAttempts is the number of attempts that a request may make beyond the route's
// limit, as attempts that certainly did not run do not count towards that limit.
const extraAttempts = 3

// newRefusal returns a refusal with a fixed text; err is its cause and may be nil.
func newRefusal(code fault.Code, ran fault.Ran, err error, text string) *fault.Refusal {
	r := fault.New(code, ran, "%s", text)
	if err != nil {
		r = r.WithCause(err)
	}
	return r
}
