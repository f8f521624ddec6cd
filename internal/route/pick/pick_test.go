package pick

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/base/seeds"
)

func init() { seeds.Fix() }

func engines(n int) []Candidate {
	list := make([]Candidate, n)
	for i := range list {
		list[i] = Candidate{Name: "e" + strconv.Itoa(i), Slots: 96, Slowdown: 1}
	}
	return list
}

func rnd() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }

var long = Request{PrefixPrefill: 200 * time.Millisecond, SuffixPrefill: 50 * time.Millisecond, Prefix: 42}

// TestPrefixStaysAtItsOwner: all hosts send a prefix to the same endpoint, and leave it only if its
// queued prefill takes longer than what the prefill of the prefix elsewhere counts: once for the
// request and prefillWeight times for those behind it.
func TestPrefixStaysAtItsOwner(t *testing.T) {
	list := engines(6)
	owner := ChooseEndpoint(long, list, rnd())
	for seed := range uint64(20) {
		if got := ChooseEndpoint(long, list, rand.New(rand.NewPCG(seed, 7))); got.Index != owner.Index {
			t.Fatalf("seed %d: chose candidate %d, want %d", seed, got.Index, owner.Index)
		}
	}
	list[owner.Index].Cached = true
	counted := (1 + prefillWeight) * long.PrefixPrefill
	for _, queued := range []time.Duration{150 * time.Millisecond, 400 * time.Millisecond, counted - 50*time.Millisecond} {
		list[owner.Index].QueuedPrefill = queued
		if got := ChooseEndpoint(long, list, rnd()); got.Index != owner.Index {
			t.Errorf("did not choose the owner, whose queued prefill of %v is shorter than %v", queued, counted)
		}
	}
	list[owner.Index].QueuedPrefill = counted + 50*time.Millisecond
	if got := ChooseEndpoint(long, list, rnd()); got.Index == owner.Index {
		t.Errorf("chose the owner, whose queued prefill is longer than %v", counted)
	}
}

// TestLostEndpointMovesOnlyItsPrefixes: if an endpoint fails, the prefixes that other
// endpoints own stay where they are.
func TestLostEndpointMovesOnlyItsPrefixes(t *testing.T) {
	list := engines(8)
	before := map[uint64]int{}
	for p := uint64(1); p < 400; p++ {
		before[p] = ChooseEndpoint(Request{PrefixPrefill: time.Second, Prefix: p}, list, rnd()).Index
	}
	list[3].Failing = true
	for p, at := range before {
		if now := ChooseEndpoint(Request{PrefixPrefill: time.Second, Prefix: p}, list, rnd()).Index; at != 3 && now != at {
			t.Fatalf("prefix %d moved from candidate %d to %d, though only candidate 3 failed", p, at, now)
		}
	}
}

func TestShortPromptsAvoidPrefillingEngines(t *testing.T) {
	list := engines(3)
	short := Request{PrefixPrefill: 2 * time.Millisecond, SuffixPrefill: 4 * time.Millisecond}
	list[0].QueuedPrefill, list[1].QueuedPrefill = 100*time.Millisecond, 90*time.Millisecond
	list[2].Load = 60
	if got := ChooseEndpoint(short, list, rnd()); got.Index != 2 {
		t.Errorf("chose candidate %d, which prefills a long prompt, want 2", got.Index)
	}
}

func TestCachedPrefixIsUsed(t *testing.T) {
	list := engines(4)
	first := ChooseEndpoint(long, list, rnd()).Index
	other := (first + 1) % len(list)
	list[other].Cached = true
	if got := ChooseEndpoint(long, list, rnd()); got.Index != other || got.Prefill != long.SuffixPrefill {
		t.Errorf("chose candidate %d with a prefill time of %v, though the prefix is cached at %d", got.Index, got.Prefill, other)
	}
}

func TestFullEngineIsAvoided(t *testing.T) {
	list := engines(2)
	list[0].Load, list[1].Load = 100, 80
	if got := ChooseEndpoint(Request{SuffixPrefill: time.Millisecond}, list, rnd()); got.Index != 1 {
		t.Error("chose a full engine, want the one with free slots")
	}
}

func TestPlainServiceUsesLeastLoaded(t *testing.T) {
	list := []Candidate{{Name: "a", Slots: 6, Load: 5}, {Name: "b", Slots: 6, Load: 7}, {Name: "c", Slots: 6, Load: 1}}
	if got := ChooseEndpoint(Request{AnswerTime: 60 * time.Millisecond}, list, rnd()); got.Index != 2 {
		t.Errorf("chose candidate %d, want 2", got.Index)
	}
}

func TestFailingEndpointsAreLastResort(t *testing.T) {
	list := engines(2)
	list[0].Failing = true
	if got := ChooseEndpoint(Request{}, list, rnd()); got.Index != 1 {
		t.Error("chose a failing candidate, want the other one")
	}
	list[1].Failing = true
	if got := ChooseEndpoint(Request{}, list, rnd()); got.Index < 0 {
		t.Error("chose no candidate, want a failing one if all are failing")
	}
	if got := ChooseEndpoint(Request{}, nil, rnd()); got.Index != -1 {
		t.Error("chose a candidate of an empty list, want index -1")
	}
}

// TestChoiceIsValid checks for any state that the index is one of the list, and that a
// failing endpoint is chosen only if all are failing.
func TestChoiceIsValid(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var list []Candidate
		healthy := 0
		for i := range rapid.IntRange(0, 10).Draw(rt, "n") {
			c := Candidate{
				Name: strconv.Itoa(i), Slots: rapid.IntRange(0, 100).Draw(rt, "slots"),
				Load:          rapid.Float64Range(0, 300).Draw(rt, "load"),
				QueuedPrefill: time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(rt, "queued prefill")),
				Slowdown:      rapid.Float64Range(0, 50).Draw(rt, "slowdown"), Failing: rapid.Bool().Draw(rt, "failing"),
			}
			if !c.Failing {
				healthy++
			}
			list = append(list, c)
		}
		req := Request{
			PrefixPrefill: time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(rt, "prefix prefill")),
			Prefix:        rapid.Uint64().Draw(rt, "prefix"), AnswerTime: time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(rt, "answer time")),
		}
		got := ChooseEndpoint(req, list, rnd())
		if (got.Index < 0) != (len(list) == 0) {
			rt.Fatalf("got index %d for %d candidates", got.Index, len(list))
		}
		if got.Index >= 0 && list[got.Index].Failing && healthy > 0 {
			rt.Fatal("chose a failing candidate though another one is healthy")
		}
	})
}

// TestShortBesideLongPrompts simulates open arrivals of many short prompts beside a few
// long ones with shared prefixes, on engines that prefill one prompt at a time. Hardly
// any short prompt may wait for the prefill of a long one, and most prefixes must be
// prefilled once only.
func TestShortBesideLongPrompts(t *testing.T) {
	const n, minute = 4, time.Minute
	r := rand.New(rand.NewPCG(5, 5))
	idleAt := make([]time.Duration, n)
	cached := make([]map[uint64]bool, n)
	for i := range cached {
		cached[i] = map[uint64]bool{}
	}
	prefills, longs, late, shorts := 0, 0, 0, 0
	seen := map[uint64]bool{}
	for now := time.Duration(0); now < minute; now += time.Duration(r.ExpFloat64() * float64(7*time.Millisecond)) {
		list := engines(n)
		for i := range list {
			list[i].QueuedPrefill = max(0, idleAt[i]-now)
		}
		req := Request{SuffixPrefill: 4 * time.Millisecond}
		isLong := r.IntN(15) == 0
		if isLong {
			req = Request{PrefixPrefill: 180 * time.Millisecond, SuffixPrefill: 50 * time.Millisecond, Prefix: 1 + uint64(r.IntN(40))}
			longs++
			for i := range list {
				list[i].Cached = cached[i][req.Prefix]
			}
		}
		c := ChooseEndpoint(req, list, r)
		prefill := req.SuffixPrefill
		if isLong && !cached[c.Index][req.Prefix] {
			prefill += req.PrefixPrefill
			prefills++
		}
		if isLong {
			cached[c.Index][req.Prefix] = true
			seen[req.Prefix] = true
		}
		idleAt[c.Index] = max(idleAt[c.Index], now) + prefill
		if wait := idleAt[c.Index] - now; !isLong {
			shorts++
			if wait > 100*time.Millisecond {
				late++
			}
		}
	}
	if prefills > 2*len(seen) {
		t.Errorf("%d prefills of %d prefixes in %d requests, want at most two each", prefills, len(seen), longs)
	}
	if late*50 > shorts {
		t.Errorf("%d of %d short prompts waited over 100 ms, want at most 1 in 50", late, shorts)
	}
}

func TestRegionWithFreeSlots(t *testing.T) {
	if ChooseRegion(nil, rnd()) != -1 {
		t.Error("chose a region of an empty list, want index -1")
	}
	list := []Region{{Name: "a", Slots: 10, Load: 10}, {Name: "b", Slots: 10}}
	b := 0
	for range 100 {
		if ChooseRegion(list, rnd()) == 1 {
			b++
		}
	}
	if b == 0 {
		t.Error("the region with free slots is never chosen")
	}
}

func TestPrefixesSpreadOverRegions(t *testing.T) {
	list := []Endpoint{{"e1", "a"}, {"e2", "b"}, {"e3", "c"}}
	at := map[string]int{}
	for p := uint64(1); p < 300; p++ {
		at[PrefixRegion(p, list)]++
	}
	for _, r := range []string{"a", "b", "c"} {
		if at[r] < 60 {
			t.Errorf("region %s owns %d of 299 prefixes, want at least 60", r, at[r])
		}
	}
	if PrefixRegion(1, nil) != "" {
		t.Error("got a region for an empty list, want none")
	}
}

func TestWorthCrossing(t *testing.T) {
	free := &Region{Slots: 10, RoundTrip: 110 * time.Millisecond}
	if !WorthCrossing(long, free) {
		t.Error("does not cross though the prefill time saved exceeds the round trip")
	}
	if WorthCrossing(Request{PrefixPrefill: 20 * time.Millisecond}, free) {
		t.Error("crosses though the round trip exceeds the prefill time saved")
	}
	if WorthCrossing(long, &Region{Slots: 10, RoundTrip: free.RoundTrip, QueuedPrefill: 600 * time.Millisecond}) {
		t.Error("crosses though the queued prefill exceeds the prefill time saved")
	}
	if WorthCrossing(long, &Region{Slots: 10, Load: 9.5, RoundTrip: free.RoundTrip}) {
		t.Error("crosses into a full region")
	}
}

func BenchmarkEndpointChoice60(b *testing.B) {
	list := engines(60)
	r := rnd()
	b.ReportAllocs()
	for b.Loop() {
		ChooseEndpoint(long, list, r)
	}
}
