package feed

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/plat/items"
)

// script plays calls of a feed against a clock that only it moves.
type script struct {
	t     *testing.T
	now   time.Time
	steps []step
	seen  []string
	until []time.Time
	stop  context.CancelFunc
}

type step struct {
	call  string
	after uint64
	took  time.Duration
	batch Batch
	err   error
}

func (s *script) next(call string, after uint64) (Batch, error) {
	if len(s.steps) == 0 {
		s.stop()
		return Batch{}, context.Canceled
	}
	st := s.steps[0]
	s.steps = s.steps[1:]
	if st.call != call || st.after != after {
		s.t.Errorf("called %s after %d, want %s after %d", call, after, st.call, st.after)
	}
	s.now = s.now.Add(st.took)
	return st.batch, st.err
}

func play(t *testing.T, steps ...step) *script {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := &script{t: t, now: time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC), steps: steps, stop: cancel}
	f := &Feed{
		List:  func(context.Context) (Batch, error) { return s.next("list", 0) },
		Watch: func(_ context.Context, after uint64) (Batch, error) { return s.next("watch", after) },
		Listed: func(_ time.Time, _ Batch, until time.Time) {
			s.seen, s.until = append(s.seen, "listed"), append(s.until, until)
		},
		Changed: func(_ time.Time, _ Batch, until time.Time) {
			s.seen, s.until = append(s.seen, "changed"), append(s.until, until)
		},
		Lost: func(time.Time, error) { s.seen = append(s.seen, "lost") },
		Now:  func() time.Time { return s.now }, Log: zerolog.Nop(),
	}
	f.Run(ctx)
	return s
}

func (s *script) want(list ...string) {
	s.t.Helper()
	if len(s.seen) != len(list) {
		s.t.Fatalf("saw %v, want %v", s.seen, list)
	}
	for i := range list {
		if s.seen[i] != list[i] {
			s.t.Fatalf("saw %v, want %v", s.seen, list)
		}
	}
}

func TestListsThenWatches(t *testing.T) {
	s := play(t,
		step{call: "list", batch: Batch{At: 5}},
		step{call: "watch", after: 5, batch: Batch{At: 7}},
		step{call: "watch", after: 7, batch: Batch{At: 7}},
	)
	s.want("listed", "changed", "changed")
	for _, u := range s.until {
		if !u.IsZero() {
			t.Error("removals are held back though the store is well")
		}
	}
}

func TestListsAgainWhereHistoryIsGone(t *testing.T) {
	s := play(t,
		step{call: "list", batch: Batch{At: 5}},
		step{call: "watch", after: 5, err: ErrForgotten},
		step{call: "list", batch: Batch{At: 50}},
		step{call: "watch", after: 50, batch: Batch{At: 51}},
	)
	s.want("listed", "listed", "changed")
}

// TestNeverGoesBack: a stale answer does not take the watch back to changes that
// were already taken in.
func TestNeverGoesBack(t *testing.T) {
	play(t,
		step{call: "list", batch: Batch{At: 5}},
		step{call: "watch", after: 5, batch: Batch{At: 9}},
		step{call: "watch", after: 9, batch: Batch{At: 3}},
		step{call: "watch", after: 9, batch: Batch{At: 9}},
	)
}

// TestHoldsRemovalsAfterAnOutage: what vanished while calls failed may only have
// been unable to renew, so removals are held for a while after the last failure.
func TestHoldsRemovalsAfterAnOutage(t *testing.T) {
	down := errors.New("down")
	s := play(t,
		step{call: "list", batch: Batch{At: 5}},
		step{call: "watch", after: 5, err: down},
		step{call: "watch", after: 5, batch: Batch{At: 6}},
		step{call: "watch", after: 6, took: settled + time.Second, batch: Batch{At: 7}},
	)
	s.want("listed", "lost", "changed", "changed")
	if s.until[1].IsZero() {
		t.Error("removals right after an outage are taken at once")
	}
	if !s.until[2].IsZero() {
		t.Error("removals long after an outage are still held")
	}
}

// TestTold: what another host tells counts only where it is newer, and the store
// is watched on from there; a listing is needed before changes.
func TestTold(t *testing.T) {
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	var seen []string
	f := &Feed{
		Read: func(it items.Item) (Change, bool) {
			return Change{Key: it.Key, Revision: it.Revision}, it.Key != "foreign"
		},
		Listed: func(_ time.Time, b Batch, until time.Time) {
			seen = append(seen, fmt.Sprint("listed ", len(b.Changes), " held ", !until.IsZero()))
		},
		Changed: func(_ time.Time, b Batch, until time.Time) {
			seen = append(seen, fmt.Sprint("changed ", len(b.Changes), " held ", !until.IsZero()))
		},
	}
	earlier := now.Add(-time.Second)
	list := []items.Item{{Key: "a", Revision: 4, At: earlier}, {Key: "foreign", Revision: 5}}
	steps := []struct {
		at    uint64
		whole bool
		want  bool
	}{{5, false, false}, {5, true, true}, {5, true, false}, {4, false, false}, {8, false, true}}
	for i, st := range steps {
		if got := f.Told(now, list, st.at, st.whole); got != st.want {
			t.Errorf("step %d: Told = %v", i, got)
		}
	}
	if want := []string{"listed 1 held true", "changed 1 held true"}; !slices.Equal(seen, want) {
		t.Errorf("saw %v, want %v", seen, want)
	}
	if from, _ := f.Away(now); from != 8 {
		t.Errorf("asks from %d", from)
	}
	if told, at, _ := f.Since(5); at != 8 || len(told) != 0 {
		t.Errorf("tells %v at %d", told, at)
	}
	if told, _, whole := f.Since(0); !whole || len(told) != 1 || !told[0].At.Equal(earlier) {
		t.Errorf("tells on %v", told)
	}
}

func TestAway(t *testing.T) {
	now := time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)
	f := &Feed{Listed: func(time.Time, Batch, time.Time) {}, Log: zerolog.Nop()}
	away := func(after time.Duration) bool {
		_, is := f.Away(now.Add(after))
		return is
	}
	if away(time.Hour) {
		t.Error("away before it was asked")
	}
	f.begin(now)
	if away(quietTime) || !away(quietTime+1) {
		t.Error("a store that never answers is not away after its time")
	}
	f.succeeded(now, Batch{At: 1}, true, false)
	f.failed(now, errors.New("down"))
	if !away(0) {
		t.Error("not away after a failed call")
	}
	f.succeeded(now, Batch{At: 1}, true, false)
	if away(0) {
		t.Error("away after an answer")
	}
}
