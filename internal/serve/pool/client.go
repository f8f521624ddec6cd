// Package pool sends one attempt of a request to an endpoint over pooled
// connections, and reports for each failure whether the endpoint may have run the
// request. It never retries by itself. Published routes use it; services of the
// inventory use package client.
package pool

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/terms"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/head"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/held"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/splice"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
)

const (
	// dialTimeout bounds opening a connection within a region.
	dialTimeout    = 400 * time.Millisecond
	readChunkBytes = 16 << 10
	// asyncWriteBytes is the body size from which the request is written while the
	// answer is read, because an endpoint may answer before it has read the whole body.
	asyncWriteBytes = 8 << 10
	// restTimeout is how long the rest of a request may be written once its answer has ended.
	restTimeout = time.Second
	// maxSkippedAnswers bounds the answers to other requests that an attempt skips.
	maxSkippedAnswers = 4
	// maxSkippedBytes bounds the body of each of them.
	maxSkippedBytes = 256 << 10
	// refusalTimeout bounds the wait for the rest of a refusal, or of another answer that is certainly not
	// passed on, which only its connection's reuse needs.
	refusalTimeout = 50 * time.Millisecond
	// minRate is the rate, in bytes per second, at which the bytes of an unfinished event or of
	// a whole answer extend the wait for its end. It is far below that of any link to an
	// endpoint, so that large events and answers arrive, and bytes sent now and then gain nothing.
	minRate = 4 << 10
	// maxEventWaits bounds the wait for one event with that extension, as a multiple of the
	// idle timeout.
	maxEventWaits = 4
	// retryAfterField is the header field with the seconds for which an endpoint wants no
	// requests; maxPauseSeconds keeps them in the range of a time.Duration.
	retryAfterField = "Retry-After"
	maxPauseSeconds = 1e9
	// maxTurnAways is the largest number that counts as an announcement; no endpoint turns more
	// requests away in a second.
	maxTurnAways = 1_000_000
)

// Attempt is one attempt of a request at one endpoint.
type Attempt struct {
	Address string
	// Service is the service of the endpoint, empty for a health check.
	Service string
	Method  string
	// Target is the path and query of the request line, as the caller sent them.
	Target string
	Host   string
	Fields []wire.Field
	Body   []byte
	// ID is the request ID, which the endpoint echoes.
	ID       string
	Deadline time.Time
	// HeadTimeout bounds the time to the first event of a stream, and to the end of any other
	// answer; 0 means until Deadline.
	HeadTimeout time.Duration
	// IdleTimeout bounds the wait for the next event of a stream; 0 means until Deadline. An
	// endpoint that has sent the head gets it for its first event too, and for the rest of an
	// answer that is no stream.
	IdleTimeout time.Duration
	// Abandon decides whether the attempt fails after HeadTimeout or IdleTimeout. If it
	// returns false, the attempt waits for the same time again. Nil means yes.
	Abandon func() bool
	// OnOpened is called when a new connection to the endpoint is open. It may be nil.
	OnOpened func()
	// OnNotice is called with what the head of the endpoint's answer says of the endpoint,
	// also if the answer is not passed on. It may be nil.
	OnNotice func(Notice)
	// LastEventID is the id of the last event that the caller received, stream.NoID for none.
	LastEventID int
	// MaxAnswerBytes bounds the body of the answer.
	MaxAnswerBytes int
	// NewConn forces a new connection.
	NewConn bool
	// RetryServerErrors makes a status of 500 or above, 408 or 429 fail the attempt. Otherwise
	// such an answer is passed on if Accept takes it.
	RetryServerErrors bool
	// Verify returns an error if the request may not be sent on a connection, as the endpoint behind it
	// may not be the one that the request was placed at. It may be nil.
	Verify func(ctx context.Context, c Contact) error
	// Accept returns an error if the endpoint's answer can't be passed on by its head, as the caller
	// has the beginning of another one. Nil accepts any.
	Accept func(wire.Head) error
}

// Contact is the open connection of an attempt.
type Contact struct {
	// Reused reports whether it was taken from the pool.
	Reused bool
	// Wanted is when the attempt asked for it, Opened when it was open.
	Wanted, Opened time.Time
	// OthersEnded reports whether the endpoint had ended pooled connections that could still have been
	// reused.
	OthersEnded bool
}

// Notice is what the head of an answer says of its endpoint.
type Notice struct {
	// RateLimit is the rate limit that the endpoint names, in requests per second; nil if it
	// names none.
	RateLimit *float64
	// Brittle is the number of requests that the endpoint may turn away in a second before it
	// ends, nil if it announces none.
	Brittle *int
	// Leaving reports whether the endpoint announces that it takes no new requests and ends.
	Leaving bool
	// Failed reports whether the endpoint refused the request or failed.
	Failed bool
	// Pause is the time for which the endpoint, which refused the request, wants no others;
	// 0 if it names none.
	Pause time.Duration
	// Malformed is a field that can't be parsed, empty if there is none.
	Malformed string
}

// Result is the outcome of an attempt.
type Result struct {
	// Whole reports whether the whole answer was passed on.
	Whole bool
	// Started reports whether a part of the answer was passed on.
	Started bool
	Status  int
	Reason  retry.Reason
	Ran     fault.Ran
	Err     error
	// CallerLeft reports whether the caller cancelled the request or disconnected.
	CallerLeft bool
	// Unreachable reports whether no connection could be opened because the endpoint, or the
	// network, refused it or did not answer.
	Unreachable bool
	// Withheld reports whether nothing was sent for a reason of this host: Verify returned an error, or there was no
	// room for a connection.
	Withheld bool
	// Misdirected reports whether another endpoint now has the address (status 421).
	Misdirected bool
	// Pause is that of Notice.
	Pause time.Duration
	// Load is the load that the endpoint reported; Slots is 0 if it reported none.
	Load terms.Load
	// TimeToFirstByte is the time from the start of the attempt to the first byte of the body.
	TimeToFirstByte time.Duration
	// TimeToHead is the time from the start of the attempt to the head of the answer, 0 if
	// none arrived.
	TimeToHead time.Duration
	// LastEventID is the id of the last event passed on, Attempt.LastEventID if none was.
	LastEventID int
	// ErrorAnswer is the endpoint's error answer (status 500 or above, 408 or 429) if it was not passed
	// on and Attempt.Accept takes it. It is nil if the answer is longer than readChunkBytes or of unknown length.
	ErrorAnswer *wire.Answer
	// EventWrites counts the writes of events to the sink, each of one or more events.
	EventWrites int
	// Reused reports whether the attempt used a pooled connection.
	Reused bool
	// MediaType is the value of the answer's Content-Type.
	MediaType string
	// Framing is how the answer stated its end, empty if no head arrived.
	Framing Framing
	// Unframed reports whether the answer stated no length and ended with its connection, so
	// that its end does not show whether it is complete.
	Unframed bool
}

// Framing is how an answer states where it ends.
type Framing string

// The framings: chunks, a length, or the end of the connection.
const (
	Chunked    Framing = "chunks"
	Length     Framing = "length"
	Connection Framing = "connection"
)

// framingOf returns the framing of an answer.
func framingOf(resp *http.Response) Framing {
	switch {
	case len(resp.TransferEncoding) > 0:
		return Chunked
	case resp.ContentLength >= 0:
		return Length
	}
	return Connection
}

// Client sends attempts to endpoints.
type Client struct {
	Pool  *Pool
	Terms *terms.Terms
	Now   func() time.Time
}

// exchange is the state of one attempt.
type exchange struct {
	client  *Client
	attempt Attempt
	sink    client.Sink
	conn    *conn
	// othersEnded is Contact.OthersEnded.
	othersEnded bool
	// head is that of the endpoint's answer.
	head   wire.Head
	start  time.Time
	result Result
	// writeDone is closed when the background write of the request has ended, nil if
	// there is none.
	writeDone   chan struct{}
	writeFailed atomic.Bool
	ctx         context.Context
	// ownAnswerOnly reports whether the connection brought the answer with the request's id and
	// no other.
	ownAnswerOnly bool
	// waitStart and readTimeout are the time and the timeout of the last setReadDeadline.
	waitStart   time.Time
	readTimeout time.Duration
}

// Do makes one attempt and passes the answer on to sink as it arrives.
func (c *Client) Do(ctx context.Context, attempt Attempt, sink client.Sink) Result {
	e := &exchange{client: c, attempt: attempt, sink: sink, start: c.Now(), ctx: ctx, result: Result{LastEventID: attempt.LastEventID}}
	if err := c.Pool.reserve(attempt.Service); err != nil {
		e.result.Reason, e.result.Ran, e.result.Err, e.result.Withheld = retry.Dial, fault.RanNo, err, true
		return e.result
	}
	defer c.Pool.unreserve(attempt.Service)
	if err := e.connect(); err != nil {
		e.result.Reason, e.result.Ran, e.result.Err = retry.Dial, fault.RanNo, err
		e.result.CallerLeft = fault.CallerLeft(ctx)
		e.result.Unreachable = ctx.Err() == nil && unreachable(err) && c.Now().Sub(e.start) < dialTimeout+maxDialDelay
		return e.result
	}
	if attempt.Verify != nil {
		contact := Contact{Reused: e.result.Reused, Wanted: e.start, Opened: e.conn.opened, OthersEnded: e.othersEnded}
		if err := attempt.Verify(ctx, contact); err != nil {
			_ = e.conn.Close()
			e.result.Reason, e.result.Ran, e.result.Err = retry.Dial, fault.RanNo, err
			e.result.Withheld, e.result.CallerLeft = true, fault.CallerLeft(ctx)
			return e.result
		}
	}
	c.Pool.enter(e.conn)
	// Closing the connection tells the endpoint that the request was cancelled.
	stop := context.AfterFunc(ctx, func() { _ = e.conn.Close() })
	keepAlive := e.run()
	c.Pool.leave(e.conn)
	if stop() && keepAlive > 0 && e.requestWritten() && e.ownAnswerOnly {
		c.Pool.put(e.conn, attempt.ID, keepAlive)
	} else {
		_ = e.conn.Close()
	}
	return e.result
}

// connect takes a connection from the pool or opens one.
func (e *exchange) connect() error {
	if !e.attempt.NewConn {
		if e.conn, e.othersEnded = e.client.Pool.get(e.attempt.Address, e.attempt.ID); e.conn != nil {
			e.result.Reused = true
			return nil
		}
	}
	timeout := min(dialTimeout, e.attempt.Deadline.Sub(e.start))
	ctx, cancel := context.WithTimeout(e.ctx, timeout)
	defer cancel()
	var err error
	if e.conn, err = e.client.Pool.open(ctx, e.attempt.Address); err != nil {
		return err
	}
	if e.attempt.OnOpened != nil {
		e.attempt.OnOpened()
	}
	return nil
}

// run sends the request and passes the answer on. It returns the keep-alive timeout
// of the connection, 0 if it must be closed.
func (e *exchange) run() (keepAlive time.Duration) {
	if err := e.conn.SetDeadline(e.attempt.Deadline); err != nil {
		e.fail(fmt.Errorf("set deadline: %w", err))
		return 0
	}
	if err := e.send(); err != nil {
		e.fail(fmt.Errorf("send request: %w", err))
		return 0
	}
	e.conn.onTimeout = e.keepWaiting
	e.setReadDeadline(e.attempt.HeadTimeout)
	resp, err := e.readHead()
	if err != nil {
		e.fail(fmt.Errorf("read answer: %w", err))
		return 0
	}
	defer func() {
		if keepAlive == 0 {
			// Otherwise closing the body would read the rest of it.
			_ = e.conn.Close()
		}
		_ = resp.Body.Close()
	}()
	e.result.Status, e.result.TimeToHead = resp.StatusCode, e.client.Now().Sub(e.start)
	e.result.MediaType, e.result.Framing = resp.Header.Get("Content-Type"), framingOf(resp)
	e.result.Unframed = e.result.Framing == Connection
	if load, ok := e.client.Terms.ParseLoad(resp.Header.Get(e.client.Terms.Load)); ok {
		e.result.Load = load
	}
	n := e.client.notice(resp)
	e.result.Pause = n.Pause
	if e.attempt.OnNotice != nil {
		e.attempt.OnNotice(n)
	}
	e.head = answerHead(resp)
	if e.failedByHead(resp) {
		return e.consumeAnswer(resp)
	}
	e.awaitBody()
	if splice.IsEvents(e.head) {
		return e.passEvents(resp)
	}
	return e.passWhole(resp)
}

// notice returns what the head of an answer says of the endpoint.
func (c *Client) notice(resp *http.Response) Notice {
	h := resp.Header
	leaving := h.Get(c.Terms.Leaving)
	n := Notice{
		Leaving: leaving != "" && leaving == c.Terms.LeavingValue,
		Failed:  resp.StatusCode >= http.StatusInternalServerError || c.markedNotRun(h),
	}
	if text := h.Get(c.Terms.RateLimit); text != "" {
		if rate, ok := c.Terms.ParseDecimal(text); ok {
			n.RateLimit = &rate
		} else {
			n.Malformed = c.Terms.RateLimit + ": " + text
		}
	}
	if text := h.Get(c.Terms.Brittle); text != "" {
		if most, err := strconv.Atoi(text); err == nil && most >= 0 && most <= maxTurnAways {
			n.Brittle = &most
		} else {
			n.Malformed = c.Terms.Brittle + ": " + text
		}
	}
	if text := h.Get(retryAfterField); text != "" && resp.StatusCode == http.StatusServiceUnavailable {
		if seconds, ok := c.Terms.ParseDecimal(text); ok {
			n.Pause = time.Duration(min(seconds, maxPauseSeconds) * float64(time.Second))
		} else {
			n.Malformed = retryAfterField + ": " + text
		}
	}
	return n
}

// markedNotRun reports whether the endpoint states that it did not run the request.
func (c *Client) markedNotRun(h http.Header) bool {
	switch strings.ToLower(strings.TrimSpace(h.Get(c.Terms.NotRun))) {
	case "", "0", "false", "no":
		return false
	}
	return true
}

// send writes the request, in the background if its body is long.
func (e *exchange) send() error {
	var b bytes.Buffer
	b.Grow(1024 + min(len(e.attempt.Body), asyncWriteBytes))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", e.attempt.Method, e.attempt.Target, e.attempt.Host)
	for _, f := range e.attempt.Fields {
		b.WriteString(f.Name)
		b.WriteString(": ")
		b.WriteString(f.Value)
		b.WriteString("\r\n")
	}
	if len(e.attempt.Body) > 0 || e.attempt.Method == http.MethodPost || e.attempt.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(e.attempt.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	if len(e.attempt.Body) < asyncWriteBytes {
		b.Write(e.attempt.Body)
		_, err := e.conn.Write(b.Bytes())
		return err
	}
	e.writeDone = make(chan struct{})
	go func() {
		defer close(e.writeDone)
		_, err := e.conn.Write(b.Bytes())
		if err == nil {
			_, err = e.conn.Write(e.attempt.Body)
		}
		if err != nil {
			e.writeFailed.Store(true)
			// Unblocks the reader, which waits for an answer that can't arrive.
			_ = e.conn.Close()
		}
	}()
	return nil
}

// requestWritten reports whether the whole request has been written.
func (e *exchange) requestWritten() bool {
	if e.writeDone == nil {
		return true
	}
	select {
	case <-e.writeDone:
		return !e.writeFailed.Load()
	default:
		return false
	}
}

// setReadDeadline bounds the following reads by timeout, if it is not 0, and by the
// deadline of the attempt.
func (e *exchange) setReadDeadline(timeout time.Duration) {
	e.waitStart, e.readTimeout = e.client.Now(), timeout
	e.extendReadDeadline(0)
}

// extendReadDeadline adds extra to the timeout of the last setReadDeadline.
func (e *exchange) extendReadDeadline(extra time.Duration) {
	deadline := e.attempt.Deadline
	if e.readTimeout > 0 {
		if t := e.waitStart.Add(e.readTimeout + extra); t.Before(deadline) {
			deadline = t
		}
	}
	if e.client.Now().Before(deadline) {
		e.conn.overdue = time.Time{}
	}
	_ = e.conn.SetReadDeadline(deadline)
}

// transferTime returns the time that n bytes may take.
func transferTime(n int) time.Duration { return time.Duration(n) * time.Second / minRate }

// awaitBody bounds the wait for the first event of a stream, or for a whole answer, once the
// head has arrived. An engine may send the head before it has read a long prompt, so the time
// between two events does not apply yet.
func (e *exchange) awaitBody() {
	left := e.waitStart.Add(e.readTimeout).Sub(e.client.Now())
	if e.readTimeout > 0 && left < e.attempt.IdleTimeout {
		e.setReadDeadline(e.attempt.IdleTimeout)
	}
}

// keepWaiting extends a read that timed out before the deadline of the attempt, unless the
// attempt is to be abandoned.
func (e *exchange) keepWaiting() bool {
	if e.attempt.Abandon == nil || e.ctx.Err() != nil || !e.client.Now().Before(e.attempt.Deadline) || e.attempt.Abandon() {
		return false
	}
	e.setReadDeadline(e.readTimeout)
	return true
}

// readHead reads the head of the answer. It skips interim answers, and whole answers
// to other requests. The first answer on a new connection can only be the request's if it has no id.
// A connection is reused only if its last answer had the id of its request, so one without may
// be a late copy of an earlier answer there. If no other follows, it was the endpoint's answer
// after all, and connections to this endpoint are not reused for a time.
func (e *exchange) readHead() (*http.Response, error) {
	unnamed := false
	for skipped := 0; ; {
		resp, err := e.conn.reader.ReadAnswer(e.attempt.Method)
		if err != nil {
			if unnamed {
				e.client.Pool.setUnnamed(e.attempt.Address)
			}
			return nil, err
		}
		id := e.client.answerID(resp)
		if id == e.attempt.ID {
			e.ownAnswerOnly = skipped == 0
			return resp, nil
		}
		if id == "" && skipped == 0 && !e.result.Reused {
			e.client.Pool.setUnnamed(e.attempt.Address)
			return resp, nil
		}
		unnamed = unnamed || id == ""
		if skipped++; skipped > maxSkippedAnswers || keepAliveTimeout(resp) == 0 {
			return nil, fmt.Errorf("answer belongs to another request: %q", id)
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes+1))
		if err != nil {
			return nil, fmt.Errorf("skip answer to another request: %w", err)
		}
		if n > maxSkippedBytes {
			return nil, fmt.Errorf("%w: answer to another request exceeds %d bytes", head.ErrTooLong, maxSkippedBytes)
		}
	}
}

// answerID returns the id of the request that an answer belongs to, empty if it names none. For an
// answer with several ids, which may belong to any of them, it returns that of no request.
func (c *Client) answerID(resp *http.Response) string {
	ids := slices.Compact(slices.Clone(resp.Header.Values(c.Terms.RequestID)))
	// No field has a line break.
	return strings.Join(ids, "\n")
}

// isError reports whether an endpoint that answers with a status has failed to serve a sound
// request. Without the mark of a refusal, it may have run it.
func isError(status int) bool {
	return status >= http.StatusInternalServerError || fault.StatesNotRun(status)
}

// failedByHead reports whether the attempt fails by the head of the answer, and
// records the failure: the endpoint refused the request without running it, the
// status calls for a retry, or the answer can't be passed on.
func (e *exchange) failedByHead(resp *http.Response) bool {
	e.result.Misdirected = resp.StatusCode == http.StatusMisdirectedRequest
	notRun := e.client.markedNotRun(resp.Header)
	if e.result.Misdirected || (notRun && resp.StatusCode >= http.StatusBadRequest) {
		e.result.Reason, e.result.Ran = retry.Refused, fault.RanNo
		e.result.Err = fmt.Errorf("endpoint refused with status %d", resp.StatusCode)
		return true
	}
	if notRun {
		// The mark and the status contradict each other, so neither is relied on.
		e.result.Reason, e.result.Ran = retry.Status, fault.RanUnknown
		e.result.Err = fmt.Errorf("endpoint marked an answer with status %d as not run", resp.StatusCode)
		return true
	}
	if e.attempt.RetryServerErrors && isError(resp.StatusCode) {
		e.result.Reason, e.result.Ran = retry.Status, fault.RanYes
		e.result.Err = fmt.Errorf("endpoint answered status %d", resp.StatusCode)
		return true
	}
	if err := e.checkAccepted(); err != nil {
		e.result.Reason, e.result.Ran = retry.Status, fault.RanYes
		e.result.Err = fmt.Errorf("check head of answer: %w", err)
		return true
	}
	return false
}

// checkAccepted returns an error if the answer can't be passed on by its head.
func (e *exchange) checkAccepted() error {
	if e.attempt.Accept == nil {
		return nil
	}
	return e.attempt.Accept(e.head)
}

// consumeAnswer reads the rest of an answer that is not passed on, so that the
// connection can be reused, and records an error answer for Result.ErrorAnswer.
func (e *exchange) consumeAnswer(resp *http.Response) time.Duration {
	if resp.ContentLength > readChunkBytes || resp.ContentLength < 0 {
		return 0
	}
	mayPass := e.result.Reason == retry.Status && isError(resp.StatusCode) && e.checkAccepted() == nil
	if !mayPass {
		e.conn.onTimeout = nil
		e.setReadDeadline(refusalTimeout)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	if mayPass {
		e.result.ErrorAnswer = &wire.Answer{Head: e.head, Body: body}
	}
	return keepAliveTimeout(resp)
}

// fail records an error of the exchange and its retry reason.
func (e *exchange) fail(err error) {
	e.result.Err = err
	e.result.Ran = fault.RanUnknown
	var netErr net.Error
	switch {
	case e.ctx.Err() != nil:
		e.result.CallerLeft = fault.CallerLeft(e.ctx)
		e.result.Reason = retry.Silent
	case errors.Is(err, head.ErrTooLong) || errors.Is(err, stream.ErrTooLong) || errors.Is(err, held.ErrFull):
		e.result.Reason = retry.Oversize
	case errors.As(err, &netErr) && netErr.Timeout():
		e.result.Reason = retry.Silent
	default:
		e.result.Reason = retry.Broken
	}
	if e.result.Reason == retry.Silent || e.result.Reused {
		// The other idle connections to the endpoint may be broken too.
		e.client.Pool.CloseIdle(e.attempt.Address)
	}
}

// callerLeft records that the caller disconnected; err is the error of the sink.
func (e *exchange) callerLeft(err error) {
	e.result.CallerLeft = true
	e.result.Ran = fault.RanYes
	e.result.Err = fmt.Errorf("pass answer on: %w", err)
}

// answerHead returns the status and the end-to-end header fields of an answer.
func answerHead(resp *http.Response) wire.Head {
	var fields []wire.Field
	for name, values := range resp.Header {
		switch name {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Proxy-Connection":
			continue
		}
		for _, v := range values {
			fields = append(fields, wire.Field{Name: name, Value: v})
		}
	}
	return wire.NewHead(resp.StatusCode, fields...)
}

// passWhole reads the whole body of an answer that is not a stream and passes it on.
// It returns the keep-alive timeout of the connection, 0 if it must be closed.
func (e *exchange) passWhole(resp *http.Response) time.Duration {
	hold := e.client.Pool.held.Open(e.attempt.Address, resp.ContentLength >= 0, func() { _ = e.conn.Close() })
	defer hold.Close()
	body, err := e.readAll(resp, hold)
	if hold.Dropped() {
		err = held.ErrFull
	}
	if err != nil {
		e.fail(fmt.Errorf("read body: %w", err))
		return 0
	}
	// The sink accounts for what it keeps.
	hold.Close()
	e.result.Started, e.result.Ran = true, fault.RanYes
	if err := e.sink.Head(e.head); err != nil {
		e.callerLeft(err)
		return keepAliveTimeout(resp)
	}
	if err := e.sink.Data(body); err != nil {
		e.callerLeft(err)
		return keepAliveTimeout(resp)
	}
	e.result.Whole = true
	return keepAliveTimeout(resp)
}

// readAll reads a body.
func (e *exchange) readAll(resp *http.Response, hold *held.Answer) ([]byte, error) {
	body := held.NewBody(resp.ContentLength)
	for {
		n, err := resp.Body.Read(body.Room())
		if n > 0 && e.result.TimeToFirstByte == 0 {
			e.result.TimeToFirstByte = e.client.Now().Sub(e.start)
			if e.attempt.IdleTimeout > 0 {
				e.setReadDeadline(e.attempt.IdleTimeout)
			}
		}
		body.Extend(n)
		if body.Len() > e.attempt.MaxAnswerBytes {
			return nil, fmt.Errorf("%w: exceeds %d bytes", head.ErrTooLong, e.attempt.MaxAnswerBytes)
		}
		if err := hold.Grow(n); err != nil {
			return nil, err
		}
		if errors.Is(err, io.EOF) {
			if err := e.confirmEnd(); err != nil {
				return nil, err
			}
			return body.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
		e.extendReadDeadline(transferTime(body.Len()))
	}
}

// passEvents passes complete events on as they arrive. It returns the keep-alive
// timeout of the connection, 0 if it must be closed.
func (e *exchange) passEvents(resp *http.Response) time.Duration {
	splitter := stream.NewSplitter()
	if e.attempt.LastEventID != stream.NoID {
		splitter.SkipTo(e.attempt.LastEventID)
	}
	e.result.Ran = fault.RanUnknown
	hold := e.client.Pool.held.Open(e.attempt.Address, false, func() { _ = e.conn.Close() })
	defer hold.Close()
	buf := make([]byte, 2<<10)
	total, partial, progress := 0, 0, 0
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			total += n
			if !e.passChunk(splitter, buf[:n]) {
				return 0
			}
			if growErr := hold.Grow(splitter.Buffered() - partial); growErr != nil {
				err = growErr
			}
			partial = splitter.Buffered()
			// The time to pass events on to the caller is not the endpoint's, so it is not counted.
			if splitter.Progress() > progress {
				progress = splitter.Progress()
				e.setReadDeadline(e.attempt.IdleTimeout)
			}
			e.extendReadDeadline(min(transferTime(partial), (maxEventWaits-1)*e.readTimeout))
		}
		if err != nil && hold.Dropped() {
			err = held.ErrFull
		}
		if err == nil && total > e.attempt.MaxAnswerBytes {
			err = fmt.Errorf("%w: exceeds %d bytes", head.ErrTooLong, e.attempt.MaxAnswerBytes)
		}
		if errors.Is(err, io.EOF) {
			if err := e.checkStreamEnd(splitter); err != nil {
				e.fail(err)
				return 0
			}
			return e.finishStream(resp)
		}
		if err != nil {
			e.fail(fmt.Errorf("read events: %w", err))
			return 0
		}
	}
}

// checkStreamEnd returns an error if a stream of these events can't end here.
func (e *exchange) checkStreamEnd(splitter *stream.Splitter) error {
	if splitter.Partial() {
		return fmt.Errorf("stream ended within an event: %w", io.ErrUnexpectedEOF)
	}
	if splitter.Short() {
		return fmt.Errorf("stream ended before event %d, which the caller has: %w", e.attempt.LastEventID, io.ErrUnexpectedEOF)
	}
	if e.result.Unframed && splitter.Progress() == 0 && e.attempt.Method != http.MethodHead {
		// The endpoint has closed the connection or ended before its first event.
		return fmt.Errorf("connection of a stream ended before an event: %w", io.ErrUnexpectedEOF)
	}
	return e.confirmEnd()
}

// confirmEnd returns an error unless the connection of an answer without a length ended by its
// endpoint. The kernel reports a reset once: the write of the request may get it, and the read an end. An
// endpoint that ended its answer may read the rest of the request still, or leave it: a write that only
// waits was not reset.
func (e *exchange) confirmEnd() error {
	if !e.result.Unframed || e.writeDone == nil {
		return nil
	}
	select {
	case <-e.writeDone:
	case <-e.ctx.Done():
	case <-time.After(restTimeout):
		return nil
	}
	if !e.requestWritten() {
		return fmt.Errorf("connection ended before the request was written: %w", io.ErrUnexpectedEOF)
	}
	return nil
}

// finishStream records that a stream ended after a complete event. It returns the
// keep-alive timeout of the connection, 0 if it must be closed.
func (e *exchange) finishStream(resp *http.Response) time.Duration {
	if !e.result.Started {
		if err := e.sink.Head(e.head); err != nil {
			e.callerLeft(err)
			return 0
		}
		e.result.Started = true
	}
	e.result.Whole, e.result.Ran, e.result.Err = true, fault.RanYes, nil
	return keepAliveTimeout(resp)
}

// passChunk passes on the events that p completes and reports whether the stream can
// go on.
func (e *exchange) passChunk(splitter *stream.Splitter, p []byte) bool {
	if e.result.TimeToFirstByte == 0 {
		e.result.TimeToFirstByte = e.client.Now().Sub(e.start)
	}
	events, splitErr := splitter.Add(p)
	if len(events) > 0 {
		if !e.result.Started {
			if err := e.sink.Head(e.head); err != nil {
				e.callerLeft(err)
				return false
			}
			e.result.Started = true
		}
		if err := e.sink.Data(events); err != nil {
			e.callerLeft(err)
			return false
		}
		e.result.LastEventID = splitter.LastID()
		e.result.EventWrites++
	}
	if splitErr != nil {
		e.fail(splitErr)
		return false
	}
	return true
}
