package admit

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/base/seeds"
)

func init() { seeds.Fix() }

const ms = time.Millisecond

func TestDecide(t *testing.T) {
	tests := []struct {
		name string
		ask  Request
		want Kind
	}{
		{"short prompt, idle endpoint", Request{Prefill: 4 * ms, ExpectedLatency: 90 * ms, Target: 600 * ms, TimeLeft: time.Second}, Admit},
		{"short prompt, queue within the target", Request{Prefill: 4 * ms, QueuedPrefill: 400 * ms, ExpectedLatency: 500 * ms, Target: 600 * ms, TimeLeft: time.Second}, Admit},
		{"short prompt, queue beyond the target", Request{Prefill: 4 * ms, QueuedPrefill: time.Second, ExpectedLatency: 1100 * ms, Target: 600 * ms, TimeLeft: 4 * time.Second}, Refuse},
		{"long prompt, idle endpoint", Request{Prefill: 250 * ms, ExpectedLatency: 340 * ms, Target: time.Second, TimeLeft: 6 * time.Second}, Admit},
		{"long prompt, another one in prefill", Request{Prefill: 250 * ms, QueuedPrefill: 250 * ms, ExpectedLatency: 600 * ms, Target: time.Second, TimeLeft: 6 * time.Second}, Wait},
		{"long prompt behind the host's queue", Request{Prefill: 250 * ms, ExpectedLatency: 340 * ms, Backlog: 200 * ms, Target: time.Second, TimeLeft: 6 * time.Second}, Wait},
		{"long prompt at the head of the host's queue", Request{Prefill: 250 * ms, ExpectedLatency: 340 * ms, Backlog: 200 * ms, QueueHead: true, Target: time.Second, TimeLeft: 6 * time.Second}, Admit},
		{"long prompt, host's queue beyond the target", Request{Prefill: 250 * ms, ExpectedLatency: 340 * ms, Backlog: 2 * time.Second, Target: time.Second, TimeLeft: 6 * time.Second}, Refuse},
		{"late because of its own size, idle endpoint", Request{Prefill: 1500 * ms, ExpectedLatency: 1600 * ms, Target: time.Second, TimeLeft: 6 * time.Second}, Admit},
		{"late because of its own size, with a queue", Request{Prefill: 1500 * ms, QueuedPrefill: 100 * ms, ExpectedLatency: 1700 * ms, Backlog: 500 * ms, Target: time.Second, TimeLeft: 6 * time.Second}, Refuse},
		{"late because of the network round trip", Request{Prefill: 4 * ms, ExpectedLatency: 90 * ms, RoundTrip: 600 * ms, Target: 600 * ms, TimeLeft: 6 * time.Second}, Admit},
		{"no latency target", Request{Prefill: 4 * ms, ExpectedLatency: 2 * time.Second, TimeLeft: 6 * time.Second}, Admit},
		{"deadline before the first token", Request{Prefill: 4 * ms, ExpectedLatency: 90 * ms, TimeLeft: 50 * ms}, Refuse},
	}
	for _, tt := range tests {
		if got := Decide(tt.ask); got.Kind != tt.want || (got.Kind == Refuse && got.RetryAfter <= 0) {
			t.Errorf("%s: Decide = %+v, want kind %v, and a retry delay if refused", tt.name, got, tt.want)
		}
	}
}

// TestLateRequestsAreRefused checks for any request that it is refused if its first
// token is expected after the deadline.
func TestLateRequestsAreRefused(t *testing.T) {
	draw := func(rt *rapid.T, name string) time.Duration {
		return time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(rt, name))
	}
	rapid.Check(t, func(rt *rapid.T) {
		a := Request{
			Prefill: draw(rt, "prefill"), QueuedPrefill: draw(rt, "queued prefill"), ExpectedLatency: draw(rt, "expect"), Backlog: draw(rt, "backlog"),
			Waited: draw(rt, "waited"), Target: draw(rt, "target"), TimeLeft: draw(rt, "left"), QueueHead: rapid.Bool().Draw(rt, "queue head"),
		}
		if v := Decide(a); v.Kind != Refuse && a.ExpectedLatency > a.TimeLeft {
			rt.Fatalf("Decide(%+v) = %+v, want a refusal: first token expected after the deadline", a, v)
		}
	})
}

// arrival is one request of a simulated load.
type arrival struct {
	at, prefill, target time.Duration
}

// simulate sends a load to one engine that prefills in order of arrival, with or
// without admission, and returns how many short and long prompts met their target.
func simulate(load []arrival, admission bool) (short, long int) {
	var idleAt time.Duration
	var queue []arrival
	serve := func(now time.Duration, p arrival) {
		idleAt = max(idleAt, now) + p.prefill
		if idleAt-p.at > p.target {
			return
		}
		if p.prefill < LongPrefill {
			short++
		} else {
			long++
		}
	}
	for now, i := time.Duration(0), 0; i < len(load) || len(queue) > 0; now += ms {
		for ; i < len(load) && load[i].at <= now; i++ {
			if !admission {
				serve(now, load[i])
				continue
			}
			queue = append(queue, load[i])
		}
		waiting := queue[:0]
		var backlog time.Duration
		for _, p := range queue {
			queued := max(0, idleAt-now)
			a := Request{Prefill: p.prefill, QueuedPrefill: queued, ExpectedLatency: queued + p.prefill, Waited: now - p.at, Target: p.target, TimeLeft: time.Minute}
			if p.prefill >= LongPrefill {
				a.Backlog, a.QueueHead = backlog, backlog == 0
			}
			switch Decide(a).Kind {
			case Admit:
				serve(now, p)
			case Wait:
				waiting = append(waiting, p)
				backlog += p.prefill
			case Refuse:
			}
		}
		queue = waiting
	}
	return short, long
}

// TestOverloadOfLongPrompts simulates short prompts beside long prompts that alone
// exceed the engine's capacity. Nearly all short prompts must meet their target, and
// more long prompts than without admission.
func TestOverloadOfLongPrompts(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 3))
	var load []arrival
	shorts := 0
	for at := time.Duration(0); at < 20*time.Second; at += time.Duration(r.ExpFloat64() * float64(10*ms)) {
		p := arrival{at: at, prefill: 4 * ms, target: 600 * ms}
		if r.IntN(15) == 0 {
			p = arrival{at: at, prefill: 250 * ms, target: time.Second}
		} else {
			shorts++
		}
		load = append(load, p)
	}
	shortWithout, longWithout := simulate(load, false)
	shortWith, longWith := simulate(load, true)
	if shortWith*100 < shorts*95 {
		t.Errorf("%d of %d short prompts met their target, want at least 95%%; %d did without admission", shortWith, shorts, shortWithout)
	}
	if longWith <= 2*longWithout {
		t.Errorf("%d long prompts met their target, want more than twice the %d without admission", longWith, longWithout)
	}
}

// TestLateAfterFailedAttempt: a request that is late because its first attempt failed
// late is not refused if the next endpoint is idle, but is if it would queue there.
func TestLateAfterFailedAttempt(t *testing.T) {
	const ms = time.Millisecond
	ask := Request{Waited: 883 * ms, FailedTime: 880 * ms, ExpectedLatency: 123 * ms, QueuedPrefill: 10 * ms, Target: 600 * ms, TimeLeft: 2200 * ms}
	if v := Decide(ask); v.Kind != Admit {
		t.Errorf("after a failed attempt: Decide = %+v, want Admit", v)
	}
	queued := ask
	queued.ExpectedLatency, queued.QueuedPrefill = 523*ms, 410*ms
	if v := Decide(queued); v.Kind != Refuse {
		t.Errorf("behind 410 ms of queued prefill: Decide = %+v, want Refuse", v)
	}
	over := ask
	over.TimeLeft = 100 * ms
	if v := Decide(over); v.Kind != Refuse {
		t.Errorf("100 ms before the deadline: Decide = %+v, want Refuse", v)
	}
}
