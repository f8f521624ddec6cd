package flow

import (
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/endpt"
	"github.com/hyssopspindle/hyssopspindle/internal/board/zones"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/route/eject"
	"github.com/hyssopspindle/hyssopspindle/internal/route/place"
)

// decision is a place.Decision with its index resolved to an endpoint or a region.
type decision struct {
	kind         place.Kind
	endpoint     invent.Endpoint
	region       string
	expect       time.Duration
	reason       place.Reason
	retryAfter   time.Duration
	prefixCached bool
	// queueWait is the expected wait for a slot at the endpoint.
	queueWait time.Duration
}

// scratch holds the slices of one decision for reuse by the next.
type scratch struct {
	names      []string
	endpoints  []invent.Endpoint
	candidates []place.Candidate
	remotes    []place.Remote
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
	s, _ := f.pool.Get().(*scratch)
	defer f.pool.Put(s)
	f.mu.Lock()
	defer f.mu.Unlock()
	ask := f.placementAsk(now, t)
	f.fillPlaces(now, t, s)
	d := place.Decide(ask, s.candidates, s.remotes, f.rand)
	out := decision{kind: d.Kind, expect: d.Expect, reason: d.Reason, retryAfter: d.Retry, prefixCached: d.Warm, queueWait: d.Queue}
	switch d.Kind {
	case place.Here:
		out.endpoint = s.endpoints[d.Index]
		f.board.Endpoints.Start(now, out.endpoint.Name)
		f.board.Zones.Count(now, t.Service.Name, "")
	case place.There:
		out.region = s.remotes[d.Index].Region
		f.countCrossing(now, t, out.region, d.Spill)
	case place.Wait, place.Refuse:
	}
	return out
}

// countCrossing counts a request that is relayed to another region.
func (f *Flow) countCrossing(now time.Time, t *task, region string, spill bool) {
	t.report.Crossing = meter.Needed
	spilledTo := ""
	if spill {
		t.report.Crossing = meter.Spilled
		spilledTo = region
	}
	f.board.Zones.Count(now, t.Service.Name, spilledTo)
}

// placementAsk returns the properties of a request that its placement depends on.
func (f *Flow) placementAsk(now time.Time, t *task) place.Ask {
	queued := f.board.Line(t.Service).Ahead(now, t.Service.Priority, t.Caller.Name)
	if !t.queuedAt.IsZero() {
		// The request was woken as the first of the queue.
		queued = 0
	}
	return place.Ask{
		Service: t.Service, Prefix: t.Prefix, Left: t.Deadline.Sub(now),
		Local:  invent.Allowed(t.Caller, t.Service, f.board.Region),
		Cross:  t.mayCross,
		Queued: queued,
		Turn:   f.roundRobin.Add(1),
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
	first, work := t.usualTimes()
	f.board.Endpoints.Each(s.names, func(i int, st *endpt.State) {
		e := s.endpoints[i]
		s.candidates = append(s.candidates, place.Candidate{
			Name: e.Name, Slots: e.Slots, Load: st.Load(now) + st.Excess(now, e.Slots),
			Work: st.Work(now, work), First: st.First(now, first), Ramp: st.Ramp(now),
			Network: f.networkLatency(e.Centre), Tried: t.tried[e.Name],
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
		if ejected <= eject.Most(len(list)) {
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
		if r.Name == f.board.Region || !invent.Allowed(t.Caller, t.Service, r.Name) {
			continue
		}
		l := inv.Link(f.board.Region, r.Name)
		v := f.board.Zones.View(zones.Key{Region: r.Name, Service: t.Service.Name}, now)
		s.remotes = append(s.remotes, place.Remote{
			Region: r.Name, Slots: v.Slots, Busy: v.Busy, Known: v.Known, Ramp: v.Ramp,
			Hosts:   f.board.Members.Usable(r.Name) > 0 && hasEndpoint(inv, t.Service.Name, r.Name),
			Silent:  f.board.Zones.Silent(now, r.Name),
			Latency: time.Duration(l.LatencyMS * float64(time.Millisecond)), Cost: l.Cost,
			Open:  f.board.Zones.Open(now, t.Service.Name, r.Name, l.Spill),
			Tried: t.tried[regionKeyPrefix+r.Name],
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
// in-flight requests. It prefers healthy hosts that were not tried, then suspected
// ones, then those that did not answer, as they may answer on a new connection.
func (f *Flow) relayHost(t *task, region string) (member.Member, bool) {
	inRegion := func(m member.Member) bool {
		h, _ := t.inventory.Host(m.Name)
		return m.Region == region && !h.Leaving
	}
	var list []member.Member
	for _, match := range []func(member.Member) bool{
		func(m member.Member) bool { return inRegion(m) && !m.Absent && !t.tried[m.Name] && m.Sound() },
		func(m member.Member) bool { return inRegion(m) && !t.tried[m.Name] },
		func(m member.Member) bool { return inRegion(m) && m.Sound() },
	} {
		if list = f.board.Members.Random(2, match); len(list) > 0 {
			break
		}
	}
	if len(list) == 0 {
		return member.Member{}, false
	}
	if len(list) == 2 && list[1].Open < list[0].Open {
		return list[1], true
	}
	return list[0], true
}
