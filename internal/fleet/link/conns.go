package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"

	"github.com/quic-go/quic-go"
)

// peerConn is an outgoing connection. Each has a socket and so a port of its
// own: something between the hosts that lost track of the old one does not know
// the new one.
type peerConn struct {
	address string
	conn    *quic.Conn
	streams int
	dropped bool
}

// ErrNotSent marks a stream on which certainly nothing reached the peer's handler.
var ErrNotSent = errors.New("no connection to host")

// Open begins a stream to a host. Its error wraps ErrNotSent.
func (l *Link) Open(ctx context.Context, host, address string) (*Stream, error) {
	p, err := l.connect(ctx, host, address)
	if err != nil {
		return nil, fmt.Errorf("%w %s: %w", ErrNotSent, host, err)
	}
	s, err := p.conn.OpenStreamSync(ctx)
	if err != nil {
		l.Drop(host)
		l.release(p)
		return nil, fmt.Errorf("%w %s: %w", ErrNotSent, host, err)
	}
	return &Stream{s: s, release: sync.OnceFunc(func() { l.release(p) })}, nil
}

// Warm makes a connection to a host unless there is one, so that the next stream
// does not wait for a handshake.
func (l *Link) Warm(ctx context.Context, host, address string) error {
	p, err := l.connect(ctx, host, address)
	if err != nil {
		return fmt.Errorf("warm link to %s: %w", host, err)
	}
	l.release(p)
	return nil
}

// connect returns a connection on which the caller holds one stream.
func (l *Link) connect(ctx context.Context, host, address string) (*peerConn, error) {
	if p := l.usable(host, address); p != nil {
		return p, nil
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := l.dial(ctx, host, address)
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return l.keep(host, address, conn), nil
}

// dial opens a connection from a socket of its own, at this host's own IP number.
func (l *Link) dial(ctx context.Context, host, address string) (*quic.Conn, error) {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, fmt.Errorf("resolve: %w", err)
	}
	socket, err := net.ListenUDP("udp", l.ownIP())
	if err != nil {
		return nil, fmt.Errorf("open socket: %w", err)
	}
	conn, err := quic.Dial(ctx, socket, to, l.clientTLS(host), l.quicConfig())
	if err != nil {
		_ = socket.Close()
		return nil, fmt.Errorf("handshake: %w", err)
	}
	context.AfterFunc(conn.Context(), func() { _ = socket.Close() })
	return conn, nil
}

// usable returns a usable connection to host at address, or nil.
func (l *Link) usable(host, address string) *peerConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	p, ok := l.conns[host]
	if !ok || p.address != address || p.conn.Context().Err() != nil {
		return nil
	}
	p.streams++
	return p
}

// keep stores a new connection; where another dial was first, that one is used.
func (l *Link) keep(host, address string, conn *quic.Conn) *peerConn {
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

// Drop forgets the connection to a host, so that the next stream opens a new
// one. Streams on the old connection go on.
func (l *Link) Drop(host string) {
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
