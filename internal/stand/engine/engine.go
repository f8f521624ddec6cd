// Package engine is a stand-in for an inference engine. It simulates batch slots,
// prefill and decode times, a prefix cache of limited size, priorities, streams that
// can be resumed and cancelled, load reports that lag, and injected faults.
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

	"github.com/hyssopspindle/hyssopspindle/internal/stand/httpd"
)

// Config holds the settings of an engine.
type Config struct {
	Name  string
	Slots int
	// Prefill is the prefill time per thousand prompt tokens that are not cached.
	Prefill time.Duration
	// Decode is the time per answer token.
	Decode time.Duration
	// CacheTokens is the capacity of the prefix cache in tokens.
	CacheTokens int
	// ReportLag is the age of the load reports.
	ReportLag time.Duration
	// ResumeGrace is how long a stream without readers can be resumed.
	ResumeGrace time.Duration
	// QueueLimit is the largest number of waiting requests; 0 is no limit.
	QueueLimit int
}

// Fault is an injected fault.
type Fault struct {
	// Times is the number of requests that the fault applies to; 0 means all.
	Times int `json:"times"`
	// CutAfter closes the connection of a stream after that many tokens, SilentAfter
	// stops sending but keeps it open; 0 is off.
	CutAfter    int `json:"cut_after"`
	SilentAfter int `json:"silent_after"`
	// EndAfter ends the response normally after that many tokens, but without the
	// closing event of the stream; 0 is off.
	EndAfter int `json:"end_after"`
	// Freeze accepts requests and never responds.
	Freeze bool `json:"freeze"`
	// Refuse responds with status 429 without running the request.
	Refuse bool `json:"refuse"`
	// Status is sent as the response status without running the request; 0 is off.
	Status int `json:"status"`
	// Slowdown is the slowdown factor of prefill and decode; 0 is off.
	Slowdown float64 `json:"slow"`
	// Leaving reports the engine as draining to the hosts.
	Leaving bool `json:"leaving"`
	// RefuseResume refuses to resume streams, as if the engine no longer had them.
	RefuseResume bool `json:"forget"`
	// Down closes the connections of load polls.
	Down bool `json:"down"`
	// Raw is sent as the answer, without running the request.
	Raw httpd.Raw `json:"raw"`
}

// Record describes one request that the engine admitted.
type Record struct {
	// Request is the request's id, Stream that of its stream.
	Request string `json:"request"`
	Stream  string `json:"stream"`
	// AdmittedUS is the time of admission in microseconds since 1970.
	AdmittedUS int64 `json:"began_us"`
	// Tokens is the length of the answer, Emitted the number of tokens sent in streams,
	// those sent again after a resume included.
	Tokens    int  `json:"tokens"`
	Emitted   int  `json:"emitted"`
	Cancelled bool `json:"cancelled"`
	// PrefixCached reports whether the prompt prefix was cached.
	PrefixCached bool `json:"warm"`
	// Resumed is the number of attempts to resume the stream.
	Resumed int `json:"resumed"`
}

type loadReport struct {
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	AgeMS   int64 `json:"age_ms"`
	Leaving bool  `json:"leaving"`
}

// job is an admitted request.
type job struct {
	record   *Record
	priority int
	seq      int
	// started is closed when the job gets a slot.
	started chan struct{}
	// heapIndex is the position in the queue, -1 once the job has left it.
	heapIndex int
	ctx       context.Context
	cancel    context.CancelFunc
	// unary reports whether the answer is sent as one response instead of a stream.
	unary   bool
	mu      sync.Mutex
	readers int
	// readyTokens is the number of generated tokens. When it grows, progress is closed
	// and replaced.
	readyTokens int
	progress    chan struct{}
}

// Engine is a running stand-in.
type Engine struct {
	conf   Config
	server *httpd.Server

	mu          sync.Mutex
	running     int
	queue       jobQueue
	seq         int
	streams     map[string]*job
	records     []*Record
	fault       Fault
	cache       *prefixCache
	loadHistory []loadSample
	// left is the number of raw answers whose client closed the connection.
	left int
}

type loadSample struct {
	at   time.Time
	load loadReport
}

// Start starts an engine on an address.
func Start(address string, conf Config) (*Engine, error) {
	e := &Engine{conf: conf, streams: map[string]*job{}, cache: newPrefixCache(conf.CacheTokens)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serve)
	mux.HandleFunc("POST /v1/completions", e.serve)
	mux.HandleFunc("GET /v1/resume", e.serveResume)
	mux.HandleFunc("POST /v1/cancel", e.serveCancel)
	mux.HandleFunc("GET /load", e.serveLoad)
	mux.HandleFunc("GET /events", e.serveCacheEvents)
	mux.HandleFunc("GET /record", e.serveRecords)
	mux.HandleFunc("POST /fault", e.serveFault)
	s, err := httpd.Serve(address, mux)
	if err != nil {
		return nil, fmt.Errorf("engine %s: %w", conf.Name, err)
	}
	e.server = s
	return e, nil
}

// Address returns the engine's address.
func (e *Engine) Address() string { return e.server.Address() }

// Close stops the engine.
func (e *Engine) Close() error { return e.server.Close() }

// SetFault replaces the injected fault; the zero value removes it.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// Records returns a copy of the records of all admitted requests.
func (e *Engine) Records() []Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]Record, len(e.records))
	for i, r := range e.records {
		out[i] = *r
	}
	return out
}

// nextFault returns the fault for a new request and counts down its Times.
func (e *Engine) nextFault() Fault {
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

type completionRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Messages  json.RawMessage `json:"messages"`
	Prompt    json.RawMessage `json:"prompt"`
}

const (
	defaultTokens     = 16
	bytesPerToken     = 4
	prefixBytes       = 1024 // length of the prompt prefix that identifies a cache entry
	prefillUnitTokens = 1000
)

func (e *Engine) serve(w http.ResponseWriter, r *http.Request) {
	var q completionRequest
	if !httpd.ReadJSON(w, r, &q) {
		return
	}
	f := e.nextFault()
	if f.Leaving {
		w.Header().Set("X-Leaving", "1")
	}
	switch {
	case f.Freeze:
		<-r.Context().Done()
		return
	case f.Refuse:
		httpd.WriteJSON(w, http.StatusTooManyRequests, "busy")
		return
	case f.Status != 0:
		httpd.WriteJSON(w, f.Status, "fault")
		return
	case f.Raw != (httpd.Raw{}):
		e.sendRaw(w, f.Raw)
		return
	}
	j, ok := e.admit(r, q)
	if !ok {
		httpd.WriteJSON(w, http.StatusTooManyRequests, "queue is full")
		return
	}
	go e.run(j, q, f)
	if q.Stream {
		w.Header().Set("X-Stream-Id", j.record.Stream)
		e.sendStream(w, r, j, 0, f)
		return
	}
	e.sendComplete(w, r, j, f)
}

func (e *Engine) sendRaw(w http.ResponseWriter, a httpd.Raw) {
	if a.Send(w) {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.left++
	}
}

// Left returns the number of raw answers whose client closed the connection.
func (e *Engine) Left() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.left
}

// admit queues a request. It returns false if the queue is full.
func (e *Engine) admit(r *http.Request, q completionRequest) (*job, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conf.QueueLimit > 0 && len(e.queue) >= e.conf.QueueLimit {
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
			AdmittedUS: time.Now().UnixMicro(),
		},
		priority: priority, seq: e.seq, started: make(chan struct{}), ctx: ctx, cancel: cancel,
		unary: !q.Stream, progress: make(chan struct{}),
	}
	e.records = append(e.records, j.record)
	e.streams[j.record.Stream] = j
	heap.Push(&e.queue, j)
	e.dispatch()
	return j, true
}

// dispatch starts queued jobs while slots are free. The caller holds e.mu.
func (e *Engine) dispatch() {
	for e.running < e.conf.Slots && len(e.queue) > 0 {
		j, _ := heap.Pop(&e.queue).(*job)
		e.running++
		close(j.started)
	}
	e.recordLoad()
}

// recordLoad adds the current load to the history and drops the samples that are older
// than the lag, except for the latest of them. The caller holds e.mu.
func (e *Engine) recordLoad() {
	now := time.Now()
	e.loadHistory = append(e.loadHistory, loadSample{at: now, load: loadReport{Running: e.running, Queued: len(e.queue)}})
	for len(e.loadHistory) > 1 && now.Sub(e.loadHistory[1].at) > e.conf.ReportLag {
		e.loadHistory = e.loadHistory[1:]
	}
}

// run simulates one job: prefill, then the answer token by token.
func (e *Engine) run(j *job, q completionRequest, f Fault) {
	defer j.cancel()
	select {
	case <-j.started:
	case <-j.ctx.Done():
		e.dropWaiting(j)
		return
	}
	defer e.releaseSlot()
	slowdown := 1.0
	if f.Slowdown > 0 {
		slowdown = f.Slowdown
	}
	if !httpd.Sleep(j.ctx, time.Duration(slowdown*float64(e.prefill(j, q)))) {
		return
	}
	for i := range j.record.Tokens {
		if i > 0 && !httpd.Sleep(j.ctx, time.Duration(slowdown*float64(e.conf.Decode))) {
			return
		}
		j.mu.Lock()
		j.readyTokens = i + 1
		close(j.progress)
		j.progress = make(chan struct{})
		j.mu.Unlock()
	}
}

// prefill returns the job's prefill time and adds its prompt prefix to the cache. A
// cached prefix reduces the time to a quarter.
func (e *Engine) prefill(j *job, q completionRequest) time.Duration {
	text := q.Messages
	if len(text) == 0 {
		text = q.Prompt
	}
	tokens := len(text) / bytesPerToken
	e.mu.Lock()
	defer e.mu.Unlock()
	key := string(text[:min(len(text), prefixBytes)])
	cached := e.cache.insert(key, tokens)
	j.record.PrefixCached = cached
	if cached {
		tokens /= 4
	}
	return time.Duration(float64(e.conf.Prefill) * float64(tokens) / prefillUnitTokens)
}

func (e *Engine) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running--
	e.dispatch()
}

// dropWaiting removes a cancelled job from the queue.
func (e *Engine) dropWaiting(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.heapIndex >= 0 {
		heap.Remove(&e.queue, j.heapIndex)
		e.recordLoad()
		return
	}
	// The job got a slot at the same time as it was cancelled.
	e.running--
	e.dispatch()
}

func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.recordLoad()
	s, down := e.loadHistory[0], e.fault.Down
	l := s.load
	l.Leaving = e.fault.Leaving
	e.mu.Unlock()
	if down {
		httpd.CloseConn(w)
		return
	}
	l.AgeMS = min(time.Since(s.at), e.conf.ReportLag).Milliseconds()
	httpd.WriteJSON(w, http.StatusOK, l)
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.Atoi(r.URL.Query().Get("after"))
	if err != nil {
		after = 0
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	httpd.WriteJSON(w, http.StatusOK, e.cache.eventsAfter(after))
}

func (e *Engine) serveRecords(w http.ResponseWriter, _ *http.Request) {
	httpd.WriteJSON(w, http.StatusOK, e.Records())
}

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if httpd.ReadJSON(w, r, &f) {
		e.SetFault(f)
		w.WriteHeader(http.StatusNoContent)
	}
}

type jobQueue []*job

func (q jobQueue) Len() int { return len(q) }

func (q jobQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority < q[j].priority
	}
	return q[i].seq < q[j].seq
}

func (q jobQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].heapIndex, q[j].heapIndex = i, j
}

func (q *jobQueue) Push(x any) {
	j, _ := x.(*job)
	j.heapIndex = len(*q)
	*q = append(*q, j)
}

func (q *jobQueue) Pop() any {
	old := *q
	j := old[len(old)-1]
	j.heapIndex = -1
	*q = old[:len(old)-1]
	return j
}

// ClearCache clears the prefix cache, as a restart does.
func (e *Engine) ClearCache() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache = newPrefixCache(e.conf.CacheTokens)
}
