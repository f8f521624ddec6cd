package spill_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/endpt"
	"github.com/hyssopspindle/hyssopspindle/internal/board/remote"
	"github.com/hyssopspindle/hyssopspindle/internal/route/pick"
	"github.com/hyssopspindle/hyssopspindle/internal/route/spill"
)

const (
	ms          = time.Millisecond
	regionCount = 3
	hostCount   = 10
	slots       = 6
	work        = 30 * ms
	oneWay      = 55 * ms
	target      = 400 * ms
	deadline    = 2500 * ms
	maxAttempts = 5
	hop         = ms
)

var (
	start       = time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	regionNames = []string{"r0", "r1", "r2"}
)

// event is a step of the play at a time.
type event struct {
	at  time.Time
	run func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// host is an entry host with its own views.
type host struct {
	region    int
	endpoints *endpt.Table
	remotes   *remote.Table
	spill     *spill.Table
	queued    int
	inFlight  int
	// reports holds the reports that the host received, by endpoint.
	reports map[string][]endpt.Report
}

// play is a fleet with its callers, without a network.
type play struct {
	rnd *rand.Rand
	now time.Time
	// machines are the endpoints of each region.
	machines []string
	events   events
	hosts    [regionCount][]*host
	running  [regionCount]map[string]int
	// decides reports whether hosts use the decision under test; otherwise a local endpoint gets
	// every request, and other regions those that local endpoints rejected.
	decides bool
	// rate is the number of requests a second of a region's callers.
	rate func(region int, at time.Duration) float64
	// pace returns how long work takes at an endpoint, nil for its usual time.
	pace func(machine string, at time.Duration) float64
	// speed is the part of the pace that an endpoint does not report.
	speed map[string]float64
	// choose returns the index of the endpoint for a request.
	choose  func(h *host, list []pick.Candidate) int
	outcome outcome
	// retries are those that the budget of all hosts allowed.
	retries int
}

// outcome counts requests, and rejections by endpoints.
type outcome struct {
	requests, inTime, rejected, crossed, refused int
	// took is the time of all answers in time, slow the number of those that took over 80 ms.
	took time.Duration
	slow int
	// backward counts the requests that crossed from a region whose peak is over for a second.
	backward int
}

// request is a caller's request, or its copy at another region.
type request struct {
	host     *host
	arrived  time.Time
	attempts int
	tried    map[string]bool
	queued   bool
	relayed  bool
	finish   func(served bool)
}

// newPlay returns a play in which each host places requests as the gateway does.
func newPlay(seed uint64, machines ...string) *play {
	p := &play{rnd: rand.New(rand.NewPCG(seed, 2)), machines: machines}
	p.choose = func(_ *host, list []pick.Candidate) int {
		return pick.ChooseEndpoint(pick.Request{AnswerTime: work}, list, p.rnd).Index
	}
	return p
}

func (p *play) in(d time.Duration, run func()) {
	heap.Push(&p.events, event{p.now.Add(d), run})
}

// run plays the load for a time.
func (p *play) run(length time.Duration) outcome {
	p.now = start
	for r := range regionCount {
		p.running[r] = map[string]int{}
		for range hostCount {
			h := &host{region: r, endpoints: endpt.NewTable(), remotes: remote.NewTable(), spill: spill.New(p.rnd), reports: map[string][]endpt.Report{}}
			h.endpoints.Sync(start, p.machines)
			p.hosts[r] = append(p.hosts[r], h)
			p.in(p.random(250*ms), func() { p.announce(h) })
			p.in(p.random(500*ms), func() { p.announceRegion(h) })
		}
		if p.rate(r, 0) > 0 {
			p.in(0, func() { p.arrive(r) })
		}
	}
	for len(p.events) > 0 {
		e := heap.Pop(&p.events).(event)
		if e.at.Sub(start) > length {
			break
		}
		p.now = e.at
		e.run()
	}
	return p.outcome
}

func (p *play) random(d time.Duration) time.Duration {
	return time.Duration(p.rnd.Int64N(int64(d)))
}

// announce sends the loads of one host to the others of its region.
func (p *play) announce(h *host) {
	list, name := h.endpoints.HostLoads(), p.name(h)
	p.in(hop, func() {
		for _, other := range p.hosts[h.region] {
			if other != h {
				other.endpoints.SetPeerLoads(p.now, name, list)
			}
		}
	})
	p.in(250*ms, func() { p.announce(h) })
}

func (p *play) name(h *host) string {
	for i, other := range p.hosts[h.region] {
		if other == h {
			return string(rune('a' + i))
		}
	}
	return ""
}

// announceRegion sends a host the load of each other region as one of its hosts sees it.
func (p *play) announceRegion(h *host) {
	for r := range regionCount {
		if r == h.region {
			continue
		}
		from, busy := p.hosts[r][p.rnd.IntN(hostCount)], 0.0
		for _, m := range p.machines {
			st := from.endpoints.Get(m)
			busy += math.Floor(max(st.Load(p.now), st.KnownInFlight(p.now)))
		}
		sent := p.now
		p.in(oneWay+p.random(100*ms), func() {
			h.remotes.PutLoad(remote.Key{Region: regionNames[r]}, 2*slots, busy, sent, p.now)
		})
	}
	p.in(500*ms, func() { p.announceRegion(h) })
}

func (p *play) arrive(region int) {
	rate := p.rate(region, p.now.Sub(start))
	p.in(time.Duration(p.rnd.ExpFloat64()/rate*float64(time.Second)), func() { p.arrive(region) })
	p.outcome.requests++
	r := &request{host: p.hosts[region][p.rnd.IntN(hostCount)], arrived: p.now, tried: map[string]bool{}}
	r.finish = func(served bool) {
		switch {
		case !served:
			p.outcome.refused++
		case p.now.Sub(r.arrived) <= target:
			p.outcome.inTime++
			p.outcome.took += p.now.Sub(r.arrived)
			if p.now.Sub(r.arrived) > 80*ms {
				p.outcome.slow++
			}
		}
	}
	p.decide(r)
}

// decide makes the next attempt of a request.
func (p *play) decide(r *request) {
	h := r.host
	if r.attempts >= maxAttempts || p.now.Sub(r.arrived) > deadline {
		r.finish(false)
		return
	}
	list, free, loads := p.candidates(r)
	if r.relayed {
		if len(list) > 0 {
			p.attempt(r, list[p.choose(h, list)].Name)
		} else {
			r.finish(false)
		}
		return
	}
	regions := p.regions(r)
	if p.decides && len(list) > 0 && r.attempts == 0 {
		v := h.spill.Decide(p.now, p.spillRequest(r, list, free, regions, loads))
		switch v.Kind {
		case spill.Send:
		case spill.Cross:
			p.relay(r, regions[v.Region].Name)
			return
		case spill.Wait:
			if !r.queued {
				r.queued = true
				h.queued++
			}
			p.in(15*ms, func() { p.decide(r) })
			return
		case spill.Refuse:
			p.leaveQueue(r)
			r.finish(false)
			return
		}
	}
	if len(list) > 0 {
		p.attempt(r, list[p.choose(h, list)].Name)
		return
	}
	if i := pick.ChooseRegion(regions, p.rnd); i >= 0 {
		p.relay(r, regions[i].Name)
		return
	}
	r.finish(false)
}

func (p *play) leaveQueue(r *request) {
	if r.queued {
		r.queued = false
		r.host.queued--
	}
}

func (p *play) spillRequest(r *request, list []pick.Candidate, free bool, regions []pick.Region, loads [2]float64) spill.Request {
	out := spill.Request{
		Slots: float64(slots * len(list)), Reported: loads[0], Announced: loads[1], Free: free, Work: work, Ahead: r.host.queued,
		Places: 2 * slots / hostCount, InFlight: r.host.inFlight, Queued: r.queued, Waited: p.now.Sub(r.arrived), Target: target, TimeLeft: deadline - p.now.Sub(r.arrived),
	}
	if r.queued {
		out.Ahead--
	}
	for _, g := range regions {
		out.Regions = append(out.Regions, spill.Region{Name: g.Name, Slots: g.Slots, Load: g.Load, RoundTrip: g.RoundTrip})
	}
	return out
}

func (p *play) candidates(r *request) (list []pick.Candidate, free bool, loads [2]float64) {
	r.host.endpoints.Each(p.machines, func(i int, st *endpt.State) {
		m := p.machines[i]
		if r.tried[m] {
			return
		}
		reported, known := st.Load(p.now), st.KnownInFlight(p.now)
		loads[0], loads[1] = loads[0]+reported, loads[1]+known
		free = free || (max(reported, known) < slots && !st.RefusedWithin(p.now, work))
		list = append(list, pick.Candidate{
			Name: m, Slots: slots, Load: max(reported, known) + st.RefusalLoad(p.now, slots), Own: st.InFlight, Slowdown: st.Speed(p.now),
		})
	})
	return list, free, loads
}

func (p *play) regions(r *request) (list []pick.Region) {
	for i, name := range regionNames {
		if i == r.host.region || r.tried[name] {
			continue
		}
		v := r.host.remotes.View(remote.Key{Region: name}, p.now)
		list = append(list, pick.Region{Name: name, Slots: 2 * slots, Load: v.Busy, RoundTrip: 2 * oneWay})
	}
	return list
}

// attempt sends a request to a local endpoint, which rejects it if all slots are busy.
func (p *play) attempt(r *request, machine string) {
	p.leaveQueue(r)
	h := r.host
	r.tried[machine] = true
	r.attempts++
	h.inFlight++
	h.endpoints.StartRequest(p.now, machine)
	p.in(hop, func() {
		running := p.running[h.region]
		full := running[machine] >= slots
		took, pace := time.Duration(0), 0.0
		if p.pace != nil {
			pace = p.pace(machine, p.now.Sub(start))
		}
		if full {
			p.outcome.rejected++
		} else {
			running[machine]++
			took = work/2 + p.random(work)
			if pace > 0 {
				took = time.Duration(pace * float64(took))
			}
		}
		p.in(took, func() {
			if !full {
				running[machine]--
			}
			report := endpt.Report{Running: running[machine], At: p.now}
			if p.pace != nil {
				report.Pace = p.pace(machine, p.now.Sub(start)) / p.speed[machine]
			}
			usual := work
			if report.Pace > 0 {
				usual = time.Duration(report.Pace * float64(work))
			}
			p.in(hop, func() {
				h.inFlight--
				h.endpoints.FinishRequest(p.now, machine, endpt.Result{
					Whole: !full, Full: full, AnswerTime: took, ExpectedAnswerTime: usual,
				})
				h.reports[machine] = append(h.reports[machine], report)
				h.endpoints.PutReport(machine, report)
				switch {
				case !full:
					r.finish(true)
				case float64(p.retries) < 0.2*float64(p.outcome.requests)+54:
					p.retries++
					p.decide(r)
				default:
					r.finish(false)
				}
			})
		})
	})
}

// relay sends a request to another region, where it may use both endpoints.
func (p *play) relay(r *request, name string) {
	p.leaveQueue(r)
	r.attempts++
	r.tried[name] = true
	p.outcome.crossed++
	to := int(name[1] - '0')
	at := p.now.Sub(start)
	if rate := p.rate(r.host.region, at); rate < p.rate(to, at) && rate <= p.rate(r.host.region, at-time.Second) {
		p.outcome.backward++
	}
	copied := &request{host: p.hosts[to][p.rnd.IntN(4)], arrived: r.arrived, tried: map[string]bool{}, relayed: true}
	copied.finish = func(served bool) {
		p.in(oneWay, func() {
			if served {
				r.finish(true)
			} else {
				p.decide(r)
			}
		})
	}
	p.in(oneWay, func() { p.decide(copied) })
}

// movingPeak is a load whose peak of 2.8 times the mean moves on to the next region.
func movingPeak(mean float64, length time.Duration) func(int, time.Duration) float64 {
	return func(region int, at time.Duration) float64 {
		if int(at/length)%regionCount == region {
			return 2.8 * mean
		}
		return 0.1 * mean
	}
}
