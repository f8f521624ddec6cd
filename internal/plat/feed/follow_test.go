package feed

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/items"
)

var noon = time.Date(2026, 12, 4, 12, 0, 0, 0, time.UTC)

// newFollower returns a feed that does not read the store and has listed it at revision 5.
func newFollower(now *time.Time) *Feed {
	f := &Feed{
		Reads: func() bool { return false },
		Decode: func(it items.Item) (Change, bool) {
			return endpointChange(it.Key, it.Revision, len(it.Value)), true
		},
		OnList: func(time.Time, Batch, time.Time) {}, OnChange: func(time.Time, Batch, time.Time) {},
		OnFailure: func(time.Time, error) {}, Now: func() time.Time { return *now }, Log: zerolog.Nop(),
	}
	f.startTimer(*now)
	f.recordSuccess(*now, Batch{Revision: 5}, true, false)
	return f
}

// endpointChange returns a registration, or a heartbeat if slots are as before.
func endpointChange(key string, revision uint64, slots int) Change {
	return Change{Key: key, Revision: revision, Endpoint: &regis.Endpoint{ID: key, Slots: slots, Revision: revision}}
}

func TestFollowsWhileConfirmed(t *testing.T) {
	now := noon
	f := newFollower(&now)
	if f.follows(now) {
		t.Error("follows before any confirmation, want the store to be read")
	}
	if f.Confirm(now, State{Revision: 9, Changed: 5}) {
		t.Error("Confirm of heartbeats only = behind, want not behind")
	}
	if !f.follows(now.Add(followTimeout - 1)) {
		t.Error("does not follow just before followTimeout, want it to")
	}
	if f.follows(now.Add(followTimeout)) {
		t.Error("follows at followTimeout, want the store to be read")
	}
	if got := f.currentRevision(); got != 9 {
		t.Errorf("the watch continues after revision %d, want the confirmed 9", got)
	}
}

// TestOldConfirmationCountsItsAge: a reading host that the store does not answer
// confirms nothing new.
func TestOldConfirmationCountsItsAge(t *testing.T) {
	now := noon
	f := newFollower(&now)
	f.Confirm(now, State{Revision: 9, Changed: 5, Age: followTimeout})
	if f.follows(now) {
		t.Error("follows a host that the store has not answered for followTimeout")
	}
	f.Confirm(now, State{Revision: 9, Changed: 5, Age: time.Second})
	f.Confirm(now, State{Revision: 9, Changed: 5, Age: followTimeout})
	if !f.follows(now) {
		t.Error("an older confirmation replaced a newer one")
	}
	f.Distrust()
	if f.follows(now) {
		t.Error("follows after a pause, want the store to be read")
	}
}

func TestLackingChangesAreNotConfirmed(t *testing.T) {
	now := noon
	f := newFollower(&now)
	if !f.Confirm(now, State{Revision: 9, Changed: 6}) {
		t.Error("Confirm of a change that is lacking = not behind")
	}
	if f.follows(now) {
		t.Error("follows without the announced change")
	}
	f.ApplyFromPeer(now, []items.Item{{Key: "e", Revision: 6}}, 9, false, time.Hour)
	if f.Confirm(now, State{Revision: 9, Changed: 6}) || !f.follows(now) {
		t.Error("does not follow after the change was fetched")
	}
}

// TestHeartbeatsAreNoChanges: the announced revision of the last change stays while
// endpoints only renew their registrations, and the changes that peer hosts fetch leave
// heartbeats out.
func TestHeartbeatsAreNoChanges(t *testing.T) {
	now := noon
	f := newFollower(&now)
	f.Reads = func() bool { return true }
	changes := []struct {
		change  Change
		changed uint64
	}{
		{endpointChange("e", 6, 4), 6},
		{endpointChange("e", 7, 4), 6},
		{endpointChange("e", 8, 5), 8},
		{Change{Key: "e", Revision: 9, Deleted: true, RemovedEndpoint: "e"}, 9},
		{endpointChange("e", 10, 5), 10},
		{endpointChange("e", 11, 5), 10},
	}
	for _, c := range changes {
		f.recordSuccess(now, Batch{Changes: []Change{c.change}, Revision: c.change.Revision}, false, false)
		s, ok := f.State(now)
		if !ok || s.Revision != c.change.Revision || s.Changed != c.changed {
			t.Errorf("at revision %d: State = %+v, %v, want the last change at %d", c.change.Revision, s, ok, c.changed)
		}
	}
	if list, at, whole := f.Since(10); len(list) != 0 || at != 11 || whole {
		t.Errorf("Since(10) = %v at %d, whole %v, want nothing at 11", list, at, whole)
	}
	if list, _, _ := f.Since(9); len(list) != 1 || list[0].Revision != 11 {
		t.Errorf("Since(9) = %v, want the registration as last renewed", list)
	}
}

// TestRemovalsOfAStableStore: a removal that a peer host read from a store without
// failures is applied at once; after a failure there it is kept for a while.
func TestRemovalsOfAStableStore(t *testing.T) {
	now := noon
	for _, tt := range []struct {
		stable time.Duration
		kept   bool
	}{{time.Hour, false}, {removalGrace + 1, false}, {time.Second, true}, {0, true}} {
		f := newFollower(&now)
		var until time.Time
		f.OnChange = func(_ time.Time, _ Batch, u time.Time) { until = u }
		f.ApplyFromPeer(now, []items.Item{{Key: "e", Revision: 6}}, 6, false, tt.stable)
		if !until.IsZero() != tt.kept {
			t.Errorf("store stable for %v: removals kept until %v, want kept %v", tt.stable, until, tt.kept)
		}
	}
}

// TestReadsWhenReadersFallSilent: a host that follows calls the store again only after
// its readers have been silent for followTimeout.
func TestReadsWhenReadersFallSilent(t *testing.T) {
	const step = 100 * time.Millisecond
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	now, confirmed := noon, time.Time{}
	f := newFollower(&now)
	f.List = func(context.Context) (Batch, error) { return Batch{Revision: 5}, nil }
	f.Watch = func(_ context.Context, after uint64) (Batch, error) {
		defer cancel()
		if silent := now.Sub(confirmed); after != 9 || silent < followTimeout || silent > followTimeout+6*step {
			t.Errorf("watch after revision %d, %v after the last confirmation; want after 9 and about %v", after, silent, followTimeout)
		}
		return Batch{Revision: after}, nil
	}
	f.Now = func() time.Time {
		now = now.Add(step)
		if confirmed.IsZero() {
			confirmed = now
			f.Confirm(now, State{Revision: 9, Changed: 5})
		}
		return now
	}
	f.Run(ctx)
}

// TestOldViewCountsAsCurrent: the age of a view is the time since the store, a reading host or the
// answer of any peer host confirmed it, however many calls of this host's own fail; a host that was
// paused, or lacks changes that a peer has, has no current view.
func TestOldViewCountsAsCurrent(t *testing.T) {
	now := noon
	f := newFollower(&now)
	if got := f.ViewAge(now); got != math.MaxInt64 {
		t.Errorf("age %v before any confirmation, want none", got)
	}
	f.markViewed(now)
	later := now.Add(10 * time.Second)
	for _, tt := range []struct {
		name string
		step func()
		want time.Duration
	}{
		{"nothing confirms it", func() { f.recordFailure(later, errOlderEra) }, 10 * time.Second},
		{"reading host lacks nothing", func() { f.Confirm(later, State{Revision: 9, Changed: 5, Age: 4 * time.Second}) }, 4 * time.Second},
		{"reading host has a change", func() { f.Confirm(later, State{Revision: 12, Changed: 12, Age: time.Second}) }, 4 * time.Second},
		{"peer has a change", func() { f.ConfirmView(later, 12, time.Second) }, 4 * time.Second},
		{"peer has as much", func() { f.ConfirmView(later, 9, 3*time.Second) }, 3 * time.Second},
		{"peer's view is older", func() { f.ConfirmView(later, 9, 7*time.Second) }, 3 * time.Second},
		{"process was paused", f.Distrust, math.MaxInt64},
	} {
		tt.step()
		if got := f.ViewAge(later); got != tt.want {
			t.Errorf("%s: age %v, want %v", tt.name, got, tt.want)
		}
	}
}
