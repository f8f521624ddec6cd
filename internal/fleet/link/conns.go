package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
)

// peerConn is an outgoing connection to a peer host. Each connection has its own
// socket and port, so that a middlebox whose flow state for an old connection is
// broken treats a new one as a new flow.
type peerConn struct {
	address string
	conn    *quic.Conn
	// streams is the number of open streams. A dropped connection is closed once
	// it has none.
	streams int
	dropped bool
	silence silence
}

// silence counts the checks since a connection last received a packet. It counts checks
// instead of time, so that a pause of this process is not taken for one of the peer.
type silence struct {
	received uint64
	checks   int
}

// observe records the number of packets received until a check and returns the number of
// checks since it last grew.
func (s *silence) observe(received uint64) int {
	s.checks++
	if received != s.received {
		s.received, s.checks = received, 0
	}
	return s.checks
}

// retireSilentConns drops connections that receive nothing, until ctx ends.
func (l *Link) retireSilentConns(ctx context.Context) {
	tick := time.NewTicker(silenceCheckPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		for _, host := range l.silentHosts() {
			l.DropConn(host)
		}
	}
}

// silentHosts checks all connections and returns the hosts whose connection has received
// nothing for too long.
func (l *Link) silentHosts() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for host, p := range l.conns {
		if p.silence.observe(p.conn.ConnectionStats().PacketsReceived) >= l.maxSilentChecks {
			out = append(out, host)
		}
	}
	return out
}

// ErrNotSent is wrapped by errors after which nothing can have reached the
// peer's handler.
var ErrNotSent = errors.New("no connection to host")

// OpenStream opens a stream to a host, connecting if necessary. Its errors wrap
// ErrNotSent.
func (l *Link) OpenStream(ctx context.Context, host, address string) (*Stream, error) {
	p, err := l.connect(ctx, host, address)
	if err != nil {
		return nil, fmt.Errorf("%w %s: %w", ErrNotSent, host, err)
	}
	s, err := p.conn.OpenStreamSync(ctx)
	if err != nil {
		if ctx.Err() == nil {
			l.DropConn(host)
		}
		l.release(p)
		return nil, fmt.Errorf("%w %s: %w", ErrNotSent, host, err)
	}
	return &Stream{s: s, release: sync.OnceFunc(func() { l.release(p) })}, nil
}

// Preconnect connects to a host unless there is a connection already, so that the next
// stream does not wait for a handshake.
func (l *Link) Preconnect(ctx context.Context, host, address string) error {
	p, err := l.connect(ctx, host, address)
	if err != nil {
		return fmt.Errorf("connect to %s: %w", host, err)
	}
	l.release(p)
	return nil
}

// Connected reports whether there is an open connection to a host.
func (l *Link) Connected(host string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.conns[host]
	return ok && p.conn.Context().Err() == nil
}

// connect returns a connection to a host, an existing one if possible, and counts
// one stream on it. The caller must release it.
func (l *Link) connect(ctx context.Context, host, address string) (*peerConn, error) {
	if p := l.reuseConn(host, address); p != nil {
		return p, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := l.dial(ctx, host, address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return l.storeConn(host, address, conn), nil
}

// dial opens a connection from a new socket on the link's local IP address.
func (l *Link) dial(ctx context.Context, host, address string) (*quic.Conn, error) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolve address: %w", err)
	}
	socket, err := net.ListenUDP("udp", l.localIP())
	if err != nil {
		return nil, fmt.Errorf("open socket: %w", err)
	}
	conn, err := quic.Dial(ctx, socket, to, l.clientTLS(host), l.quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("handshake: %w", err)
	}
	context.AfterFunc(conn.Context(), func() { _ = socket.Close() })
	l.track(conn)
	return conn, nil
}

// reuseConn returns the open connection to a host at an address, with one more
// stream counted on it, or nil if there is none.
func (l *Link) reuseConn(host, address string) *peerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.conns[host]
	if !ok || p.address != address || p.conn.Context().Err() != nil {
		return nil
	}
	p.streams++
	return p
}

// storeConn stores a new connection and counts one stream on it. If a concurrent
// dial has stored a connection first, it closes the new one and returns that.
func (l *Link) storeConn(host, address string, conn *quic.Conn) *peerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.conns[host]
	if ok && p.address == address && p.conn.Context().Err() == nil {
		_ = conn.CloseWithError(closeNormal, "")
		p.streams++
		return p
	}
	if ok {
		p.dropped = true
		p.closeUnused()
	}
	p = &peerConn{address: address, conn: conn, streams: 1}
	l.conns[host] = p
	return p
}

// release removes one stream from a connection.
func (l *Link) release(p *peerConn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p.streams--
	p.closeUnused()
}

// closeUnused closes a dropped connection once its last stream has ended.
func (p *peerConn) closeUnused() {
	if p.dropped && p.streams == 0 {
		_ = p.conn.CloseWithError(closeNormal, "")
	}
}

// DropConn removes the connection to a host, so that the next stream opens a new
// one. Streams on the old connection continue.
func (l *Link) DropConn(host string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.conns[host]
	if !ok {
		return
	}
	delete(l.conns, host)
	p.dropped = true
	p.closeUnused()
}
