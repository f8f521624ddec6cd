// Package feed follows what the platform's store holds: it lists a part of it
// once and watches it from there on, and lists it again where the store has
// forgotten the history.
package feed

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/base/ctrl"
	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
)

// ErrForgotten is the error of a watch whose history the store has dropped.
var ErrForgotten = errors.New("store has dropped this history")

// Change is one change in the store. At most one of Rules, Endpoint and Gone is set.
type Change struct {
	Key      string
	Revision uint64
	// Rules is a published version.
	Rules *rules.Rules
	// Endpoint is a registration.
	Endpoint *regis.Endpoint
	// Gone is the id of a registration that was removed.
	Gone string
	// Centre is a data centre whose evacuation was ordered or taken back.
	Centre    string
	Evacuated bool
	// Err says why the item could not be read; it changes nothing.
	Err error
}

// Batch is what one call returns.
type Batch struct {
	Changes []Change
	// At is the revision to go on from.
	At uint64
}

const (
	// retryLeast and retryMost bound the pause after a failed call, in between it
	// doubles.
	retryLeast = 100 * time.Millisecond
	retryMost  = 800 * time.Millisecond
	// settled is the time without a failed call after which removals are taken
	// at once: a store that was away has the live registrations back 2 s after.
	settled = 2200 * time.Millisecond
	// slowCall is the time of a listing from which the store counts as disturbed.
	slowCall = 400 * time.Millisecond
)

// Feed follows one part of the store. All fields are set before Run.
type Feed struct {
	// Name tells feeds apart in logs.
	Name string
	// List returns the whole part.
	List func(ctx context.Context) (Batch, error)
	// Watch returns the changes after a revision, waiting for one.
	Watch func(ctx context.Context, after uint64) (Batch, error)
	// Listed and Changed take the results in; until is zero, or the time to
	// which removed registrations are kept as the store was disturbed.
	Listed  func(now time.Time, b Batch, until time.Time)
	Changed func(now time.Time, b Batch, until time.Time)
	// Lost is told of each failed call.
	Lost func(now time.Time, err error)
	// Pace is the least time between two calls.
	Pace time.Duration
	Now  func() time.Time
	Log  zerolog.Logger

	failures int
	trouble  time.Time
	listed   bool
}

// Run follows until the context ends.
func (f *Feed) Run(ctx context.Context) {
	var at uint64
	need := true
	for ctx.Err() == nil {
		began := f.Now()
		b, err := f.call(ctx, need, at)
		now := f.Now()
		if ctx.Err() != nil {
			return
		}
		switch {
		case errors.Is(err, ErrForgotten):
			f.Log.Info().Str("feed", f.Name).Uint64("after", at).Msg("history was dropped; listing again")
			need = true
			continue
		case err != nil:
			f.failed(now, err)
			ctrl.Sleep(ctx, f.pause())
			// What happened meanwhile may be beyond the history.
			continue
		}
		f.succeeded(now, need && now.Sub(began) > slowCall)
		if need {
			f.Listed(now, b, f.until(now))
		} else {
			f.Changed(now, b, f.until(now))
		}
		need, f.listed, at = false, true, max(at, b.At)
		ctrl.Sleep(ctx, f.Pace-now.Sub(began))
	}
}

func (f *Feed) call(ctx context.Context, list bool, at uint64) (Batch, error) {
	if list {
		return f.List(ctx)
	}
	return f.Watch(ctx, at)
}

func (f *Feed) failed(now time.Time, err error) {
	f.failures++
	f.trouble = now
	if f.failures == 1 {
		f.Log.Warn().Str("feed", f.Name).Err(err).Msg("store lost")
	}
	f.Lost(now, err)
}

func (f *Feed) succeeded(now time.Time, slow bool) {
	if f.failures > 0 {
		f.Log.Info().Str("feed", f.Name).Int("failures", f.failures).Msg("store regained")
	}
	if slow {
		f.trouble = now
	}
	f.failures = 0
}

// until returns the time to which removed registrations are kept, zero if they
// are to be dropped at once.
func (f *Feed) until(now time.Time) time.Time {
	if f.trouble.IsZero() || now.Sub(f.trouble) > settled {
		return time.Time{}
	}
	return f.trouble.Add(settled)
}

func (f *Feed) pause() time.Duration {
	return min(retryMost, retryLeast<<min(f.failures-1, 8))
}
