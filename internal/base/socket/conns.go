package socket

import (
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/base/syntax"
)

// state is what a connection does.
type state int

const (
	// idle connections have no request, arriving ones have a part of one, serving ones a whole one whose
	// answer is not written yet.
	idle state = iota
	arriving
	serving
)

// Conns bounds the open connections of one or more listeners. Beyond the limit, a new connection takes the
// place of one that has no whole request: the one that has been in its state for longest, of the client
// address with the most connections. Its lock is a leaf.
type Conns struct {
	limit     int
	onRefused func(client string)
	onPanic   func(client string, v any, stack []byte)
	// single are the fields of a request that may be sent once at most.
	single      []string
	onMalformed func(client string, err *syntax.Error)
	refusal     func(err *syntax.Error) (mediaType string, body []byte)

	mu      sync.Mutex
	open    map[*conn]bool
	clients map[string]int
}

// noticePeriod is the least time between two calls of the function that Notice returns.
const noticePeriod = time.Minute

// Notice returns a function that calls f at most once in noticePeriod, for a log line.
func Notice(now func() time.Time, f func(client string)) func(client string) {
	var mu sync.Mutex
	var last time.Time
	return func(client string) {
		mu.Lock()
		defer mu.Unlock()
		if t := now(); last.IsZero() || t.Sub(last) >= noticePeriod {
			last = t
			f(client)
		}
	}
}

// ConnsOption configures a table of connections.
type ConnsOption func(*Conns)

// WithRefused sets the function that is called with the client address of each connection that is closed for
// the limit.
func WithRefused(f func(client string)) ConnsOption { return func(t *Conns) { t.onRefused = f } }

// WithPanic sets the function that is called after a panic outside of a handler of requests, which ends the
// connection of the client only.
func WithPanic(f func(client string, v any, stack []byte)) ConnsOption {
	return func(t *Conns) { t.onPanic = f }
}

// WithSingle sets the fields that a request may have once at most, besides those of which HTTP requires it.
func WithSingle(names ...string) ConnsOption { return func(t *Conns) { t.single = names } }

// WithMalformed sets the function that is called for each request that is refused by package syntax.
func WithMalformed(f func(client string, err *syntax.Error)) ConnsOption {
	return func(t *Conns) { t.onMalformed = f }
}

// WithRefusal sets the function that returns the body of the answer to a request whose head is malformed.
func WithRefusal(f func(err *syntax.Error) (mediaType string, body []byte)) ConnsOption {
	return func(t *Conns) { t.refusal = f }
}

// textRefusal returns the text of an error as the body of an answer.
func textRefusal(err *syntax.Error) (mediaType string, body []byte) {
	return "text/plain; charset=utf-8", []byte(err.Error() + "\n")
}

// LogPanic returns a function for WithPanic that logs the panic.
func LogPanic(log zerolog.Logger) func(client string, v any, stack []byte) {
	return func(client string, v any, stack []byte) {
		log.Error().Str("client", client).Any("panic", v).Bytes("stack", stack).Msg("connection of a client panicked")
	}
}

// NewConns returns a table of at most limit connections; 0 means no limit.
func NewConns(limit int, opts ...ConnsOption) *Conns {
	t := &Conns{
		limit: limit, onRefused: func(string) {}, onPanic: func(string, any, []byte) {}, onMalformed: func(string, *syntax.Error) {},
		refusal: textRefusal, open: map[*conn]bool{}, clients: map[string]int{},
	}
	for _, o := range opts {
		o(t)
	}
	return t
}

// conn is an accepted connection.
type conn struct {
	net.Conn
	conns  *Conns
	raw    syscall.RawConn
	client string
	// state and since, the time from which it holds, are guarded by the lock of conns.
	state state
	since time.Time
}

// add adds a connection that was accepted. It returns false if there is no room for it.
func (t *Conns) add(now time.Time, nc net.Conn) (*conn, bool) {
	c := &conn{Conn: nc, conns: t, client: nc.RemoteAddr().String(), since: now}
	if host, _, err := net.SplitHostPort(c.client); err == nil {
		c.client = host
	}
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	t.mu.Lock()
	var victim *conn
	full := t.limit > 0 && len(t.open) >= t.limit
	if full {
		if victim = t.victim(); victim != nil {
			t.remove(victim)
		}
	}
	fits := !full || victim != nil
	if fits {
		t.open[c] = true
		t.clients[c.client]++
	}
	t.mu.Unlock()
	if victim != nil {
		t.onRefused(victim.client)
		_ = victim.Conn.Close()
	}
	if !fits {
		t.onRefused(c.client)
	}
	return c, fits
}

// victim returns the connection that a new one replaces, nil if all have a whole request.
func (t *Conns) victim() *conn {
	var victim *conn
	for c := range t.open {
		if c.state == serving {
			continue
		}
		if victim == nil {
			victim = c
			continue
		}
		own, most := t.clients[c.client], t.clients[victim.client]
		if own > most || own == most && c.since.Before(victim.since) {
			victim = c
		}
	}
	return victim
}

func (t *Conns) remove(c *conn) {
	if !t.open[c] {
		return
	}
	delete(t.open, c)
	if t.clients[c.client]--; t.clients[c.client] == 0 {
		delete(t.clients, c.client)
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.conns.mu.Lock()
	c.conns.remove(c)
	c.conns.mu.Unlock()
	return c.Conn.Close()
}

// set records what a connection does. It returns false if the connection was closed: its request, which may
// have arrived before, must not be served then.
func (c *conn) set(now time.Time, s state) bool {
	c.conns.mu.Lock()
	defer c.conns.mu.Unlock()
	if c.state != s {
		c.state, c.since = s, now
	}
	return c.conns.open[c]
}

// waiting returns the number of connections without a request whose next one waits in the kernel.
func (t *Conns) waiting() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for c := range t.open {
		if c.state == idle {
			if waiting, _ := c.peek(); waiting {
				n++
			}
		}
	}
	return n
}

// closeAll closes all connections.
func (t *Conns) closeAll() {
	t.mu.Lock()
	all := make([]*conn, 0, len(t.open))
	for c := range t.open {
		all = append(all, c)
	}
	t.mu.Unlock()
	for _, c := range all {
		_ = c.Close()
	}
}

// peek asks the kernel whether bytes wait at the connection, and whether its peer has ended it.
func (c *conn) peek() (waiting, ended bool) {
	if c.raw == nil {
		return false, false
	}
	err := c.raw.Control(func(fd uintptr) { waiting, ended = peek(int(fd)) })
	return waiting, ended || err != nil
}

func peek(fd int) (waiting, ended bool) {
	var one [1]byte
	n, _, err := syscall.Recvfrom(fd, one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	switch err {
	case nil:
		return n > 0, n == 0
	case syscall.EAGAIN, syscall.EINTR:
		return false, false
	}
	return false, true
}
