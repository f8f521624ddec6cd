// Package proof is the board's table of the confirmations that the published rules of this host
// are the newest. A confirmation is a read of the store that was answered; it shows what was newest
// when the read was sent. Times are durations on a clock that also runs while the machine is
// suspended.
package proof

import (
	"sync"
	"time"
)

// marginShare is the share of the period of key revocation that is left unused, for clocks of
// different rates.
const marginShare = 0.05

// Life returns the time for which a confirmation counts, so that no key is accepted longer than a
// period after it was taken away.
func Life(period time.Duration) time.Duration {
	return period - time.Duration(marginShare*float64(period))
}

// Table holds the latest confirmation. Its lock is a leaf.
type Table struct {
	life time.Duration

	mu        sync.Mutex
	confirmed bool
	at        time.Duration
	version   uint64
}

// NewTable returns a table without a confirmation, for confirmations that count for life.
func NewTable(life time.Duration) *Table { return &Table{life: life} }

// Life returns the time for which a confirmation counts.
func (t *Table) Life() time.Duration { return t.life }

// Confirm records that a read which was sent at a time showed no newer version than the given one.
// Reads that were sent before the latest one are ignored, as late answers add nothing.
func (t *Table) Confirm(at time.Duration, version uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.confirmed && at <= t.at {
		return
	}
	t.confirmed, t.at, t.version = true, at, version
}

// Void removes the confirmation, as the store turned out to be older than what other hosts have read
// of it.
func (t *Table) Void() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.confirmed = false
}

// Age returns the time since the latest confirming read was sent, and false if there is none.
func (t *Table) Age(now time.Duration) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return now - t.at, t.confirmed
}

// Valid reports whether a version is confirmed: the latest confirmation is young enough and showed
// no newer one.
func (t *Table) Valid(now time.Duration, version uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.confirmed && t.version <= version && now-t.at < t.life
}
