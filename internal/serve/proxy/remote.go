package proxy

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/acks"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/link"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/flow"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/head"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/held"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/splice"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
)

// ackTimeout is the longest time to the first frame from a host of another region for
// a request that may be retried.
const ackTimeout = 700 * time.Millisecond

// attemptRemote makes an attempt by relaying the request to a host of another region.
func (p *Proxy) attemptRemote(ctx context.Context, t *task, d decision, sink client.Sink) result {
	m, ok := p.relayHost(t, d.region)
	if !ok {
		t.tried[regionKeyPrefix+d.region] = true
		return notSentResult(fmt.Errorf("no host in region %s is usable and not silent", d.region))
	}
	t.tried[m.Name] = true
	t.report.Endpoint, t.report.Region = m.Name, d.region
	timeout := flow.FrameTimeout
	if t.Route.Retryable() {
		timeout = ackTimeout
	}
	start := p.Now()
	sink.Acked = func() { p.Board.Remotes.ObserveRoundTrip(d.region, p.Now().Sub(start)) }
	open := p.Board.Acks.Open(start, acks.Peer{Host: m.Name, Incarnation: m.Incarnation})
	defer open.Close()
	sink.Received = func() { open.Receive(p.Now()) }
	giveUp := func(acked bool) bool { return p.givesUpRelay(t, m, start, acked) }
	waits := flow.Waits{Ack: timeout, GiveUp: giveUp, Held: p.Held}
	if idle := idleTimeout(t.Route); idle > 0 {
		// The relay gives up a silent endpoint after idle, and has the time for a frame then.
		waits.Event = idle + flow.FrameTimeout
	}
	end, err := flow.ExchangeWithin(ctx, p.Link, m.Name, m.Address, p.newWireRequest(t), p.remoteSink(t, sink), waits)
	p.Log.Debug().Str("request", t.ID).Str("peer", m.Name).Str("region", d.region).Str("service", t.Service).
		Dur("first", t.report.TimeToFirstByte).Dur("heard", p.Now().Sub(m.LastSeen)).AnErr("cause", err).Msg("relayed")
	if flow.HostFailed(err) {
		p.Board.Remotes.MarkFailed(p.Now(), d.region)
	}
	return p.relayResult(t, end, err)
}

// givesUpRelay reports whether to give up a request at a relay that has been silent for a
// while: the relay's process has ended, or another attempt can serve the caller. Otherwise
// the relay may only be paused, and has the answer when it wakes. A host is declared dead for
// its silence, so that does not mean that its process has ended.
func (p *Proxy) givesUpRelay(t *task, relay member.Member, start time.Time, acked bool) bool {
	m, known := p.Board.Members.Member(relay.Name)
	if !known || m.Incarnation != relay.Incarnation || m.State == wire.Left {
		return true
	}
	if !t.repeatable() {
		return false
	}
	if p.Board.Health.Leaving() && t.report.Started {
		return false
	}
	// A relay that has not even acknowledged the request has done nothing for it yet.
	return !acked || p.hasAlternative(t, start)
}

// remoteSink returns a sink that records the endpoint of another region's answer and fails if the
// caller can't get the answer, or it would continue a stream at another release. A relay of an
// older build does not check either.
func (p *Proxy) remoteSink(t *task, sink client.Sink) client.Sink {
	return client.Sink{
		Head: func(h wire.Head) error {
			t.report.Endpoint = h.Endpoint()
			if err := cmp.Or(t.accept(h), head.CheckUnchanged(h)); err != nil {
				return err
			}
			if err := p.checkRelease(t, h); err != nil {
				return err
			}
			return sink.Head(h)
		},
		Data:  sink.Data,
		Acked: sink.Acked, Received: sink.Received,
	}
}

// newWireRequest returns the message that relays the request to another host.
func (p *Proxy) newWireRequest(t *task) wire.Request {
	now, begun := p.Now(), t.received.Begun()
	return wire.Request{
		Role: wire.Relay, ID: t.ID, Service: t.Service, Method: t.Method, Path: t.Target,
		Fields: t.Fields, Body: t.Body, TimeLeftMS: max(0, t.Deadline.Sub(now).Milliseconds()),
		EntryRegion: t.EntryRegion, Revision: t.Version,
		Routing: &wire.Routing{
			Route: *t.Route, Host: t.Host, Prompt: t.Prompt, LastEventID: t.lastEventID, AttemptsLeft: t.AttemptsLeft - t.runs,
			AgeMS: now.Sub(t.Arrived).Milliseconds(), Release: t.release, Trial: t.Trial && t.report.Attempts <= 1, Caller: t.Caller,
			Begun: &begun,
		},
	}
}

// NewRelayed returns the request that a host of another region relayed.
func NewRelayed(msg *wire.Request, now time.Time) Relayed {
	route := msg.Routing.Route
	return Relayed{Request: Request{
		ID: msg.ID, Version: msg.Revision, Route: &route, Service: msg.Service, Method: msg.Method, Target: msg.Path,
		Host: msg.Routing.Host, Fields: msg.Fields, Body: msg.Body, Prompt: msg.Routing.Prompt, LastEventID: msg.Routing.LastEventID,
		Arrived:  now.Add(-time.Duration(msg.Routing.AgeMS) * time.Millisecond),
		Deadline: now.Add(time.Duration(msg.TimeLeftMS) * time.Millisecond), EntryRegion: msg.EntryRegion, AttemptsLeft: msg.Routing.AttemptsLeft,
		Release: msg.Routing.Release, Trial: msg.Routing.Trial, Caller: msg.Routing.Caller,
		Begun: hasBegun(msg.Routing),
	}}
}

// hasBegun reports whether the caller of a relayed request has the head of a stream. A host of an
// older build does not state it: then the caller of a stream may, if it has an event.
func hasBegun(r *wire.Routing) bool {
	if r.Begun == nil {
		return r.Route.Kind == rules.Stream && r.LastEventID != stream.NoID
	}
	return *r.Begun
}

// notSentResult returns the result of an attempt that reached no host.
func notSentResult(err error) result {
	return result{
		reason: retry.Relay, ran: fault.RanNo, uncharged: true,
		refusal: newRefusal(fault.Busy, fault.RanNo, err, "no host of the other region is reachable").WithRetryAfter(defaultRetryAfter),
	}
}

// relayResult returns the result of a relayed attempt that ended with end or err.
func (p *Proxy) relayResult(t *task, end *wire.End, err error) result {
	switch {
	case err != nil:
		return p.relayFailure(t, err)
	case end.Code == "":
		return result{whole: true, ran: fault.RanYes, relayRuns: end.Runs}
	case end.Code == fault.BadRequest && t.report.Region == p.Board.Region:
		// A host of an older build refuses requests that entered in its own region.
		return notSentResult(errors.New("host serves no requests of its own region for others"))
	}
	if end.Code != fault.RelayError && end.Code != fault.Leaving && end.Code != fault.NotReady {
		// The refusal holds for the whole region, so its other hosts are not tried.
		t.tried[regionKeyPrefix+t.report.Region] = true
	}
	t.report.Sent += end.Attempts
	runs := end.Runs
	if runs == 0 {
		// A host of an older build reports only how many attempts reached an endpoint.
		runs = end.Attempts
	}
	res := result{relayRuns: runs, started: t.report.Started, reason: retry.Relay, ran: end.Ran, uncharged: end.Attempts == 0, refusal: flow.RefusalFromEnd(end)}
	if end.Answer == nil {
		return res
	}
	if err := cmp.Or(head.Check(end.Answer.Head), t.accept(end.Answer.Head)); err != nil {
		res.refusal = res.refusal.WithCause(fmt.Errorf("check error answer: %w", err))
		return res
	}
	res.errorAnswer = end.Answer
	return res
}

// relayFailure returns the result of a relayed attempt that failed with err.
func (p *Proxy) relayFailure(t *task, err error) result {
	// failed returns the result of an attempt whose endpoint may have run the request.
	failed := func(reason retry.Reason, ran fault.Ran, code fault.Code, text string) result {
		return result{started: t.report.Started, reason: reason, ran: ran, refusal: newRefusal(code, ran, err, text)}
	}
	switch {
	case errors.Is(err, errOtherRelease):
		if t.barred == nil {
			t.barred = map[string]bool{}
		}
		t.barred[t.report.Region] = true
		return failed(retry.Relay, fault.RanUnknown, fault.RelayError, "other region would continue the stream at another release")
	case errors.Is(err, splice.ErrOther):
		return failed(retry.Relay, fault.RanYes, fault.RelayError, "endpoint of the other region did not continue the stream")
	case errors.Is(err, head.ErrEncoded) || errors.Is(err, head.ErrStatus):
		return failed(retry.Status, fault.RanYes, fault.EndpointError, "endpoint failed")
	case errors.Is(err, head.ErrBroken):
		return failed(retry.Broken, fault.RanUnknown, fault.EndpointError, "endpoint failed")
	case errors.Is(err, held.ErrFull) && !errors.Is(err, flow.ErrSink):
		return failed(retry.Oversize, fault.RanUnknown, fault.RelayError, "no room for the answer")
	case errors.Is(err, flow.ErrSink):
		res := failed(retry.Broken, fault.RanUnknown, fault.Cancelled, "caller disconnected")
		res.callerLeft = true
		return res
	case errors.Is(err, link.ErrNotSent):
		return notSentResult(err)
	}
	res := failed(retry.Relay, fault.RanUnknown, fault.RelayError, "other region did not answer")
	res.uncharged = errors.Is(err, flow.ErrUnacked)
	return res
}
