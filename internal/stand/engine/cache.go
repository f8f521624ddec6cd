package engine

import "container/list"

// gapEvery is the number of cache events of which one is lost.
const gapEvery = 7

// lateBy is the number of cache events that are held back.
const lateBy = 2

// event is a change of the prefix cache.
type event struct {
	Seq   int    `json:"seq"`
	Added bool   `json:"added"`
	Key   string `json:"key"`
}

// prefixes is a cache of prompt prefixes, least recently used first out.
type prefixes struct {
	limit  int
	used   int
	order  *list.List
	index  map[string]*list.Element
	seq    int
	events []event
}

type prefix struct {
	key    string
	tokens int
}

func newPrefixes(limit int) *prefixes {
	return &prefixes{limit: limit, order: list.New(), index: map[string]*list.Element{}}
}

// use reports whether the prefix was held, and holds it now.
func (p *prefixes) use(key string, tokens int) bool {
	if el, ok := p.index[key]; ok {
		p.order.MoveToFront(el)
		return true
	}
	if tokens > p.limit {
		return false
	}
	p.index[key] = p.order.PushFront(prefix{key, tokens})
	p.used += tokens
	p.add(event{Added: true, Key: key})
	for p.used > p.limit {
		el := p.order.Back()
		old, _ := el.Value.(prefix)
		p.order.Remove(el)
		delete(p.index, old.key)
		p.used -= old.tokens
		p.add(event{Key: old.key})
	}
	return false
}

func (p *prefixes) add(e event) {
	p.seq++
	e.Seq = p.seq
	if p.seq%gapEvery != 0 {
		p.events = append(p.events, e)
	}
}

// eventsAfter returns the events after a number, late and with gaps.
func (p *prefixes) eventsAfter(seq int) []event {
	out := []event{}
	for _, e := range p.events {
		if e.Seq > seq && e.Seq <= p.seq-lateBy {
			out = append(out, e)
		}
	}
	return out
}
