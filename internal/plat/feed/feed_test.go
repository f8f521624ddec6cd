package feed

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/items"
)

// scriptedStore answers the calls of a feed from a list of expected calls. Its
// clock advances only by the duration of each call.
type scriptedStore struct {
	t     *testing.T
	now   time.Time
	steps []step
	// events are the feed's callbacks in order; until has the argument until of each
	// OnList and OnChange.
	events []string
	until  []time.Time
	stop   context.CancelFunc
}

// step is an expected call and its answer.
type step struct {
	call     string
	after    uint64
	duration time.Duration
	batch    Batch
	err      error
}

func (s *scriptedStore) next(call string, after uint64) (Batch, error) {
	if len(s.steps) == 0 {
		s.stop()
		return Batch{}, context.Canceled
	}
	st := s.steps[0]
	s.steps = s.steps[1:]
	if st.call != call || st.after != after {
		s.t.Errorf("feed called %s after revision %d, want %s after %d", call, after, st.call, st.after)
	}
	s.now = s.now.Add(st.duration)
	return st.batch, st.err
}

func runScript(t *testing.T, steps ...step) *scriptedStore {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &scriptedStore{t: t, now: time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC), steps: steps, stop: cancel}
	f := &Feed{
		List:  func(context.Context) (Batch, error) { return s.next("list", 0) },
		Watch: func(_ context.Context, after uint64) (Batch, error) { return s.next("watch", after) },
		OnList: func(_ time.Time, _ Batch, until time.Time) {
			s.events, s.until = append(s.events, "listed"), append(s.until, until)
		},
		OnChange: func(_ time.Time, _ Batch, until time.Time) {
			s.events, s.until = append(s.events, "changed"), append(s.until, until)
		},
		OnFailure: func(time.Time, error) { s.events = append(s.events, "failed") },
		Now:       func() time.Time { return s.now }, Log: zerolog.Nop(),
	}
	f.Run(ctx)
	return s
}

func (s *scriptedStore) wantEvents(list ...string) {
	s.t.Helper()
	if len(s.events) != len(list) {
		s.t.Fatalf("events are %v, want %v", s.events, list)
	}
	for i := range list {
		if s.events[i] != list[i] {
			s.t.Fatalf("events are %v, want %v", s.events, list)
		}
	}
}

func TestListsThenWatches(t *testing.T) {
	s := runScript(t,
		step{call: "list", batch: Batch{Revision: 5}},
		step{call: "watch", after: 5, batch: Batch{Revision: 7}},
		step{call: "watch", after: 7, batch: Batch{Revision: 7}},
	)
	s.wantEvents("listed", "changed", "changed")
	for _, u := range s.until {
		if !u.IsZero() {
			t.Errorf("until is %v though the store is stable, want zero", u)
		}
	}
}

func TestListsAgainAfterDroppedHistory(t *testing.T) {
	s := runScript(t,
		step{call: "list", batch: Batch{Revision: 5}},
		step{call: "watch", after: 5, err: ErrCompacted},
		step{call: "list", batch: Batch{Revision: 50}},
		step{call: "watch", after: 50, batch: Batch{Revision: 51}},
	)
	s.wantEvents("listed", "listed", "changed")
}

// TestRevisionNeverDecreases guards against a stale answer of the store that makes
// the next watch start from an older revision and apply changes a second time.
func TestRevisionNeverDecreases(t *testing.T) {
	runScript(t,
		step{call: "list", batch: Batch{Revision: 5}},
		step{call: "watch", after: 5, batch: Batch{Revision: 9}},
		step{call: "watch", after: 9, batch: Batch{Revision: 3}},
		step{call: "watch", after: 9, batch: Batch{Revision: 9}},
	)
}

// TestKeepsRemovedAfterOutage guards against dropping live endpoints after an outage
// of the store: a registration can have expired only because it could not be
// renewed. So removed ones are kept for removalGrace after the last failed call.
func TestKeepsRemovedAfterOutage(t *testing.T) {
	down := errors.New("down")
	s := runScript(t,
		step{call: "list", batch: Batch{Revision: 5}},
		step{call: "watch", after: 5, err: down},
		step{call: "watch", after: 5, batch: Batch{Revision: 6}},
		step{call: "watch", after: 6, duration: removalGrace + time.Second, batch: Batch{Revision: 7}},
	)
	s.wantEvents("listed", "failed", "changed", "changed")
	if s.until[1].IsZero() {
		t.Error("until is zero right after an outage, want removed registrations to be kept")
	}
	if !s.until[2].IsZero() {
		t.Errorf("until is %v long after an outage, want zero", s.until[2])
	}
}

// TestItemsFromPeer checks that items from a peer host are applied only if they are
// newer, that the watch then continues from their revision, and that changes are
// applied only after a listing.
func TestItemsFromPeer(t *testing.T) {
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	var events []string
	f := &Feed{
		Decode: func(it items.Item) (Change, bool) {
			return Change{Key: it.Key, Revision: it.Revision}, it.Key != "foreign"
		},
		OnList: func(_ time.Time, b Batch, until time.Time) {
			events = append(events, fmt.Sprint("listed ", len(b.Changes), " keep ", !until.IsZero()))
		},
		OnChange: func(_ time.Time, b Batch, until time.Time) {
			events = append(events, fmt.Sprint("changed ", len(b.Changes), " keep ", !until.IsZero()))
		},
	}
	earlier := now.Add(-time.Second)
	list := []items.Item{{Key: "a", Revision: 4, ReadAt: earlier}, {Key: "foreign", Revision: 5}}
	steps := []struct {
		at    uint64
		whole bool
		want  bool
	}{{5, false, false}, {5, true, true}, {5, true, false}, {4, false, false}, {8, false, true}}
	for i, st := range steps {
		if got := f.ApplyFromPeer(now, list, st.at, st.whole, 0); got != st.want {
			t.Errorf("step %d: ApplyFromPeer returned %v, want %v", i, got, st.want)
		}
	}
	if want := []string{"listed 1 keep true", "changed 1 keep true"}; !slices.Equal(events, want) {
		t.Errorf("events are %v, want %v", events, want)
	}
	if from, _ := f.Unreachable(now); from != 8 {
		t.Errorf("peers are asked for changes after revision %d, want 8", from)
	}
	if since, at, _ := f.Since(5); at != 8 || len(since) != 0 {
		t.Errorf("Since(5) returned %v at revision %d, want nothing at 8", since, at)
	}
	if since, _, whole := f.Since(0); !whole || len(since) != 1 || !since[0].ReadAt.Equal(earlier) {
		t.Errorf("Since(0) returned %v, whole %v, want one item read at %v, whole true", since, whole, earlier)
	}
}

// TestOlderAnswerBringsEndpointBack guards against an endpoint that left and is in use again, because an answer
// of the store arrives after the later changes of a peer host.
func TestOlderAnswerBringsEndpointBack(t *testing.T) {
	older := []Change{endpointChange("left", 6, 1), endpointChange("stays", 7, 1)}
	for _, tt := range []struct {
		name string
		// answer is the answer during which the changes arrive, relist whether the host lists the store as
		// its watch lacks a change. next is the call after that.
		answer string
		relist bool
		next   string
	}{
		{"listing", "list", false, "watch after 8"},
		{"listing for lack of a change", "list", true, "list"},
		{"watch", "watch", false, "watch after 9"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			table := regis.NewTable()
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			var calls []string
			var f *Feed
			// The second call is answered late; the call after it ends the test.
			answer := func(call string) (Batch, error) {
				calls = append(calls, call)
				switch {
				case len(calls) == 1:
					return Batch{Revision: 5}, nil
				case len(calls) == 2 && tt.answer == "list" && tt.relist:
					f.proofs.relist = true
					return Batch{Revision: 5}, nil
				case len(calls) == 2 && tt.answer == "list":
					return Batch{}, ErrCompacted
				case len(calls) > 3 || len(calls) == 3 && tt.answer == "watch":
					cancel()
					return Batch{}, ctx.Err()
				}
				f.ApplyFromPeer(noon, []items.Item{{Key: "stays", Revision: 7, Value: []byte("1")}, {Key: "left", Revision: 8, Deleted: true}}, 8, false, time.Hour)
				if tt.answer == "watch" {
					return Batch{Revision: 9, Changes: append(slices.Clone(older), endpointChange("new", 9, 1)), Events: 3}, nil
				}
				return Batch{Revision: 7, Changes: older}, nil
			}
			f = &Feed{
				List:  func(context.Context) (Batch, error) { return answer("list") },
				Watch: func(_ context.Context, after uint64) (Batch, error) { return answer(fmt.Sprint("watch after ", after)) },
				Decode: func(it items.Item) (Change, bool) {
					if it.Deleted {
						return Change{Key: it.Key, Revision: it.Revision, RemovedEndpoint: it.Key}, true
					}
					return endpointChange(it.Key, it.Revision, len(it.Value)), true
				},
				OnList: func(_ time.Time, b Batch, until time.Time) {
					var list []regis.Endpoint
					for _, c := range b.Changes {
						list = append(list, *c.Endpoint)
					}
					table.Replace(list, b.Revision, until)
				},
				OnChange: func(_ time.Time, b Batch, until time.Time) {
					for _, c := range b.Changes {
						if c.Endpoint != nil {
							table.Put(*c.Endpoint)
						} else {
							table.Remove(c.RemovedEndpoint, c.Revision, until)
						}
					}
				},
				OnFailure: func(time.Time, error) {}, Now: func() time.Time { return noon }, Log: zerolog.Nop(),
			}
			f.Run(ctx)
			want := []string{"stays"}
			if tt.answer == "watch" {
				want = []string{"new", "stays"}
			}
			if got := table.AllIDs(); !slices.Equal(got, want) {
				t.Errorf("endpoints are %v after %v, want %v", got, calls, want)
			}
			if last := calls[len(calls)-1]; last != tt.next {
				t.Errorf("calls are %v, want %s last", calls, tt.next)
			}
		})
	}
}

func TestStoreUnreachable(t *testing.T) {
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	f := &Feed{OnList: func(time.Time, Batch, time.Time) {}, Log: zerolog.Nop()}
	unreachable := func(after time.Duration) bool {
		_, got := f.Unreachable(now.Add(after))
		return got
	}
	if unreachable(time.Hour) {
		t.Error("store is unreachable before the first call, want reachable")
	}
	f.startTimer(now)
	if unreachable(unreachableAfter) || !unreachable(unreachableAfter+1) {
		t.Errorf("store that never answers: want reachable until %v, unreachable after it", unreachableAfter)
	}
	f.recordSuccess(now, Batch{Revision: 1}, true, false)
	f.recordFailure(now, errors.New("down"))
	if !unreachable(0) {
		t.Error("store is reachable after a failed call, want unreachable")
	}
	f.recordSuccess(now, Batch{Revision: 1}, true, false)
	if unreachable(0) {
		t.Error("store is unreachable after an answer, want reachable")
	}
}
