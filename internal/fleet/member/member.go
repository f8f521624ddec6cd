// Package member keeps a host's beliefs about the other hosts. The protocol is
// SWIM (Das, Gupta, Motivala 2002) with the suspicion and local health of
// Lifeguard (Dadgar, Phillips, Currey 2017): a probe of one host a period, a few
// indirect probes, and claims that travel on the probes. A Table decides only;
// its caller sends what it returns.
package member

import (
	"cmp"
	"math"
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
	confirmed map[string]bool
}

type probe struct {
	host     string
	sent     time.Time
	indirect bool
}

type relayed struct {
	seq  uint64
	host string
	at   time.Time
}

type rumour struct {
	update wire.Update
	sent   int
}

// Self is what a host says of itself on every packet.
type Self struct {
	Mark    invent.Mark
	Open    int
	Leaving bool
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

// Tick moves the protocol on and returns what to send. It is to be called
// several times a period.
func (t *Table) Tick(now time.Time) []Out {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.checkProbes(now)
	t.expireSuspects(now)
	if now.Before(t.nextAt) {
		return out
	}
	t.nextAt = now.Add(t.stretch(period))
	t.periods++
	if p := t.pick(); p != nil {
		out = append(out, t.startProbe(now, p))
	}
	if t.periods%deadEvery == 0 {
		if p := t.pickDead(); p != nil {
			out = append(out, t.startProbe(now, p))
		}
	}
	return out
}

// stretch lengthens a time while this host's own probes fail, as it may be the
// slow one (Lifeguard's local health multiplier).
func (t *Table) stretch(d time.Duration) time.Duration {
	return d * time.Duration(1+t.health)
}

func (t *Table) pick() *peer {
	for range t.order {
		if t.next >= len(t.order) {
			t.next = 0
			t.rand.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
		}
		p := t.peers[t.order[t.next]]
		t.next++
		if p != nil && p.State != wire.Dead && p.State != wire.Left {
			return p
		}
	}
	return nil
}

func (t *Table) pickDead() *peer {
	var dead []*peer
	for _, name := range t.order {
		if p := t.peers[name]; p.State == wire.Dead || p.State == wire.Left {
			dead = append(dead, p)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	return dead[t.rand.IntN(len(dead))]
}

func (t *Table) startProbe(now time.Time, p *peer) Out {
	t.seq++
	t.probe[t.seq] = &probe{host: p.Name, sent: now}
	pk := t.packet(wire.Ping, t.seq)
	if p.State != wire.Alive && p.Life != 0 {
		pk.Updates = append(pk.Updates, p.claim())
	}
	return Out{Host: p.Name, Address: p.Address, Packet: pk}
}

func (p *peer) claim() wire.Update {
	return wire.Update{Host: p.Name, Life: p.Life, Count: p.count, State: p.State}
}

func (t *Table) checkProbes(now time.Time) []Out {
	var out []Out
	for seq, pr := range t.probe {
		age := now.Sub(pr.sent)
		if !pr.indirect && age >= t.stretch(probeTimeout) {
			pr.indirect = true
			out = append(out, t.askOthers(seq, pr.host)...)
		}
		if age >= t.stretch(period) {
			delete(t.probe, seq)
			t.failed(now, pr.host)
		}
	}
	for seq, r := range t.relays {
		if now.Sub(r.at) > 2*period {
			delete(t.relays, seq)
		}
	}
	return out
}

func (t *Table) askOthers(seq uint64, host string) []Out {
	var out []Out
	for _, p := range t.some(indirect, func(p *peer) bool { return p.Name != host && p.State == wire.Alive }) {
		pk := t.packet(wire.PingReq, seq)
		pk.Target = host
		out = append(out, Out{Host: p.Name, Address: p.Address, Packet: pk})
	}
	return out
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

func (t *Table) failed(now time.Time, host string) {
	p, ok := t.peers[host]
	if !ok || p.State == wire.Dead || p.State == wire.Left {
		return
	}
	t.health = min(t.health+1, maxHealth)
	if p.Life == 0 {
		return
	}
	if p.State == wire.Alive {
		t.apply(now, wire.Update{Host: host, Life: p.Life, Count: p.count, State: wire.Suspect}, t.name)
	}
}

// suspicion is how long a suspected host may refute: the more hosts confirm,
// the shorter, as in Lifeguard.
func (t *Table) suspicion(p *peer) time.Duration {
	lowest := suspectFactor * math.Max(1, math.Log10(float64(len(t.peers)+1))) * float64(period)
	highest := lowest * suspectMax
	k := float64(min(len(p.confirmed), confirmations))
	share := math.Log(k+1) / math.Log(confirmations+1)
	return time.Duration(math.Max(lowest, highest-(highest-lowest)*share))
}

func (t *Table) expireSuspects(now time.Time) {
	for _, p := range t.peers {
		if p.State != wire.Suspect || now.Sub(p.since) < t.suspicion(p) {
			continue
		}
		if p.Life == 0 {
			p.State = wire.Dead
			continue
		}
		t.apply(now, wire.Update{Host: p.Name, Life: p.Life, Count: p.count, State: wire.Dead}, t.name)
	}
}

// Receive takes one packet and returns the answers to it.
func (t *Table) Receive(now time.Time, pk wire.Packet) []Out {
	t.mu.Lock()
	defer t.mu.Unlock()
	from, ok := t.peers[pk.From]
	if !ok || pk.Life < from.Life {
		return nil
	}
	for _, u := range pk.Updates {
		t.apply(now, u, pk.From)
	}
	if from.Life == pk.Life {
		from.Mark = invent.Mark{Revision: pk.Revision, Sum: pk.Sum}
		from.Open, from.Heard = pk.Open, now
		from.Leaving = pk.Leaving
	}
	switch pk.Kind {
	case wire.Ping:
		return []Out{t.ack(from, pk.Seq, "")}
	case wire.PingReq:
		return t.forward(now, pk)
	case wire.Ack:
		return t.acked(pk)
	case wire.Announce:
	}
	return nil
}

// ack answers a ping; it carries this host's belief of the asker, so that a
// live host that is held dead can refute it.
func (t *Table) ack(to *peer, seq uint64, target string) Out {
	pk := t.packet(wire.Ack, seq)
	pk.Target = target
	if to.State != wire.Alive {
		pk.Updates = append(pk.Updates, to.claim())
	}
	return Out{Host: to.Name, Address: to.Address, Packet: pk}
}

func (t *Table) forward(now time.Time, pk wire.Packet) []Out {
	target, ok := t.peers[pk.Target]
	if !ok {
		return nil
	}
	t.seq++
	t.relays[t.seq] = relayed{seq: pk.Seq, host: pk.From, at: now}
	return []Out{{Host: target.Name, Address: target.Address, Packet: t.packet(wire.Ping, t.seq)}}
}

func (t *Table) acked(pk wire.Packet) []Out {
	if r, ok := t.relays[pk.Seq]; ok {
		delete(t.relays, pk.Seq)
		asker, known := t.peers[r.host]
		if !known {
			return nil
		}
		return []Out{t.ack(asker, r.seq, pk.From)}
	}
	pr, ok := t.probe[pk.Seq]
	if !ok || (pr.host != pk.From && pr.host != pk.Target) {
		return nil
	}
	delete(t.probe, pk.Seq)
	t.health = max(t.health-1, 0)
	return nil
}

func rank(s wire.State) int { return int(s) }

// newer reports whether claim u replaces what is held of p.
func newer(p *peer, u wire.Update) bool {
	if u.Life != p.Life {
		return u.Life > p.Life
	}
	if p.State == wire.Left {
		return false
	}
	if u.State == wire.Left {
		return true
	}
	if u.Count != p.count {
		return u.Count > p.count
	}
	return rank(u.State) > rank(p.State)
}

// apply takes one claim in, from whichever host made it.
func (t *Table) apply(now time.Time, u wire.Update, from string) {
	if u.Host == t.name {
		t.refute(u)
		return
	}
	p, ok := t.peers[u.Host]
	if !ok {
		return
	}
	if u.State == wire.Suspect && p.State == wire.Suspect && u.Life == p.Life && u.Count == p.count {
		t.confirm(p, from)
	}
	if !newer(p, u) {
		return
	}
	if u.Life != p.Life || u.State != p.State {
		p.since = now
	}
	if u.Life != p.Life {
		p.Leaving, p.Mark, p.Open = false, invent.Mark{}, 0
	}
	p.Life, p.count, p.State = u.Life, u.Count, u.State
	p.confirmed = nil
	if u.State == wire.Suspect {
		t.confirm(p, from)
	}
	t.spread(u)
}

func (t *Table) confirm(p *peer, from string) {
	if p.confirmed == nil {
		p.confirmed = map[string]bool{}
	}
	p.confirmed[from] = true
}

func (t *Table) refute(u wire.Update) {
	if u.Life != t.life || u.State == wire.Alive || u.Count < t.count || t.self.Leaving {
		return
	}
	t.count = u.Count + 1
	t.health = min(t.health+1, maxHealth)
	t.spread(t.own())
}

func (t *Table) own() wire.Update {
	return wire.Update{Host: t.name, Life: t.life, Count: t.count, State: wire.Alive}
}

func (t *Table) spread(u wire.Update) {
	t.rumours = slices.DeleteFunc(t.rumours, func(r *rumour) bool { return r.update.Host == u.Host })
	t.rumours = append(t.rumours, &rumour{update: u})
}

// packet returns a packet with the claims that were sent least often.
func (t *Table) packet(kind wire.Kind, seq uint64) wire.Packet {
	pk := wire.Packet{
		Kind: kind, Seq: seq, From: t.name, Life: t.life,
		Revision: t.self.Mark.Revision, Sum: t.self.Mark.Sum,
		Open: t.self.Open, Leaving: t.self.Leaving,
		Updates: []wire.Update{t.own()},
	}
	limit := int(math.Ceil(spreadFactor * math.Log2(float64(len(t.peers)+2))))
	slices.SortStableFunc(t.rumours, func(a, b *rumour) int { return cmp.Compare(a.sent, b.sent) })
	for _, r := range t.rumours[:min(maxUpdates, len(t.rumours))] {
		if r.update.Host != t.name {
			pk.Updates = append(pk.Updates, r.update)
		}
		r.sent++
	}
	t.rumours = slices.DeleteFunc(t.rumours, func(r *rumour) bool { return r.sent >= limit })
	return pk
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
