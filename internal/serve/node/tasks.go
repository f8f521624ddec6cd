package node

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/ctrl"
	"github.com/hyssopspindle/hyssopspindle/internal/board/endpt"
	"github.com/hyssopspindle/hyssopspindle/internal/board/remote"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

// dutyName is the controller that assigns the duties. A change of the members also
// triggers it between its periods.
const dutyName = "duties"

// inFlightName is the controller that sends this host's loads. The proxy also
// triggers it between its periods.
const inFlightName = "taken"

const (
	memberPeriod      = 100 * time.Millisecond
	dutyPeriod        = 500 * time.Millisecond
	inFlightPeriod    = 250 * time.Millisecond
	serviceLoadPeriod = 500 * time.Millisecond
	sweepPeriod       = time.Second
	expirePeriod      = 200 * time.Millisecond
	linkPeriod        = time.Second
	connectTimeout    = 900 * time.Millisecond

	// inFlightFanout is the number of hosts of the local region that get this host's
	// loads in one period, serviceLoadFanout the number of hosts of remote regions
	// that get the service loads.
	inFlightFanout    = 4
	serviceLoadFanout = 4
	// maxPacketEndpoints bounds the host loads in one packet, the empty entry included.
	maxPacketEndpoints = 24
	// packetOverhead is the size of the IP and UDP headers, in bytes.
	packetOverhead = 28
)

func (n *Node) addControllers() {
	add := func(name string, period time.Duration, step func(now time.Time)) {
		n.runner.Add(ctrl.Controller{Name: name, Period: period, Step: func(_ context.Context, now time.Time) { step(now) }})
	}
	add("members", memberPeriod, func(now time.Time) {
		n.updateSelf()
		n.sendPackets(n.board.Members.Tick(now))
		n.membersChanged()
	})
	add(dutyName, dutyPeriod, func(now time.Time) {
		n.assignedFor.Store(n.board.Members.Changes())
		list := n.board.Members.Members()
		n.updateMembers(now, list)
		n.assignDuties(list)
	})
	add(inFlightName, inFlightPeriod, n.shareInFlight)
	add("sums", serviceLoadPeriod, n.shareServiceLoads)
	add("connections", sweepPeriod, n.pool.Sweep)
	add("links", linkPeriod, n.warmLinks)
	add(itemsName, fetchItemsPeriod, n.fetchItems)
	add(storeStateName, storeStatePeriod, n.shareStoreState)
	add("registry", expirePeriod, func(now time.Time) {
		for _, id := range n.board.Registry.Expire(now) {
			n.log.Info().Str("endpoint", id).Msg("endpoint removed: it did not register again after the store outage")
		}
	})
}

// updateSelf refreshes the status of this host that its packets carry.
func (n *Node) updateSelf() {
	inFlight := n.board.Health.InFlight()
	n.meter.InFlight.Set(float64(inFlight))
	n.board.Members.SetSelf(member.Self{
		Version: invent.Version{Revision: n.board.Routes.Version()}, InFlight: inFlight, Leaving: n.board.Health.Leaving(),
	})
}

func (n *Node) sendPackets(list []member.Outgoing) {
	for _, o := range list {
		n.sendPacket(o.Packet, o.Address)
	}
}

func (n *Node) sendPacket(p wire.Packet, addresses ...string) {
	size, sent, err := n.link.Send(p, addresses...)
	if err != nil {
		n.log.Debug().Err(err).Msg("datagram not sent")
	}
	n.meter.AddSentBytes(sent * (size + packetOverhead))
}

// receivePacket applies one datagram of a peer host, of size bytes.
func (n *Node) receivePacket(p wire.Packet, size int) {
	n.meter.AddReceivedBytes(size)
	now := n.now()
	n.sendPackets(n.board.Members.Receive(now, p))
	n.membersChanged()
	m, ok := n.board.Members.Member(p.From)
	if !ok {
		return
	}
	n.board.Remotes.MarkSeen(now, m.Region)
	if m.Region == n.board.Region && p.HostLoads != nil {
		list := make(map[string]endpt.HostLoad, len(p.HostLoads))
		for _, t := range p.HostLoads {
			list[t.Endpoint] = endpt.HostLoad{Requests: int(t.Requests), QueuedPrefill: fromMillis(t.PendingMS)}
		}
		n.board.Endpoints.SetPeerLoads(now, p.From, list)
	}
	if p.Store != nil && m.Centre == n.board.Centre {
		n.receiveStoreState(now, m, p.Store)
	}
	n.proxy.Prefixes.RecordReported(now, p.SentPrefixes)
	for _, s := range p.ServiceLoads {
		if s.Region != n.board.Region {
			at := now.Add(-time.Duration(s.AgeMS) * time.Millisecond)
			key := remote.Key{Region: s.Region, Service: s.Service}
			n.board.Remotes.PutLoad(key, float64(s.Slots), float64(s.Busy), at, now)
			queuedPrefill := fromMillis(s.WaitMS)
			n.board.Remotes.SetQueuedPrefill(now, key, queuedPrefill[:])
		}
	}
}

// shareInFlight sends this host's in-flight requests and queued prefill at each
// endpoint to peer hosts of the local region.
func (n *Node) shareInFlight(now time.Time) {
	// The empty entry keeps the list in the packet when nothing is in flight, so that
	// receivers drop the loads of this host's previous packet.
	list := []wire.HostLoad{{Endpoint: ""}}
	for id, s := range n.board.Endpoints.HostLoads() {
		if len(list) < maxPacketEndpoints {
			list = append(list, wire.HostLoad{
				Endpoint: id, Requests: uint32(s.Requests), PendingMS: toMillis(s.QueuedPrefill[:]),
			})
		}
	}
	n.announce(inFlightFanout, func(m member.Member) bool { return m.Region == n.board.Region }, wire.Packet{HostLoads: list, SentPrefixes: n.proxy.Prefixes.Recent(now)})
}

// shareServiceLoads sends the local region's service loads, with the mean queued
// prefill of each service's endpoints, to hosts of remote regions.
func (n *Node) shareServiceLoads(now time.Time) {
	inForce := n.board.Routes.Rules()
	if inForce == nil {
		return
	}
	loads := map[string]*wire.ServiceLoad{}
	queuedPrefill := map[string]endpt.QueuedPrefill{}
	counts := map[string]time.Duration{}
	for _, s := range inForce.ServiceNames() {
		for _, e := range n.board.Registry.Endpoints(s) {
			if e.Region != n.board.Region || e.Draining || n.board.Registry.Evacuated(e.Centre) {
				continue
			}
			if loads[s] == nil {
				loads[s] = &wire.ServiceLoad{Region: n.board.Region, Service: s}
			}
			st := n.board.Endpoints.Get(e.ID)
			if !st.Ejected(now) && !st.EjectedByRate(now) {
				loads[s].Slots += uint32(max(1, e.Slots))
			}
			loads[s].Busy += uint32(max(st.Load(now), st.KnownInFlight(now)))
			queuedPrefill[s] = queuedPrefill[s].Plus(st.QueuedPrefill(now))
			counts[s]++
		}
	}
	var list []wire.ServiceLoad
	for _, s := range loads {
		var mean endpt.QueuedPrefill
		for rank := range mean {
			mean[rank] = queuedPrefill[s.Service].Ahead(rank) / counts[s.Service]
		}
		s.WaitMS = toMillis(mean[:])
		list = append(list, *s)
	}
	n.announce(serviceLoadFanout, func(m member.Member) bool { return m.Region != n.board.Region }, wire.Packet{ServiceLoads: list, SentPrefixes: n.proxy.Prefixes.Recent(now)})
}

// announce completes a packet with this host's status and sends it to up to limit
// random hosts that match.
func (n *Node) announce(limit int, match func(member.Member) bool, p wire.Packet) {
	n.announceTo(n.board.Members.RandomUsable(limit, match), p)
}

// announceTo completes a packet with this host's status and sends it to hosts.
func (n *Node) announceTo(list []member.Member, p wire.Packet) {
	p.Kind, p.From, p.Incarnation = wire.Announce, n.settings.Peers, n.board.Members.Incarnation()
	p.Revision, p.InFlight, p.Leaving = n.board.Routes.Version(), n.board.Health.InFlight(), n.board.Health.Leaving()
	addresses := make([]string, len(list))
	for i, m := range list {
		addresses[i] = m.Address
	}
	n.sendPacket(p, addresses...)
}

// warmLinks keeps connections open to the remote hosts that this host relays to.
func (n *Node) warmLinks(time.Time) {
	regions := map[string]bool{}
	for _, m := range n.board.Members.Members() {
		regions[m.Region] = true
	}
	delete(regions, n.board.Region)
	var wait sync.WaitGroup
	for region := range regions {
		for _, m := range n.proxy.RelayHosts(region) {
			wait.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
				defer cancel()
				if err := n.link.Preconnect(ctx, m.Name, m.Address); err != nil {
					n.log.Debug().Err(err).Str("peer", m.Name).Msg("peer host is unreachable")
				}
			})
		}
	}
	wait.Wait()
}

// toMillis returns durations in milliseconds, without trailing zeros.
func toMillis(list []time.Duration) []uint32 {
	var out []uint32
	for i, d := range list {
		if ms := d.Milliseconds(); ms > 0 {
			out = append(out, make([]uint32, i+1-len(out))...)
			out[i] = uint32(ms)
		}
	}
	return out
}

// fromMillis returns the durations by priority rank that toMillis encoded.
func fromMillis(list []uint32) endpt.QueuedPrefill {
	var w endpt.QueuedPrefill
	for i, ms := range list[:min(len(list), len(w))] {
		w[i] = time.Duration(ms) * time.Millisecond
	}
	return w
}

// updateMembers logs peer hosts whose status changed and sets the hosts that share
// the rate limits of cold endpoints.
func (n *Node) updateMembers(now time.Time, list []member.Member) {
	current := make(map[string]memberStatus, len(n.loggedMembers))
	var sharing []string
	for _, m := range list {
		// Dead members share too: they may only be partitioned from this host.
		if m.Region == n.board.Region && m.State != wire.Left {
			sharing = append(sharing, m.Name)
		}
		st := memberStatus{state: m.State, leaving: m.Leaving, incarnation: m.Incarnation}
		current[m.Name] = st
		if n.loggedMembers[m.Name] == st {
			continue
		}
		ev := n.log.Info().Str("peer", m.Name).Str("region", m.Region).Stringer("state", m.State).
			Bool("leaving", m.Leaving).Uint64("life", m.Incarnation)
		if !m.LastSeen.IsZero() {
			ev = ev.Dur("heard", now.Sub(m.LastSeen))
		}
		ev.Msg("peer host status changed")
	}
	n.loggedMembers = current
	n.coldShares.UpdateHosts(now, sharing)
}

// memberStatus is the logged status of a peer host.
type memberStatus struct {
	state       wire.State
	leaving     bool
	incarnation uint64
}
