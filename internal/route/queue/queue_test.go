package queue

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/base/seeds"
)

func init() { seeds.Fix() }

var epoch = time.Unix(1_000_000, 0)

// removed reports whether an item was woken or evicted.
func removed(it *Waiter) bool {
	select {
	case <-it.Ready:
		return true
	default:
		return false
	}
}

func TestPriorityAndAging(t *testing.T) {
	l := New(10, false)
	low := l.Join(epoch, 2, "c")
	high := l.Join(epoch.Add(time.Second), 0, "c")
	l.Wake(epoch.Add(time.Second), 1)
	if !removed(high) || removed(low) {
		t.Fatal("want the request of class 0 woken before that of class 2")
	}
	now := epoch.Add(3 * agingStep)
	young := l.Join(now, 0, "c")
	l.Wake(now, 1)
	if !removed(low) || removed(young) {
		t.Fatal("want the request of class 2 woken, which waited for three aging steps, before a new one of class 0")
	}
}

func TestLimitAndLeave(t *testing.T) {
	l := New(1, false)
	it := l.Join(epoch, 0, "c")
	if l.Join(epoch, 0, "d") != nil {
		t.Fatal("queue accepted more requests than its limit")
	}
	if !l.Leave(it) || l.Leave(it) {
		t.Fatal("want Leave to report true once and false after that")
	}
	if l.Len() != 0 || l.Wake(epoch, 1) != 0 {
		t.Fatal("queue is not empty")
	}
}

func TestFairQueueEvictsLargestCaller(t *testing.T) {
	l := New(4, true)
	var greedy []*Waiter
	for range 4 {
		greedy = append(greedy, l.Join(epoch, 0, "greedy"))
	}
	if l.Join(epoch, 0, "greedy") != nil {
		t.Fatal("queue accepted more requests than its limit")
	}
	if l.Join(epoch, 0, "other") == nil || !l.Evicted(greedy[3]) || l.Evicted(greedy[2]) {
		t.Fatal("want the last request of the greedy caller evicted, and only that one")
	}
	if got := l.Ahead(epoch, 0, "other"); got != 3 {
		t.Errorf("%d requests ahead of another caller's second one, want 3: its own first and two of the greedy caller", got)
	}
	if got := l.Ahead(epoch, 0, "greedy"); got != 4 {
		t.Errorf("%d requests ahead of the greedy caller's next one, want 4", got)
	}
}

// TestFairService checks that callers which always have queued requests receive service
// that differs by no more than two of the largest requests, whatever their sizes: the
// bound that the paper proves for virtual token counters. A caller gets no credit for the
// time before it joined.
func TestFairService(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const largest = 100.0
		l := New(1000, true)
		names := []string{"a", "b", "c"}
		sizes := map[string]float64{}
		for _, n := range names {
			sizes[n] = rapid.Float64Range(1, largest).Draw(rt, n)
		}
		got := map[string]float64{}
		waits := map[string][]*Waiter{}
		for range 200 {
			for _, n := range names {
				for len(waits[n]) < 2 {
					waits[n] = append(waits[n], l.Join(epoch, 0, n))
				}
			}
			l.Wake(epoch, 1)
			for _, n := range names {
				if removed(waits[n][0]) {
					waits[n] = waits[n][1:]
					l.Charge(n, sizes[n])
					got[n] += sizes[n]
				}
			}
			for _, n := range names {
				if d := got[n] - got["a"]; d > 2*largest || d < -2*largest {
					rt.Fatalf("service by caller %v differs by more than two of the largest requests", got)
				}
			}
		}
		l.Join(epoch, 0, "new")
		if l.counters["new"] < min(l.counters["a"], l.counters["b"], l.counters["c"]) {
			rt.Fatal("a new caller starts with a lower counter than all queued callers")
		}
	})
}

// TestNoRequestIsLost checks after any sequence of steps that every request is in exactly
// one state: waiting, woken, evicted or left.
func TestNoRequestIsLost(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		fair := rapid.Bool().Draw(rt, "fair")
		l := New(12, fair)
		var model []*Waiter
		now := epoch
		dropRemoved := func() {
			var rest []*Waiter
			for _, it := range model {
				if !removed(it) {
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
					rt.Fatal("refused a request below the limit")
				}
				dropRemoved()
			},
			"leave": func(rt *rapid.T) {
				if len(model) == 0 {
					rt.Skip()
				}
				if !l.Leave(model[rapid.IntRange(0, len(model)-1).Draw(rt, "i")]) {
					rt.Fatal("Leave of a waiting request reports false")
				}
				model = nil
				model = append(model, l.items...)
			},
			"wake": func(rt *rapid.T) {
				before := len(model)
				n := l.Wake(now, 1)
				dropRemoved()
				if n != min(1, before) || before-len(model) != n {
					rt.Fatalf("woke %d of %d requests, want exactly one if any waits", n, before)
				}
			},
			"": func(rt *rapid.T) {
				if l.Len() != len(model) || l.Len() > 12 {
					rt.Fatalf("queue length %d, want %d and at most 12", l.Len(), len(model))
				}
			},
		})
	})
}
