package member

import (
	"slices"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

const (
	// placesSent is the number of other hosts' places in one packet.
	placesSent = 10
	// greetAtOnce hosts that were not heard yet are probed at a time, each again
	// after greetAgain.
	greetAtOnce = 8
	greetAgain  = 300 * time.Millisecond
	// forget is how long a dead host is kept in a fleet that is found from seeds.
	forget = 2 * time.Minute
)

// Find lets the table learn of hosts from packets: own is this host's place, and
// seeds are addresses of hosts that may be alive. In such a fleet a host's name
// is its address for hosts.
func (t *Table) Find(now time.Time, own Candidate, seeds []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.place = &wire.Place{Host: own.Name, Callers: own.Callers, Region: own.Region, Centre: own.Centre}
	for _, s := range seeds {
		t.learn(now, wire.Place{Host: s})
	}
}

// learn adds a host or completes what is known of it.
func (t *Table) learn(now time.Time, p wire.Place) {
	if t.place == nil || p.Host == t.name || p.Host == "" {
		return
	}
	if p.Address == "" {
		p.Address = p.Host
	}
	c := Candidate{Name: p.Host, Address: p.Address, Region: p.Region, Centre: p.Centre, Callers: p.Callers}
	if held, ok := t.peers[p.Host]; ok {
		if p.Region != "" {
			held.Candidate = c
		}
		return
	}
	t.peers[p.Host] = &peer{Member: Member{Candidate: c, State: wire.Suspect}, since: now}
	t.order = slices.Insert(t.order, t.rand.IntN(len(t.order)+1), p.Host)
}

// places returns this host's own place and those of a few others.
func (t *Table) places() []wire.Place {
	if t.place == nil {
		return nil
	}
	out := []wire.Place{*t.place}
	for _, p := range t.some(placesSent, func(p *peer) bool { return p.Region != "" && p.State != wire.Dead }) {
		out = append(out, wire.Place{Host: p.Name, Callers: p.Callers, Region: p.Region, Centre: p.Centre})
	}
	return out
}

// greet returns probes of hosts that were not heard yet, a few at a time, so that
// a host that has just started knows the fleet in a moment and not in a period a
// host.
func (t *Table) greet(now time.Time) []Out {
	if t.place == nil {
		return nil
	}
	var out []Out
	for _, name := range t.order {
		p := t.peers[name]
		if p.Life != 0 || p.State == wire.Dead || now.Sub(p.greeted) < greetAgain {
			continue
		}
		p.greeted = now
		out = append(out, t.startProbe(now, p))
		if len(out) == greetAtOnce {
			break
		}
	}
	return out
}

// Count returns the number of hosts that may be at work, this one counted: one
// that is held dead may only be cut off.
func (t *Table) Count() int {
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

// expireDead forgets hosts that have been dead for long.
func (t *Table) expireDead(now time.Time) {
	if t.place == nil {
		return
	}
	for name, p := range t.peers {
		if (p.State == wire.Dead || p.State == wire.Left) && p.Region != "" && now.Sub(p.since) > forget {
			delete(t.peers, name)
			t.order = slices.DeleteFunc(t.order, func(n string) bool { return n == name })
		}
	}
}
