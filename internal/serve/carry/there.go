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

// ackTimeout is the longest time to the first frame from a host of another region for
// a request that may be retried.
const ackTimeout = 700 * time.Millisecond

// attemptRemote makes an attempt by relaying the request to a host of another region.
func (c *Carrier) attemptRemote(ctx context.Context, t *task, d decision, sink client.Sink) result {
	m, ok := c.relayHost(t, d.region)
	if !ok {
		t.tried[regionKeyPrefix+d.region] = true
		return notSentResult(fmt.Errorf("no usable host in region %s", d.region))
	}
	t.tried[m.Name] = true
	t.report.Endpoint, t.report.Region = m.Name, d.region
	timeout := flow.LinkSilence
	if t.Route.Repeatable() {
		timeout = ackTimeout
	}
	start := c.Now()
	sink.Acked = func() { c.Board.Zones.Measured(d.region, c.Now().Sub(start)) }
	end, err := flow.Exchange(ctx, c.Link, m.Name, m.Address, c.openMessage(t), flow.Sink(sink, func(h wire.Head) {
		t.report.Endpoint = h.Endpoint
	}), timeout)
	c.Log.Debug().Str("request", t.ID).Str("peer", m.Name).Str("region", d.region).Str("service", t.Service).
		Dur("first", t.report.First).Dur("heard", c.Now().Sub(m.Heard)).AnErr("cause", err).Msg("relayed")
	if err != nil && !errors.Is(err, flow.ErrSink) {
		c.Board.Zones.Failed(c.Now(), d.region)
	}
	return c.relayResult(t, end, err)
}

// openMessage returns the message that relays the request to another host.
func (c *Carrier) openMessage(t *task) wire.Open {
	now := c.Now()
	return wire.Open{
		Role: wire.Relay, ID: t.ID, Service: t.Service, Method: t.Method, Path: t.Target,
		Fields: t.Fields, Body: t.Body, LeftMS: max(0, t.Deadline.Sub(now).Milliseconds()),
		From: t.From, Revision: t.Version,
		Routed: &wire.Routed{
			Route: *t.Route, Host: t.Host, Prompt: t.Prompt, After: t.lastEvent, Tries: t.Tries - t.runs,
			AgeMS: now.Sub(t.Arrived).Milliseconds(),
		},
	}
}

// Opened returns the request that a host of another region relayed.
func Opened(o *wire.Open, now time.Time) Relayed {
	route := o.Routed.Route
	return Relayed{Request: Request{
		ID: o.ID, Version: o.Revision, Route: &route, Service: o.Service, Method: o.Method, Target: o.Path,
		Host: o.Routed.Host, Fields: o.Fields, Body: o.Body, Prompt: o.Routed.Prompt, After: o.Routed.After,
		Arrived:  now.Add(-time.Duration(o.Routed.AgeMS) * time.Millisecond),
		Deadline: now.Add(time.Duration(o.LeftMS) * time.Millisecond), From: o.From, Tries: o.Routed.Tries,
	}}
}

// notSentResult returns the result of an attempt that reached no host.
func notSentResult(err error) result {
	return result{
		reason: retry.Relay, ran: fault.RanNo, uncharged: true,
		refusal: newRefusal(fault.Busy, fault.RanNo, err, "no host of the other region is reachable").WithRetryAfter(defaultRetryAfter),
	}
}

// relayResult returns the result of a relayed attempt that ended with end or err.
func (c *Carrier) relayResult(t *task, end *wire.End, err error) result {
	started := t.report.Begun
	switch {
	case errors.Is(err, flow.ErrSink):
		return result{callerLeft: true, started: started, ran: fault.RanUnknown, reason: retry.Broken, refusal: newRefusal(fault.Cancelled, fault.RanUnknown, err, "caller disconnected")}
	case errors.Is(err, link.ErrNotSent):
		return notSentResult(err)
	case err != nil:
		return result{
			started: started, reason: retry.Relay, ran: fault.RanUnknown, uncharged: errors.Is(err, flow.ErrUnacked),
			refusal: newRefusal(fault.RelayError, fault.RanUnknown, err, "other region did not answer"),
		}
	case end.Code == "":
		return result{whole: true, ran: fault.RanYes}
	}
	if end.Code != fault.RelayError && end.Code != fault.Leaving && end.Code != fault.NotReady {
		// The refusal holds for the whole region, so its other hosts are not tried.
		t.tried[regionKeyPrefix+t.report.Region] = true
	}
	t.report.Sent += end.Sent
	return result{
		started: started, reason: retry.Relay, ran: end.Ran, uncharged: end.Sent == 0, refusal: flow.RefusalOf(end), errorAnswer: end.Answer,
	}
}
