package member

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

// broadcast is a membership update to gossip, with the number of packets that
// carried it so far.
type broadcast struct {
	update    wire.Update
	transmits int
}

// update returns the last known state of the peer as a membership update.
func (p *peer) update() wire.Update {
	return wire.Update{Host: p.Name, Life: p.Incarnation, Count: p.refutations, State: p.State}
}

// precedence returns the rank of a state within one incarnation; the higher one
// overrides.
func precedence(s wire.State) int { return int(s) }

// supersedes reports whether update u overrides the last known state of p.
func supersedes(p *peer, u wire.Update) bool {
	if u.Life != p.Incarnation {
		return u.Life > p.Incarnation
	}
	if p.State == wire.Left {
		return false
	}
	if u.State == wire.Left {
		return true
	}
	if u.Count != p.refutations {
		return u.Count > p.refutations
	}
	return precedence(u.State) > precedence(p.State)
}

// apply applies a membership update from a source host, which may be the local
// host, and queues it for gossip if it changes the member.
func (t *Table) apply(now time.Time, u wire.Update, source string) {
	if u.Host == t.name {
		t.refute(u)
		return
	}
	p, ok := t.peers[u.Host]
	if !ok {
		return
	}
	if u.State == wire.Suspect && p.State == wire.Suspect && u.Life == p.Incarnation && u.Count == p.refutations {
		t.confirm(p, source)
	}
	if !supersedes(p, u) {
		return
	}
	if u.Life != p.Incarnation || u.State != p.State {
		p.stateSince = now
		t.changes++
	}
	if u.Life != p.Incarnation {
		p.Leaving, p.Version, p.InFlight = false, invent.Version{}, 0
	}
	p.Incarnation, p.refutations, p.State = u.Life, u.Count, u.State
	p.confirmedBy = nil
	if u.State == wire.Suspect {
		t.confirm(p, source)
	}
	t.enqueueBroadcast(u)
}

// confirm records that the source host suspects p.
func (t *Table) confirm(p *peer, source string) {
	if p.confirmedBy == nil {
		p.confirmedBy = map[string]bool{}
	}
	p.confirmedBy[source] = true
}

// refute gossips that the local host is alive if an update about its current
// incarnation reports another state. A leaving host does not refute.
func (t *Table) refute(u wire.Update) {
	if u.Life != t.incarnation || u.State == wire.Alive || u.Count < t.refutations || t.self.Leaving {
		return
	}
	t.refutations = u.Count + 1
	t.healthScore = min(t.healthScore+1, maxHealthScore)
	t.enqueueBroadcast(t.selfUpdate())
}

// selfUpdate returns the membership update about the local host.
func (t *Table) selfUpdate() wire.Update {
	u := wire.Update{Host: t.name, Life: t.incarnation, Count: t.refutations, State: wire.Alive}
	if t.self.Exiting {
		u.State = wire.Left
	}
	return u
}

// enqueueBroadcast queues an update for gossip in place of an earlier one about
// the same host.
func (t *Table) enqueueBroadcast(u wire.Update) {
	t.broadcasts = slices.DeleteFunc(t.broadcasts, func(bc *broadcast) bool { return bc.update.Host == u.Host })
	t.broadcasts = append(t.broadcasts, &broadcast{update: u})
}

// newPacket returns a packet with the local host's state and the updates that
// were sent least often.
func (t *Table) newPacket(kind wire.Kind, seq uint64) wire.Packet {
	pk := wire.Packet{
		Kind: kind, Seq: seq, From: t.name, Incarnation: t.incarnation,
		Revision: t.self.Version.Revision, DigestPrefix: t.self.Version.DigestPrefix,
		InFlight: t.self.InFlight, Leaving: t.self.Leaving,
		Updates: []wire.Update{t.selfUpdate()},
	}
	pk.Hosts, pk.Millicores = t.hostInfos()
	limit := int(math.Ceil(retransmitFactor * math.Log2(float64(len(t.peers)+2))))
	slices.SortStableFunc(t.broadcasts, func(a, b *broadcast) int { return cmp.Compare(a.transmits, b.transmits) })
	for _, bc := range t.broadcasts[:min(maxPacketUpdates, len(t.broadcasts))] {
		if bc.update.Host != t.name {
			pk.Updates = append(pk.Updates, bc.update)
		}
		bc.transmits++
	}
	t.broadcasts = slices.DeleteFunc(t.broadcasts, func(bc *broadcast) bool { return bc.transmits >= limit })
	return pk
}
