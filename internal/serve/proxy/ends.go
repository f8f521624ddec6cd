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

	"github.com/hyssopspindle/hyssopspindle/internal/board/poison"
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
	// maxWatched bounds the endpoints that are watched at a time, and maxSuspects the prompt
	// parts and requests of the broken attempts at each.
	maxWatched  = 64
	maxSuspects = 512
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

// suspect is a prompt part, or a request, of attempts that broke.
type suspect struct {
	// part is the id of a prompt part, empty for a request.
	part     string
	attempts int
	// request is the attempt that was sent, or got the head of its answer, last; sent is when.
	request string
	sent    time.Time
	broken  time.Time
	// repeat reports whether it is a request as its caller repeats it.
	repeat bool
	// trial reports whether one of the attempts was a trial.
	trial bool
	// reported reports whether it was recorded for the endpoint's end.
	reported bool
}

// ending is an endpoint at which attempts broke.
type ending struct {
	endpoint regis.Endpoint
	first    time.Time
	probeAt  time.Time
	probeGap time.Duration
	ended    bool
	attempts int
	// begun counts the attempts that had the head of an answer.
	begun    int
	suspects map[poison.Key]*suspect
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

// broke reports whether an answer broke off or may have.
func broke(out pool.Result) bool {
	return !out.CallerLeft && (out.Reason == retry.Broken || out.Whole && out.Unframed)
}

// brokeAtBegin reports whether an answer broke off, or may have, before the endpoint got past
// the beginning of it. An endpoint ends under a prompt part, which it reads first, by then;
// under a request it may end later.
func brokeAtBegin(out pool.Result) bool { return broke(out) && out.EventWrites <= beginWrites }

// passedBegin reports whether the answer shows that the endpoint got past the beginning of it.
func passedBegin(out pool.Result) bool {
	if out.Status < http.StatusOK || out.Status >= http.StatusMultipleChoices {
		return false
	}
	return out.EventWrites > beginWrites || out.Whole && !out.Unframed
}

// answered reports whether the answer shows that the endpoint ran the request to its end.
func answered(out pool.Result) bool {
	return out.Whole && !out.Unframed && out.Status < http.StatusInternalServerError
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
		w = &ending{endpoint: e, first: now, probeAt: now, probeGap: firstProbeGap, suspects: map[poison.Key]*suspect{}}
		p.ends.list[key] = w
	}
	w.attempts++
	if out.Status != 0 {
		w.begun++
	}
	if len(w.requests) < maxLoggedRequests {
		w.requests = append(w.requests, t.describe())
	}
	if brokeAtBegin(out) {
		for i, part := range sharedParts(t.Prompt) {
			w.record(t, t.suspects.parts[i], suspect{part: part.ID, sent: sent, broken: now})
		}
	}
	w.record(t, t.suspects.repeat, suspect{repeat: true, sent: sent, broken: now})
	w.record(t, t.suspects.alike, suspect{sent: sent, broken: now})
}

// record records a suspect of an attempt that broke.
func (w *ending) record(t *task, key poison.Key, s suspect) {
	b := w.suspects[key]
	if b == nil {
		if len(w.suspects) >= maxSuspects {
			return
		}
		b = &suspect{part: s.part, repeat: s.repeat, broken: s.broken}
		w.suspects[key] = b
	}
	b.attempts++
	b.trial = b.trial || t.Trial
	if s.sent.After(b.sent) {
		b.sent, b.request, b.broken, b.reported = s.sent, t.ID, s.broken, false
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

// reportEnds records the suspects of the attempts that broke as their endpoint ended, and logs
// the ends whose watch is over.
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
				Int("begun", w.begun).Int("parts", len(w.parts())).Strs("most", w.mostBroken()).Strs("requests", w.requests).Msg("endpoint ended with requests in flight")
		}
	}
}

// parts returns the suspects that are prompt parts.
func (w *ending) parts() []*suspect {
	list := make([]*suspect, 0, len(w.suspects))
	for _, b := range w.suspects {
		if b.part != "" {
			list = append(list, b)
		}
	}
	return list
}

// mostBroken returns the ids of the prompt parts of the most broken attempts.
func (w *ending) mostBroken() []string {
	list := w.parts()
	slices.SortFunc(list, func(a, b *suspect) int {
		return cmp.Or(cmp.Compare(b.attempts, a.attempts), cmp.Compare(a.part, b.part))
	})
	ids := make([]string, 0, maxLoggedParts)
	for _, b := range list[:min(len(list), maxLoggedParts)] {
		ids = append(ids, b.part[:min(len(b.part), 32)])
	}
	return ids
}
