package carry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/endpt"
	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/board/zones"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/route/admit"
	"github.com/hyssopspindle/hyssopspindle/internal/route/pick"
	"github.com/hyssopspindle/hyssopspindle/internal/route/place"
)

// decision is where the request goes next.
type decision struct {
	endpoint regis.Endpoint
	// region is set where another region is to carry it out.
	region string
	expect time.Duration
	// wait says that the request waits at this host and looks again.
	wait bool
	// held says that the endpoint keeps the prompt's beginning, pending is the time
	// of unread prompts there.
	held    bool
	pending time.Duration
	// last says that all endpoints here fail their requests.
	last bool
	// slow is how many times longer than usual the endpoint is expected to take.
	slow float64
	// read is the time to read what the endpoint is not expected to keep.
	read time.Duration
	// known is the number of tokens that the endpoint is expected to read.
	known   int
	refusal *fault.Refusal
}

// worthTelling is the time of reading from which other hosts are told at once.
const worthTelling = 25 * time.Millisecond

// comeBack is when a caller may come back where nothing is known to be better.
const comeBack = 300 * time.Millisecond

// choose decides where the request goes next and counts it there.
func (c *Carrier) choose(t *trip) decision {
	now := c.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	ask := c.ask(t)
	here := decision{refusal: fault.New(fault.NoEndpoint, fault.RanNo, "no endpoint takes the request").WithRetryAfter(comeBack)}
	if t.Route.Allows(c.Board.Region) {
		here = c.local(now, t, ask)
	}
	var others []pick.Region
	if elsewhere(t, here, ask) {
		others = c.others(now, t)
	}
	if here.refusal == nil && !here.held {
		if name := c.keeper(t, ask, others); name != "" {
			return decision{region: name}
		}
	}
	switch {
	case here.last && sound(others):
	case here.refusal == nil && !here.wait:
		c.take(now, t, ask, here)
		return here
	case here.refusal == nil && !sooner(here, ask, others):
		return here
	}
	if i := pick.There(others, c.rand); i >= 0 {
		return decision{region: others[i].Name}
	}
	if here.refusal == nil && !here.wait {
		c.take(now, t, ask, here)
	}
	return here
}

// elsewhere reports whether it matters what other regions offer.
func elsewhere(t *trip, here decision, ask pick.Ask) bool {
	if !t.cross {
		return false
	}
	return here.refusal != nil || here.wait || here.last || (!here.held && worthKeeping(ask))
}

// sound reports whether a region is not known to have failing endpoints only.
func sound(others []pick.Region) bool {
	return slices.ContainsFunc(others, func(r pick.Region) bool { return !r.Failing })
}

// sooner reports whether another region begins with a request before it has
// waited here.
func sooner(here decision, ask pick.Ask, others []pick.Region) bool {
	for i := range others {
		if others[i].Away+others[i].Wait+ask.Shared < here.pending && others[i].Filled() < roomy {
			return true
		}
	}
	return false
}

// roomy is the share of its slots in use up to which a region takes requests that
// could wait here.
const roomy = 0.7

// take counts a request at its endpoint.
func (c *Carrier) take(now time.Time, t *trip, ask pick.Ask, d decision) {
	t.tried[d.endpoint.ID] = true
	c.Board.Endpoints.Start(now, d.endpoint.ID)
	if !t.Route.Prompts {
		return
	}
	c.Board.Endpoints.Pend(d.endpoint.ID, t.Route.Priority, d.read)
	if ask.Prefix != 0 && ask.Shared >= worthTelling {
		c.Keeps.Send(now, d.endpoint.ID, ask.Prefix)
	}
	if d.read > worthTelling && c.Busy != nil {
		c.Busy()
	}
}

// local chooses among this region's endpoints and decides whether the request
// goes there now.
func (c *Carrier) local(now time.Time, t *trip, ask pick.Ask) decision {
	service := c.service(t.Service)
	list, found := c.candidates(now, t, ask, service)
	for len(list) > 0 {
		choice := pick.Here(ask, list, c.rand)
		if choice.Index < 0 {
			break
		}
		e, candidate := found[choice.Index], list[choice.Index]
		d := c.admit(now, t, choice, candidate)
		d.endpoint = e
		if d.refusal != nil || d.wait {
			return d
		}
		if now.Before(e.ColdUntil) && service.ColdRate > 0 &&
			!c.Board.Endpoints.AdmitCold(now, e.ID, c.ColdShare(service, e.ID)) {
			list = append(list[:choice.Index:choice.Index], list[choice.Index+1:]...)
			found = append(found[:choice.Index:choice.Index], found[choice.Index+1:]...)
			continue
		}
		return d
	}
	return decision{refusal: fault.New(fault.NoEndpoint, fault.RanNo, "no endpoint takes the request").WithRetryAfter(comeBack)}
}

// admit decides whether a request goes to its best endpoint now.
func (c *Carrier) admit(now time.Time, t *trip, choice pick.Choice, best pick.Candidate) decision {
	d := decision{expect: choice.Expect, read: choice.Read, last: choice.Last, pending: best.Pending, held: best.Held, slow: max(1, best.Slow)}
	if !t.Route.Prompts {
		return d
	}
	d.known = t.own()
	if !best.Held {
		d.known = t.Prompt.Tokens
	}
	d.expect = time.Duration(d.slow * float64(choice.Read+best.Pending+c.Board.Speeds.Base(t.Service)))
	l := c.line(t.Service)
	a := admit.Ask{
		Read: choice.Read, Pending: best.Pending, Expect: d.expect, Waited: now.Sub(t.Arrived), Away: t.Away, Lost: t.lost,
		Target: t.Route.Target, Left: t.Deadline.Sub(now), First: !t.joined.IsZero(),
	}
	if t.joined.IsZero() && choice.Read >= admit.Long {
		a.Backlog = l.read / time.Duration(max(1, len(c.Board.Registry.Of(t.Service))))
	}
	v := admit.Decide(a)
	switch v.Kind {
	case admit.Go:
	case admit.Wait:
		d.wait = true
	case admit.Refuse:
		d.refusal = fault.New(fault.Busy, fault.RanNo, "expected %d ms after %d ms, promised %d ms",
			d.expect.Milliseconds(), a.Waited.Milliseconds(), a.Target.Milliseconds()).WithRetryAfter(v.Back)
	}
	return d
}

var noService = &rules.Service{}

func (c *Carrier) service(name string) *rules.Service {
	if r := c.Board.Routes.Rules(); r != nil {
		if s, ok := r.Service(name); ok {
			return s
		}
	}
	return noService
}

// ask describes the request to the decision.
func (c *Carrier) ask(t *trip) pick.Ask {
	if !t.Route.Prompts {
		return pick.Ask{Work: c.Board.Speeds.Work(t.Service)}
	}
	ask := pick.Ask{Own: c.Board.Speeds.Read(t.Service, t.own())}
	if n := len(t.Prompt.Parts) - 1; n > 0 {
		ask.Shared = c.Board.Speeds.Read(t.Service, t.Prompt.Tokens-t.own())
		ask.Prefix = xxhash.Sum64String(t.Prompt.Parts[n-1].ID)
	}
	return ask
}

// own counts the prompt's tokens beyond its shared beginning.
func (t *trip) own() int {
	own := t.Prompt.Tokens
	if n := len(t.Prompt.Parts) - 1; n > 0 {
		for _, p := range t.Prompt.Parts[:n] {
			own -= p.Tokens
		}
	}
	return max(0, own)
}

// keeper returns the other region that the request is best sent to, as its shared
// beginning is kept there; empty if there is none.
func (c *Carrier) keeper(t *trip, ask pick.Ask, others []pick.Region) string {
	if !worthKeeping(ask) || len(others) == 0 {
		return ""
	}
	now := c.Now()
	var list, holding []pick.Member
	for _, e := range c.Board.Registry.Of(t.Service) {
		if !c.open(e) || !t.Route.Allows(e.Region) {
			continue
		}
		m := pick.Member{Name: e.ID, Region: e.Region}
		list = append(list, m)
		if c.Keeps.Holds(now, e.ID, ask.Prefix) {
			holding = append(holding, m)
		}
	}
	if len(holding) > 0 {
		list = holding
	}
	name := pick.Keeper(ask.Prefix, list)
	for i := range others {
		if others[i].Name == name && pick.WorthCrossing(ask, &others[i]) {
			return name
		}
	}
	return ""
}

// worthKeeping reports whether a request has a shared beginning that may be worth
// crossing for.
func worthKeeping(ask pick.Ask) bool { return ask.Prefix != 0 && ask.Shared >= leastAway }

// leastAway is less than the time to any other region and back.
const leastAway = 5 * time.Millisecond

// candidates returns the endpoints here that may take the request.
func (c *Carrier) candidates(now time.Time, t *trip, ask pick.Ask, s *rules.Service) ([]pick.Candidate, []regis.Endpoint) {
	var found []regis.Endpoint
	for _, e := range c.Board.Registry.Of(t.Service) {
		if e.Region == c.Board.Region && c.open(e) && !t.tried[e.ID] {
			found = append(found, e)
		}
	}
	names := make([]string, len(found))
	for i := range found {
		names[i] = found[i].ID
	}
	list := make([]pick.Candidate, len(found))
	c.Board.Endpoints.Each(names, func(i int, st *endpt.State) {
		list[i] = pick.Candidate{
			Name: found[i].ID, Slots: slotsOf(found[i], s),
			Load:    max(st.Load(now), st.Known(now)) + st.Excess(now, found[i].Slots),
			Pending: st.Pending(now).For(t.Route.Priority), Slow: slowness(st, now), Out: st.Ejected(now) || st.Shunned(now),
			Held: ask.Prefix != 0 && c.Keeps.Holds(now, found[i].ID, ask.Prefix),
		}
	})
	return list, found
}

// slowFrom is how many times longer than expected answers take from which an
// endpoint counts as slow: less is the spread of a batch.
const slowFrom = 2

// slowness is how many times longer than expected an endpoint's answers take, 1
// for one that is not slow.
func slowness(st *endpt.State, now time.Time) float64 {
	if ratio := float64(st.First(now, time.Second)) / float64(time.Second); ratio > slowFrom {
		return ratio
	}
	return 1
}

func slotsOf(e regis.Endpoint, s *rules.Service) int {
	if e.Slots == 0 && s.Engine != nil {
		return s.Engine.Slots
	}
	return max(1, e.Slots)
}

// open reports whether an endpoint may get new requests.
func (c *Carrier) open(e regis.Endpoint) bool {
	return !e.Draining && !c.Board.Registry.Evacuated(e.Centre)
}

// others returns the regions that the request may be sent to.
func (c *Carrier) others(now time.Time, t *trip) []pick.Region {
	slots := map[string]float64{}
	service := c.service(t.Service)
	for _, e := range c.Board.Registry.Of(t.Service) {
		if e.Region != c.Board.Region && c.open(e) && t.Route.Allows(e.Region) && !t.tried[regionMark+e.Region] {
			slots[e.Region] += float64(slotsOf(e, service))
		}
	}
	var list []pick.Region
	for _, name := range slices.Sorted(maps.Keys(slots)) {
		if c.Board.Members.Usable(name) == 0 {
			continue
		}
		key := zones.Key{Region: name, Service: t.Service}
		v := c.Board.Zones.View(key, now)
		r := pick.Region{
			Name: name, Slots: slots[name], Away: c.Board.Zones.Away(name), Wait: c.Board.Zones.Wait(now, key, t.Route.Priority),
		}
		if v.Known {
			r.Load, r.Failing = v.Busy, v.Slots == 0
		}
		if c.Board.Zones.Silent(now, name) {
			// It is the last resort only.
			r.Load = r.Slots
		}
		list = append(list, r)
	}
	return list
}

// regionMark tells regions from endpoints and hosts in the set of what was tried.
const regionMark = "region/"

// mostRelays is the number of hosts of another region that this one relays to,
// so that the connections between hosts grow with the fleet and not its square.
const mostRelays = 4

// Relays returns the hosts of a region that this one relays to: the first sound
// ones in an order of this host's own, which spreads hosts over the region.
func (c *Carrier) Relays(region string) []member.Member {
	var list []member.Member
	for _, m := range c.Board.Members.Members() {
		if m.Region == region && m.Sound() {
			list = append(list, m)
		}
	}
	own := xxhash.Sum64String(c.Board.Name)
	slices.SortFunc(list, func(a, b member.Member) int {
		return cmp.Compare(place.Weight(own, b.Name), place.Weight(own, a.Name))
	})
	return list[:min(mostRelays, len(list))]
}

// host chooses a host of a region that was not tried: of two relays at random,
// the one with fewer requests in flight; where none is left, any usable one.
func (c *Carrier) host(t *trip, region string) (member.Member, bool) {
	list := slices.DeleteFunc(c.Relays(region), func(m member.Member) bool { return t.tried[m.Name] })
	if len(list) == 0 {
		list = c.Board.Members.Random(1, func(m member.Member) bool { return m.Region == region && !t.tried[m.Name] })
	}
	if len(list) == 0 {
		return member.Member{}, false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	a, b := list[c.rand.IntN(len(list))], list[c.rand.IntN(len(list))]
	if b.Open < a.Open {
		return b, true
	}
	return a, true
}
