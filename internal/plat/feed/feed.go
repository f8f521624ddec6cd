// Package feed follows what the platform's store holds: it lists a part of it
// once and watches it from there on, and lists it again where the store has
// forgotten the history.
package feed

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/base/ctrl"
	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/items"
)

// ErrForgotten is the error of a watch whose history the store has dropped.
var ErrForgotten = errors.New("store has dropped this history")

// Change is one change in the store. At most one of Rules, Endpoint and Gone is set.
type Change struct {
	Key      string
	Revision uint64
	// Value is the item as it was written, Deleted says that it was removed.
	Value   []byte
	Deleted bool
	// At is when it was read from the store; zero is now.
	At time.Time
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
	// quietTime without an answer makes the store count as away: a watch without a
	// change is answered sooner.
	quietTime = 2500 * time.Millisecond
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
	// Read reads an item that another host told of; false means that it is none of
	// the product's matters.
	Read func(it items.Item) (Change, bool)
	Now  func() time.Time
	Log  zerolog.Logger

	mu       sync.Mutex
	items    items.Table
	at       uint64
	failures int
	trouble  time.Time
	success  time.Time
	listed   bool
}

// Run follows until the context ends.
func (f *Feed) Run(ctx context.Context) {
	f.begin(f.Now())
	need := true
	for ctx.Err() == nil {
		began, at := f.Now(), f.reached()
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
			pause := f.failed(now, err)
			f.Lost(now, err)
			ctrl.Sleep(ctx, pause)
			// What happened meanwhile may be beyond the history.
			continue
		}
		f.succeeded(now, b, need, need && now.Sub(began) > slowCall)
		need = false
		ctrl.Sleep(ctx, f.Pace-now.Sub(began))
	}
}

// begin gives the store the time of an answer before it counts as away.
func (f *Feed) begin(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.success = now
}

// reached is the revision up to which this host knows of all changes.
func (f *Feed) reached() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.at
}

func (f *Feed) call(ctx context.Context, list bool, at uint64) (Batch, error) {
	if list {
		return f.List(ctx)
	}
	return f.Watch(ctx, at)
}

// failed notes a failed call and returns the time to the next one.
func (f *Feed) failed(now time.Time, err error) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures++
	f.trouble = now
	if f.failures == 1 {
		f.Log.Warn().Str("feed", f.Name).Uint64("at", f.at).Err(err).Msg("store lost")
	}
	return min(retryMost, retryLeast<<min(f.failures-1, 8))
}

func (f *Feed) succeeded(now time.Time, b Batch, listing, slow bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failures > 0 {
		f.Log.Info().Str("feed", f.Name).Int("failures", f.failures).Msg("store regained")
	}
	if slow {
		f.trouble = now
	}
	f.failures, f.success = 0, now
	f.take(now, b, listing)
}

// take hands changes on; the caller holds the lock.
func (f *Feed) take(now time.Time, b Batch, listing bool) {
	list := make([]items.Item, 0, len(b.Changes))
	for _, c := range b.Changes {
		it := items.Item{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted, At: c.At}
		if it.At.IsZero() {
			it.At = now
		}
		list = append(list, it)
	}
	if listing {
		f.items.Replace(list, b.At)
		f.Listed(now, b, f.until(now))
	} else {
		f.items.Change(list, b.At)
		f.Changed(now, b, f.until(now))
	}
	f.listed, f.at = true, max(f.at, b.At)
}

// Away reports whether the store has not been heard lately, and the revision
// from which other hosts may tell what it holds.
func (f *Feed) Away(now time.Time) (from uint64, away bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.at, f.failures > 0 || (!f.success.IsZero() && now.Sub(f.success) > quietTime)
}

// Since returns what this host knows to have changed after a revision, for a
// host that does not reach the store.
func (f *Feed) Since(from uint64) (list []items.Item, at uint64, whole bool) {
	return f.items.Since(from)
}

// Told takes in what another host's Since returned; it reports whether that was
// new.
func (f *Feed) Told(now time.Time, list []items.Item, at uint64, whole bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at <= f.at || (!f.listed && !whole) {
		return false
	}
	b := Batch{At: at}
	for _, it := range list {
		if c, ok := f.Read(it); ok {
			c.At = it.At
			b.Changes = append(b.Changes, c)
		}
	}
	f.trouble = now
	f.take(now, b, whole)
	return true
}

// until returns the time to which removed registrations are kept, zero if they
// are to be dropped at once; the caller holds the lock.
func (f *Feed) until(now time.Time) time.Time {
	if f.trouble.IsZero() || now.Sub(f.trouble) > settled {
		return time.Time{}
	}
	return f.trouble.Add(settled)
}
