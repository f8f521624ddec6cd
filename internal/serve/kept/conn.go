package kept

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	readBuffer = 4 << 10
	// mostIdle bounds the unused connections kept to one endpoint.
	mostIdle = 48
	// idleMargin is taken off the endpoint's own idle time, for the way there.
	idleMargin = 500 * time.Millisecond
	// idleLife is how long an unused connection is kept where the endpoint states
	// no time.
	idleLife = 4 * time.Second
	// userTimeout is how long sent bytes may stay unacknowledged: a connection
	// that a middlebox forgot fails then.
	userTimeout    = 1500 * time.Millisecond
	tcpUserTimeout = 0x12
)

// conn is a connection to an endpoint that carries one exchange at a time.
type conn struct {
	net.Conn
	address string
	read    *bufio.Reader
	raw     syscall.RawConn
	used    int
	// until is when an unused connection is no longer safe to use.
	until time.Time
}

// Pool keeps connections to endpoints.
type Pool struct {
	dial func(ctx context.Context, address string) (net.Conn, error)
	now  func() time.Time

	mu     sync.Mutex
	idle   map[string][]*conn
	closed bool
	opened uint64
}

// Option changes how a pool is made.
type Option func(*Pool)

// WithDial sets how connections are made.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(p *Pool) { p.dial = dial }
}

// WithNow sets the clock.
func WithNow(now func() time.Time) Option { return func(p *Pool) { p.now = now } }

// NewPool returns an empty pool.
func NewPool(opts ...Option) *Pool {
	d := &net.Dialer{KeepAlive: -1, Control: bound}
	p := &Pool{
		dial: func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) },
		now:  time.Now, idle: map[string][]*conn{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// bound sets the time for unacknowledged bytes on a new socket.
func bound(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("reach socket: %w", err)
	}
	if failed != nil {
		return fmt.Errorf("bound unacknowledged bytes: %w", failed)
	}
	return nil
}

// Opened counts the connections made.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// get returns an unused connection, or nil.
func (p *Pool) get(address string) *conn {
	for {
		c := p.pop(address)
		if c == nil {
			return nil
		}
		if p.now().Before(c.until) && c.quiet() {
			return c
		}
		_ = c.Close()
	}
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// quiet reports whether nothing has arrived on the unused connection: neither
// its end nor bytes that belong to no request.
func (c *conn) quiet() bool {
	if c.read.Buffered() > 0 {
		return false
	}
	if c.raw == nil {
		return true
	}
	quiet := false
	err := c.raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		quiet = err == syscall.EAGAIN
		return true
	})
	return err == nil && quiet
}

func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	nc, err := p.dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	c := &conn{Conn: nc, address: address, read: bufio.NewReaderSize(nc, readBuffer)}
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err := sc.SyscallConn(); err == nil {
			c.raw = raw
		}
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return c, nil
}

// put keeps a connection whose last answer was whole.
func (p *Pool) put(c *conn, keep time.Duration) {
	c.used++
	c.until = p.now().Add(keep)
	if c.read.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.address]) >= mostIdle {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// Forget closes the unused connections to an address.
func (p *Pool) Forget(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Sweep closes connections that were unused for too long.
func (p *Pool) Sweep(now time.Time) {
	var old []*conn
	p.mu.Lock()
	for address, list := range p.idle {
		fresh := list[:0]
		for _, c := range list {
			if now.Before(c.until) {
				fresh = append(fresh, c)
			} else {
				old = append(old, c)
			}
		}
		if len(fresh) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = fresh
		}
	}
	p.mu.Unlock()
	for _, c := range old {
		_ = c.Close()
	}
}

// Close closes the unused connections; those in use close after their exchange.
func (p *Pool) Close() {
	p.mu.Lock()
	p.closed = true
	all := p.idle
	p.idle = map[string][]*conn{}
	p.mu.Unlock()
	for _, list := range all {
		for _, c := range list {
			_ = c.Close()
		}
	}
}

// keepTime returns how long the connection of an answer may stay unused, zero
// if it may not be used again.
func keepTime(r *http.Response) time.Duration {
	if r.Close || (r.ContentLength < 0 && len(r.TransferEncoding) == 0) {
		return 0
	}
	for _, part := range strings.Split(r.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n >= 0 {
			return max(0, time.Duration(n)*time.Second-idleMargin)
		}
	}
	return idleLife
}
