package past

import (
	"context"
	"errors"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/eras"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
)

const beat = time.Second

// history is a store's history with the writes of endpoints, one of each in a beat.
type history struct {
	changes []feed.Change
	at      uint64
	// floor is the revision up to which the history was dropped, part the most changes of one answer.
	floor uint64
	part  int
	// bytes is the size of the values of a part.
	bytes int
	calls int
	err   error
}

func (h *history) put(id, release string) {
	h.at++
	h.changes = append(h.changes, feed.Change{Revision: h.at, Endpoint: &regis.Endpoint{ID: id, Service: "s", Release: release, Revision: h.at}})
}

func (h *history) remove(id string) {
	h.at++
	h.changes = append(h.changes, feed.Change{Revision: h.at, RemovedEndpoint: id})
}

// run lets a number of endpoints of a release write for a number of beats.
func (h *history) run(release string, endpoints, beats int) {
	for range beats {
		for i := range endpoints {
			h.put(fmt.Sprint(release, "-", i), release)
		}
	}
}

func (h *history) watch(_ context.Context, after uint64) (feed.Batch, error) {
	h.calls++
	if h.err != nil {
		return feed.Batch{}, h.err
	}
	if own := eras.Revision(after); own < h.floor {
		return feed.Batch{}, feed.ErrCompacted
	}
	b := feed.Batch{Revision: after}
	for _, c := range h.changes {
		if c.Revision <= eras.Revision(after) || (h.part > 0 && len(b.Changes) == h.part) {
			continue
		}
		b.Changes, b.Revision = append(b.Changes, c), eras.Join(eras.Of(after), c.Revision)
	}
	b.Events = len(b.Changes)
	if len(b.Changes) == h.part {
		b.Bytes = h.bytes
	}
	return b, nil
}

func (h *history) releases(t *testing.T, endpoints int, length time.Duration) (View, map[string]bool) {
	t.Helper()
	r := Reader{Watch: h.watch, Beat: beat, Kept: 20 * time.Second}
	v, err := r.Read(context.Background(), h.at, endpoints, length)
	if err != nil {
		t.Fatal(err)
	}
	out := map[string]bool{}
	for _, e := range v.Endpoints {
		out[e.Release] = true
	}
	return v, out
}

// TestReleaseThatLeftIsSeen guards against a listing that shows the new release alone: the history
// still has the writes of the old one's endpoints.
func TestReleaseThatLeftIsSeen(t *testing.T) {
	h := &history{at: 5000, floor: 5000}
	h.run("v1", 9, 16)
	for i := range 9 {
		h.put(fmt.Sprint("v2-", i), "v2")
		h.remove(fmt.Sprint("v1-", i))
	}
	h.run("v2", 9, 2)
	v, releases := h.releases(t, 9, 8*time.Second)
	if !releases["v1"] || !releases["v2"] || v.Length < 8*time.Second || v.Revision != h.at {
		t.Errorf("view covers %v up to revision %d with releases %v, want 8 s or more with both, up to %d", v.Length, v.Revision, releases, h.at)
	}
}

// TestViewClaimsNoMoreThanItCovers plays histories of every length: endpoints write up to a tenth
// sooner than usual, and the view never claims more time than there was.
func TestViewClaimsNoMoreThanItCovers(t *testing.T) {
	for beats := 1; beats < 30; beats++ {
		for _, endpoints := range []int{3, 21, 100} {
			h := &history{at: 5000, floor: 5000}
			h.run("v1", endpoints, beats)
			v, _ := h.releases(t, endpoints, 15*time.Second)
			if most := time.Duration(beats) * beat; v.Length > most {
				t.Errorf("%d beats of %d endpoints: view claims %v of %v", beats, endpoints, v.Length, most)
			}
			if beats >= 20 && v.Length < 15*time.Second {
				t.Errorf("%d beats of %d endpoints: view covers %v, want 15 s", beats, endpoints, v.Length)
			}
		}
	}
}

// TestUnknownRemovalEndsTheView guards against an endpoint whose release no write shows: the view
// begins after it.
func TestUnknownRemovalEndsTheView(t *testing.T) {
	h := &history{at: 5000, floor: 5000}
	h.run("v2", 5, 10)
	h.remove("gone")
	h.run("v2", 5, 4)
	if v, _ := h.releases(t, 5, 8*time.Second); v.Length > 4*time.Second {
		t.Errorf("view covers %v, want less than the 4 s since the removal", v.Length)
	}
}

// TestDroppedHistory: as much as the store still has is read, in a bounded number of calls.
func TestDroppedHistory(t *testing.T) {
	h := &history{at: 5000}
	h.run("v1", 10, 30)
	h.floor = h.at - 95
	v, _ := h.releases(t, 10, 15*time.Second)
	if v.Length > 10*time.Second || v.Length < 4*time.Second || h.calls > maxReads {
		t.Errorf("view covers %v after %d calls, want most of the 9.5 s that are left", v.Length, h.calls)
	}
}

// TestPartsOfHistory: a store that returns its history in parts is read to its end, or not at all.
func TestPartsOfHistory(t *testing.T) {
	h := &history{at: 5000, floor: 5000, part: partChanges}
	h.run("v1", 30, 12)
	h.put("v2-0", "v2")
	if v, releases := h.releases(t, 30, 8*time.Second); !releases["v2"] || v.Revision != h.at {
		t.Errorf("view ends at revision %d with releases %v, want %d with v2", v.Revision, releases, h.at)
	}
	h.run("v1", 100, 12)
	r := Reader{Watch: h.watch, Beat: beat, Kept: 20 * time.Second}
	if v, err := r.Read(context.Background(), h.at, 100, 8*time.Second); err == nil {
		t.Errorf("a history of more than %d parts gives a view of %v", maxWatches, v.Length)
	}
}

// TestPartsOfLargeValues guards against a part that is short as its values are large and counts as all
// of the history, whether the values are used or not.
func TestPartsOfLargeValues(t *testing.T) {
	h := &history{at: 5000, floor: 5000, part: 60, bytes: partBytes}
	h.run("v1", 30, 12)
	h.put("v2-0", "v2")
	if v, releases := h.releases(t, 30, 8*time.Second); !releases["v2"] || v.Revision != h.at {
		t.Errorf("view ends at revision %d with releases %v, want %d with v2", v.Revision, releases, h.at)
	}
}

// TestNoHistory: a store that can't be reached, or an unknown beat, gives no view.
func TestNoHistory(t *testing.T) {
	h := &history{at: 5000, err: io.ErrUnexpectedEOF}
	r := Reader{Watch: h.watch, Beat: beat, Kept: 20 * time.Second}
	if _, err := r.Read(context.Background(), h.at, 3, time.Second); !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("got error %v, want that of the store", err)
	}
	h.err, r.Beat = nil, 0
	h.run("v1", 3, 20)
	if v, err := r.Read(context.Background(), h.at, 3, time.Second); err != nil || v.Length != 0 {
		t.Errorf("unknown beat: view covers %v, error %v, want nothing", v.Length, err)
	}
	if v, err := r.Read(context.Background(), h.at-3, 3, 0); err != nil || len(v.Endpoints) != 3 {
		t.Errorf("changes alone: %d, error %v, want 3", len(v.Endpoints), err)
	}
}

// TestYoungStore: a store whose first write is still there has its whole history.
func TestYoungStore(t *testing.T) {
	h := &history{}
	h.put("v1-0", "v1")
	h.put("v1-1", "v1")
	if v, _ := h.releases(t, 2, 20*time.Second); v.Length < 20*time.Second {
		t.Errorf("view covers %v of a store that has dropped nothing", v.Length)
	}
}
