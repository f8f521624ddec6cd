// Package origin is the board's table of the endpoint releases that began streams. What
// two releases write does not fit together, so a stream that breaks may go on only at the
// release that began it, at whichever host its caller takes it up.
package origin

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// keepTime is how long a stream is kept at least. It exceeds the time in which callers
	// take streams up, which their deadlines bound.
	keepTime = 20 * time.Second
	// maxStreams bounds the streams of one generation; beyond it the older one is dropped.
	maxStreams = 32768
	// maxReleases bounds the names of releases that streams share.
	maxReleases = 64
)

// Key identifies a stream: the hash of the id of the request that brought its first event.
type Key uint64

// KeyOf returns the key of the stream that a request began.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// Start is the release that began a stream.
type Start struct {
	Key     Key
	Release string
}

// Table records the releases that began streams. Its lock is a leaf.
type Table struct {
	mu sync.Mutex
	// young and old are two generations: old is dropped after keepTime, and young takes its
	// place.
	young, old map[Key]string
	turned     time.Time
	// pending holds the streams that this host began and has not announced yet.
	pending []Start
	// names holds one copy of each release's name.
	names map[string]string
	// waiting holds the channels to close once a stream is recorded.
	waiting map[Key][]chan struct{}
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{young: map[Key]string{}, old: map[Key]string{}, names: map[string]string{}, waiting: map[Key][]chan struct{}{}}
}

// Record records the release that began a stream. The first record of a stream holds.
func (t *Table) Record(now time.Time, s Start) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(now, s)
}

// Begin records a stream that this host began, to be announced to other hosts.
func (t *Table) Begin(now time.Time, s Start) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(now, s)
	t.pending = append(t.pending, s)
}

// TakePending returns the streams to announce, once each.
func (t *Table) TakePending() []Start {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.pending
	t.pending = nil
	return out
}

// Find returns the release that began a stream, and false if it is not known.
func (t *Table) Find(now time.Time, key Key) (string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.turn(now)
	return t.find(key)
}

// Await returns a channel that is closed once the stream is recorded. The caller calls
// forget when it stops waiting.
func (t *Table) Await(key Key) (recorded <-chan struct{}, forget func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := make(chan struct{})
	if _, known := t.find(key); known {
		close(c)
		return c, func() {}
	}
	t.waiting[key] = append(t.waiting[key], c)
	return c, func() { t.forget(key, c) }
}

func (t *Table) forget(key Key, c chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var left []chan struct{}
	for _, other := range t.waiting[key] {
		if other != c {
			left = append(left, other)
		}
	}
	if t.waiting[key] = left; len(left) == 0 {
		delete(t.waiting, key)
	}
}

func (t *Table) find(key Key) (string, bool) {
	if release, ok := t.young[key]; ok {
		return release, true
	}
	release, ok := t.old[key]
	return release, ok
}

func (t *Table) record(now time.Time, s Start) {
	t.turn(now)
	if _, known := t.find(s.Key); known {
		return
	}
	t.young[s.Key] = t.shared(s.Release)
	for _, c := range t.waiting[s.Key] {
		close(c)
	}
	delete(t.waiting, s.Key)
}

// turn starts a new generation if the young one is full or keepTime old.
func (t *Table) turn(now time.Time) {
	if now.Sub(t.turned) < keepTime && len(t.young) < maxStreams {
		return
	}
	if now.Sub(t.turned) >= 2*keepTime {
		t.young = map[Key]string{}
	}
	t.old, t.young, t.turned = t.young, map[Key]string{}, now
}

// shared returns the copy of a name that all its streams share.
func (t *Table) shared(name string) string {
	if known, ok := t.names[name]; ok {
		return known
	}
	if len(t.names) >= maxReleases {
		clear(t.names)
	}
	t.names[name] = name
	return name
}
