// Package board is the blackboard that a host's controllers read and write; they
// do not call one another. Each table locks itself. Where two are locked
// together the order is: revisions, endpoints, then the leaves members, zones,
// pulse, queues, registry, speeds, mixes.
package board

import (
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/endpt"
	"github.com/hyssopspindle/hyssopspindle/internal/board/learn"
	"github.com/hyssopspindle/hyssopspindle/internal/board/mixes"
	"github.com/hyssopspindle/hyssopspindle/internal/board/pulse"
	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/board/revis"
	"github.com/hyssopspindle/hyssopspindle/internal/board/routes"
	"github.com/hyssopspindle/hyssopspindle/internal/board/zones"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/route/limit"
	"github.com/hyssopspindle/hyssopspindle/internal/route/queue"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
)

// Board holds a host's tables.
type Board struct {
	// Name, Region and Centre are this host's.
	Name   string
	Region string
	Centre string

	Revisions *revis.Table
	Members   *member.Table
	Endpoints *endpt.Table
	Zones     *zones.Table
	Pulse     *pulse.Table
	Limits    *limit.Table
	Retries   *retry.Budget
	// Routes, Registry, Speeds and Mixes are used where routes are published and
	// endpoints register themselves.
	Routes   *routes.Table
	Registry *regis.Table
	Speeds   *learn.Table
	Mixes    *mixes.Table

	mu      sync.Mutex
	lines   map[lineKey]*queue.Line
	leaving map[string]time.Time
}

// lineKey names a queue by its service and rules.
type lineKey struct {
	service string
	limit   int
	order   invent.Queue
}

// New returns the board of a host whose process began at now.
func New(now time.Time, name, region, centre string, openCaller int) *Board {
	life := uint64(now.UnixMilli())
	return &Board{
		Name: name, Region: region, Centre: centre,
		Revisions: revis.NewTable(),
		Members:   member.New(name, life, uint64(now.UnixNano())),
		Endpoints: endpt.NewTable(),
		Zones:     zones.NewTable(),
		Pulse:     pulse.NewTable(now),
		Limits:    limit.NewTable(openCaller),
		Retries:   retry.NewBudget(),
		Routes:    routes.NewTable(),
		Registry:  regis.NewTable(),
		Speeds:    learn.NewTable(),
		Mixes:     mixes.NewTable(),
		lines:     map[lineKey]*queue.Line{},
		leaving:   map[string]time.Time{},
	}
}

// Line returns the queue of a service.
func (b *Board) Line(s *invent.Service) *queue.Line {
	b.mu.Lock()
	defer b.mu.Unlock()
	// A change of the rules makes a new queue; those in the old one are woken
	// from there.
	key := lineKey{service: s.Name, limit: s.QueueLimit, order: s.Queue}
	l, ok := b.lines[key]
	if !ok {
		l = queue.NewLine(s.QueueLimit, s.Queue == invent.Fair)
		b.lines[key] = l
	}
	return l
}

// Lines returns the queues that hold a request.
func (b *Board) Lines() []*queue.Line {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*queue.Line
	for _, l := range b.lines {
		if l.Len() > 0 {
			out = append(out, l)
		}
	}
	return out
}

// markLife is how long a mark of the host list holds after a watcher last
// renewed it.
const markLife = time.Minute

// Mark notes that the host list marked an endpoint as leaving at a time.
func (b *Board) Mark(name string, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at.After(b.leaving[name]) {
		b.leaving[name] = at
	}
}

// Unmark removes the marks of endpoints that the host list shows as live.
func (b *Board) Unmark(names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range names {
		delete(b.leaving, n)
	}
}

// RenewMarks keeps the marks while the host list cannot be read.
func (b *Board) RenewMarks(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n := range b.leaving {
		b.leaving[n] = now
	}
}

// Marked returns the age of the host list's mark of an endpoint.
func (b *Board) Marked(name string, now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.leaving[name]
	if !ok || now.Sub(at) > markLife {
		return 0, false
	}
	return now.Sub(at), true
}

// Leaving reports whether the host list marks an endpoint as leaving.
func (b *Board) Leaving(name string, now time.Time) bool {
	_, ok := b.Marked(name, now)
	return ok
}

// Apply brings the tables in line with an inventory that comes into force.
func (b *Board) Apply(now time.Time, v *invent.Inventory) {
	var hosts []member.Candidate
	for _, h := range v.Hosts() {
		hosts = append(hosts, member.Candidate{Name: h.Name, Address: h.Peers, Region: v.RegionOf(h.Centre)})
	}
	b.Members.SetCandidates(now, hosts)
	var names []string
	for _, e := range v.Endpoints() {
		if v.RegionOf(e.Centre) == b.Region {
			names = append(names, e.Name)
		}
	}
	b.Endpoints.Sync(now, names)
}
