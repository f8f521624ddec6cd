package poison

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// entry is a record with its state in the table.
type entry struct {
	Record
	changed time.Time
	sent    time.Time
	// shared reports whether other hosts may have ends of the part.
	shared bool
	// cleared is when an answer cleared the part of ends that other hosts may have.
	cleared time.Time
}

// answers holds when requests were last answered by key, in two generations.
type answers struct {
	young, old map[Key]Event
	turned     time.Time
}

// turn starts a new generation of answers.
func (a *answers) turn(now time.Time) {
	if now.Sub(a.turned) < servedTurn && len(a.young) < maxServed {
		return
	}
	a.old, a.young, a.turned = a.young, map[Key]Event{}, now
}

// Table holds the evidence against prompt parts and requests. Its lock is a leaf.
type Table struct {
	mu      sync.Mutex
	entries map[Key]*entry
	// parts and requests are apart, as requests with ever new keys would displace the parts.
	parts, requests answers
	// lastID is the id of the last event of this host. It begins at random, as the ids of
	// hosts are compared.
	lastID uint32
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{entries: map[Key]*entry{}, parts: answers{young: map[Key]Event{}}, requests: answers{young: map[Key]Event{}}, lastID: rand.Uint32()}
}

// RecordEnd records the end of an endpoint under a request with a part, or with what requests
// of several callers have in common.
func (t *Table) RecordEnd(now time.Time, key Key, e End) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(now, Record{Key: key, Ends: []End{e}}, false)
}

// RecordRepeatEnd records the end of an endpoint under a request that its caller may repeat.
func (t *Table) RecordRepeatEnd(now time.Time, key Key, e End) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.merge(now, Record{Key: key, Repeat: true, Ends: []End{e}}, false)
}

// RecordServed records that a request with the parts was answered.
func (t *Table) RecordServed(now time.Time, parts []Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordServed(now, parts, &t.parts)
}

// RecordServedRequest records that a request with the keys was answered.
func (t *Table) RecordServedRequest(now time.Time, keys []Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordServed(now, keys, &t.requests)
}

func (t *Table) recordServed(now time.Time, keys []Key, a *answers) {
	a.turn(now)
	served := t.event(now)
	for _, k := range keys {
		a.young[k] = served
		if e := t.entries[k]; e != nil && (len(e.Ends) > 0 || e.Trials > 0) {
			t.merge(now, Record{Key: k, Served: served}, false)
		}
	}
}

// RecordFailedTrial records that an endpoint ended under the trial of a part.
func (t *Table) RecordFailedTrial(now time.Time, key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e := t.entries[key]; e != nil {
		e.Trials, e.Tried, e.changed = e.Trials+1, t.event(now), now
	}
}

// event returns a new event of this host.
func (t *Table) event(now time.Time) Event {
	t.lastID++
	return Event{ID: t.lastID, At: now}
}

// Merge adds the records of a peer host.
func (t *Table) Merge(now time.Time, list []Record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range list {
		t.merge(now, r, true)
	}
}

func (t *Table) merge(now time.Time, r Record, fromPeer bool) {
	e := t.entries[r.Key]
	if e == nil {
		e = &entry{Record: Record{Key: r.Key, Served: t.served(r.Key)}}
	}
	merged := e.Merge(r)
	e.shared = e.shared || fromPeer && len(r.Ends) > 0
	if dropsEnds(e.Ends, merged.Served.At) || dropsEnds(r.Ends, merged.Served.At) {
		if e.shared {
			e.cleared = now
		}
	}
	if merged.Trials != e.Trials || merged.Tried.ID != e.Tried.ID || !slices.EqualFunc(merged.Ends, e.Ends, func(a, b End) bool { return a.Life == b.Life }) {
		e.changed = now
	}
	e.Record = merged
	if len(merged.Ends) == 0 && merged.Trials == 0 && now.Sub(e.cleared) >= hotTime {
		// There is no evidence against the part, and no other host needs the clearance.
		if !merged.Served.At.IsZero() {
			t.keepServed(r.Key, merged.Served)
		}
		delete(t.entries, r.Key)
		return
	}
	t.entries[r.Key] = e
	if len(t.entries) > maxRecords {
		t.evict()
	}
}

// dropsEnds reports whether an answer at a time clears a part of any of the ends.
func dropsEnds(ends []End, served time.Time) bool {
	return slices.ContainsFunc(ends, func(e End) bool { return !e.At.After(served) })
}

// evict removes the part with the least evidence.
func (t *Table) evict() {
	var least *entry
	for _, e := range t.entries {
		if least == nil || cmp.Or(cmp.Compare(len(e.Ends), len(least.Ends)), e.lastTry().Compare(least.lastTry()), cmp.Compare(e.Key, least.Key)) < 0 {
			least = e
		}
	}
	delete(t.entries, least.Key)
}

// served returns when a request with a key was last answered, as far as this host remembers.
func (t *Table) served(k Key) Event {
	return t.parts.young[k].Latest(t.parts.old[k]).Latest(t.requests.young[k].Latest(t.requests.old[k]))
}

// keepServed remembers the last answer of a key whose entry is removed.
func (t *Table) keepServed(k Key, served Event) { t.parts.young[k] = t.served(k).Latest(served) }

// Verdict is the decision on a request.
type Verdict struct {
	// Refused reports whether the request is not sent, because of Key.
	Refused bool
	Key     Key
	// RetryAfter is the time until the next trial of the key.
	RetryAfter time.Duration
	// Trial reports whether the request is the trial of a key. It may be sent once.
	Trial bool
}

// Check decides on a request with the keys of its parts and its own. The function chosen returns
// whether this host makes trials in the slot of a number; it does not depend on the key, so
// that a request with several quarantined keys can be tried.
func (t *Table) Check(now time.Time, keys []Key, chosen func(slot int) bool) Verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.entries) == 0 {
		return Verdict{}
	}
	var v Verdict
	var tried []*entry
	for _, k := range keys {
		e := t.entries[k]
		if e == nil || !e.quarantined(now) || e.expired(now) || !e.quarantinedBeside(now, t.culprits(now)) {
			continue
		}
		wait, ok := e.untilTrial(now, chosen)
		if ok {
			tried = append(tried, e)
		} else if !v.Refused || wait > v.RetryAfter {
			v.Refused, v.Key, v.RetryAfter = true, k, wait
		}
	}
	if v.Refused {
		return v
	}
	for _, e := range tried {
		e.Tried, e.changed = t.event(now), now
		v.Trial, v.Key = true, e.Key
	}
	return v
}

// quarantinedBeside reports whether no request with the entry's key is sent, given the culprits.
func (e *entry) quarantinedBeside(now time.Time, culprits []Record) bool {
	return e.quarantined(now) && (e.Served.At.IsZero() || e.unexplained(culprits).quarantined(now))
}

// culprits returns the records that are quarantined and were never answered.
func (t *Table) culprits(now time.Time) []Record {
	var out []Record
	for _, e := range t.entries {
		if e.Served.At.IsZero() && e.quarantined(now) {
			out = append(out, e.Record)
		}
	}
	return out
}

// unexplained returns the record of what was answered before, without the ends that are due to
// a culprit: sound requests share parts, and are in flight together, with those that end
// endpoints.
func (e *entry) unexplained(culprits []Record) Record {
	left := e.Record
	for _, c := range culprits {
		left = left.without(c)
	}
	return left
}

// untilTrial returns the time until the part's next trial, or true if it is made now.
func (e *entry) untilTrial(now time.Time, chosen func(slot int) bool) (time.Duration, bool) {
	over := now.Sub(e.lastTry()) - e.trialWait()
	if over < 0 {
		return -over, false
	}
	slot, offset := int(over/trialSlot), over%trialSlot
	if offset >= trialGuard && chosen(slot) {
		return 0, true
	}
	if offset < trialGuard {
		return trialGuard - offset, false
	}
	return trialSlot - offset + trialGuard, false
}

// Outgoing returns the records to send to peer hosts now, with up to limit ends and records
// together. Those that clear a part come first, then those with the longest chains.
func (t *Table) Outgoing(now time.Time, limit int) []Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []*entry
	for _, e := range t.entries {
		gap := steadyGap
		if now.Sub(e.changed) < hotTime || now.Sub(e.cleared) < hotTime {
			gap = 0
		} else if len(e.Ends) == 1 && !e.sent.IsZero() {
			// Most of the requests that broke at one end are never sent again.
			continue
		}
		if now.Sub(e.sent) >= gap && (len(e.Ends) > 0 || now.Sub(e.cleared) < hotTime) {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.sendClass(now), b.sendClass(now)), a.sent.Compare(b.sent), cmp.Compare(a.Key, b.Key))
	})
	var out []Record
	for _, e := range due {
		if limit -= 1 + len(e.Ends); limit < 0 {
			break
		}
		e.sent = now
		e.shared = e.shared || len(e.Ends) > 0
		out = append(out, e.Record)
	}
	return out
}

// sendClass orders records by their urgency for other hosts.
func (e *entry) sendClass(now time.Time) int {
	switch {
	case now.Sub(e.cleared) < hotTime:
		return 0
	case len(e.Ends) > 1:
		return 1
	}
	return 2
}

// Sweep removes evidence that no longer counts, and returns the parts that are quarantined and
// the number of those with evidence.
func (t *Table) Sweep(now time.Time) (quarantined []Record, suspects int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	culprits := t.culprits(now)
	for k, e := range t.entries {
		if !e.Served.At.IsZero() && len(e.Ends) > 0 {
			// Makes room for later ends.
			e.Record = e.unexplained(culprits)
		}
		if len(e.Ends) == 0 && now.Sub(e.cleared) >= hotTime || len(e.Ends) > 0 && e.expired(now) {
			if e.Served.At.After(t.served(k).At) {
				t.keepServed(k, e.Served)
			}
			delete(t.entries, k)
			continue
		}
		if len(e.Ends) > 0 {
			suspects++
		}
		if e.quarantinedBeside(now, culprits) {
			quarantined = append(quarantined, e.Record)
		}
	}
	slices.SortFunc(quarantined, func(a, b Record) int { return cmp.Compare(a.Key, b.Key) })
	return quarantined, suspects
}
