package carry

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/link"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/flow"
)

// ackWait bounds the time to the first frame of another region's host for a
// request that may be repeated.
const ackWait = 700 * time.Millisecond

// there makes an attempt through a host of another region.
func (c *Carrier) there(ctx context.Context, t *trip, d decision, sink client.Sink) result {
	m, ok := c.host(t, d.region)
	if !ok {
		t.tried[regionMark+d.region] = true
		return notSent(fmt.Errorf("no host of region %s", d.region))
	}
	t.tried[m.Name] = true
	t.report.Endpoint, t.report.Region = m.Name, d.region
	wait := flow.LinkSilence
	if t.Route.Repeatable() {
		wait = ackWait
	}
	began := c.Now()
	sink.Acked = func() { c.Board.Zones.Measured(d.region, c.Now().Sub(began)) }
	end, err := flow.Exchange(ctx, c.Link, m.Name, m.Address, c.message(t), flow.Sink(sink, func(h wire.Head) {
		t.report.Endpoint = h.Endpoint
	}), wait)
	c.Log.Debug().Str("request", t.ID).Str("peer", m.Name).Str("region", d.region).Str("service", t.Service).
		Dur("first", t.report.First).Dur("heard", c.Now().Sub(m.Heard)).AnErr("cause", err).Msg("relayed")
	if err != nil && !errors.Is(err, flow.ErrSink) {
		c.Board.Zones.Failed(c.Now(), d.region)
	}
	return c.relayResult(t, end, err)
}

// message returns the message that asks another host to carry the request out.
func (c *Carrier) message(t *trip) wire.Open {
	now := c.Now()
	return wire.Open{
		Role: wire.Relay, ID: t.ID, Service: t.Service, Method: t.Method, Path: t.Target,
		Fields: t.Fields, Body: t.Body, LeftMS: max(0, t.Deadline.Sub(now).Milliseconds()),
		From: t.From, Revision: t.Version,
		Routed: &wire.Routed{
			Route: *t.Route, Host: t.Host, Prompt: t.Prompt, After: t.last, Tries: t.Tries - t.runs,
			AgeMS: now.Sub(t.Arrived).Milliseconds(),
		},
	}
}

// Opened returns the request that a message asks for.
func Opened(o *wire.Open, now time.Time) Relayed {
	route := o.Routed.Route
	return Relayed{Request: Request{
		ID: o.ID, Version: o.Revision, Route: &route, Service: o.Service, Method: o.Method, Target: o.Path,
		Host: o.Routed.Host, Fields: o.Fields, Body: o.Body, Prompt: o.Routed.Prompt, After: o.Routed.After,
		Arrived:  now.Add(-time.Duration(o.Routed.AgeMS) * time.Millisecond),
		Deadline: now.Add(time.Duration(o.LeftMS) * time.Millisecond), From: o.From, Tries: o.Routed.Tries,
	}}
}

func notSent(err error) result {
	return result{
		reason: retry.Relay, ran: fault.RanNo, free: true,
		refusal: refuse(fault.Busy, fault.RanNo, err, "no host of the other region can be reached").WithRetryAfter(comeBack),
	}
}

func (c *Carrier) relayResult(t *trip, end *wire.End, err error) result {
	begun := t.report.Begun
	switch {
	case errors.Is(err, flow.ErrSink):
		return result{left: true, begun: begun, ran: fault.RanUnknown, reason: retry.Broken, refusal: refuse(fault.Cancelled, fault.RanUnknown, err, "caller has left")}
	case errors.Is(err, link.ErrNotSent):
		return notSent(err)
	case err != nil:
		return result{
			begun: begun, reason: retry.Relay, ran: fault.RanUnknown, free: errors.Is(err, flow.ErrUnacked),
			refusal: refuse(fault.RelayError, fault.RanUnknown, err, "other region did not answer"),
		}
	case end.Code == "":
		return result{whole: true, ran: fault.RanYes}
	}
	if end.Code != fault.RelayError && end.Code != fault.Leaving && end.Code != fault.NotReady {
		// The region as a whole could not do it; another host of it can't either.
		t.tried[regionMark+t.report.Region] = true
	}
	t.report.Sent += end.Sent
	return result{
		begun: begun, reason: retry.Relay, ran: end.Ran, free: end.Sent == 0, refusal: flow.RefusalOf(end), answer: end.Answer,
	}
}
