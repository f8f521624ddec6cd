// Package client sends one attempt of a request to an endpoint. Each attempt
// has a connection of its own: the HTTP library sends some requests again by
// itself on a pooled connection, and a pooled one may have gone silent.
package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strconv"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
)

const (
	dialTimeout = time.Second
	idleConn    = time.Second
	readChunk   = 32 << 10
	cancelTime  = 2 * time.Second
	maxResumes  = 2
)

// The header fields that endpoints use.
const (
	StreamID   = "X-Stream-Id"
	Leaving    = "X-Leaving"
	RequestID  = "X-Request-Id"
	Priority   = "X-Priority"
	eventType  = "text/event-stream"
	resumePath = "/v1/resume"
	cancelPath = "/v1/cancel"
)

// Attempt is one request to one endpoint.
type Attempt struct {
	Address  string
	Method   string
	Path     string
	Fields   []wire.Field
	Body     []byte
	Deadline time.Time
	// Silence bounds the time without progress.
	Silence time.Duration
	// NotRun lists the statuses by which the endpoint says that it ran nothing.
	NotRun []int
	// Again lists the statuses that a repeatable request is tried elsewhere for.
	Again []int
	// MaxAnswer bounds the answer, in bytes.
	MaxAnswer int
}

// Sink takes an answer. An error of it means that the caller has left.
type Sink struct {
	Head func(wire.Head) error
	Data func([]byte) error
	// Acked is told that another host has the request; nil is nobody.
	Acked func()
}

// Result is how an attempt ended.
type Result struct {
	// Whole says that the whole answer was passed on.
	Whole bool
	// Begun says that a part of the answer was passed on.
	Begun  bool
	Status int
	// Failure is set where Whole is false.
	Reason retry.Reason
	Ran    fault.Ran
	Err    error
	// CallerLeft says that the sink failed or the context ended.
	CallerLeft bool
	// Leaving says that the endpoint told that it takes no more work.
	Leaving bool
	// First is the time until the first byte of the answer's body.
	First time.Duration
	// Resumes counts how often the stream was resumed.
	Resumes int
}

// ErrSilent is the error of an endpoint without progress.
var ErrSilent = errors.New("no progress")

// Do runs one attempt and passes the answer on as it arrives.
func Do(ctx context.Context, a Attempt, sink Sink) Result {
	r := &run{ctx: ctx, a: a, sink: sink, start: time.Now(), split: stream.NewSplitter()}
	r.attempt()
	for r.resumable() {
		r.resume()
	}
	if r.out.Whole || r.id == "" {
		return r.out
	}
	go r.cancelStream()
	return r.out
}

type run struct {
	ctx   context.Context
	a     Attempt
	sink  Sink
	start time.Time
	split *stream.Splitter
	out   Result
	id    string
	size  int
}

// failure tells the reason of a failed exchange.
func (r *run) failure(e *exchange, err error) {
	r.out.Err = err
	r.out.Ran = fault.RanUnknown
	switch {
	case r.ctx.Err() != nil:
		r.out.CallerLeft = true
		r.out.Reason = retry.Broken
	case !e.dialer.made.Load():
		r.out.Reason = retry.Dial
	case e.watch.fired.Load():
		r.out.Reason = retry.Silent
		r.out.Err = fmt.Errorf("%w: %w", ErrSilent, err)
	default:
		r.out.Reason = retry.Broken
	}
	if !e.dialer.made.Load() {
		r.out.Ran = fault.RanNo
	}
}

func (r *run) attempt() {
	ctx, cancel := context.WithDeadline(r.ctx, r.a.Deadline)
	defer cancel()
	e := newExchange(ctx, r.a.Address, r.a.Deadline, r.a.Silence)
	defer e.close()
	e.req.SetMethod(r.a.Method)
	e.req.SetRequestURI("http://" + r.a.Address + r.a.Path)
	for _, f := range r.a.Fields {
		e.req.Header.Set(f.Name, f.Value)
	}
	e.req.SetBody(r.a.Body)
	if err := e.host.Do(ctx, e.req, e.resp); err != nil {
		r.failure(e, fmt.Errorf("send to endpoint: %w", err))
		return
	}
	e.watch.progress()
	if r.refused(e) {
		return
	}
	r.id = e.resp.Header.Get(StreamID)
	if r.id != "" {
		r.split.Numbered()
	}
	r.pass(e)
}

// refused handles the statuses that are no answer to pass on.
func (r *run) refused(e *exchange) bool {
	r.out.Status = e.resp.StatusCode()
	r.out.Leaving = e.resp.Header.Get(Leaving) != ""
	for _, s := range r.a.NotRun {
		if s == r.out.Status {
			r.out.Reason, r.out.Ran = retry.Refused, fault.RanNo
			r.out.Err = fmt.Errorf("endpoint refused with status %d", s)
			return true
		}
	}
	for _, s := range r.a.Again {
		if s == r.out.Status {
			r.out.Reason, r.out.Ran = retry.Status, fault.RanUnknown
			r.out.Err = fmt.Errorf("endpoint answered status %d", s)
			return true
		}
	}
	return false
}

// head returns the fields of an answer that callers get.
func (r *run) head(e *exchange) wire.Head {
	h := wire.Head{Status: r.out.Status}
	e.resp.Header.VisitAll(func(k, v []byte) {
		if !hopByHop(string(k)) {
			h.Fields = append(h.Fields, wire.Field{Name: string(k), Value: string(v)})
		}
	})
	return h
}

func hopByHop(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade",
		"Proxy-Authenticate", "Date", "Server", Leaving, StreamID:
		return true
	}
	return false
}

// pass passes the answer's head and body on.
func (r *run) pass(e *exchange) {
	events := len(e.resp.Header.ContentType()) >= len(eventType) &&
		string(e.resp.Header.ContentType()[:len(eventType)]) == eventType
	sentHead := false
	begin := func() error {
		if sentHead || r.out.Begun {
			return nil
		}
		sentHead = true
		r.out.Begun = true
		return r.sink.Head(r.head(e))
	}
	if !events {
		r.passWhole(e, begin)
		return
	}
	r.passEvents(e, begin)
}

// passWhole collects a body that is no stream: it is small, and is retried as
// long as the caller got nothing.
func (r *run) passWhole(e *exchange, begin func() error) {
	want := e.resp.Header.ContentLength()
	body, err := r.readAll(e)
	if err == nil && want >= 0 && len(body) != want && r.a.Method != "HEAD" {
		err = fmt.Errorf("answer has %d of %d bytes: %w", len(body), want, io.ErrUnexpectedEOF)
	}
	if err != nil {
		r.failure(e, fmt.Errorf("read answer: %w", err))
		return
	}
	if err := begin(); err != nil {
		r.left(err)
		return
	}
	if err := r.sink.Data(body); err != nil {
		r.left(err)
		return
	}
	r.out.Whole, r.out.Ran = true, fault.RanYes
}

func (r *run) readAll(e *exchange) ([]byte, error) {
	var body []byte
	src := e.resp.BodyStream()
	buf := make([]byte, readChunk)
	for {
		n, err := src.Read(buf)
		if n > 0 {
			r.mark(e)
			body = append(body, buf[:n]...)
		}
		if len(body) > r.a.MaxAnswer {
			return nil, fmt.Errorf("answer exceeds %d bytes", r.a.MaxAnswer)
		}
		if errors.Is(err, io.EOF) {
			return body, nil
		}
		if err != nil {
			return nil, fmt.Errorf("read body: %w", err)
		}
	}
}

func (r *run) mark(e *exchange) {
	e.watch.progress()
	if r.out.First == 0 {
		r.out.First = time.Since(r.start)
	}
}

func (r *run) left(err error) {
	r.out.CallerLeft = true
	r.out.Ran = fault.RanYes
	r.out.Err = fmt.Errorf("pass answer on: %w", err)
}

// passEvents passes whole events on as they arrive. The closing event is passed
// only behind an unbroken stream.
func (r *run) passEvents(e *exchange, begin func() error) {
	src := e.resp.BodyStream()
	buf := make([]byte, readChunk)
	for {
		n, err := src.Read(buf)
		if n > 0 && !r.passChunk(e, buf[:n], begin) {
			return
		}
		if r.split.Done() {
			r.out.Whole, r.out.Ran, r.out.Err = true, fault.RanYes, nil
			return
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			r.failure(e, fmt.Errorf("read events: %w", err))
			return
		}
	}
}

func (r *run) passChunk(e *exchange, p []byte, begin func() error) bool {
	r.mark(e)
	r.size += len(p)
	events, broken := r.split.Add(p)
	if len(events) > 0 {
		err := begin()
		if err == nil {
			err = r.sink.Data(events)
		}
		if err != nil {
			r.left(err)
			return false
		}
	}
	if broken == nil && r.size > r.a.MaxAnswer {
		broken = fmt.Errorf("answer exceeds %d bytes", r.a.MaxAnswer)
	}
	if broken == nil {
		return true
	}
	r.failure(e, broken)
	if !errors.Is(broken, stream.ErrGap) {
		// It would break off at the same place again.
		r.id = ""
	}
	return false
}

// resumable reports whether the broken stream can go on from its last event.
func (r *run) resumable() bool {
	return !r.out.Whole && !r.out.CallerLeft && r.id != "" && r.out.Begun &&
		r.split.Last() != stream.NoID && r.out.Resumes < maxResumes &&
		time.Now().Before(r.a.Deadline)
}

// resume asks the same engine for the events after the last one, on a new connection.
func (r *run) resume() {
	r.out.Resumes++
	r.split.Restart()
	ctx, cancel := context.WithDeadline(r.ctx, r.a.Deadline)
	defer cancel()
	e := newExchange(ctx, r.a.Address, r.a.Deadline, r.a.Silence)
	defer e.close()
	e.req.SetMethod("GET")
	e.req.SetRequestURI("http://" + r.a.Address + resumePath + "?stream=" + r.id +
		"&from=" + strconv.Itoa(r.split.Last()+1))
	err := e.host.Do(ctx, e.req, e.resp)
	if err == nil && e.resp.StatusCode() != 200 {
		err = fmt.Errorf("engine answered status %d", e.resp.StatusCode())
		r.out.Resumes = maxResumes
	}
	if err != nil {
		r.failure(e, fmt.Errorf("resume stream: %w", err))
		r.out.Ran = fault.RanUnknown
		return
	}
	e.watch.progress()
	r.passEvents(e, func() error { return nil })
}

// cancelStream tells the engine that nobody waits for the stream.
func (r *run) cancelStream() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTime)
	defer cancel()
	e := newExchange(ctx, r.a.Address, time.Now().Add(cancelTime), cancelTime)
	defer e.close()
	e.req.SetMethod("POST")
	e.req.SetRequestURI("http://" + r.a.Address + cancelPath + "?stream=" + r.id)
	_ = e.host.Do(ctx, e.req, e.resp)
}
