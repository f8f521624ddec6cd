package member

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/base/seeds"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

func init() { seeds.Fix() }

const step = 50 * time.Millisecond

// net delivers packets between tables one step later, unless cut says not to.
type network struct {
	now    time.Time
	tables map[string]*Table
	queue  []Out
	cut    func(from, to string) bool
	sent   int
}

func hostName(i int) string { return fmt.Sprintf("h%d", i) }

func newNetwork(n int) *network {
	w := &network{now: time.Unix(1_000_000, 0), tables: map[string]*Table{}, cut: func(string, string) bool { return false }}
	for i := range n {
		w.start(hostName(i), uint64(i+1), n)
	}
	return w
}

func (w *network) start(name string, life uint64, n int) {
	t := New(name, life, life)
	var list []Candidate
	for i := range n {
		list = append(list, Candidate{Name: hostName(i), Address: hostName(i), Region: "r"})
	}
	t.SetCandidates(w.now, list)
	w.tables[name] = t
}

func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		var next []Out
		for _, o := range w.queue {
			to, ok := w.tables[o.Host]
			if ok && !w.cut(o.Packet.From, o.Host) {
				next = append(next, to.Receive(w.now, o.Packet)...)
			}
		}
		for _, name := range slices.Sorted(maps.Keys(w.tables)) {
			next = append(next, w.tables[name].Tick(w.now)...)
		}
		w.queue = next
		w.sent += len(next)
	}
}

func (w *network) state(at, of string) wire.State {
	m, _ := w.tables[at].Member(of)
	if m.Life == 0 {
		return 0
	}
	return m.State
}

func (w *network) all(t testing.TB, want wire.State, of string) {
	t.Helper()
	for at := range w.tables {
		if at != of && w.state(at, of) != want {
			t.Errorf("%s holds %s %v, want %v", at, of, w.state(at, of), want)
		}
	}
}

func TestJoinAndDeath(t *testing.T) {
	w := newNetwork(9)
	w.run(12 * time.Second)
	for i := range 9 {
		w.all(t, wire.Alive, hostName(i))
	}
	delete(w.tables, "h3")
	w.run(40 * time.Second)
	w.all(t, wire.Dead, "h3")
	w.start("h3", 100, 9)
	w.run(12 * time.Second)
	w.all(t, wire.Alive, "h3")
}

func TestPartitionHeals(t *testing.T) {
	w := newNetwork(8)
	w.run(12 * time.Second)
	side := func(n string) bool { return n < "h4" }
	w.cut = func(from, to string) bool { return side(from) != side(to) }
	w.run(60 * time.Second)
	if w.state("h0", "h6") != wire.Dead || w.state("h6", "h0") != wire.Dead || w.state("h0", "h1") != wire.Alive {
		t.Fatal("a partition is not noticed on both sides")
	}
	w.cut = func(string, string) bool { return false }
	w.run(60 * time.Second)
	for i := range 8 {
		w.all(t, wire.Alive, hostName(i))
	}
}

// TestOneSilentPair: two hosts that can't reach each other directly are held
// alive by way of the others.
func TestOneSilentPair(t *testing.T) {
	w := newNetwork(6)
	w.run(12 * time.Second)
	w.cut = func(from, to string) bool { return from+to == "h0h1" || from+to == "h1h0" }
	w.run(60 * time.Second)
	w.all(t, wire.Alive, "h0")
	w.all(t, wire.Alive, "h1")
}

func TestLeavingIsTold(t *testing.T) {
	w := newNetwork(5)
	w.run(10 * time.Second)
	w.tables["h2"].SetSelf(Self{Leaving: true})
	w.queue = append(w.queue, w.tables["h2"].Announce(true)...)
	w.run(2 * step)
	for at, table := range w.tables {
		if m, _ := table.Member("h2"); at != "h2" && m.Usable() {
			t.Errorf("%s would still use a leaving host", at)
		}
	}
}

// TestGoneIsTold: a host that ends is known to have left at once, not suspected,
// and its next process is taken in.
func TestGoneIsTold(t *testing.T) {
	w := newNetwork(5)
	w.run(10 * time.Second)
	w.tables["h2"].SetSelf(Self{Leaving: true, Gone: true})
	w.queue = append(w.queue, w.tables["h2"].Announce(true)...)
	w.run(step)
	delete(w.tables, "h2")
	w.run(2 * step)
	w.all(t, wire.Left, "h2")
	w.start("h2", 50, 5)
	w.run(15 * time.Second)
	w.all(t, wire.Alive, "h2")
}

func TestOldLifeIsIgnored(t *testing.T) {
	w := newNetwork(2)
	w.run(5 * time.Second)
	if out := w.tables["h0"].Receive(w.now, wire.Packet{Kind: wire.Ping, From: "h1", Life: 1}); out != nil {
		t.Error("a packet of an earlier process was answered")
	}
	if out := w.tables["h0"].Receive(w.now, wire.Packet{Kind: wire.Ping, From: "stranger", Life: 9}); out != nil {
		t.Error("a packet of a host that is not listed was answered")
	}
}

// TestCostIsConstant: packets a host and second do not grow with the fleet.
func TestCostIsConstant(t *testing.T) {
	perHost := func(n int) float64 {
		w := newNetwork(n)
		w.run(20 * time.Second)
		w.sent = 0
		w.run(20 * time.Second)
		return float64(w.sent) / 20 / float64(n)
	}
	small, large := perHost(8), perHost(64)
	if large > 1.5*small {
		t.Errorf("%.1f packets a second with 64 hosts, %.1f with 8", large, small)
	}
}

// TestNoFalseDeath: whatever single packets are lost, at a loss of up to a
// tenth, a live host is not held dead for long.
func TestNoFalseDeath(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(3, 7).Draw(rt, "hosts")
		seed := rapid.Uint64().Draw(rt, "seed")
		w := newNetwork(n)
		w.run(12 * time.Second)
		w.cut = func(string, string) bool {
			seed = seed*6364136223846793005 + 1442695040888963407
			return seed>>33%10 == 0
		}
		w.run(30 * time.Second)
		w.cut = func(string, string) bool { return false }
		w.run(30 * time.Second)
		for i := range n {
			for at := range w.tables {
				if at != hostName(i) && w.state(at, hostName(i)) != wire.Alive {
					rt.Fatalf("%s holds %s %v", at, hostName(i), w.state(at, hostName(i)))
				}
			}
		}
	})
}
