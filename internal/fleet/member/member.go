// Package member keeps a host's beliefs about the other hosts. The protocol is
// SWIM (Das, Gupta, Motivala 2002) with the suspicion and local health of
// Lifeguard (Dadgar, Phillips, Currey 2017): a probe of one host a period, a few
// indirect probes, and claims that travel on the probes. A Table decides only;
// its caller sends what it returns.
package member

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

const (
	period       = time.Second
	probeTimeout = 350 * time.Millisecond
	indirect     = 3
	maxHealth    = 8
	maxUpdates   = 12
	// deadEvery is the number of periods between probes of a host held dead.
	deadEvery = 3
	// spreadFactor times the logarithm of the fleet is how often a claim is sent.
	spreadFactor  = 3
	suspectFactor = 4
	suspectMax    = 3
	confirmations = 3
	announceTo    = 4
)

// Candidate is a host that may be a member.
type Candidate struct {
	Name    string
	Address string
	Region  string
	// Centre and Callers are the data centre and the address for callers, known
	// only in a fleet that is found from seeds.
	Centre  string
	Callers string
}

// Member is what a host believes of another one.
type Member struct {
	Candidate
	Life    uint64
	State   wire.State
	Mark    invent.Mark
	Open    int
	Leaving bool
	// Heard is when the host last answered directly.
	Heard time.Time
	// Absent says that the host list does not have the host.
	Absent bool
}

// Usable reports whether the member may be given work.
func (m Member) Usable() bool {
	return m.Life != 0 && !m.Leaving && (m.State == wire.Alive || m.State == wire.Suspect)
}

// Out is a packet to send.
type Out struct {
	Host    string
	Address string
	Packet  wire.Packet
}

type peer struct {
	Member
	count     uint32
	since     time.Time
	greeted   time.Time
	confirmed map[string]bool
}

// Self is what a host says of itself on every packet.
type Self struct {
	Mark    invent.Mark
	Open    int
	Leaving bool
	// Gone says that the process ends now.
	Gone bool
}

// Table holds the beliefs. Its lock is a leaf: nothing else is locked under it.
type Table struct {
	mu      sync.Mutex
	name    string
	life    uint64
	count   uint32
	self    Self
	rand    *rand.Rand
	peers   map[string]*peer
	order   []string
	next    int
	periods int
	nextAt  time.Time
	seq     uint64
	probe   map[uint64]*probe
	relays  map[uint64]relayed
	rumours []*rumour
	health  int
	// place is this host's own in a fleet that is found from seeds, else nil.
	place *wire.Place
}

// New returns the table of a host whose process began at life, in milliseconds
// since 1970.
func New(name string, life uint64, seed uint64) *Table {
	return &Table{
		name: name, life: life, rand: rand.New(rand.NewPCG(seed, life)),
		peers: map[string]*peer{}, probe: map[uint64]*probe{}, relays: map[uint64]relayed{},
	}
}

// Life returns the start of this host's process.
func (t *Table) Life() uint64 { return t.life }

// SetSelf changes what the host says of itself.
func (t *Table) SetSelf(s Self) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self = s
}

// SetCandidates replaces the hosts that may be members.
func (t *Table) SetCandidates(now time.Time, list []Candidate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := make(map[string]bool, len(list))
	for _, c := range list {
		if c.Name == t.name {
			continue
		}
		known[c.Name] = true
		if p, ok := t.peers[c.Name]; ok {
			p.Candidate = c
			continue
		}
		t.peers[c.Name] = &peer{Member: Member{Candidate: c, State: wire.Suspect}, since: now}
		at := t.rand.IntN(len(t.order) + 1)
		t.order = slices.Insert(t.order, at, c.Name)
	}
	for name := range t.peers {
		if !known[name] {
			delete(t.peers, name)
		}
	}
	t.order = slices.DeleteFunc(t.order, func(n string) bool { return !known[n] })
}

// SetAbsent marks the members that the lagging host list does not have: they
// are only suspected. Leaving ones get no new work.
func (t *Table) SetAbsent(listed map[string]bool, leaving map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, p := range t.peers {
		p.Absent = !listed[name]
		if leaving[name] {
			p.Leaving = true
		}
	}
}

// Members returns the beliefs, by name.
func (t *Table) Members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]Member, 0, len(t.peers))
	for _, p := range t.peers {
		out = append(out, p.Member)
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Member returns the belief about one host.
func (t *Table) Member(name string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[name]
	if !ok {
		return Member{}, false
	}
	return p.Member, true
}

// Usable counts the usable members of a region, this host not counted.
func (t *Table) Usable(region string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, p := range t.peers {
		if p.Region == region && p.Usable() {
			n++
		}
	}
	return n
}

// some returns up to n random peers that match.
func (t *Table) some(n int, match func(*peer) bool) []*peer {
	var list []*peer
	for _, name := range t.order {
		if p := t.peers[name]; p != nil && match(p) {
			list = append(list, p)
		}
	}
	t.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// Announce returns packets that tell a few random hosts at once of a change:
// a new revision, or that this host is leaving.
func (t *Table) Announce(everyone bool) []Out {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := announceTo
	if everyone {
		n = len(t.peers)
	}
	var out []Out
	for _, p := range t.some(n, func(p *peer) bool { return p.State == wire.Alive || p.State == wire.Suspect }) {
		out = append(out, Out{Host: p.Name, Address: p.Address, Packet: t.packet(wire.Announce, 0)})
	}
	return out
}

// Random returns up to n usable members that match.
func (t *Table) Random(n int, match func(Member) bool) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.some(n, func(p *peer) bool { return p.Usable() && match(p.Member) })
	out := make([]Member, len(list))
	for i, p := range list {
		out[i] = p.Member
	}
	return out
}

// Sound reports whether the member is usable and not suspected.
func (m Member) Sound() bool { return m.Usable() && m.State == wire.Alive }
