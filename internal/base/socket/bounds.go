package socket

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/netpoll"
)

// ErrTooLong is the error of a request whose trailer or chunk size exceeds the limit.
var ErrTooLong = errors.New("trailer or chunk size of the request is too long")

// ErrTooSlow is the error of a request that did not arrive within the read timeout.
var ErrTooSlow = errors.New("request took too long to arrive")

// Requests counts the requests of callers that are in progress, from their first byte until the
// last byte of their answers is written. The zero value is ready for use.
type Requests struct{ open atomic.Int64 }

// Open returns the number of requests in progress.
func (r *Requests) Open() int { return int(r.open.Load()) }

// transporter is the library's network layer with bounds on what its parser reads.
type transporter struct {
	network.Transporter
	limit       int
	readTimeout time.Duration
	backlog     *backlog
	requests    *Requests
}

// NewTransporter returns a network layer whose connections bound the trailer of a request
// and the line of a chunk's size by the limit of the header, what arrives while a request
// runs by the limits of header and body, and the time in which a request arrives by the read
// timeout, as the library does not.
func NewTransporter(o *config.Options) network.Transporter { return CountRequests(&Requests{})(o) }

// CountRequests is like NewTransporter, and counts the requests in progress.
func CountRequests(r *Requests) func(o *config.Options) network.Transporter {
	return func(o *config.Options) network.Transporter {
		return &transporter{
			Transporter: netpoll.NewTransporter(o), limit: o.MaxHeaderBytes, readTimeout: o.ReadTimeout,
			backlog: newBacklog(o.MaxHeaderBytes + o.MaxRequestBodySize), requests: r,
		}
	}
}

// ListenAndServe implements network.Transporter.
func (t *transporter) ListenAndServe(onData network.OnData) error {
	defer t.backlog.close()
	return t.Transporter.ListenAndServe(func(ctx context.Context, conn any) error {
		if c, ok := conn.(*netpoll.Conn); ok {
			t.backlog.enter(c)
			defer t.backlog.leave(c)
			bounded := &boundedConn{Conn: c, limit: t.limit, readTimeout: t.readTimeout, requests: t.requests}
			bounded.bound(t.readTimeout)
			defer bounded.setOpen(false)
			conn = bounded
		}
		return onData(ctx, conn)
	})
}

// boundedConn is a connection that ends a request whose parser looks at more and more bytes
// and takes none. The parser of trailers looks at all that have arrived again and again;
// that of bodies looks once at all of a length that is bounded already, and takes it. The
// library's read timeout bounds each wait for bytes; here it bounds all waits of a request
// together, so that one that arrives byte by byte ends too.
type boundedConn struct {
	*netpoll.Conn
	limit int
	// looks counts the calls of Peek beyond the limit since bytes were taken last.
	looks int
	// single counts the bytes that were taken one by one.
	single int
	// readBy is when the request must have arrived, zero if there is no bound.
	readBy      time.Time
	readTimeout time.Duration
	requests    *Requests
	// open reports whether a request is in progress.
	open bool
}

// bound begins the wait for a request's bytes, or for the first of them if the timeout is not
// the read timeout: the library sets that one once the first have arrived.
func (c *boundedConn) bound(timeout time.Duration) {
	c.setOpen(timeout == c.readTimeout)
	c.readBy = time.Time{}
	if timeout > 0 {
		c.readBy = time.Now().Add(timeout)
	}
}

func (c *boundedConn) setOpen(open bool) {
	switch {
	case open && !c.open:
		c.requests.open.Add(1)
	case !open && c.open:
		c.requests.open.Add(-1)
	}
	c.open = open
}

// SetReadTimeout implements network.Conn. The library sets it before it reads each request.
func (c *boundedConn) SetReadTimeout(timeout time.Duration) error {
	c.bound(timeout)
	return c.Conn.SetReadTimeout(timeout)
}

// awaitBytes sets the timeout of a read that waits for n bytes.
func (c *boundedConn) awaitBytes(n int) error {
	if c.readBy.IsZero() || c.Len() >= n {
		return nil
	}
	left := time.Until(c.readBy)
	if left <= 0 {
		return ErrTooSlow
	}
	return c.Conn.SetReadTimeout(left)
}

// Peek implements network.Reader.
func (c *boundedConn) Peek(n int) ([]byte, error) {
	if err := c.awaitBytes(n); err != nil {
		return nil, err
	}
	c.single = 0
	if n > c.limit {
		if c.looks++; c.looks > 1 {
			return nil, ErrTooLong
		}
	}
	return c.Conn.Peek(n)
}

// Skip implements network.Reader.
func (c *boundedConn) Skip(n int) error {
	c.looks, c.single = 0, 0
	return c.Conn.Skip(n)
}

// ReadByte implements network.Reader.
func (c *boundedConn) ReadByte() (byte, error) {
	c.looks = 0
	if c.single++; c.single > c.limit {
		return 0, ErrTooLong
	}
	if err := c.awaitBytes(1); err != nil {
		return 0, err
	}
	return c.Conn.ReadByte()
}
