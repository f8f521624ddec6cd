// Package routed is a stand-in for an endpoint of a fleet with published routes. It
// uses the header names of the given terms, records the requests that it runs, and can
// inject faults.
package routed

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/terms"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/httpd"
)

// SignedBy is the response header with the id of the endpoint.
const SignedBy = "X-Signed-By"

// HealthPath is the path of health checks.
const HealthPath = "/health"

// Fault is an injected fault for the next Times requests.
type Fault struct {
	Times int
	// NotRun refuses the request and marks it as not run.
	NotRun bool
	// RetryAfter is the value of Retry-After of a refusal, empty for none.
	RetryAfter string
	// Status is sent as the response status after running the request; 0 is off.
	Status int
	// Marked marks the answer with Status as not run.
	Marked bool
	// CutAfter closes the connection of a stream after that many events, CutBody closes
	// it before the end of a plain body.
	CutAfter int
	CutBody  bool
	// CutOnce leaves requests that resume a stream out of CutAfter.
	CutOnce bool
	// PauseAfter makes a stream silent for Pause after that many events; 0 is off.
	PauseAfter int
	Pause      time.Duration
	// Silent runs the request and never responds.
	Silent bool
	// Drop runs the request and closes the connection without a response.
	Drop bool
	// Ending sends an answer without a length or chunks, or one that breaks off, up to the ending.
	Ending Ending
	// Flood runs the request and sends bytes without end.
	Flood Flood
	// Late sends a copy of an earlier answer before the answer. Together with CutAfter, it does
	// so only if the request resumes a stream, which is not cut then; together with Silent, no
	// answer follows. LateStatus makes the copy a refusal with that status; 0 is off.
	Late       Late
	LateStatus int
	// Odd runs the request and sends this answer. Together with CutAfter, it does so only if the
	// request resumes a stream, which is not cut then.
	Odd Odd
	// Only is all that is sent of a stream before its connection is closed, empty for the events.
	Only string
	// Paced is how a stream is sent, nil for the other faults. It needs a plan.
	Paced *Paced
	// Raw runs the request and sends this answer, with FieldsMark replaced.
	Raw httpd.Raw
}

// FieldsMark in a raw answer stands for the lines of the fields of an ordinary answer that ends its connection.
const FieldsMark = "{fields}"

// sendsNothing reports whether the endpoint neither answers nor sends a copy.
func (f Fault) sendsNothing() bool { return f.Silent && f.Late == "" }

// Crash makes the endpoint end as it begins to write an answer to a request with a prompt
// part, unless the part is the prompt's last, or to a request for a target.
type Crash struct {
	Part   string
	Target string
	// Head sends the head of the answer before the end.
	Head bool
	// Events is the number of events that are sent before the end.
	Events int
	// Ended is called once the endpoint has ended; it may be nil.
	Ended func()
}

// Run is one request that the endpoint ran.
type Run struct {
	ID     string
	Method string
	Target string
	Body   string
	Header http.Header
	// ResumeAfter is the id of the event after which the stream resumes, -1 if the
	// request does not resume a stream.
	ResumeAfter int
	// At is when the request arrived, and Conn the address that its connection came from.
	At   time.Time
	Conn string
	// Written is what was written of a marked answer, and Ended reports whether its end was.
	Written string
	Ended   bool
}

// Endpoint is a running stand-in.
type Endpoint struct {
	ID    string
	Terms *terms.Terms
	// EventCount is the number of events in a stream.
	EventCount int
	// EventGap is the time between events, AnswerTime the time of a plain answer.
	EventGap   time.Duration
	AnswerTime time.Duration

	server *httpd.Server

	mu        sync.Mutex
	fault     Fault
	plan      func(r Run, n int) Fault
	paced     map[net.Conn]bool
	resets    int
	room      room
	crash     Crash
	ended     bool
	rateLimit string
	leaving   bool
	coldUntil time.Time
	headDelay time.Duration
	// leavingSince is when an answer first announced that the endpoint leaves.
	leavingSince time.Time
	// pauseUntil is the end of the time in which the endpoint turns requests away, and
	// turnedAway is when it did.
	pauseUntil time.Time
	turnedAway []time.Time
	// silentUntil is the end of the time in which the endpoint sends nothing.
	silentUntil time.Time
	runs        []Run
	cancelled   int
	refused     int
	// refusedID and refusedConn are the id and the connection of the last refused request.
	refusedID, refusedConn string
}

// New starts an endpoint on a loopback address. The caller closes it.
func New(id string, t *terms.Terms) (*Endpoint, error) { return NewAt("127.0.0.1:0", id, t) }

// NewAt is like New with the address to listen on: that of an endpoint that has ended, for one that
// starts again.
func NewAt(address, id string, t *terms.Terms) (*Endpoint, error) {
	e := &Endpoint{ID: id, Terms: t, EventCount: 5, paced: map[net.Conn]bool{}}
	s, err := httpd.Serve(address, http.HandlerFunc(e.serve))
	if err != nil {
		return nil, fmt.Errorf("endpoint %s: %w", id, err)
	}
	e.server = s
	return e, nil
}

// Address returns the address that the endpoint listens on.
func (e *Endpoint) Address() string { return e.server.Address() }

// Close stops the endpoint and closes its connections.
func (e *Endpoint) Close() error { return e.server.Close() }

// SetCrash sets on which prompt part the endpoint ends; the zero value is none.
func (e *Endpoint) SetCrash(c Crash) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash = c
}

// crashOn returns the crash that a request for a target with a prompt causes, and false if it
// causes none.
func (e *Endpoint) crashOn(target string, p terms.Prompt) (Crash, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	c := e.crash
	if c.Target != "" && c.Target == target {
		return c, true
	}
	return c, slices.ContainsFunc(p.Parts[:max(0, len(p.Parts)-1)], func(part terms.Part) bool { return part.ID == c.Part })
}

// end ends the endpoint within a request, with all its connections.
func (e *Endpoint) end(w http.ResponseWriter, c Crash, id string) {
	if c.Head || c.Events > 0 {
		w.Header().Set("Content-Type", "text/event-stream")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	}
	for n := range c.Events {
		_, _ = w.Write([]byte(Event(id, n)))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(e.EventGap)
	}
	e.mu.Lock()
	first := !e.ended
	e.ended = true
	e.mu.Unlock()
	if first {
		// The error is ignored: the listener may be closed already.
		_ = e.server.Close()
		if c.Ended != nil {
			c.Ended()
		}
	}
	panic(http.ErrAbortHandler)
}

// SetFault replaces the injected fault.
func (e *Endpoint) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// SetPlan replaces injected faults by those that a function returns for the run of a number, and
// marks the events of streams with their run.
func (e *Endpoint) SetPlan(plan func(r Run, n int) Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.plan = plan
}

// planned returns the fault of a run by the plan, f if there is none.
func (e *Endpoint) planned(run int, f Fault) Fault {
	e.mu.Lock()
	plan, r := e.plan, e.runs[run]
	e.mu.Unlock()
	if plan == nil {
		return f
	}
	return plan(r, run)
}

// SetRateLimit sets the rate limit that the endpoint names in its answers, as the value of
// the header field; an empty value names none. The endpoint does not enforce it.
func (e *Endpoint) SetRateLimit(value string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rateLimit = value
}

// SetLeaving sets whether the endpoint announces in its answers that it leaves.
func (e *Endpoint) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving, e.leavingSince = leaving, time.Time{}
}

// LeavingSince returns when an answer first announced that the endpoint leaves, zero if none
// has.
func (e *Endpoint) LeavingSince() time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leavingSince
}

// SetPause makes the endpoint turn all requests away until a time, which it names to each.
func (e *Endpoint) SetPause(until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.pauseUntil = until
}

// TurnedAway returns when the endpoint turned requests away in a pause.
func (e *Endpoint) TurnedAway() []time.Time {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]time.Time(nil), e.turnedAway...)
}

// turnAway returns the value of Retry-After for a request that is turned away, empty if it is
// not.
func (e *Endpoint) turnAway() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	left := e.pauseUntil.Sub(now)
	if left <= 0 {
		return ""
	}
	e.turnedAway = append(e.turnedAway, now)
	return strconv.FormatFloat(left.Seconds(), 'f', 3, 64)
}

// SetSilent makes the endpoint send nothing until a time, also of answers that have begun.
func (e *Endpoint) SetSilent(until time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silentUntil = until
}

// waitWhileSilent waits until the endpoint is not silent. It returns false if the client leaves.
func (e *Endpoint) waitWhileSilent(r *http.Request) bool {
	e.mu.Lock()
	until := e.silentUntil
	e.mu.Unlock()
	return httpd.Sleep(r.Context(), time.Until(until))
}

// SetCold sets the time for which the endpoint says in its health answers that it is cold.
func (e *Endpoint) SetCold(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.coldUntil = time.Now().Add(d)
}

// serveHealth answers a health check, which is no run.
func (e *Endpoint) serveHealth(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	w.Header().Set(e.Terms.EndpointID, e.ID)
	if cold := time.Until(e.coldUntil); cold > 0 {
		w.Header().Set(e.Terms.ColdTime, strconv.FormatInt(cold.Milliseconds(), 10))
	}
}

// describe adds what the endpoint says of itself to the header of an answer.
func (e *Endpoint) describe(h http.Header) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.rateLimit != "" {
		h.Set(e.Terms.RateLimit, e.rateLimit)
	}
	if e.room.Brittle > 0 {
		h.Set(e.Terms.Brittle, strconv.Itoa(e.room.Brittle))
	}
	if e.leaving {
		if e.leavingSince.IsZero() {
			e.leavingSince = time.Now()
		}
		h.Set(e.Terms.Leaving, e.Terms.LeavingValue)
	}
}

// Runs returns the requests that the endpoint ran.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// RunsOf returns the number of runs of the request with an id.
func (e *Endpoint) RunsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, r := range e.runs {
		if r.ID == id {
			n++
		}
	}
	return n
}

// Cancelled returns the number of runs whose client disconnected.
func (e *Endpoint) Cancelled() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelled
}

// Refused returns the number of requests that the endpoint refused.
func (e *Endpoint) Refused() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.refused
}

// RefusedConn returns the address that the connection of the last refused request came from.
func (e *Endpoint) RefusedConn() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.refusedConn
}

func (e *Endpoint) countRefused(r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refused++
	e.refusedID, e.refusedConn = r.Header.Get(e.Terms.RequestID), r.RemoteAddr
}

// SetHeadDelay sets how long the endpoint is silent before the head of each answer.
func (e *Endpoint) SetHeadDelay(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.headDelay = d
}

func (e *Endpoint) delayHead() {
	e.mu.Lock()
	d := e.headDelay
	e.mu.Unlock()
	time.Sleep(d)
}

// nextFault returns the fault for a new request and counts down its Times.
func (e *Endpoint) nextFault() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.Times == 0 {
		return Fault{}
	}
	e.fault.Times--
	return e.fault
}

// Event returns event n of the streamed answer to the request with the given id.
func Event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

// PlainAnswer returns the plain answer to the request with the given id.
func PlainAnswer(id string) string { return "answer to " + id }

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(e.Terms.RequestID)
	h := w.Header()
	h.Set(e.Terms.RequestID, id)
	h.Set(e.Terms.Load, "1,0,8")
	e.describe(h)
	if want := r.Header.Get(e.Terms.ExpectedEndpoint); want != "" && want != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == HealthPath {
		e.serveHealth(w)
		return
	}
	f := e.nextFault()
	if after := e.turnAway(); after != "" {
		f = Fault{NotRun: true, RetryAfter: after}
	}
	if f.NotRun {
		h.Set(e.Terms.NotRun, "1")
		if f.RetryAfter != "" {
			h.Set("Retry-After", f.RetryAfter)
		}
		e.countRefused(r)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	leave, hasRoom := e.enterRoom(r)
	if !hasRoom {
		h.Set(e.Terms.NotRun, "1")
		e.countRefused(r)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer leave()
	if f.Raw.Early {
		r.Body = io.NopCloser(io.LimitReader(r.Body, int64(f.Raw.Read)))
	}
	run, from := e.recordRun(r, id)
	f = e.planned(run, f)
	e.delayHead()
	h.Set(SignedBy, e.ID)
	if c, ends := e.crashOn(r.RequestURI, e.Terms.ParsePrompt(r.Header.Get(e.Terms.Tokens), r.Header.Get(e.Terms.Parts))); ends {
		httpd.Sleep(r.Context(), e.AnswerTime)
		e.end(w, c, id)
	}
	e.answer(w, r, streamRun{id: id, run: run, from: from}, f)
}

// answer answers a request that runs.
func (e *Endpoint) answer(w http.ResponseWriter, r *http.Request, s streamRun, f Fault) {
	switch {
	case f.sendsNothing():
		<-r.Context().Done()
		e.countCancelled()
	case f.Drop:
		panic(http.ErrAbortHandler)
	case f.Flood != "":
		e.sendFlood(w, f.Flood)
	case f.Raw != (httpd.Raw{}):
		e.sendRaw(w, f.Raw)
	case f.Status != 0:
		e.sendStatus(w, f)
	case strings.Contains(r.URL.Path, "stream"):
		e.sendStream(w, r, s, f)
	default:
		e.sendBody(w, r, s.id, f)
	}
}

// sendRaw sends a raw answer. A client that closes the connection counts as one that cancelled.
func (e *Endpoint) sendRaw(w http.ResponseWriter, a httpd.Raw) {
	var fields strings.Builder
	// Without it, the client may send another request before the connection is closed.
	w.Header().Set("Connection", "close")
	_ = w.Header().Write(&fields)
	a.Text = strings.ReplaceAll(a.Text, FieldsMark, fields.String())
	if a.Send(w) {
		e.countCancelled()
	}
}

func (e *Endpoint) sendStatus(w http.ResponseWriter, f Fault) {
	if f.Marked {
		w.Header().Set(e.Terms.NotRun, "1")
	}
	w.WriteHeader(f.Status)
	_, _ = w.Write([]byte("failed"))
}

// recordRun records a run and returns its number and the id of the event to resume after, -1 for
// none.
func (e *Endpoint) recordRun(r *http.Request, id string) (run, from int) {
	body := new(strings.Builder)
	buf := make([]byte, 4096)
	for {
		n, err := r.Body.Read(buf)
		body.Write(buf[:n])
		if err != nil {
			break
		}
	}
	from = -1
	if text := r.Header.Get(e.Terms.LastEvent); text != "" {
		if n, err := strconv.Atoi(text); err == nil {
			from = n
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, Run{ID: id, Method: r.Method, Target: r.RequestURI, Body: body.String(), Header: r.Header.Clone(), ResumeAfter: from, At: time.Now(), Conn: r.RemoteAddr})
	return len(e.runs) - 1, from
}

func (e *Endpoint) countCancelled() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled++
}

func (e *Endpoint) sendBody(w http.ResponseWriter, r *http.Request, id string, f Fault) {
	select {
	case <-time.After(e.AnswerTime):
	case <-r.Context().Done():
		e.countCancelled()
		return
	}
	if !e.waitWhileSilent(r) {
		e.countCancelled()
		return
	}
	if f.Ending != "" {
		e.sendUpTo(w, f.Ending, PlainParts(id))
		return
	}
	if f.Late != "" {
		e.sendAfterLate(w, f, PlainParts(id))
		return
	}
	if f.CutBody {
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte("part"))
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write([]byte(PlainAnswer(id)))
}

// streamRun is a run of a request for a stream.
type streamRun struct {
	id        string
	run, from int
}

func (e *Endpoint) sendStream(w http.ResponseWriter, r *http.Request, s streamRun, f Fault) {
	w.Header().Set("Content-Type", StreamType)
	events, mayReplace := e.runEvents(s), f.CutAfter == 0 || s.from >= 0
	switch {
	case f.Paced != nil:
		e.sendPaced(w, r, *f.Paced, s.run, events)
	case f.Ending != "":
		e.sendUpTo(w, f.Ending, events)
	case f.Late != "" && mayReplace:
		e.recordWritten(s.run, strings.Join(events, ""), true)
		e.sendAfterLate(w, f, events)
	case f.Odd != (Odd{}) && mayReplace:
		e.sendOdd(w, f.Odd, s.run, events)
	default:
		e.sendEachEvent(w, r, s, f)
	}
}

// sendEachEvent sends the events of a run one by one.
func (e *Endpoint) sendEachEvent(w http.ResponseWriter, r *http.Request, s streamRun, f Fault) {
	id, from := s.id, s.from
	flush := http.NewResponseController(w)
	if f.Only != "" {
		_, _ = w.Write([]byte(f.Only))
		_ = flush.Flush()
		panic(http.ErrAbortHandler)
	}
	for n := from + 1; n < e.EventCount; n++ {
		if f.CutAfter > 0 && n >= f.CutAfter && (!f.CutOnce || from < 0) {
			_, _ = w.Write([]byte("id: 99\nda"))
			_ = flush.Flush()
			panic(http.ErrAbortHandler)
		}
		if !e.waitWhileSilent(r) {
			e.countCancelled()
			return
		}
		_, _ = w.Write([]byte(Event(id, n)))
		_ = flush.Flush()
		gap := e.EventGap
		if f.PauseAfter > 0 && n+1 == f.PauseAfter {
			gap = f.Pause
		}
		select {
		case <-time.After(gap):
		case <-r.Context().Done():
			e.countCancelled()
			return
		}
	}
}
