// Package ctrl runs a host's controllers on a pool of workers. A controller is
// a step that is run once a period and never twice at a time.
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

const resolution = 10 * time.Millisecond

// Controller is one step with its period.
type Controller struct {
	Name   string
	Period time.Duration
	Step   func(ctx context.Context, now time.Time)
}

type entry struct {
	Controller
	next    time.Time
	running atomic.Bool
	kicked  atomic.Bool
}

// Runner runs controllers until it is closed.
type Runner struct {
	pool    *ants.Pool
	log     zerolog.Logger
	entries []*entry
	cancel  context.CancelFunc
	wait    sync.WaitGroup
	work    sync.WaitGroup
}

// New returns a runner with a pool of its own.
func New(workers int, log zerolog.Logger) (*Runner, error) {
	pool, err := ants.NewPool(workers, ants.WithNonblocking(true), ants.WithPanicHandler(func(p any) {
		log.Error().Str("panic", fmt.Sprint(p)).Msg("controller failed")
	}))
	if err != nil {
		return nil, fmt.Errorf("controller pool: %w", err)
	}
	return &Runner{pool: pool, log: log}, nil
}

// Add adds a controller; it is to be called before Start.
func (r *Runner) Add(c Controller) { r.entries = append(r.entries, &entry{Controller: c}) }

// Kick lets a controller run as soon as it can.
func (r *Runner) Kick(name string) {
	for _, e := range r.entries {
		if e.Name == name {
			e.kicked.Store(true)
		}
	}
}

// Start begins to run the controllers.
func (r *Runner) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	r.cancel = cancel
	r.wait.Go(func() { r.loop(ctx) })
}

func (r *Runner) loop(ctx context.Context) {
	tick := time.NewTicker(resolution)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			for _, e := range r.entries {
				r.consider(ctx, e, now)
			}
		}
	}
}

func (r *Runner) consider(ctx context.Context, e *entry, now time.Time) {
	if now.Before(e.next) && !e.kicked.Load() {
		return
	}
	if !e.running.CompareAndSwap(false, true) {
		return
	}
	e.kicked.Store(false)
	e.next = now.Add(e.Period)
	r.work.Add(1)
	err := r.pool.Submit(func() {
		defer r.work.Done()
		defer e.running.Store(false)
		e.Step(ctx, time.Now())
	})
	if err != nil {
		r.work.Done()
		e.running.Store(false)
		r.log.Warn().Err(err).Str("controller", e.Name).Msg("no worker is free")
	}
}

// Close ends the runner and waits for the steps that run.
func (r *Runner) Close() {
	r.cancel()
	r.wait.Wait()
	r.work.Wait()
	r.pool.Release()
}
