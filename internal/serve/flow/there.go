package flow

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
)

// LinkSilence bounds the time without a frame on a stream between hosts; the
// serving host sends one every AliveEvery even while the request waits.
const (
	LinkSilence = 3 * time.Second
	AliveEvery  = time.Second
	// ackBase and ackTrips, in one-way times, bound the time to the first frame.
	ackBase  = 150 * time.Millisecond
	ackTrips = 6
)

// there makes an attempt through a host of another region.
func (f *Flow) there(ctx context.Context, t *trip, d decision, sink client.Sink) result {
	m, ok := f.pickHost(t, d.region)
	if !ok {
		t.tried[regionMark+d.region] = true
		return notSent(fmt.Errorf("no host of region %s", d.region))
	}
	t.tried[m.Name] = true
	t.report.Endpoint, t.report.Region = "", d.region
	open := OpenOf(t.Request, wire.Relay, f.now(), f.board.Revisions.Revision())
	end, err := f.Exchange(ctx, m.Name, m.Address, open, f.watched(t, Sink(sink, func(h wire.Head) {
		t.report.Endpoint, t.report.Status = h.Endpoint, h.Status
	})), f.ackWait(t, d.region))
	if err != nil && !errors.Is(err, ErrSink) {
		f.board.Zones.Failed(f.now(), d.region)
	}
	return f.relayResult(t, end, err)
}

// ackWait is how long the other host may take to say that it has the request. A
// repeatable request goes elsewhere soon; another one waits, as nothing else can
// be done with it.
func (f *Flow) ackWait(t *trip, region string) time.Duration {
	if !t.Repeatable {
		return LinkSilence
	}
	latency := t.inv.Link(f.board.Region, region).LatencyMS
	return ackBase + time.Duration(ackTrips*latency*float64(time.Millisecond))
}

// Sink returns a sink that shows each head to see first.
func Sink(s client.Sink, see func(wire.Head)) client.Sink {
	return client.Sink{
		Head: func(h wire.Head) error {
			see(h)
			return s.Head(h)
		},
		Data:  s.Data,
		Acked: s.Acked,
	}
}

// OpenOf returns the message that asks another host to carry out a request.
func OpenOf(r Request, role wire.Role, now time.Time, revision uint64) wire.Open {
	return wire.Open{
		Role: role, ID: r.ID, Caller: r.Caller.Name, Service: r.Service.Name,
		Method: r.Method, Path: r.Path, Fields: r.Fields, Body: r.Body,
		LeftMS: max(0, r.Deadline.Sub(now).Milliseconds()), Prefix: r.Prefix, Stream: r.Stream,
		From: r.From, Revision: revision,
	}
}

func notSent(err error) result {
	return result{
		reason: retry.Relay, ran: fault.RanNo, free: true,
		refusal: refusal(fault.RelayError, fault.RanNo, err, "no host of the other region can be reached"),
	}
}

// ErrUnacked marks a request that the other host never said to have.
var ErrUnacked = errors.New("request was not acknowledged")

// ErrSink marks an error of the caller's side.
var ErrSink = errors.New("pass answer on")

func (f *Flow) relayResult(t *trip, end *wire.End, err error) result {
	switch {
	case err != nil && t.closed:
		return result{whole: true, ran: fault.RanYes}
	case errors.Is(err, ErrSink):
		return result{left: true, begun: t.report.Begun, ran: fault.RanUnknown, reason: retry.Broken}
	case errors.Is(err, link.ErrNotSent):
		return notSent(err)
	case err != nil:
		return result{
			begun: t.report.Begun, reason: retry.Relay, ran: fault.RanUnknown, free: errors.Is(err, ErrUnacked),
			refusal: refusal(fault.RelayError, fault.RanUnknown, err, "other region did not answer"),
		}
	case end.Code == "":
		return result{whole: true, ran: fault.RanYes}
	}
	if end.Code != fault.RelayError && end.Code != fault.Leaving && end.Code != fault.NotReady {
		// The region as a whole could not do it; another host of it can't either.
		t.tried[regionMark+t.report.Region] = true
	}
	return result{
		begun: t.report.Begun, reason: retry.Relay, ran: end.Ran, refusal: RefusalOf(end),
	}
}

// RefusalOf returns the refusal that an End carries.
func RefusalOf(end *wire.End) *fault.Refusal {
	return fault.New(end.Code, end.Ran, "%s", end.Message).
		WithRetryAfter(time.Duration(end.RetryMS) * time.Millisecond)
}

// EndOf returns the End that carries a refusal, or that of a whole answer for nil.
func EndOf(r *fault.Refusal) *wire.End {
	if r == nil {
		return &wire.End{Ran: fault.RanYes}
	}
	return &wire.End{Code: r.Code, Message: r.Message, Ran: r.Ran, RetryMS: r.RetryAfter.Milliseconds()}
}

// Exchange sends one request over this flow's link, as the function Exchange does.
func (f *Flow) Exchange(
	ctx context.Context, host, address string, open wire.Open, sink client.Sink, ack time.Duration,
) (*wire.End, error) {
	return Exchange(ctx, f.link, host, address, open, sink, ack)
}

// Exchange sends one request to a host and passes its answer on. An error that
// wraps link.ErrNotSent means that the host's handler got nothing. A stream
// without progress for the time of silence is given up, and the next one to the
// host is sent on a new connection.
func Exchange(
	ctx context.Context, l *link.Link, host, address string, open wire.Open, sink client.Sink, ack time.Duration,
) (*wire.End, error) {
	s, err := l.Open(ctx, host, address)
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	defer s.Abort()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	if err := s.Write(wire.Frame{Open: &open}, time.Now().Add(LinkSilence)); err != nil {
		l.Drop(host)
		return nil, fmt.Errorf("send request to %s: %w", host, err)
	}
	s.Finish()
	wait, acked := ack, false
	for {
		fr, err := s.Read(wire.MaxFrame, time.Now().Add(wait))
		if err != nil {
			l.Drop(host)
			if !acked {
				err = fmt.Errorf("%w: %w", ErrUnacked, err)
			}
			return nil, fmt.Errorf("read answer of %s: %w", host, err)
		}
		if !acked && sink.Acked != nil {
			sink.Acked()
		}
		wait, acked = LinkSilence, true
		if fr.End != nil {
			return fr.End, nil
		}
		if err := pass(fr, sink); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrSink, err)
		}
	}
}

func pass(fr wire.Frame, sink client.Sink) error {
	if fr.Head != nil {
		return sink.Head(*fr.Head)
	}
	if fr.Data != nil {
		return sink.Data(fr.Data)
	}
	return nil
}
