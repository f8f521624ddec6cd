package place

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/base/seeds"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
)

func init() { seeds.Fix() }

func service(p invent.Policy) *invent.Service {
	return &invent.Service{Name: "s", Policy: p, WorkMS: 1000, PrefillMS: 100, CrossMS: 50}
}

func candidate(name string, load float64) Candidate {
	return Candidate{Name: name, Slots: 4, Load: load, AnswerTime: time.Second, TimeToFirstToken: 100 * time.Millisecond, Ramp: 1}
}

func region(name string, busy float64) RemoteRegion {
	return RemoteRegion{Region: name, Slots: 8, Busy: busy, LoadKnown: true, Reachable: true, Latency: 20 * time.Millisecond, SpillAllowed: true, Ramp: 1}
}

func with(c Candidate, change func(*Candidate)) Candidate { change(&c); return c }

func withRemote(r RemoteRegion, change func(*RemoteRegion)) RemoteRegion { change(&r); return r }

func TestDecide(t *testing.T) {
	busy := []Candidate{candidate("a", 5), candidate("b", 5)}
	tests := []struct {
		name    string
		change  func(*Request)
		list    []Candidate
		remotes []RemoteRegion
		kind    Kind
		index   int
		reason  Reason
	}{
		{"least loaded of two", nil, []Candidate{candidate("a", 3), candidate("b", 0)}, nil, SendLocal, 1, ""},
		{"ejected endpoint is excluded", nil, []Candidate{with(candidate("a", 0), func(c *Candidate) { c.Ejected = true }), candidate("b", 3)}, nil, SendLocal, 1, ""},
		{"failing endpoint is excluded", nil, []Candidate{with(candidate("a", 0), func(c *Candidate) { c.Failing = true }), candidate("b", 3)}, nil, SendLocal, 1, ""},
		{"draining endpoint is excluded", nil, []Candidate{with(candidate("a", 0), func(c *Candidate) { c.Leaving = true }), candidate("b", 3)}, nil, SendLocal, 1, ""},
		{"endpoint of an earlier attempt is excluded", nil, []Candidate{with(candidate("a", 0), func(c *Candidate) { c.Tried = true }), candidate("b", 3)}, nil, SendLocal, 1, ""},
		{"slow endpoint is avoided", nil, []Candidate{with(candidate("a", 0), func(c *Candidate) { c.TimeToFirstToken = time.Second }), candidate("b", 3)}, nil, SendLocal, 1, ""},
		{"local endpoints full: waits", nil, busy, nil, Wait, 0, Full},
		{"local endpoints full and too late: refused", func(a *Request) { a.TimeLeft = 100 * time.Millisecond }, busy, nil, Refuse, 0, TooLate},
		{"local endpoints full: spills", nil, busy, []RemoteRegion{region("r", 0)}, SendRemote, 0, ""},
		{"no spill beyond the bound", nil, busy, []RemoteRegion{withRemote(region("r", 0), func(r *RemoteRegion) { r.SpillAllowed = false })}, Wait, 0, Full},
		{"no spill into a silent region", nil, busy, []RemoteRegion{withRemote(region("r", 0), func(r *RemoteRegion) { r.Silent = true })}, Wait, 0, Full},
		{"no spill into a region without a load report", nil, busy, []RemoteRegion{withRemote(region("r", 0), func(r *RemoteRegion) { r.LoadKnown = false })}, Wait, 0, Full},
		{"no spill without gain", nil, []Candidate{candidate("a", 0)}, []RemoteRegion{region("r", 0)}, SendLocal, 0, ""},
		{"no spill into a busy region", nil, busy, []RemoteRegion{region("r", 80)}, Wait, 0, Full},
		{"no local endpoint: crosses beyond the bound", nil, nil, []RemoteRegion{withRemote(region("r", 0), func(r *RemoteRegion) { r.SpillAllowed = false })}, SendRemote, 0, ""},
		{"region without slots is a last resort", nil, nil, []RemoteRegion{withRemote(region("r", 0), func(r *RemoteRegion) { r.Slots = 0 })}, SendRemote, 0, ""},
		{"ejected endpoint is a last resort", nil, []Candidate{with(candidate("a", 0), func(c *Candidate) { c.Ejected = true })}, nil, SendLocal, 0, ""},
		{"local endpoint ejected: crosses", nil, []Candidate{with(candidate("a", 0), func(c *Candidate) { c.Ejected = true })}, []RemoteRegion{region("r", 0)}, SendRemote, 0, ""},
		{"local region slow: spills beyond the bound", nil, []Candidate{with(candidate("a", 0), func(c *Candidate) { c.TimeToFirstToken = 10 * time.Second })}, []RemoteRegion{withRemote(region("r", 0), func(r *RemoteRegion) { r.SpillAllowed = false })}, SendRemote, 0, ""},
		{"nearest remote region", nil, nil, []RemoteRegion{withRemote(region("x", 0), func(r *RemoteRegion) { r.Latency = time.Second }), region("y", 0)}, SendRemote, 1, ""},
		{"silent region is a last resort", nil, nil, []RemoteRegion{withRemote(region("x", 0), func(r *RemoteRegion) { r.Silent = true }), region("y", 40)}, SendRemote, 1, ""},
		{"relayed request does not cross", func(a *Request) { a.RemoteAllowed = false }, nil, []RemoteRegion{region("r", 0)}, Refuse, 0, NoEndpoint},
		{"local region not allowed", func(a *Request) { a.LocalAllowed = false }, []Candidate{candidate("a", 0)}, []RemoteRegion{region("r", 0)}, SendRemote, 0, ""},
		{"local region not allowed and no remote region", func(a *Request) { a.LocalAllowed = false }, []Candidate{candidate("a", 0)}, nil, Refuse, 0, NoRegion},
		{"region without reachable hosts", nil, nil, []RemoteRegion{withRemote(region("r", 0), func(r *RemoteRegion) { r.Reachable = false })}, Refuse, 0, NoEndpoint},
		{"endpoint in warm-up gets fewer requests", nil, []Candidate{with(candidate("a", 1), func(c *Candidate) { c.Ramp = 0.25 }), candidate("b", 3)}, nil, SendLocal, 1, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			req := Request{Service: service(invent.Product), TimeLeft: time.Minute, LocalAllowed: true, RemoteAllowed: true}
			if tt.change != nil {
				tt.change(&req)
			}
			got := Decide(req, tt.list, tt.remotes, rand.New(rand.NewPCG(1, 1)))
			if got.Kind != tt.kind || got.Reason != tt.reason {
				t.Fatalf("Decide = %v %q, want %v %q", got.Kind, got.Reason, tt.kind, tt.reason)
			}
			if (got.Kind == SendLocal || got.Kind == SendRemote) && got.Index != tt.index {
				t.Errorf("Decide chose index %d, want %d", got.Index, tt.index)
			}
			if got.Kind == Refuse && got.RetryAfter <= 0 {
				t.Error("refusal has no retry delay")
			}
		})
	}
}

// TestPrefixStaysUntilOwnerIsFull: all hosts send a prefix to the same endpoint until
// that is full.
func TestPrefixStaysUntilOwnerIsFull(t *testing.T) {
	list := make([]Candidate, 10)
	for i := range list {
		list[i] = candidate("e"+strconv.Itoa(i), 1)
	}
	req := Request{Service: service(invent.Product), TimeLeft: time.Minute, LocalAllowed: true, Prefix: 42}
	first := Decide(req, list, nil, rand.New(rand.NewPCG(1, 1)))
	for seed := range uint64(20) {
		if got := Decide(req, list, nil, rand.New(rand.NewPCG(seed, 7))); got.Index != first.Index {
			t.Fatalf("seed %d: chose candidate %d for the prefix, want %d", seed, got.Index, first.Index)
		}
	}
	list[first.Index].Load = 5
	if got := Decide(req, list, nil, rand.New(rand.NewPCG(1, 1))); got.Index == first.Index {
		t.Error("chose the owner of the prefix though it is full")
	}
}

// TestLostEndpointMovesOnlyItsPrefixes: if an endpoint is ejected, the prefixes that
// other endpoints own stay where they are.
func TestLostEndpointMovesOnlyItsPrefixes(t *testing.T) {
	list := make([]Candidate, 12)
	for i := range list {
		list[i] = candidate("e"+strconv.Itoa(i), 0)
	}
	before := map[uint64]int{}
	for p := uint64(1); p < 500; p++ {
		before[p] = prefixOwner(p, list)
	}
	list[3].Ejected = true
	for p, at := range before {
		if now := prefixOwner(p, list); at != 3 && now != at {
			t.Fatalf("prefix %d moved from candidate %d to %d, though only candidate 3 is ejected", p, at, now)
		}
	}
}

func genCandidate(rt *rapid.T, i int) Candidate {
	return Candidate{
		Name: "e" + strconv.Itoa(i), Slots: rapid.IntRange(1, 64).Draw(rt, "slots"),
		Load: rapid.Float64Range(0, 200).Draw(rt, "load"), Ramp: rapid.Float64Range(0, 1).Draw(rt, "ramp"),
		AnswerTime:       time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(rt, "answer time")),
		TimeToFirstToken: time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(rt, "first")),
		Ejected:          rapid.Bool().Draw(rt, "ejected"), Failing: rapid.Bool().Draw(rt, "failing"),
		Leaving: rapid.Bool().Draw(rt, "leaving"), Tried: rapid.Bool().Draw(rt, "tried"),
	}
}

func genRemote(rt *rapid.T, i int) RemoteRegion {
	return RemoteRegion{
		Region: "r" + strconv.Itoa(i), Slots: rapid.Float64Range(0, 100).Draw(rt, "slots"),
		Busy: rapid.Float64Range(0, 200).Draw(rt, "busy"), LoadKnown: rapid.Bool().Draw(rt, "known"),
		Reachable: rapid.Bool().Draw(rt, "reachable"), SpillAllowed: rapid.Bool().Draw(rt, "spill allowed"),
		Silent: rapid.Bool().Draw(rt, "silent"), Tried: rapid.Bool().Draw(rt, "remote tried"),
		Ramp:    rapid.Float64Range(0, 1).Draw(rt, "remote ramp"),
		Latency: time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(rt, "latency")),
	}
}

// TestDecideKeepsRules checks for every policy and any state: no local endpoint for a
// request that may not be served locally, no remote region for a request that may not
// cross, nothing to an endpoint or region that is excluded, and no spill beyond the
// bound.
func TestDecideKeepsRules(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		policy := rapid.SampledFrom([]invent.Policy{invent.Product, invent.RoundRobin, invent.LeastLoaded, invent.Nearest}).Draw(rt, "policy")
		var list []Candidate
		for i := range rapid.IntRange(0, 8).Draw(rt, "n") {
			list = append(list, genCandidate(rt, i))
		}
		var remotes []RemoteRegion
		for i := range rapid.IntRange(0, 4).Draw(rt, "m") {
			remotes = append(remotes, genRemote(rt, i))
		}
		req := Request{
			Service: service(policy), Prefix: rapid.Uint64().Draw(rt, "prefix"),
			TimeLeft:     time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(rt, "left")),
			LocalAllowed: rapid.Bool().Draw(rt, "local"), RemoteAllowed: rapid.Bool().Draw(rt, "cross"),
			Queued: rapid.IntRange(0, 50).Draw(rt, "queued"), Sequence: rapid.Uint64().Draw(rt, "sequence"),
		}
		d := Decide(req, list, remotes, rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 1)))
		switch d.Kind {
		case SendLocal:
			c := list[d.Index]
			if !req.LocalAllowed || c.Leaving || c.Tried || (!usable(&c) && anyUsable(list)) {
				rt.Fatalf("%s: chose an excluded candidate: %+v, local allowed %v", policy, c, req.LocalAllowed)
			}
		case SendRemote:
			r := remotes[d.Index]
			if !req.RemoteAllowed || !r.Reachable || r.Tried {
				rt.Fatalf("%s: chose an excluded region: %+v, crossing allowed %v", policy, r, req.RemoteAllowed)
			}
			if d.Spill && policy == invent.Product && (r.Silent || !r.LoadKnown || (!r.SpillAllowed && !impairedLocal(req, list))) {
				rt.Fatalf("spilled to a silent or unknown region or beyond the bound: %+v", r)
			}
		case Refuse:
			if d.RetryAfter <= 0 {
				rt.Fatal("refusal has no retry delay")
			}
		case Wait:
			if !req.LocalAllowed {
				rt.Fatal("waits for a local endpoint that may not serve the request")
			}
		}
	})
}

func anyUsable(list []Candidate) bool {
	return slices.ContainsFunc(list, func(c Candidate) bool { return usable(&c) })
}

func impairedLocal(req Request, list []Candidate) bool {
	return impaired(req, bestLocal(req, list, rand.New(rand.NewPCG(1, 1)), false))
}

func BenchmarkDecide600(b *testing.B) {
	list := make([]Candidate, 600)
	for i := range list {
		list[i] = candidate("endpoint-"+strconv.Itoa(i), float64(i%5))
	}
	remotes := []RemoteRegion{region("a", 3), region("b", 2), region("c", 1), region("d", 0)}
	req := Request{Service: service(invent.Product), TimeLeft: time.Minute, LocalAllowed: true, RemoteAllowed: true, Prefix: 42}
	rnd := rand.New(rand.NewPCG(1, 1))
	b.ReportAllocs()
	for b.Loop() {
		req.Prefix++
		Decide(req, list, remotes, rnd)
	}
}
