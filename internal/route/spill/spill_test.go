package spill_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/route/spill"
)

// TestMovingPeak plays the load of the package comment with 10 hosts a region that see 250 ms old
// loads of their own region and up to 655 ms old ones of the others. It guards against a region
// that rejects requests which others had room for, and against regions that send each other work.
func TestMovingPeak(t *testing.T) {
	const length = 18 * time.Second
	even := func(rate float64) func(int, time.Duration) float64 {
		return func(int, time.Duration) float64 { return rate }
	}
	for _, c := range []struct {
		name string
		rate func(int, time.Duration) float64
		// inTime is the least share of requests in time, rejected the most rejections a request,
		// crossed the largest share that crosses, backward that from regions without a peak.
		inTime, rejected, crossed, backward float64
		// oldFails reports whether the earlier decision breaks a bound.
		oldFails bool
	}{
		// At the peak 10.5 of 12 slots are needed. All above half of them are 43 % of the requests.
		{"peaks of 88 % of a region's slots", movingPeak(125, 6*time.Second), 0.95, 0.15, 0.43, 0.01, true},
		{"peaks of 140 %, half of all slots", movingPeak(200, 6*time.Second), 0.95, 0.2, 0.65, 0.01, true},
		{"all at 31 %", even(125), 0.99, 0.05, 0.002, 1, false},
		{"all at 45 %", even(180), 0.99, 0.1, 0.02, 1, false},
		{"all at 75 %", even(300), 0.95, 0.35, 0.1, 1, true},
	} {
		for _, decides := range []bool{false, true} {
			p := newPlay(1, "a", "b")
			p.decides, p.rate = decides, c.rate
			o := p.run(length)
			requests := float64(o.requests)
			inTime, rejected := float64(o.inTime)/requests, float64(o.rejected)/requests
			crossed, backward := float64(o.crossed)/requests, float64(o.backward)/requests
			t.Logf("%s, decides %v: %d requests, in time %.3f, rejections %.3f, crossed %.3f, backward %.4f, refused %d",
				c.name, decides, o.requests, inTime, rejected, crossed, backward, o.refused)
			met := inTime >= c.inTime && rejected <= c.rejected && crossed <= c.crossed && backward <= c.backward
			if decides && !met {
				t.Errorf("%s: want at least %.2f in time, at most %.2f rejections a request, %.3f crossed and %.2f backward", c.name, c.inTime, c.rejected, c.crossed, c.backward)
			}
			if !decides && met == c.oldFails {
				t.Errorf("%s: the earlier decision meets the bounds: %v, want %v", c.name, met, !c.oldFails)
			}
		}
	}
}

// waiting returns a request of a host in a busy fleet that finds no slot.
func waiting() spill.Request {
	return spill.Request{
		Service: "s", Slots: 12, Reported: 11, Announced: 11, Work: work, InFlight: 1, Places: 1, Target: target, TimeLeft: deadline,
		Regions: []spill.Region{{Name: "b", Slots: 12, Load: 12, RoundTrip: 110 * ms}},
	}
}

// settled returns a table that has seen a request's loads for a while.
func settled(r spill.Request) *spill.Table {
	table := spill.New(rand.New(rand.NewPCG(1, 2)))
	for i := range 200 {
		table.Decide(start.Add(time.Duration(i)*20*ms), r)
	}
	return table
}

// TestDecideInABusyFleet guards against requests that overtake those which wait, that wait although
// a slot is free or their time is over, and that are refused although they can be served.
func TestDecideInABusyFleet(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(r *spill.Request)
		want   spill.Verdict
	}{
		{"waits for a slot", func(*spill.Request) {}, spill.Verdict{Kind: spill.Wait}},
		{"own slot is free", func(r *spill.Request) { r.InFlight = 0 }, spill.Verdict{Kind: spill.Send}},
		{"own slot is free, others wait", func(r *spill.Request) { r.InFlight, r.Ahead = 0, 2 }, spill.Verdict{Kind: spill.Wait}},
		{"first in the queue gets the slot", func(r *spill.Request) { r.InFlight, r.Queued = 0, true }, spill.Verdict{Kind: spill.Send}},
		{"too late to wait on", func(r *spill.Request) { r.Queued, r.Waited = true, 340*ms }, spill.Verdict{Kind: spill.Send}},
		// 20 requests before it and its own work take 660 ms; 360 ms less a detour of 110 ms are left.
		{"cannot be in time", func(r *spill.Request) { r.Ahead = 20 }, spill.Verdict{Kind: spill.Refuse, RetryAfter: 410 * ms}},
		{"no target, in time for the deadline", func(r *spill.Request) { r.Ahead, r.Target = 20, 0 }, spill.Verdict{Kind: spill.Wait}},
		{"deadline is close", func(r *spill.Request) { r.TimeLeft = 50 * ms }, spill.Verdict{Kind: spill.Refuse, RetryAfter: 50 * ms}},
	} {
		r := waiting()
		r.InFlight = 2
		table := settled(r)
		c.change(&r)
		if got := table.Decide(start.Add(4*time.Second), r); got != c.want {
			t.Errorf("%s: got %+v, want %+v", c.name, got, c.want)
		}
	}
}

// TestHalfFreeIsNotRefused guards against a refusal by a wrong view of one region while half of all
// slots are free.
func TestHalfFreeIsNotRefused(t *testing.T) {
	r := waiting()
	r.InFlight, r.Ahead, r.Regions[0].Slots, r.Regions[0].Load, r.Regions[0].RoundTrip = 2, 20, 24, 2, target
	table := settled(r)
	if got := table.Decide(start.Add(4*time.Second), r); got.Kind != spill.Send {
		t.Errorf("got %+v with 13 of 36 slots in use and a far region, want Send", got)
	}
}

// TestQuietRegionKeepsItsRequests guards against a change where endpoints are under half of their
// slots: every request is sent to them, also while the other regions are idle.
func TestQuietRegionKeepsItsRequests(t *testing.T) {
	r := waiting()
	r.Reported, r.Announced, r.Free, r.Regions[0].Load, r.InFlight = 6, 5, true, 0, 9
	table := settled(r)
	for i := range 1000 {
		if got := table.Decide(start.Add(4*time.Second+time.Duration(i)*ms), r); got.Kind != spill.Send {
			t.Fatalf("request %d: got %+v, want Send", i, got)
		}
	}
}

// TestClosedRegionGetsNothing guards against requests for a region that does not answer, whose
// last announced load was low.
func TestClosedRegionGetsNothing(t *testing.T) {
	r := waiting()
	r.Free, r.Regions[0].Load, r.Regions[0].Closed, r.InFlight = true, 0, true, 0
	table := settled(r)
	for i := range 1000 {
		if got := table.Decide(start.Add(4*time.Second+time.Duration(i)*ms), r); got.Kind != spill.Send {
			t.Fatalf("request %d: got %+v, want Send", i, got)
		}
	}
}

// TestShortPromptsCross guards against short prompts of a busy region that all stay, as they are sent
// at once at any load, and against prompts that cross while the region has free slots.
func TestShortPromptsCross(t *testing.T) {
	for _, tt := range []struct {
		busy     float64
		min, max float64
	}{{0.3, 0, 0}, {0.5, 0, 0}, {0.95, 0.3, 0.5}} {
		table, crossed := spill.New(rand.New(rand.NewPCG(2, 2))), 0
		const prompts = 4000
		for i := range prompts {
			r := spill.Request{
				Service: "engines", Slots: 160, TimeLeft: 4 * time.Second, Target: 1200 * ms,
				Regions: []spill.Region{{Name: "r1", Slots: 320, Load: 40, RoundTrip: 110 * ms}},
			}
			// What crossed is missing in the load.
			r.Announced = tt.busy * r.Slots * (1 - float64(crossed)/float64(i+1))
			if table.Crossing(start.Add(time.Duration(i)*ms), r) >= 0 {
				crossed++
			}
		}
		if share := float64(crossed) / prompts; share < tt.min || share > tt.max {
			t.Errorf("%.2f of the slots busy: %.3f of the prompts cross, want %.2f to %.2f", tt.busy, share, tt.min, tt.max)
		}
	}
}
