package pick

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// playedEngine prefills prompts in order of arrival and keeps the prefixes that it read last.
type playedEngine struct {
	idleAt time.Duration
	cached []uint64
}

// prefill reads a prompt that arrives at a time, and returns when it is done and whether its prefix
// was read.
func (e *playedEngine) prefill(at time.Duration, req Request, capacity int) (done time.Duration, read bool) {
	took := req.SuffixPrefill
	i := slices.Index(e.cached, req.Prefix)
	if i >= 0 {
		e.cached = slices.Delete(e.cached, i, i+1)
	} else {
		took += req.PrefixPrefill
	}
	e.cached = append(e.cached, req.Prefix)
	e.cached = e.cached[max(0, len(e.cached)-capacity):]
	e.idleAt = max(at, e.idleAt) + took
	return e.idleAt, i < 0
}

// TestLostCachesAreReadOnce plays the peak of a region whose engines are busy for 52 % of the time
// while prefixes are cached, and for 236 % if each is read again; half of the engines lose their
// caches midway. Ten hosts place the prompts, each by what it sent itself and what the others sent
// until 250 ms ago at most. It guards against prompts that evade a short queue to an engine without
// their prefix: the prefill that this costs lengthens the queues, so that the region does not recover.
func TestLostCachesAreReadOnce(t *testing.T) {
	const (
		engines, hosts, prefixes, capacity = 20, 10, 100, 12
		rate                               = 8.5 * engines
		length, loss, period               = 30 * time.Second, 12 * time.Second, 250 * time.Millisecond
		target                             = 800 * time.Millisecond
	)
	rnd := rand.New(rand.NewPCG(3, 3))
	list := make([]playedEngine, engines)
	seen := map[uint64]bool{}
	again, late, count := 0, 0, 0
	lost := false
	// views holds when each engine is idle in the view of each host.
	var views [hosts][engines]time.Duration
	shared := time.Duration(0)
	for at := time.Duration(0); at < length; at += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)) {
		if at > loss && !lost {
			lost = true
			for i := range engines / 2 {
				list[i].cached = nil
			}
		}
		if at > shared {
			shared = at + period
			for h := range views {
				for i := range list {
					views[h][i] = list[i].idleAt
				}
			}
		}
		view := &views[rnd.IntN(hosts)]
		req := Request{PrefixPrefill: 217 * time.Millisecond, SuffixPrefill: 61 * time.Millisecond, Prefix: 1 + rnd.Uint64N(prefixes)}
		candidates := make([]Candidate, engines)
		for i := range list {
			queued := max(0, view[i]-at)
			candidates[i] = Candidate{
				Name: fmt.Sprintf("e%d", i), Slots: 16, Load: float64(queued) / float64(100*time.Millisecond), QueuedPrefill: queued,
				Cached: slices.Contains(list[i].cached, req.Prefix),
			}
		}
		choice := ChooseEndpoint(req, candidates, rnd)
		done, read := list[choice.Index].prefill(at, req, capacity)
		view[choice.Index] = max(at, view[choice.Index]) + choice.Prefill
		if read && seen[req.Prefix] {
			again++
		}
		seen[req.Prefix] = true
		count++
		if done-at > target {
			late++
		}
	}
	againShare, lateShare := float64(again)/float64(count), float64(late)/float64(count)
	t.Logf("%d prompts: %.3f read their prefix again, %.3f late", count, againShare, lateShare)
	// The lost caches take one reading of 50 prefixes, 0.01 of the prompts, and a prefix may have
	// copies while it is in demand at a busy engine.
	if againShare > 0.05 {
		t.Errorf("%.3f of the prompts read their prefix again, want at most 0.05", againShare)
	}
	if lateShare > 0.05 {
		t.Errorf("%.3f of the prompts are late, want at most 0.05", lateShare)
	}
}

// TestSoonerRegion guards against prompts that wait in a busy region while another is idle, that
// cross for less than views are wrong by, or that fill a region which is busy itself.
func TestSoonerRegion(t *testing.T) {
	ms := time.Millisecond
	short := Request{SuffixPrefill: 6 * ms}
	long := Request{PrefixPrefill: 217 * ms, SuffixPrefill: 61 * ms, Prefix: 1}
	idle := Region{Slots: 100, Load: 10, RoundTrip: 110 * ms}
	busy, failing, holder := idle, idle, idle
	busy.Load, failing.Failing, holder.Cached = 75, true, true
	for _, tt := range []struct {
		name   string
		req    Request
		local  time.Duration
		cached bool
		list   []Region
		want   int
	}{
		{"queue here is short", short, 200 * ms, false, []Region{idle}, -1},
		{"queue here is long", short, 400 * ms, false, []Region{idle}, 0},
		{"other region is busy", short, 400 * ms, false, []Region{busy}, -1},
		{"other region fails", short, 400 * ms, false, []Region{failing}, -1},
		{"prefix is cached here only", long, 700 * ms, true, []Region{idle}, -1},
		{"prefix is cached there only", long, 300 * ms, false, []Region{idle, holder}, 1},
		{"prefix is cached nowhere", long, 900 * ms, false, []Region{idle}, 0},
		{"prefix is cached in both", long, 700 * ms, true, []Region{idle, holder}, 1},
	} {
		if got := SoonerRegion(tt.req, tt.local, 50*ms, tt.cached, tt.list); got != tt.want {
			t.Errorf("%s: region %d, want %d", tt.name, got, tt.want)
		}
	}
}
