// Package pulse is the board's record of the process itself: whether it is
// ready, leaving, or was paused.
package pulse

import (
	"context"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// period is the time between two beats.
	period = 100 * time.Millisecond
	// limit is the time without a beat that counts as a pause of the process.
	limit = 2 * time.Second
	// grace bounds how long a woken host waits for a fresh view.
	grace = 2 * time.Second
)

// Table records the beats of the process. Its lock is a leaf.
type Table struct {
	mu     sync.Mutex
	beat   time.Time
	doubt  time.Time
	pauses uint64

	leaving atomic.Bool
	ready   atomic.Bool
	open    atomic.Int64
}

// NewTable returns a record that begins now.
func NewTable(now time.Time) *Table { return &Table{beat: now} }

// gap is the time since the last beat by the wall clock or by the monotonic
// one, whichever is longer: a paused machine may stop one of them.
func gap(now, then time.Time) time.Duration {
	return max(now.Sub(then), now.Round(0).Sub(then.Round(0)))
}

// Beat is called by the process several times a second. It reports whether the
// process was paused before it.
func (t *Table) Beat(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	paused := gap(now, t.beat) > limit
	t.beat = now
	if paused {
		t.pauses++
		t.doubt = now
	}
	return paused
}

// Run beats until the context ends and calls paused after each pause. It has a
// goroutine of its own and no other work, so that it is late only where the
// process is.
func (t *Table) Run(ctx context.Context, now func() time.Time, paused func()) {
	tick := time.NewTicker(period)
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

// Refreshed says that a fresh view was had after a pause.
func (t *Table) Refreshed() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.doubt = time.Time{}
}

// Doubtful reports whether beliefs from before a pause are still held. A host
// that nobody answers stops doubting after a grace, so that it still serves.
func (t *Table) Doubtful(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if gap(now, t.beat) > limit {
		return true
	}
	return !t.doubt.IsZero() && now.Sub(t.doubt) < grace
}

// Pauses returns how many pauses were noticed.
func (t *Table) Pauses() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pauses
}

// Leave says that the host takes no new requests.
func (t *Table) Leave() { t.leaving.Store(true) }

// Leaving reports whether the host takes no new requests.
func (t *Table) Leaving() bool { return t.leaving.Load() }

// SetReady says that the host can serve.
func (t *Table) SetReady() { t.ready.Store(true) }

// Ready reports whether the host can serve.
func (t *Table) Ready() bool { return t.ready.Load() }

// Enter counts a request in and returns the number in flight.
func (t *Table) Enter() int { return int(t.open.Add(1)) }

// Exit counts a request out.
func (t *Table) Exit() { t.open.Add(-1) }

// Open returns the number of requests in flight.
func (t *Table) Open() int { return int(t.open.Load()) }
