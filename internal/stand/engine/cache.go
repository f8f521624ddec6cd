package engine

import "container/list"

// lostEventInterval is the number of consecutive cache events of which one is lost.
const lostEventInterval = 7

// delayedEvents is the number of latest cache events that are not reported yet.
const delayedEvents = 2

// cacheEvent reports that a prefix was added to or evicted from the prefix cache.
type cacheEvent struct {
	Seq   int    `json:"seq"`
	Added bool   `json:"added"`
	Key   string `json:"key"`
}

// prefixCache is an LRU cache of prompt prefixes.
type prefixCache struct {
	limitTokens int
	usedTokens  int
	recency     *list.List
	index       map[string]*list.Element
	seq         int
	events      []cacheEvent
}

type cachedPrefix struct {
	key    string
	tokens int
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limitTokens: limit, recency: list.New(), index: map[string]*list.Element{}}
}

// insert reports whether the prefix was cached. If not, it adds the prefix and evicts
// others, unless it exceeds the whole cache.
func (p *prefixCache) insert(key string, tokens int) bool {
	if el, ok := p.index[key]; ok {
		p.recency.MoveToFront(el)
		return true
	}
	if tokens > p.limitTokens {
		return false
	}
	p.index[key] = p.recency.PushFront(cachedPrefix{key, tokens})
	p.usedTokens += tokens
	p.recordEvent(cacheEvent{Added: true, Key: key})
	for p.usedTokens > p.limitTokens {
		el := p.recency.Back()
		old, _ := el.Value.(cachedPrefix)
		p.recency.Remove(el)
		delete(p.index, old.key)
		p.usedTokens -= old.tokens
		p.recordEvent(cacheEvent{Key: old.key})
	}
	return false
}

func (p *prefixCache) recordEvent(e cacheEvent) {
	p.seq++
	e.Seq = p.seq
	if p.seq%lostEventInterval != 0 {
		p.events = append(p.events, e)
	}
}

// eventsAfter returns the events after a sequence number, without the lost ones and the
// latest ones.
func (p *prefixCache) eventsAfter(seq int) []cacheEvent {
	out := []cacheEvent{}
	for _, e := range p.events {
		if e.Seq > seq && e.Seq <= p.seq-delayedEvents {
			out = append(out, e)
		}
	}
	return out
}
