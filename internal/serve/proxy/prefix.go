package proxy

import (
	"slices"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

const (
	// prefixTTL is how long a prompt prefix is assumed to stay cached at an endpoint
	// after a prompt with it was last sent there.
	prefixTTL = 20 * time.Second
	// maxPrefixes is the largest number of recorded prefixes, maxReported that of the
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

// PrefixTable records when hosts last sent prompt prefixes to endpoints, to estimate
// which prefixes are cached there. Its lock is a leaf.
type PrefixTable struct {
	mu   sync.Mutex
	sent map[prefixKey]time.Time
	// recent lists the last prefixes that this host sent, oldest first.
	recent []sentPrefix
	// starts holds the processes of endpoints.
	starts map[string]processStart
}

// processStart is the number of an endpoint's process, and when this host learned that it had
// started again, zero if it did not.
type processStart struct {
	number uint64
	at     time.Time
}

// sentPrefix is a prefix that is reported to other hosts.
type sentPrefix struct {
	wire.SentPrefix
	at time.Time
}

// NewPrefixTable returns an empty table.
func NewPrefixTable() *PrefixTable {
	return &PrefixTable{sent: map[prefixKey]time.Time{}, starts: map[string]processStart{}}
}

// Cached reports whether a prefix is assumed to be cached at an endpoint.
func (t *PrefixTable) Cached(now time.Time, endpoint string, prefix uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	at, ok := t.sent[prefixKey{endpoint: endpoint, prefix: prefix}]
	return ok && now.Sub(at) < prefixTTL
}

// RecordSent records that this host sends a prefix to an endpoint, and that it is to be
// reported to other hosts.
func (t *PrefixTable) RecordSent(now time.Time, endpoint string, prefix uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(now, endpoint, prefix)
	t.recent = append(t.recent, sentPrefix{SentPrefix: wire.SentPrefix{Endpoint: endpoint, Prefix: prefix}, at: now})
	if len(t.recent) > maxReported {
		t.recent = t.recent[len(t.recent)-maxReported:]
	}
}

// RecordReported records the prefixes that another host reports to have sent. A report on an
// endpoint that started again within reportTTL may be of the time before.
func (t *PrefixTable) RecordReported(now time.Time, list []wire.SentPrefix) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, s := range list {
		if now.Sub(t.starts[s.Endpoint].at) >= reportTTL {
			t.record(now, s.Endpoint, s.Prefix)
		}
	}
}

// Recent returns the prefixes that this host sent lately, to report to other hosts.
func (t *PrefixTable) Recent(now time.Time) []wire.SentPrefix {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.recent) > 0 && now.Sub(t.recent[0].at) > reportTTL {
		t.recent = t.recent[1:]
	}
	var out []wire.SentPrefix
	for _, s := range t.recent {
		out = append(out, s.SentPrefix)
	}
	return out
}

// Forget drops the prefixes of an endpoint, whose cache is empty after a restart.
func (t *PrefixTable) Forget(endpoint string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forget(endpoint)
}

// SetStart sets the number of an endpoint's process. If it is another one than before, the prefixes
// of the earlier process are dropped and no longer reported.
func (t *PrefixTable) SetStart(now time.Time, endpoint string, number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old, known := t.starts[endpoint]
	if known && old.number == number {
		return
	}
	if len(t.starts) >= maxPrefixes {
		clear(t.starts)
	}
	t.starts[endpoint] = processStart{number: number}
	if known {
		t.starts[endpoint] = processStart{number: number, at: now}
		t.recent = slices.DeleteFunc(t.recent, func(s sentPrefix) bool { return s.Endpoint == endpoint })
		t.forget(endpoint)
	}
}

func (t *PrefixTable) forget(endpoint string) {
	for key := range t.sent {
		if key.endpoint == endpoint {
			delete(t.sent, key)
		}
	}
}

func (t *PrefixTable) record(now time.Time, endpoint string, prefix uint64) {
	if len(t.sent) >= maxPrefixes {
		for old, at := range t.sent {
			if now.Sub(at) >= prefixTTL {
				delete(t.sent, old)
			}
		}
		if len(t.sent) >= maxPrefixes {
			clear(t.sent)
		}
	}
	t.sent[prefixKey{endpoint: endpoint, prefix: prefix}] = now
}
