package proxy

import (
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/route/admit"
	"github.com/hyssopspindle/hyssopspindle/internal/route/pick"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
)

// queuedLatency is the expected time to first token from which other regions are considered for a
// prompt. Below it the round trip costs what a shorter queue elsewhere would save.
const queuedLatency = 150 * time.Millisecond

// crossingRegion returns the region that a short prompt goes to because the slots of the local
// engines are busy, empty if it stays. It holds for the first attempt, as with plain services.
func (p *Proxy) crossingRegion(now time.Time, t *task, req pick.Request) string {
	if !t.Route.Prompts || !t.mayCross || t.report.Attempts > 0 || t.lastEventID != stream.NoID || !t.Route.Allows(p.Board.Region) ||
		p.Board.CutHosts.SelfCut() || p.Board.Frail.Share(now, t.Service) < 1 || req.PrefixPrefill+req.SuffixPrefill >= admit.LongPrefill {
		return ""
	}
	r := p.spillRequest(now, t)
	if r.Slots == 0 {
		return ""
	}
	i := p.spills.Crossing(now, r)
	if i < 0 {
		return ""
	}
	p.Meter.CountPromptCrossing(t.Service, meter.BusySlots)
	return r.Regions[i].Name
}

// soonerRegion returns the region in which a prompt starts well before it would at the chosen local
// endpoint, empty if there is none.
func (p *Proxy) soonerRegion(now time.Time, t *task, req pick.Request, local decision, remotes []pick.Region) string {
	if !t.Route.Prompts || local.refusal != nil || local.expectedLatency < queuedLatency {
		return ""
	}
	if hasLongPrefix(req) {
		p.markCached(now, t, req.Prefix, remotes)
	}
	i := pick.SoonerRegion(req, local.expectedLatency, p.Board.Speeds.BaseTime(t.Service), local.prefixCached, remotes)
	if i < 0 {
		return ""
	}
	p.Meter.CountPromptCrossing(t.Service, meter.SoonerStart)
	return remotes[i].Name
}

// markCached marks the regions in which an endpoint that may serve the request has its prefix
// cached.
func (p *Proxy) markCached(now time.Time, t *task, prefix uint64, regions []pick.Region) {
	for _, e := range p.Board.Registry.Endpoints(t.Service) {
		if e.Region == p.Board.Region || !p.mayServe(t, e) || !p.Prefixes.Cached(now, e.ID, prefix) {
			continue
		}
		for i := range regions {
			regions[i].Cached = regions[i].Cached || regions[i].Name == e.Region
		}
	}
}
