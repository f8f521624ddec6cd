// Package ctrl runs a host's controllers on a pool of workers. A controller is a
// function that runs periodically; its runs never overlap.
package ctrl

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
)

// tickPeriod is the grid of the times at which controllers start, so that those that are due at about
// the same time share one wake-up of the process.
const tickPeriod = 10 * time.Millisecond

// Controller is a function that runs once a period.
type Controller struct {
	Name   string
	Period time.Duration
	Step   func(ctx context.Context, now time.Time)
}

// entry is a controller with its state in the runner.
type entry struct {
	Controller
	// next is the time of the next run unless triggered is set.
	next      time.Time
	running   atomic.Bool
	triggered atomic.Bool
}

// Runner runs controllers until it is closed.
type Runner struct {
	pool    *ants.Pool
	log     zerolog.Logger
	entries []*entry
	// wake ends the wait for the next controller that is due, as one was triggered.
	wake   chan struct{}
	cancel context.CancelFunc
	// loopDone waits for the goroutine of loop, steps for the running controllers.
	loopDone sync.WaitGroup
	steps    sync.WaitGroup
}

// New returns a runner with its own pool of workers.
func New(workers int, log zerolog.Logger) (*Runner, error) {
	pool, err := ants.NewPool(workers, ants.WithNonblocking(true), ants.WithPanicHandler(func(p any) {
		log.Error().Str("panic", fmt.Sprint(p)).Msg("controller panicked")
	}))
	if err != nil {
		return nil, fmt.Errorf("create controller pool: %w", err)
	}
	return &Runner{pool: pool, log: log, wake: make(chan struct{}, 1)}, nil
}

// Add adds a controller; it must be called before Start.
func (r *Runner) Add(c Controller) { r.entries = append(r.entries, &entry{Controller: c}) }

// Trigger makes a controller run at the next tick, or once its current run has ended.
func (r *Runner) Trigger(name string) {
	for _, e := range r.entries {
		if e.Name == name {
			e.triggered.Store(true)
			r.wakeLoop()
		}
	}
}

func (r *Runner) wakeLoop() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Start runs the controllers in the background until Close.
func (r *Runner) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.loopDone.Go(func() { r.loop(ctx) })
}

// loop starts the controllers that are due. It does not wake an idle process at each tick.
func (r *Runner) loop(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-r.wake:
			timer.Reset(untilTick(time.Now(), time.Now()))
		case now := <-timer.C:
			for _, e := range r.entries {
				r.runIfDue(ctx, e, now)
			}
			timer.Reset(untilTick(now, r.nextDue(now)))
		}
	}
}

// nextDue returns when the next controller is due. One that is due already and still runs wakes the
// loop at its end.
func (r *Runner) nextDue(now time.Time) time.Time {
	next := now.Add(maxWait)
	for _, e := range r.entries {
		if e.running.Load() && !e.next.After(now) {
			continue
		}
		if e.next.Before(next) {
			next = e.next
		}
	}
	return next
}

// maxWait bounds the wait for a controller that is due.
const maxWait = time.Second

// untilTick returns the time until the first tick after now at which a time has come.
func untilTick(now, at time.Time) time.Duration {
	if at.Before(now) {
		at = now
	}
	return at.Truncate(tickPeriod).Add(tickPeriod).Sub(now)
}

// runIfDue starts a controller on a worker if it is due or triggered and not running.
func (r *Runner) runIfDue(ctx context.Context, e *entry, now time.Time) {
	if now.Before(e.next) && !e.triggered.Load() {
		return
	}
	if !e.running.CompareAndSwap(false, true) {
		return
	}
	e.triggered.Store(false)
	e.next = now.Add(e.Period)
	r.steps.Add(1)
	err := r.pool.Submit(func() {
		defer r.steps.Done()
		defer r.endRun(e, e.next)
		e.Step(ctx, time.Now())
	})
	if err != nil {
		r.steps.Done()
		e.running.Store(false)
		r.log.Warn().Err(err).Str("controller", e.Name).Msg("no free worker; controller run skipped")
	}
}

// endRun records that a run of a controller has ended, whose next one is due at a time.
func (r *Runner) endRun(e *entry, next time.Time) {
	e.running.Store(false)
	if e.triggered.Load() || !time.Now().Before(next) {
		r.wakeLoop()
	}
}

// Close stops the runner and waits for the running controllers.
func (r *Runner) Close() {
	r.cancel()
	r.loopDone.Wait()
	r.steps.Wait()
	r.pool.Release()
}
