package proxy

import (
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

const (
	// prefixTTL is how long a prompt prefix is assumed to stay cached at an endpoint
	// after a prompt with it was last sent there.
	prefixTTL = 20 * time.Second
	// maxPrefixes is the largest number of recorded prefixes, maxReported that of
	// prefixes reported to other hosts at a time.
	maxPrefixes = 8192
	maxReported = 24
	// reportTTL is how long a prefix is reported to other hosts after it was sent.
	reportTTL = 2 * time.Second
)

// prefixKey identifies a prompt prefix at an endpoint.
type prefixKey struct {
	endpoint string
	prefix   uint64
}

// PrefixTable records when this and other hosts last sent prompt prefixes to endpoints, to
// estimate which prefixes are cached there. Its lock is a leaf.
type PrefixTable struct {
	mu   sync.Mutex
	sent map[prefixKey]time.Time
	// recent lists the prefixes that this host sent within reportTTL, oldest first.
	recent []sentPrefix
}

// sentPrefix is a prefix that is reported to other hosts.
type sentPrefix struct {
	wire.SentPrefix
	at time.Time
}

// NewPrefixTable returns an empty table.
func NewPrefixTable() *PrefixTable { return &PrefixTable{sent: map[prefixKey]time.Time{}} }

// Cached reports whether a prefix is assumed to be cached at an endpoint.
func (k *PrefixTable) Cached(now time.Time, endpoint string, prefix uint64) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	at, ok := k.sent[prefixKey{endpoint: endpoint, prefix: prefix}]
	return ok && now.Sub(at) < prefixTTL
}

// RecordSent records that this host sends a prefix to an endpoint.
func (k *PrefixTable) RecordSent(now time.Time, endpoint string, prefix uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.record(now, endpoint, prefix)
	k.recent = append(k.recent, sentPrefix{SentPrefix: wire.SentPrefix{Endpoint: endpoint, Prefix: prefix}, at: now})
	if len(k.recent) > maxReported {
		k.recent = k.recent[len(k.recent)-maxReported:]
	}
}

// RecordReported records the prefixes that another host reports to have sent.
func (k *PrefixTable) RecordReported(now time.Time, list []wire.SentPrefix) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, s := range list {
		k.record(now, s.Endpoint, s.Prefix)
	}
}

// Recent returns the prefixes that this host sent lately, to report to other hosts.
func (k *PrefixTable) Recent(now time.Time) []wire.SentPrefix {
	k.mu.Lock()
	defer k.mu.Unlock()
	for len(k.recent) > 0 && now.Sub(k.recent[0].at) > reportTTL {
		k.recent = k.recent[1:]
	}
	var out []wire.SentPrefix
	for _, s := range k.recent {
		out = append(out, s.SentPrefix)
	}
	return out
}

// Forget drops the prefixes of an endpoint, whose cache is empty after a restart.
func (k *PrefixTable) Forget(endpoint string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for key := range k.sent {
		if key.endpoint == endpoint {
			delete(k.sent, key)
		}
	}
}

func (k *PrefixTable) record(now time.Time, endpoint string, prefix uint64) {
	if len(k.sent) >= maxPrefixes {
		for old, at := range k.sent {
			if now.Sub(at) >= prefixTTL {
				delete(k.sent, old)
			}
		}
		if len(k.sent) >= maxPrefixes {
			clear(k.sent)
		}
	}
	k.sent[prefixKey{endpoint: endpoint, prefix: prefix}] = now
}
