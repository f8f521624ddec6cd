// Package carry takes a request that came by a published route through decisions
// and attempts to its one answer or refusal.
package carry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/terms"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/link"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/kept"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
)

// Request is what a caller asks for, after its route was found.
type Request struct {
	ID      string
	Version uint64
	Route   *rules.Route
	Service string
	Method  string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Fields []wire.Field
	Body   []byte
	// Arrived is when the caller's request came, at whichever host.
	Arrived  time.Time
	Deadline time.Time
	// Away is the time to the caller's host and back, for a request of another region.
	Away   time.Duration
	Prompt terms.Prompt
	// After is the id of the last event that the caller has, stream.NoID for none.
	After int
	// From is the region in which the request entered.
	From string
	// Tries is the number of endpoints that may still be tried.
	Tries int
}

// Relayed is a request that another region sent. It has no way to be sent on.
type Relayed struct{ Request Request }

// Report says how a request went.
type Report struct {
	// Refusal is nil where the answer was whole.
	Refusal *fault.Refusal
	Begun   bool
	Status  int
	Tries   int
	// Sent counts the attempts that reached an endpoint.
	Sent     int
	Endpoint string
	Region   string
	First    time.Duration
	// Answer is an endpoint's answer of its own failure that was not passed on.
	Answer *wire.Answer
}

// Carrier carries the requests of one host.
type Carrier struct {
	Board  *board.Board
	Meter  *meter.Meter
	Link   *link.Link
	Client *kept.Client
	Terms  *terms.Terms
	Log    zerolog.Logger
	Now    func() time.Time
	// Budget bounds repeats.
	Budget *retry.Windows
	// ColdShare returns the requests a second that this host may send to a cold
	// endpoint of a service.
	ColdShare func(s *rules.Service, endpoint string) int
	// Busy is told when a long prompt was sent; nil is nobody.
	Busy func()

	// Keeps remembers where shared beginnings were sent.
	Keeps *Keeps

	mu    sync.Mutex
	rand  *rand.Rand
	lines map[string]*line
}

// MaxAnswer bounds one answer, in bytes.
const MaxAnswer = 64 << 20

// New returns a carrier; its exported fields are set before use.
func New() *Carrier {
	return &Carrier{rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), Keeps: NewKeeps(), lines: map[string]*line{}}
}

// Enter carries a request that entered at this host; it may go to another region.
func (c *Carrier) Enter(ctx context.Context, r Request, sink client.Sink) Report {
	return c.carry(ctx, r, sink, true)
}

// Carry carries out a request that another region sent, in this region only.
func (c *Carrier) Carry(ctx context.Context, r Relayed, sink client.Sink) Report {
	return c.carry(ctx, r.Request, sink, false)
}

// trip is the state of one request on its way.
type trip struct {
	Request
	cross  bool
	tried  map[string]bool
	ran    fault.Ran
	report Report
	// last is the id of the last event passed on.
	last int
	// runs counts the attempts that may have run.
	runs int
	// refused is how the last attempt ended.
	refused *fault.Refusal
	// joined is when the request first waited; it keeps its place by it.
	joined time.Time
	// lost is the time that failed attempts took.
	lost time.Duration
	// answer is the last that an endpoint answered of its own failure.
	answer *wire.Answer
}

func (c *Carrier) carry(ctx context.Context, r Request, sink client.Sink, cross bool) Report {
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	t := &trip{Request: r, cross: cross, tried: map[string]bool{}, ran: fault.RanNo, last: r.After}
	t.report.Region = c.Board.Region
	if cross {
		// A relayed request was counted where it entered.
		c.Budget.Earn(c.Now(), r.Service)
	}
	sink = c.watched(t, sink)
	refusal := c.travel(ctx, t, sink)
	if refusal != nil {
		refusal = refusal.WithRan(refusal.Ran.Worse(t.ran))
	}
	switch {
	case refusal == nil || t.answer == nil || t.report.Begun:
	case !cross:
		t.report.Answer = t.answer
	case refusal.Code != fault.Cancelled:
		refusal = pass(t.answer, sink)
	}
	t.report.Refusal = refusal
	return t.report
}

// pass gives the caller what an endpoint answered of its own failure: that says
// more than a refusal of ours.
func pass(a *wire.Answer, sink client.Sink) *fault.Refusal {
	if err := sink.Head(a.Head); err != nil {
		return refuse(fault.Cancelled, fault.RanYes, err, "caller has left")
	}
	if err := sink.Data(a.Body); err != nil {
		return refuse(fault.Cancelled, fault.RanYes, err, "caller has left")
	}
	return nil
}

// watched notes what of the answer passes; the head goes on once.
func (c *Carrier) watched(t *trip, sink client.Sink) client.Sink {
	head := false
	return client.Sink{
		Head: func(h wire.Head) error {
			if head {
				return nil
			}
			head = true
			t.report.Status = h.Status
			t.report.Begun = true
			return sink.Head(h)
		},
		Data: func(p []byte) error {
			if t.report.First == 0 {
				t.report.First = c.Now().Sub(t.Arrived)
				c.Meter.First(t.Service, t.report.First)
			}
			if t.Route.Kind == rules.Stream {
				if id := stream.LastID(p); id != stream.NoID {
					t.last = id
				}
			}
			return sink.Data(p)
		},
	}
}

// result is how one attempt, here or in another region, ended.
type result struct {
	whole bool
	// left says that the caller went away.
	left   bool
	begun  bool
	reason retry.Reason
	ran    fault.Ran
	// free attempts are not charged to the retry budget: they reached no endpoint.
	free    bool
	refusal *fault.Refusal
	// answer is the endpoint's own failure, where it was not passed on.
	answer *wire.Answer
}

// travel makes attempts until one gives a whole answer, or returns why none does.
func (c *Carrier) travel(ctx context.Context, t *trip, sink client.Sink) *fault.Refusal {
	for {
		if r := c.gate(ctx, t); r != nil {
			return r
		}
		d := c.choose(t)
		if d.refusal != nil {
			if t.refused != nil && d.refusal.Code == fault.NoEndpoint {
				// Why the last place refused says more than that none is left.
				return t.refused
			}
			return d.refusal
		}
		if d.wait {
			c.hold(ctx, t, d)
			continue
		}
		t.report.Tries++
		began := c.Now()
		res := c.attempt(ctx, t, d, sink)
		if res.whole {
			return nil
		}
		t.lost += c.Now().Sub(began)
		if res.answer != nil {
			t.answer = res.answer
		}
		t.ran = t.ran.Worse(res.ran)
		if res.ran != fault.RanNo {
			t.runs++
		}
		t.refused = res.refusal
		if r := c.after(ctx, t, res); r != nil {
			return r
		}
	}
}

func (c *Carrier) attempt(ctx context.Context, t *trip, d decision, sink client.Sink) result {
	if d.region != "" {
		return c.there(ctx, t, d, sink)
	}
	return c.here(ctx, t, d, sink)
}

const pauseStep = 10 * time.Millisecond

// gate stops what may not be dispatched now: after the deadline, after its
// caller left, or on beliefs from before a pause of the process.
func (c *Carrier) gate(ctx context.Context, t *trip) *fault.Refusal {
	for c.Board.Pulse.Doubtful(c.Now()) {
		select {
		case <-ctx.Done():
			return c.ended(ctx)
		case <-time.After(pauseStep):
		}
	}
	if ctx.Err() != nil || !c.Now().Before(t.Deadline) {
		return c.ended(ctx)
	}
	return nil
}

func (c *Carrier) ended(ctx context.Context) *fault.Refusal {
	if errors.Is(ctx.Err(), context.Canceled) {
		return fault.New(fault.Cancelled, fault.RanNo, "caller has left")
	}
	return fault.New(fault.Deadline, fault.RanNo, "time is up")
}

// after decides on a failed attempt: nil means that another one is made.
func (c *Carrier) after(ctx context.Context, t *trip, res result) *fault.Refusal {
	if res.left || errors.Is(ctx.Err(), context.Canceled) {
		return fault.New(fault.Cancelled, res.ran, "caller has left")
	}
	why := c.again(t)
	if why == "" && !res.free && !c.Budget.Spend(c.Now(), t.Service) {
		why = "retry budget used up"
	}
	verdict := "retried"
	if why != "" {
		verdict = why
	}
	c.Log.Info().Str("request", t.ID).Str("service", t.Service).Str("reason", string(res.reason)).
		Str("ran", string(res.ran)).Str("endpoint", t.report.Endpoint).Str("region", t.report.Region).
		Int("tries", t.report.Tries).Int("runs", t.runs).Dur("left", t.Deadline.Sub(c.Now())).
		AnErr("cause", res.refusal.Cause).Str("outcome", verdict).Msg("attempt failed")
	if why == "" {
		c.Meter.Retry(res.reason)
		return nil
	}
	c.Meter.Denied(res.reason)
	return res.refusal
}

// again returns why no other attempt may be made, empty where one may.
func (c *Carrier) again(t *trip) string {
	now := c.Now()
	resumes := t.report.Begun && t.Route.Kind == rules.Stream && t.Route.Resumable
	switch {
	case t.report.Begun && !resumes:
		return "answer begun"
	case !now.Before(t.Deadline):
		return "deadline passed"
	case t.ran != fault.RanNo && !t.Route.Repeatable():
		return "may have run and may not be repeated"
	case t.runs >= t.Tries:
		return "route's attempts used up"
	case t.report.Tries >= t.Tries+mostRefusals:
		return "refused too often"
	}
	return ""
}

// mostRefusals bounds the attempts that certainly did not run.
const mostRefusals = 3

func refuse(code fault.Code, ran fault.Ran, err error, text string) *fault.Refusal {
	r := fault.New(code, ran, "%s", text)
	if err != nil {
		r = r.WithCause(err)
	}
	return r
}
