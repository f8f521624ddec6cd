package member

import (
	"math"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

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

// Tick moves the protocol on and returns what to send. It is to be called
// several times a period.
func (t *Table) Tick(now time.Time) []Out {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := t.checkProbes(now)
	t.expireSuspects(now)
	t.expireDead(now)
	out = append(out, t.greet(now)...)
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
	for _, p := range pk.Places {
		t.learn(now, p)
	}
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
