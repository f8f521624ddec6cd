package feed

import (
	"math"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/plat/eras"
)

const (
	// followTimeout is the age of the last confirmation from which a host that follows
	// reading hosts reads the store itself.
	followTimeout = 2 * time.Second
	// followPoll is the time between checks whether the host still follows.
	followPoll = 100 * time.Millisecond
)

// State is what a host has read of the store, as it tells the hosts that follow it.
type State struct {
	// Revision is the store's revision up to which the host knows all changes, and Changed
	// that of the last change that was no heartbeat.
	Revision uint64
	Changed  uint64
	// Age is the time since the store's last answer.
	Age time.Duration
	// Stable is the time since a call last failed or was slow.
	Stable time.Duration
}

// State returns what this host has read of the store, and false if it has not listed it
// yet or relies on other hosts.
func (f *Feed) State(now time.Time) (State, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := State{Age: now.Sub(f.lastSuccess), Stable: now.Sub(f.lastUnstable)}
	s.Revision, s.Changed = f.items.Revisions()
	return s, f.listed && !f.following
}

// Confirm compares this host's state with that of a reading host. It reports whether
// this host lacks changes. If it lacks none, they count as confirmed at the time of the
// reading host's last answer from the store.
func (f *Feed) Confirm(now time.Time, s State) (behind bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.listed {
		return false
	}
	if s.Changed > f.revision {
		return true
	}
	if eras.Of(s.Revision) < eras.Of(f.revision) {
		// The reading host has not seen the restore of the store yet.
		return false
	}
	at := now.Add(-s.Age)
	if at.After(f.confirmed) {
		f.confirmed = at
	}
	f.viewedAt = latest(f.viewedAt, at)
	if s.Revision > f.revision {
		f.revision = s.Revision
		f.items.Apply(nil, s.Revision)
	}
	return false
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// markViewed records that this host's view was the newest one at a time.
func (f *Feed) markViewed(at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.viewedAt = latest(f.viewedAt, at)
}

// ConfirmView records that a peer host's view up to a revision was the newest one an age ago. It holds
// for this host too if that has all of these changes.
func (f *Feed) ConfirmView(now time.Time, revision uint64, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.listed && revision <= f.revision && eras.Of(revision) == eras.Of(f.revision) {
		f.viewedAt = latest(f.viewedAt, now.Add(-age))
	}
}

// ViewAge returns the time since this host's view was last the newest one, math.MaxInt64 if that is
// not known.
func (f *Feed) ViewAge(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.viewedAt.IsZero() {
		return math.MaxInt64
	}
	return now.Sub(f.viewedAt)
}

// Distrust makes this host read the store itself until the next confirmation. It is called
// after a pause of the process, whose length the clock may not show.
func (f *Feed) Distrust() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.confirmed, f.viewedAt = time.Time{}, time.Time{}
}

// follows reports whether the host relies on reading hosts now.
func (f *Feed) follows(now time.Time) bool {
	reads := f.Reads == nil || f.Reads()
	f.mu.Lock()
	defer f.mu.Unlock()
	following := !reads && f.listed && now.Sub(f.confirmed) < followTimeout
	if following {
		f.failures = 0
		if f.confirmed.After(f.lastSuccess) {
			f.lastSuccess = f.confirmed
		}
	}
	if following != f.following {
		f.following = following
		f.Log.Info().Str("feed", f.Name).Bool("following", following).Bool("reader", reads).Uint64("at", eras.Revision(f.revision)).
			Dur("confirmed", now.Sub(f.confirmed)).Msg("source of store changes")
	}
	return following
}
