// Package relay serves the requests of other hosts: it carries out, in this
// region, what another region's host sent, and is the home of the operations
// that this host numbered.
package relay

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/base/ctrl"
	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/board/revis"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/link"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/flow"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/once"
)

// openLimit bounds the first frame beyond the request body, in bytes.
const openLimit = 256 << 10

// slowPeer bounds the time that a peer may take for one frame.
const slowPeer = 10 * time.Second

// Handler serves streams from other hosts.
type Handler struct {
	Board  *board.Board
	Flow   *flow.Flow
	Guard  *once.Guard
	Signer *once.Signer
	Meter  *meter.Meter
	Log    zerolog.Logger
	// Pool bounds the requests carried out for other hosts at once.
	Pool *ants.Pool
	// Routed carries out a request that came by a published route; nil where there
	// are none.
	Routed func(ctx context.Context, o *wire.Open, sink client.Sink) Done
	// Items returns what changed in the platform's store; nil where hosts do not
	// tell each other.
	Items func(since uint64) *wire.Items
	// Behind is told of a host that has a newer configuration.
	Behind func(host string)
	// MaxBody bounds a request body, in bytes.
	MaxBody int
	Now     func() time.Time
}

// Done is how a request went that came by a published route.
type Done struct {
	// Refusal is nil where the answer was whole.
	Refusal *fault.Refusal
	// Sent counts the attempts that reached an endpoint.
	Sent int
	// Answer is an endpoint's own failure that was not passed on.
	Answer *wire.Answer
}

// Stream serves one stream; it implements link.Handlers.
func (h *Handler) Stream(ctx context.Context, peer string, s *link.Stream) {
	fr, err := s.Read(h.MaxBody+openLimit, time.Now().Add(slowPeer))
	if err != nil {
		if !errors.Is(err, io.EOF) {
			h.Log.Debug().Err(err).Str("peer", peer).Msg("bad first frame")
		}
		s.Abort()
		return
	}
	switch {
	case fr.Fetch != nil:
		h.fetch(fr.Fetch, s)
	case fr.Since != nil && h.Items != nil:
		if err := s.Write(wire.Frame{Items: h.Items(fr.Since.Revision)}, time.Now().Add(slowPeer)); err != nil {
			h.Log.Debug().Err(err).Str("peer", peer).Msg("items not told")
		}
		s.Finish()
	case fr.Open != nil:
		h.submit(ctx, peer, fr.Open, s)
	default:
		s.Abort()
	}
}

// submit runs the request on the pool and waits for its end.
func (h *Handler) submit(ctx context.Context, peer string, o *wire.Open, s *link.Stream) {
	done := make(chan struct{})
	err := h.Pool.Submit(func() {
		defer close(done)
		h.serve(ctx, peer, o, s)
	})
	if err != nil {
		end := flow.EndOf(fault.New(fault.Busy, fault.RanNo, "host is full").WithRetryAfter(time.Second))
		_ = s.Write(wire.Frame{End: end}, time.Now().Add(slowPeer))
		return
	}
	<-done
}

// answer is the sending side of one stream.
type answer struct {
	mu sync.Mutex
	s  *link.Stream
}

func (a *answer) write(f wire.Frame) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.s.Write(f, time.Now().Add(slowPeer))
}

func (h *Handler) serve(ctx context.Context, peer string, o *wire.Open, s *link.Stream) {
	h.Board.Pulse.Enter()
	defer h.Board.Pulse.Exit()
	a := &answer{s: s}
	// The sender tells a dead link by the lack of these frames.
	stop := ctrl.Every(flow.AliveEvery, func() bool { return a.write(wire.Frame{Alive: true}) == nil })
	sink := client.Sink{
		Head: func(hd wire.Head) error { return a.write(wire.Frame{Head: &hd}) },
		Data: func(p []byte) error { return a.write(wire.Frame{Data: p}) },
	}
	done := Done{Refusal: fault.New(fault.Cancelled, fault.RanNo, "sender has left")}
	if a.write(wire.Frame{Alive: true}) == nil {
		done = h.either(ctx, peer, o, sink)
	}
	stop()
	if done.Refusal != nil {
		h.Meter.Refusal(done.Refusal)
	}
	end := flow.EndOf(done.Refusal)
	end.Sent, end.Answer = done.Sent, done.Answer
	_ = a.write(wire.Frame{End: end})
}

// either carries out a request by a published route or by the inventory.
func (h *Handler) either(ctx context.Context, peer string, o *wire.Open, sink client.Sink) Done {
	switch {
	case o.Routed == nil || h.Routed == nil:
		return Done{Refusal: h.handle(ctx, peer, o, sink)}
	case h.Board.Pulse.Leaving():
		return Done{Refusal: fault.New(fault.Leaving, fault.RanNo, "host is leaving")}
	}
	return h.Routed(ctx, o, sink)
}

func (h *Handler) handle(ctx context.Context, peer string, o *wire.Open, sink client.Sink) *fault.Refusal {
	r, refusal := h.check(peer, o)
	if refusal != nil {
		return refusal
	}
	switch o.Role {
	case wire.Relay:
		return h.relay(ctx, r, sink)
	case wire.Home:
		return h.home(ctx, o, r, sink)
	}
	return fault.New(fault.BadRequest, fault.RanNo, "unknown role %d", o.Role)
}

// check verifies a request against this host's own configuration.
func (h *Handler) check(peer string, o *wire.Open) (flow.Request, *fault.Refusal) {
	inv := h.Board.Revisions.Inventory()
	if h.Board.Pulse.Leaving() && o.Role == wire.Relay {
		return flow.Request{}, fault.New(fault.Leaving, fault.RanNo, "host is leaving")
	}
	if inv == nil {
		return flow.Request{}, fault.New(fault.NotReady, fault.RanNo, "host has no configuration")
	}
	if o.Revision > inv.Revision {
		h.Behind(peer)
		return flow.Request{}, fault.New(fault.NotReady, fault.RanNo,
			"host has revision %d, the request was decided by %d", inv.Revision, o.Revision).
			WithRetryAfter(time.Second)
	}
	if inv.HostRegion(peer) != o.From {
		return flow.Request{}, fault.New(fault.Forbidden, fault.RanNo, "host %s is not of region %s", peer, o.From)
	}
	c, ok := inv.CallerByName(o.Caller)
	if !ok {
		return flow.Request{}, fault.New(fault.Forbidden, fault.RanNo, "caller %s is not listed", o.Caller)
	}
	s, ok := inv.Service(o.Service)
	if !ok || !c.May(o.Service) {
		return flow.Request{}, fault.New(fault.NoService, fault.RanNo, "service %s is not listed", o.Service)
	}
	if len(o.Body) > h.MaxBody {
		return flow.Request{}, fault.New(fault.TooLarge, fault.RanNo, "body of %d bytes", len(o.Body))
	}
	return flow.Request{
		ID: o.ID, Caller: c, Service: s, Method: o.Method, Path: o.Path, Fields: o.Fields, Body: o.Body,
		Deadline:   h.Now().Add(time.Duration(o.LeftMS) * time.Millisecond),
		Repeatable: s.MayRepeat(o.Method, o.Path), Prefix: o.Prefix, Stream: o.Stream, From: o.From,
	}, nil
}

// relay carries out a request of another region's host.
func (h *Handler) relay(ctx context.Context, r flow.Request, sink client.Sink) *fault.Refusal {
	if r.From == h.Board.Region {
		return fault.New(fault.BadRequest, fault.RanNo, "request of this region needs no relay")
	}
	if refusal := h.allowed(r); refusal != nil {
		return refusal
	}
	return h.Flow.Carry(ctx, flow.Relayed{Request: r}, h.named(sink)).Refusal
}

func (h *Handler) allowed(r flow.Request) *fault.Refusal {
	if invent.Allowed(r.Caller, r.Service, h.Board.Region) {
		return nil
	}
	return fault.New(fault.NoRegion, fault.RanNo, "region %s may not serve the request", h.Board.Region)
}

// named adds the host that carried the request out to the answer's head.
func (h *Handler) named(sink client.Sink) client.Sink {
	return client.Sink{
		Head: func(hd wire.Head) error {
			hd.Endpoint = h.Board.Name
			return sink.Head(hd)
		},
		Data: sink.Data,
	}
}

// home runs an operation that this process numbered. What it says of the run
// speaks for every attempt at the operation.
func (h *Handler) home(ctx context.Context, o *wire.Open, r flow.Request, sink client.Sink) *fault.Refusal {
	k, err := h.Signer.Parse(o.Key, r.Caller.Name)
	if err != nil {
		return fault.New(fault.KeyInvalid, fault.RanNo, "operation key is not valid").WithCause(err)
	}
	out := h.Operate(ctx, k, r)
	if out.Refusal != nil {
		return out.Refusal
	}
	if err := out.Pass(sink); err != nil {
		return fault.From(err)
	}
	return nil
}

// Operate runs an operation at this home.
func (h *Handler) Operate(ctx context.Context, k once.Key, r flow.Request) once.Outcome {
	if k.Prefix.Host != h.Board.Name || k.Prefix.Life != h.Board.Members.Life() {
		return once.Outcome{Refusal: fault.New(fault.HomeGone, fault.RanUnknown,
			"the process that numbered the operation is gone")}
	}
	if h.Board.Pulse.Leaving() && !h.Guard.Home.Knows(k) {
		return once.Outcome{Refusal: fault.New(fault.Leaving, fault.RanNo, "host is leaving; take a new key")}
	}
	if refusal := h.Flow.Gate(ctx, r.Deadline); refusal != nil {
		return once.Outcome{Refusal: refusal.WithRan(h.ranBefore(k))}
	}
	digest := once.Digest(r.Service.Name, r.Method, r.Path, r.Body)
	return h.Guard.Do(ctx, k, digest, r.Deadline, func(ctx context.Context, sink client.Sink) *fault.Refusal {
		if r.From != h.Board.Region {
			if refusal := h.allowed(r); refusal != nil {
				return refusal
			}
			return h.Flow.Carry(ctx, flow.Relayed{Request: r}, sink).Refusal
		}
		return h.Flow.Enter(ctx, r, sink).Refusal
	})
}

// ranBefore is what can be said of an operation of which this attempt started nothing.
func (h *Handler) ranBefore(k once.Key) fault.Ran {
	if h.Guard.Home.Knows(k) {
		return fault.RanUnknown
	}
	return fault.RanNo
}

// fetch answers with documents of the configuration in force.
func (h *Handler) fetch(f *wire.Fetch, s *link.Stream) {
	force := h.Board.Revisions.Force()
	parts := &wire.Parts{}
	if force != nil {
		parts = partsOf(force, f.Hashes)
	}
	_ = s.Write(wire.Frame{Parts: parts}, time.Now().Add(slowPeer))
}

// maxFetch bounds the parts of one answer.
const maxFetch = 16

func partsOf(force *revis.Force, hashes []string) *wire.Parts {
	if len(hashes) == 0 {
		return &wire.Parts{Head: slices.Clone(force.Head)}
	}
	p := &wire.Parts{}
	for _, hash := range hashes[:min(len(hashes), maxFetch)] {
		p.Documents = append(p.Documents, force.Documents[hash])
	}
	return p
}
