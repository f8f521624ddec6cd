package node

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/ctrl"
	"github.com/hyssopspindle/hyssopspindle/internal/board/endpt"
	"github.com/hyssopspindle/hyssopspindle/internal/board/zones"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

// takenName is the controller that others may ask to run.
const takenName = "taken"

const (
	memberPeriod = 100 * time.Millisecond
	takenPeriod  = 250 * time.Millisecond
	sumPeriod    = 500 * time.Millisecond
	sweepPeriod  = time.Second
	expirePeriod = 200 * time.Millisecond
	linkPeriod   = time.Second
	warmTime     = 900 * time.Millisecond

	// takenTo is the most hosts of the region, and sumTo of other regions, that
	// are told of loads at a time.
	takenTo = 4
	sumTo   = 4
	// takenPacket is the number of endpoints in one packet.
	takenPacket = 24
	// packetOverhead is the size of the IP and UDP headers, in bytes.
	packetOverhead = 28
)

func (n *Node) controllers() {
	add := func(name string, period time.Duration, step func(now time.Time)) {
		n.runner.Add(ctrl.Controller{Name: name, Period: period, Step: func(_ context.Context, now time.Time) { step(now) }})
	}
	add("members", memberPeriod, func(now time.Time) {
		n.setSelf()
		n.send(n.board.Members.Tick(now))
		n.noteMembers(now)
	})
	add(takenName, takenPeriod, n.shareTaken)
	add("sums", sumPeriod, n.shareSums)
	add("connections", sweepPeriod, n.pool.Sweep)
	add("links", linkPeriod, n.warmLinks)
	add(askName, askPeriod, n.askItems)
	add("registry", expirePeriod, func(now time.Time) {
		for _, id := range n.board.Registry.Expire(now) {
			n.log.Info().Str("endpoint", id).Msg("endpoint did not come back after the store did")
		}
	})
}

func (n *Node) setSelf() {
	open := n.board.Pulse.Open()
	n.meter.Open.Set(float64(open))
	n.board.Members.SetSelf(member.Self{
		Mark: invent.Mark{Revision: n.board.Routes.Version()}, Open: open, Leaving: n.board.Pulse.Leaving(),
	})
}

func (n *Node) send(list []member.Out) {
	for _, o := range list {
		size, err := n.link.Send(o.Address, o.Packet)
		if err != nil {
			n.log.Debug().Err(err).Str("peer", o.Host).Msg("datagram not sent")
			continue
		}
		n.meter.Sent(size + packetOverhead)
	}
}

// packet takes one datagram of another host in.
func (n *Node) packet(p wire.Packet, size int) {
	n.meter.Received(size)
	now := n.now()
	n.send(n.board.Members.Receive(now, p))
	m, ok := n.board.Members.Member(p.From)
	if !ok {
		return
	}
	n.board.Zones.Heard(now, m.Region)
	if m.Region == n.board.Region && p.Taken != nil {
		list := make(map[string]endpt.Shared, len(p.Taken))
		for _, t := range p.Taken {
			list[t.Endpoint] = endpt.Shared{Requests: int(t.Requests), Pending: waitsOf(t.PendingMS)}
		}
		n.board.Endpoints.Tell(now, p.From, list)
	}
	n.carrier.Keeps.Told(now, p.Sent)
	for _, s := range p.Sums {
		if s.Region != n.board.Region {
			at := now.Add(-time.Duration(s.AgeMS) * time.Millisecond)
			key := zones.Key{Region: s.Region, Service: s.Service}
			n.board.Zones.Note(key, float64(s.Slots), float64(s.Busy), at, now)
			waits := waitsOf(s.WaitMS)
			n.board.Zones.Told(now, key, waits[:])
		}
	}
}

// shareTaken tells hosts of this region what this one has at its endpoints.
func (n *Node) shareTaken(now time.Time) {
	list := []wire.Taken{{Endpoint: ""}}
	for id, s := range n.board.Endpoints.Taken() {
		if len(list) < takenPacket {
			list = append(list, wire.Taken{
				Endpoint: id, Requests: uint32(s.Requests), PendingMS: millis(s.Pending[:]),
			})
		}
	}
	n.tell(takenTo, func(m member.Member) bool { return m.Region == n.board.Region }, wire.Packet{Taken: list, Sent: n.carrier.Keeps.Fresh(now)})
}

// shareSums tells hosts of other regions how loaded this region's services are.
func (n *Node) shareSums(now time.Time) {
	force := n.board.Routes.Rules()
	if force == nil {
		return
	}
	sums := map[string]*wire.Sum{}
	waits := map[string]endpt.Waits{}
	counts := map[string]time.Duration{}
	for _, s := range force.ServiceNames() {
		for _, e := range n.board.Registry.Of(s) {
			if e.Region != n.board.Region || e.Draining || n.board.Registry.Evacuated(e.Centre) {
				continue
			}
			if sums[s] == nil {
				sums[s] = &wire.Sum{Region: n.board.Region, Service: s}
			}
			st := n.board.Endpoints.Get(e.ID)
			if !st.Ejected(now) && !st.Shunned(now) {
				sums[s].Slots += uint32(max(1, e.Slots))
			}
			sums[s].Busy += uint32(max(st.Load(now), st.Known(now)))
			waits[s] = waits[s].With(st.Pending(now))
			counts[s]++
		}
	}
	var list []wire.Sum
	for _, s := range sums {
		var mean endpt.Waits
		for rank := range mean {
			mean[rank] = waits[s.Service].For(rank) / counts[s.Service]
		}
		s.WaitMS = millis(mean[:])
		list = append(list, *s)
	}
	n.tell(sumTo, func(m member.Member) bool { return m.Region != n.board.Region }, wire.Packet{Sums: list, Sent: n.carrier.Keeps.Fresh(now)})
}

func (n *Node) tell(most int, match func(member.Member) bool, p wire.Packet) {
	p.Kind, p.From, p.Life = wire.Announce, n.settings.Peers, n.board.Members.Life()
	p.Revision, p.Open, p.Leaving = n.board.Routes.Version(), n.board.Pulse.Open(), n.board.Pulse.Leaving()
	var out []member.Out
	for _, m := range n.board.Members.Random(most, match) {
		out = append(out, member.Out{Host: m.Name, Address: m.Address, Packet: p})
	}
	n.send(out)
}

// warmLinks keeps connections to the hosts of other regions that this one relays to.
func (n *Node) warmLinks(time.Time) {
	regions := map[string]bool{}
	for _, m := range n.board.Members.Members() {
		regions[m.Region] = true
	}
	delete(regions, n.board.Region)
	var wait sync.WaitGroup
	for region := range regions {
		for _, m := range n.carrier.Relays(region) {
			wait.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), warmTime)
				defer cancel()
				if err := n.link.Warm(ctx, m.Name, m.Address); err != nil {
					n.log.Debug().Err(err).Str("peer", m.Name).Msg("host can't be reached")
				}
			})
		}
	}
	wait.Wait()
}

// millis returns times in ms, without those at the end that are 0.
func millis(list []time.Duration) []uint32 {
	var out []uint32
	for i, d := range list {
		if ms := d.Milliseconds(); ms > 0 {
			out = append(out, make([]uint32, i+1-len(out))...)
			out[i] = uint32(ms)
		}
	}
	return out
}

// waitsOf returns times by rank from those that millis gave.
func waitsOf(list []uint32) endpt.Waits {
	var w endpt.Waits
	for i, ms := range list[:min(len(list), len(w))] {
		w[i] = time.Duration(ms) * time.Millisecond
	}
	return w
}

// noteMembers logs what is newly believed of other hosts.
func (n *Node) noteMembers(now time.Time) {
	held := make(map[string]belief, len(n.believed))
	var sharing []string
	for _, m := range n.board.Members.Members() {
		// One that is held dead may only be cut off from this host.
		if m.Region == n.board.Region && m.State != wire.Left {
			sharing = append(sharing, m.Name)
		}
		b := belief{state: m.State, leaving: m.Leaving, life: m.Life}
		held[m.Name] = b
		if n.believed[m.Name] == b {
			continue
		}
		ev := n.log.Info().Str("peer", m.Name).Str("region", m.Region).Stringer("state", m.State).
			Bool("leaving", m.Leaving).Uint64("life", m.Life)
		if !m.Heard.IsZero() {
			ev = ev.Dur("heard", now.Sub(m.Heard))
		}
		ev.Msg("host is seen otherwise")
	}
	n.believed = held
	n.shares.Hosts(now, sharing)
}

// belief is what is logged of another host when it changes.
type belief struct {
	state   wire.State
	leaving bool
	life    uint64
}
