package proxy

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/acks"
	"github.com/hyssopspindle/hyssopspindle/internal/board/endpt"
	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/board/remote"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/route/admit"
	"github.com/hyssopspindle/hyssopspindle/internal/route/pick"
	"github.com/hyssopspindle/hyssopspindle/internal/route/place"
	"github.com/hyssopspindle/hyssopspindle/internal/route/room"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
)

// decision is the next step of a request: an endpoint, another region, waiting, or a
// refusal.
type decision struct {
	endpoint regis.Endpoint
	// region is the region to relay the request to, empty for a local endpoint.
	region string
	// expectedLatency is the expected time to the first token, or to the answer of a
	// plain service.
	expectedLatency time.Duration
	// wait reports whether the request waits at this host before the next decision.
	wait bool
	// prefixCached reports whether the endpoint has the prompt prefix cached.
	prefixCached bool
	// queuedPrefill is the prefill time of the prompts at the endpoint that have no first
	// token yet.
	queuedPrefill time.Duration
	// allFailing reports whether all local endpoints fail their requests.
	allFailing bool
	// slowdown is the endpoint's slowdown factor, 1 for usual speed.
	slowdown float64
	// prefill is the prefill time of the part of the prompt that is not cached.
	prefill time.Duration
	// prefillTokens is the number of tokens in that part.
	prefillTokens int
	// full reports whether local endpoints were left out for want of room.
	full bool
	// unreachable reports whether all local endpoints that may serve the request are out of
	// this host's reach.
	unreachable bool
	// limited reports whether the request was counted towards the rate limit of an endpoint that may be
	// cold.
	limited bool
	refusal *fault.Refusal
}

// minReportedPrefill is the prefill time from which a prompt or a prompt prefix is
// reported to other hosts at once.
const minReportedPrefill = 25 * time.Millisecond

// defaultRetryAfter is the retry delay given to callers if no better one is known.
const defaultRetryAfter = 300 * time.Millisecond

// choose decides on the next step of a request and counts it at the endpoint that it
// chooses. A local endpoint is preferred, unless none accepts the request, all of them
// fail, or another region suits the prompt prefix better or would start sooner.
func (p *Proxy) choose(t *task) decision {
	now := p.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if d, decided := p.choosePlain(now, t); decided {
		return d
	}
	req := p.placementRequest(t)
	if region := p.crossingRegion(now, t, req); region != "" {
		return decision{region: region}
	}
	local, final := p.chooseOwn(now, t, req)
	if final {
		return local
	}
	var remotes []pick.Region
	if needsRemotes(t, local, req) {
		remotes = p.remoteRegions(now, t)
	}
	if region := cmp.Or(p.prefixRegion(t, req, local, remotes), p.soonerRegion(now, t, req, local, remotes)); region != "" {
		return decision{region: region}
	}
	switch {
	case local.allFailing && anyServing(remotes):
	case local.refusal == nil && !local.wait:
		p.recordDispatch(now, t, req, local)
		return local
	case local.refusal == nil && !remoteIsSooner(local, req, remotes):
		return local
	}
	if i := pick.ChooseRegion(remotes, p.rand); i >= 0 {
		return decision{region: remotes[i].Name}
	}
	if local.refusal == nil && !local.wait {
		p.recordDispatch(now, t, req, local)
	}
	return local
}

// chooseOwn decides on a request by the endpoints of the region. It reports whether the decision
// is final, as another host is to serve the request.
func (p *Proxy) chooseOwn(now time.Time, t *task, req pick.Request) (d decision, final bool) {
	if !t.Route.Allows(p.Board.Region) {
		return decision{refusal: noEndpoint()}, false
	}
	if p.Board.CutHosts.SelfCut() {
		// The few endpoints that this host may still reach would get all its requests.
		if p.hasPeer(now, t) {
			return decision{region: p.Board.Region}, true
		}
		if region := p.spreadRegion(now, t); region != "" {
			return decision{region: region}, true
		}
	}
	d = p.chooseLocal(now, t, req, false)
	if !d.unreachable || !t.mayCross {
		return d, d.unreachable
	}
	return p.chooseDetour(now, t, req), true
}

// spreadRegion returns another region for a request, empty if the few local endpoints that are left
// in reach are to serve it. Regions get requests by the slots in reach.
func (p *Proxy) spreadRegion(now time.Time, t *task) string {
	if !t.mayCross {
		return ""
	}
	own := pick.Region{Name: p.Board.Region}
	service := p.service(t.Service)
	list, _ := p.localEndpoints(t, false)
	for _, e := range list {
		st := p.Board.Endpoints.Get(e.ID)
		own.Slots += float64(e.SlotsOf(service))
		own.Load += max(st.Load(now), st.KnownInFlight(now))
	}
	regions := p.remoteRegions(now, t)
	if len(list) > 0 {
		regions = append(regions, own)
	}
	if i := pick.ChooseRegion(regions, p.rand); i >= 0 && regions[i].Name != own.Name {
		return regions[i].Name
	}
	return ""
}

// unreachableRefusal returns the refusal of a request whose endpoints are all out of reach. Only
// that of a host that is cut off does not hold for the other hosts of its region.
func (p *Proxy) unreachableRefusal() *fault.Refusal {
	code := fault.NoEndpoint
	if p.Board.CutHosts.SelfCut() {
		code = fault.NotReady
	}
	return fault.New(code, fault.RanNo, "host reaches no endpoint").WithRetryAfter(defaultRetryAfter)
}

func noEndpoint() *fault.Refusal {
	return fault.New(fault.NoEndpoint, fault.RanNo, "no endpoint accepts the request").WithRetryAfter(defaultRetryAfter)
}

// hasPeer reports whether the request may be relayed to another host of the region.
func (p *Proxy) hasPeer(now time.Time, t *task) bool {
	own := p.Board.Region
	return t.mayCross && !t.tried[regionKeyPrefix+own] && p.hasRelay(now, own)
}

// chooseDetour decides on a request whose local endpoints are all out of this host's reach. They
// have most likely ended, so other regions are preferred to other hosts of this one. As the last
// resort the request is sent to an endpoint all the same.
func (p *Proxy) chooseDetour(now time.Time, t *task, req pick.Request) decision {
	remotes := p.remoteRegions(now, t)
	if i := pick.ChooseRegion(remotes, p.rand); i >= 0 {
		return decision{region: remotes[i].Name}
	}
	if p.hasPeer(now, t) {
		return decision{region: p.Board.Region}
	}
	local := p.chooseLocal(now, t, req, true)
	if local.refusal == nil && !local.wait {
		p.recordDispatch(now, t, req, local)
	}
	return local
}

// needsRemotes reports whether the decision depends on other regions.
func needsRemotes(t *task, local decision, req pick.Request) bool {
	if !t.mayCross {
		return false
	}
	return local.refusal != nil || local.wait || local.allFailing || (!local.prefixCached && hasLongPrefix(req)) ||
		(t.Route.Prompts && local.expectedLatency >= queuedLatency)
}

// anyServing reports whether there is a region whose endpoints are not known to all
// fail.
func anyServing(remotes []pick.Region) bool {
	return slices.ContainsFunc(remotes, func(r pick.Region) bool { return !r.Failing })
}

// remoteIsSooner reports whether another region with free capacity would finish the
// prefill of the prompt prefix before the local endpoint is done with its queued
// prefill.
func remoteIsSooner(local decision, req pick.Request, remotes []pick.Region) bool {
	for i := range remotes {
		if local.full && remotes[i].Utilisation() < maxSpillUtilisation {
			return true
		}
		if remotes[i].RoundTrip+remotes[i].QueuedPrefill+req.PrefixPrefill < local.queuedPrefill && remotes[i].Utilisation() < maxSpillUtilisation {
			return true
		}
	}
	return false
}

// maxSpillUtilisation is the utilisation below which a region is sent requests that
// could also wait for a local endpoint.
const maxSpillUtilisation = 0.7

// recordDispatch counts a request and its prefill time at its endpoint.
func (p *Proxy) recordDispatch(now time.Time, t *task, req pick.Request, d decision) {
	t.tried[d.endpoint.ID] = true
	prefill := time.Duration(0)
	if t.Route.Prompts {
		prefill = d.prefill
	}
	counted := p.Board.Endpoints.Dispatch(now, d.endpoint.ID, d.endpoint.Start, t.Route.Priority, prefill)
	if !t.Route.Prompts || !counted {
		return
	}
	if req.Prefix != 0 && req.PrefixPrefill >= minReportedPrefill {
		p.Prefixes.RecordSent(now, d.endpoint.ID, req.Prefix)
	}
	if d.prefill > minReportedPrefill {
		p.tellPeers()
	}
}

// chooseLocal chooses a local endpoint and decides whether the request is sent there
// now, waits, or is refused. It skips cold endpoints whose rate limit is reached, and, unless
// lastResort is set, endpoints that this host can't reach.
func (p *Proxy) chooseLocal(now time.Time, t *task, req pick.Request, lastResort bool) decision {
	service := p.service(t.Service)
	reachable, skipped := p.localEndpoints(t, lastResort)
	if len(reachable) == 0 && skipped {
		return decision{unreachable: true, refusal: p.unreachableRefusal()}
	}
	found := p.candidates(now, t, req, service, reachable)
	list, endpoints := found.list, found.endpoints
	for len(list) > 0 {
		choice := pick.ChooseEndpoint(req, list, p.rand)
		if choice.Index < 0 {
			break
		}
		e, candidate := endpoints[choice.Index], list[choice.Index]
		d := p.admit(now, t, choice, candidate, t.firstTokenTarget())
		d.endpoint = e
		if d.refusal != nil || d.wait {
			return d
		}
		if service.ColdRate > 0 && !p.admitByRate(now, service, &d) {
			list = append(list[:choice.Index:choice.Index], list[choice.Index+1:]...)
			endpoints = append(endpoints[:choice.Index:choice.Index], endpoints[choice.Index+1:]...)
			continue
		}
		return d
	}
	if found.full {
		return p.waitForRoom(now, t, service, reachable)
	}
	if found.delay > 0 {
		return decision{refusal: fault.New(fault.NoEndpoint, fault.RanNo, "endpoints want no more requests for now").WithRetryAfter(found.delay)}
	}
	return decision{refusal: noEndpoint()}
}

// firstTokenTarget returns the latency target that a request is admitted by, 0 for none: the
// caller already has the first token of a stream that goes on.
func (t *task) firstTokenTarget() time.Duration {
	if t.lastEventID != stream.NoID {
		return 0
	}
	return t.Route.Target
}

// admit decides whether a request is sent to its best endpoint now, waits, or is
// refused, by a latency target.
func (p *Proxy) admit(now time.Time, t *task, choice pick.Choice, best pick.Candidate, target time.Duration) decision {
	d := decision{expectedLatency: choice.Score, prefill: choice.Prefill, allFailing: choice.AllFailing, queuedPrefill: best.QueuedPrefill, prefixCached: best.Cached, slowdown: max(1, best.Slowdown)}
	if !t.Route.Prompts {
		return d
	}
	d.prefillTokens = t.suffixTokens()
	if !best.Cached {
		d.prefillTokens = t.Prompt.Tokens
	}
	d.expectedLatency = time.Duration(d.slowdown * float64(choice.Prefill+best.QueuedPrefill+p.Board.Speeds.BaseTime(t.Service)))
	q := p.serviceQueue(t.Service)
	a := admit.Request{
		Prefill: choice.Prefill, QueuedPrefill: best.QueuedPrefill, ExpectedLatency: d.expectedLatency, Waited: now.Sub(t.Arrived), RoundTrip: t.RelayRoundTrip, FailedTime: t.failedTime,
		Target: target, TimeLeft: t.Deadline.Sub(now), QueueHead: !t.queuedAt.IsZero(),
	}
	if t.queuedAt.IsZero() && choice.Prefill >= admit.LongPrefill {
		a.Backlog = q.prefill / time.Duration(max(1, len(p.Board.Registry.Endpoints(t.Service))))
	}
	v := admit.Decide(a)
	switch v.Kind {
	case admit.Admit:
	case admit.Wait:
		d.wait = true
	case admit.Refuse:
		d.refusal = fault.New(fault.Busy, fault.RanNo, "expected latency %d ms, %d ms since arrival, target %d ms",
			d.expectedLatency.Milliseconds(), a.Waited.Milliseconds(), a.Target.Milliseconds()).WithRetryAfter(v.RetryAfter)
	}
	return d
}

// noService stands for a service that is not in the published rules.
var noService = &rules.Service{}

// service returns the published service of a name, or noService.
func (p *Proxy) service(name string) *rules.Service {
	if r := p.Board.Routes.Rules(); r != nil {
		if s, ok := r.Service(name); ok {
			return s
		}
	}
	return noService
}

// placementRequest returns the properties of a request that its placement depends on.
func (p *Proxy) placementRequest(t *task) pick.Request {
	if !t.Route.Prompts {
		return pick.Request{AnswerTime: p.Board.Speeds.AnswerTime(t.Service)}
	}
	req := pick.Request{SuffixPrefill: p.Board.Speeds.PrefillTime(t.Service, t.suffixTokens())}
	if n := len(t.Prompt.Parts) - 1; n > 0 {
		req.PrefixPrefill = p.Board.Speeds.PrefillTime(t.Service, t.Prompt.Tokens-t.suffixTokens())
		req.Prefix = xxhash.Sum64String(t.Prompt.Parts[n-1].ID)
	}
	return req
}

// suffixTokens returns the number of prompt tokens after the prompt prefix.
func (t *task) suffixTokens() int {
	suffix := t.Prompt.Tokens
	if n := len(t.Prompt.Parts) - 1; n > 0 {
		for _, p := range t.Prompt.Parts[:n] {
			suffix -= p.Tokens
		}
	}
	return max(0, suffix)
}

// prefixRegion returns the other region that the request is best relayed to because of
// its prompt prefix, empty if there is none or the local decision suits the prefix. It
// considers the endpoints that have the prefix cached, or all endpoints if none has.
func (p *Proxy) prefixRegion(t *task, req pick.Request, local decision, remotes []pick.Region) string {
	if local.refusal != nil || local.prefixCached || !hasLongPrefix(req) || len(remotes) == 0 {
		return ""
	}
	now := p.Now()
	var list, cached []pick.Endpoint
	for _, e := range p.Board.Registry.Endpoints(t.Service) {
		if !p.mayServe(t, e) || !t.Route.Allows(e.Region) {
			continue
		}
		m := pick.Endpoint{Name: e.ID, Region: e.Region}
		list = append(list, m)
		if p.Prefixes.Cached(now, e.ID, req.Prefix) {
			cached = append(cached, m)
		}
	}
	if len(cached) > 0 {
		list = cached
	}
	region := pick.PrefixRegion(req.Prefix, list)
	for i := range remotes {
		if remotes[i].Name == region && pick.WorthCrossing(req, &remotes[i]) {
			return region
		}
	}
	return ""
}

// hasLongPrefix reports whether the prefill time of a request's prompt prefix is long
// enough that relaying the request may pay off.
func hasLongPrefix(req pick.Request) bool {
	return req.Prefix != 0 && req.PrefixPrefill >= minRemoteRoundTrip
}

// minRemoteRoundTrip is less than the round-trip time to any other region.
const minRemoteRoundTrip = 5 * time.Millisecond

// localEndpoints returns the local endpoints that may serve the request and were not tried. Those
// that this host can't reach are skipped, unless all is set.
func (p *Proxy) localEndpoints(t *task, all bool) (list []regis.Endpoint, skipped bool) {
	for _, e := range p.Board.Registry.Endpoints(t.Service) {
		if e.Region != p.Board.Region || !p.mayServe(t, e) || t.tried[e.ID] {
			continue
		}
		if !all && !p.Board.Paths.Reachable(e.ID) {
			skipped = true
			continue
		}
		list = append(list, e)
	}
	return list, skipped
}

// shortlist holds the endpoints that may take a request now, with the state that the choice
// depends on.
type shortlist struct {
	list      []pick.Candidate
	endpoints []regis.Endpoint
	// delay is the shortest time until an endpoint that was left out takes a request, 0 if none
	// was or it is not known.
	delay time.Duration
	// full reports whether an endpoint was left out for want of room.
	full bool
}

// candidates returns those of the endpoints that may take the request now. Endpoints are left out
// while they want no requests of this host, have no room for it, or it has used up its share of
// the rate limits that they name.
func (p *Proxy) candidates(now time.Time, t *task, req pick.Request, s *rules.Service, endpoints []regis.Endpoint) shortlist {
	names := make([]string, len(endpoints))
	for i := range endpoints {
		names[i] = endpoints[i].ID
	}
	list := make([]pick.Candidate, len(endpoints))
	ease := p.Board.Frail.Share(now, t.Service)
	// Most of the time no endpoint pauses or limits requests, and the map is not needed.
	var held map[int]heldEndpoint
	p.Board.Endpoints.Each(names, func(i int, st *endpt.State) {
		h := heldState(st, now)
		if ease < 1 {
			h.addRoom(st, now, endpoints[i].SlotsOf(s), ease)
		}
		if h != (heldEndpoint{}) {
			if held == nil {
				held = map[int]heldEndpoint{}
			}
			held[i] = h
		}
		list[i] = pick.Candidate{
			Name: endpoints[i].ID, Slots: endpoints[i].SlotsOf(s),
			Load:          max(st.Load(now), st.KnownInFlight(now)) + st.RefusalLoad(now, endpoints[i].Slots),
			Own:           st.InFlight,
			QueuedPrefill: st.QueuedPrefill(now).Ahead(t.Route.Priority), Slowdown: t.slowdownFactor(st, now), Failing: st.Ejected(now) || st.EjectedByRate(now),
			Cached: req.Prefix != 0 && p.Prefixes.Cached(now, endpoints[i].ID, req.Prefix),
		}
	})
	found := shortlist{list: list, endpoints: slices.Clone(endpoints)}
	for i := len(list) - 1; i >= 0 && len(held) > 0; i-- {
		d, full := p.heldDelay(now, names[i], held[i]), !p.hasRoom(names[i], held[i])
		if d == 0 && !full {
			continue
		}
		found.list, found.endpoints = slices.Delete(found.list, i, i+1), slices.Delete(found.endpoints, i, i+1)
		found.full = found.full || full
		if d > 0 && (found.delay == 0 || d < found.delay) {
			found.delay = d
		}
	}
	return found
}

// heldEndpoint is what an endpoint says of the requests that it wants.
type heldEndpoint struct {
	// pause is the time for which it wants none of this host.
	pause time.Duration
	// perSecond is the rate limit that it names, nil for none.
	perSecond *float64
	// slots is the number of requests that all hosts together may have in flight there, and
	// inFlight that of this host, if it falls over when it has to turn requests away.
	slots    int
	inFlight int
	// turnedAway reports whether it turned a request away lately.
	turnedAway bool
}

// turnAwayHold is how long a brittle endpoint that turned a request away gets no other.
const turnAwayHold = time.Second

// addRoom adds the room at an endpoint that is brittle, or was lately.
func (h *heldEndpoint) addRoom(st *endpt.State, now time.Time, slots int, ease float64) {
	h.slots, h.inFlight = room.Usable(slots, ease), st.InFlight
	h.turnedAway = ease == 0 && st.RefusedWithin(now, turnAwayHold)
}

// hasRoom reports whether an endpoint has room for one more request of this host.
func (p *Proxy) hasRoom(endpoint string, h heldEndpoint) bool {
	return h.slots == 0 || !h.turnedAway && h.inFlight < p.RoomShare(endpoint, h.slots)
}

// roomRetryAfter is the retry delay given to callers for which there is no room.
const roomRetryAfter = 200 * time.Millisecond

// waitForRoom decides on a request for which no endpoint has room: it waits at the host that its
// caller is connected to, which may use all regions, unless it can't be served in time.
func (p *Proxy) waitForRoom(now time.Time, t *task, s *rules.Service, endpoints []regis.Endpoint) decision {
	full := decision{full: true, refusal: fault.New(fault.Busy, fault.RanNo, "endpoints have no room").WithRetryAfter(roomRetryAfter)}
	if !t.mayCross {
		return full
	}
	places := 0
	for _, e := range endpoints {
		places += p.RoomShare(e.ID, room.Usable(e.SlotsOf(s), 0))
	}
	queued := p.serviceQueue(t.Service).Len()
	took := p.Board.Speeds.AnswerTime(t.Service)
	wait := took + time.Duration(float64(queued)/float64(max(1, places))*float64(took))
	if places == 0 || queued >= maxQueued || wait > t.Deadline.Sub(now) {
		full.refusal = full.refusal.WithRetryAfter(max(roomRetryAfter, wait-t.Deadline.Sub(now)))
		return full
	}
	return decision{full: true, wait: true}
}

// heldState returns what an endpoint says of the requests that it wants, zero if nothing.
func heldState(st *endpt.State, now time.Time) heldEndpoint {
	h := heldEndpoint{pause: st.PauseDelay(now)}
	if rate, limited := st.RateLimit(now); limited {
		h.perSecond = &rate
	}
	return h
}

// heldDelay returns the time until this host may send an endpoint a request, 0 for now.
func (p *Proxy) heldDelay(now time.Time, endpoint string, h heldEndpoint) time.Duration {
	if h.perSecond == nil {
		return h.pause
	}
	most, window := p.LimitShare(endpoint, *h.perSecond)
	return max(h.pause, p.Board.Endpoints.LimitDelay(now, endpoint, most, window))
}

// returnDelay returns the time until the first of the local endpoints that may serve the
// request takes one, and false if that is not known of one of them, or there is none.
func (p *Proxy) returnDelay(now time.Time, t *task) (time.Duration, bool) {
	shortest, known := time.Duration(0), false
	for _, e := range p.Board.Registry.Endpoints(t.Service) {
		if e.Region != p.Board.Region || !p.mayServe(t, e) {
			continue
		}
		st := p.Board.Endpoints.Get(e.ID)
		d := p.heldDelay(now, e.ID, heldState(&st, now))
		if d == 0 {
			return 0, false
		}
		if !known || d < shortest {
			shortest, known = d, true
		}
	}
	return shortest, known
}

// withReturn returns a refusal with the time until an endpoint takes a request, if the
// endpoints themselves have said when.
func (p *Proxy) withReturn(t *task, r *fault.Refusal) *fault.Refusal {
	d, known := p.returnDelay(p.Now(), t)
	if !known || (r.Code != fault.NoEndpoint && r.Code != fault.Busy) {
		return r
	}
	if t.report.Region != p.Board.Region {
		d = min(d, r.RetryAfter)
	}
	return r.WithRetryAfter(d)
}

// slowdownThreshold is the ratio of measured to expected latency above which an
// endpoint counts as slow. Lower ratios are normal variation within a batch.
const slowdownThreshold = 2

// slowdownFactor returns the ratio of measured to expected latency of an endpoint, 1
// if it is not slow. For a plain service, the ratio is also returned if it is low.
func (t *task) slowdownFactor(st *endpt.State, now time.Time) float64 {
	if !t.Route.Prompts {
		return st.Speed(now)
	}
	if ratio := float64(st.TimeToFirstToken(now, time.Second)) / float64(time.Second); ratio > slowdownThreshold {
		return ratio
	}
	return 1
}

// acceptsRequests reports whether an endpoint may get new requests: it is not draining
// and its data centre is not evacuated.
func (p *Proxy) acceptsRequests(e regis.Endpoint) bool {
	return !e.Draining && !p.Board.Registry.Evacuated(e.Centre)
}

// remoteRegions returns the other regions that the request may be relayed to.
func (p *Proxy) remoteRegions(now time.Time, t *task) []pick.Region {
	slots := map[string]float64{}
	service := p.service(t.Service)
	for _, e := range p.Board.Registry.Endpoints(t.Service) {
		if e.Region != p.Board.Region && p.mayServe(t, e) && t.Route.Allows(e.Region) && !t.tried[regionKeyPrefix+e.Region] && !t.barred[e.Region] {
			slots[e.Region] += float64(e.SlotsOf(service))
		}
	}
	var list []pick.Region
	for _, name := range slices.Sorted(maps.Keys(slots)) {
		if !p.hasRelay(now, name) {
			continue
		}
		key := remote.Key{Region: name, Service: t.Service}
		v := p.Board.Remotes.View(key, now)
		r := pick.Region{
			Name: name, Slots: slots[name], RoundTrip: p.Board.Remotes.RoundTrip(name), QueuedPrefill: p.Board.Remotes.QueuedPrefill(now, key, t.Route.Priority),
		}
		if v.Known {
			r.Load, r.Failing = v.Busy, v.Slots == 0
		}
		if p.Board.Remotes.Silent(now, name) {
			// A region that does not answer counts as full, so it is the last resort.
			r.Load = r.Slots
		}
		list = append(list, r)
	}
	return list
}

// hasRelay reports whether a region has another host that requests can be relayed to.
func (p *Proxy) hasRelay(now time.Time, region string) bool {
	if !p.Board.CutHosts.AnyCut(now) {
		return p.Board.Members.CountUsable(region) > 0
	}
	return len(p.Board.Members.RandomUsable(1, func(m member.Member) bool { return m.Region == region && !p.isCut(now, m) })) > 0
}

// isCut reports whether a host has reported that it reaches no endpoint of its region.
func (p *Proxy) isCut(now time.Time, m member.Member) bool {
	return p.Board.CutHosts.Cut(now, m.Name, m.Incarnation)
}

// regionKeyPrefix distinguishes regions from endpoints and hosts in task.tried.
const regionKeyPrefix = "region/"

// maxRelayHosts is the number of hosts in each other region that this host relays
// to. The limit keeps the number of connections linear in the size of the fleet.
const maxRelayHosts = 4

// RelayHosts returns the hosts of a region that this host relays to: the first of its
// entry hosts in an order that depends on this host's name, which spreads the load of all
// hosts over them. Entry hosts know the load of their region best.
func (p *Proxy) RelayHosts(region string) []member.Member {
	list := slices.Clone(p.Board.Duties.Plan().Entries[region])
	hash := xxhash.Sum64String(p.Board.Name)
	slices.SortFunc(list, func(a, b member.Member) int {
		return cmp.Compare(place.Weight(hash, b.Name), place.Weight(hash, a.Name))
	})
	return list[:min(maxRelayHosts, len(list))]
}

// relayHost chooses a host of a region that was not tried, is not silent and reaches endpoints: of two random
// relay hosts, the one with fewer in-flight requests. If there is none among the relay
// hosts, it returns any other usable host.
func (p *Proxy) relayHost(t *task, region string) (member.Member, bool) {
	now, roundTrip := p.Now(), p.Board.Remotes.RoundTrip(region)
	skip := func(m member.Member) bool {
		return t.tried[m.Name] || p.isCut(now, m) || p.Board.Acks.Silent(now, acks.Peer{Host: m.Name, Incarnation: m.Incarnation}, roundTrip)
	}
	list := slices.DeleteFunc(p.RelayHosts(region), skip)
	if len(list) == 0 {
		list = p.Board.Members.RandomUsable(1, func(m member.Member) bool { return m.Region == region && !skip(m) })
	}
	if len(list) == 0 {
		return member.Member{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	a, b := list[p.rand.IntN(len(list))], list[p.rand.IntN(len(list))]
	if b.InFlight < a.InFlight {
		return b, true
	}
	return a, true
}
