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
		ask  Ask
		want Kind
	}{
		{"short and free", Ask{Read: 4 * ms, Expect: 90 * ms, Target: 600 * ms, Left: time.Second}, Go},
		{"short behind a queue that it can bear", Ask{Read: 4 * ms, Pending: 400 * ms, Expect: 500 * ms, Target: 600 * ms, Left: time.Second}, Go},
		{"short behind too long a queue", Ask{Read: 4 * ms, Pending: time.Second, Expect: 1100 * ms, Target: 600 * ms, Left: 4 * time.Second}, Refuse},
		{"long and free", Ask{Read: 250 * ms, Expect: 340 * ms, Target: time.Second, Left: 6 * time.Second}, Go},
		{"long behind another", Ask{Read: 250 * ms, Pending: 250 * ms, Expect: 600 * ms, Target: time.Second, Left: 6 * time.Second}, Wait},
		{"long behind those that wait", Ask{Read: 250 * ms, Expect: 340 * ms, Backlog: 200 * ms, Target: time.Second, Left: 6 * time.Second}, Wait},
		{"first of those that wait", Ask{Read: 250 * ms, Expect: 340 * ms, Backlog: 200 * ms, First: true, Target: time.Second, Left: 6 * time.Second}, Go},
		{"long that would be too late", Ask{Read: 250 * ms, Expect: 340 * ms, Backlog: 2 * time.Second, Target: time.Second, Left: 6 * time.Second}, Refuse},
		{"late by its own size and free", Ask{Read: 1500 * ms, Expect: 1600 * ms, Target: time.Second, Left: 6 * time.Second}, Go},
		{"late by its own size behind others", Ask{Read: 1500 * ms, Pending: 100 * ms, Expect: 1700 * ms, Backlog: 500 * ms, Target: time.Second, Left: 6 * time.Second}, Refuse},
		{"late by its way", Ask{Read: 4 * ms, Expect: 90 * ms, Away: 600 * ms, Target: 600 * ms, Left: 6 * time.Second}, Go},
		{"no promised time", Ask{Read: 4 * ms, Expect: 2 * time.Second, Left: 6 * time.Second}, Go},
		{"no time left", Ask{Read: 4 * ms, Expect: 90 * ms, Left: 50 * ms}, Refuse},
	}
	for _, tt := range tests {
		if got := Decide(tt.ask); got.Kind != tt.want || (got.Kind == Refuse && got.Back <= 0) {
			t.Errorf("%s: %+v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestNothingGoesPastItsDeadline holds for any request.
func TestNothingGoesPastItsDeadline(t *testing.T) {
	draw := func(rt *rapid.T, name string) time.Duration {
		return time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(rt, name))
	}
	rapid.Check(t, func(rt *rapid.T) {
		a := Ask{
			Read: draw(rt, "read"), Pending: draw(rt, "pending"), Expect: draw(rt, "expect"), Backlog: draw(rt, "backlog"),
			Waited: draw(rt, "waited"), Target: draw(rt, "target"), Left: draw(rt, "left"), First: rapid.Bool().Draw(rt, "first"),
		}
		if v := Decide(a); v.Kind != Refuse && a.Expect > a.Left {
			rt.Fatalf("%+v: %+v", a, v)
		}
	})
}

// played is a request of the played load.
type played struct {
	at, read, target time.Duration
}

// play sends a load to one engine that reads in order of arrival, with or
// without admission, and returns how many short and long ones were on time.
func play(load []played, admitted bool) (short, long int) {
	var free time.Duration
	var queue []played
	serve := func(now time.Duration, p played) {
		free = max(free, now) + p.read
		if free-p.at > p.target {
			return
		}
		if p.read < Long {
			short++
		} else {
			long++
		}
	}
	for now, i := time.Duration(0), 0; i < len(load) || len(queue) > 0; now += ms {
		for ; i < len(load) && load[i].at <= now; i++ {
			if !admitted {
				serve(now, load[i])
				continue
			}
			queue = append(queue, load[i])
		}
		waiting := queue[:0]
		var backlog time.Duration
		for _, p := range queue {
			pending := max(0, free-now)
			a := Ask{Read: p.read, Pending: pending, Expect: pending + p.read, Waited: now - p.at, Target: p.target, Left: time.Minute}
			if p.read >= Long {
				a.Backlog, a.First = backlog, backlog == 0
			}
			switch Decide(a).Kind {
			case Go:
				serve(now, p)
			case Wait:
				waiting = append(waiting, p)
				backlog += p.read
			case Refuse:
			}
		}
		queue = waiting
	}
	return short, long
}

// TestOverloadOfLongPrompts plays short prompts beside long ones that alone take
// more than the engine has, and checks what callers get: nearly all short ones on
// time, and more long ones than without admission.
func TestOverloadOfLongPrompts(t *testing.T) {
	r := rand.New(rand.NewPCG(3, 3))
	var load []played
	shorts := 0
	for at := time.Duration(0); at < 20*time.Second; at += time.Duration(r.ExpFloat64() * float64(10*ms)) {
		p := played{at: at, read: 4 * ms, target: 600 * ms}
		if r.IntN(15) == 0 {
			p = played{at: at, read: 250 * ms, target: time.Second}
		} else {
			shorts++
		}
		load = append(load, p)
	}
	without, withoutLong := play(load, false)
	with, withLong := play(load, true)
	if with*100 < shorts*95 {
		t.Errorf("%d of %d short prompts on time, %d without admission", with, shorts, without)
	}
	if withLong <= 2*withoutLong {
		t.Errorf("%d long prompts on time, %d without admission", withLong, withoutLong)
	}
}

// TestLateByAFailedAttempt: a request whose first endpoint failed late is not
// refused where nothing holds it up now, and is where it would wait again.
func TestLateByAFailedAttempt(t *testing.T) {
	const ms = time.Millisecond
	ask := Ask{Waited: 883 * ms, Lost: 880 * ms, Expect: 123 * ms, Pending: 10 * ms, Target: 600 * ms, Left: 2200 * ms}
	if v := Decide(ask); v.Kind != Go {
		t.Errorf("verdict %v", v)
	}
	queued := ask
	queued.Expect, queued.Pending = 523*ms, 410*ms
	if v := Decide(queued); v.Kind != Refuse {
		t.Errorf("verdict %v behind 410 ms of others", v)
	}
	over := ask
	over.Left = 100 * ms
	if v := Decide(over); v.Kind != Refuse {
		t.Errorf("verdict %v with 100 ms left", v)
	}
}
