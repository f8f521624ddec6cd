package carry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/endpt"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/kept"
)

const (
	// returnTrip is taken off the time that an endpoint gets, for the way back.
	returnTrip = 10 * time.Millisecond
	// silentGaps is the number of promised pauses after which a stream counts as
	// silent.
	silentGaps = 3
)

// here makes an attempt at an endpoint of this region; choose has counted it.
func (c *Carrier) here(ctx context.Context, t *trip, d decision, sink client.Sink) result {
	e := d.endpoint
	t.report.Endpoint, t.report.Region = e.ID, c.Board.Region
	began := c.Now()
	pending := time.Duration(0)
	if t.Route.Prompts {
		pending = d.read
	}
	head := func(h wire.Head) error {
		h.Endpoint = e.ID
		return sink.Head(h)
	}
	first := client.Sink{Head: head, Data: func(p []byte) error {
		if pending > 0 {
			c.Board.Endpoints.Pend(e.ID, t.Route.Priority, -pending)
			pending = 0
			c.wake(t.Service)
		}
		return sink.Data(p)
	}}
	out := c.Client.Do(ctx, c.call(t, d), first)
	if pending > 0 {
		c.Board.Endpoints.Pend(e.ID, t.Route.Priority, -pending)
		c.wake(t.Service)
	}
	if out.Reason != retry.Dial {
		t.report.Sent++
	}
	c.learn(t, d, out, began)
	c.Log.Debug().Str("request", t.ID).Str("endpoint", e.ID).Str("service", t.Service).Uint64("version", t.Version).
		Uint64("registered", e.Revision).Dur("expected", d.expect).Dur("first", out.First).Int("status", out.Status).
		Bool("reused", out.Reused).Int("running", out.Load.Running).Int("waiting", out.Load.Waiting).
		Str("outcome", outcome(out)).Msg("attempt")
	if out.Answer != nil {
		out.Answer.Head.Endpoint = e.ID
	}
	return resultOf(out)
}

func outcome(out kept.Result) string {
	if out.Whole {
		return "whole"
	}
	return string(out.Reason)
}

// call describes the attempt.
func (c *Carrier) call(t *trip, d decision) kept.Call {
	call := kept.Call{
		Address: d.endpoint.Address, Method: t.Method, Target: t.Target, Host: t.Host,
		Fields: c.fields(t, d), Body: t.Body, ID: t.ID, Deadline: t.Deadline,
		After: t.last, MaxAnswer: MaxAnswer,
	}
	// Without a repeat left, nothing is gained by giving an attempt up.
	more := t.runs+1 < t.Tries && t.Route.Repeatable() && c.Budget.Left(c.Now(), t.Service)
	if more && t.Route.Target > 0 {
		// By then it is late, and an endpoint that is only busy would have answered.
		call.HeadWait = t.Route.Target + d.expect
	}
	if t.Route.Kind == rules.Stream && t.Route.Resumable && t.Route.Gap > 0 {
		call.Silence = silentGaps * t.Route.Gap
	}
	call.Again, call.Resumes = more, t.report.Begun
	return call
}

// fields returns what the endpoint gets beside the caller's own fields.
func (c *Carrier) fields(t *trip, d decision) []wire.Field {
	left := t.Deadline.Sub(c.Now()) - returnTrip
	fields := make([]wire.Field, 0, len(t.Fields)+4)
	fields = append(fields, t.Fields...)
	fields = append(fields,
		wire.Field{Name: c.Terms.Deadline, Value: strconv.FormatInt(max(1, left.Milliseconds()), 10)},
		wire.Field{Name: c.Terms.Expect, Value: d.endpoint.ID})
	if t.Route.Prompts {
		fields = append(fields, wire.Field{Name: c.Terms.Rank, Value: strconv.Itoa(min(9, t.Route.Priority))})
	}
	if t.last >= 0 {
		fields = append(fields, wire.Field{Name: c.Terms.LastEvent, Value: strconv.Itoa(t.last)})
	}
	return fields
}

// learn takes in what the attempt tells of the endpoint.
func (c *Carrier) learn(t *trip, d decision, out kept.Result, began time.Time) {
	now := c.Now()
	e := d.endpoint
	refused := out.Reason == retry.Refused && !out.Whole
	res := endpt.Result{
		Whole: out.Whole, Full: refused && !out.Misdirected,
		Failed: !out.Whole && !out.CallerLeft && !refused, Fault: out.Status >= http.StatusInternalServerError,
	}
	if t.Route.Prompts && out.Begun {
		res.First, res.UsualFirst = out.First, max(time.Millisecond, time.Duration(float64(d.expect)/d.slow))
	}
	c.Board.Endpoints.Done(now, e.ID, res)
	if out.Load.Slots > 0 {
		// The load was told with the head of the answer.
		at := began
		if out.First > 0 {
			at = began.Add(out.First)
		}
		c.Board.Endpoints.Note(e.ID, endpt.Report{Running: out.Load.Running, Queued: out.Load.Waiting, At: at})
	}
	if out.Misdirected {
		c.Board.Registry.Drain(e.ID)
	}
	if !out.Whole {
		return
	}
	if t.Route.Prompts {
		c.Board.Speeds.First(t.Service, d.known, out.First)
	} else {
		c.Board.Speeds.Done(t.Service, now.Sub(began))
	}
}

func resultOf(out kept.Result) result {
	res := result{
		whole: out.Whole, begun: out.Begun, left: out.CallerLeft, reason: out.Reason, ran: out.Ran, answer: out.Answer,
	}
	// Nothing reached an endpoint.
	res.free = out.Reason == retry.Dial
	switch {
	case out.Whole:
	case out.Begun:
		res.refusal = refuse(fault.Truncated, out.Ran, out.Err, "answer broke off")
	case out.Reason == retry.Silent:
		res.refusal = refuse(fault.EndpointSlow, out.Ran, out.Err, "endpoint did not answer in time")
	case out.Reason == retry.Refused || out.Reason == retry.Dial:
		res.refusal = refuse(fault.Busy, out.Ran, out.Err, "endpoint takes no work now").WithRetryAfter(comeBack)
	default:
		res.refusal = refuse(fault.EndpointError, out.Ran, out.Err, "endpoint failed")
	}
	return res
}
