package host

import (
	"cmp"
	"context"
	"encoding/json"
	"math"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/endpt"
	"github.com/hyssopspindle/hyssopspindle/internal/board/remote"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/syncer"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/route/eject"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
)

// pollFailures counts the consecutive failed polls of each endpoint.
type pollFailures struct {
	mu     sync.Mutex
	counts map[string]int
}

// record counts the result of a poll and returns the endpoint's consecutive failed
// polls.
func (p *pollFailures) record(name string, ok bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.counts == nil {
		p.counts = map[string]int{}
	}
	if ok {
		p.counts[name] = 0
	} else {
		p.counts[name]++
	}
	return p.counts[name]
}

// pollEndpoints reads the load of the endpoints that this host is assigned to poll.
func (h *Host) pollEndpoints(ctx context.Context, _ time.Time) {
	inv := h.board.Revisions.Inventory()
	if inv == nil {
		return
	}
	hosts := h.healthyHosts(inv, h.inLocalRegion(inv))
	var wait sync.WaitGroup
	for _, e := range inv.Endpoints() {
		if inv.RegionOf(e.Centre) != h.board.Region {
			continue
		}
		if !syncer.IsAssigned("poll/"+e.Name, hosts, h.board.Name, pollersPerEndpoint) {
			continue
		}
		wait.Go(func() { h.pollEndpoint(ctx, e) })
	}
	wait.Wait()
}

// loadReport is the body of an endpoint's answer to a poll.
type loadReport struct {
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	AgeMS   int64 `json:"age_ms"`
	Leaving bool  `json:"leaving"`
}

func (h *Host) pollEndpoint(ctx context.Context, e invent.Endpoint) {
	var r loadReport
	// The report is dated by the start of the poll, because an answer of the endpoint
	// during the poll may carry a newer state.
	polledAt := h.now()
	status, body, err := client.Get(ctx, e.Address, "/load", maxReportBytes, pollTimeout)
	ok := err == nil && status == http.StatusOK && json.Unmarshal(body, &r) == nil
	if fails := h.pollFailures.record(e.Name, ok); !ok {
		if fails >= failingPollCount && ctx.Err() == nil {
			h.board.Endpoints.PutReport(e.Name, endpt.Report{At: h.now(), Failing: true})
		}
		return
	}
	h.board.Endpoints.PutReport(e.Name, endpt.Report{
		Running: r.Running, Queued: r.Queued, Leaving: r.Leaving,
		At: polledAt.Add(-time.Duration(r.AgeMS) * time.Millisecond),
	})
}

// shareLoads sends the newest loads of local endpoints and the newest service loads of
// remote regions to a few hosts of the local region: one packet of each, so that the
// cost does not grow with the region.
func (h *Host) shareLoads(_ context.Context, now time.Time) {
	inv := h.board.Revisions.Inventory()
	if inv == nil {
		return
	}
	endpointLoads := h.freshEndpointLoads(inv, now)
	serviceLoads := h.remoteServiceLoads(inv, now)
	if len(endpointLoads) == 0 && len(serviceLoads) == 0 {
		return
	}
	receivers := h.board.Members.RandomUsable(loadFanout, func(m member.Member) bool { return m.Region == h.board.Region })
	for _, m := range receivers {
		h.sendToMember(inv, m, wire.Packet{Loads: endpointLoads})
		if len(serviceLoads) > 0 {
			h.sendToMember(inv, m, wire.Packet{RegionLoads: serviceLoads})
		}
	}
}

// sendToMember completes a packet with this host's status and sends it to a member.
// The packet's loads refer to entries of inv by index.
func (h *Host) sendToMember(inv *invent.Inventory, m member.Member, p wire.Packet) {
	version := inv.Version()
	p.Kind, p.From, p.Incarnation = wire.Announce, h.board.Name, h.board.Members.Incarnation()
	p.Revision, p.DigestPrefix, p.InFlight, p.Leaving = version.Revision, version.DigestPrefix, h.board.Health.InFlight(), h.board.Health.Leaving()
	h.sendPackets([]member.Outgoing{{Host: m.Name, Address: m.Address, Packet: p}})
}

// freshEndpointLoads returns the loads of the local endpoints, newest first, as many
// as one packet holds.
func (h *Host) freshEndpointLoads(inv *invent.Inventory, now time.Time) []wire.Load {
	var out []wire.Load
	for i, e := range inv.Endpoints() {
		if inv.RegionOf(e.Centre) != h.board.Region {
			continue
		}
		if l := h.endpointLoad(e.Name, now); l.Flags != 0 {
			l.Endpoint = uint32(i)
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b wire.Load) int { return cmp.Compare(a.AgeMS, b.AgeMS) })
	return out[:min(len(out), maxPacketEndpointLoads)]
}

// endpointLoad returns the last known load of an endpoint. It has no flags if there is
// neither a fresh report nor a leaving mark.
func (h *Host) endpointLoad(name string, now time.Time) wire.Load {
	var l wire.Load
	if age, ok := h.board.LeavingAge(name, now); ok {
		l.Flags |= wire.FlagListedLeaving
		l.MarkMS = toMillis(age)
	}
	st := h.board.Endpoints.Get(name)
	age := now.Sub(st.Report.At)
	if st.Report.At.IsZero() || age > maxReportAge {
		return l
	}
	l.Flags |= wire.FlagHasReport
	l.AgeMS, l.Running, l.Queued = toMillis(age), uint32(max(0, st.Report.Running)), uint32(max(0, st.Report.Queued))
	if st.Report.Leaving {
		l.Flags |= wire.FlagLeaving
	}
	if st.Report.Failing {
		l.Flags |= wire.FlagFailing
	}
	return l
}

// toMillis returns a duration in whole milliseconds, 0 if it is negative.
func toMillis(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

// remoteServiceLoads returns the service loads of remote regions, newest first, as
// many as one packet holds.
func (h *Host) remoteServiceLoads(inv *invent.Inventory, now time.Time) []wire.RegionLoad {
	var out []wire.RegionLoad
	for i, r := range inv.Regions() {
		if r.Name == h.board.Region {
			continue
		}
		for j := range inv.Services() {
			s, ok := h.board.Remotes.Get(remote.Key{Region: r.Name, Service: inv.Services()[j].Name})
			if age := now.Sub(s.At); ok && age < maxReportAge {
				out = append(out, wire.RegionLoad{
					Region: uint32(i), Service: uint32(j), AgeMS: toMillis(age), Slots: uint32(s.Slots), Busy: uint32(s.Busy),
				})
			}
		}
	}
	slices.SortFunc(out, func(a, b wire.RegionLoad) int { return cmp.Compare(a.AgeMS, b.AgeMS) })
	return out[:min(len(out), maxPacketServiceLoads)]
}

// receiveLoads applies the endpoint loads and service loads of a packet. They refer
// to entries of the sender's configuration by index, so they are ignored unless the
// same configuration is in force on this host.
func (h *Host) receiveLoads(now time.Time, p wire.Packet) {
	inv := h.board.Revisions.Inventory()
	if inv == nil || inv.Version() != (invent.Version{Revision: p.Revision, DigestPrefix: p.DigestPrefix}) {
		return
	}
	for _, l := range p.Loads {
		if int64(l.Endpoint) < int64(len(inv.Endpoints())) {
			h.applyEndpointLoad(now, inv.Endpoints()[l.Endpoint].Name, l)
		}
	}
	for _, r := range p.RegionLoads {
		if int64(r.Region) >= int64(len(inv.Regions())) || int64(r.Service) >= int64(len(inv.Services())) {
			continue
		}
		k := remote.Key{Region: inv.Regions()[r.Region].Name, Service: inv.Services()[r.Service].Name}
		if k.Region != h.board.Region {
			at := now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
			h.board.Remotes.PutLoad(k, float64(r.Slots), float64(r.Busy), at, now)
		}
	}
}

func (h *Host) applyEndpointLoad(now time.Time, endpoint string, l wire.Load) {
	if l.Flags&wire.FlagListedLeaving != 0 {
		h.board.MarkLeaving(endpoint, now.Add(-time.Duration(l.MarkMS)*time.Millisecond))
	}
	if l.Flags&wire.FlagHasReport == 0 {
		return
	}
	h.board.Endpoints.PutReport(endpoint, endpt.Report{
		Running: int(l.Running), Queued: int(l.Queued),
		At:      now.Add(-time.Duration(l.AgeMS) * time.Millisecond),
		Leaving: l.Flags&wire.FlagLeaving != 0, Failing: l.Flags&wire.FlagFailing != 0,
	})
}

// shareServiceLoads sends the local region's service loads to one host of each remote
// region.
func (h *Host) shareServiceLoads(_ context.Context, now time.Time) {
	inv := h.board.Revisions.Inventory()
	if inv == nil {
		return
	}
	loads := h.localServiceLoads(inv, now)
	for _, r := range inv.Regions() {
		if r.Name == h.board.Region {
			continue
		}
		for _, m := range h.board.Members.RandomUsable(1, func(m member.Member) bool { return m.Region == r.Name }) {
			// Without any load the packet is still a heartbeat of this region.
			h.sendToMember(inv, m, wire.Packet{RegionLoads: loads})
		}
	}
}

// localServiceLoads returns the local region's service loads, a random selection if
// there are more than one packet holds.
func (h *Host) localServiceLoads(inv *invent.Inventory, now time.Time) []wire.RegionLoad {
	var out []wire.RegionLoad
	for j := range inv.Services() {
		if load, ok := h.localServiceLoad(inv, inv.Services()[j].Name, now); ok {
			load.Service = uint32(j)
			out = append(out, load)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), maxPacketServiceLoads)]
}

// localServiceLoad returns the load of a service in the local region, and whether it
// has endpoints there. As in placement, only a limited part of the endpoints counts
// as ejected.
func (h *Host) localServiceLoad(inv *invent.Inventory, service string, now time.Time) (wire.RegionLoad, bool) {
	load := wire.RegionLoad{Region: uint32(slices.Index(inv.Regions(), invent.Region{Name: h.board.Region}))}
	var local []invent.Endpoint
	for _, e := range inv.EndpointsOf(service) {
		if inv.RegionOf(e.Centre) == h.board.Region {
			local = append(local, e)
		}
	}
	ejected := 0
	for _, e := range local {
		st := h.board.Endpoints.Get(e.Name)
		if e.Leaving || st.Leaving() || h.board.Leaving(e.Name, now) {
			continue
		}
		if st.Report.Failing {
			continue
		}
		if st.Ejected(now) && ejected < eject.MaxEjected(len(local)) {
			ejected++
			continue
		}
		load.Slots += uint32(e.Slots)
		load.Busy += uint32(math.Ceil(st.Load(now)))
	}
	return load, len(local) > 0
}
