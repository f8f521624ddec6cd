// Package flow serves requests of services in the inventory: it places each request
// on an endpoint or in another region, retries failed attempts, and returns one
// answer or refusal.
package flow

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/link"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/route/place"
	"github.com/hyssopspindle/hyssopspindle/internal/route/queue"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/held"
)

// Request is a caller's request after validation.
type Request struct {
	ID        string
	Caller    *invent.Caller
	Service   *invent.Service
	Method    string
	Path      string
	Fields    []wire.Field
	Body      []byte
	Deadline  time.Time
	Retryable bool
	// Prefix is the hash of the prompt prefix; 0 means none.
	Prefix uint64
	Stream bool
	// EntryRegion is the region of the host that the caller sent the request to.
	EntryRegion string
}

// Relayed is a request that another region relayed. Its type keeps it from being
// relayed again.
type Relayed struct{ Request Request }

// Report is the outcome of a request.
type Report struct {
	// Refusal is nil if the whole answer was passed on.
	Refusal *fault.Refusal
	// Started reports whether a part of the answer was passed on.
	Started  bool
	Status   int
	Attempts int
	Endpoint string
	Region   string
	Crossing meter.Crossing
	// TimeToFirstByte is the time to the first byte of the answer's body.
	TimeToFirstByte time.Duration
	// QueueTime is the time that the request waited in the service's queue.
	QueueTime time.Duration
	// Resumes counts how often a broken stream was resumed.
	Resumes int
}

// Flow serves the requests of one host.
type Flow struct {
	board     *board.Board
	meter     *meter.Meter
	link      *link.Link
	now       func() time.Time
	maxAnswer int
	held      *held.Account
	log       zerolog.Logger
	// roundRobin counts the decisions, for the round-robin policy.
	roundRobin atomic.Uint64

	// mu makes a decision and the counting of its request atomic.
	mu          sync.Mutex
	rand        *rand.Rand
	scratchPool sync.Pool
}

// Option configures a Flow.
type Option func(*Flow)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(f *Flow) { f.now = now } }

// WithMaxAnswer sets the largest size of an answer, in bytes.
func WithMaxAnswer(n int) Option { return func(f *Flow) { f.maxAnswer = n } }

// WithHeld sets the account of the answers that are kept until they are passed on.
func WithHeld(a *held.Account) Option { return func(f *Flow) { f.held = a } }

// WithLog sets the log of failed attempts.
func WithLog(log zerolog.Logger) Option { return func(f *Flow) { f.log = log } }

// defaultMaxAnswer is the default of the largest answer, in bytes.
const defaultMaxAnswer = 64 << 20

// New returns the flow of a host.
func New(b *board.Board, m *meter.Meter, l *link.Link, opts ...Option) *Flow {
	f := &Flow{
		board: b, meter: m, link: l, now: time.Now, maxAnswer: defaultMaxAnswer, log: zerolog.Nop(),
		rand:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		scratchPool: sync.Pool{New: func() any { return &scratch{} }},
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Serve serves a request that a caller sent to a host of this region. The request may
// be relayed to another region.
func (f *Flow) Serve(ctx context.Context, r Request, sink client.Sink) Report {
	return f.serve(ctx, r, sink, true)
}

// ServeRelayed serves a request that another region relayed, in this region only.
func (f *Flow) ServeRelayed(ctx context.Context, r Relayed, sink client.Sink) Report {
	return f.serve(ctx, r.Request, sink, false)
}

// bytesPerToken is the usual length of a prompt token.
const bytesPerToken = 4

// charge charges the tokens of the request to its caller in a fair queue.
func (f *Flow) charge(t *task) {
	if t.Service.Queue != invent.Fair || t.report.Attempts == 0 {
		return
	}
	tokens := queue.PromptWeight*float64(len(t.Body))/bytesPerToken + queue.OutputWeight*float64(t.answerParts)
	f.board.Queue(t.Service).Charge(t.Caller.Name, tokens)
}

// task is the state of one request in flight.
type task struct {
	Request
	// inventory is the configuration for the next decision.
	inventory *invent.Inventory
	// mayCross reports whether the request may be relayed to another region.
	mayCross bool
	start    time.Time
	// tried holds the endpoints, hosts and regions that were tried. The keys of regions
	// start with regionKeyPrefix.
	tried  map[string]bool
	ran    fault.Ran
	report Report
	// answerParts counts the parts of the answer; a part of a stream is one token.
	answerParts int
	// closingSent reports whether the closing event of a stream was passed on.
	closingSent bool
	// queuedAt is when the request first joined the queue. The request keeps its place
	// in the queue by this time when it joins again.
	queuedAt time.Time
}

func (f *Flow) serve(ctx context.Context, r Request, sink client.Sink, mayCross bool) Report {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	t := &task{Request: r, mayCross: mayCross, start: f.now(), tried: map[string]bool{}, ran: fault.RanNo}
	t.report.Region, t.report.Crossing = f.board.Region, meter.CrossingNone
	f.board.Retries.AddRequest(r.Service.Name)
	refusal := f.retryLoop(ctx, t, sink)
	if refusal != nil {
		refusal = refusal.WithRan(refusal.Ran.Combine(t.ran))
	}
	t.report.Refusal = refusal
	f.charge(t)
	if t.report.QueueTime > 0 {
		f.meter.ObserveQueueTime(r.Service.Name, t.report.QueueTime)
	}
	if mayCross {
		f.meter.CountCrossing(r.Service.Name, t.report.Crossing)
	}
	return t.report
}

// retryLoop makes attempts until one returns a whole answer. It returns a refusal if
// the request is refused or no further attempt may be made.
func (f *Flow) retryLoop(ctx context.Context, t *task, sink client.Sink) *fault.Refusal {
	for {
		if r := f.Gate(ctx, t.Deadline); r != nil {
			return r
		}
		if r := f.refreshConfig(t); r != nil {
			return r
		}
		d := f.choose(t)
		switch d.kind {
		case place.Refuse:
			return decisionRefusal(d)
		case place.Wait:
			if r := f.waitTurn(ctx, t, d); r != nil {
				return r
			}
			continue
		case place.SendLocal, place.SendRemote:
		}
		t.report.Attempts++
		res := f.attempt(ctx, t, d, sink)
		if res.whole {
			return nil
		}
		t.ran = t.ran.Combine(res.ran)
		if r := f.afterFailure(ctx, t, res); r != nil {
			return r
		}
	}
}

// refreshConfig takes the request's caller and service from the current inventory,
// which may have changed while the request waited.
func (f *Flow) refreshConfig(t *task) *fault.Refusal {
	inv := f.board.Revisions.Inventory()
	if inv == nil {
		return fault.New(fault.NotReady, fault.RanNo, "host has no configuration").WithRetryAfter(time.Second)
	}
	c, ok := inv.CallerByName(t.Caller.Name)
	if !ok {
		return fault.New(fault.Forbidden, fault.RanNo, "caller %s is no longer in the inventory", t.Caller.Name)
	}
	s, ok := inv.Service(t.Service.Name)
	if !ok || !c.MayUse(s.Name) {
		return fault.New(fault.NoService, fault.RanNo, "service %s is no longer available to the caller", t.Service.Name)
	}
	t.Caller, t.Service, t.inventory = c, s, inv
	return nil
}

// result is the outcome of one attempt, at a local endpoint or in another region.
type result struct {
	whole bool
	// started reports whether a part of the answer was passed on.
	started bool
	// callerLeft reports whether the caller disconnected.
	callerLeft bool
	reason     retry.Reason
	ran        fault.Ran
	// uncharged reports whether the next attempt is not charged to the retry budget:
	// it adds no load to the failed host or region, which is not tried again.
	uncharged bool
	// refusal is returned to the caller if no further attempt is made.
	refusal *fault.Refusal
}

// afterFailure decides whether a failed attempt is retried. It returns nil for a
// retry, else the refusal to return to the caller.
func (f *Flow) afterFailure(ctx context.Context, t *task, res result) *fault.Refusal {
	if res.callerLeft || errors.Is(ctx.Err(), context.Canceled) {
		return fault.New(fault.Cancelled, res.ran, "caller disconnected")
	}
	verdict := retry.Decide(f.now(), t.Deadline, t.Retryable, retry.Failure{
		Reason: res.reason, Ran: res.ran, Started: res.started, Attempts: t.report.Attempts,
	})
	if verdict.Retry && !res.uncharged && !f.board.Retries.Spend(t.Service.Name) {
		verdict = retry.Verdict{DenyReason: "retry budget used up"}
	}
	outcome := verdict.DenyReason
	if verdict.Retry {
		outcome = "retried"
	}
	f.log.Info().Str("request", t.ID).Str("service", t.Service.Name).Str("reason", string(res.reason)).Str("ran", string(res.ran)).
		Str("endpoint", t.report.Endpoint).Str("region", t.report.Region).Int("tries", t.report.Attempts).
		AnErr("cause", res.refusal.Cause).Str("outcome", outcome).Msg("attempt failed")
	if verdict.Retry {
		f.meter.CountRetry(res.reason)
		return nil
	}
	f.meter.CountRetryDenied(res.reason)
	refusal := res.refusal
	if refusal.RetryAfter == 0 && !res.started {
		refusal = refusal.WithRetryAfter(time.Second)
	}
	return refusal
}

// stalePollInterval is the time between checks whether the state is fresh again
// after a pause of the process.
const stalePollInterval = 20 * time.Millisecond

// Gate returns a refusal if the deadline has passed or ctx is cancelled. After a
// pause of the process it blocks until the state of endpoints and hosts is refreshed.
func (f *Flow) Gate(ctx context.Context, deadline time.Time) *fault.Refusal {
	for f.board.Health.Stale(f.now()) {
		select {
		case <-ctx.Done():
			return f.contextRefusal(ctx)
		case <-time.After(stalePollInterval):
		}
	}
	if ctx.Err() != nil || !f.now().Before(deadline) {
		return f.contextRefusal(ctx)
	}
	return nil
}

// contextRefusal returns the refusal of a request whose caller disconnected or whose
// deadline has passed.
func (f *Flow) contextRefusal(ctx context.Context) *fault.Refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return fault.New(fault.Cancelled, fault.RanNo, "caller disconnected")
	}
	return fault.New(fault.Deadline, fault.RanNo, "deadline passed").WithRetryAfter(time.Second)
}

// decisionRefusal returns the refusal of a decision to refuse the request.
func decisionRefusal(d decision) *fault.Refusal {
	code := fault.NoEndpoint
	switch d.reason {
	case place.NoRegion:
		code = fault.NoRegion
	case place.TooLate:
		code = fault.Busy
	case place.Full:
		code = fault.QueueFull
	case place.NoEndpoint:
	}
	return fault.New(code, fault.RanNo, "%s", d.reason).WithRetryAfter(d.retryAfter)
}

// waitTurn blocks until the request has its turn in the service's queue. It returns a
// refusal if the queue is full, the request is evicted from it, or the context ends.
func (f *Flow) waitTurn(ctx context.Context, t *task, d decision) *fault.Refusal {
	now := f.now()
	if t.queuedAt.IsZero() {
		t.queuedAt = now
	}
	q := f.board.Queue(t.Service)
	waiter := q.Join(t.queuedAt, t.Service.Priority, t.Caller.Name)
	if waiter == nil {
		return fault.New(fault.QueueFull, fault.RanNo, "%d requests are queued for %s", q.Len(), t.Service.Name).
			WithRetryAfter(place.RetryAfter(d.expectedLatency))
	}
	defer func() { t.report.QueueTime += f.now().Sub(now) }()
	select {
	case <-waiter.Ready:
		if q.Evicted(waiter) {
			return fault.New(fault.QueueFull, fault.RanNo, "queue of %s is full", t.Service.Name).
				WithRetryAfter(place.RetryAfter(d.expectedLatency))
		}
		return nil
	case <-ctx.Done():
		if !q.Leave(waiter) {
			// The request was woken at the same moment: wake the next one instead.
			q.Wake(f.now(), 1)
		}
		return f.contextRefusal(ctx)
	}
}

// WakeAll wakes requests in all queues for another decision, as load outside
// this host may have changed.
func (f *Flow) WakeAll() {
	for _, q := range f.board.NonEmptyQueues() {
		q.Wake(f.now(), wakeBatch)
	}
}

// wakeBatch is the number of requests of a queue that WakeAll wakes at once.
const wakeBatch = 4

// configuredTimes returns the configured prefill time and work time of the service.
func (t *task) configuredTimes() (first, work time.Duration) {
	const ms = float64(time.Millisecond)
	return time.Duration(t.Service.PrefillMS * ms), time.Duration(t.Service.WorkMS * ms)
}

func (f *Flow) attempt(ctx context.Context, t *task, d decision, sink client.Sink) result {
	if d.kind == place.SendRemote {
		return f.attemptRemote(ctx, t, d, sink)
	}
	return f.attemptLocal(ctx, t, d, sink)
}

// newRefusal returns a refusal with a fixed text and err as its cause.
func newRefusal(code fault.Code, ran fault.Ran, err error, text string) *fault.Refusal {
	return fault.New(code, ran, "%s", text).WithCause(fmt.Errorf("%s: %w", code, err))
}
