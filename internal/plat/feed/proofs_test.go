package feed

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/eras"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/items"
)

// proving returns a feed that has listed the store with version 7 of the rules, in era 1, and
// records the confirmations.
func proving(t *testing.T, now *time.Time, confirmed *[]string) *Feed {
	t.Helper()
	f := newFollower(now)
	f.Reads = nil
	f.Proofs = Proofs{
		Boot: func() time.Duration { return now.Sub(noon) }, Needed: func() bool { return true },
		OnConfirmed: func(sent time.Duration, newest uint64) bool {
			*confirmed = append(*confirmed, fmt.Sprint(sent, " version ", newest))
			return true
		},
	}
	f.recordSuccess(*now, Batch{Revision: eras.Join(1, 5), Changes: []Change{{Key: "rules", Version: 7}}}, true, false)
	return f
}

// TestWatchesConfirm guards against an empty watch, which may hide changes, or a failed call
// counting as a confirmation, and against the age counting from the answer.
func TestWatchesConfirm(t *testing.T) {
	now, confirmed := noon, []string(nil)
	f := proving(t, &now, &confirmed)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	f.List = func(context.Context) (Batch, error) {
		now = now.Add(time.Second)
		return Batch{Revision: eras.Join(1, 6), Changes: []Change{{Key: "rules", Version: 8}}}, nil
	}
	watches := []Batch{{Revision: eras.Join(1, 6)}, {Revision: eras.Join(1, 7), Events: 1}, {Revision: 3, Events: 1}, {Revision: eras.Join(1, 9), Events: 2, Changes: []Change{{Key: "rules", Version: 9}}}}
	f.Watch = func(context.Context, uint64) (Batch, error) {
		now = now.Add(time.Second)
		if len(watches) == 0 {
			cancel()
			return Batch{}, errors.New("down")
		}
		b := watches[0]
		watches = watches[1:]
		return b, nil
	}
	f.Run(ctx)
	if want := []string{"0s version 8", "2s version 8", "4s version 9"}; !slices.Equal(confirmed, want) {
		t.Errorf("confirmations are %v, want %v: of the listing and of watches with events of this era, by when they were sent", confirmed, want)
	}
}

// TestReadsRulesWhenNothingConfirms guards against a host losing its confirmation while the store
// does not change, and against reads that are not needed.
func TestReadsRulesWhenNothingConfirms(t *testing.T) {
	now, confirmed := noon, []string(nil)
	f := proving(t, &now, &confirmed)
	f.confirmRules(0)
	if f.proofDue(readRulesAfter-1, true) || !f.proofDue(readRulesAfter, true) {
		t.Errorf("a read is due before %v, or not at it", readRulesAfter)
	}
	at := readRulesAfter
	for _, gap := range []time.Duration{2 * readRulesGap, maxReadRulesGap, maxReadRulesGap} {
		if f.proofDue(at+gap-1, true) || !f.proofDue(at+gap, true) {
			t.Errorf("the read after one that confirmed nothing is due before %v, or not at it", gap)
		}
		at += gap
	}
	if f.proofDue(time.Hour, false) {
		t.Error("a read is due without customers")
	}
	f.following = true
	if f.proofDue(time.Hour, true) {
		t.Error("a host that follows others reads")
	}
	f.RequestProof()
	if !f.proofDue(time.Hour, true) {
		t.Error("a host that follows others does not read when a request needs it")
	}
}

// TestReadOfNewerRules guards against a host that has read of newer rules serving by older ones: the
// watch has missed a change.
func TestReadOfNewerRules(t *testing.T) {
	now, confirmed := noon, []string(nil)
	f := proving(t, &now, &confirmed)
	var applied []uint64
	f.OnChange = func(_ time.Time, b Batch, _ time.Time) { applied = append(applied, b.Changes[0].Version) }
	watch, cancel := f.watchContext(context.Background())
	defer cancel(nil)
	read := func(c Change, err error) {
		f.Proofs.Read = func(context.Context) (Change, error) { return c, err }
		f.readRules(context.Background(), 3*time.Second)
	}
	read(Change{Version: 9, Revision: 900}, nil)
	read(Change{}, errors.New("down"))
	if len(confirmed) > 0 || len(applied) > 0 {
		t.Fatalf("an answer of an earlier era or an error confirmed %v and applied %v", confirmed, applied)
	}
	read(Change{Version: 7, Revision: eras.Join(1, 5)}, nil)
	if watch.Err() != nil || f.takeRelist() {
		t.Error("the watch ended though nothing is newer")
	}
	read(Change{Version: 8, Revision: eras.Join(1, 9)}, nil)
	if !errors.Is(context.Cause(watch), errRelist) || !f.takeRelist() || f.takeRelist() {
		t.Error("the store is not listed again, once, for the changes that the watch lacks")
	}
	if want := []string{"3s version 7", "3s version 8"}; !slices.Equal(confirmed, want) || !slices.Equal(applied, []uint64{8}) {
		t.Errorf("confirmed %v, applied %v, want %v and version 8", confirmed, applied, want)
	}
}

// TestUnreadableRulesConfirmNothing guards against reads confirming the rules in force after the store's
// rules were deleted, or replaced by some without a version that can be decoded, and against the
// confirmations not coming back with the next version.
func TestUnreadableRulesConfirmNothing(t *testing.T) {
	broken := errors.New("not JSON")
	for name, c := range map[string]Change{
		"deleted":  {Key: "rules", Revision: eras.Join(1, 8), RulesUnknown: true, Deleted: true},
		"unknown":  {Key: "rules", Revision: eras.Join(1, 8), RulesUnknown: true, Err: broken},
		"repaired": {Key: "rules", Revision: eras.Join(1, 8), Version: 7},
	} {
		t.Run(name, func(t *testing.T) {
			now, confirmed := noon, []string(nil)
			f := proving(t, &now, &confirmed)
			read := func(c Change) {
				f.Proofs.Read = func(context.Context) (Change, error) { return c, nil }
				f.readRules(context.Background(), 3*time.Second)
			}
			var want []string
			f.recordSuccess(now, Batch{Revision: eras.Join(1, 8), Events: 1, Changes: []Change{c}}, false, false)
			f.confirmRules(time.Second)
			if c.Err != nil {
				read(c)
			}
			if c.Version == 7 {
				want = append(want, "1s version 7")
			}
			// This read was answered before the change.
			read(Change{Key: "rules", Version: 7, Revision: eras.Join(1, 5)})
			if c.Version == 7 {
				want = append(want, "3s version 7")
			}
			read(Change{Key: "rules", Version: 7, Revision: eras.Join(1, 9)})
			if want = append(want, "3s version 7"); !slices.Equal(confirmed, want) {
				t.Errorf("confirmed %v, want %v", confirmed, want)
			}
		})
	}
}

// TestPeersPassDeletedRulesOn guards against a host that gets its changes from a peer host continuing from a
// revision after the rules were deleted without the deletion, and confirming them by its own watches.
func TestPeersPassDeletedRulesOn(t *testing.T) {
	now, confirmed := noon, []string(nil)
	peer, f := proving(t, &now, &confirmed), proving(t, &now, &confirmed)
	f.Decode = func(it items.Item) (Change, bool) {
		return Change{Key: it.Key, Revision: it.Revision, Deleted: it.Deleted, RulesUnknown: it.Deleted}, true
	}
	deleted := Change{Key: "rules", Revision: eras.Join(1, 8), RulesUnknown: true, Deleted: true}
	peer.recordSuccess(now, Batch{Revision: eras.Join(1, 9), Events: 2, Changes: []Change{deleted}}, false, false)
	list, at, whole := peer.Since(f.currentRevision())
	if !f.ApplyFromPeer(now, list, at, whole, 0) {
		t.Fatal("changes of the peer host are not newer")
	}
	f.confirmRules(time.Second)
	if len(confirmed) > 0 {
		t.Errorf("confirmed %v after the rules were deleted", confirmed)
	}
}

// TestStoreWithoutRulesConfirmsNothing guards against a listing without rules counting as one that
// shows none newer.
func TestStoreWithoutRulesConfirmsNothing(t *testing.T) {
	now, confirmed := noon, []string(nil)
	f := proving(t, &now, &confirmed)
	f.recordSuccess(now, Batch{Revision: eras.Join(1, 6)}, true, false)
	f.confirmRules(time.Second)
	if len(confirmed) > 0 {
		t.Errorf("confirmed %v without rules", confirmed)
	}
	f.recordSuccess(now, Batch{Revision: eras.Join(1, 7), Changes: []Change{{Key: "rules", Rules: rules.New(0, nil, nil, rules.Limits{})}}}, false, false)
	f.confirmRules(time.Second)
	if want := []string{"1s version 0"}; !slices.Equal(confirmed, want) {
		t.Errorf("confirmed %v, want %v: rules may have version 0", confirmed, want)
	}
}

// TestProofReadsDoNotWaitForWatches guards against a watch that is held, by a store that answers
// late, delaying the reads of the rules.
func TestProofReadsDoNotWaitForWatches(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	reads := 0
	began := time.Now()
	f := &Feed{
		List: func(context.Context) (Batch, error) {
			return Batch{Revision: 5, Changes: []Change{{Key: "rules", Version: 7}}}, nil
		},
		Watch: func(ctx context.Context, _ uint64) (Batch, error) {
			<-ctx.Done()
			return Batch{}, ctx.Err()
		},
		OnList: func(time.Time, Batch, time.Time) {}, OnChange: func(time.Time, Batch, time.Time) {},
		OnFailure: func(time.Time, error) {}, Now: time.Now, Log: zerolog.Nop(),
		Proofs: Proofs{
			Boot: func() time.Duration { return time.Since(began) }, Needed: func() bool { return true },
			Read: func(context.Context) (Change, error) {
				reads++
				return Change{Version: 7, Revision: 5}, nil
			},
			OnConfirmed: func(time.Duration, uint64) bool {
				if reads == 2 {
					cancel()
				}
				return true
			},
		},
	}
	f.Run(ctx)
	if reads != 2 {
		t.Errorf("rules were read %d times while a watch was held, want 2", reads)
	}
}
