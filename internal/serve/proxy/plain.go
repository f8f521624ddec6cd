package proxy

import (
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/endpt"
	"github.com/hyssopspindle/hyssopspindle/internal/board/remote"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/route/spill"
	"github.com/hyssopspindle/hyssopspindle/internal/route/split"
)

// freshReport is the age up to which an endpoint's report counts in the decision where to send a
// request of a plain service. Their work takes much less, and an old report may be that of a burst.
const freshReport = 500 * time.Millisecond

// spillable reports whether a request may go to another region or wait because the local endpoints
// are busy. It holds for the first attempt at a plain service: a retry goes wherever it was not
// tried. Brittle services have a bound of their own.
func (p *Proxy) spillable(now time.Time, t *task) bool {
	return !t.Route.Prompts && t.Route.Kind != rules.Stream && t.mayCross && t.report.Attempts == 0 &&
		t.Route.Allows(p.Board.Region) && !p.Board.CutHosts.SelfCut() &&
		p.service(t.Service).Engine == nil && p.Board.Frail.Share(now, t.Service) == 1
}

// choosePlain decides on a request of a plain service. It reports false if the request is to be
// sent to a local endpoint, or placed as any other. The caller must hold p.mu.
func (p *Proxy) choosePlain(now time.Time, t *task) (decision, bool) {
	if !p.spillable(now, t) {
		return decision{}, false
	}
	r := p.spillRequest(now, t)
	if r.Slots == 0 {
		return decision{}, false
	}
	v := p.spills.Decide(now, r)
	if v.Kind != spill.Wait || !r.Queued {
		p.Meter.CountPlacement(t.Service, v.Kind.String())
	}
	switch v.Kind {
	case spill.Send:
	case spill.Cross:
		return decision{region: r.Regions[v.Region].Name}, true
	case spill.Wait:
		return decision{wait: true}, true
	case spill.Refuse:
		return decision{refusal: fault.New(fault.Busy, fault.RanNo, "no endpoint would answer in time").WithRetryAfter(v.RetryAfter)}, true
	}
	return decision{}, false
}

// spillRequest returns what the decision on a request of a plain service depends on.
func (p *Proxy) spillRequest(now time.Time, t *task) spill.Request {
	r := spill.Request{
		Service: t.Service, Work: p.Board.Speeds.AnswerTime(t.Service), Ahead: p.serviceQueue(t.Service).Len(), Queued: !t.queuedAt.IsZero(),
		Waited: now.Sub(t.Arrived), Target: t.firstTokenTarget(), TimeLeft: t.Deadline.Sub(now),
	}
	r.QueueFull = r.Ahead >= maxQueued
	if p.addLocalLoad(now, t, &r); r.Slots == 0 {
		return r
	}
	remotes := p.remoteRegions(now, t)
	for i := range remotes {
		key := remote.Key{Region: remotes[i].Name, Service: t.Service}
		r.Regions = append(r.Regions, spill.Region{
			Name: remotes[i].Name, Slots: remotes[i].Slots, Load: remotes[i].Load, RoundTrip: remotes[i].RoundTrip,
			// A region that has announced no load may have no room at all.
			Closed: remotes[i].Failing || !p.Board.Remotes.View(key, now).Known || p.Board.Remotes.Silent(now, key.Region),
		})
	}
	return r
}

// addLocalLoad adds the slots and the load of the local endpoints. Those that fail, or take fewer
// requests than they have slots as they are cold or said so, are left out.
func (p *Proxy) addLocalLoad(now time.Time, t *task, r *spill.Request) {
	service := p.service(t.Service)
	reachable, _ := p.localEndpoints(t, false)
	names := make([]string, len(reachable))
	for i := range reachable {
		names[i] = reachable[i].ID
	}
	cutOff := p.Split(now).Side() != split.Whole
	p.Board.Endpoints.Each(names, func(i int, st *endpt.State) {
		held := heldState(st, now) != heldEndpoint{}
		if held || st.Ejected(now) || st.EjectedByRate(now) || (service.ColdRate > 0 && (cutOff || reachable[i].Cold(now))) {
			return
		}
		slots := reachable[i].Slots
		if slots == 0 {
			// The endpoint does not report how many requests it takes.
			return
		}
		announced := st.KnownInFlight(now)
		reported := announced
		if now.Sub(st.Report.At) < freshReport {
			reported = st.Load(now)
		}
		r.Slots += float64(slots)
		r.Reported += reported
		r.Announced += announced
		r.InFlight += st.InFlight
		r.Places += p.RoomShare(names[i], slots)
		r.Free = r.Free || (max(reported, announced) < float64(slots) && !st.RefusedWithin(now, r.Work))
	})
}
