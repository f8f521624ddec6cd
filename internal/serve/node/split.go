package node

import (
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/route/split"
)

// contact is this host's contact with its peer hosts. Its lock is a leaf.
type contact struct {
	mu sync.Mutex
	// packetAt is when the last packet of a peer host arrived.
	packetAt time.Time
	// hosts and alive are the numbers of other hosts of the region that have not left, and of those
	// that answer probes.
	hosts, alive int
	// side is the last known side of a split, and lapsed whether the shares lapsed on it.
	side   split.Side
	lapsed bool
}

func (c *contact) received(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.packetAt = now
}

func (c *contact) setHosts(hosts, alive int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hosts, c.alive = hosts, alive
}

// view returns the host's contact with the fleet, whether its side has changed since the last call, and
// whether its shares no longer lapse since then.
func (c *contact) view(now time.Time, age time.Duration) (v split.View, changed, rejoined bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v = split.View{Age: age, Silence: now.Sub(c.packetAt), Hosts: c.hosts, Alive: c.alive}
	side, lapsed := v.Side(), v.SharesLapse()
	changed, rejoined = side != c.side, c.lapsed && !lapsed
	c.side, c.lapsed = side, lapsed
	return v, changed, rejoined
}

// splitView returns this host's view and contact, from which the side of a network split follows.
func (n *Node) splitView(now time.Time) split.View {
	v, changed, rejoined := n.contact.view(now, n.feed.ViewAge(now))
	if rejoined {
		n.shares.Rejoin(now)
	}
	if changed && n.storeListed.Load() {
		n.log.Warn().Str("split", string(v.Side())).Dur("view_age", v.Age).Dur("silence", v.Silence).Int("hosts", v.Hosts).Int("alive", v.Alive).
			Msg("side of a network split")
	}
	return v
}
