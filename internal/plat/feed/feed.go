// Package feed follows the platform's store: it lists a part of the store once,
// watches it from the listed revision on, and lists it again if the store has
// dropped the history after that revision.
package feed

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/base/ctrl"
	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/eras"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/items"
)

// errOlderEra is the error of an answer that was sent before the store was restored.
var errOlderEra = errors.New("store answered with an older era")

// ErrCompacted is returned by a watch if the store has dropped the history after
// the requested revision.
var ErrCompacted = errors.New("store has dropped this history")

// Change is one change of an item in the store. At most one of Rules, Endpoint
// and RemovedEndpoint is set.
type Change struct {
	Key      string
	Revision uint64
	// Value is the item's encoded value, as far as peer hosts need it.
	Value   []byte
	Deleted bool
	// ReadAt is when the change was read from the store; zero means now.
	ReadAt time.Time
	// Rules is a published version of the rules.
	Rules *rules.Rules
	// Version is that of published rules, also of rules that can't be decoded, as far as it can be.
	Version uint64
	// RulesUnknown reports whether the published rules were deleted, or have no version that can be
	// decoded.
	RulesUnknown bool
	// Endpoint is a registered endpoint.
	Endpoint *regis.Endpoint
	// RemovedEndpoint is the id of an endpoint whose registration was removed.
	RemovedEndpoint string
	// InvalidEndpoint is the id of an endpoint whose registration can't be decoded; Err is the reason.
	InvalidEndpoint string
	// Centre is a data centre whose evacuation was started, if Evacuated is true, or
	// cancelled.
	Centre    string
	Evacuated bool
	// Err is the decoding error of an item that is ignored.
	Err error
}

// Batch is the result of one list or watch call.
type Batch struct {
	Changes []Change
	// Revision is the ordered revision up to which the changes are complete; the next watch
	// starts after it.
	Revision uint64
	// After is the ordered revision after which a watch asked for changes.
	After uint64
	// Events is the number of events that a watch returned, with those that are not in Changes.
	Events int
	// Bytes is the size of the values of these events.
	Bytes int
	// Gap reports whether items may have been written and deleted since this host's last view of the
	// store that are not among the changes.
	Gap bool
}

const (
	// minRetryDelay and maxRetryDelay bound the delay after a failed call, which doubles
	// with each further failure.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 800 * time.Millisecond
	// removalGrace is how long removed registrations are kept after the store was last
	// unstable: live endpoints have registered again within 2 s after an outage.
	removalGrace = 2200 * time.Millisecond
	// slowListing is the duration above which a listing marks the store as unstable.
	slowListing = 400 * time.Millisecond
	// unreachableAfter is the time without an answer after which the store counts
	// as unreachable; a watch without changes is answered sooner.
	unreachableAfter = 2500 * time.Millisecond
	// maxViewGap is the time between two views of the store within which no endpoint can have
	// registered, drained and left.
	maxViewGap = 2 * time.Second
)

// Feed follows one part of the store. The exported fields must be set before Run.
type Feed struct {
	// Name identifies the feed in logs.
	Name string
	// List returns all items of the followed part of the store.
	List func(ctx context.Context) (Batch, error)
	// Watch returns the changes after a revision; if there are none, it waits a limited
	// time for one.
	Watch func(ctx context.Context, after uint64) (Batch, error)
	// History is like Watch but does not wait for a change. It may be nil.
	History func(ctx context.Context, after uint64) (Batch, error)
	// ReadEndpoint reads the present registration of one endpoint. It may be nil.
	ReadEndpoint func(ctx context.Context, id string) (regis.Endpoint, error)
	// OnList and OnChange are called with the result of a listing and of a watch.
	// If the store was unstable, until is the time until which removed
	// registrations are kept, else it is zero.
	OnList   func(now time.Time, b Batch, until time.Time)
	OnChange func(now time.Time, b Batch, until time.Time)
	// Reads reports whether this host reads the store itself. Any other host relies on the
	// changes that reading hosts pass on, as long as they confirm that there are no others.
	// If Reads is nil, the host always reads the store.
	Reads func() bool
	// OnFailure is called after each failed call.
	OnFailure func(now time.Time, err error)
	// MinInterval is the minimum time from the start of a successful call to the next call.
	MinInterval time.Duration
	// Decode decodes an item received from a peer host; it returns false for an item
	// that the gateway does not use.
	Decode func(it items.Item) (Change, bool)
	// Proofs are the confirmations of the rules; its zero value is off.
	Proofs Proofs
	Now    func() time.Time
	Log    zerolog.Logger

	mu    sync.Mutex
	items items.Table
	// All changes up to revision have been applied.
	revision uint64
	// failures counts the failed calls since the last successful one.
	failures int
	// lastUnstable is the time of the last failed call, slow listing, or changes
	// received from a peer host.
	lastUnstable time.Time
	// lastSuccess is the time of the last successful call, at first that of Run.
	lastSuccess time.Time
	// listed is set once a listing has been applied.
	listed bool
	// endpoints holds the last registration by key, to recognise heartbeats.
	endpoints map[string]regis.Endpoint
	// confirmed is the time of the store's last answer to a reading host that had no change
	// that this host lacked.
	confirmed time.Time
	// viewedAt is when this host's view of the store was last the newest one, as its own reads, the
	// reading hosts or the answers of peer hosts show; zero if that is not known.
	viewedAt time.Time
	// following reports whether the host relies on reading hosts.
	following bool
	proofs    proofState
}

// Run follows the store until the context ends.
func (f *Feed) Run(ctx context.Context) {
	f.startTimer(f.Now())
	stop := f.startProofs(ctx)
	defer stop()
	needList, relist := true, false
	for ctx.Err() == nil {
		if f.follows(f.Now()) {
			ctrl.Sleep(ctx, followPoll)
			continue
		}
		relist = f.takeRelist() || relist
		needList = needList || relist
		began, sent, revision := f.Now(), f.Proofs.now(), f.currentRevision()
		b, err := f.listOrWatch(ctx, needList, revision)
		now := f.Now()
		if err == nil && eras.Of(b.Revision) < eras.Of(f.currentRevision()) {
			err = errOlderEra
		}
		if ctx.Err() != nil {
			return
		}
		switch {
		case errors.Is(err, errRelist):
			continue
		case errors.Is(err, ErrCompacted):
			f.Log.Info().Str("feed", f.Name).Uint64("after", eras.Revision(revision)).Uint64("era", eras.Of(revision)).AnErr("cause", err).Msg("store has dropped the history; listing again")
			needList = true
			continue
		case err != nil:
			delay := f.recordFailure(now, err)
			f.OnFailure(now, err)
			ctrl.Sleep(ctx, delay)
			// During an outage the store can drop the history that the next watch
			// asks for; that watch then fails with ErrCompacted.
			continue
		}
		b.After = revision
		if f.accept(now, b, needList, began, sent) && needList {
			relist = false
		}
		// What a watch lacks, the changes of peer hosts may lack too.
		needList = relist
		ctrl.Sleep(ctx, f.MinInterval-now.Sub(began))
	}
}

// accept records an answer to a call that began at a time, and what it confirms. It returns false if the answer is
// a listing that is not applied.
func (f *Feed) accept(now time.Time, b Batch, listing bool, began time.Time, sent time.Duration) (applied bool) {
	if !f.recordSuccess(now, b, listing, listing && now.Sub(began) > slowListing) {
		return false
	}
	if listing {
		f.markViewed(began)
	} else {
		f.markViewed(now)
	}
	if listing || b.Events > 0 {
		f.confirmRules(sent)
	}
	return true
}

// startTimer starts the time within which the store must answer for the first
// time to count as reachable.
func (f *Feed) startTimer(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastSuccess = now
}

// currentRevision returns the revision up to which all changes have been applied.
func (f *Feed) currentRevision() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision
}

func (f *Feed) listOrWatch(ctx context.Context, list bool, after uint64) (Batch, error) {
	if list {
		return f.List(ctx)
	}
	ctx, cancel := f.watchContext(ctx)
	defer cancel(nil)
	b, err := f.Watch(ctx, after)
	if errors.Is(context.Cause(ctx), errRelist) {
		return Batch{}, errRelist
	}
	return b, err
}

// Reached returns the ordered revision up to which all changes have been applied, 0 before the first
// listing.
func (f *Feed) Reached() uint64 { return f.currentRevision() }

// recordFailure records a failed call and returns the delay before the next one.
func (f *Feed) recordFailure(now time.Time, err error) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failures++
	f.lastUnstable = now
	if f.failures == 1 {
		f.Log.Warn().Str("feed", f.Name).Uint64("at", eras.Revision(f.revision)).Uint64("era", eras.Of(f.revision)).Err(err).Msg("store call failed; retrying")
	}
	return min(maxRetryDelay, minRetryDelay<<min(f.failures-1, 8))
}

// recordSuccess records an answer of the store and applies the changes in it that are later than those that
// peer hosts have supplied meanwhile: an older registration would bring an endpoint back that has left.
// It returns false if the answer is a listing that is older than these.
func (f *Feed) recordSuccess(now time.Time, b Batch, listing, slow bool) (applied bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failures > 0 {
		f.Log.Info().Str("feed", f.Name).Int("failures", f.failures).Msg("store answers again")
	}
	if slow {
		f.lastUnstable = now
	}
	// A watch returns every write since its revision, however long ago that was.
	b.Gap = listing && f.mayLack(now, b.Revision)
	f.failures, f.lastSuccess = 0, now
	if listing && b.Revision < f.revision {
		f.Log.Info().Str("feed", f.Name).Uint64("listed", eras.Revision(b.Revision)).Uint64("at", eras.Revision(f.revision)).Msg("listing is older than the changes of peer hosts")
		return false
	}
	if !listing {
		b.Changes = slices.DeleteFunc(b.Changes, func(c Change) bool { return c.Revision > b.After && c.Revision <= f.revision })
	}
	f.apply(now, b, listing)
	return true
}

// mayLack reports whether a view of the store at a revision may lack items that were written and
// deleted since this host's last view; the caller holds the lock.
func (f *Feed) mayLack(now time.Time, revision uint64) bool {
	last := f.lastSuccess
	if f.confirmed.After(last) {
		last = f.confirmed
	}
	return !f.listed || eras.Of(revision) > eras.Of(f.revision) || now.Sub(last) > maxViewGap
}

// apply stores changes for peer hosts and passes them to OnList or OnChange; the
// caller holds the lock.
func (f *Feed) apply(now time.Time, b Batch, listing bool) {
	list := make([]items.Item, 0, len(b.Changes))
	restored := f.listed && eras.Of(b.Revision) > eras.Of(f.revision)
	if restored {
		clear(f.endpoints)
	}
	if listing {
		f.proofs.newest, f.proofs.known, f.proofs.unknownAt = 0, false, 0
	}
	for _, c := range b.Changes {
		f.proofs.observe(c)
		it := items.Item{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted, ReadAt: c.ReadAt}
		// The first write after a restore counts as a change even if it only renews what the older
		// copy has: hosts may keep the endpoint as ended or draining until it is written again.
		if !restored {
			it.Heartbeat = f.recordRegistration(c)
		}
		if it.ReadAt.IsZero() {
			it.ReadAt = now
		}
		list = append(list, it)
	}
	if restored {
		// Registrations that the older copy lacks are written again.
		f.lastUnstable = now
	}
	if listing {
		f.items.Replace(list, b.Revision)
		f.OnList(now, b, f.keepRemovedUntil(now))
	} else {
		f.items.Apply(list, b.Revision)
		f.OnChange(now, b, f.keepRemovedUntil(now))
	}
	f.listed, f.revision = true, max(f.revision, b.Revision)
}

// recordRegistration stores the registration of a change, to compare the next one with it,
// and reports whether the change is a heartbeat, which only renews the registration; the
// caller holds the lock.
func (f *Feed) recordRegistration(c Change) (heartbeat bool) {
	if c.Endpoint == nil {
		delete(f.endpoints, c.Key)
		return false
	}
	old, ok := f.endpoints[c.Key]
	if f.endpoints == nil {
		f.endpoints = map[string]regis.Endpoint{}
	}
	f.endpoints[c.Key] = *c.Endpoint
	return ok && regis.Same(old, *c.Endpoint)
}

// Unreachable reports whether the store is unreachable, and returns the revision after
// which this host needs the changes from a peer host.
func (f *Feed) Unreachable(now time.Time) (from uint64, unreachable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.revision, f.failures > 0 || (!f.lastSuccess.IsZero() && now.Sub(f.lastSuccess) > unreachableAfter)
}

// Since returns the items that changed after a revision, for a peer host that
// can't reach the store. The results are those of items.Table.Since.
func (f *Feed) Since(from uint64) (list []items.Item, revision uint64, whole bool) {
	return f.items.Since(from)
}

// ApplyFromPeer applies the result of a peer host's Since and reports whether it was
// newer than this host's state. stable is how long the store has answered the peer host
// without a failure.
func (f *Feed) ApplyFromPeer(now time.Time, list []items.Item, revision uint64, whole bool, stable time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if revision <= f.revision || (!f.listed && !whole) {
		return false
	}
	if eras.Of(revision) > eras.Of(f.revision) && !whole {
		// Changes within an era say nothing of what an earlier one had.
		return false
	}
	b := Batch{Revision: revision, Gap: f.mayLack(now, revision)}
	for _, it := range list {
		if c, ok := f.Decode(it); ok {
			c.ReadAt = it.ReadAt
			b.Changes = append(b.Changes, c)
		}
	}
	if since := now.Add(-stable); since.After(f.lastUnstable) {
		f.lastUnstable = since
	}
	f.apply(now, b, whole)
	return true
}

// keepRemovedUntil returns the time until which removed registrations are kept,
// zero if they are dropped at once; the caller holds the lock.
func (f *Feed) keepRemovedUntil(now time.Time) time.Time {
	if f.lastUnstable.IsZero() || now.Sub(f.lastUnstable) > removalGrace {
		return time.Time{}
	}
	return f.lastUnstable.Add(removalGrace)
}
