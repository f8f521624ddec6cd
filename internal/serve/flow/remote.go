package flow

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/link"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/head"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/held"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
)

const (
	// FrameTimeout is the longest time without a frame on a stream between hosts.
	FrameTimeout = 3 * time.Second
	// AliveInterval is the time between frames that the serving host sends even while the
	// request waits.
	AliveInterval = time.Second
	// The timeout for the first frame is ackBase plus ackLatencies times the one-way
	// latency to the region.
	ackBase      = 150 * time.Millisecond
	ackLatencies = 6
)

// attemptRemote makes an attempt by relaying the request to a host of another region.
func (f *Flow) attemptRemote(ctx context.Context, t *task, d decision, sink client.Sink) result {
	m, ok := f.relayHost(t, d.region)
	if !ok {
		t.tried[regionKeyPrefix+d.region] = true
		return notSentResult(fmt.Errorf("no usable host in region %s", d.region))
	}
	t.tried[m.Name] = true
	t.report.Endpoint, t.report.Region = "", d.region
	req := NewWireRequest(t.Request, wire.Relay, f.now(), f.board.Revisions.Revision())
	first := &heldHead{sink: sink}
	end, err := f.Exchange(ctx, m.Name, m.Address, req, f.observedSink(t, ObserveHead(first.holding(), func(h wire.Head) {
		t.report.Endpoint, t.report.Status = h.Endpoint(), h.Status()
	})), f.ackTimeout(t, d.region))
	if err == nil && end.Code == "" {
		err = first.pass()
	}
	if HostFailed(err) {
		f.board.Remotes.MarkFailed(f.now(), d.region)
	}
	return f.relayResult(t, end, err)
}

// ackTimeout returns how long the other host may take to acknowledge the request. It
// is short for a retryable request, which can then be sent to another host. Any
// other request gets FrameTimeout, as it cannot be sent again.
func (f *Flow) ackTimeout(t *task, region string) time.Duration {
	if !t.Retryable {
		return FrameTimeout
	}
	latency := t.inventory.Link(f.board.Region, region).LatencyMS
	return ackBase + time.Duration(ackLatencies*latency*float64(time.Millisecond))
}

// ObserveHead returns a sink that calls observe with each head before it passes the head on.
func ObserveHead(s client.Sink, observe func(wire.Head)) client.Sink {
	return client.Sink{
		Head: func(h wire.Head) error {
			observe(h)
			return s.Head(h)
		},
		Data:  s.Data,
		Acked: s.Acked, Received: s.Received,
	}
}

// heldHead holds the head of an answer until its first data or its end, so that nothing has reached
// the caller of an answer that breaks off before: another attempt's takes its place, with its own head.
type heldHead struct {
	sink client.Sink
	// head is nil if there is none that was not passed on.
	head *wire.Head
}

// holding returns a sink that passes data on after the head.
func (h *heldHead) holding() client.Sink {
	return client.Sink{
		Head: func(hd wire.Head) error {
			h.head = &hd
			return nil
		},
		Data: func(p []byte) error {
			if err := h.pass(); err != nil {
				return err
			}
			return h.sink.Data(p)
		},
		Acked: h.sink.Acked, Received: h.sink.Received,
	}
}

// pass passes the head on. The error is ErrSink.
func (h *heldHead) pass() error {
	if h.head == nil {
		return nil
	}
	hd := *h.head
	h.head = nil
	if err := h.sink.Head(hd); err != nil {
		return fmt.Errorf("%w: %w", ErrSink, err)
	}
	return nil
}

// NewWireRequest returns the message that asks another host to serve a request.
func NewWireRequest(r Request, role wire.Role, now time.Time, revision uint64) wire.Request {
	return wire.Request{
		Role: role, ID: r.ID, Caller: r.Caller.Name, Service: r.Service.Name,
		Method: r.Method, Path: r.Path, Fields: r.Fields, Body: r.Body,
		TimeLeftMS: max(0, r.Deadline.Sub(now).Milliseconds()), Prefix: r.Prefix, Stream: r.Stream,
		EntryRegion: r.EntryRegion, Revision: revision,
	}
}

// notSentResult returns the result of an attempt that reached no host.
func notSentResult(err error) result {
	return result{
		reason: retry.Relay, ran: fault.RanNo, uncharged: true,
		refusal: newRefusal(fault.RelayError, fault.RanNo, err, "no host of the other region is reachable"),
	}
}

// ErrUnacked is the error of a request that the other host did not acknowledge.
var ErrUnacked = errors.New("request was not acknowledged")

// ErrSink is the error of an answer that could not be passed to the caller.
var ErrSink = errors.New("pass answer on")

// ErrCancelled is the error of an exchange that was ended by its context, not by the other
// host.
var ErrCancelled = errors.New("exchange was cancelled")

// ErrNoHead is the error of a whole answer without a head, which can't be passed on as a success.
var ErrNoHead = errors.New("answer has no head")

// ErrDisorder is the error of an answer whose frames are out of order: data or a further head that
// would be passed on are not a part of one answer.
var ErrDisorder = errors.New("frames of the answer are out of order")

// ErrStalled is the error of a begun stream that was given up although the other host sent
// frames: they had no events.
var ErrStalled = errors.New("stream of the other host has no events")

// HostFailed reports whether an error of Exchange is a failure of the other host or of the
// link to it, and not of this host or of the endpoint whose answer is relayed.
func HostFailed(err error) bool {
	return err != nil && !errors.Is(err, ErrSink) && !errors.Is(err, ErrCancelled) && !errors.Is(err, ErrStalled) && !errors.Is(err, head.ErrBroken) && !errors.Is(err, held.ErrFull)
}

// relayResult returns the result of a relayed attempt that ended with end or err.
func (f *Flow) relayResult(t *task, end *wire.End, err error) result {
	switch {
	case err != nil && t.closingSent:
		return result{whole: true, ran: fault.RanYes}
	case errors.Is(err, ErrSink):
		return result{callerLeft: true, started: t.report.Started, ran: fault.RanUnknown, reason: retry.Broken}
	case errors.Is(err, link.ErrNotSent):
		return notSentResult(err)
	case errors.Is(err, head.ErrBroken):
		return result{
			started: t.report.Started, reason: retry.Broken, ran: fault.RanUnknown,
			refusal: newRefusal(fault.EndpointError, fault.RanUnknown, err, "endpoint failed"),
		}
	case errors.Is(err, held.ErrFull):
		return result{
			started: t.report.Started, reason: retry.Oversize, ran: fault.RanUnknown,
			refusal: newRefusal(fault.RelayError, fault.RanUnknown, err, "no room for the answer"),
		}
	case err != nil:
		return result{
			started: t.report.Started, reason: retry.Relay, ran: fault.RanUnknown, uncharged: errors.Is(err, ErrUnacked),
			refusal: newRefusal(fault.RelayError, fault.RanUnknown, err, "other region did not answer"),
		}
	case end.Code == "":
		return result{whole: true, ran: fault.RanYes}
	}
	if end.Code != fault.RelayError && end.Code != fault.Leaving && end.Code != fault.NotReady {
		// The refusal holds for the whole region, so its other hosts are not tried.
		t.tried[regionKeyPrefix+t.report.Region] = true
	}
	return result{
		started: t.report.Started, reason: retry.Relay, ran: end.Ran, refusal: RefusalFromEnd(end),
	}
}

// RefusalFromEnd returns the refusal that an End carries. To the other host, this host is
// the caller: a request that it counts as cancelled may still have a caller here.
func RefusalFromEnd(end *wire.End) *fault.Refusal {
	code := end.Code
	if code == fault.Cancelled {
		code = fault.RelayError
	}
	return fault.New(code, end.Ran, "%s", end.Message).
		WithRetryAfter(time.Duration(end.RetryAfterMS) * time.Millisecond)
}

// NewWireEnd returns the End that carries a refusal, or the End of a whole answer if r is
// nil.
func NewWireEnd(r *fault.Refusal) *wire.End {
	if r == nil {
		return &wire.End{Ran: fault.RanYes}
	}
	return &wire.End{Code: r.Code, Message: r.Message, Ran: r.Ran, RetryAfterMS: r.RetryAfter.Milliseconds()}
}

// Exchange calls the function Exchange with the link and the account of f.
func (f *Flow) Exchange(
	ctx context.Context, host, address string, req wire.Request, sink client.Sink, ackTimeout time.Duration,
) (*wire.End, error) {
	return ExchangeWithin(ctx, f.link, host, address, req, sink, Waits{Ack: ackTimeout, GiveUp: func(bool) bool { return true }, Held: f.held})
}

// Exchange sends one request to a host and passes its answer to sink. The host must
// send the first frame within ackTimeout and each further one within FrameTimeout.
// After a timeout or another failure of the stream, the next request to the host uses a
// new connection. An error that wraps link.ErrNotSent means that the host's handler
// received nothing.
func Exchange(
	ctx context.Context, l *link.Link, host, address string, req wire.Request, sink client.Sink, ackTimeout time.Duration,
) (*wire.End, error) {
	return ExchangeUntil(ctx, l, host, address, req, sink, ackTimeout, func(bool) bool { return true })
}

// ExchangeUntil is like Exchange, but after a time without a frame it fails only if giveUp
// returns true. Otherwise it waits for FrameTimeout again, until ctx ends.
func ExchangeUntil(
	ctx context.Context, l *link.Link, host, address string, req wire.Request, sink client.Sink, ackTimeout time.Duration, giveUp func(acked bool) bool,
) (*wire.End, error) {
	return ExchangeWithin(ctx, l, host, address, req, sink, Waits{Ack: ackTimeout, GiveUp: giveUp})
}

// Waits are the bounds of an exchange.
type Waits struct {
	// Ack bounds the wait for the first frame.
	Ack time.Duration
	// Event bounds the wait for the next event of a begun stream, 0 if nothing does. Frames
	// without events only show that the other host lives.
	Event time.Duration
	// GiveUp decides whether the exchange fails after a wait. Otherwise it waits again.
	GiveUp func(acked bool) bool
	// Held is the account of the frames that are being received; nil means no limit.
	Held *held.Account
}

// ExchangeWithin is like ExchangeUntil, with all bounds.
func ExchangeWithin(
	ctx context.Context, l *link.Link, host, address string, req wire.Request, sink client.Sink, waits Waits,
) (*wire.End, error) {
	s, err := l.OpenStream(ctx, host, address)
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", markCancelled(ctx, err, false))
	}
	defer s.Abort()
	stop := context.AfterFunc(ctx, s.Abort)
	defer stop()
	if err := s.Write(wire.Frame{Request: &req}, time.Now().Add(FrameTimeout)); err != nil {
		if err = markCancelled(ctx, err, false); HostFailed(err) {
			l.DropConn(host)
		}
		return nil, fmt.Errorf("send request to %s: %w", host, err)
	}
	s.Finish()
	end, err := readAnswer(ctx, s, sink, waits)
	if err == nil {
		return end, nil
	}
	if HostFailed(err) && !errors.Is(err, ErrNoHead) && !errors.Is(err, ErrDisorder) {
		l.DropConn(host)
	}
	return nil, fmt.Errorf("read answer from %s: %w", host, err)
}

// readAnswer passes an answer on up to its end.
func readAnswer(ctx context.Context, s *link.Stream, sink client.Sink, waits Waits) (*wire.End, error) {
	silence := newWatchdog(waits, s.Expire)
	defer silence.stop()
	hold := waits.Held.OpenWhole(s.Expire)
	defer hold.Close()
	acked, begun := false, false
	for {
		size := 0
		fr, err := s.Next(wire.MaxFrame, func(n int) error {
			size = n
			return hold.Grow(n)
		})
		if hold.Dropped() {
			return nil, held.ErrFull
		}
		// The sink accounts for what it keeps.
		_ = hold.Grow(-size)
		if err != nil {
			err = silence.explain(ctx, err, acked)
			if !acked {
				err = fmt.Errorf("%w: %w", ErrUnacked, err)
			}
			return nil, err
		}
		if err := checkOrder(fr, begun); err != nil {
			return nil, err
		}
		if fr.End != nil {
			if fr.End.Code == "" && !begun {
				return nil, ErrNoHead
			}
			return fr.End, nil
		}
		if fr.Head != nil {
			if err := head.Check(*fr.Head); err != nil {
				return nil, err
			}
			begun = true
		}
		err = silence.pass(stream.HasData(fr.Data), func() error {
			if !acked && sink.Acked != nil {
				sink.Acked()
			}
			acked = true
			if sink.Received != nil {
				sink.Received()
			}
			return passFrame(fr, sink)
		})
		if err != nil {
			return nil, fmt.Errorf("%w: %w", ErrSink, err)
		}
	}
}

// checkOrder returns ErrDisorder unless a frame may come next in an answer, whose head has arrived or
// not. A frame may have no content: data of no bytes, or what another build sends.
func checkOrder(fr wire.Frame, begun bool) error {
	contents := 0
	for _, has := range []bool{
		fr.Head != nil, fr.Data != nil, fr.End != nil, fr.KeepAlive, fr.Request != nil,
		fr.FetchParts != nil, fr.FetchItems != nil, fr.Parts != nil, fr.Items != nil,
	} {
		if has {
			contents++
		}
	}
	switch {
	case contents > 1:
		return fmt.Errorf("%w: frame has %d contents", ErrDisorder, contents)
	case fr.Head != nil && begun:
		return fmt.Errorf("%w: second head, status %d", ErrDisorder, fr.Head.Status())
	case fr.Data != nil && !begun:
		return fmt.Errorf("%w: %d bytes of data before a head", ErrDisorder, len(fr.Data))
	case contents > 0 && fr.Head == nil && fr.Data == nil && fr.End == nil && !fr.KeepAlive:
		return fmt.Errorf("%w: frame is no part of an answer", ErrDisorder)
	}
	return nil
}

// markCancelled wraps ErrCancelled if the caller has disconnected, or if the deadline of a
// request that the other host had acknowledged has passed. An unacknowledged one may have
// been lost on the link.
func markCancelled(ctx context.Context, err error, acked bool) error {
	if errors.Is(ctx.Err(), context.Canceled) || (acked && ctx.Err() != nil) {
		return fmt.Errorf("%w: %w", ErrCancelled, err)
	}
	return err
}

// watchdog asks whether to give up an answer each time that no frame has arrived for a
// while, or frames without events have. It does not ask while a frame is passed on.
type watchdog struct {
	waits  Waits
	expire func()
	timer  *time.Timer

	mu  sync.Mutex
	due time.Time
	// eventDue is zero until the first event has arrived.
	eventDue time.Time
	// acked reports whether a frame has arrived.
	acked bool
	// silent reports whether none has arrived since the last question.
	silent bool
	// stalled reports whether the answer was given up though frames arrived.
	stalled bool
	// done reports whether the watchdog asks no more.
	done bool
}

// newWatchdog returns a running watchdog that first asks after waits.Ack and calls expire if
// the answer is to be given up.
func newWatchdog(waits Waits, expire func()) *watchdog {
	w := &watchdog{waits: waits, expire: expire, due: time.Now().Add(waits.Ack)}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(waits.Ack, w.ask)
	return w
}

// next returns when the next wait ends.
func (w *watchdog) next() time.Time {
	if !w.eventDue.IsZero() && w.eventDue.Before(w.due) {
		return w.eventDue
	}
	return w.due
}

func (w *watchdog) ask() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.done {
		return
	}
	if left := time.Until(w.next()); left > 0 {
		w.timer.Reset(left)
		return
	}
	now := time.Now()
	silent := !now.Before(w.due)
	w.silent = w.silent || silent
	if w.waits.GiveUp(w.acked) {
		w.stalled, w.done = !silent, true
		w.expire()
		return
	}
	if silent {
		w.due = now.Add(FrameTimeout)
	}
	if !w.eventDue.IsZero() {
		w.eventDue = now.Add(w.waits.Event)
	}
	w.timer.Reset(time.Until(w.next()))
}

// pass passes a frame on, which may have an event.
func (w *watchdog) pass(event bool, step func() error) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	err := step()
	w.acked, w.silent = true, false
	now := time.Now()
	w.due = now.Add(FrameTimeout)
	if event && w.waits.Event > 0 {
		w.eventDue = now.Add(w.waits.Event)
	}
	if !w.done {
		w.timer.Reset(w.next().Sub(now))
	}
	return err
}

// explain returns the error of a read with the cause that the watchdog recorded.
func (w *watchdog) explain(ctx context.Context, err error, acked bool) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.stalled:
		return fmt.Errorf("%w: %w", ErrStalled, err)
	case w.silent:
		return err
	}
	return markCancelled(ctx, err, acked)
}

// stop ends the watchdog and waits for a running question.
func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.done = true
	w.timer.Stop()
}

// passFrame passes the head or the data of a frame to sink.
func passFrame(fr wire.Frame, sink client.Sink) error {
	if fr.Head != nil {
		return sink.Head(*fr.Head)
	}
	if fr.Data != nil {
		return sink.Data(fr.Data)
	}
	return nil
}
