// Package engine is a stand-in for a model engine: batch slots, prefill and
// decode time, a prefix cache of limited memory, priorities, resume and cancel
// of streams, lagging load reports, and faults that can be switched on.
package engine

import (
	"container/heap"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/stand/basis"
)

// Config is the shape of an engine.
type Config struct {
	Name  string
	Slots int
	// Prefill is the time per thousand prompt tokens on a cold cache.
	Prefill time.Duration
	// Decode is the time per token.
	Decode time.Duration
	// Cache is the memory of the prefix cache, in tokens.
	Cache int
	// Lag is the age of the load reports.
	Lag time.Duration
	// Grace is how long a stream without a reader may be resumed.
	Grace time.Duration
	// QueueLimit is the number of requests that wait; 0 is no limit.
	QueueLimit int
}

// Fault is what goes wrong on purpose.
type Fault struct {
	// Times is the number of requests that meet the fault; 0 means all.
	Times int `json:"times"`
	// CutAfter cuts, SilentAfter silences a stream after so many tokens; 0 is off.
	CutAfter    int `json:"cut_after"`
	SilentAfter int `json:"silent_after"`
	// EndAfter ends a stream in form after so many tokens, without its closing event.
	EndAfter int `json:"end_after"`
	// Freeze accepts requests and never answers them.
	Freeze bool `json:"freeze"`
	// Refuse answers 429 without running the request.
	Refuse bool `json:"refuse"`
	// Status answers with a status.
	Status int `json:"status"`
	// Slow multiplies the times; 0 is off.
	Slow float64 `json:"slow"`
	// Leaving tells hosts that the engine takes no more work.
	Leaving bool `json:"leaving"`
	// Forget refuses to resume streams.
	Forget bool `json:"forget"`
	// Down refuses load reports as well.
	Down bool `json:"down"`
}

// Record is one request as the engine saw it.
type Record struct {
	Request   string `json:"request"`
	Stream    string `json:"stream"`
	Began     int64  `json:"began_us"`
	Tokens    int    `json:"tokens"`
	Emitted   int    `json:"emitted"`
	Cancelled bool   `json:"cancelled"`
	Warm      bool   `json:"warm"`
	Resumed   int    `json:"resumed"`
}

type load struct {
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	AgeMS   int64 `json:"age_ms"`
	Leaving bool  `json:"leaving"`
}

type job struct {
	record   *Record
	priority int
	seq      int
	start    chan struct{}
	index    int
	ctx      context.Context
	cancel   context.CancelFunc
	whole    bool
	mu       sync.Mutex
	reader   int
	ready    int
	more     chan struct{}
}

// Engine is one engine.
type Engine struct {
	conf   Config
	server *basis.Server

	mu      sync.Mutex
	running int
	waiting jobs
	seq     int
	streams map[string]*job
	records []*Record
	fault   Fault
	cache   *prefixes
	history []sample
}

type sample struct {
	at   time.Time
	load load
}

// Start begins to serve on an address.
func Start(address string, conf Config) (*Engine, error) {
	e := &Engine{conf: conf, streams: map[string]*job{}, cache: newPrefixes(conf.Cache)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serve)
	mux.HandleFunc("POST /v1/completions", e.serve)
	mux.HandleFunc("GET /v1/resume", e.resume)
	mux.HandleFunc("POST /v1/cancel", e.cancelStream)
	mux.HandleFunc("GET /load", e.load)
	mux.HandleFunc("GET /events", e.events)
	mux.HandleFunc("GET /record", e.record)
	mux.HandleFunc("POST /fault", e.setFault)
	s, err := basis.Serve(address, mux)
	if err != nil {
		return nil, fmt.Errorf("engine %s: %w", conf.Name, err)
	}
	e.server = s
	return e, nil
}

// Address returns the engine's address.
func (e *Engine) Address() string { return e.server.Address() }

// Close ends the engine.
func (e *Engine) Close() error { return e.server.Close() }

// SetFault switches a fault on; the zero value switches all off.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// Records returns what the engine saw.
func (e *Engine) Records() []Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Record, len(e.records))
	for i, r := range e.records {
		out[i] = *r
	}
	return out
}

// takeFault returns the fault that a new request meets.
func (e *Engine) takeFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	f := e.fault
	if f.Times > 0 {
		e.fault.Times--
		if e.fault.Times == 0 {
			e.fault = Fault{}
		}
	}
	return f
}

type question struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
}

const (
	defaultTokens = 16
	bytesPerToken = 4
	prefixBytes   = 1024
	kilo          = 1000
)

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	var q question
	if !basis.ReadJSON(w, r, &q) {
		return
	}
	f := e.takeFault()
	if f.Leaving {
		w.Header().Set("X-Leaving", "1")
	}
	switch {
	case f.Freeze:
		<-r.Context().Done()
		return
	case f.Refuse:
		basis.WriteJSON(w, http.StatusTooManyRequests, "busy")
		return
	case f.Status != 0:
		basis.WriteJSON(w, f.Status, "fault")
		return
	}
	j, ok := e.admit(r, q)
	if !ok {
		basis.WriteJSON(w, http.StatusTooManyRequests, "queue is full")
		return
	}
	go e.work(j, q, f)
	if q.Stream {
		w.Header().Set("X-Stream-Id", j.record.Stream)
		e.stream(w, r, j, 0, f)
		return
	}
	e.whole(w, r, j, f)
}

// admit queues a request.
func (e *Engine) admit(r *http.Request, q question) (*job, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conf.QueueLimit > 0 && len(e.waiting) >= e.conf.QueueLimit {
		return nil, false
	}
	e.seq++
	id := r.Header.Get("X-Request-Id")
	priority, err := strconv.Atoi(r.Header.Get("X-Priority"))
	if err != nil {
		priority = 0
	}
	tokens := q.MaxTokens
	if tokens <= 0 {
		tokens = defaultTokens
	}
	ctx, cancel := context.WithCancel(context.Background())
	j := &job{
		record: &Record{
			Request: id, Stream: fmt.Sprintf("%s-%d", e.conf.Name, e.seq), Tokens: tokens,
			Began: time.Now().UnixMicro(),
		},
		priority: priority, seq: e.seq, start: make(chan struct{}), ctx: ctx, cancel: cancel,
		whole: !q.Stream, more: make(chan struct{}),
	}
	e.records = append(e.records, j.record)
	e.streams[j.record.Stream] = j
	heap.Push(&e.waiting, j)
	e.dispatch()
	return j, true
}

// dispatch starts waiting jobs while slots are free.
func (e *Engine) dispatch() {
	for e.running < e.conf.Slots && len(e.waiting) > 0 {
		j, _ := heap.Pop(&e.waiting).(*job)
		e.running++
		close(j.start)
	}
	e.note()
}

func (e *Engine) note() {
	now := time.Now()
	e.history = append(e.history, sample{at: now, load: load{Running: e.running, Queued: len(e.waiting)}})
	for len(e.history) > 1 && now.Sub(e.history[1].at) > e.conf.Lag {
		e.history = e.history[1:]
	}
}

// work runs one job: prefill, then a token at a time.
func (e *Engine) work(j *job, q question, f Fault) {
	defer j.cancel()
	select {
	case <-j.start:
	case <-j.ctx.Done():
		e.drop(j)
		return
	}
	defer e.release()
	scale := 1.0
	if f.Slow > 0 {
		scale = f.Slow
	}
	if !basis.Sleep(j.ctx, time.Duration(scale*float64(e.prefill(j, q)))) {
		return
	}
	for i := range j.record.Tokens {
		if i > 0 && !basis.Sleep(j.ctx, time.Duration(scale*float64(e.conf.Decode))) {
			return
		}
		j.mu.Lock()
		j.ready = i + 1
		close(j.more)
		j.more = make(chan struct{})
		j.mu.Unlock()
	}
}

// prefill returns the time before the first token and fills the cache.
func (e *Engine) prefill(j *job, q question) time.Duration {
	text := q.Messages
	if len(text) == 0 {
		text = q.Prompt
	}
	tokens := len(text) / bytesPerToken
	e.mu.Lock()
	defer e.mu.Unlock()
	key := string(text[:min(len(text), prefixBytes)])
	warm := e.cache.use(key, tokens)
	j.record.Warm = warm
	if warm {
		tokens /= 4
	}
	return time.Duration(float64(e.conf.Prefill) * float64(tokens) / kilo)
}

func (e *Engine) release() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.dispatch()
}

func (e *Engine) drop(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.index >= 0 {
		heap.Remove(&e.waiting, j.index)
		e.note()
		return
	}
	// It was started at the same moment.
	e.running--
	e.dispatch()
}

func (e *Engine) load(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.note()
	s, down := e.history[0], e.fault.Down
	l := s.load
	l.Leaving = e.fault.Leaving
	e.mu.Unlock()
	if down {
		basis.Cut(w)
		return
	}
	l.AgeMS = min(time.Since(s.at), e.conf.Lag).Milliseconds()
	basis.WriteJSON(w, http.StatusOK, l)
}

func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil {
		after = 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	basis.WriteJSON(w, http.StatusOK, e.cache.eventsAfter(after))
}

func (e *Engine) record(w http.ResponseWriter, _ *http.Request) {
	basis.WriteJSON(w, http.StatusOK, e.Records())
}

func (e *Engine) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if basis.ReadJSON(w, r, &f) {
		e.SetFault(f)
		w.WriteHeader(http.StatusNoContent)
	}
}

type jobs []*job

func (q jobs) Len() int { return len(q) }

func (q jobs) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].seq < q[j].seq
}

func (q jobs) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *jobs) Push(x any) {
	j, _ := x.(*job)
	j.index = len(*q)
	*q = append(*q, j)
}

func (q *jobs) Pop() any {
	old := *q
	j := old[len(old)-1]
	j.index = -1
	*q = old[:len(old)-1]
	return j
}

// Empty forgets the prefix cache, as after a restart.
func (e *Engine) Empty() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache = newPrefixes(e.conf.Cache)
}
