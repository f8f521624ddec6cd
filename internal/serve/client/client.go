// Package client sends one attempt of a request to an endpoint. It opens a new
// connection for each attempt, because a pooled connection may have stopped responding.
// Services of the inventory use it; published routes use package pool.
package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/head"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/held"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
)

const (
	dialTimeout    = time.Second
	readChunkBytes = 32 << 10
	cancelTimeout  = 2 * time.Second
	maxResumes     = 2
	// minRate is the rate, in bytes per second, at which the bytes of an unfinished event or of
	// a whole answer extend the wait for its end. It is far below that of any link to an
	// endpoint, so that large events and answers arrive, and bytes sent now and then gain nothing.
	minRate = 4 << 10
	// maxEventWaits bounds the wait for one event with that extension, as a multiple of the
	// idle timeout.
	maxEventWaits = 4
)

// The header fields and paths of the protocol between the gateway and its endpoints.
const (
	StreamIDField  = "X-Stream-Id"
	LeavingField   = "X-Leaving"
	RequestIDField = "X-Request-Id"
	PriorityField  = "X-Priority"
	resumePath     = "/v1/resume"
	cancelPath     = "/v1/cancel"
)

// Attempt is one attempt of a request at one endpoint.
type Attempt struct {
	Address  string
	Method   string
	Path     string
	Fields   []wire.Field
	Body     []byte
	Deadline time.Time
	// IdleTimeout bounds the time without progress, from the start of the attempt on. Progress
	// is the head, each event of a stream, and the bytes of a whole answer as far as they arrive
	// at minRate.
	IdleTimeout time.Duration
	// NotRunStatuses lists the statuses by which the endpoint states that it did not run the
	// request.
	NotRunStatuses []int
	// RetryStatuses lists the statuses for which a repeatable request is retried at another
	// endpoint.
	RetryStatuses []int
	// MaxAnswerBytes bounds the body of the answer.
	MaxAnswerBytes int
	// Held is the account of what is kept of the answer until the sink has it; nil means no limit.
	Held *held.Account
}

// Sink receives an answer. An error from Head or Data means that the caller disconnected.
type Sink struct {
	Head func(wire.Head) error
	// Data may keep the bytes, and does not change them.
	Data func([]byte) error
	// Acked is called when a peer host confirms that it received the request. It can
	// be nil.
	Acked func()
	// Received is called for each frame from a peer host. It can be nil.
	Received func()
}

// Result is the outcome of an attempt.
type Result struct {
	// Whole reports whether the whole answer was passed on.
	Whole bool
	// Started reports whether a part of the answer was passed on.
	Started bool
	Status  int
	// Reason is the retry reason of a failed attempt.
	Reason retry.Reason
	Ran    fault.Ran
	Err    error
	// CallerLeft reports whether the sink failed or the context ended.
	CallerLeft bool
	// Leaving reports whether the endpoint announced that it is leaving.
	Leaving bool
	// TimeToFirstByte is the time from the start of the attempt to the first byte of the body.
	TimeToFirstByte time.Duration
	// Resumes counts how often the stream was resumed.
	Resumes int
}

// ErrNoProgress is the error of an attempt that made no progress for Attempt.IdleTimeout.
var ErrNoProgress = errors.New("no progress")

// Do makes one attempt and passes the answer on to sink as it arrives. If a stream with
// a stream ID breaks off, Do resumes it at the same endpoint, at most maxResumes times,
// and cancels it there if it still fails.
func Do(ctx context.Context, attempt Attempt, sink Sink) Result {
	r := &attemptRun{ctx: ctx, attempt: attempt, sink: sink, start: time.Now(), splitter: stream.NewSplitter()}
	r.sendRequest()
	for r.resumable() {
		r.resume()
	}
	if r.result.Whole || r.streamID == "" {
		return r.result
	}
	go r.cancelStream()
	return r.result
}

// attemptRun is the state of an attempt and of the resumptions of its stream.
type attemptRun struct {
	ctx           context.Context
	attempt       Attempt
	sink          Sink
	start         time.Time
	splitter      *stream.Splitter
	result        Result
	streamID      string
	receivedBytes int
}

// recordFailure records the error of an exchange and its retry reason.
func (r *attemptRun) recordFailure(e *exchange, err error) {
	r.result.Err = err
	r.result.Ran = fault.RanUnknown
	switch {
	case r.ctx.Err() != nil:
		r.result.CallerLeft = true
		r.result.Reason = retry.Broken
	case !e.connected():
		r.result.Reason = retry.Dial
	case errors.Is(err, head.ErrTooLong) || errors.Is(err, stream.ErrTooLong) || errors.Is(err, held.ErrFull):
		r.result.Reason = retry.Oversize
	case e.watchdog.fired.Load():
		r.result.Reason = retry.Silent
		r.result.Err = fmt.Errorf("%w: %w", ErrNoProgress, err)
	default:
		r.result.Reason = retry.Broken
	}
	if !e.connected() {
		r.result.Ran = fault.RanNo
	}
}

// sendRequest sends the request and passes its answer on.
func (r *attemptRun) sendRequest() {
	ctx, cancel := context.WithDeadline(r.ctx, r.attempt.Deadline)
	defer cancel()
	e := newExchange(ctx, r.attempt.Address, r.attempt.Deadline, r.attempt.IdleTimeout)
	defer e.close()
	if err := e.do(r.attempt.Method, r.attempt.Path, r.attempt.Fields, r.attempt.Body); err != nil {
		r.recordFailure(e, fmt.Errorf("send to endpoint: %w", err))
		return
	}
	e.watchdog.restart()
	if r.failedByStatus(e) {
		return
	}
	r.streamID = e.resp.Header.Get(StreamIDField)
	if r.streamID != "" {
		r.splitter.RequireConsecutive()
	}
	r.passAnswer(e)
}

// failedByStatus reports whether the status of the answer is a failure of the attempt
// instead of an answer to pass on, and records the failure.
func (r *attemptRun) failedByStatus(e *exchange) bool {
	r.result.Status = e.resp.StatusCode
	r.result.Leaving = e.resp.Header.Get(LeavingField) != ""
	for _, s := range r.attempt.NotRunStatuses {
		if s == r.result.Status {
			r.result.Reason, r.result.Ran = retry.Refused, fault.RanNo
			r.result.Err = fmt.Errorf("endpoint refused with status %d", s)
			return true
		}
	}
	for _, s := range r.attempt.RetryStatuses {
		if s == r.result.Status {
			r.result.Reason, r.result.Ran = retry.Status, fault.RanUnknown
			r.result.Err = fmt.Errorf("endpoint answered status %d", s)
			return true
		}
	}
	return false
}

// answerHead returns the status of an answer and the header fields that callers get.
func (r *attemptRun) answerHead(e *exchange) wire.Head {
	var fields []wire.Field
	for name, values := range e.resp.Header {
		if isDroppedField(name) {
			continue
		}
		for _, v := range values {
			fields = append(fields, wire.Field{Name: name, Value: v})
		}
	}
	return wire.NewHead(r.result.Status, fields...)
}

// isDroppedField reports whether a header field is not passed on to callers: the
// hop-by-hop fields, Date, Server, and the fields meant for the gateway.
func isDroppedField(name string) bool {
	switch name {
	case "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade",
		"Proxy-Authenticate", "Date", "Server", LeavingField, StreamIDField:
		return true
	}
	return false
}

// passAnswer passes the head and the body of an answer on.
func (r *attemptRun) passAnswer(e *exchange) {
	headSent := false
	sendHead := func() error {
		if headSent || r.result.Started {
			return nil
		}
		headSent = true
		r.result.Started = true
		return r.sink.Head(r.answerHead(e))
	}
	switch {
	case !stream.IsEvents(e.resp.Header.Get("Content-Type")):
		r.passWhole(e, sendHead)
	case isEncoded(e.resp):
		r.recordFailure(e, errEncoded)
	default:
		r.passEvents(e, sendHead)
	}
}

// errEncoded is the error of a stream whose bytes can't be split into events.
var errEncoded = errors.New("stream of events is encoded")

func isEncoded(resp *http.Response) bool {
	encoding := resp.Header.Get("Content-Encoding")
	return encoding != "" && !strings.EqualFold(encoding, "identity")
}

// passWhole reads the whole body of an answer that is not a stream before it passes
// anything on: the body is small, and until then the request can be retried.
func (r *attemptRun) passWhole(e *exchange, sendHead func() error) {
	hold := r.attempt.Held.Open(r.attempt.Address, e.resp.ContentLength >= 0, e.cancel)
	defer hold.Close()
	body, err := r.readAll(e, hold)
	if hold.Dropped() {
		err = held.ErrFull
	}
	if err != nil {
		r.recordFailure(e, fmt.Errorf("read answer: %w", err))
		return
	}
	// The sink accounts for what it keeps.
	hold.Close()
	if err := sendHead(); err != nil {
		r.callerLeft(err)
		return
	}
	if err := r.sink.Data(body); err != nil {
		r.callerLeft(err)
		return
	}
	r.result.Whole, r.result.Ran = true, fault.RanYes
}

// readAll reads a body. The error is held.ErrFull if it was dropped for another answer.
func (r *attemptRun) readAll(e *exchange, hold *held.Answer) ([]byte, error) {
	body := held.NewBody(e.resp.ContentLength)
	for {
		n, err := e.resp.Body.Read(body.Room())
		if n > 0 {
			r.recordFirstByte()
			body.Extend(n)
			e.watchdog.extend(transferTime(body.Len()))
		}
		if body.Len() > r.attempt.MaxAnswerBytes {
			return nil, fmt.Errorf("%w: exceeds %d bytes", head.ErrTooLong, r.attempt.MaxAnswerBytes)
		}
		if err := hold.Grow(n); err != nil {
			return nil, err
		}
		if errors.Is(err, io.EOF) {
			return body.Bytes(), nil
		}
		if err != nil {
			return nil, fmt.Errorf("read body: %w", err)
		}
	}
}

// recordFirstByte records when the first part of the body arrived.
func (r *attemptRun) recordFirstByte() {
	if r.result.TimeToFirstByte == 0 {
		r.result.TimeToFirstByte = time.Since(r.start)
	}
}

// callerLeft records that the caller disconnected; err is the error of the sink.
func (r *attemptRun) callerLeft(err error) {
	r.result.CallerLeft = true
	r.result.Ran = fault.RanYes
	r.result.Err = fmt.Errorf("pass answer on: %w", err)
}

// passEvents passes complete events on as they arrive. The closing event is passed
// on only if the stream is unbroken up to it.
func (r *attemptRun) passEvents(e *exchange, sendHead func() error) {
	src := e.resp.Body
	hold := r.attempt.Held.Open(r.attempt.Address, false, e.cancel)
	defer hold.Close()
	buf := make([]byte, readChunkBytes)
	partial := 0
	for {
		n, err := src.Read(buf)
		if n > 0 && !r.passChunk(e, buf[:n], sendHead) {
			return
		}
		if growErr := hold.Grow(r.splitter.Buffered() - partial); growErr != nil {
			// A resumed stream would be read again as far.
			err, r.result.Resumes = growErr, maxResumes
		}
		partial = r.splitter.Buffered()
		if r.splitter.Done() {
			r.result.Whole, r.result.Ran, r.result.Err = true, fault.RanYes, nil
			return
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			r.recordFailure(e, fmt.Errorf("read events: %w", err))
			return
		}
	}
}

// passChunk passes on the events that p completes and reports whether the stream can
// go on.
func (r *attemptRun) passChunk(e *exchange, p []byte, sendHead func() error) bool {
	r.recordFirstByte()
	r.receivedBytes += len(p)
	progress := r.splitter.Progress()
	events, splitErr := r.splitter.Add(p)
	if r.splitter.Progress() > progress {
		e.watchdog.restart()
	}
	e.watchdog.extend(min(transferTime(r.splitter.Buffered()), (maxEventWaits-1)*r.attempt.IdleTimeout))
	if len(events) > 0 {
		err := sendHead()
		if err == nil {
			err = r.sink.Data(events)
		}
		if err != nil {
			r.callerLeft(err)
			return false
		}
	}
	if splitErr == nil && r.receivedBytes > r.attempt.MaxAnswerBytes {
		splitErr = fmt.Errorf("%w: exceeds %d bytes", head.ErrTooLong, r.attempt.MaxAnswerBytes)
	}
	if splitErr == nil {
		return true
	}
	r.recordFailure(e, splitErr)
	if !errors.Is(splitErr, stream.ErrGap) {
		// A resumed stream would fail at the same event, so it is not resumed.
		r.streamID = ""
	}
	return false
}

// resumable reports whether the interrupted stream can be resumed after its last
// event.
func (r *attemptRun) resumable() bool {
	return !r.result.Whole && !r.result.CallerLeft && r.streamID != "" && r.result.Started &&
		r.splitter.LastID() != stream.NoID && r.result.Resumes < maxResumes &&
		time.Now().Before(r.attempt.Deadline)
}

// resume requests the events after the last one from the same endpoint, on a new
// connection.
func (r *attemptRun) resume() {
	r.result.Resumes++
	r.splitter.DropPartial()
	ctx, cancel := context.WithDeadline(r.ctx, r.attempt.Deadline)
	defer cancel()
	e := newExchange(ctx, r.attempt.Address, r.attempt.Deadline, r.attempt.IdleTimeout)
	defer e.close()
	err := e.do(http.MethodGet, resumePath+"?stream="+r.streamID+"&from="+strconv.Itoa(r.splitter.LastID()+1), nil, nil)
	if err == nil {
		if err = continues(e.resp); err != nil {
			r.result.Resumes = maxResumes
		}
	}
	if err != nil {
		r.recordFailure(e, fmt.Errorf("resume stream: %w", err))
		r.result.Ran = fault.RanUnknown
		return
	}
	e.watchdog.restart()
	r.passEvents(e, func() error { return nil })
}

// continues returns an error unless an answer is the rest of a stream of events.
func continues(resp *http.Response) error {
	kind := resp.Header.Get("Content-Type")
	if resp.StatusCode != http.StatusOK || !stream.IsEvents(kind) || isEncoded(resp) {
		return fmt.Errorf("endpoint answered status %d, media type %q, encoding %q", resp.StatusCode, kind, resp.Header.Get("Content-Encoding"))
	}
	return nil
}

// cancelStream asks the endpoint to stop generating the stream, as nobody reads it.
func (r *attemptRun) cancelStream() {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	e := newExchange(ctx, r.attempt.Address, time.Now().Add(cancelTimeout), cancelTimeout)
	defer e.close()
	_ = e.do(http.MethodPost, cancelPath+"?stream="+r.streamID, nil, nil)
}
