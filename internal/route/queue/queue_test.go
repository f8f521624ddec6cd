package queue

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/base/seeds"
)

func init() { seeds.Fix() }

var epoch = time.Unix(1_000_000, 0)

func taken(it *Item) bool {
	select {
	case <-it.Turn:
		return true
	default:
		return false
	}
}

func TestClassesComeInOrderAndAge(t *testing.T) {
	l := NewLine(10, false)
	late := l.Join(epoch, 2, "c")
	soon := l.Join(epoch.Add(time.Second), 0, "c")
	l.Wake(epoch.Add(time.Second), 1)
	if !taken(soon) || taken(late) {
		t.Fatal("class 0 did not come before class 2")
	}
	now := epoch.Add(3 * ageStep)
	young := l.Join(now, 0, "c")
	l.Wake(now, 1)
	if !taken(late) || taken(young) {
		t.Fatal("a request of class 2 starves behind younger ones of class 0")
	}
}

func TestLimitAndLeave(t *testing.T) {
	l := NewLine(1, false)
	it := l.Join(epoch, 0, "c")
	if l.Join(epoch, 0, "d") != nil {
		t.Fatal("queue took more than its limit")
	}
	if !l.Leave(it) || l.Leave(it) {
		t.Fatal("leaving is not exact")
	}
	if l.Len() != 0 || l.Wake(epoch, 1) != 0 {
		t.Fatal("queue is not empty")
	}
}

func TestFairPutsOutTheGreedy(t *testing.T) {
	l := NewLine(4, true)
	var greedy []*Item
	for range 4 {
		greedy = append(greedy, l.Join(epoch, 0, "greedy"))
	}
	if l.Join(epoch, 0, "greedy") != nil {
		t.Fatal("queue took more than its limit")
	}
	if l.Join(epoch, 0, "other") == nil || !l.PutOut(greedy[3]) || l.PutOut(greedy[2]) {
		t.Fatal("the last request of the greedy caller did not make room")
	}
	if got := l.Ahead(epoch, 0, "other"); got != 3 {
		t.Errorf("%d ahead of another caller's second request, want its own and two", got)
	}
	if got := l.Ahead(epoch, 0, "greedy"); got != 4 {
		t.Errorf("%d ahead of the greedy caller, want 4", got)
	}
}

// TestFairShares: callers that always wait get service within the bound that the
// paper proves for virtual token counters, two of the largest requests, whatever
// their sizes; one that comes back does not live on the past.
func TestFairShares(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const largest = 100.0
		l := NewLine(1000, true)
		names := []string{"a", "b", "c"}
		sizes := map[string]float64{}
		for _, n := range names {
			sizes[n] = rapid.Float64Range(1, largest).Draw(rt, n)
		}
		got := map[string]float64{}
		waits := map[string][]*Item{}
		for range 200 {
			for _, n := range names {
				for len(waits[n]) < 2 {
					waits[n] = append(waits[n], l.Join(epoch, 0, n))
				}
			}
			l.Wake(epoch, 1)
			for _, n := range names {
				if taken(waits[n][0]) {
					waits[n] = waits[n][1:]
					l.Charge(n, sizes[n])
					got[n] += sizes[n]
				}
			}
			for _, n := range names {
				if d := got[n] - got["a"]; d > 2*largest || d < -2*largest {
					rt.Fatalf("service %v", got)
				}
			}
		}
		l.Join(epoch, 0, "new")
		if l.counters["new"] < min(l.counters["a"], l.counters["b"], l.counters["c"]) {
			rt.Fatal("a new caller starts behind all others")
		}
	})
}

// TestNobodyIsLost drives a queue through any steps: every request is waiting,
// woken, put out, or has left, exactly one of them.
func TestNobodyIsLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fair := rapid.Bool().Draw(rt, "fair")
		l := NewLine(12, fair)
		var model []*Item
		now := epoch
		forget := func() {
			var rest []*Item
			for _, it := range model {
				if !taken(it) {
					rest = append(rest, it)
				}
			}
			model = rest
		}
		rt.Repeat(map[string]func(*rapid.T){
			"join": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
				caller := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "caller")
				if it := l.Join(now, rapid.IntRange(0, 3).Draw(rt, "class"), caller); it != nil {
					model = append(model, it)
				} else if len(model) < 12 {
					rt.Fatal("refused below the limit")
				}
				forget()
			},
			"leave": func(rt *rapid.T) {
				if len(model) == 0 {
					rt.Skip()
				}
				if !l.Leave(model[rapid.IntRange(0, len(model)-1).Draw(rt, "i")]) {
					rt.Fatal("a waiting request could not leave")
				}
				model = nil
				model = append(model, l.items...)
			},
			"wake": func(rt *rapid.T) {
				before := len(model)
				n := l.Wake(now, 1)
				forget()
				if n != min(1, before) || before-len(model) != n {
					rt.Fatalf("woke %d of %d", n, before)
				}
			},
			"": func(rt *rapid.T) {
				if l.Len() != len(model) || l.Len() > 12 {
					rt.Fatalf("length %d, want %d", l.Len(), len(model))
				}
			},
		})
	})
}
