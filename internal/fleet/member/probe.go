package member

import (
	"math"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

// probe is an unanswered probe of a peer.
type probe struct {
	host   string
	sentAt time.Time
	// indirect reports whether other peers were asked to probe the host.
	indirect bool
}

// relayedProbe is an unanswered probe that this host sent on behalf of the
// requester of an indirect probe.
type relayedProbe struct {
	// requestSeq is the sequence number of the PingReq.
	requestSeq uint64
	requester  string
	sentAt     time.Time
}

// Tick advances the protocol to now and returns the packets to send. It must be
// called several times per period.
func (t *Table) Tick(now time.Time) []Outgoing {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.checkProbes(now)
	t.expireSuspects(now)
	t.removeDead(now)
	out = append(out, t.probeUnseen(now)...)
	if now.Before(t.nextProbeAt) {
		return out
	}
	t.nextProbeAt = now.Add(t.scaleByHealth(protocolPeriod))
	t.periods++
	if p := t.nextPeer(); p != nil {
		out = append(out, t.startProbe(now, p))
	}
	if t.periods%deadProbePeriods == 0 {
		if p := t.randomDeadPeer(); p != nil {
			out = append(out, t.startProbe(now, p))
		}
	}
	return out
}

// scaleByHealth lengthens a timeout while probes by this host fail, since it may
// itself be the slow host (Lifeguard's local health multiplier).
func (t *Table) scaleByHealth(d time.Duration) time.Duration {
	return d * time.Duration(1+t.healthScore)
}

// nextPeer returns the next peer to probe that is neither dead nor left, or nil.
// It visits the peers round robin and shuffles their order after each round.
func (t *Table) nextPeer() *peer {
	for range t.probeOrder {
		if t.nextIndex >= len(t.probeOrder) {
			t.nextIndex = 0
			t.rand.Shuffle(len(t.probeOrder), func(i, j int) { t.probeOrder[i], t.probeOrder[j] = t.probeOrder[j], t.probeOrder[i] })
		}
		p := t.peers[t.probeOrder[t.nextIndex]]
		t.nextIndex++
		if p != nil && p.State != wire.Dead && p.State != wire.Left {
			return p
		}
	}
	return nil
}

// randomDeadPeer returns a random peer that is dead or left, or nil.
func (t *Table) randomDeadPeer() *peer {
	var dead []*peer
	for _, name := range t.probeOrder {
		if p := t.peers[name]; p.State == wire.Dead || p.State == wire.Left {
			dead = append(dead, p)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	return dead[t.rand.IntN(len(dead))]
}

// startProbe returns a ping to a peer. To a peer that is not alive it adds that
// state, so that the peer can refute it.
func (t *Table) startProbe(now time.Time, p *peer) Outgoing {
	t.seq++
	t.probes[t.seq] = &probe{host: p.Name, sentAt: now}
	pk := t.newPacket(wire.Ping, t.seq)
	t.addDeadHosts(now, &pk)
	if p.State != wire.Alive && p.Incarnation != 0 {
		pk.Updates = append(pk.Updates, p.update())
	}
	return Outgoing{Host: p.Name, Address: p.Address, Packet: pk}
}

// checkProbes returns requests for indirect probes of hosts whose direct probe
// timed out. It fails probes that are unanswered after a period and removes old
// relayed probes.
func (t *Table) checkProbes(now time.Time) []Outgoing {
	var out []Outgoing
	for seq, pr := range t.probes {
		age := now.Sub(pr.sentAt)
		if !pr.indirect && age >= t.scaleByHealth(probeTimeout) {
			pr.indirect = true
			out = append(out, t.requestIndirectProbes(seq, pr.host)...)
		}
		if age >= t.scaleByHealth(protocolPeriod) {
			delete(t.probes, seq)
			t.probeFailed(now, pr.host)
		}
	}
	for seq, r := range t.relayedProbes {
		if now.Sub(r.sentAt) > 2*protocolPeriod {
			delete(t.relayedProbes, seq)
		}
	}
	return out
}

// requestIndirectProbes returns requests to a few random peers to probe a host.
func (t *Table) requestIndirectProbes(seq uint64, host string) []Outgoing {
	var out []Outgoing
	for _, p := range t.randomPeers(indirectProbes, func(p *peer) bool { return p.Name != host && p.State == wire.Alive }) {
		pk := t.newPacket(wire.PingReq, seq)
		pk.Target = host
		out = append(out, Outgoing{Host: p.Name, Address: p.Address, Packet: pk})
	}
	return out
}

// probeFailed raises the local health score and suspects the host if it was alive.
func (t *Table) probeFailed(now time.Time, host string) {
	p, ok := t.peers[host]
	if !ok || p.State == wire.Dead || p.State == wire.Left {
		return
	}
	t.healthScore = min(t.healthScore+1, maxHealthScore)
	if p.Incarnation == 0 {
		return
	}
	if p.State == wire.Alive {
		t.apply(now, wire.Update{Host: host, Life: p.Incarnation, Count: p.refutations, State: wire.Suspect}, t.name)
	}
}

// suspicionTimeout returns how long a suspect host has to refute the suspicion
// before it is declared dead. It shrinks with the number of hosts that confirm
// the suspicion, as in Lifeguard.
func (t *Table) suspicionTimeout(p *peer) time.Duration {
	shortest := suspicionFactor * math.Max(1, math.Log10(float64(len(t.peers)+1))) * float64(protocolPeriod)
	longest := shortest * suspicionMaxFactor
	k := float64(min(len(p.confirmedBy), maxConfirmations))
	share := math.Log(k+1) / math.Log(maxConfirmations+1)
	return time.Duration(math.Max(shortest, longest-(longest-shortest)*share))
}

// expireSuspects declares hosts dead whose suspicion timeout has passed.
func (t *Table) expireSuspects(now time.Time) {
	for _, p := range t.peers {
		if p.State != wire.Suspect || now.Sub(p.stateSince) < t.suspicionTimeout(p) {
			continue
		}
		if p.Incarnation == 0 {
			t.changes++
			p.State = wire.Dead
			continue
		}
		t.apply(now, wire.Update{Host: p.Name, Life: p.Incarnation, Count: p.refutations, State: wire.Dead}, t.name)
	}
}

// Receive processes a packet and returns the packets to send in answer.
func (t *Table) Receive(now time.Time, pk wire.Packet) []Outgoing {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i, p := range pk.Hosts {
		t.discover(now, p, coresOf(pk, i))
	}
	for _, d := range pk.DeadHosts {
		t.discoverDead(now, d)
	}
	sender, ok := t.peers[pk.From]
	if !ok || pk.Incarnation < sender.Incarnation {
		return nil
	}
	for _, u := range pk.Updates {
		t.apply(now, u, pk.From)
	}
	if sender.Incarnation == pk.Incarnation {
		sender.Version = invent.Version{Revision: pk.Revision, DigestPrefix: pk.DigestPrefix}
		sender.InFlight, sender.LastSeen = pk.InFlight, now
		if sender.Leaving != pk.Leaving {
			t.changes++
		}
		sender.Leaving = pk.Leaving
	}
	switch pk.Kind {
	case wire.Ping:
		return []Outgoing{t.ack(now, sender, pk.Seq, "")}
	case wire.PingReq:
		return t.forwardProbe(now, pk)
	case wire.Ack:
		return t.receiveAck(now, pk)
	case wire.Announce:
	}
	return nil
}

// ack returns the answer to a ping. It carries the last known state of the
// requester unless that is alive, so that a live host that is declared dead can
// refute it.
func (t *Table) ack(now time.Time, to *peer, seq uint64, target string) Outgoing {
	pk := t.newPacket(wire.Ack, seq)
	pk.Target = target
	t.addDeadHosts(now, &pk)
	if to.State != wire.Alive {
		pk.Updates = append(pk.Updates, to.update())
	}
	return Outgoing{Host: to.Name, Address: to.Address, Packet: pk}
}

// forwardProbe returns the ping that a PingReq asks for.
func (t *Table) forwardProbe(now time.Time, pk wire.Packet) []Outgoing {
	target, ok := t.peers[pk.Target]
	if !ok {
		return nil
	}
	t.seq++
	t.relayedProbes[t.seq] = relayedProbe{requestSeq: pk.Seq, requester: pk.From, sentAt: now}
	return []Outgoing{{Host: target.Name, Address: target.Address, Packet: t.newPacket(wire.Ping, t.seq)}}
}

// receiveAck returns the answer to the requester for a relayed probe. For this
// host's own probe it ends the probe and lowers the local health score.
func (t *Table) receiveAck(now time.Time, pk wire.Packet) []Outgoing {
	if r, ok := t.relayedProbes[pk.Seq]; ok {
		delete(t.relayedProbes, pk.Seq)
		requester, known := t.peers[r.requester]
		if !known {
			return nil
		}
		return []Outgoing{t.ack(now, requester, r.requestSeq, pk.From)}
	}
	pr, ok := t.probes[pk.Seq]
	if !ok || (pr.host != pk.From && pr.host != pk.Target) {
		return nil
	}
	delete(t.probes, pk.Seq)
	t.healthScore = max(t.healthScore-1, 0)
	return nil
}
