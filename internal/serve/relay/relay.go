// Package relay serves the streams of other hosts. It serves requests that another
// region relayed, in this region only, runs the operations whose keys this host
// issued, and sends parts of the configuration and changes of the platform's store.
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
	"github.com/hyssopspindle/hyssopspindle/internal/base/memory"
	"github.com/hyssopspindle/hyssopspindle/internal/base/socket"
	"github.com/hyssopspindle/hyssopspindle/internal/base/syntax"
	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/board/revis"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/link"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/dedup"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/flow"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/held"
)

// maxRequestOverhead is the largest size of the first frame without the request body,
// in bytes.
const maxRequestOverhead = 256 << 10

// frameIOTimeout is the longest time to read or write one frame.
const frameIOTimeout = 10 * time.Second

// Handler serves streams of other hosts.
type Handler struct {
	Board  *board.Board
	Flow   *flow.Flow
	Guard  *dedup.Guard
	Signer *dedup.Signer
	Meter  *meter.Meter
	Log    zerolog.Logger
	// Pool limits the number of concurrent requests of other hosts.
	Pool *ants.Pool
	// ServeRouted serves a request of a published route; nil if the host has no published
	// routes.
	ServeRouted func(ctx context.Context, msg *wire.Request, sink client.Sink) Result
	// StoreChanges returns the changes of the platform's store after a revision; nil if hosts
	// do not exchange them.
	StoreChanges func(since *wire.FetchItems) *wire.Items
	// OnNewerRevision is called with the name of a host that has a newer configuration.
	OnNewerRevision func(host string)
	// MaxBody is the largest request body, in bytes.
	MaxBody int
	// Bodies is the account of the bodies of requests.
	Bodies *memory.Account
	// Held is the account of the answers that the host keeps; nil means no limit.
	Held *held.Account
	Now  func() time.Time
}

// Result is the outcome of a request of a published route.
type Result struct {
	// Refusal is nil if the whole answer was passed on.
	Refusal *fault.Refusal
	// Sent counts the attempts that reached an endpoint.
	Sent int
	// Runs counts the attempts that may have run.
	Runs int
	// ErrorAnswer is an endpoint's error response that was not passed on.
	ErrorAnswer *wire.Answer
}

// Stream serves one stream of a peer host, for use in link.Handlers.
func (h *Handler) Stream(ctx context.Context, peer string, s *link.Stream) {
	hold := h.Bodies.Open(peer, func() {})
	defer hold.Close()
	fr, err := s.ReadReserved(h.MaxBody+maxRequestOverhead, time.Now().Add(frameIOTimeout), func(n int) error {
		if err := hold.Grow(n); err != nil {
			return err
		}
		// Peer hosts send a frame at once, so it is not dropped for another one.
		return hold.Accept()
	})
	if errors.Is(err, memory.ErrFull) {
		h.refuse(s, socket.RefusalOf(err))
		// The peer host receives nothing before it has sent all of its request.
		s.Discard(time.Now().Add(frameIOTimeout))
		return
	}
	if err != nil {
		if !errors.Is(err, io.EOF) {
			h.Log.Debug().Err(err).Str("peer", peer).Msg("failed to read the first frame")
		}
		s.Abort()
		return
	}
	switch {
	case fr.FetchParts != nil:
		h.sendParts(fr.FetchParts, s)
	case fr.FetchItems != nil && h.StoreChanges != nil:
		if err := s.Write(wire.Frame{Items: h.StoreChanges(fr.FetchItems)}, time.Now().Add(frameIOTimeout)); err != nil {
			h.Log.Debug().Err(err).Str("peer", peer).Msg("failed to send store changes")
		}
		s.Finish()
	case fr.Request != nil:
		h.submit(ctx, peer, fr.Request, s)
	default:
		s.Abort()
	}
}

// submit serves a request on the pool and waits until it ends.
func (h *Handler) submit(ctx context.Context, peer string, msg *wire.Request, s *link.Stream) {
	done := make(chan struct{})
	err := h.Pool.Submit(func() {
		defer close(done)
		h.serve(ctx, peer, msg, s)
	})
	if err != nil {
		h.refuse(s, fault.New(fault.Busy, fault.RanNo, "host serves too many requests of other hosts").WithRetryAfter(time.Second))
		return
	}
	<-done
}

// refuse answers a request that is not served.
func (h *Handler) refuse(s *link.Stream, refusal *fault.Refusal) {
	h.Meter.CountRefusal(refusal)
	_ = s.Write(wire.Frame{End: flow.NewWireEnd(refusal)}, time.Now().Add(frameIOTimeout))
}

// frameWriter writes frames to one stream. It is safe for concurrent use.
type frameWriter struct {
	mu sync.Mutex
	s  *link.Stream
}

func (w *frameWriter) write(f wire.Frame) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.s.Write(f, time.Now().Add(frameIOTimeout))
}

// serve serves a request and sends its answer, its end and frames that keep the
// stream alive.
func (h *Handler) serve(ctx context.Context, peer string, msg *wire.Request, s *link.Stream) {
	h.Board.Health.Enter()
	defer h.Board.Health.Exit()
	w := &frameWriter{s: s}
	// The peer detects a dead link by the lack of these frames.
	stop := ctrl.Every(flow.AliveInterval, func() bool { return w.write(wire.Frame{KeepAlive: true}) == nil })
	waiting := held.NewWaiting(h.Held, s.Abort)
	defer waiting.Close()
	sink := client.Sink{
		Head: func(hd wire.Head) error { return w.write(wire.Frame{Head: &hd}) },
		Data: func(p []byte) error {
			return waiting.Pass(p, func(p []byte) error { return w.write(wire.Frame{Data: p}) })
		},
	}
	done := Result{Refusal: fault.New(fault.Cancelled, fault.RanNo, "peer host disconnected")}
	if w.write(wire.Frame{KeepAlive: true}) == nil {
		done = h.dispatch(ctx, peer, msg, sink)
	}
	stop()
	if done.Refusal != nil {
		h.Meter.CountRefusal(done.Refusal)
	}
	end := flow.NewWireEnd(done.Refusal)
	end.Attempts, end.Answer, end.Runs = done.Sent, done.ErrorAnswer, done.Runs
	_ = w.write(wire.Frame{End: end})
}

// dispatch serves a request by its published route or by the inventory.
func (h *Handler) dispatch(ctx context.Context, peer string, msg *wire.Request, sink client.Sink) Result {
	if err := syntax.As(checkSyntax(msg)); err != nil {
		h.Meter.RecordMalformed(h.Log, "peers", peer, err)
		return Result{Refusal: fault.New(fault.BadRequest, fault.RanNo, "%v", err)}
	}
	switch {
	case msg.Routing == nil || h.ServeRouted == nil:
		return Result{Refusal: h.serveByInventory(ctx, peer, msg, sink)}
	case h.Board.Health.Leaving():
		return Result{Refusal: fault.New(fault.Leaving, fault.RanNo, "host is shutting down")}
	}
	return h.ServeRouted(ctx, msg, sink)
}

// checkSyntax returns an error of package syntax unless a request may be sent to an endpoint as it is. Hosts of older
// releases relay what they did not check.
func checkSyntax(msg *wire.Request) error {
	if err := syntax.CheckTarget(msg.Method, msg.Path); err != nil {
		return err
	}
	if err := syntax.CheckField("id", msg.ID); err != nil {
		return err
	}
	if msg.Routing != nil {
		if err := syntax.CheckHost(msg.Routing.Host); err != nil {
			return err
		}
	}
	for _, f := range msg.Fields {
		if err := syntax.CheckField(f.Name, f.Value); err != nil {
			return err
		}
		if syntax.FramesOrRoutes(f.Name) {
			return &syntax.Error{Reason: syntax.FieldLine, Detail: "relayed request has the field " + f.Name}
		}
	}
	return nil
}

// serveByInventory serves a request by this host's inventory, in the role that the
// peer asks for.
func (h *Handler) serveByInventory(ctx context.Context, peer string, msg *wire.Request, sink client.Sink) *fault.Refusal {
	r, refusal := h.checkedRequest(peer, msg)
	if refusal != nil {
		return refusal
	}
	switch msg.Role {
	case wire.Relay:
		return h.serveRelayed(ctx, r, sink)
	case wire.Home:
		return h.serveHome(ctx, msg, r, sink)
	}
	return fault.New(fault.BadRequest, fault.RanNo, "unknown role %d", msg.Role)
}

// checkedRequest checks a message against this host's inventory and returns its request.
func (h *Handler) checkedRequest(peer string, msg *wire.Request) (flow.Request, *fault.Refusal) {
	inv := h.Board.Revisions.Inventory()
	if h.Board.Health.Leaving() && msg.Role == wire.Relay {
		return flow.Request{}, fault.New(fault.Leaving, fault.RanNo, "host is shutting down")
	}
	if inv == nil {
		return flow.Request{}, fault.New(fault.NotReady, fault.RanNo, "host has no configuration")
	}
	if msg.Revision > inv.Revision {
		h.OnNewerRevision(peer)
		return flow.Request{}, fault.New(fault.NotReady, fault.RanNo,
			"host has revision %d, older than the revision %d of the request", inv.Revision, msg.Revision).
			WithRetryAfter(time.Second)
	}
	if inv.HostRegion(peer) != msg.EntryRegion {
		return flow.Request{}, fault.New(fault.Forbidden, fault.RanNo, "host %s is not in region %s", peer, msg.EntryRegion)
	}
	c, ok := inv.CallerByName(msg.Caller)
	if !ok {
		return flow.Request{}, fault.New(fault.Forbidden, fault.RanNo, "caller %s is not in the inventory", msg.Caller)
	}
	s, ok := inv.Service(msg.Service)
	if !ok || !c.MayUse(msg.Service) {
		return flow.Request{}, fault.New(fault.NoService, fault.RanNo, "service %s is not available to the caller", msg.Service)
	}
	if len(msg.Body) > h.MaxBody {
		return flow.Request{}, fault.New(fault.TooLarge, fault.RanNo, "body of %d bytes is too large", len(msg.Body))
	}
	return flow.Request{
		ID: msg.ID, Caller: c, Service: s, Method: msg.Method, Path: msg.Path, Fields: msg.Fields, Body: msg.Body,
		Deadline:  h.Now().Add(time.Duration(msg.TimeLeftMS) * time.Millisecond),
		Retryable: s.MayRetry(msg.Method, msg.Path), Prefix: msg.Prefix, Stream: msg.Stream, EntryRegion: msg.EntryRegion,
	}, nil
}

// serveRelayed serves a request that a host of another region relayed.
func (h *Handler) serveRelayed(ctx context.Context, r flow.Request, sink client.Sink) *fault.Refusal {
	if r.EntryRegion == h.Board.Region {
		return fault.New(fault.BadRequest, fault.RanNo, "request of this region needs no relay")
	}
	if refusal := h.regionRefusal(r); refusal != nil {
		return refusal
	}
	return h.Flow.ServeRelayed(ctx, flow.Relayed{Request: r}, h.withHostName(sink)).Refusal
}

// regionRefusal returns a refusal if the request may not be served in this region.
func (h *Handler) regionRefusal(r flow.Request) *fault.Refusal {
	if invent.RegionAllowed(r.Caller, r.Service, h.Board.Region) {
		return nil
	}
	return fault.New(fault.NoRegion, fault.RanNo, "region %s may not serve the request", h.Board.Region)
}

// withHostName returns a sink that sets the endpoint in the answer's head to the name
// of this host.
func (h *Handler) withHostName(sink client.Sink) client.Sink {
	return client.Sink{
		Head: func(hd wire.Head) error {
			return sink.Head(hd.WithEndpoint(h.Board.Name))
		},
		Data: sink.Data,
	}
}

// serveHome runs an operation whose key this process issued. Its refusal states
// whether any attempt at the operation ran, not only this one.
func (h *Handler) serveHome(ctx context.Context, msg *wire.Request, r flow.Request, sink client.Sink) *fault.Refusal {
	k, err := h.Signer.Parse(msg.Key, r.Caller.Name)
	if err != nil {
		return fault.New(fault.KeyInvalid, fault.RanNo, "operation key is not valid").WithCause(err)
	}
	out := h.RunOperation(ctx, k, r)
	if out.Refusal != nil {
		return out.Refusal
	}
	if err := out.Send(sink); err != nil {
		return fault.From(err)
	}
	return nil
}

// RunOperation runs an operation as its home host, the host that issued its key.
func (h *Handler) RunOperation(ctx context.Context, k dedup.Key, r flow.Request) dedup.Outcome {
	if k.Prefix.Host != h.Board.Name || k.Prefix.Life != h.Board.Members.Incarnation() {
		return dedup.Outcome{Refusal: fault.New(fault.HomeGone, fault.RanUnknown,
			"the home process of the operation key has ended")}
	}
	if h.Board.Health.Leaving() && !h.Guard.Home.Has(k) {
		return dedup.Outcome{Refusal: fault.New(fault.Leaving, fault.RanNo, "host is shutting down; request a new operation key")}
	}
	if refusal := h.Flow.Gate(ctx, r.Deadline); refusal != nil {
		return dedup.Outcome{Refusal: refusal.WithRan(h.earlierRun(k))}
	}
	digest := dedup.Digest(r.Service.Name, r.Method, r.Path, r.Body)
	return h.Guard.Do(ctx, k, digest, r.Deadline, func(ctx context.Context, sink client.Sink) *fault.Refusal {
		if r.EntryRegion != h.Board.Region {
			if refusal := h.regionRefusal(r); refusal != nil {
				return refusal
			}
			return h.Flow.ServeRelayed(ctx, flow.Relayed{Request: r}, sink).Refusal
		}
		return h.Flow.Serve(ctx, r, sink).Refusal
	})
}

// earlierRun states whether an operation may have run before this attempt, which ran
// nothing.
func (h *Handler) earlierRun(k dedup.Key) fault.Ran {
	if h.Guard.Home.Has(k) {
		return fault.RanUnknown
	}
	return fault.RanNo
}

// sendParts sends the requested documents of the current configuration.
func (h *Handler) sendParts(f *wire.FetchParts, s *link.Stream) {
	config := h.Board.Revisions.Active()
	parts := &wire.Parts{}
	if config != nil {
		parts = configParts(config, f.Hashes)
	}
	_ = s.Write(wire.Frame{Parts: parts}, time.Now().Add(frameIOTimeout))
}

// maxFetchedParts is the largest number of documents in one answer.
const maxFetchedParts = 16

// configParts returns the documents with the given hashes, or the head document if no
// hash is given.
func configParts(config *revis.Active, hashes []string) *wire.Parts {
	if len(hashes) == 0 {
		return &wire.Parts{Head: slices.Clone(config.Head)}
	}
	p := &wire.Parts{}
	for _, hash := range hashes[:min(len(hashes), maxFetchedParts)] {
		p.Documents = append(p.Documents, config.Documents[hash])
	}
	return p
}
