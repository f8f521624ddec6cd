package acks

import (
	"math/rand/v2"
	"testing"
	"time"
)

const roundTrip = 80 * time.Millisecond

var relay = Peer{Host: "relay", Incarnation: 1}

// play is a relay that gets requests at a rate and is paused for some time.
type play struct {
	perSecond  int
	answerTime time.Duration
	// pausedAt and wakesAt bound the pause, as times from the start.
	pausedAt, wakesAt time.Duration
}

// outcome counts the requests of a play.
type outcome struct {
	// sent counts the requests that were sent in the pause, held those that were not, and
	// heldAwake those that were not although the relay was awake.
	sent, held, heldAwake int
}

// event is a frame for a request, or its end.
type event struct {
	req *Request
	end bool
}

// run plays 10 s with acknowledgements within one to two round trips and frames each second.
func (p play) run(rnd *rand.Rand) outcome {
	const step = time.Millisecond
	epoch := time.Unix(1_000_000, 0)
	table := NewTable()
	events := map[time.Duration][]event{}
	var out outcome
	paused := func(at time.Duration) bool { return at >= p.pausedAt && at < p.wakesAt }
	for at := time.Duration(0); at < 10*time.Second; at += step {
		now := epoch.Add(at)
		for _, e := range events[at] {
			if paused(at) {
				wake := p.wakesAt + roundTrip/2
				events[wake] = append(events[wake], e)
				continue
			}
			e.req.Receive(now)
			if e.end {
				e.req.Close()
			}
		}
		if rnd.Float64() >= float64(p.perSecond)*step.Seconds() {
			continue
		}
		if table.Silent(now, relay, roundTrip) {
			if out.held++; !paused(at) && at < p.pausedAt {
				out.heldAwake++
			}
			continue
		}
		if paused(at) {
			out.sent++
		}
		r := table.Open(now, relay)
		ack := at + roundTrip + time.Duration(rnd.IntN(int(roundTrip/step)))*step
		for alive := ack; alive < ack+p.answerTime; alive += aliveInterval {
			events[alive] = append(events[alive], event{r, false})
		}
		end := ack + p.answerTime
		events[end] = append(events[end], event{r, true})
	}
	return out
}

// TestRequestsAtSilentRelay plays loads on a relay that is paused for 4 s: it gets at most
// the requests of the time that an acknowledgement may take and a few more, and none is
// held while it is awake.
func TestRequestsAtSilentRelay(t *testing.T) {
	for _, p := range []play{
		{perSecond: 2, answerTime: 5 * time.Second},
		{perSecond: 2, answerTime: 10 * time.Millisecond},
		{perSecond: 40, answerTime: 2 * time.Second},
		{perSecond: 300, answerTime: 10 * time.Millisecond},
		{perSecond: 300, answerTime: 4 * time.Second},
	} {
		p.pausedAt, p.wakesAt = 3*time.Second, 7*time.Second
		for seed := range uint64(10) {
			out := p.run(rand.New(rand.NewPCG(seed, 1)))
			wait := (ackTime + 2*roundTrip).Seconds()
			most := maxUnacked + 2*int(float64(p.perSecond)*wait+1)
			if out.sent > most || out.heldAwake > 0 {
				t.Errorf("%d requests a second, seed %d: %d sent in the pause, want at most %d; %d held while awake, want none", p.perSecond, seed, out.sent, most, out.heldAwake)
			}
			if seed == 0 {
				t.Logf("%d requests a second, answers of %v: %d sent in the pause, %d held", p.perSecond, p.answerTime, out.sent, out.held)
			}
		}
	}
}

// TestSilentRelayReturns: a silent relay gets requests again as soon as it sends a frame, or
// once nothing is open at it.
func TestSilentRelayReturns(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	table := NewTable()
	var open []*Request
	for range maxUnacked {
		open = append(open, table.Open(now, relay))
	}
	if table.Silent(now.Add(ackTime), relay, roundTrip) {
		t.Error("a relay counts as silent before an acknowledgement can have arrived")
	}
	late := now.Add(ackTime + roundTrip + time.Millisecond)
	if !table.Silent(late, relay, roundTrip) {
		t.Error("a relay that acknowledges nothing does not count as silent")
	}
	open[0].Receive(late)
	if table.Silent(late, relay, roundTrip) {
		t.Error("a relay counts as silent though a frame has just arrived")
	}
	for _, r := range open {
		r.Close()
	}
	if table.Silent(late.Add(time.Hour), relay, roundTrip) {
		t.Error("a relay without open requests counts as silent")
	}
}
