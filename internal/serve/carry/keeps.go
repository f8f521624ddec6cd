package carry

import "time"

const (
	// keepLife is how long an engine is sure to keep a prompt's beginning that this
	// host sent there.
	keepLife = 8 * time.Second
	// mostKeeps bounds the beginnings that are remembered.
	mostKeeps = 8192
)

// keep is a prompt's beginning at an endpoint.
type keep struct {
	endpoint string
	prefix   uint64
}

// keeps remembers when this host last sent beginnings to endpoints.
type keeps map[keep]time.Time

// sent notes that a beginning is sent to an endpoint, and reports whether this
// host sent it there lately.
func (k keeps) sent(now time.Time, endpoint string, prefix uint64) bool {
	key := keep{endpoint: endpoint, prefix: prefix}
	last, ok := k[key]
	if len(k) >= mostKeeps {
		for old, at := range k {
			if now.Sub(at) > keepLife {
				delete(k, old)
			}
		}
		if len(k) >= mostKeeps {
			clear(k)
		}
	}
	k[key] = now
	return ok && now.Sub(last) < keepLife
}
