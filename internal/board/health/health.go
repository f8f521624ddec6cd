// Package health is the board's record of the host's own process: whether it is ready,
// draining or was paused, and the number of its in-flight requests.
package health

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// beatPeriod is the time between two beats.
	beatPeriod = 100 * time.Millisecond
	// pauseThreshold is the time without a beat that counts as a pause of the process.
	pauseThreshold = 2 * time.Second
	// refreshTimeout bounds how long a host waits for a fresh view after a pause.
	refreshTimeout = 2 * time.Second
)

// Table records the beats and state of the process. Its lock is a leaf.
type Table struct {
	mu       sync.Mutex
	lastBeat time.Time
	// staleSince is when the last pause ended, zero once the view was refreshed.
	staleSince time.Time
	pauses     uint64

	leaving  atomic.Bool
	ready    atomic.Bool
	inFlight atomic.Int64
}

// NewTable returns a table whose first beat is now.
func NewTable(now time.Time) *Table { return &Table{lastBeat: now} }

// elapsed returns the time since then by the wall clock or by the monotonic clock,
// whichever is longer: a paused machine may stop one of them.
func elapsed(now, then time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}

// Beat records a beat; the process calls it several times a second. It reports
// whether the process was paused since the last beat.
func (t *Table) Beat(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	paused := elapsed(now, t.lastBeat) > pauseThreshold
	t.lastBeat = now
	if paused {
		t.pauses++
		t.staleSince = now
	}
	return paused
}

// Run beats until the context ends and calls paused after each pause. It needs a
// goroutine without other work, so that a beat is late only if the process is.
func (t *Table) Run(ctx context.Context, now func() time.Time, paused func()) {
	tick := time.NewTicker(beatPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if t.Beat(now()) {
				paused()
			}
		}
	}
}

// MarkFresh records that the host's view was refreshed after a pause.
func (t *Table) MarkFresh() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.staleSince = time.Time{}
}

// Stale reports whether the host's view may be stale after a pause. After
// refreshTimeout it reports false, so that a host whose peers do not answer still
// serves.
func (t *Table) Stale(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if elapsed(now, t.lastBeat) > pauseThreshold {
		return true
	}
	return !t.staleSince.IsZero() && now.Sub(t.staleSince) < refreshTimeout
}

// Pauses returns the number of pauses that were detected.
func (t *Table) Pauses() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pauses
}

// SetLeaving starts draining: the host takes no new requests.
func (t *Table) SetLeaving() { t.leaving.Store(true) }

// Leaving reports whether the host is draining.
func (t *Table) Leaving() bool { return t.leaving.Load() }

// SetReady marks the host as able to serve.
func (t *Table) SetReady() { t.ready.Store(true) }

// Ready reports whether the host can serve.
func (t *Table) Ready() bool { return t.ready.Load() }

// Enter adds an in-flight request and returns their number.
func (t *Table) Enter() int { return int(t.inFlight.Add(1)) }

// Exit removes an in-flight request.
func (t *Table) Exit() { t.inFlight.Add(-1) }

// InFlight returns the number of in-flight requests.
func (t *Table) InFlight() int { return int(t.inFlight.Load()) }
