package node

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/eras"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/past"
)

const (
	// readReleasesTimeout bounds a read of the releases for callers that resume streams.
	readReleasesTimeout = time.Second
	// historyPeriod is the least time between two reads of the store's history.
	historyPeriod = time.Second
)

// releaseReads lets the requests that need it share the reads of releases. One that arrives while a
// read is under way waits for the next one, as that one may not show what was written meanwhile. Its
// lock is a leaf.
type releaseReads struct {
	mu sync.Mutex
	// next is the read that has not begun, nil if no request waits for one.
	next *releaseRead
	wake chan struct{}
}

// releaseRead is one read. since does not change once it has begun, nor ok once done is closed.
type releaseRead struct {
	since time.Time
	done  chan struct{}
	ok    bool
}

// join returns the next read, which shows the releases since a time.
func (r *releaseReads) join(since time.Time) *releaseRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.next == nil {
		r.next = &releaseRead{since: since, done: make(chan struct{})}
		r.wake <- struct{}{}
	}
	if since.Before(r.next.since) {
		r.next.since = since
	}
	return r.next
}

func (r *releaseReads) take() *releaseRead {
	r.mu.Lock()
	defer r.mu.Unlock()
	read := r.next
	r.next = nil
	return read
}

// run reads whenever a request waits, until the context ends.
func (r *releaseReads) run(ctx context.Context, read func(ctx context.Context, since time.Time) bool) {
	for {
		select {
		case <-r.wake:
		case <-ctx.Done():
			return
		}
		next := r.take()
		next.ok = read(ctx, next.since)
		close(next.done)
	}
}

// readReleases reads from the store which releases were registered since a time and records them.
// It reports whether what is recorded is complete up to now at least.
func (n *Node) readReleases(ctx context.Context, since time.Time) bool {
	read := n.releaseReads.join(since)
	select {
	case <-read.done:
		return read.ok
	case <-ctx.Done():
		return false
	}
}

// readReleasesOnce reads the store's history since a time as far as this host lacks it, and the
// changes since its last view. Only the goroutine of releaseReads calls it.
func (n *Node) readReleasesOnce(ctx context.Context, now, since time.Time) bool {
	ctx, cancel := context.WithTimeout(ctx, readReleasesTimeout)
	defer cancel()
	known, reached := n.board.Registry.ReleasesKnown(), n.feed.Reached()
	if n.feed.History == nil || known.IsZero() {
		return false
	}
	missing := time.Duration(0)
	if since.Before(known) {
		missing = now.Sub(since)
	}
	if missing > 0 {
		// What the store had before it came back from an older copy is in no history.
		if eras.Of(reached) != 0 || now.Sub(n.historyAt) < historyPeriod {
			return false
		}
		n.historyAt = now
	}
	reader := past.Reader{Watch: n.feed.History, Beat: n.settings.Bounds.Beat(), Kept: n.settings.Bounds.History()}
	view, err := reader.Read(ctx, reached, n.board.Registry.Len(), missing)
	if err != nil {
		n.log.Warn().Err(err).Uint64("at", eras.Revision(reached)).Dur("missing", missing).Msg("releases of endpoints not read from the store")
		return false
	}
	list := make([]regis.Registered, 0, len(view.Endpoints))
	for _, e := range view.Endpoints {
		list = append(list, regis.Registered{Service: e.Service, Release: e.Release, Last: now})
	}
	from := known
	if missing > 0 {
		from = now.Add(-view.Length)
		n.log.Info().Uint64("at", eras.Revision(view.Revision)).Dur("missing", missing).Dur("covered", view.Length).
			Int("registrations", len(list)).Msg("releases read from the store's history")
	}
	return view.Revision >= reached && n.board.Registry.AddReleases(from, known, list)
}

// verifyEndpoint reads an endpoint's registration and applies it: the feed does so only with its next
// watch. It reports whether the endpoint's process is still the one that a registration names.
func (n *Node) verifyEndpoint(ctx context.Context, e regis.Endpoint) (same bool, err error) {
	if n.feed.ReadEndpoint == nil {
		return true, nil
	}
	read, err := n.feed.ReadEndpoint(ctx, e.ID)
	if err != nil {
		return false, err
	}
	now := n.now()
	n.board.Registry.RecordReleases(now)
	if read = n.registered(read, n.hostAddresses()); n.board.Registry.Renew(read) {
		n.endpointChanged(read)
		n.board.Registry.RecordReleases(now)
	}
	current, ok := n.board.Registry.Get(e.ID)
	return ok && current.Start == e.Start && current.Release == e.Release, nil
}
