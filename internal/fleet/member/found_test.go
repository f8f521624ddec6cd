package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

// found is a fleet whose hosts know one seed only, with datagrams that arrive at
// once unless their host is down.
type found struct {
	now    time.Time
	tables map[string]*Table
	down   map[string]bool
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

func find(n int) *found {
	f := &found{now: time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC), tables: map[string]*Table{}, down: map[string]bool{}}
	for i := range n {
		f.join(i, 1)
	}
	return f
}

func (f *found) join(i int, life uint64) {
	t := New(address(i), life, uint64(i))
	t.Find(f.now, Candidate{
		Name: address(i), Address: address(i), Region: fmt.Sprint("r", i%3), Callers: fmt.Sprintf("10.0.0.%d:2", i),
	}, []string{address(0), address(1)})
	f.tables[address(i)] = t
}

func (f *found) deliver(list []Out) {
	for len(list) > 0 {
		o := list[0]
		list = list[1:]
		if t, ok := f.tables[o.Address]; ok && !f.down[o.Address] && !f.down[o.Packet.From] {
			list = append(list, t.Receive(f.now, o.Packet)...)
		}
	}
}

func (f *found) run(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for i := range len(f.tables) {
			f.deliver(f.tables[address(i)].Tick(f.now))
		}
	}
}

func (f *found) sound(from int) int {
	n := 0
	for _, m := range f.tables[address(from)].Members() {
		if m.Sound() && m.Region != "" && m.Callers != "" {
			n++
		}
	}
	return n
}

// startTime is how long before the first caller a fleet starts.
const startTime = 8 * time.Second

// TestFleetFindsItself: from one seed all hosts know all others before callers come.
func TestFleetFindsItself(t *testing.T) {
	for _, n := range []int{2, 7, 40} {
		f := find(n)
		f.run(startTime)
		for i := range n {
			if got := f.sound(i); got != n-1 {
				t.Errorf("%d hosts: host %d knows %d others", n, i, got)
			}
		}
	}
}

// TestRestartedHostKnowsTheFleetInAMoment: it does not wait for one probe a period.
func TestRestartedHostKnowsTheFleetInAMoment(t *testing.T) {
	f := find(7)
	f.run(5 * time.Second)
	f.join(4, 2)
	f.run(time.Second)
	if got := f.sound(4); got != 6 {
		t.Errorf("knows %d others after a second", got)
	}
	f.run(time.Second)
	if m, _ := f.tables[address(2)].Member(address(4)); m.Life != 2 || !m.Sound() {
		t.Errorf("others believe %+v of it", m)
	}
}

func TestCountsTheDeadButNotTheLeft(t *testing.T) {
	f := find(4)
	f.run(3 * time.Second)
	f.down[address(3)] = true
	f.run(30 * time.Second)
	table := f.tables[address(0)]
	if m, _ := table.Member(address(3)); m.State != wire.Dead {
		t.Fatalf("state %v", m.State)
	}
	if got := table.Count(); got != 4 {
		t.Errorf("counts %d with one dead", got)
	}
	f.tables[address(2)].SetSelf(Self{Leaving: true, Gone: true})
	f.deliver(f.tables[address(2)].Announce(true))
	if got := table.Count(); got != 3 {
		t.Errorf("counts %d with one that left", got)
	}
	f.run(forget)
	if _, ok := table.Member(address(3)); ok {
		t.Error("a dead host is never forgotten")
	}
}
