package pool

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopspindle/hyssopspindle/internal/serve/head"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/held"
)

const (
	connReadBufferBytes = 4 << 10
	maxIdlePerEndpoint  = 48
	// keepAliveMargin is subtracted from the endpoint's keep-alive timeout, because
	// the next request takes time to arrive.
	keepAliveMargin = 500 * time.Millisecond
	// maxKeepAliveSeconds bounds the timeout that an endpoint states, which can overflow a duration.
	maxKeepAliveSeconds = 3600
	// defaultKeepAlive is the keep-alive timeout if the endpoint states none.
	defaultKeepAlive = 4 * time.Second
	// unackedTimeout is how long sent bytes may stay unacknowledged or unread while the
	// receive window is closed (TCP_USER_TIMEOUT). A connection whose state a middlebox has
	// dropped fails soon, one whose endpoint is silent for a second or so does not.
	unackedTimeout       = 3 * time.Second
	tcpUserTimeoutOption = 0x12
	// maxRequests bounds the requests that a connection carries, as it keeps their ids.
	maxRequests = 512
	// unnamedPeriod is how long connections to an endpoint whose answers lack ids are not reused.
	unnamedPeriod = 10 * time.Minute
	// arrivedTimeout is the time to read bytes that have already arrived.
	arrivedTimeout = time.Millisecond
	// arrivedPeriod bounds reading them, as an endpoint that sends a byte in every
	// arrivedTimeout would extend the wait for ever.
	arrivedPeriod = 250 * time.Millisecond
)

// conn is a pooled connection to an endpoint. It carries one exchange at a time.
type conn struct {
	net.Conn
	address string
	// opened is when the connection was open.
	opened  time.Time
	reader  *head.Reader
	rawConn syscall.RawConn
	// ids holds the hashes of the ids of its requests. Health checks have none.
	ids []uint64
	// reuseBefore is the time from which the idle connection is no longer reused.
	reuseBefore time.Time
	// onTimeout is called when a read times out. If it returns true, it has set a new
	// deadline and the read goes on. It may be nil.
	onTimeout func() bool
	// overdue is when a read first timed out since the deadline was last extended.
	overdue time.Time
	now     func() time.Time
}

// Read reads from the connection. A timeout that onTimeout extends is not seen by the
// readers above, which could not continue after an error.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if n > 0 || err == nil || c.onTimeout == nil || !isTimeout(err) {
			return n, err
		}
		now := c.now()
		if c.overdue.IsZero() {
			c.overdue = now
		}
		if now.Sub(c.overdue) < arrivedPeriod {
			// The kernel reports a reset once, and the connection as closed by the peer from then on.
			if n, err := c.readArrived(p); n > 0 || !isTimeout(err) {
				return n, err
			}
		}
		if !c.onTimeout() {
			return n, err
		}
	}
}

// readArrived reads bytes that have arrived although the read timed out: after a pause of
// the process, a passed deadline is reported first.
func (c *conn) readArrived(p []byte) (int, error) {
	if err := c.SetReadDeadline(c.now().Add(arrivedTimeout)); err != nil {
		return 0, err
	}
	return c.Conn.Read(p)
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// Pool holds idle connections to endpoints for reuse.
type Pool struct {
	dial func(ctx context.Context, address string) (net.Conn, error)
	now  func() time.Time
	held *held.Account

	mu   sync.Mutex
	idle map[string][]*conn
	// busy holds the connections with an attempt, by address.
	busy map[string]map[*conn]bool
	// unnamed holds the addresses of endpoints whose answers lack ids, and until when
	// connections to them are not reused: their answers can't be distinguished.
	unnamed map[string]time.Time
	closed  bool
	opened  uint64
	// limit bounds the idle connections and those of attempts, which byService counts by service.
	limit, attempts int
	byService       map[string]int
	onRefused       func(service string)
}

// Option configures a pool.
type Option func(*Pool)

// WithDial sets the function that opens a connection to an address.
func WithDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(p *Pool) { p.dial = dial }
}

// WithNow sets the pool's clock.
func WithNow(now func() time.Time) Option { return func(p *Pool) { p.now = now } }

// WithHeld sets the account of the whole answers that are read before they are passed on.
// Without it they are bounded one by one only.
func WithHeld(a *held.Account) Option { return func(p *Pool) { p.held = a } }

// New returns an empty pool.
func New(opts ...Option) *Pool {
	d := &net.Dialer{KeepAlive: -1, Control: setUserTimeout}
	p := &Pool{
		dial: func(ctx context.Context, address string) (net.Conn, error) { return d.DialContext(ctx, "tcp", address) },
		now:  time.Now, idle: map[string][]*conn{}, busy: map[string]map[*conn]bool{}, unnamed: map[string]time.Time{}, byService: map[string]int{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// setUserTimeout sets TCP_USER_TIMEOUT on a new socket.
func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeoutOption, int(unackedTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("access socket: %w", err)
	}
	if optErr != nil {
		return fmt.Errorf("set TCP_USER_TIMEOUT: %w", optErr)
	}
	return nil
}

// Opened returns the number of connections opened since the pool was created.
func (p *Pool) Opened() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// get removes a usable idle connection to the address from the pool and returns it. It
// returns nil if there is none. A connection that carried a request with the same id is left
// out, as a repeated answer to that one would be taken for the answer to this one. ended reports
// whether the endpoint ended a connection that could still have been reused.
func (p *Pool) get(address, id string) (c *conn, ended bool) {
	for {
		c = p.pop(address, xxhash.Sum64String(id))
		if c == nil {
			return nil, ended
		}
		if p.now().Before(c.reuseBefore) {
			if c.usable() {
				return c, ended
			}
			ended = true
		}
		_ = c.Close()
	}
}

// HasOpenedBefore reports whether there is an idle connection to the address that was opened before a
// time and can still be reused.
func (p *Pool) HasOpenedBefore(address string, at time.Time) bool {
	now := p.now()
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.idle[address], func(c *conn) bool {
		return c.opened.Before(at) && now.Before(c.reuseBefore) && c.usable()
	})
}

// pop removes and returns the connection that became idle last, of those that have not carried
// a request with an id of this hash.
func (p *Pool) pop(address string, id uint64) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.now().Before(p.unnamed[address]) {
		return nil
	}
	list := p.idle[address]
	for i, c := range slices.Backward(list) {
		if !slices.Contains(c.ids, id) {
			p.idle[address] = slices.Delete(list, i, i+1)
			return c
		}
	}
	return nil
}

// usable reports whether the idle connection is still open and has no unread bytes;
// such bytes would belong to no request.
func (c *conn) usable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	if c.rawConn == nil {
		return true
	}
	usable := false
	err := c.rawConn.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		usable = err == syscall.EAGAIN
		return true
	})
	return err == nil && usable
}

func (p *Pool) open(ctx context.Context, address string) (*conn, error) {
	nc, err := p.dial(ctx, address)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	c := &conn{Conn: nc, address: address, opened: p.now(), now: p.now}
	c.reader = head.NewReader(c, connReadBufferBytes)
	if sc, ok := nc.(syscall.Conn); ok {
		if rawConn, err := sc.SyscallConn(); err == nil {
			c.rawConn = rawConn
		}
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return c, nil
}

// maxDialDelay is how much later than dialTimeout a connection may be given up. A longer delay
// is a pause of this process and shows nothing of the endpoint.
const maxDialDelay = 200 * time.Millisecond

// unreachable reports whether a connection could not be opened because of the endpoint or the
// network, and not for lack of resources of this host.
func unreachable(err error) bool {
	if isTimeout(err) {
		return true
	}
	for _, cause := range []error{syscall.ECONNREFUSED, syscall.ECONNRESET, syscall.ECONNABORTED, syscall.EHOSTUNREACH, syscall.ENETUNREACH, syscall.ETIMEDOUT} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// Check opens a connection to an address and closes it. It reports whether the address can be
// reached, and false for known if the check shows nothing.
func (p *Pool) Check(ctx context.Context, address string) (reachable, known bool) {
	start := p.now()
	dialCtx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	err := p.Probe(dialCtx, address)
	if err == nil {
		return true, true
	}
	return false, ctx.Err() == nil && unreachable(err) && p.now().Sub(start) < dialTimeout+maxDialDelay
}

// Probe opens a connection to an address and closes it.
func (p *Pool) Probe(ctx context.Context, address string) error {
	c, err := p.open(ctx, address)
	if err != nil {
		return err
	}
	if err := c.Close(); err != nil {
		return fmt.Errorf("close connection to %s: %w", address, err)
	}
	return nil
}

// setUnnamed records that an answer of the endpoint at an address lacked the request's id.
func (p *Pool) setUnnamed(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.unnamed[address] = p.now().Add(unnamedPeriod)
}

// put returns a connection to the pool after a complete exchange of a request with an id, empty
// for a health check. It can be reused within keepAlive.
func (p *Pool) put(c *conn, id string, keepAlive time.Duration) {
	if id != "" {
		c.ids = append(c.ids, xxhash.Sum64String(id))
	}
	c.onTimeout, c.overdue = nil, time.Time{}
	c.reuseBefore = p.now().Add(keepAlive)
	if len(c.ids) >= maxRequests || c.reader.Buffered() > 0 || c.SetDeadline(time.Time{}) != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle[c.address]) >= maxIdlePerEndpoint {
		_ = c.Close()
		return
	}
	p.idle[c.address] = append(p.idle[c.address], c)
}

// enter records that an attempt uses a connection, leave that it no longer does.
func (p *Pool) enter(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.busy[c.address] == nil {
		p.busy[c.address] = map[*conn]bool{}
	}
	p.busy[c.address][c] = true
}

func (p *Pool) leave(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.busy[c.address], c)
	if len(p.busy[c.address]) == 0 {
		delete(p.busy, c.address)
	}
}

// Interrupt ends the current wait of the attempts at an address for their answers, which then
// decide whether to wait on or to be abandoned.
func (p *Pool) Interrupt(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.busy[address] {
		_ = c.SetReadDeadline(p.now())
	}
}

// CloseIdle closes the idle connections to an address.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Sweep closes the connections whose keep-alive timeout has passed.
func (p *Pool) Sweep(now time.Time) {
	var expired []*conn
	p.mu.Lock()
	maps.DeleteFunc(p.unnamed, func(_ string, until time.Time) bool { return !now.Before(until) })
	for address, list := range p.idle {
		unexpired := list[:0]
		for _, c := range list {
			if now.Before(c.reuseBefore) {
				unexpired = append(unexpired, c)
			} else {
				expired = append(expired, c)
			}
		}
		if len(unexpired) == 0 {
			delete(p.idle, address)
		} else {
			p.idle[address] = unexpired
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		_ = c.Close()
	}
}

// Close closes the idle connections. Connections in use are closed after their
// exchange.
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

// keepAliveTimeout returns how long the connection of an answer can stay idle
// before its reuse, 0 if it can't be reused.
func keepAliveTimeout(r *http.Response) time.Duration {
	if r.Close || (r.ContentLength < 0 && len(r.TransferEncoding) == 0) {
		return 0
	}
	for _, part := range strings.Split(r.Header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}
		if n, err := strconv.Atoi(strings.TrimSpace(value)); err == nil && n >= 0 {
			return max(0, time.Duration(min(n, maxKeepAliveSeconds))*time.Second-keepAliveMargin)
		}
	}
	return defaultKeepAlive
}
