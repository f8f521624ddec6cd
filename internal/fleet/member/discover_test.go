package member

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

// discoveryFleet is a simulated fleet whose hosts start with two seeds only.
// Datagrams arrive at once, except those from or to a host that is down.
type discoveryFleet struct {
	now    time.Time
	tables map[string]*Table
	down   map[string]bool
}

func address(i int) string { return fmt.Sprintf("10.0.0.%d:1", i) }

func newDiscoveryFleet(n int) *discoveryFleet {
	f := &discoveryFleet{now: time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC), tables: map[string]*Table{}, down: map[string]bool{}}
	for i := range n {
		f.start(i, 1)
	}
	return f
}

func (f *discoveryFleet) start(i int, incarnation uint64) {
	t := New(address(i), incarnation, uint64(i))
	t.EnableDiscovery(f.now, Candidate{
		Name: address(i), Address: address(i), Region: fmt.Sprint("r", i%3), Callers: fmt.Sprintf("10.0.0.%d:2", i),
	}, []string{address(0), address(1)})
	f.tables[address(i)] = t
}

// deliver delivers packets, and the answers to them, until none is left.
func (f *discoveryFleet) deliver(list []Outgoing) {
	for len(list) > 0 {
		o := list[0]
		list = list[1:]
		if t, ok := f.tables[o.Address]; ok && !f.down[o.Address] && !f.down[o.Packet.From] {
			list = append(list, t.Receive(f.now, o.Packet)...)
		}
	}
}

func (f *discoveryFleet) run(d time.Duration) {
	const step = 100 * time.Millisecond
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for i := range len(f.tables) {
			f.deliver(f.tables[address(i)].Tick(f.now))
		}
	}
}

// healthyPeers returns the number of peers that a host sees as healthy and whose
// region and address for callers it has.
func (f *discoveryFleet) healthyPeers(host int) int {
	n := 0
	for _, m := range f.tables[address(host)].Members() {
		if m.Healthy() && m.Region != "" && m.Callers != "" {
			n++
		}
	}
	return n
}

// startupTime is the time between the start of a fleet and its first request.
const startupTime = 8 * time.Second

// TestDiscoveryFromSeeds checks that all hosts discover all others from the seeds
// before the first request.
func TestDiscoveryFromSeeds(t *testing.T) {
	for _, n := range []int{2, 7, 40} {
		f := newDiscoveryFleet(n)
		f.run(startupTime)
		for i := range n {
			if got := f.healthyPeers(i); got != n-1 {
				t.Errorf("%d hosts: host %d discovered %d peers, want all others", n, i, got)
			}
		}
	}
}

// TestRestartedHostDiscoversFleet checks that a restarted host discovers the fleet
// within a second, which one probe per protocol period would not do.
func TestRestartedHostDiscoversFleet(t *testing.T) {
	f := newDiscoveryFleet(7)
	f.run(5 * time.Second)
	f.start(4, 2)
	f.run(time.Second)
	if got := f.healthyPeers(4); got != 6 {
		t.Errorf("%d peers discovered after a second, want 6", got)
	}
	f.run(time.Second)
	if m, _ := f.tables[address(2)].Member(address(4)); m.Incarnation != 2 || !m.Healthy() {
		t.Errorf("restarted host as seen by a peer: %+v, want incarnation 2 and healthy", m)
	}
}

// TestFleetSizeCountsDeadNotLeft checks that FleetSize counts dead hosts but not those
// that left, and that dead hosts are removed after deadRetention.
func TestFleetSizeCountsDeadNotLeft(t *testing.T) {
	f := newDiscoveryFleet(4)
	f.run(3 * time.Second)
	f.down[address(3)] = true
	f.run(30 * time.Second)
	table := f.tables[address(0)]
	if m, _ := table.Member(address(3)); m.State != wire.Dead {
		t.Fatalf("stopped host is %v, want dead", m.State)
	}
	if got := table.FleetSize(); got != 4 {
		t.Errorf("FleetSize = %d with one dead host, want 4", got)
	}
	f.tables[address(2)].SetSelf(Self{Leaving: true, Exiting: true})
	f.deliver(f.tables[address(2)].Announce(true))
	if got := table.FleetSize(); got != 3 {
		t.Errorf("FleetSize = %d after one host left, want 3", got)
	}
	f.run(deadRetention)
	if _, ok := table.Member(address(3)); ok {
		t.Error("dead host still in the table after deadRetention")
	}
}

// TestStartedHostMissesHostThatIsCutOff: a host that starts while another one is listed as dead, as it
// is cut off, lists it: it may still send to the endpoints that they share.
func TestStartedHostMissesHostThatIsCutOff(t *testing.T) {
	const cut, started = 2, 5
	f := newDiscoveryFleet(7)
	f.run(startupTime)
	f.down[address(cut)] = true
	f.run(20 * time.Second)
	if m, _ := f.tables[address(1)].Member(address(cut)); m.State != wire.Dead {
		t.Fatalf("the host that is cut off is %v to its peers, want dead", m.State)
	}
	f.start(started, 2)
	f.run(2500 * time.Millisecond)
	m, ok := f.tables[address(started)].Member(address(cut))
	if !ok || m.Region != fmt.Sprint("r", cut%3) || m.State == wire.Left {
		t.Errorf("after its start the host lists %+v (%v), want the host that is cut off with its region", m, ok)
	}
	if got, want := f.tables[address(started)].FleetSize(), 7; got != want {
		t.Errorf("the started host counts %d hosts, want %d", got, want)
	}
}

// TestDeadHostsStayListed: hosts that list a dead host do not prolong its entries at each other.
func TestDeadHostsStayListed(t *testing.T) {
	const dead = 2
	f := newDiscoveryFleet(7)
	f.run(startupTime)
	f.down[address(dead)] = true
	f.run(60 * time.Second)
	f.start(4, 2)
	f.run(deadRetention)
	for i := range 7 {
		if m, ok := f.tables[address(i)].Member(address(dead)); ok && i != dead {
			t.Errorf("host %d lists %+v long after its end", i, m)
		}
	}
}
