package flow

import (
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/endpt"
	"github.com/hyssopspindle/hyssopspindle/internal/board/remote"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/route/eject"
	"github.com/hyssopspindle/hyssopspindle/internal/route/place"
)

// decision is a place.Decision with its index resolved to an endpoint or a region.
type decision struct {
	kind            place.Kind
	endpoint        invent.Endpoint
	region          string
	expectedLatency time.Duration
	reason          place.Reason
	retryAfter      time.Duration
	prefixCached    bool
	// slotWait is the expected wait for a slot at the endpoint.
	slotWait time.Duration
}

// scratch holds the slices of one decision for reuse by the next.
type scratch struct {
	names      []string
	endpoints  []invent.Endpoint
	candidates []place.Candidate
	remotes    []place.RemoteRegion
}

// The usual one-way latencies within a region, to an endpoint in the host's data centre
// and to one in another data centre.
const (
	sameCentreLatency  = 100 * time.Microsecond
	otherCentreLatency = time.Millisecond
)

// choose decides on the next step of a request and counts it at the endpoint or region
// that it chooses.
func (f *Flow) choose(t *task) decision {
	now := f.now()
	s, _ := f.scratchPool.Get().(*scratch)
	defer f.scratchPool.Put(s)
	f.mu.Lock()
	defer f.mu.Unlock()
	req := f.placementRequest(now, t)
	f.fillPlaces(now, t, s)
	d := place.Decide(req, s.candidates, s.remotes, f.rand)
	out := decision{kind: d.Kind, expectedLatency: d.ExpectedLatency, reason: d.Reason, retryAfter: d.RetryAfter, prefixCached: d.Cached, slotWait: d.SlotWait}
	switch d.Kind {
	case place.SendLocal:
		out.endpoint = s.endpoints[d.Index]
		f.board.Endpoints.StartRequest(now, out.endpoint.Name)
		f.board.Remotes.CountRequest(now, t.Service.Name, "")
	case place.SendRemote:
		out.region = s.remotes[d.Index].Region
		f.countCrossing(now, t, out.region, d.Spill)
	case place.Wait, place.Refuse:
	}
	return out
}

// countCrossing counts a request that is relayed to another region.
func (f *Flow) countCrossing(now time.Time, t *task, region string, spill bool) {
	t.report.Crossing = meter.CrossingNeeded
	spilledTo := ""
	if spill {
		t.report.Crossing = meter.CrossingSpilled
		spilledTo = region
	}
	f.board.Remotes.CountRequest(now, t.Service.Name, spilledTo)
}

// placementRequest returns the properties of a request that its placement depends on.
func (f *Flow) placementRequest(now time.Time, t *task) place.Request {
	queued := f.board.Queue(t.Service).Ahead(now, t.Service.Priority, t.Caller.Name)
	if !t.queuedAt.IsZero() {
		// The request was woken as the first of the queue.
		queued = 0
	}
	return place.Request{
		Service: t.Service, Prefix: t.Prefix, TimeLeft: t.Deadline.Sub(now),
		LocalAllowed:  invent.RegionAllowed(t.Caller, t.Service, f.board.Region),
		RemoteAllowed: t.mayCross,
		Queued:        queued,
		Sequence:      f.roundRobin.Add(1),
	}
}

// fillPlaces fills s with the endpoints and regions that the request may be sent to.
func (f *Flow) fillPlaces(now time.Time, t *task, s *scratch) {
	inv := t.inventory
	s.names, s.endpoints = s.names[:0], s.endpoints[:0]
	s.candidates, s.remotes = s.candidates[:0], s.remotes[:0]
	for _, e := range inv.EndpointsOf(t.Service.Name) {
		if inv.RegionOf(e.Centre) == f.board.Region {
			s.names = append(s.names, e.Name)
			s.endpoints = append(s.endpoints, e)
		}
	}
	first, work := t.configuredTimes()
	f.board.Endpoints.Each(s.names, func(i int, st *endpt.State) {
		e := s.endpoints[i]
		s.candidates = append(s.candidates, place.Candidate{
			Name: e.Name, Slots: e.Slots, Load: st.Load(now) + st.RefusalLoad(now, e.Slots),
			AnswerTime: st.AnswerTime(now, work), TimeToFirstToken: st.TimeToFirstToken(now, first), Ramp: st.Ramp(now),
			Latency: f.networkLatency(e.Centre), Tried: t.tried[e.Name],
			Ejected: st.Ejected(now), Failing: st.Report.Failing,
			Leaving: e.Leaving || st.Leaving(),
		})
	})
	for i := range s.candidates {
		c := &s.candidates[i]
		c.Leaving = c.Leaving || f.board.Leaving(c.Name, now)
	}
	limitEjections(s.candidates)
	if t.mayCross {
		f.fillRemotes(now, t, s)
	}
}

// networkLatency returns the usual one-way latency to an endpoint in a data centre.
func (f *Flow) networkLatency(centre string) time.Duration {
	if centre == f.board.Centre {
		return sameCentreLatency
	}
	return otherCentreLatency
}

// limitEjections readmits ejected endpoints above the limit on ejections. If half of
// the endpoints fail their requests at once but still report their load, the cause is
// probably not the endpoints.
func limitEjections(list []place.Candidate) {
	ejected := 0
	for i := range list {
		if list[i].Ejected && !list[i].Failing {
			ejected++
		}
	}
	for i := range list {
		if ejected <= eject.MaxEjected(len(list)) {
			return
		}
		if list[i].Ejected && !list[i].Failing {
			list[i].Ejected = false
			ejected--
		}
	}
}

// fillRemotes adds the other regions that may serve the request to s.
func (f *Flow) fillRemotes(now time.Time, t *task, s *scratch) {
	inv := t.inventory
	for _, r := range inv.Regions() {
		if r.Name == f.board.Region || !invent.RegionAllowed(t.Caller, t.Service, r.Name) {
			continue
		}
		l := inv.Link(f.board.Region, r.Name)
		v := f.board.Remotes.View(remote.Key{Region: r.Name, Service: t.Service.Name}, now)
		s.remotes = append(s.remotes, place.RemoteRegion{
			Region: r.Name, Slots: v.Slots, Busy: v.Busy, LoadKnown: v.Known, Ramp: v.Ramp,
			Reachable: f.board.Members.CountUsable(r.Name) > 0 && hasEndpoint(inv, t.Service.Name, r.Name),
			Silent:    f.board.Remotes.Silent(now, r.Name),
			Latency:   time.Duration(l.LatencyMS * float64(time.Millisecond)), Cost: l.Cost,
			SpillAllowed: f.board.Remotes.SpillAllowed(now, t.Service.Name, r.Name, l.Spill),
			Tried:        t.tried[regionKeyPrefix+r.Name],
		})
	}
}

// regionKeyPrefix distinguishes regions from endpoints and hosts in task.tried.
const regionKeyPrefix = "region/"

// hasEndpoint reports whether a service has an endpoint in a region.
func hasEndpoint(inv *invent.Inventory, service, region string) bool {
	for _, e := range inv.EndpointsOf(service) {
		if inv.RegionOf(e.Centre) == region {
			return true
		}
	}
	return false
}

// relayHost chooses a host of a region: of two random ones, the one with fewer
// in-flight requests. It prefers healthy hosts that were not tried, then suspect or
// unlisted ones, then healthy ones that did not answer, as they may answer on a new
// connection.
func (f *Flow) relayHost(t *task, region string) (member.Member, bool) {
	inRegion := func(m member.Member) bool {
		h, _ := t.inventory.Host(m.Name)
		return m.Region == region && !h.Leaving
	}
	var list []member.Member
	for _, match := range []func(member.Member) bool{
		func(m member.Member) bool { return inRegion(m) && !m.Unlisted && !t.tried[m.Name] && m.Healthy() },
		func(m member.Member) bool { return inRegion(m) && !t.tried[m.Name] },
		func(m member.Member) bool { return inRegion(m) && m.Healthy() },
	} {
		if list = f.board.Members.RandomUsable(2, match); len(list) > 0 {
			break
		}
	}
	if len(list) == 0 {
		return member.Member{}, false
	}
	if len(list) == 2 && list[1].InFlight < list[0].InFlight {
		return list[1], true
	}
	return list[0], true
}
