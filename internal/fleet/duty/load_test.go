package duty

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/endpt"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/route/pick"
)

const (
	ms = time.Millisecond
	// loadPeriod and loadFanout are how often, and to how many hosts, a host announces its
	// loads.
	loadPeriod = 250 * ms
	loadFanout = 12
)

// engine prefills prompts in order of arrival.
type engine struct{ idleAt time.Duration }

// prompt is a prompt in prefill that a host sent to an engine.
type prompt struct {
	engine  int
	prefill time.Duration
	done    time.Duration
}

// entryHost is a host that places requests by what it knows: its own prompts, and the
// loads that peer hosts announced.
type entryHost struct {
	table   *endpt.Table
	running []prompt
}

// playRegion sends the peak load of a region to entry hosts, which place it on engines,
// and returns the share of short prompts whose first token is later than target.
func playRegion(hosts, engines int, target time.Duration) float64 {
	const (
		length                  = 12 * time.Second
		shortRate, longRate     = 590.0, 62.0
		shortPrefill, longerOne = 4 * ms, 190 * ms
	)
	start := time.Unix(1_000_000, 0)
	rnd := rand.New(rand.NewPCG(7, 7))
	names := make([]string, engines)
	for i := range names {
		names[i] = fmt.Sprintf("e%d", i)
	}
	state, fleet := make([]engine, engines), make([]*entryHost, hosts)
	for i := range fleet {
		fleet[i] = &entryHost{table: endpt.NewTable()}
		fleet[i].table.Sync(start, names)
	}
	late, shorts := 0, 0
	for at := time.Duration(0); at < length; at += time.Duration(rnd.ExpFloat64() / (shortRate + longRate) * float64(time.Second)) {
		now := start.Add(at)
		for i, h := range fleet {
			h.finish(names, at)
			// Hosts announce at different times within the period.
			if (at+time.Duration(i)*ms)%loadPeriod < 2*ms {
				announce(now, fleet, i, rnd)
			}
		}
		prefill := shortPrefill
		if rnd.Float64() < longRate/(shortRate+longRate) {
			prefill = longerOne
		}
		h := fleet[rnd.IntN(hosts)]
		e := h.choose(now, names, prefill, rnd)
		done := max(at, state[e].idleAt) + prefill
		state[e].idleAt = done
		h.running = append(h.running, prompt{engine: e, prefill: prefill, done: done})
		h.table.StartRequest(now, names[e])
		h.table.AddQueuedPrefill(names[e], 0, prefill)
		if prefill == longerOne {
			announce(now, fleet, slices.Index(fleet, h), rnd)
		}
		if prefill == shortPrefill {
			shorts++
			if done-at > target {
				late++
			}
		}
	}
	return float64(late) / float64(shorts)
}

// finish records the first tokens that have arrived.
func (h *entryHost) finish(names []string, at time.Duration) {
	left := h.running[:0]
	for _, p := range h.running {
		if p.done > at {
			left = append(left, p)
			continue
		}
		h.table.AddQueuedPrefill(names[p.engine], 0, -p.prefill)
		h.table.FinishRequest(time.Unix(1_000_000, 0).Add(at), names[p.engine], endpt.Result{Whole: true})
	}
	h.running = left
}

func announce(now time.Time, fleet []*entryHost, from int, rnd *rand.Rand) {
	loads := fleet[from].table.HostLoads()
	for _, i := range rnd.Perm(len(fleet))[:min(loadFanout+1, len(fleet))] {
		if i != from {
			fleet[i].table.SetPeerLoads(now, fmt.Sprint(from), loads)
		}
	}
}

func (h *entryHost) choose(now time.Time, names []string, prefill time.Duration, rnd *rand.Rand) int {
	list := make([]pick.Candidate, len(names))
	h.table.Each(names, func(i int, s *endpt.State) {
		list[i] = pick.Candidate{Name: names[i], Slots: 12, Load: s.KnownInFlight(now), QueuedPrefill: s.QueuedPrefill(now).Ahead(0), Slowdown: 1}
	})
	return pick.ChooseEndpoint(pick.Request{SuffixPrefill: prefill}, list, rnd).Index
}

// TestFewEntriesSeeTheLoad plays the peak of a region whose engines are prefilling for
// three quarters of the time. If all its hosts place requests, each sees a small part of
// the load, and many short prompts queue behind long ones; placed by the entry hosts
// alone, few do.
func TestFewEntriesSeeTheLoad(t *testing.T) {
	const engines, target = 18, 150 * ms
	var hosts []member.Member
	for i := range 65 {
		c := member.Candidate{Name: fmt.Sprintf("h%d", i), Centre: string(rune('a' + i%2)), Cores: 0.2}
		if i < 6 {
			c.Cores = 0.8
		}
		hosts = append(hosts, member.Member{Candidate: c})
	}
	entries := len(Entries(hosts, engines*12))
	all, few := playRegion(len(hosts), engines, target), playRegion(entries, engines, target)
	t.Logf("late short prompts: %.3f with %d hosts, %.3f with %d entry hosts", all, len(hosts), few, entries)
	if few > 0.05 {
		t.Errorf("%.3f of short prompts are late with %d entry hosts, want at most 0.05", few, entries)
	}
	if few > all/2 {
		t.Errorf("%.3f of short prompts are late with %d entry hosts, want at most half of the %.3f with all %d", few, entries, all, len(hosts))
	}
}
