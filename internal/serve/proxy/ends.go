package proxy

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/terms"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/pool"
)

const (
	// endWatch is how long an endpoint is watched after an attempt at it broke.
	endWatch = 2 * time.Second
	// firstProbeGap is the time between the first two probes; each further gap is twice as long.
	firstProbeGap = 100 * time.Millisecond
	probeTimeout  = 300 * time.Millisecond
	// maxWatched bounds the endpoints that are watched at a time, and maxBrokenParts the
	// prompt parts of the broken attempts at each.
	maxWatched     = 64
	maxBrokenParts = 512
	// maxLoggedParts bounds the prompt parts in a log line, maxLoggedRequests the requests.
	maxLoggedParts    = 8
	maxLoggedRequests = 8
	// beginWrites is the number of writes of events that still count as the beginning of a
	// stream.
	beginWrites = 1
)

// life identifies the process of an endpoint.
type life struct {
	id          string
	incarnation int64
}

// brokenPart is a prompt part of attempts that broke.
type brokenPart struct {
	id       string
	attempts int
	// request is the attempt that was sent, or got the head of its answer, last; sent is when.
	request string
	sent    time.Time
	broken  time.Time
	// trial reports whether one of the attempts was the trial of a quarantined part.
	trial bool
	// reported reports whether the part was recorded for the endpoint's end.
	reported bool
}

// ending is an endpoint at which attempts broke at the beginning of their answers.
type ending struct {
	endpoint regis.Endpoint
	first    time.Time
	probeAt  time.Time
	probeGap time.Duration
	ended    bool
	attempts int
	// begun counts the attempts that had the head of an answer.
	begun int
	parts map[string]*brokenPart
	// requests describes some of the requests of the attempts, as callers would recognise them.
	requests []string
}

// endTable holds the endpoints at which attempts broke lately.
type endTable struct {
	mu   sync.Mutex
	list map[life]*ending
}

// sharedParts returns the parts of a prompt that other requests may have too: all but the
// last.
func sharedParts(p terms.Prompt) []terms.Part { return p.Parts[:max(0, len(p.Parts)-1)] }

// describe returns what identifies a request when its caller sends it again under a new id.
func (r *Request) describe() string {
	target := r.Target[:min(len(r.Target), 64)]
	return fmt.Sprintf("%s %s%s from %s, body %016x", r.Method, r.Host, target, r.Caller, xxhash.Sum64(r.Body))
}

// brokeAtBegin reports whether an answer broke off, or may have, before the endpoint got past
// the beginning of it.
func brokeAtBegin(out pool.Result) bool {
	if out.CallerLeft || out.EventWrites > beginWrites {
		return false
	}
	return out.Reason == retry.Broken || out.Whole && out.Unframed
}

// passedBegin reports whether the answer shows that the endpoint got past the beginning of it.
func passedBegin(out pool.Result) bool {
	if out.Status < http.StatusOK || out.Status >= http.StatusMultipleChoices {
		return false
	}
	return out.EventWrites > beginWrites || out.Whole && !out.Unframed
}

// recordBroken starts to watch the endpoint of an attempt that broke.
func (p *Proxy) recordBroken(t *task, e regis.Endpoint, out pool.Result, sent time.Time) {
	if current, known := p.Board.Registry.Get(e.ID); known && current.Draining {
		// It ends as planned.
		return
	}
	// An endpoint that ends under a request does so as it begins to answer, so the time before
	// the head is no evidence.
	sent = sent.Add(out.TimeToHead)
	now := p.Now()
	p.ends.mu.Lock()
	defer p.ends.mu.Unlock()
	if p.ends.list == nil {
		p.ends.list = map[life]*ending{}
	}
	key := life{id: e.ID, incarnation: e.Incarnation}
	w := p.ends.list[key]
	if w == nil {
		if len(p.ends.list) >= maxWatched {
			return
		}
		w = &ending{endpoint: e, first: now, probeAt: now, probeGap: firstProbeGap, parts: map[string]*brokenPart{}}
		p.ends.list[key] = w
	}
	w.attempts++
	if out.Status != 0 {
		w.begun++
	}
	if len(w.requests) < maxLoggedRequests {
		w.requests = append(w.requests, t.describe())
	}
	for _, part := range sharedParts(t.Prompt) {
		b := w.parts[part.ID]
		if b == nil {
			if len(w.parts) >= maxBrokenParts {
				return
			}
			b = &brokenPart{id: part.ID, broken: now}
			w.parts[part.ID] = b
		}
		b.attempts++
		b.trial = b.trial || t.Trial
		if sent.After(b.sent) {
			b.sent, b.request, b.broken, b.reported = sent, t.ID, now, false
		}
	}
}

// CheckEnds probes the endpoints at which attempts broke. An endpoint has ended if its
// address refuses connections or its registration is gone; a connection that broke or was
// lost on the way is no end.
func (p *Proxy) CheckEnds(ctx context.Context, now time.Time) {
	due := p.ends.due(now)
	var wg sync.WaitGroup
	for _, e := range due {
		wg.Go(func() {
			if p.hasEnded(ctx, e) {
				p.ends.confirm(life{id: e.ID, incarnation: e.Incarnation})
			}
		})
	}
	wg.Wait()
	p.reportEnds(now)
}

// due returns the endpoints to probe now.
func (t *endTable) due(now time.Time) []regis.Endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []regis.Endpoint
	for _, w := range t.list {
		if w.ended || now.Before(w.probeAt) {
			continue
		}
		w.probeAt, w.probeGap = now.Add(w.probeGap), 2*w.probeGap
		out = append(out, w.endpoint)
	}
	return out
}

func (t *endTable) confirm(l life) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := t.list[l]; w != nil {
		w.ended = true
	}
}

func (p *Proxy) hasEnded(ctx context.Context, e regis.Endpoint) bool {
	current, known := p.Board.Registry.Get(e.ID)
	if !known || current.Incarnation != e.Incarnation {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	return errors.Is(p.Client.Pool.Probe(ctx, e.Address), syscall.ECONNREFUSED)
}

// reportEnds records the prompt parts of the attempts that broke as their endpoint ended, and
// logs the ends whose watch is over.
func (p *Proxy) reportEnds(now time.Time) {
	p.ends.mu.Lock()
	defer p.ends.mu.Unlock()
	for key, w := range p.ends.list {
		if w.ended {
			p.recordEvidence(now, key, w)
		}
		if now.Sub(w.first) < endWatch {
			continue
		}
		delete(p.ends.list, key)
		if w.ended {
			p.Log.Warn().Str("endpoint", key.id).Int64("born", key.incarnation).Str("service", w.endpoint.Service).Int("broken", w.attempts).
				Int("begun", w.begun).Int("parts", len(w.parts)).Strs("most", w.mostBroken()).Strs("requests", w.requests).Msg("endpoint ended with requests in flight")
		}
	}
}

// mostBroken returns the ids of the prompt parts of the most broken attempts.
func (w *ending) mostBroken() []string {
	list := make([]*brokenPart, 0, len(w.parts))
	for _, b := range w.parts {
		list = append(list, b)
	}
	slices.SortFunc(list, func(a, b *brokenPart) int {
		return cmp.Or(cmp.Compare(b.attempts, a.attempts), cmp.Compare(a.id, b.id))
	})
	ids := make([]string, 0, maxLoggedParts)
	for _, b := range list[:min(len(list), maxLoggedParts)] {
		ids = append(ids, b.id[:min(len(b.id), 32)])
	}
	return ids
}
