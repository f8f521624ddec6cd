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

// tickPeriod is how often the runner checks which controllers are due.
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
	cancel  context.CancelFunc
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
	return &Runner{pool: pool, log: log}, nil
}

// Add adds a controller; it must be called before Start.
func (r *Runner) Add(c Controller) { r.entries = append(r.entries, &entry{Controller: c}) }

// Trigger makes a controller run at the next tick, or once its current run has ended.
func (r *Runner) Trigger(name string) {
	for _, e := range r.entries {
		if e.Name == name {
			e.triggered.Store(true)
		}
	}
}

// Start runs the controllers in the background until Close.
func (r *Runner) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.loopDone.Go(func() { r.loop(ctx) })
}

// loop starts the controllers that are due at each tick.
func (r *Runner) loop(ctx context.Context) {
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, e := range r.entries {
				r.runIfDue(ctx, e, now)
			}
		}
	}
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
		defer e.running.Store(false)
		e.Step(ctx, time.Now())
	})
	if err != nil {
		r.steps.Done()
		e.running.Store(false)
		r.log.Warn().Err(err).Str("controller", e.Name).Msg("no free worker; controller run skipped")
	}
}

// Close stops the runner and waits for the running controllers.
func (r *Runner) Close() {
	r.cancel()
	r.loopDone.Wait()
	r.steps.Wait()
	r.pool.Release()
}
