// Package member maintains a host's membership list of the fleet. The protocol is
// SWIM (Das, Gupta, Motivala 2002) with the suspicion timeouts and the local
// health multiplier of Lifeguard (Dadgar, Phillips, Currey 2017): each period a
// host probes one peer, directly and then through a few others, and membership
// updates are piggybacked on the packets. A Table does no I/O: its methods return
// the packets that the caller has to send.
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
	protocolPeriod = time.Second
	// probeTimeout is the time after which an unanswered direct probe is followed
	// by indirect probes.
	probeTimeout = 350 * time.Millisecond
	// indirectProbes is the number of peers that are asked for an indirect probe.
	indirectProbes = 3
	// maxHealthScore bounds the local health score, which lengthens timeouts.
	maxHealthScore   = 8
	maxPacketUpdates = 12
	// deadProbePeriods is the number of periods between probes of dead hosts.
	deadProbePeriods = 3
	// retransmitFactor times log2 of the fleet size is the number of packets that
	// carry an update.
	retransmitFactor = 3
	// suspicionFactor times log10 of the fleet size, at least 1, is the shortest
	// suspicion timeout in periods. The longest is suspicionMaxFactor times that.
	suspicionFactor    = 4
	suspicionMaxFactor = 3
	// maxConfirmations is the number of suspecting hosts from which the shortest
	// suspicion timeout applies.
	maxConfirmations = 3
	// announceFanout is the number of peers that an announcement is sent to.
	announceFanout = 4
)

// Candidate is a host that may be a member, with its addresses and location.
type Candidate struct {
	Name    string
	Address string
	Region  string
	// Centre and Callers are the data centre and the address for callers. They are
	// known only in a fleet that discovers its hosts from seeds.
	Centre  string
	Callers string
	// Cores is the host's processor capacity, 0 if unknown.
	Cores float64
}

// Member is the last known state of a peer host.
type Member struct {
	Candidate
	// Incarnation is the host's incarnation: the start time of its process, in
	// milliseconds since 1970, 0 as long as no update about the host has arrived.
	Incarnation uint64
	State       wire.State
	// Version identifies the active configuration of the host.
	Version invent.Version
	// InFlight is the number of in-flight requests at the host.
	InFlight int
	Leaving  bool
	// LastSeen is the time of the last packet from the host itself.
	LastSeen time.Time
	// Unlisted reports whether the host is missing from the platform's host list.
	Unlisted bool
}

// Usable reports whether requests may be sent to the member.
func (m Member) Usable() bool {
	return m.Incarnation != 0 && !m.Leaving && (m.State == wire.Alive || m.State == wire.Suspect)
}

// Draining reports whether the member announced that it leaves and still runs.
func (m Member) Draining() bool {
	return m.Incarnation != 0 && m.Leaving && (m.State == wire.Alive || m.State == wire.Suspect)
}

// Outgoing is an outgoing packet with its destination.
type Outgoing struct {
	Host    string
	Address string
	Packet  wire.Packet
}

// peer is a Member with the state of the protocol.
type peer struct {
	Member
	// refutations is the Count of the last update, which the host raises to refute
	// a suspicion.
	refutations uint32
	// stateSince is the time of the last change of state or incarnation.
	stateSince         time.Time
	lastDiscoveryProbe time.Time
	// confirmedBy is the set of hosts that suspect this one.
	confirmedBy map[string]bool
}

// Self is the state of the local host that it reports on every packet.
type Self struct {
	// Version identifies the active configuration.
	Version invent.Version
	// InFlight is the number of in-flight requests.
	InFlight int
	Leaving  bool
	// Exiting reports whether the process is about to exit.
	Exiting bool
}

// Table is the membership list of the local host. No other lock is acquired
// while its lock is held.
type Table struct {
	mu            sync.Mutex
	name          string
	incarnation   uint64
	refutations   uint32
	self          Self
	rand          *rand.Rand
	peers         map[string]*peer
	probeOrder    []string
	nextIndex     int
	periods       int
	nextProbeAt   time.Time
	seq           uint64
	probes        map[uint64]*probe
	relayedProbes map[uint64]relayedProbe
	broadcasts    []*broadcast
	healthScore   int
	// selfInfo is the local host's addresses and location in a fleet that discovers
	// its hosts from seeds, else nil.
	selfInfo *wire.HostInfo
	// changes counts the changes of a member's state, incarnation, Leaving, addresses,
	// location or cores.
	changes uint64
	// selfCores is the local host's processor capacity.
	selfCores float64
}

// New returns the membership list of a host. The incarnation is the start time of
// its process, in milliseconds since 1970.
func New(name string, incarnation uint64, seed uint64) *Table {
	return &Table{
		name: name, incarnation: incarnation, rand: rand.New(rand.NewPCG(seed, incarnation)),
		peers: map[string]*peer{}, probes: map[uint64]*probe{}, relayedProbes: map[uint64]relayedProbe{},
	}
}

// Incarnation returns the local host's incarnation, in milliseconds since 1970.
func (t *Table) Incarnation() uint64 { return t.incarnation }

// SetSelf sets the local host's state that its packets report.
func (t *Table) SetSelf(s Self) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self = s
}

// SetCandidates replaces the hosts that may be members. A new one starts as
// suspect.
func (t *Table) SetCandidates(now time.Time, list []Candidate) {
	t.mu.Lock()
	defer t.mu.Unlock()
	candidates := make(map[string]bool, len(list))
	for _, c := range list {
		if c.Name == t.name {
			continue
		}
		candidates[c.Name] = true
		if p, ok := t.peers[c.Name]; ok {
			p.Candidate = c
			continue
		}
		t.peers[c.Name] = &peer{Member: Member{Candidate: c, State: wire.Suspect}, stateSince: now}
		index := t.rand.IntN(len(t.probeOrder) + 1)
		t.probeOrder = slices.Insert(t.probeOrder, index, c.Name)
	}
	for name := range t.peers {
		if !candidates[name] {
			delete(t.peers, name)
		}
	}
	t.probeOrder = slices.DeleteFunc(t.probeOrder, func(n string) bool { return !candidates[n] })
}

// ApplyHostList records which members are missing from the platform's host list. As
// the list lags, this is only a hint and changes no member's state. Members that
// the list marks as leaving get no new requests.
func (t *Table) ApplyHostList(listed map[string]bool, leaving map[string]bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name, p := range t.peers {
		p.Unlisted = !listed[name]
		if leaving[name] {
			p.Leaving = true
		}
	}
}

// Members returns all members, sorted by name.
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

// Changes returns the number of changes of the members so far, to tell whether what was
// derived from them is up to date. Load and versions do not count.
func (t *Table) Changes() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changes
}

// Member returns the member with a name and whether there is one.
func (t *Table) Member(name string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p, ok := t.peers[name]
	if !ok {
		return Member{}, false
	}
	return p.Member, true
}

// CountUsable returns the number of usable members in a region, not counting the local
// host.
func (t *Table) CountUsable(region string) int {
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

// randomPeers returns up to n random peers that match.
func (t *Table) randomPeers(n int, match func(*peer) bool) []*peer {
	var list []*peer
	for _, name := range t.probeOrder {
		if p := t.peers[name]; p != nil && match(p) {
			list = append(list, p)
		}
	}
	t.rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// Announce returns packets that tell a few random peers, or all, at once of a change
// of the local host, such as a new revision or that it is leaving.
func (t *Table) Announce(all bool) []Outgoing {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := announceFanout
	if all {
		n = len(t.peers)
	}
	var out []Outgoing
	for _, p := range t.randomPeers(n, func(p *peer) bool { return p.State == wire.Alive || p.State == wire.Suspect }) {
		out = append(out, Outgoing{Host: p.Name, Address: p.Address, Packet: t.newPacket(wire.Announce, 0)})
	}
	return out
}

// RandomUsable returns up to n random usable members that match.
func (t *Table) RandomUsable(n int, match func(Member) bool) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	list := t.randomPeers(n, func(p *peer) bool { return p.Usable() && match(p.Member) })
	out := make([]Member, len(list))
	for i, p := range list {
		out[i] = p.Member
	}
	return out
}

// Healthy reports whether the member is usable and not suspect.
func (m Member) Healthy() bool { return m.Usable() && m.State == wire.Alive }
