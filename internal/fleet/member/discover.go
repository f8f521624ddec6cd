package member

import (
	"slices"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

const (
	// maxPacketHosts is the maximum number of peer hosts whose addresses are in one
	// packet.
	maxPacketHosts = 10
	// maxPacketDead is the maximum number of dead hosts in one packet. They take the places of
	// others.
	maxPacketDead = 4
	// maxDiscoveryProbes is the maximum number of discovery probes per tick.
	maxDiscoveryProbes = 8
	// discoveryProbeInterval is the time between discovery probes of one host.
	discoveryProbeInterval = 300 * time.Millisecond
	// deadRetention is how long a dead host stays in the table in a fleet that
	// discovers its hosts from seeds.
	deadRetention = 2 * time.Minute
)

// EnableDiscovery turns on discovery: the table adds the seeds, which are addresses of
// hosts that may be alive, and the hosts that packets name. self is the local host. In
// such a fleet the name of a host is its address for peer hosts.
func (t *Table) EnableDiscovery(now time.Time, self Candidate, seeds []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.selfInfo = &wire.HostInfo{Host: self.Name, Callers: self.Callers, Region: self.Region, Centre: self.Centre}
	t.selfCores = self.Cores
	for _, s := range seeds {
		t.discover(now, wire.HostInfo{Host: s}, 0)
	}
}

// discover adds a host to the table, or updates the addresses, location and cores of a
// known one; 0 cores means unknown. It does nothing unless discovery is on.
func (t *Table) discover(now time.Time, p wire.HostInfo, cores float64) {
	if t.selfInfo == nil || p.Host == t.name || p.Host == "" {
		return
	}
	if p.Address == "" {
		p.Address = p.Host
	}
	c := Candidate{Name: p.Host, Address: p.Address, Region: p.Region, Centre: p.Centre, Callers: p.Callers, Cores: cores}
	if known, ok := t.peers[p.Host]; ok {
		if p.Region != "" {
			if c.Cores == 0 {
				c.Cores = known.Cores
			}
			if known.Candidate != c {
				t.changes++
			}
			known.Candidate = c
		}
		return
	}
	t.changes++
	t.peers[p.Host] = &peer{Member: Member{Candidate: c, State: wire.Suspect}, stateSince: now}
	t.probeOrder = slices.Insert(t.probeOrder, t.rand.IntN(len(t.probeOrder)+1), p.Host)
}

// discoverDead adds a host that a peer lists as dead, unless the table has it with its location.
// The host may only be cut off from this one, and still use what all hosts share.
func (t *Table) discoverDead(now time.Time, d wire.DeadHost) {
	age := time.Duration(d.DeadMS) * time.Millisecond
	if known, ok := t.peers[d.Info.Host]; (ok && known.Region != "") || d.Info.Region == "" || age >= deadRetention {
		return
	}
	t.discover(now, d.Info, float64(d.Millicores)/millicoresPerCore)
	p, ok := t.peers[d.Info.Host]
	if !ok || p.Incarnation != 0 {
		return
	}
	p.State, p.stateSince = wire.Dead, now.Add(-age)
}

// addDeadHosts adds a few random peers that are dead to a packet, unless discovery is off.
func (t *Table) addDeadHosts(now time.Time, pk *wire.Packet) {
	if t.selfInfo == nil {
		return
	}
	for _, p := range t.randomPeers(maxPacketDead, func(p *peer) bool { return p.Region != "" && p.State == wire.Dead }) {
		pk.DeadHosts = append(pk.DeadHosts, wire.DeadHost{
			Info:       wire.HostInfo{Host: p.Name, Callers: p.Callers, Region: p.Region, Centre: p.Centre},
			Millicores: toMillicores(p.Cores), DeadMS: uint32(max(0, now.Sub(p.stateSince).Milliseconds())),
		})
	}
	// The first of the others is this host.
	keep := min(len(pk.Hosts), 1+maxPacketHosts-len(pk.DeadHosts))
	pk.Hosts, pk.Millicores = pk.Hosts[:keep], pk.Millicores[:keep]
}

// hostInfos returns the addresses, locations and capacities of the local host and of a
// few random peers, or nil unless discovery is on.
func (t *Table) hostInfos() (list []wire.HostInfo, millicores []uint32) {
	if t.selfInfo == nil {
		return nil, nil
	}
	list, millicores = []wire.HostInfo{*t.selfInfo}, []uint32{toMillicores(t.selfCores)}
	for _, p := range t.randomPeers(maxPacketHosts, func(p *peer) bool { return p.Region != "" && p.State != wire.Dead }) {
		list = append(list, wire.HostInfo{Host: p.Name, Callers: p.Callers, Region: p.Region, Centre: p.Centre})
		millicores = append(millicores, toMillicores(p.Cores))
	}
	return list, millicores
}

// millicoresPerCore converts cores to the unit of packets.
const millicoresPerCore = 1000

func toMillicores(cores float64) uint32 { return uint32(max(0, cores) * millicoresPerCore) }

// coresOf returns the cores that a packet states for its host at an index, 0 if it states
// none.
func coresOf(pk wire.Packet, index int) float64 {
	if index >= len(pk.Millicores) {
		return 0
	}
	return float64(pk.Millicores[index]) / millicoresPerCore
}

// probeUnseen returns probes of hosts about which no update has arrived yet, a few at a
// time, so that a host that has just started knows the fleet sooner than by probing one
// host per protocol period.
func (t *Table) probeUnseen(now time.Time) []Outgoing {
	if t.selfInfo == nil {
		return nil
	}
	var out []Outgoing
	for _, name := range t.probeOrder {
		p := t.peers[name]
		if p.Incarnation != 0 || p.State == wire.Dead || now.Sub(p.lastDiscoveryProbe) < discoveryProbeInterval {
			continue
		}
		p.lastDiscoveryProbe = now
		out = append(out, t.startProbe(now, p))
		if len(out) == maxDiscoveryProbes {
			break
		}
	}
	return out
}

// FleetSize returns the number of hosts that may be serving, including the local one.
// Dead hosts count, since they may only be partitioned from this one.
func (t *Table) FleetSize() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 1
	for _, p := range t.peers {
		if p.State != wire.Left {
			n++
		}
	}
	return n
}

// removeDead removes hosts that have been dead or left for longer than
// deadRetention. Seeds that never answered stay.
func (t *Table) removeDead(now time.Time) {
	if t.selfInfo == nil {
		return
	}
	for name, p := range t.peers {
		if (p.State == wire.Dead || p.State == wire.Left) && p.Region != "" && now.Sub(p.stateSince) > deadRetention {
			t.changes++
			delete(t.peers, name)
			t.probeOrder = slices.DeleteFunc(t.probeOrder, func(n string) bool { return n == name })
		}
	}
}
