// Package regis is the board's table of registered endpoints and evacuated data
// centres, as read from the platform's store.
package regis

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/eras"
)

// Endpoint is the registration of an endpoint. An endpoint that restarts under the
// same id has a later incarnation.
type Endpoint struct {
	ID      string
	Service string
	Address string
	Centre  string
	Region  string
	// Slots is the number of requests that the endpoint runs in parallel.
	Slots int
	// Release is the version of the endpoint's software, empty if it states none.
	Release string
	// Draining reports whether the endpoint takes no new requests.
	Draining bool
	// ColdUntil is the expected end of the warm-up.
	ColdUntil time.Time
	// Incarnation is the start time of the endpoint's process, in milliseconds since
	// 1970; 0 if unknown.
	Incarnation int64
	// Start is this host's number of the endpoint's present process, which differs from that of
	// any earlier process under the same id; 0 before the registration is stored.
	Start uint64
	// Revision is the store's revision at the registration's last change.
	Revision uint64
	// Lapsed reports whether the registration was removed during an outage of the store
	// and the endpoint is kept for a while. It may have restarted meanwhile.
	Lapsed bool
	// announced is what the endpoint itself answered of its warm-up.
	announced announcedCold
}

// announcedCold is the end of a warm-up that an endpoint announced.
type announcedCold struct {
	until time.Time
	// own reports whether it was in an answer to this host.
	own bool
}

// ColdReason is why an endpoint may be cold.
type ColdReason string

// The reasons. ColdLapsed means that what the endpoint does since its registration lapsed is not known,
// ColdRegistered that its registration states a warm-up, ColdAnnounced that an answer of the endpoint does.
const (
	NotCold        ColdReason = ""
	ColdLapsed     ColdReason = "lapsed"
	ColdRegistered ColdReason = "registered"
	ColdAnnounced  ColdReason = "announced"
)

// ColdReason returns why the endpoint may be cold, NotCold if it is not.
func (e Endpoint) ColdReason(now time.Time) ColdReason {
	switch {
	case e.Lapsed:
		return ColdLapsed
	case now.Before(e.ColdUntil):
		return ColdRegistered
	case now.Before(e.announced.until):
		return ColdAnnounced
	}
	return NotCold
}

// Cold reports whether the endpoint may be cold.
func (e Endpoint) Cold(now time.Time) bool { return e.ColdReason(now) != NotCold }

// SlotsOf returns the number of slots of an endpoint of a service. An endpoint that
// reports none has those of the service's engine.
func (e Endpoint) SlotsOf(s *rules.Service) int {
	if e.Slots == 0 && s != nil && s.Engine != nil {
		return s.Engine.Slots
	}
	return max(1, e.Slots)
}

// Table holds the registrations. Its lock is a leaf.
type Table struct {
	mu          sync.RWMutex
	endpoints   map[string]Endpoint
	services    map[string][]Endpoint
	evacuations map[string]evacuation
	// expiring holds the endpoints whose registration was removed during or soon after
	// an outage of the store, with the time at which they are dropped.
	expiring map[string]time.Time
	// releases holds when each release of a service was last registered.
	releases map[serviceRelease]time.Time
	// releasesKnown is the time from which on releases has all that were registered, zero before the
	// first listing.
	releasesKnown time.Time
	// restored is the revision of the first listing of the present era, 0 before the first
	// restore of the store. A write up to it may be one of the older copy.
	restored uint64
	// withheld holds, as they were read, the registrations that may be of the older copy and are
	// not in force as such, by id.
	withheld map[string]Endpoint
	// listed is the revision of the last listing.
	listed uint64
	// leaving holds the endpoints that announced that they leave, by id. It outlives their
	// registrations.
	leaving map[string]leavingMark
	// gone holds the ids of endpoints whose removal was acknowledged.
	gone map[string]bool
	// starts holds the last known process of each endpoint. It outlives their registrations.
	starts    map[string]process
	lastStart uint64
}

// leavingMark is an endpoint's announcement that it leaves.
type leavingMark struct {
	incarnation int64
	heardAt     time.Time
	// own reports whether it was in an answer to this host.
	own bool
}

const (
	// maxGone bounds the remembered ids of removed endpoints, and those of leaving ones.
	maxGone = 4096
	// announcedLeavingAge is how long a host passes on that an endpoint leaves.
	announcedLeavingAge = 2 * time.Second
)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{
		endpoints: map[string]Endpoint{}, services: map[string][]Endpoint{},
		evacuations: map[string]evacuation{}, expiring: map[string]time.Time{},
		releases: map[serviceRelease]time.Time{}, gone: map[string]bool{},
		leaving: map[string]leavingMark{}, starts: map[string]process{}, withheld: map[string]Endpoint{},
	}
}

// Put stores a registration, unless a newer revision is stored. It reports whether
// more changed than the revision and, within coldSlack, ColdUntil.
func (t *Table) Put(e Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.put(e)
}

// Renew stores a registration as Put does if the endpoint is registered: a read that was sent before the
// removal of the endpoint does not bring it back.
func (t *Table) Renew(e Endpoint) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.endpoints[e.ID]; !ok {
		return false
	}
	return t.put(e)
}

func (t *Table) put(e Endpoint) bool {
	old, ok := t.endpoints[e.ID]
	if ok && e.Revision < old.Revision {
		return false
	}
	read := e
	delete(t.withheld, e.ID)
	if e.Revision <= t.restored && t.gone[e.ID] {
		t.withheld[e.ID] = read
		return false
	}
	t.setStart(&e)
	if t.keepsDraining(old, e) {
		t.withheld[e.ID] = read
		e.Draining = true
	}
	if mark, ok := t.leaving[e.ID]; ok {
		if mark.incarnation == e.Incarnation {
			e.Draining = true
		} else {
			delete(t.leaving, e.ID)
		}
	}
	if ok && old.Start == e.Start {
		e.announced = old.announced
	}
	delete(t.gone, e.ID)
	delete(t.expiring, e.ID)
	t.endpoints[e.ID] = e
	if ok && Same(old, e) {
		return false
	}
	t.reindex()
	return true
}

// keepsDraining reports whether a registration that takes requests may be of the older copy of the
// store, which does not show yet that the endpoint drains. old is the one in force, its zero value
// if there is none.
func (t *Table) keepsDraining(old, e Endpoint) bool {
	return e.Revision <= t.restored && !e.Draining && old.Draining && old.Incarnation == e.Incarnation
}

// coldSlack is the largest difference between two ColdUntil values that count as the
// same: heartbeats are delayed, and each restates the remaining time.
const coldSlack = 500 * time.Millisecond

// Same reports whether two registrations of an endpoint differ in no more than the
// revision and, within coldSlack, ColdUntil.
func Same(a, b Endpoint) bool {
	if d := a.ColdUntil.Sub(b.ColdUntil); d > coldSlack || d < -coldSlack {
		return false
	}
	b.Revision, b.ColdUntil = a.Revision, a.ColdUntil
	return a == b
}

// Remove drops a registration that the store removed at a revision, and reports
// whether it did. If until is set, after a recent outage of the store, the endpoint
// stays until then, as it may only have been unable to renew.
func (t *Table) Remove(id string, revision uint64, until time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.overwriteWithheld(id, revision)
	e, ok := t.endpoints[id]
	if !ok || revision < e.Revision {
		return false
	}
	if !until.IsZero() {
		t.lapse(id, until)
		return false
	}
	t.drop(id)
	return true
}

// overwriteWithheld drops a withheld registration that was removed or overwritten at a revision.
func (t *Table) overwriteWithheld(id string, revision uint64) {
	if e, ok := t.withheld[id]; ok && revision >= e.Revision {
		delete(t.withheld, id)
	}
}

// lapse keeps an endpoint whose registration was removed until a time.
func (t *Table) lapse(id string, until time.Time) {
	if _, scheduled := t.expiring[id]; scheduled {
		return
	}
	t.expiring[id] = until
	e := t.endpoints[id]
	e.Lapsed = true
	t.endpoints[id] = e
	t.reindex()
}

func (t *Table) drop(id string) {
	if len(t.gone) >= maxGone {
		clear(t.gone)
	}
	t.gone[id] = true
	delete(t.endpoints, id)
	delete(t.expiring, id)
	t.reindex()
}

// Replace stores a full listing of the store at a revision. Endpoints that are not
// listed are removed as by Remove. It returns the changed endpoints and the ids of
// the dropped ones. After a restore of the store from an older copy, an endpoint that is
// known to be gone or to drain stays so until it is written again.
func (t *Table) Replace(list []Endpoint, revision uint64, until time.Time) (changed []Endpoint, dropped []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.listed != 0 && eras.Of(revision) > eras.Of(t.listed) {
		t.restored = revision
	}
	t.listed = revision
	clear(t.withheld)
	listed := make(map[string]bool, len(list))
	for _, e := range list {
		listed[e.ID] = true
		if t.put(e) {
			changed = append(changed, e)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(t.endpoints)) {
		e := t.endpoints[id]
		_, expiring := t.expiring[id]
		invalid := expiring && !e.Lapsed
		if listed[id] || e.Revision > revision || invalid {
			continue
		}
		if until.IsZero() {
			t.drop(id)
			dropped = append(dropped, id)
		} else {
			t.lapse(id, until)
		}
	}
	return changed, dropped
}

// Expire drops the expiring endpoints whose time is up and returns their ids.
func (t *Table) Expire(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var dropped []string
	for id, until := range t.expiring {
		if !now.Before(until) {
			dropped = append(dropped, id)
		}
	}
	if len(dropped) > 0 {
		t.recordReleases(now)
	}
	for _, id := range dropped {
		t.drop(id)
	}
	return dropped
}

// MarkInvalid records that the registration of an endpoint was overwritten, at a revision, with a value that
// can't be decoded. The earlier registration stays in force until the endpoint writes it again, or
// until a time. It reports whether the endpoint is registered and did not expire already.
func (t *Table) MarkInvalid(id string, revision uint64, until time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.overwriteWithheld(id, revision)
	e, ok := t.endpoints[id]
	if _, scheduled := t.expiring[id]; !ok || scheduled || revision < e.Revision {
		return false
	}
	t.expiring[id] = until
	e.Revision = revision
	t.endpoints[id] = e
	t.reindex()
	return true
}

// PostponeExpiry sets the time at which all expiring endpoints are dropped, while the
// store is unreachable.
func (t *Table) PostponeExpiry(until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id := range t.expiring {
		t.expiring[id] = until
	}
}

// MarkDraining marks an endpoint that itself announced that it is draining.
func (t *Table) MarkDraining(id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e, ok := t.endpoints[id]; ok && !e.Draining {
		e.Draining = true
		t.endpoints[id] = e
		t.reindex()
	}
}

// Leaving is the announcement of an endpoint that it takes no new requests and ends.
type Leaving struct {
	ID string
	// Incarnation is that of the endpoint when it announced it.
	Incarnation int64
}

// MarkLeaving marks an endpoint that announced that it leaves, to this host if own is set,
// else to a peer host. The mark holds until the endpoint's next start, whatever the store
// says of it. MarkLeaving reports whether the mark is new.
func (t *Table) MarkLeaving(now time.Time, l Leaving, own bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.endpoints[l.ID]
	if ok && e.Incarnation > l.Incarnation {
		return false
	}
	old, marked := t.leaving[l.ID]
	if !marked && len(t.leaving) >= maxGone {
		clear(t.leaving)
	}
	t.leaving[l.ID] = leavingMark{incarnation: l.Incarnation, heardAt: now, own: own || (marked && old.own && old.incarnation == l.Incarnation)}
	if ok && !e.Draining && e.Incarnation == l.Incarnation {
		e.Draining = true
		t.endpoints[l.ID] = e
		t.reindex()
	}
	return !marked || old.incarnation != l.Incarnation
}

// RecentLeaving returns the endpoints that announced to this host lately that they leave,
// to pass on to peer hosts.
func (t *Table) RecentLeaving(now time.Time) []Leaving {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []Leaving
	for _, id := range slices.Sorted(maps.Keys(t.leaving)) {
		if mark := t.leaving[id]; mark.own && now.Sub(mark.heardAt) < announcedLeavingAge {
			out = append(out, Leaving{ID: id, Incarnation: mark.incarnation})
		}
	}
	return out
}

// Cold is an endpoint's announcement that it is cold until a time.
type Cold struct {
	ID string
	// Incarnation is that of the endpoint when it announced it.
	Incarnation int64
	Until       time.Time
}

// MarkCold marks an endpoint that announced that it is cold, to this host if own is set,
// else to a peer host. It reports whether that prolongs the warm-up by more than coldSlack.
func (t *Table) MarkCold(c Cold, own bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e, ok := t.endpoints[c.ID]
	if !ok || e.Incarnation != c.Incarnation || !c.Until.After(e.announced.until) {
		return false
	}
	known := e.ColdUntil
	if e.announced.until.After(known) {
		known = e.announced.until
	}
	e.announced = announcedCold{until: c.Until, own: own}
	t.endpoints[c.ID] = e
	t.reindex()
	return c.Until.Sub(known) > coldSlack
}

// AnnouncedCold returns the endpoints that announced to this host that they are cold, to
// pass on to peer hosts.
func (t *Table) AnnouncedCold(now time.Time) []Cold {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []Cold
	for _, id := range slices.Sorted(maps.Keys(t.endpoints)) {
		if e := t.endpoints[id]; e.announced.own && now.Before(e.announced.until) {
			out = append(out, Cold{ID: id, Incarnation: e.Incarnation, Until: e.announced.until})
		}
	}
	return out
}

// reindex rebuilds the lists of endpoints by service. It makes new lists, as readers hold
// the old ones.
func (t *Table) reindex() {
	services := make(map[string][]Endpoint, len(t.services))
	for _, id := range slices.Sorted(maps.Keys(t.endpoints)) {
		e := t.endpoints[id]
		services[e.Service] = append(services[e.Service], e)
	}
	t.services = services
}

// Endpoints returns the endpoints of a service. The list is shared and must not be changed.
func (t *Table) Endpoints(service string) []Endpoint {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.services[service]
}

// Get returns the endpoint with an id and whether there is one.
func (t *Table) Get(id string) (Endpoint, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	e, ok := t.endpoints[id]
	return e, ok
}

// IDs returns the ids of the endpoints in a region.
func (t *Table) IDs(region string) []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []string
	for id, e := range t.endpoints {
		if e.Region == region {
			out = append(out, id)
		}
	}
	return out
}

// AllIDs returns the ids of all endpoints, sorted.
func (t *Table) AllIDs() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return slices.Sorted(maps.Keys(t.endpoints))
}

// Len returns the number of endpoints.
func (t *Table) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.endpoints)
}

// evacuation is the last evacuation state of a data centre. It is kept after the
// evacuation ends, so that an older revision cannot restore it.
type evacuation struct {
	on       bool
	revision uint64
	// writes holds the last writes that started one, as the store's own revisions.
	writes []uint64
}

// maxEvacuationWrites bounds the remembered writes of evacuations of a data centre.
const maxEvacuationWrites = 16

// SetEvacuated starts or ends the evacuation of a data centre at a revision of the store,
// unless a newer revision is stored. It reports whether the state changed.
func (t *Table) SetEvacuated(centre string, on bool, revision uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.evacuations[centre]
	if revision < old.revision {
		return false
	}
	own := eras.Revision(revision)
	if on && !old.on && eras.Of(revision) > eras.Of(old.revision) && slices.Contains(old.writes, own) {
		// The older copy does not know yet that this evacuation has ended.
		return false
	}
	next := evacuation{on: on, revision: revision, writes: old.writes}
	if on && !slices.Contains(old.writes, own) {
		next.writes = append(slices.Clone(old.writes[max(0, len(old.writes)+1-maxEvacuationWrites):]), own)
	}
	t.evacuations[centre] = next
	return on != old.on
}

// Evacuated reports whether a data centre is evacuated: it gets no new requests.
func (t *Table) Evacuated(centre string) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.evacuations[centre].on
}

// EvacuatedCentres returns the names of the evacuated data centres, sorted.
func (t *Table) EvacuatedCentres() []string {
	t.mu.RLock()
	defer t.mu.RUnlock()
	var out []string
	for centre, e := range t.evacuations {
		if e.on {
			out = append(out, centre)
		}
	}
	slices.Sort(out)
	return out
}
