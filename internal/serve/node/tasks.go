package node

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/ctrl"
	"github.com/hyssopspindle/hyssopspindle/internal/board/endpt"
	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/board/remote"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/route/quota"
)

// dutyName is the controller that assigns the duties. A change of the members also
// triggers it between its periods.
const dutyName = "duties"

// inFlightName is the controller that sends this host's loads. The proxy also
// triggers it between its periods.
const inFlightName = "taken"

// cutsName is the controller that sends which hosts are cut off. A change at this host also
// triggers it.
const cutsName = "cuts"

const (
	memberPeriod      = 100 * time.Millisecond
	dutyPeriod        = 500 * time.Millisecond
	inFlightPeriod    = 250 * time.Millisecond
	serviceLoadPeriod = 500 * time.Millisecond
	sweepPeriod       = time.Second
	expirePeriod      = 200 * time.Millisecond
	linkPeriod        = time.Second
	endsPeriod        = 100 * time.Millisecond
	pathsPeriod       = 100 * time.Millisecond
	cutsPeriod        = 200 * time.Millisecond
	connectTimeout    = 900 * time.Millisecond

	// inFlightFanout is the number of entry hosts of the local region that get this
	// host's loads in one period. In each remote region, serviceLoadFanout entry hosts
	// and standbyFanout other hosts get the service loads.
	inFlightFanout    = 12
	serviceLoadFanout = 4
	standbyFanout     = 2
	// maxPacketEndpoints bounds the host loads in one packet, the empty entry included.
	maxPacketEndpoints = 32
	// maxPacketLimits bounds the rate limits of endpoints in one packet.
	maxPacketLimits = 8
	// maxPacketLeaving bounds the leaving endpoints in one packet, maxPacketCold the cold ones.
	maxPacketLeaving = 8
	maxPacketCold    = 8
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
	add("origins", originsPeriod, n.shareOrigins)
	add("poison", poisonPeriod, n.sharePoison)
	add(usageName, usagePeriod, n.shareUsage)
	add("connections", sweepPeriod, n.pool.Sweep)
	add("links", linkPeriod, n.warmLinks)
	n.runner.Add(ctrl.Controller{Name: "ends", Period: endsPeriod, Step: n.proxy.CheckEnds})
	add(cutsName, cutsPeriod, n.shareCuts)
	n.runner.Add(ctrl.Controller{Name: "paths", Period: pathsPeriod, Step: n.checkPaths})
	add("cold checks", coldCheckPeriod, n.checkCold)
	add("shares", sharesPeriod, n.logShares)
	add(itemsName, fetchItemsPeriod, n.fetchItems)
	add(proofsName, proofsPeriod, func(time.Time) { n.askProofs() })
	add(storeStateName, storeStatePeriod, n.shareStoreState)
	add("registry", expirePeriod, func(now time.Time) {
		for _, id := range n.board.Registry.Expire(now) {
			n.log.Info().Str("endpoint", id).Msg("endpoint removed: it did not register again")
		}
		n.endHeldEvacuations(now)
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
	n.contact.received(now)
	if p.Revision > 0 {
		n.contactAt.CompareAndSwap(0, int64(n.boot()))
	}
	if m.Region == n.board.Region && p.HostLoads != nil {
		list := make(map[string]endpt.HostLoad, len(p.HostLoads))
		for _, t := range p.HostLoads {
			list[t.Endpoint] = endpt.HostLoad{Requests: int(t.Requests), QueuedPrefill: fromMillis(t.PendingMS)}
		}
		n.board.Endpoints.SetPeerLoads(now, p.From, list)
	}
	if m.Region == n.board.Region {
		n.receiveLimits(now, p.From, p.Limits)
		n.receiveLeaving(now, p.From, p.LeavingEndpoints)
		n.receiveCold(now, p.From, p.ColdEndpoints)
		n.receiveFrail(now, p.From, p.Frail)
	}
	if len(p.Starts) > 0 || len(p.Asked) > 0 {
		n.receiveOrigins(now, m, p)
	}
	if p.Store != nil && m.Centre == n.board.Centre {
		n.receiveStoreState(now, m, p.StoreEra, p.Store)
		n.receiveRestored(now, m, p.StoreEra, p.StoreRestored)
	}
	n.receiveProof(m, p)
	n.receivePoison(now, p)
	if p.Uses != nil {
		n.receiveUses(now, p.From, p.Incarnation, p.Uses)
	}
	if len(p.CutHosts) > 0 {
		n.receiveCuts(now, p.CutHosts)
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
	for _, l := range n.busiestEndpoints(maxPacketEndpoints - 1) {
		list = append(list, wire.HostLoad{Endpoint: l.id, Requests: uint32(l.Requests), PendingMS: toMillis(l.QueuedPrefill[:])})
	}
	loaded := len(list) > 1
	if loaded || n.announcedLoad {
		n.announcedLoad = loaded
		n.announceTo(n.randomEntries(n.board.Region, inFlightFanout), wire.Packet{HostLoads: list, SentPrefixes: n.proxy.Prefixes.Recent(now)})
	}
	n.shareNotices(now)
}

// shareNotices passes on to peer hosts of the local region what endpoints said of
// themselves lately in answers to this host.
func (n *Node) shareNotices(now time.Time) {
	limits := toWireLimits(n.board.Endpoints.NamedLimits(now))
	leaving := toWireLeaving(n.board.Registry.RecentLeaving(now))
	cold := toWireCold(now, n.board.Registry.AnnouncedCold(now))
	services := toWireFrail(n.board.Frail.Reports(now))
	if len(limits) > 0 || len(leaving) > 0 || len(cold) > 0 || len(services) > 0 {
		n.announceTo(n.randomEntries(n.board.Region, inFlightFanout), wire.Packet{Limits: limits, LeavingEndpoints: leaving, ColdEndpoints: cold, Frail: services})
	}
}

// toWireLimits returns the first of the named limits in the form of packets.
func toWireLimits(list []endpt.NamedLimit) []wire.Limit {
	var out []wire.Limit
	for _, l := range list[:min(len(list), maxPacketLimits)] {
		w := wire.Limit{Endpoint: l.Endpoint, AgeMS: uint32(l.Age.Milliseconds())}
		if l.PerSecond != nil {
			w.Limited, w.PerSecond = true, *l.PerSecond
		}
		out = append(out, w)
	}
	return out
}

// toWireLeaving returns the first of the leaving endpoints in the form of packets.
func toWireLeaving(list []regis.Leaving) []wire.LeavingEndpoint {
	var out []wire.LeavingEndpoint
	for _, l := range list[:min(len(list), maxPacketLeaving)] {
		out = append(out, wire.LeavingEndpoint{Endpoint: l.ID, Life: l.Incarnation})
	}
	return out
}

// receiveLeaving marks the endpoints that announced to a peer host of the region that they
// leave.
func (n *Node) receiveLeaving(now time.Time, from string, list []wire.LeavingEndpoint) {
	for _, l := range list {
		if n.board.Registry.MarkLeaving(now, regis.Leaving{ID: l.Endpoint, Incarnation: l.Life}, false) {
			n.log.Info().Str("endpoint", l.Endpoint).Int64("born", l.Life).Str("peer", from).Msg("endpoint announces that it leaves")
		}
	}
}

// receiveLimits stores what a peer host of the region heard of the rate limits of
// endpoints.
func (n *Node) receiveLimits(now time.Time, from string, list []wire.Limit) {
	for _, l := range list {
		var rate *float64
		if l.Limited {
			if !(l.PerSecond >= 0) {
				continue
			}
			rate = &l.PerSecond
		}
		if n.board.Endpoints.SetPeerRateLimit(l.Endpoint, rate, now.Add(-time.Duration(l.AgeMS)*time.Millisecond)) {
			n.log.Info().Str("endpoint", l.Endpoint).Str("peer", from).Bool("limited", l.Limited).Float64("limit", l.PerSecond).
				Msg("rate limit of endpoint changed")
		}
	}
	if len(list) > 0 {
		n.meter.LimitedEndpoints.Set(float64(n.board.Endpoints.CountLimited(now)))
	}
}

// endpointLoad is this host's load at one endpoint.
type endpointLoad struct {
	id string
	endpt.HostLoad
}

// busiestEndpoints returns this host's load at up to limit endpoints, those with the most
// queued prefill and then the most requests first.
func (n *Node) busiestEndpoints(limit int) []endpointLoad {
	var list []endpointLoad
	for id, l := range n.board.Endpoints.HostLoads() {
		list = append(list, endpointLoad{id: id, HostLoad: l})
	}
	slices.SortFunc(list, func(a, b endpointLoad) int {
		return cmp.Or(
			cmp.Compare(b.QueuedPrefill.Ahead(endpt.Ranks), a.QueuedPrefill.Ahead(endpt.Ranks)),
			cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.id, b.id))
	})
	return list[:min(limit, len(list))]
}

// randomEntries returns up to limit random entry hosts of a region, this one left out.
func (n *Node) randomEntries(region string, limit int) []member.Member {
	list := slices.Clone(n.board.Duties.Plan().Entries[region])
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(limit, len(list))]
}

// shareServiceLoads sends the local region's service loads, with the mean queued
// prefill of each service's endpoints, to hosts of remote regions. Only entry hosts send
// them, as they know the loads best.
func (n *Node) shareServiceLoads(now time.Time) {
	inForce, plan := n.board.Routes.Rules(), n.board.Duties.Plan()
	if inForce == nil || !plan.SelfEntry {
		return
	}
	var list []wire.ServiceLoad
	for _, s := range inForce.ServiceNames() {
		if l, ok := n.serviceLoad(now, s); ok {
			list = append(list, l)
		}
	}
	for region := range plan.Entries {
		if region == n.board.Region {
			continue
		}
		to := n.randomEntries(region, serviceLoadFanout)
		to = append(to, n.board.Members.RandomUsable(standbyFanout, func(m member.Member) bool {
			return m.Region == region && !slices.ContainsFunc(to, func(e member.Member) bool { return e.Name == m.Name })
		})...)
		n.announceTo(to, wire.Packet{ServiceLoads: list, SentPrefixes: n.proxy.Prefixes.Recent(now)})
	}
}

// serviceLoad returns the load of a service in the local region, and false if it has no
// endpoint there that accepts requests.
func (n *Node) serviceLoad(now time.Time, service string) (wire.ServiceLoad, bool) {
	load := wire.ServiceLoad{Region: n.board.Region, Service: service}
	var queued endpt.QueuedPrefill
	count := time.Duration(0)
	for _, e := range n.board.Registry.Endpoints(service) {
		if e.Region != n.board.Region || e.Draining || n.board.Registry.Evacuated(e.Centre) {
			continue
		}
		st := n.board.Endpoints.Get(e.ID)
		if !st.Ejected(now) && !st.EjectedByRate(now) && n.board.Paths.Reachable(e.ID) {
			load.Slots += uint32(max(1, e.Slots))
		}
		load.Busy += uint32(max(st.Load(now), st.KnownInFlight(now)))
		queued = queued.Plus(st.QueuedPrefill(now))
		count++
	}
	if count == 0 {
		return load, false
	}
	var mean endpt.QueuedPrefill
	for rank := range mean {
		mean[rank] = queued.Ahead(rank) / count
	}
	load.WaitMS = toMillis(mean[:])
	return load, true
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

// warmLinks keeps connections open to the remote hosts that this host relays to, if
// callers are given this host.
func (n *Node) warmLinks(time.Time) {
	plan := n.board.Duties.Plan()
	if !plan.SelfEntry {
		return
	}
	var wait sync.WaitGroup
	for region := range plan.Entries {
		if region == n.board.Region {
			continue
		}
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
// the rate limits of endpoints.
func (n *Node) updateMembers(now time.Time, list []member.Member) {
	current := make(map[string]memberStatus, len(n.loggedMembers))
	var sharing []quota.Host
	alive := 0
	for _, m := range list {
		// Dead members share too: they may only be partitioned from this host.
		if m.Region == n.board.Region && m.State != wire.Left {
			sharing = append(sharing, quota.Host{Name: m.Name, Cores: m.Cores})
			if m.State == wire.Alive {
				alive++
			}
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
	n.contact.setHosts(len(sharing), alive)
	n.shares.UpdateHosts(now, sharing)
	n.updateUsagePeers(now, list)
}

// memberStatus is the logged status of a peer host.
type memberStatus struct {
	state       wire.State
	leaving     bool
	incarnation uint64
}
