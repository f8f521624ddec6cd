// Package kept sends one attempt of a request to an endpoint over connections
// that are kept between requests, and says for each failure whether the request
// may have run. It sends nothing twice by itself.
package kept

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/terms"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
)

const (
	// dialTime bounds the making of a connection within a region.
	dialTime  = 700 * time.Millisecond
	readChunk = 16 << 10
	// asideBytes is the size of a body from which it is written beside the
	// reading, as an endpoint may answer before it has read all of it.
	asideBytes = 8 << 10
	// foreignAnswers bounds the answers to other requests that are skipped.
	foreignAnswers = 4
	eventType      = "text/event-stream"
)

// Call is one attempt of a request at one endpoint.
type Call struct {
	Address string
	Method  string
	// Target is the request line's path and query, as the caller sent it.
	Target string
	Host   string
	Fields []wire.Field
	Body   []byte
	// ID is echoed by the endpoint.
	ID       string
	Deadline time.Time
	// HeadWait bounds the time to the answer's head; zero is the deadline.
	HeadWait time.Duration
	// Silence bounds the time between two parts of the answer; zero is the deadline.
	Silence time.Duration
	// After is the id of the last event that the caller has, stream.NoID for none.
	After     int
	MaxAnswer int
	// Fresh asks for a new connection.
	Fresh bool
	// Again says that an answer of 500 and above is not passed on.
	Again bool
	// Resumes says that the caller has the beginning of the stream, so that only a
	// stream can follow.
	Resumes bool
}

// Result is how an attempt ended.
type Result struct {
	// Whole says that the whole answer was passed on.
	Whole bool
	// Begun says that a part of it was.
	Begun  bool
	Status int
	Reason retry.Reason
	Ran    fault.Ran
	Err    error
	// CallerLeft says that the caller went away.
	CallerLeft bool
	// Misdirected says that another endpoint has the address.
	Misdirected bool
	// Load is what the endpoint said of its load; Slots is 0 if it said nothing.
	Load terms.Load
	// First is the time to the first byte of the body.
	First time.Duration
	// Last is the id of the last event passed on.
	Last int
	// Answer is the endpoint's own failure where that was not passed on, nil where
	// it is long or of unknown length.
	Answer *wire.Answer
	// Events counts the events passed on.
	Events int
	// Reused says that the attempt went over a kept connection.
	Reused bool
}

// Client sends attempts.
type Client struct {
	Pool  *Pool
	Terms *terms.Terms
	Now   func() time.Time
}

// exchange is one attempt under way.
type exchange struct {
	c     *Client
	call  Call
	sink  client.Sink
	conn  *conn
	start time.Time
	out   Result
	// wrote is closed when a body that is written aside was written.
	wrote   chan struct{}
	failed  atomic.Bool
	ctx     context.Context
	expires time.Time
}

// Do runs one attempt and passes the answer on as it arrives.
func (c *Client) Do(ctx context.Context, call Call, sink client.Sink) Result {
	e := &exchange{c: c, call: call, sink: sink, start: c.Now(), ctx: ctx, out: Result{Last: call.After}}
	if err := e.connect(); err != nil {
		e.out.Reason, e.out.Ran, e.out.Err = retry.Dial, fault.RanNo, err
		e.out.CallerLeft = errors.Is(ctx.Err(), context.Canceled)
		return e.out
	}
	// Closing the connection tells the endpoint that nobody waits for the answer.
	stop := context.AfterFunc(ctx, func() { _ = e.conn.Close() })
	keep := e.run()
	if stop() && keep > 0 && e.written() {
		c.Pool.put(e.conn, keep)
	} else {
		_ = e.conn.Close()
	}
	return e.out
}

func (e *exchange) connect() error {
	if !e.call.Fresh {
		if e.conn = e.c.Pool.get(e.call.Address); e.conn != nil {
			e.out.Reused = true
			return nil
		}
	}
	limit := min(dialTime, e.call.Deadline.Sub(e.start))
	ctx, cancel := context.WithTimeout(e.ctx, limit)
	defer cancel()
	var err error
	e.conn, err = e.c.Pool.open(ctx, e.call.Address)
	return err
}

// run sends the request and passes the answer on. It returns how long the
// connection may be kept, zero for not at all.
func (e *exchange) run() time.Duration {
	if err := e.conn.SetDeadline(e.call.Deadline); err != nil {
		e.fail(fmt.Errorf("set deadline: %w", err))
		return 0
	}
	if err := e.send(); err != nil {
		e.fail(fmt.Errorf("send request: %w", err))
		return 0
	}
	e.bound(e.call.HeadWait)
	resp, err := e.head()
	if err != nil {
		e.fail(fmt.Errorf("read answer: %w", err))
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	e.out.Status = resp.StatusCode
	if load, ok := e.c.Terms.ReadLoad(resp.Header.Get(e.c.Terms.Load)); ok {
		e.out.Load = load
	}
	if e.refused(resp) {
		return e.drain(resp)
	}
	if isStream(resp) {
		return e.events(resp)
	}
	return e.whole(resp)
}

func isStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), eventType) && resp.StatusCode == http.StatusOK
}

// send writes the request; a long body is written beside the reading.
func (e *exchange) send() error {
	var b bytes.Buffer
	b.Grow(1024 + len(e.call.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", e.call.Method, e.call.Target, e.call.Host)
	for _, f := range e.call.Fields {
		b.WriteString(f.Name)
		b.WriteString(": ")
		b.WriteString(f.Value)
		b.WriteString("\r\n")
	}
	if len(e.call.Body) > 0 || e.call.Method == http.MethodPost || e.call.Method == http.MethodPut {
		b.WriteString("Content-Length: " + strconv.Itoa(len(e.call.Body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(e.call.Body)
	if len(e.call.Body) < asideBytes {
		_, err := e.conn.Write(b.Bytes())
		return err
	}
	e.wrote = make(chan struct{})
	go func() {
		defer close(e.wrote)
		if _, err := e.conn.Write(b.Bytes()); err != nil {
			e.failed.Store(true)
			// The reader waits for an answer that will not come.
			_ = e.conn.Close()
		}
	}()
	return nil
}

// written reports whether the whole request was written.
func (e *exchange) written() bool {
	if e.wrote == nil {
		return true
	}
	select {
	case <-e.wrote:
		return !e.failed.Load()
	default:
		return false
	}
}

// bound sets the time of the next read.
func (e *exchange) bound(wait time.Duration) {
	until := e.call.Deadline
	if wait > 0 {
		if t := e.c.Now().Add(wait); t.Before(until) {
			until = t
		}
	}
	e.expires = until
	_ = e.conn.SetReadDeadline(until)
}

// head reads the answer's head. Whole answers to other requests are skipped.
func (e *exchange) head() (*http.Response, error) {
	req := &http.Request{Method: e.call.Method}
	for skipped := 0; ; {
		resp, err := http.ReadResponse(e.conn.read, req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 {
			continue
		}
		id := resp.Header.Get(e.c.Terms.RequestID)
		if id == e.call.ID || id == "" {
			return resp, nil
		}
		if skipped++; skipped > foreignAnswers || keepTime(resp) == 0 {
			return nil, fmt.Errorf("answer to request %q", id)
		}
		if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, int64(e.call.MaxAnswer))); err != nil {
			return nil, fmt.Errorf("skip answer to another request: %w", err)
		}
	}
}

// refused takes an answer by which the endpoint says that it ran nothing, or
// that a repeatable request is tried elsewhere for.
func (e *exchange) refused(resp *http.Response) bool {
	e.out.Misdirected = resp.StatusCode == http.StatusMisdirectedRequest
	if e.out.Misdirected || resp.Header.Get(e.c.Terms.NotRun) != "" {
		e.out.Reason, e.out.Ran = retry.Refused, fault.RanNo
		e.out.Err = fmt.Errorf("endpoint refused with status %d", resp.StatusCode)
		return true
	}
	again := e.call.Again && resp.StatusCode >= http.StatusInternalServerError
	if again || (e.call.Resumes && !isStream(resp)) {
		e.out.Reason, e.out.Ran = retry.Status, fault.RanYes
		e.out.Err = fmt.Errorf("endpoint answered status %d", resp.StatusCode)
		return true
	}
	return false
}

// drain reads the rest of an answer that is not passed on.
func (e *exchange) drain(resp *http.Response) time.Duration {
	if resp.ContentLength > readChunk || resp.ContentLength < 0 {
		return 0
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0
	}
	if e.out.Reason == retry.Status && resp.StatusCode >= http.StatusInternalServerError {
		e.out.Answer = &wire.Answer{Head: fields(resp), Body: body}
	}
	return keepTime(resp)
}

func (e *exchange) fail(err error) {
	e.out.Err = err
	e.out.Ran = fault.RanUnknown
	var timeout net.Error
	switch {
	case e.ctx.Err() != nil:
		e.out.CallerLeft = errors.Is(e.ctx.Err(), context.Canceled)
		e.out.Reason = retry.Silent
	case errors.As(err, &timeout) && timeout.Timeout():
		e.out.Reason = retry.Silent
	default:
		e.out.Reason = retry.Broken
	}
	if e.out.Reason == retry.Silent || e.out.Reused {
		// Other connections to the endpoint may be as dead.
		e.c.Pool.Forget(e.call.Address)
	}
}

func (e *exchange) left(err error) {
	e.out.CallerLeft = true
	e.out.Ran = fault.RanYes
	e.out.Err = fmt.Errorf("pass answer on: %w", err)
}

// fields returns the header fields of an answer that callers get.
func fields(resp *http.Response) wire.Head {
	h := wire.Head{Status: resp.StatusCode}
	for name, values := range resp.Header {
		switch name {
		case "Connection", "Keep-Alive", "Transfer-Encoding", "Content-Length", "Trailer", "Upgrade", "Proxy-Connection":
			continue
		}
		for _, v := range values {
			h.Fields = append(h.Fields, wire.Field{Name: name, Value: v})
		}
	}
	return h
}

// whole collects a body that is no stream and passes it on.
func (e *exchange) whole(resp *http.Response) time.Duration {
	body, err := e.readAll(resp)
	if err != nil {
		e.fail(fmt.Errorf("read body: %w", err))
		return 0
	}
	e.out.Begun, e.out.Ran = true, fault.RanYes
	if err := e.sink.Head(fields(resp)); err != nil {
		e.left(err)
		return keepTime(resp)
	}
	if err := e.sink.Data(body); err != nil {
		e.left(err)
		return keepTime(resp)
	}
	e.out.Whole = true
	return keepTime(resp)
}

func (e *exchange) readAll(resp *http.Response) ([]byte, error) {
	size := max(0, min(resp.ContentLength, readChunk))
	body := bytes.NewBuffer(make([]byte, 0, size+bytes.MinRead))
	buf := make([]byte, min(readChunk, max(size, 512)))
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 && e.out.First == 0 {
			e.out.First = e.c.Now().Sub(e.start)
		}
		body.Write(buf[:n])
		if body.Len() > e.call.MaxAnswer {
			return nil, fmt.Errorf("answer exceeds %d bytes", e.call.MaxAnswer)
		}
		if errors.Is(err, io.EOF) {
			return body.Bytes(), nil
		}
		if err != nil {
			return nil, err
		}
		e.bound(e.call.Silence)
	}
}

// events passes whole events on as they arrive.
func (e *exchange) events(resp *http.Response) time.Duration {
	split := stream.NewSplitter()
	if e.call.After != stream.NoID {
		split.Skip(e.call.After)
	}
	e.out.Ran = fault.RanUnknown
	buf := make([]byte, 2<<10)
	total := 0
	for {
		e.bound(e.call.Silence)
		n, err := resp.Body.Read(buf)
		if n > 0 {
			total += n
			if !e.pass(resp, split, buf[:n]) {
				return 0
			}
		}
		if err == nil && total > e.call.MaxAnswer {
			err = fmt.Errorf("answer exceeds %d bytes", e.call.MaxAnswer)
		}
		if errors.Is(err, io.EOF) {
			if split.Pending() {
				e.fail(fmt.Errorf("stream ended within an event: %w", io.ErrUnexpectedEOF))
				return 0
			}
			return e.ended(resp)
		}
		if err != nil {
			e.fail(fmt.Errorf("read events: %w", err))
			return 0
		}
	}
}

// ended takes the regular end of a stream.
func (e *exchange) ended(resp *http.Response) time.Duration {
	if !e.out.Begun {
		if err := e.sink.Head(fields(resp)); err != nil {
			e.left(err)
			return 0
		}
		e.out.Begun = true
	}
	e.out.Whole, e.out.Ran, e.out.Err = true, fault.RanYes, nil
	return keepTime(resp)
}

func (e *exchange) pass(resp *http.Response, split *stream.Splitter, p []byte) bool {
	if e.out.First == 0 {
		e.out.First = e.c.Now().Sub(e.start)
	}
	events, broken := split.Add(p)
	if len(events) > 0 {
		if !e.out.Begun {
			if err := e.sink.Head(fields(resp)); err != nil {
				e.left(err)
				return false
			}
			e.out.Begun = true
		}
		if err := e.sink.Data(events); err != nil {
			e.left(err)
			return false
		}
		e.out.Last = split.Last()
		e.out.Events++
	}
	if broken != nil {
		e.fail(broken)
		return false
	}
	return true
}
