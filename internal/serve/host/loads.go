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
	"github.com/hyssopspindle/hyssopspindle/internal/board/zones"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/spread"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/route/eject"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
)

// polls remembers failed polls in a row.
type polls struct {
	mu    sync.Mutex
	fails map[string]int
}

func (p *polls) result(name string, ok bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fails == nil {
		p.fails = map[string]int{}
	}
	if ok {
		p.fails[name] = 0
	} else {
		p.fails[name]++
	}
	return p.fails[name]
}

// poll asks the endpoints that fall to this host for their load. Each endpoint
// falls to a fixed few hosts of its region.
func (h *Host) poll(ctx context.Context, _ time.Time) {
	inv := h.board.Revisions.Inventory()
	if inv == nil {
		return
	}
	hosts := h.peersOf(inv, h.inRegion(inv))
	var wait sync.WaitGroup
	for _, e := range inv.Endpoints() {
		if inv.RegionOf(e.Centre) != h.board.Region {
			continue
		}
		if !spread.Holds("poll/"+e.Name, hosts, h.board.Name, pollers) {
			continue
		}
		wait.Go(func() { h.pollOne(ctx, e) })
	}
	wait.Wait()
}

// report is an endpoint's answer to a poll.
type report struct {
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	AgeMS   int64 `json:"age_ms"`
	Leaving bool  `json:"leaving"`
}

func (h *Host) pollOne(ctx context.Context, e invent.Endpoint) {
	var r report
	// A report is true no earlier than it was asked for; what the endpoint said in
	// an answer meanwhile may be newer.
	asked := h.now()
	status, body, err := client.Get(ctx, e.Address, "/load", reportBytes, pollTimeout)
	ok := err == nil && status == http.StatusOK && json.Unmarshal(body, &r) == nil
	if fails := h.polls.result(e.Name, ok); !ok {
		if fails >= failedPolls && ctx.Err() == nil {
			h.board.Endpoints.Note(e.Name, endpt.Report{At: h.now(), Failing: true})
		}
		return
	}
	h.board.Endpoints.Note(e.Name, endpt.Report{
		Running: r.Running, Queued: r.Queued, Leaving: r.Leaving,
		At: asked.Add(-time.Duration(r.AgeMS) * time.Millisecond),
	})
}

// shareLoads sends what is known of the region's endpoints, the freshest first,
// and of other regions to a few of its hosts: one packet of each, so that the
// cost does not grow with the region.
func (h *Host) shareLoads(_ context.Context, now time.Time) {
	inv := h.board.Revisions.Inventory()
	if inv == nil {
		return
	}
	loads := h.freshLoads(inv, now)
	sums := h.someSums(inv, now)
	if len(loads) == 0 && len(sums) == 0 {
		return
	}
	to := h.board.Members.Random(loadTo, func(m member.Member) bool { return m.Region == h.board.Region })
	for _, m := range to {
		h.sendLoads(inv, m, wire.Packet{Loads: loads})
		if len(sums) > 0 {
			h.sendLoads(inv, m, wire.Packet{Regions: sums})
		}
	}
}

// sendLoads sends a packet whose loads name places in inv.
func (h *Host) sendLoads(inv *invent.Inventory, m member.Member, p wire.Packet) {
	mark := inv.Mark()
	p.Kind, p.From, p.Life = wire.Announce, h.board.Name, h.board.Members.Life()
	p.Revision, p.Sum, p.Open, p.Leaving = mark.Revision, mark.Sum, h.board.Pulse.Open(), h.board.Pulse.Leaving()
	h.send([]member.Out{{Host: m.Name, Address: m.Address, Packet: p}})
}

func (h *Host) freshLoads(inv *invent.Inventory, now time.Time) []wire.Load {
	var out []wire.Load
	for i, e := range inv.Endpoints() {
		if inv.RegionOf(e.Centre) != h.board.Region {
			continue
		}
		if l := h.loadOf(e.Name, now); l.Flags != 0 {
			l.Endpoint = uint32(i)
			out = append(out, l)
		}
	}
	slices.SortFunc(out, func(a, b wire.Load) int { return cmp.Compare(a.AgeMS, b.AgeMS) })
	return out[:min(len(out), loadsPacket)]
}

// loadOf returns what is known of an endpoint; without flags where that is nothing.
func (h *Host) loadOf(name string, now time.Time) wire.Load {
	var l wire.Load
	if age, ok := h.board.Marked(name, now); ok {
		l.Flags |= wire.FlagListed
		l.MarkMS = millis(age)
	}
	st := h.board.Endpoints.Get(name)
	age := now.Sub(st.Report.At)
	if st.Report.At.IsZero() || age > maxReportAge {
		return l
	}
	l.Flags |= wire.FlagReport
	l.AgeMS, l.Running, l.Queued = millis(age), uint32(max(0, st.Report.Running)), uint32(max(0, st.Report.Queued))
	if st.Report.Leaving {
		l.Flags |= wire.FlagLeaving
	}
	if st.Report.Failing {
		l.Flags |= wire.FlagFailing
	}
	return l
}

// millis returns a time in whole milliseconds, 0 for a negative one.
func millis(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }

func (h *Host) someSums(inv *invent.Inventory, now time.Time) []wire.RegionLoad {
	var out []wire.RegionLoad
	for i, r := range inv.Regions() {
		if r.Name == h.board.Region {
			continue
		}
		for j := range inv.Services() {
			s, ok := h.board.Zones.Get(zones.Key{Region: r.Name, Service: inv.Services()[j].Name})
			if age := now.Sub(s.At); ok && age < maxReportAge {
				out = append(out, wire.RegionLoad{
					Region: uint32(i), Service: uint32(j), AgeMS: millis(age), Slots: uint32(s.Slots), Busy: uint32(s.Busy),
				})
			}
		}
	}
	slices.SortFunc(out, func(a, b wire.RegionLoad) int { return cmp.Compare(a.AgeMS, b.AgeMS) })
	return out[:min(len(out), zonesPacket)]
}

// takeLoads takes loads of endpoints and sums of regions in. Their places are
// those of the sender's configuration; with another one they mean nothing here.
func (h *Host) takeLoads(now time.Time, p wire.Packet) {
	inv := h.board.Revisions.Inventory()
	if inv == nil || inv.Mark() != (invent.Mark{Revision: p.Revision, Sum: p.Sum}) {
		return
	}
	for _, l := range p.Loads {
		if int64(l.Endpoint) < int64(len(inv.Endpoints())) {
			h.takeLoad(now, inv.Endpoints()[l.Endpoint].Name, l)
		}
	}
	for _, r := range p.Regions {
		if int64(r.Region) >= int64(len(inv.Regions())) || int64(r.Service) >= int64(len(inv.Services())) {
			continue
		}
		k := zones.Key{Region: inv.Regions()[r.Region].Name, Service: inv.Services()[r.Service].Name}
		if k.Region != h.board.Region {
			at := now.Add(-time.Duration(r.AgeMS) * time.Millisecond)
			h.board.Zones.Note(k, float64(r.Slots), float64(r.Busy), at, now)
		}
	}
}

func (h *Host) takeLoad(now time.Time, endpoint string, l wire.Load) {
	if l.Flags&wire.FlagListed != 0 {
		h.board.Mark(endpoint, now.Add(-time.Duration(l.MarkMS)*time.Millisecond))
	}
	if l.Flags&wire.FlagReport == 0 {
		return
	}
	h.board.Endpoints.Note(endpoint, endpt.Report{
		Running: int(l.Running), Queued: int(l.Queued),
		At:      now.Add(-time.Duration(l.AgeMS) * time.Millisecond),
		Leaving: l.Flags&wire.FlagLeaving != 0, Failing: l.Flags&wire.FlagFailing != 0,
	})
}

// shareZones sums up this region's services and tells one host of each other region.
func (h *Host) shareZones(_ context.Context, now time.Time) {
	inv := h.board.Revisions.Inventory()
	if inv == nil {
		return
	}
	sums := h.ownSums(inv, now)
	for _, r := range inv.Regions() {
		if r.Name == h.board.Region {
			continue
		}
		for _, m := range h.board.Members.Random(1, func(m member.Member) bool { return m.Region == r.Name }) {
			// Without any sum the packet still says that this region is there.
			h.sendLoads(inv, m, wire.Packet{Regions: sums})
		}
	}
}

// ownSums sums up the services of this region. Where there are more than one
// packet holds, a random part is told each time.
func (h *Host) ownSums(inv *invent.Inventory, now time.Time) []wire.RegionLoad {
	var out []wire.RegionLoad
	for j := range inv.Services() {
		if sum, ok := h.sumOf(inv, inv.Services()[j].Name, now); ok {
			sum.Service = uint32(j)
			out = append(out, sum)
		}
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(len(out), zonesPacket)]
}

// sumOf sums up a service's endpoints of this region. As in a decision here, no
// more than a part of them counts as out for its failures.
func (h *Host) sumOf(inv *invent.Inventory, service string, now time.Time) (wire.RegionLoad, bool) {
	sum := wire.RegionLoad{Region: uint32(slices.Index(inv.Regions(), invent.Region{Name: h.board.Region}))}
	var here []invent.Endpoint
	for _, e := range inv.EndpointsOf(service) {
		if inv.RegionOf(e.Centre) == h.board.Region {
			here = append(here, e)
		}
	}
	out := 0
	for _, e := range here {
		st := h.board.Endpoints.Get(e.Name)
		if e.Leaving || st.Leaving() || h.board.Leaving(e.Name, now) {
			continue
		}
		if st.Report.Failing {
			continue
		}
		if st.Ejected(now) && out < eject.Most(len(here)) {
			out++
			continue
		}
		sum.Slots += uint32(e.Slots)
		sum.Busy += uint32(math.Ceil(st.Load(now)))
	}
	return sum, len(here) > 0
}
