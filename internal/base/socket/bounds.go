package socket

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"runtime/debug"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"

	"github.com/hyssopspindle/hyssopspindle/internal/base/memory"
)

// ErrTooLong is the error of a request whose trailer or chunk size exceeds the limit.
var ErrTooLong = errors.New("trailer or chunk size of the request is too long")

// ErrTooSlow is the error of a request that did not arrive within the read timeout.
var ErrTooSlow = errors.New("request took too long to arrive")

// errRefused is the error of reads after a request that was refused before it had arrived.
var errRefused = errors.New("request was refused before it had arrived")

const (
	// readAhead is what the library reads of a body before the handler of the request runs.
	readAhead = 8 << 10
	// maxLooks bounds what the parser looks at without taking anything, as a multiple of the limit of a header.
	maxLooks = 64
	// lingerTime and lingerBytes bound what is read and dropped of a request that was refused before it had
	// arrived: if its connection is closed at once, the reset may overtake the refusal.
	lingerTime  = 500 * time.Millisecond
	lingerBytes = 16 << 20
	// acceptPause is the time between two attempts to accept a connection after an error.
	acceptPause = 10 * time.Millisecond
)

// Requests counts the requests of callers that are in progress, from their first byte until the
// last byte of their answers is written. The zero value is ready for use.
type Requests struct {
	open  atomic.Int64
	conns atomic.Pointer[Conns]
}

// Open returns the number of requests in progress, with those whose first bytes still wait in the kernel.
func (r *Requests) Open() int {
	n := int(r.open.Load())
	if t := r.conns.Load(); t != nil {
		n += t.waiting()
	}
	return n
}

// transporter is the library's network layer over the standard library's, which reads what arrives only
// as it is asked for, with bounds on what the parser reads.
type transporter struct {
	network.Transporter
	limit                     int
	readTimeout, writeTimeout time.Duration
	idleTimeout               time.Duration
	// sense reports whether the context of a request ends with its connection.
	sense    bool
	requests *Requests
	conns    *Conns
	account  *memory.Account
}

// NewTransporter returns a network layer whose connections bound the trailer of a request
// and the line of a chunk's size by the limit of the header, and the time in which a request arrives by
// the read timeout, as the library does not.
func NewTransporter(o *config.Options) network.Transporter {
	return Transport(&Requests{}, NewConns(0), nil)(o)
}

// Transport is like NewTransporter, counts the requests in progress, bounds the connections, and takes room in an
// account for headers beyond firstInput; nil means no limit.
func Transport(r *Requests, t *Conns, account *memory.Account) func(o *config.Options) network.Transporter {
	return func(o *config.Options) network.Transporter {
		r.conns.Store(t)
		inner := *o
		inner.SenseClientDisconnection = false
		inner.Listener = &boundedListener{Listener: o.Listener, conns: t}
		inner.OnAccept = func(nc net.Conn) context.Context { return context.WithValue(context.Background(), acceptedKey{}, nc) }
		return &transporter{
			Transporter: standard.NewTransporter(&inner), limit: max(o.MaxHeaderBytes, readAhead), readTimeout: o.ReadTimeout,
			writeTimeout: o.WriteTimeout, idleTimeout: o.IdleTimeout, sense: o.SenseClientDisconnection, requests: r, conns: t, account: account,
		}
	}
}

// acceptedKey is the key of the accepted connection in the context of a connection.
type acceptedKey struct{}

// boundedListener accepts connections within the limit of a table.
type boundedListener struct {
	net.Listener
	conns *Conns
}

// Accept implements net.Listener. The library ends a listener at the first error, so errors that pass, as for
// want of descriptors, are waited for.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil && passes(err) {
			time.Sleep(acceptPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		if c, ok := l.conns.add(time.Now(), nc); ok {
			return c, nil
		}
		_ = nc.Close()
	}
}

// passes reports whether a listener may accept connections again after an error.
func passes(err error) bool {
	for _, cause := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// ListenAndServe implements network.Transporter.
func (t *transporter) ListenAndServe(onData network.OnData) error {
	return t.Transporter.ListenAndServe(func(ctx context.Context, inner any) error {
		nc, _ := inner.(network.Conn)
		accepted, _ := ctx.Value(acceptedKey{}).(*conn)
		c := &boundedConn{
			Conn: nc, accepted: accepted, conns: t.conns, limit: t.limit, readTimeout: t.readTimeout, writeTimeout: t.writeTimeout, requests: t.requests,
			in: input{source: nc},
		}
		if t.account != nil && accepted != nil {
			c.in.reserve = func() *memory.Hold { return t.account.Open(accepted.client, func() { Abort(c) }) }
		}
		defer c.end()
		defer t.recover(nc)
		// A connection without a request is idle, as after one.
		c.bound(t.idleTimeout)
		if _, err := c.Peek(1); err != nil {
			return err
		}
		c.bound(t.readTimeout)
		ctx, cancel := context.WithCancel(ctx)
		defer cancel()
		if t.sense {
			c.ended = cancel
		}
		return onData(ctx, c)
	})
}

// recover ends a panic of the library, which reads requests outside of their handlers.
func (t *transporter) recover(c net.Conn) {
	if v := recover(); v != nil {
		t.conns.onPanic(c.RemoteAddr().String(), v, debug.Stack())
	}
}

// Shutdown implements network.Transporter. It closes the connections that are left.
func (t *transporter) Shutdown(ctx context.Context) error {
	err := t.Transporter.Shutdown(ctx)
	t.conns.closeAll()
	return err
}

// Close implements network.Transporter.
func (t *transporter) Close() error {
	err := t.Transporter.Close()
	t.conns.closeAll()
	return err
}

// boundedConn is a connection that ends a request whose parser looks at more and more bytes
// and takes none. The parser of trailers looks at all that have arrived again and again. The
// library's read timeout bounds each wait for bytes; here it bounds all waits of a request
// together, so that one that arrives byte by byte ends too.
type boundedConn struct {
	network.Conn
	accepted *conn
	conns    *Conns
	in       input
	header   header
	check    check
	limit    int
	// looks counts the waits of Peek beyond the limit since bytes were taken last, looked the bytes that all
	// its calls since then returned.
	looks, looked int
	// single counts the bytes that were taken one by one.
	single int
	// readBy is when the request must have arrived, zero if there is no bound.
	readBy                    time.Time
	readTimeout, writeTimeout time.Duration
	requests                  *Requests
	// open reports whether a request is in progress.
	open bool
	// whole reports whether the present request has arrived, refused whether one was refused before it had.
	whole, refused bool
	// ended is called when the client ends the connection while a request is served, nil if the server
	// does not ask for it. stopWatch ends the watch for that.
	ended     func()
	stopWatch func()
	// written is called when the answer to the present request has been written, or can't be; it may be nil.
	written func()
}

// OnWritten calls a function once the answer to a request has been written, or its connection has ended. The
// handler of a request may set one function, on a connection of this package.
func OnWritten(c *app.RequestContext, f func()) {
	if b, ok := c.GetConn().(*boundedConn); ok {
		b.written = f
	}
}

// endAnswer calls the function of OnWritten.
func (c *boundedConn) endAnswer() {
	if f := c.written; f != nil {
		c.written = nil
		f()
	}
}

// bound begins the wait for a request's bytes, or for the first of them if the timeout is not
// the read timeout: the library sets that one once the first have arrived.
func (c *boundedConn) bound(timeout time.Duration) {
	c.endAnswer()
	c.whole = false
	c.endCheck()
	c.header, c.looked = header{arriving: timeout == c.readTimeout}, 0
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
	if c.accepted != nil {
		s := idle
		if open {
			s = arriving
		}
		c.accepted.set(time.Now(), s)
	}
}

// end closes the connection.
func (c *boundedConn) end() {
	_ = c.Close()
	if c.accepted != nil {
		_ = c.accepted.Close()
	}
	c.in.close()
	c.endAnswer()
	c.setOpen(false)
}

// Close implements net.Conn. After a request that was refused before it had arrived, it first gives the client the
// time to read the refusal: a reset would overtake it. It is called by the handler of the connection only.
func (c *boundedConn) Close() error {
	if c.refused && c.accepted != nil {
		c.refused = false
		if tcp, ok := c.accepted.Conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
			_ = tcp.SetReadDeadline(time.Now().Add(lingerTime))
			_, _ = io.CopyN(io.Discard, tcp, lingerBytes)
		}
	}
	return c.Conn.Close()
}

// Abort closes a connection at once. It may be called while its handler runs.
func Abort(c network.Conn) {
	if accepted := connOf(c); accepted != nil {
		_ = accepted.Close()
		return
	}
	_ = c.Close()
}

// SetReadTimeout implements network.Conn. The library sets it before it reads each request.
func (c *boundedConn) SetReadTimeout(timeout time.Duration) error {
	c.bound(timeout)
	return c.Conn.SetReadTimeout(timeout)
}

// setReadDeadline bounds a read by the time that is left for the request.
func (c *boundedConn) setReadDeadline() error {
	if c.refused {
		return errRefused
	}
	if c.readBy.IsZero() {
		return nil
	}
	left := time.Until(c.readBy)
	if left <= 0 {
		return ErrTooSlow
	}
	return c.Conn.SetReadTimeout(left)
}

// await waits for n bytes, and for the rest of a header that arrives unless they have arrived before.
func (c *boundedConn) await(n int) error {
	for waited := false; c.in.len() < n || waited && c.header.arriving && !c.header.parseable(c.in.bytes(), c.limit); waited = true {
		if err := c.setReadDeadline(); err != nil {
			return err
		}
		if err := c.in.fill(n); err != nil {
			if errors.Is(err, memory.ErrFull) {
				Abort(c)
			}
			return err
		}
	}
	return nil
}

// Peek implements network.Reader. It fails only if it has to wait: the library panics if it does not get what is
// buffered.
func (c *boundedConn) Peek(n int) ([]byte, error) {
	c.single = 0
	if c.check.err != nil {
		return nil, c.check.err
	}
	if c.in.len() < n {
		if c.looked > maxLooks*c.limit {
			return nil, ErrTooLong
		}
		if n > c.limit {
			if c.looks++; c.looks > 1 {
				return nil, ErrTooLong
			}
		}
		if err := c.await(n); err != nil {
			return nil, err
		}
	}
	if err := c.checkInput(); err != nil {
		return nil, err
	}
	c.looked += n
	return c.in.bytes()[:n], nil
}

// Len implements network.Reader.
func (c *boundedConn) Len() int { return c.in.len() }

// Skip implements network.Reader.
func (c *boundedConn) Skip(n int) error {
	c.looks, c.looked, c.single = 0, 0, 0
	if err := c.in.skip(n); err != nil {
		return err
	}
	c.checkTaken(n)
	if c.header.arriving {
		c.header.arriving = false
		if c.in.accept() != nil {
			// It was dropped for another one. The library panics if the bytes that it has looked at can't be taken.
			Abort(c)
		}
	}
	return nil
}

// Release implements network.Reader.
func (c *boundedConn) Release() error {
	c.in.release()
	return nil
}

// ReadByte implements network.Reader.
func (c *boundedConn) ReadByte() (byte, error) {
	c.looks, c.looked = 0, 0
	if c.single++; c.single > c.limit {
		return 0, ErrTooLong
	}
	if err := c.await(1); err != nil {
		return 0, err
	}
	if err := c.checkInput(); err != nil {
		return 0, err
	}
	b := c.in.bytes()[0]
	c.checkTaken(1)
	return b, c.in.skip(1)
}

// ReadBinary implements network.Reader.
func (c *boundedConn) ReadBinary(n int) ([]byte, error) {
	b, err := c.Peek(n)
	if err != nil {
		return nil, err
	}
	return bytes.Clone(b), c.Skip(n)
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (int, error) {
	c.looks, c.looked, c.single = 0, 0, 0
	if c.in.len() > 0 {
		if err := c.checkInput(); err != nil {
			return 0, err
		}
		n := copy(p, c.in.bytes())
		c.checkTaken(n)
		return n, c.in.skip(n)
	}
	if err := c.setReadDeadline(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if bodyErr := c.checkRead(p[:n]); bodyErr != nil {
		return 0, bodyErr
	}
	return n, err
}

// Write implements net.Conn. The write timeout bounds each write.
func (c *boundedConn) Write(p []byte) (int, error) {
	if err := c.SetWriteTimeout(c.writeTimeout); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// Flush implements network.Writer.
func (c *boundedConn) Flush() error {
	if err := c.SetWriteTimeout(c.writeTimeout); err != nil {
		return err
	}
	return c.Conn.Flush()
}
