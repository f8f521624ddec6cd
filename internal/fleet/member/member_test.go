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

const stepInterval = 50 * time.Millisecond

// network is a simulated network. It delivers packets between tables one step
// later and loses those for which drop returns true.
type network struct {
	now       time.Time
	tables    map[string]*Table
	inTransit []Outgoing
	drop      func(from, to string) bool
	sent      int
}

func hostName(i int) string { return fmt.Sprintf("h%d", i) }

func newNetwork(n int) *network {
	w := &network{now: time.Unix(1_000_000, 0), tables: map[string]*Table{}, drop: func(string, string) bool { return false }}
	for i := range n {
		w.start(hostName(i), uint64(i+1), n)
	}
	return w
}

func (w *network) start(name string, incarnation uint64, n int) {
	t := New(name, incarnation, incarnation)
	var list []Candidate
	for i := range n {
		list = append(list, Candidate{Name: hostName(i), Address: hostName(i), Region: "r"})
	}
	t.SetCandidates(w.now, list)
	w.tables[name] = t
}

func (w *network) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(stepInterval) {
		var next []Outgoing
		for _, o := range w.inTransit {
			to, ok := w.tables[o.Host]
			if ok && !w.drop(o.Packet.From, o.Host) {
				next = append(next, to.Receive(w.now, o.Packet)...)
			}
		}
		for _, name := range slices.Sorted(maps.Keys(w.tables)) {
			next = append(next, w.tables[name].Tick(w.now)...)
		}
		w.inTransit = next
		w.sent += len(next)
	}
}

// state returns the state of a host as seen by an observer, 0 if it has never
// received an update about the host.
func (w *network) state(observer, host string) wire.State {
	m, _ := w.tables[observer].Member(host)
	if m.Incarnation == 0 {
		return 0
	}
	return m.State
}

// expectState fails the test unless all other hosts see a host in a state.
func (w *network) expectState(t testing.TB, want wire.State, host string) {
	t.Helper()
	for observer := range w.tables {
		if observer != host && w.state(observer, host) != want {
			t.Errorf("%s sees %s as %v, want %v", observer, host, w.state(observer, host), want)
		}
	}
}

func TestJoinAndDeath(t *testing.T) {
	w := newNetwork(9)
	w.run(12 * time.Second)
	for i := range 9 {
		w.expectState(t, wire.Alive, hostName(i))
	}
	delete(w.tables, "h3")
	w.run(40 * time.Second)
	w.expectState(t, wire.Dead, "h3")
	w.start("h3", 100, 9)
	w.run(12 * time.Second)
	w.expectState(t, wire.Alive, "h3")
}

func TestPartitionHeals(t *testing.T) {
	w := newNetwork(8)
	w.run(12 * time.Second)
	side := func(n string) bool { return n < "h4" }
	w.drop = func(from, to string) bool { return side(from) != side(to) }
	w.run(60 * time.Second)
	if w.state("h0", "h6") != wire.Dead || w.state("h6", "h0") != wire.Dead || w.state("h0", "h1") != wire.Alive {
		t.Fatal("want h6 dead at h0, h0 dead at h6 and h1 alive at h0 during the partition")
	}
	w.drop = func(string, string) bool { return false }
	w.run(60 * time.Second)
	for i := range 8 {
		w.expectState(t, wire.Alive, hostName(i))
	}
}

// TestIndirectProbes checks that two hosts that cannot reach each other directly
// stay alive for each other because of indirect probes.
func TestIndirectProbes(t *testing.T) {
	w := newNetwork(6)
	w.run(12 * time.Second)
	w.drop = func(from, to string) bool { return from+to == "h0h1" || from+to == "h1h0" }
	w.run(60 * time.Second)
	w.expectState(t, wire.Alive, "h0")
	w.expectState(t, wire.Alive, "h1")
}

// TestAnnounceLeaving checks that no host considers a leaving host usable after
// its announcement.
func TestAnnounceLeaving(t *testing.T) {
	w := newNetwork(5)
	w.run(10 * time.Second)
	w.tables["h2"].SetSelf(Self{Leaving: true})
	w.inTransit = append(w.inTransit, w.tables["h2"].Announce(true)...)
	w.run(2 * stepInterval)
	for observer, table := range w.tables {
		if m, _ := table.Member("h2"); observer != "h2" && m.Usable() {
			t.Errorf("%s still sees the leaving host h2 as usable", observer)
		}
	}
}

// TestAnnounceExit checks that a host that exits is seen as left at once instead
// of suspect, and that its next process joins again.
func TestAnnounceExit(t *testing.T) {
	w := newNetwork(5)
	w.run(10 * time.Second)
	w.tables["h2"].SetSelf(Self{Leaving: true, Exiting: true})
	w.inTransit = append(w.inTransit, w.tables["h2"].Announce(true)...)
	w.run(stepInterval)
	delete(w.tables, "h2")
	w.run(2 * stepInterval)
	w.expectState(t, wire.Left, "h2")
	w.start("h2", 50, 5)
	w.run(15 * time.Second)
	w.expectState(t, wire.Alive, "h2")
}

func TestIgnoresOldIncarnationAndUnknownHost(t *testing.T) {
	w := newNetwork(2)
	w.run(5 * time.Second)
	if out := w.tables["h0"].Receive(w.now, wire.Packet{Kind: wire.Ping, From: "h1", Incarnation: 1}); out != nil {
		t.Error("a packet of an earlier incarnation was answered")
	}
	if out := w.tables["h0"].Receive(w.now, wire.Packet{Kind: wire.Ping, From: "stranger", Incarnation: 9}); out != nil {
		t.Error("a packet of an unknown host was answered")
	}
}

// TestPacketRateIsConstant checks that the number of packets per host and second
// does not grow with the fleet.
func TestPacketRateIsConstant(t *testing.T) {
	perHost := func(n int) float64 {
		w := newNetwork(n)
		w.run(20 * time.Second)
		w.sent = 0
		w.run(20 * time.Second)
		return float64(w.sent) / 20 / float64(n)
	}
	small, large := perHost(8), perHost(64)
	if large > 1.5*small {
		t.Errorf("%.1f packets per host and second with 64 hosts, want at most 1.5 times the %.1f with 8", large, small)
	}
}

// TestRecoversFromPacketLoss checks that 30 s with a tenth of the packets lost at
// random leave no live host suspect or dead 30 s later.
func TestRecoversFromPacketLoss(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(3, 7).Draw(rt, "hosts")
		seed := rapid.Uint64().Draw(rt, "seed")
		w := newNetwork(n)
		w.run(12 * time.Second)
		w.drop = func(string, string) bool {
			seed = seed*6364136223846793005 + 1442695040888963407
			return seed>>33%10 == 0
		}
		w.run(30 * time.Second)
		w.drop = func(string, string) bool { return false }
		w.run(30 * time.Second)
		for i := range n {
			for observer := range w.tables {
				if observer != hostName(i) && w.state(observer, hostName(i)) != wire.Alive {
					rt.Fatalf("%s sees %s as %v, want alive", observer, hostName(i), w.state(observer, hostName(i)))
				}
			}
		}
	})
}
