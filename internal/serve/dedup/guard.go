package dedup

import (
	"context"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/held"
)

// Run executes an operation and writes its answer into a sink. It returns nil after a
// whole answer, else the reason why there is none.
type Run func(ctx context.Context, sink client.Sink) *fault.Refusal

// Guard runs operations at their home host, each at most once.
type Guard struct {
	Home *Home
	Now  func() time.Time
	// Enter and Exit count in-flight operations, including those whose caller has
	// disconnected.
	Enter func() int
	Exit  func()
	// Retried is called for each retry of an operation that was already started.
	Retried func()
	// Held is the account of the answers that the host keeps; nil means no limit. What Home stores is
	// bounded by itself.
	Held *held.Account
}

// Do runs an operation, or waits for its run if it was already started, and returns
// the outcome. The run continues until the deadline even if the caller disconnects, so
// that retries get the outcome.
func (g *Guard) Do(
	ctx context.Context, k Key, digest [32]byte, deadline time.Time, run Run,
) Outcome {
	op, first, refusal := g.Home.Begin(g.Now(), k, digest)
	if refusal != nil {
		return Outcome{Refusal: refusal}
	}
	if !first {
		g.Retried()
		return g.Home.Wait(ctx, op)
	}
	done := make(chan Outcome, 1)
	g.Enter()
	go func() {
		defer g.Exit()
		runCtx, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
		defer cancel()
		waiting := held.NewWaiting(g.Held, func() {})
		out := collect(runCtx, run, waiting)
		g.Home.Finish(op, out)
		// Who sends the outcome accounts for it.
		waiting.Close()
		done <- out
	}()
	select {
	case out := <-done:
		return out
	case <-ctx.Done():
		return Outcome{Refusal: fault.New(fault.Deadline, fault.RanUnknown, "operation is still running").
			WithRetryAfter(time.Second)}
	}
}

// collect runs an operation and collects its answer.
func collect(ctx context.Context, run Run, waiting *held.Waiting) Outcome {
	var out Outcome
	var full error
	out.Refusal = run(ctx, client.Sink{
		Head: func(h wire.Head) error {
			out.Head = h
			return nil
		},
		Data: func(p []byte) error {
			full = waiting.Add(p)
			return full
		},
	})
	if full != nil {
		out.Refusal = fault.New(fault.EndpointError, fault.RanYes, "operation ran; there is no room for its answer").WithCause(full)
	}
	out.Body = waiting.Body()
	return out
}

// Send writes the answer into a sink. It returns the refusal if there is no answer.
func (o Outcome) Send(sink client.Sink) error {
	if o.Refusal != nil {
		return o.Refusal
	}
	if err := sink.Head(o.Head); err != nil {
		return err
	}
	return sink.Data(o.Body)
}
