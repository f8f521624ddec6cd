// Package board holds the state that a host's controllers share: they read and
// write its tables and do not call one another. Each table has its own lock. Lock
// order when two are held: revisions, endpoints, then the leaf locks (members,
// remotes, health, queues, registry, speeds, mixes, origins, poison,
// frail, paths, cut hosts, unproven hosts, acks, proof, questions). The lock of acks may be taken
// while that of members is held. Outside the board, the lock of the store's feed is taken before that
// of a node's rules, and both before those of tables.
package board

import (
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/acks"
	"github.com/hyssopspindle/hyssopspindle/internal/board/duties"
	"github.com/hyssopspindle/hyssopspindle/internal/board/endpt"
	"github.com/hyssopspindle/hyssopspindle/internal/board/frail"
	"github.com/hyssopspindle/hyssopspindle/internal/board/health"
	"github.com/hyssopspindle/hyssopspindle/internal/board/mixes"
	"github.com/hyssopspindle/hyssopspindle/internal/board/origin"
	"github.com/hyssopspindle/hyssopspindle/internal/board/paths"
	"github.com/hyssopspindle/hyssopspindle/internal/board/poison"
	"github.com/hyssopspindle/hyssopspindle/internal/board/proof"
	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/board/remote"
	"github.com/hyssopspindle/hyssopspindle/internal/board/revis"
	"github.com/hyssopspindle/hyssopspindle/internal/board/routes"
	"github.com/hyssopspindle/hyssopspindle/internal/board/speeds"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/route/limit"
	"github.com/hyssopspindle/hyssopspindle/internal/route/queue"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
)

// Board holds the shared tables of a host.
type Board struct {
	// Name, Region and Centre identify this host.
	Name   string
	Region string
	Centre string

	Revisions *revis.Table
	Members   *member.Table
	Endpoints *endpt.Table
	Remotes   *remote.Table
	Health    *health.Table
	Limits    *limit.Table
	Retries   *retry.Budget
	// Routes, Registry, Speeds, Mixes, Duties, Origins, Poison, Frail, Paths and CutHosts are used
	// only by hosts that take routes and endpoint registrations from the platform's store.
	Routes   *routes.Table
	Registry *regis.Table
	Speeds   *speeds.Table
	Mixes    *mixes.Table
	Duties   *duties.Table
	Origins  *origin.Table
	Poison   *poison.Table
	Frail    *frail.Table
	// Paths are those of this host, CutHosts are hosts without any.
	Paths    *paths.Table
	CutHosts *paths.Hosts
	// Acks is used only by hosts that relay requests of published routes.
	Acks *acks.Table
	// Proof is used only by hosts that accept customers' keys; New leaves it empty.
	Proof *proof.Table
	// Unproven holds the hosts whose confirmation is missing or about to end.
	Unproven *paths.Hosts
	// Questions are those for confirmations of other hosts.
	Questions *proof.Questions

	mu     sync.Mutex
	queues map[queueKey]*queue.Queue
	// leavingMarks holds when the leaving mark of an endpoint was last set or renewed.
	leavingMarks map[string]time.Time
}

// queueKey identifies a queue by its service and queueing rules.
type queueKey struct {
	service string
	limit   int
	order   invent.Queue
}

// New returns the board of a host whose process started at now.
func New(now time.Time, name, region, centre string, openCaller int) *Board {
	incarnation := uint64(now.UnixMilli())
	return &Board{
		Name: name, Region: region, Centre: centre,
		Revisions:    revis.NewTable(),
		Members:      member.New(name, incarnation, uint64(now.UnixNano())),
		Endpoints:    endpt.NewTable(),
		Remotes:      remote.NewTable(),
		Health:       health.NewTable(now),
		Limits:       limit.NewTable(openCaller),
		Retries:      retry.NewBudget(),
		Routes:       routes.NewTable(),
		Registry:     regis.NewTable(),
		Speeds:       speeds.NewTable(),
		Mixes:        mixes.NewTable(),
		Duties:       duties.NewTable(),
		Origins:      origin.NewTable(),
		Poison:       poison.NewTable(),
		Frail:        frail.NewTable(),
		Paths:        paths.NewTable(),
		CutHosts:     paths.NewHosts(name, incarnation),
		Acks:         acks.NewTable(),
		Unproven:     paths.NewHosts(name, incarnation),
		Questions:    proof.NewQuestions(),
		queues:       map[queueKey]*queue.Queue{},
		leavingMarks: map[string]time.Time{},
	}
}

// Queue returns the queue of a service.
func (b *Board) Queue(s *invent.Service) *queue.Queue {
	b.mu.Lock()
	defer b.mu.Unlock()
	// Changed queueing rules start a new queue; requests in the old queue are
	// still woken from it.
	key := queueKey{service: s.Name, limit: s.QueueLimit, order: s.Queue}
	q, ok := b.queues[key]
	if !ok {
		q = queue.New(s.QueueLimit, s.Queue == invent.Fair)
		b.queues[key] = q
	}
	return q
}

// NonEmptyQueues returns the queues that are not empty.
func (b *Board) NonEmptyQueues() []*queue.Queue {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []*queue.Queue
	for _, q := range b.queues {
		if q.Len() > 0 {
			out = append(out, q)
		}
	}
	return out
}

// leavingMarkTTL is how long a leaving mark from the host list is valid after a
// watcher last renewed it.
const leavingMarkTTL = time.Minute

// MarkLeaving records that the host list showed an endpoint as leaving at the time at.
func (b *Board) MarkLeaving(name string, at time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if at.After(b.leavingMarks[name]) {
		b.leavingMarks[name] = at
	}
}

// UnmarkLeaving removes the leaving marks of endpoints that the host list shows as live.
func (b *Board) UnmarkLeaving(names []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, n := range names {
		delete(b.leavingMarks, n)
	}
}

// RenewLeavingMarks extends all leaving marks while the host list cannot be read.
func (b *Board) RenewLeavingMarks(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for n := range b.leavingMarks {
		b.leavingMarks[n] = now
	}
}

// LeavingAge returns the age of an endpoint's leaving mark, false if it has none.
func (b *Board) LeavingAge(name string, now time.Time) (time.Duration, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.leavingMarks[name]
	if !ok || now.Sub(at) > leavingMarkTTL {
		return 0, false
	}
	return now.Sub(at), true
}

// Leaving reports whether the host list marks an endpoint as leaving.
func (b *Board) Leaving(name string, now time.Time) bool {
	_, ok := b.LeavingAge(name, now)
	return ok
}

// ApplyInventory updates the members and endpoints tables from a new inventory.
func (b *Board) ApplyInventory(now time.Time, v *invent.Inventory) {
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
