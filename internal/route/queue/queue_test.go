package queue

import (
	"sort"
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
	l := NewLine(10)
	late := l.Join(epoch, 2)
	soon := l.Join(epoch.Add(time.Second), 0)
	l.Wake(1)
	if !taken(soon) || taken(late) {
		t.Fatal("class 0 did not come before class 2")
	}
	young := l.Join(epoch.Add(3*ageStep), 0)
	l.Wake(1)
	if !taken(late) || taken(young) {
		t.Fatal("a request of class 2 starves behind younger ones of class 0")
	}
}

func TestLimitAndLeave(t *testing.T) {
	l := NewLine(1)
	it := l.Join(epoch, 0)
	if l.Join(epoch, 0) != nil {
		t.Fatal("queue took more than its limit")
	}
	if !l.Leave(it) || l.Leave(it) {
		t.Fatal("leaving is not exact")
	}
	if l.Len() != 0 || l.Wake(1) != 0 {
		t.Fatal("queue is not empty")
	}
}

// TestOrder compares the queue with a sorted list under any sequence of steps.
func TestOrder(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := NewLine(20)
		var model []*Item
		now := epoch
		rt.Repeat(map[string]func(*rapid.T){
			"join": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
				if it := l.Join(now, rapid.IntRange(0, 3).Draw(rt, "class")); it != nil {
					model = append(model, it)
				} else if len(model) < 20 {
					rt.Fatal("refused below the limit")
				}
			},
			"leave": func(rt *rapid.T) {
				if len(model) == 0 {
					rt.Skip()
				}
				i := rapid.IntRange(0, len(model)-1).Draw(rt, "i")
				if !l.Leave(model[i]) {
					rt.Fatal("a waiting request could not leave")
				}
				model = append(model[:i], model[i+1:]...)
			},
			"wake": func(rt *rapid.T) {
				sort.SliceStable(model, func(i, j int) bool {
					if !model[i].rank.Equal(model[j].rank) {
						return model[i].rank.Before(model[j].rank)
					}
					return model[i].seq < model[j].seq
				})
				n := l.Wake(1)
				if n != min(1, len(model)) {
					rt.Fatalf("woke %d of %d", n, len(model))
				}
				if n == 1 {
					if !taken(model[0]) {
						rt.Fatal("the first one was not woken")
					}
					model = model[1:]
				}
			},
			"": func(rt *rapid.T) {
				if l.Len() != len(model) {
					rt.Fatalf("length %d, want %d", l.Len(), len(model))
				}
			},
		})
	})
}
