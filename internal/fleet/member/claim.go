package member

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

type rumour struct {
	update wire.Update
	sent   int
}

func (p *peer) claim() wire.Update {
	return wire.Update{Host: p.Name, Life: p.Life, Count: p.count, State: p.State}
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
	u := wire.Update{Host: t.name, Life: t.life, Count: t.count, State: wire.Alive}
	if t.self.Gone {
		u.State = wire.Left
	}
	return u
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
		Updates: []wire.Update{t.own()}, Places: t.places(),
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
