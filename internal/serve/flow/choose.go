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

// decision is a place's decision with the names that it stands for.
type decision struct {
	kind     place.Kind
	endpoint invent.Endpoint
	region   string
	expect   time.Duration
	reason   place.Reason
	retry    time.Duration
	warm     bool
	// queue is the expected wait for a slot at the endpoint.
	queue time.Duration
}

// scratch is the memory of one decision, used again by the next.
type scratch struct {
	names      []string
	endpoints  []invent.Endpoint
	candidates []place.Candidate
	remotes    []place.Remote
}

// sameCentre and otherCentre are the usual one-way times within a region.
const (
	sameCentre  = 100 * time.Microsecond
	otherCentre = time.Millisecond
)

// choose decides where the request goes next and counts it there.
func (f *Flow) choose(t *trip) decision {
	now := f.now()
	s, _ := f.pool.Get().(*scratch)
	defer f.pool.Put(s)
	f.mu.Lock()
	defer f.mu.Unlock()
	ask := f.ask(now, t)
	f.fill(now, t, s)
	d := place.Decide(ask, s.candidates, s.remotes, f.rand)
	out := decision{kind: d.Kind, expect: d.Expect, reason: d.Reason, retry: d.Retry, warm: d.Warm, queue: d.Queue}
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

func (f *Flow) countCrossing(now time.Time, t *trip, region string, spill bool) {
	t.report.Crossing = meter.Needed
	spilledTo := ""
	if spill {
		t.report.Crossing = meter.Spilled
		spilledTo = region
	}
	f.board.Zones.Count(now, t.Service.Name, spilledTo)
}

func (f *Flow) ask(now time.Time, t *trip) place.Ask {
	queued := f.board.Line(t.Service).Ahead(now, t.Service.Priority, t.Caller.Name)
	if !t.joined.IsZero() {
		// It was woken as the first in line.
		queued = 0
	}
	return place.Ask{
		Service: t.Service, Prefix: t.Prefix, Left: t.Deadline.Sub(now),
		Local:  invent.Allowed(t.Caller, t.Service, f.board.Region),
		Cross:  t.cross,
		Queued: queued,
		Turn:   f.turn.Add(1),
	}
}

// fill describes the places that the request may go to.
func (f *Flow) fill(now time.Time, t *trip, s *scratch) {
	inv := t.inv
	s.names, s.endpoints = s.names[:0], s.endpoints[:0]
	s.candidates, s.remotes = s.candidates[:0], s.remotes[:0]
	for _, e := range inv.EndpointsOf(t.Service.Name) {
		if inv.RegionOf(e.Centre) == f.board.Region {
			s.names = append(s.names, e.Name)
			s.endpoints = append(s.endpoints, e)
		}
	}
	first, work := t.usual()
	f.board.Endpoints.Each(s.names, func(i int, st *endpt.State) {
		e := s.endpoints[i]
		s.candidates = append(s.candidates, place.Candidate{
			Name: e.Name, Slots: e.Slots, Load: st.Load(now) + st.Excess(now, e.Slots),
			Work: st.Work(now, work), First: st.First(now, first), Ramp: st.Ramp(now),
			Network: f.network(e.Centre), Tried: t.tried[e.Name],
			Ejected: st.Ejected(now), Failing: st.Report.Failing,
			Leaving: e.Leaving || st.Leaving(),
		})
	})
	for i := range s.candidates {
		c := &s.candidates[i]
		c.Leaving = c.Leaving || f.board.Leaving(c.Name, now)
	}
	keepFloor(s.candidates)
	if t.cross {
		f.fillRemotes(now, t, s)
	}
}

func (f *Flow) network(centre string) time.Duration {
	if centre == f.board.Centre {
		return sameCentre
	}
	return otherCentre
}

// keepFloor lets ejected endpoints back in where too many are out: half of them
// failing their requests at once, while they report their load, points to
// another cause.
func keepFloor(list []place.Candidate) {
	out := 0
	for i := range list {
		if list[i].Ejected && !list[i].Failing {
			out++
		}
	}
	for i := range list {
		if out <= eject.Most(len(list)) {
			return
		}
		if list[i].Ejected && !list[i].Failing {
			list[i].Ejected = false
			out--
		}
	}
}

func (f *Flow) fillRemotes(now time.Time, t *trip, s *scratch) {
	inv := t.inv
	for _, r := range inv.Regions() {
		if r.Name == f.board.Region || !invent.Allowed(t.Caller, t.Service, r.Name) {
			continue
		}
		l := inv.Link(f.board.Region, r.Name)
		v := f.board.Zones.View(zones.Key{Region: r.Name, Service: t.Service.Name}, now)
		s.remotes = append(s.remotes, place.Remote{
			Region: r.Name, Slots: v.Slots, Busy: v.Busy, Known: v.Known, Ramp: v.Ramp,
			Hosts:   f.board.Members.Usable(r.Name) > 0 && runs(inv, t.Service.Name, r.Name),
			Silent:  f.board.Zones.Silent(now, r.Name),
			Latency: time.Duration(l.LatencyMS * float64(time.Millisecond)), Cost: l.Cost,
			Open:  f.board.Zones.Open(now, t.Service.Name, r.Name, l.Spill),
			Tried: t.tried[regionMark+r.Name],
		})
	}
}

// regionMark tells regions from endpoints and hosts in the set of what was tried.
const regionMark = "region/"

// runs reports whether a service has an endpoint in a region.
func runs(inv *invent.Inventory, service, region string) bool {
	for _, e := range inv.EndpointsOf(service) {
		if inv.RegionOf(e.Centre) == region {
			return true
		}
	}
	return false
}

// pickHost chooses a host of a region that was not tried: of two at random, the
// one with fewer requests in flight. Suspected hosts come last, and then those
// that did not answer, as they may do so on a new connection.
func (f *Flow) pickHost(t *trip, region string) (member.Member, bool) {
	in := func(m member.Member) bool {
		h, _ := t.inv.Host(m.Name)
		return m.Region == region && !h.Leaving
	}
	var list []member.Member
	for _, match := range []func(member.Member) bool{
		func(m member.Member) bool { return in(m) && !m.Absent && !t.tried[m.Name] && m.Sound() },
		func(m member.Member) bool { return in(m) && !t.tried[m.Name] },
		func(m member.Member) bool { return in(m) && m.Sound() },
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
