package socket

import (
	"context"
	"errors"

	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/netpoll"
)

// ErrTooLong is the error of a request whose trailer or chunk size exceeds the limit.
var ErrTooLong = errors.New("trailer or chunk size of the request is too long")

// transporter is the library's network layer with bounds on what its parser reads.
type transporter struct {
	network.Transporter
	limit   int
	backlog *backlog
}

// NewTransporter returns a network layer whose connections bound the trailer of a request
// and the line of a chunk's size by the limit of the header, and what arrives while a request
// runs by the limits of header and body, as the library does not.
func NewTransporter(o *config.Options) network.Transporter {
	return &transporter{Transporter: netpoll.NewTransporter(o), limit: o.MaxHeaderBytes, backlog: newBacklog(o.MaxHeaderBytes + o.MaxRequestBodySize)}
}

// ListenAndServe implements network.Transporter.
func (t *transporter) ListenAndServe(onData network.OnData) error {
	defer t.backlog.close()
	return t.Transporter.ListenAndServe(func(ctx context.Context, conn any) error {
		if c, ok := conn.(*netpoll.Conn); ok {
			t.backlog.enter(c)
			defer t.backlog.leave(c)
			conn = &boundedConn{Conn: c, limit: t.limit}
		}
		return onData(ctx, conn)
	})
}

// boundedConn is a connection that ends a request whose parser looks at more and more bytes
// and takes none. The parser of trailers looks at all that have arrived again and again;
// that of bodies looks once at all of a length that is bounded already, and takes it.
type boundedConn struct {
	*netpoll.Conn
	limit int
	// looks counts the calls of Peek beyond the limit since bytes were taken last.
	looks int
	// single counts the bytes that were taken one by one.
	single int
}

// Peek implements network.Reader.
func (c *boundedConn) Peek(n int) ([]byte, error) {
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
	return c.Conn.ReadByte()
}
