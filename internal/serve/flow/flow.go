// Package flow carries a request through decisions and attempts to its one
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
)

// Request is what a caller asks for, after it was checked.
type Request struct {
	ID         string
	Caller     *invent.Caller
	Service    *invent.Service
	Method     string
	Path       string
	Fields     []wire.Field
	Body       []byte
	Deadline   time.Time
	Repeatable bool
	// Prefix is the hash of the prompt's beginning; 0 is none.
	Prefix uint64
	Stream bool
	// From is the region in which the request entered.
	From string
}

// Relayed is a request that another region sent. It has no way to be sent on.
type Relayed struct{ Request Request }

// Report says how a request went.
type Report struct {
	// Refusal is nil where the answer was whole.
	Refusal *fault.Refusal
	// Begun says that a part of the answer was passed on.
	Begun    bool
	Status   int
	Tries    int
	Endpoint string
	Region   string
	Crossing meter.Crossing
	First    time.Duration
	Queued   time.Duration
	Resumes  int
}

// Flow carries requests of one host.
type Flow struct {
	board     *board.Board
	meter     *meter.Meter
	link      *link.Link
	now       func() time.Time
	maxAnswer int
	turn      atomic.Uint64

	// mu makes a choice and its counting one step.
	mu   sync.Mutex
	rand *rand.Rand
	pool sync.Pool
}

// Option changes how a flow is made.
type Option func(*Flow)

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(f *Flow) { f.now = now } }

// WithMaxAnswer bounds an answer, in bytes.
func WithMaxAnswer(n int) Option { return func(f *Flow) { f.maxAnswer = n } }

const defaultAnswer = 64 << 20

// New returns the flow of a host.
func New(b *board.Board, m *meter.Meter, l *link.Link, opts ...Option) *Flow {
	f := &Flow{
		board: b, meter: m, link: l, now: time.Now, maxAnswer: defaultAnswer,
		rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		pool: sync.Pool{New: func() any { return &scratch{} }},
	}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Enter carries a request that entered in this region; it may go to another one.
func (f *Flow) Enter(ctx context.Context, r Request, sink client.Sink) Report {
	return f.carry(ctx, r, sink, true)
}

// Carry carries out a request that another region sent, in this region only.
func (f *Flow) Carry(ctx context.Context, r Relayed, sink client.Sink) Report {
	return f.carry(ctx, r.Request, sink, false)
}

// bytesPerToken is the usual length of a token of a prompt.
const bytesPerToken = 4

// charge counts the service that the caller got.
func (f *Flow) charge(t *trip) {
	if t.Service.Queue != invent.Fair || t.report.Tries == 0 {
		return
	}
	tokens := queue.PromptWeight*float64(len(t.Body))/bytesPerToken + queue.OutputWeight*float64(t.parts)
	f.board.Line(t.Service).Charge(t.Caller.Name, tokens)
}

// trip is the state of one request on its way.
type trip struct {
	Request
	// inv is the configuration that the next decision goes by.
	inv    *invent.Inventory
	cross  bool
	start  time.Time
	tried  map[string]bool
	ran    fault.Ran
	report Report
	// parts counts those of the answer, a token each in a streamed one.
	parts int
	// closed says that the closing event of a streamed answer was passed on.
	closed bool
	// joined is when the request first waited; it keeps its place by it.
	joined time.Time
}

func (f *Flow) carry(ctx context.Context, r Request, sink client.Sink, cross bool) Report {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	t := &trip{Request: r, cross: cross, start: f.now(), tried: map[string]bool{}, ran: fault.RanNo}
	t.report.Region, t.report.Crossing = f.board.Region, meter.Stayed
	f.board.Retries.Earn(r.Service.Name)
	refusal := f.travel(ctx, t, sink)
	if refusal != nil {
		refusal = refusal.WithRan(refusal.Ran.Worse(t.ran))
	}
	t.report.Refusal = refusal
	f.charge(t)
	if t.report.Queued > 0 {
		f.meter.Queue(r.Service.Name, t.report.Queued)
	}
	if cross {
		f.meter.Crossing(r.Service.Name, t.report.Crossing)
	}
	return t.report
}

// travel makes attempts until one gives a whole answer, or returns why none does.
func (f *Flow) travel(ctx context.Context, t *trip, sink client.Sink) *fault.Refusal {
	for {
		if r := f.Gate(ctx, t.Deadline); r != nil {
			return r
		}
		if r := f.renew(t); r != nil {
			return r
		}
		d := f.choose(t)
		switch d.kind {
		case place.Refuse:
			return refusalOf(d)
		case place.Wait:
			if r := f.wait(ctx, t, d); r != nil {
				return r
			}
			continue
		case place.Here, place.There:
		}
		t.report.Tries++
		res := f.attempt(ctx, t, d, sink)
		if res.whole {
			return nil
		}
		t.ran = t.ran.Worse(res.ran)
		if r := f.after(ctx, t, res); r != nil {
			return r
		}
	}
}

// renew brings the request's caller and service in line with the configuration
// in force, which may have changed while it waited.
func (f *Flow) renew(t *trip) *fault.Refusal {
	inv := f.board.Revisions.Inventory()
	if inv == nil {
		return fault.New(fault.NotReady, fault.RanNo, "host has no configuration").WithRetryAfter(time.Second)
	}
	c, ok := inv.CallerByName(t.Caller.Name)
	if !ok {
		return fault.New(fault.Forbidden, fault.RanNo, "caller %s is no longer listed", t.Caller.Name)
	}
	s, ok := inv.Service(t.Service.Name)
	if !ok || !c.May(s.Name) {
		return fault.New(fault.NoService, fault.RanNo, "service %s is no longer offered", t.Service.Name)
	}
	t.Caller, t.Service, t.inv = c, s, inv
	return nil
}

// result is how one attempt, here or in another region, ended.
type result struct {
	whole  bool
	begun  bool
	left   bool
	reason retry.Reason
	ran    fault.Ran
	// free says that another attempt is not charged to the retry budget: the
	// place that failed gets none of it, and is passed over from now on.
	free bool
	// refusal is what is told if no other attempt is made.
	refusal *fault.Refusal
}

// after decides on a failed attempt: nil means that another one is made.
func (f *Flow) after(ctx context.Context, t *trip, res result) *fault.Refusal {
	if res.left || errors.Is(ctx.Err(), context.Canceled) {
		return fault.New(fault.Cancelled, res.ran, "caller has left")
	}
	verdict := retry.Decide(f.now(), t.Deadline, t.Repeatable, retry.Failure{
		Reason: res.reason, Ran: res.ran, Begun: res.begun, Tries: t.report.Tries,
	})
	if verdict.Again && !res.free && !f.board.Retries.Spend(t.Service.Name) {
		verdict = retry.Verdict{Why: "retry budget used up"}
	}
	if verdict.Again {
		f.meter.Retry(res.reason)
		return nil
	}
	f.meter.Denied(res.reason)
	out := res.refusal
	if out.RetryAfter == 0 && !res.begun {
		out = out.WithRetryAfter(time.Second)
	}
	return out
}

const pauseStep = 20 * time.Millisecond

// Gate stops what may not be dispatched now: after the deadline, after its
// sender left, or on beliefs from before a pause of the process.
func (f *Flow) Gate(ctx context.Context, deadline time.Time) *fault.Refusal {
	for f.board.Pulse.Doubtful(f.now()) {
		select {
		case <-ctx.Done():
			return f.ended(ctx)
		case <-time.After(pauseStep):
		}
	}
	if ctx.Err() != nil || !f.now().Before(deadline) {
		return f.ended(ctx)
	}
	return nil
}

func (f *Flow) ended(ctx context.Context) *fault.Refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return fault.New(fault.Cancelled, fault.RanNo, "caller has left")
	}
	return fault.New(fault.Deadline, fault.RanNo, "deadline passed").WithRetryAfter(time.Second)
}

func refusalOf(d decision) *fault.Refusal {
	code := fault.NoEndpoint
	switch d.reason {
	case place.NoRegion:
		code = fault.NoRegion
	case place.Late:
		code = fault.Busy
	case place.Full:
		code = fault.QueueFull
	case place.NoEndpoint:
	}
	return fault.New(code, fault.RanNo, "%s", d.reason).WithRetryAfter(d.retry)
}

// wait holds a request in the service's queue until its turn.
func (f *Flow) wait(ctx context.Context, t *trip, d decision) *fault.Refusal {
	now := f.now()
	if t.joined.IsZero() {
		t.joined = now
	}
	line := f.board.Line(t.Service)
	it := line.Join(t.joined, t.Service.Priority, t.Caller.Name)
	if it == nil {
		return fault.New(fault.QueueFull, fault.RanNo, "%d requests wait for %s", line.Len(), t.Service.Name).
			WithRetryAfter(place.RetryAfter(d.expect))
	}
	defer func() { t.report.Queued += f.now().Sub(now) }()
	select {
	case <-it.Turn:
		if line.PutOut(it) {
			return fault.New(fault.QueueFull, fault.RanNo, "queue of %s is full", t.Service.Name).
				WithRetryAfter(place.RetryAfter(d.expect))
		}
		return nil
	case <-ctx.Done():
		if !line.Leave(it) {
			// The turn came at the same moment: it goes to the next one.
			line.Wake(f.now(), 1)
		}
		return f.ended(ctx)
	}
}

// WakeAll gives waiting requests of every queue another try, as load elsewhere
// may have changed.
func (f *Flow) WakeAll() {
	for _, l := range f.board.Lines() {
		l.Wake(f.now(), wakeAtOnce)
	}
}

// wakeAtOnce is the number of requests that try again together.
const wakeAtOnce = 4

func (t *trip) usual() (first, work time.Duration) {
	const ms = float64(time.Millisecond)
	return time.Duration(t.Service.PrefillMS * ms), time.Duration(t.Service.WorkMS * ms)
}

func (f *Flow) attempt(ctx context.Context, t *trip, d decision, sink client.Sink) result {
	if d.kind == place.There {
		return f.there(ctx, t, d, sink)
	}
	return f.here(ctx, t, d, sink)
}

func refusal(code fault.Code, ran fault.Ran, err error, text string) *fault.Refusal {
	return fault.New(code, ran, "%s", text).WithCause(fmt.Errorf("%s: %w", code, err))
}
