package carry

import (
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

const (
	// keepLife is how long an engine is taken to keep a prompt's beginning after it
	// was last sent there.
	keepLife = 20 * time.Second
	// mostKeeps bounds the beginnings that are remembered, mostTold those that other
	// hosts are told of at a time.
	mostKeeps = 8192
	mostTold  = 24
	// tellLife is how long other hosts are told of what was sent.
	tellLife = 2 * time.Second
)

// keep is a prompt's beginning at an endpoint.
type keep struct {
	endpoint string
	prefix   uint64
}

// Keeps remembers when hosts last sent shared beginnings to endpoints. Its lock is
// a leaf.
type Keeps struct {
	mu   sync.Mutex
	sent map[keep]time.Time
	// fresh lists what this host sent lately, oldest first.
	fresh []told
}

// told is a beginning that other hosts are told of.
type told struct {
	wire.Sent
	at time.Time
}

// NewKeeps returns a memory of nothing.
func NewKeeps() *Keeps { return &Keeps{sent: map[keep]time.Time{}} }

// Holds reports whether an endpoint is taken to keep a beginning.
func (k *Keeps) Holds(now time.Time, endpoint string, prefix uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, ok := k.sent[keep{endpoint: endpoint, prefix: prefix}]
	return ok && now.Sub(at) < keepLife
}

// Send notes that this host sends a beginning to an endpoint.
func (k *Keeps) Send(now time.Time, endpoint string, prefix uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.put(now, endpoint, prefix)
	k.fresh = append(k.fresh, told{Sent: wire.Sent{Endpoint: endpoint, Prefix: prefix}, at: now})
	if len(k.fresh) > mostTold {
		k.fresh = k.fresh[len(k.fresh)-mostTold:]
	}
}

// Told takes in what another host sent.
func (k *Keeps) Told(now time.Time, list []wire.Sent) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range list {
		k.put(now, s.Endpoint, s.Prefix)
	}
}

// Fresh returns what this host sent lately, for other hosts.
func (k *Keeps) Fresh(now time.Time) []wire.Sent {
	k.mu.Lock()
	defer k.mu.Unlock()
	for len(k.fresh) > 0 && now.Sub(k.fresh[0].at) > tellLife {
		k.fresh = k.fresh[1:]
	}
	var out []wire.Sent
	for _, f := range k.fresh {
		out = append(out, f.Sent)
	}
	return out
}

// Forget drops what an endpoint kept before it started again.
func (k *Keeps) Forget(endpoint string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key := range k.sent {
		if key.endpoint == endpoint {
			delete(k.sent, key)
		}
	}
}

func (k *Keeps) put(now time.Time, endpoint string, prefix uint64) {
	if len(k.sent) >= mostKeeps {
		for old, at := range k.sent {
			if now.Sub(at) >= keepLife {
				delete(k.sent, old)
			}
		}
		if len(k.sent) >= mostKeeps {
			clear(k.sent)
		}
	}
	k.sent[keep{endpoint: endpoint, prefix: prefix}] = now
}
