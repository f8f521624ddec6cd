// Package past reads from the history of the platform's store which endpoints were registered
// before a host had a view of the store. It answers the restart of all hosts: the processes that
// watched the store have ended, and a listing lacks the endpoints that left meanwhile.
package past

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/eras"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
)

const (
	// shortestBeat is the shortest time between two writes of an endpoint, as a share of the usual
	// one.
	shortestBeat = 0.9
	// reserve is how much more history is asked for than needed, as endpoints write at uneven times.
	reserve = 1.3
	// maxReads bounds the attempts to find a revision that is old enough and not yet dropped.
	maxReads = 4
	// maxWatches bounds the calls of one attempt, as the store may return a part at a time. An answer
	// with fewer changes than partChanges and fewer bytes than partBytes is no such part.
	maxWatches  = 8
	partChanges = 100
	partBytes   = 256 << 10
	// wholeHistory is the length of a view that begins before the store's first revision.
	wholeHistory = 24 * time.Hour
)

// errIncomplete is the error of a history that the store did not return up to its present revision.
var errIncomplete = errors.New("history is longer than the store returned")

// Reader reads the history. The store dates no write, so its age follows from the writes by which
// endpoints renew their registrations.
type Reader struct {
	// Watch returns the changes after an ordered revision, in their order, without waiting for one.
	Watch func(ctx context.Context, after uint64) (feed.Batch, error)
	// Beat is the time between two writes of an endpoint, Kept that for which the store keeps its
	// history. Without them no history is read.
	Beat, Kept time.Duration
}

// View is a part of the history that ends at the present.
type View struct {
	// Length is the time that it covers at least.
	Length time.Duration
	// Endpoints holds the registrations that were written in it.
	Endpoints []regis.Endpoint
	// Revision is the ordered revision at its end.
	Revision uint64
}

// Read returns a view that covers a length of time before now, or as much of it as the store still
// has; for a length of 0, the changes after at. at is an ordered revision that the store has reached, endpoints the number of registrations.
func (r *Reader) Read(ctx context.Context, at uint64, endpoints int, length time.Duration) (View, error) {
	if length <= 0 {
		v, err := r.readFrom(ctx, at)
		if err != nil {
			return View{}, fmt.Errorf("read changes: %w", err)
		}
		return v, nil
	}
	if r.Beat <= 0 || endpoints == 0 {
		return View{}, nil
	}
	var best View
	// The history is searched between kept, which the store still has, and dropped.
	kept, dropped := time.Duration(0), r.Kept+r.Beat
	ask := min(time.Duration(reserve*float64(length))+r.Beat, r.Kept)
	for range maxReads {
		v, err := r.readFrom(ctx, r.revisionBefore(at, endpoints, ask))
		switch {
		case errors.Is(err, feed.ErrCompacted):
			dropped = ask
			ask = dropped - (dropped-kept)/4
			continue
		case err != nil:
			return best, fmt.Errorf("read history: %w", err)
		case v.Length >= length:
			return v, nil
		}
		best, kept = v, ask
		ask = (kept + dropped) / 2
	}
	return best, nil
}

// revisionBefore returns the ordered revision that the store had a while ago, if each endpoint wrote
// once in a beat.
func (r *Reader) revisionBefore(at uint64, endpoints int, ago time.Duration) uint64 {
	writes := uint64(float64(endpoints)*float64(ago)/float64(r.Beat)) + 1
	own := eras.Revision(at)
	return eras.Join(eras.Of(at), own-min(own, writes))
}

// readFrom returns the view of all changes after a revision.
func (r *Reader) readFrom(ctx context.Context, from uint64) (View, error) {
	var changes []feed.Change
	after := from
	for range maxWatches {
		b, err := r.Watch(ctx, after)
		if err != nil {
			return View{}, err
		}
		changes, after = append(changes, b.Changes...), max(after, b.Revision)
		if isPart(b) {
			continue
		}
		v := view(changes, r.Beat)
		v.Revision = after
		if eras.Revision(from) == 0 {
			v.Length = wholeHistory
		}
		return v, nil
	}
	return View{}, errIncomplete
}

// isPart reports whether the store may have returned only a part of the changes.
func isPart(b feed.Batch) bool { return b.Events >= partChanges || b.Bytes >= partBytes }

// view returns the view of a list of changes, in their order.
func view(changes []feed.Change, beat time.Duration) View {
	var v View
	writes, known := map[string]int{}, map[string]bool{}
	for _, c := range changes {
		switch {
		case c.Endpoint != nil:
			v.Endpoints = append(v.Endpoints, *c.Endpoint)
			writes[c.Endpoint.ID]++
			known[c.Endpoint.ID] = true
		case c.RemovedEndpoint != "" && !known[c.RemovedEndpoint]:
			// The release of this endpoint is not known, so the view begins after it.
			clear(writes)
		}
	}
	if n := typicalWrites(writes); n > 1 {
		v.Length = time.Duration(shortestBeat * float64(n-1) * float64(beat))
	}
	return v
}

// typicalWrites returns how often the endpoints that were there throughout wrote at least: a quarter
// of all endpoints wrote as often or more. The few that wrote most may have changed their state.
func typicalWrites(writes map[string]int) int {
	if len(writes) == 0 {
		return 0
	}
	counts := make([]int, 0, len(writes))
	for _, n := range writes {
		counts = append(counts, n)
	}
	slices.Sort(counts)
	return counts[len(counts)-1-len(counts)/4]
}
