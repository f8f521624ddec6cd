package once

import (
	"context"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
)

// Run sends an operation on, into a sink, and returns why it has no whole
// answer, nil if it has.
type Run func(ctx context.Context, sink client.Sink) *fault.Refusal

// Guard runs operations at their home, each at most once.
type Guard struct {
	Home *Home
	Now  func() time.Time
	// Enter and Exit count operations that run, also those whose caller has left.
	Enter func() int
	Exit  func()
	// Repeated is called for each attempt at an operation that was begun before.
	Repeated func()
}

// Do runs an operation, or waits for its earlier run, and passes the outcome
// on. The run goes on until the deadline even if the caller leaves, so that the
// outcome is known to its repeats.
func (g *Guard) Do(
	ctx context.Context, k Key, digest [32]byte, deadline time.Time, run Run,
) Outcome {
	op, first, refusal := g.Home.Begin(g.Now(), k, digest)
	if refusal != nil {
		return Outcome{Refusal: refusal}
	}
	if !first {
		g.Repeated()
		return g.Home.Wait(ctx, op)
	}
	done := make(chan Outcome, 1)
	g.Enter()
	go func() {
		defer g.Exit()
		own, cancel := context.WithDeadline(context.WithoutCancel(ctx), deadline)
		defer cancel()
		out := collect(own, run)
		g.Home.Finish(op, out)
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

// collect runs an operation and keeps its whole answer.
func collect(ctx context.Context, run Run) Outcome {
	var out Outcome
	out.Refusal = run(ctx, client.Sink{
		Head: func(h wire.Head) error {
			out.Head = h
			return nil
		},
		Data: func(p []byte) error {
			out.Body = append(out.Body, p...)
			return nil
		},
	})
	return out
}

// Pass sends an outcome into a sink.
func (o Outcome) Pass(sink client.Sink) error {
	if o.Refusal != nil {
		return o.Refusal
	}
	if err := sink.Head(o.Head); err != nil {
		return err
	}
	return sink.Data(o.Body)
}
