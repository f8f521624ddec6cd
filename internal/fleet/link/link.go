// Package link carries messages between hosts: QUIC streams with mutual TLS,
// one a request, and sealed datagrams on the same socket.
package link

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/samber/oops"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/certs"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

const (
	protocol     = "hyssopspindle/1"
	dialTimeout  = 2 * time.Second
	idleTimeout  = 60 * time.Second
	maxStreams   = 8192
	packetBuffer = 2048
	socketBuffer = 4 << 20
	// senderLife is how long datagrams go out from one port.
	senderLife    = 5 * time.Second
	closeNormal   = 0
	streamRefused = 1
)

// Handlers are what a link does with what it receives.
type Handlers struct {
	// Stream serves one request of the named host; it owns the stream.
	Stream func(ctx context.Context, peer string, s *Stream)
	// Packet takes one datagram of a size in bytes.
	Packet func(p wire.Packet, size int)
	// Dropped counts a datagram that was refused.
	Dropped func(err error)
}

// Link is the end of a host's connections to other hosts.
type Link struct {
	set       *certs.Set
	sealer    *certs.Sealer
	transport *quic.Transport
	listener  *quic.Listener
	handlers  Handlers
	cancel    context.CancelFunc
	wait      sync.WaitGroup

	// alive is the period of keep-alives on connections, idle the time without any
	// packet after which one is dead.
	alive time.Duration
	idle  time.Duration

	mu    sync.Mutex
	conns map[string]*peerConn
	// out is the socket that datagrams go out from, since outSince.
	out      *net.UDPConn
	outSince time.Time
}

// Option changes how a link is made.
type Option func(*Link)

// WithKeepAlive keeps connections alive by a packet a period, so that a dead one
// is noticed after the idle time without a request on it.
func WithKeepAlive(period, idle time.Duration) Option {
	return func(l *Link) { l.alive, l.idle = period, idle }
}

// New opens the socket; Serve starts the receivers.
func New(address string, set *certs.Set, opts ...Option) (*Link, error) {
	sealer, err := certs.NewSealer(set.Fleet)
	if err != nil {
		return nil, fmt.Errorf("link: %w", err)
	}
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, oops.In("link").Wrapf(err, "resolve %s", address)
	}
	socket, err := net.ListenUDP("udp", udp)
	if err != nil {
		return nil, oops.In("link").Wrapf(err, "listen on %s", address)
	}
	// Best effort: the kernel may cap the buffers.
	_ = socket.SetReadBuffer(socketBuffer)
	_ = socket.SetWriteBuffer(socketBuffer)
	l := &Link{set: set, sealer: sealer, idle: idleTimeout, conns: map[string]*peerConn{}}
	for _, o := range opts {
		o(l)
	}
	l.transport = &quic.Transport{Conn: socket, StatelessResetKey: resetKey(set)}
	l.listener, err = l.transport.Listen(l.serverTLS(), l.quicConfig())
	if err != nil {
		_ = l.transport.Close()
		_ = socket.Close()
		return nil, oops.In("link").Wrapf(err, "listen for streams")
	}
	return l, nil
}

// resetKey lets a host that has restarted tell its peers at once that it does
// not know their old connections.
func resetKey(set *certs.Set) *quic.StatelessResetKey {
	mac := hmac.New(sha256.New, set.Fleet)
	mac.Write([]byte("stateless reset"))
	if !set.Open {
		for _, der := range set.Cert.Certificate {
			mac.Write(der)
		}
	}
	key := quic.StatelessResetKey(mac.Sum(nil))
	return &key
}

func (l *Link) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: dialTimeout,
		KeepAlivePeriod:      l.alive,
		MaxIdleTimeout:       l.idle,
		MaxIncomingStreams:   maxStreams,
	}
}

func (l *Link) serverTLS() *tls.Config {
	auth := tls.RequireAndVerifyClientCert
	if l.set.Open {
		auth = tls.RequireAnyClientCert
	}
	return &tls.Config{
		Certificates: []tls.Certificate{l.set.Cert},
		ClientCAs:    l.set.CA,
		ClientAuth:   auth,
		NextProtos:   []string{protocol},
		MinVersion:   tls.VersionTLS13,
	}
}

// clientTLS verifies that the certificate names the host that was meant.
func (l *Link) clientTLS(host string) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{l.set.Cert},
		RootCAs:      l.set.CA,
		ServerName:   host,
		NextProtos:   []string{protocol},
		MinVersion:   tls.VersionTLS13,
		// A fleet without keys has nothing to verify by.
		InsecureSkipVerify: l.set.Open,
	}
}

// Serve starts the receivers; Close ends them.
func (l *Link) Serve(h Handlers) {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.handlers = h
	l.wait.Go(func() { l.accept(ctx) })
	l.wait.Go(func() { l.receive(ctx) })
}

func (l *Link) accept(ctx context.Context) {
	for {
		conn, err := l.listener.Accept(ctx)
		if err != nil {
			return
		}
		l.wait.Go(func() { l.serveConn(ctx, conn) })
	}
}

func (l *Link) serveConn(ctx context.Context, conn *quic.Conn) {
	peer := certs.PeerName(conn.ConnectionState().TLS.PeerCertificates)
	// The transport's own Close would leave the peer without a word.
	defer func() { _ = conn.CloseWithError(closeNormal, "closing") }()
	for {
		s, err := conn.AcceptStream(ctx)
		if err != nil {
			return
		}
		l.wait.Go(func() {
			st := &Stream{s: s}
			l.handlers.Stream(s.Context(), peer, st)
			st.Close()
		})
	}
}

func (l *Link) receive(ctx context.Context) {
	buf := make([]byte, packetBuffer)
	for {
		n, _, err := l.transport.ReadNonQUICPacket(ctx, buf)
		if err != nil {
			return
		}
		p, err := l.open(buf[:n])
		if err != nil {
			l.handlers.Dropped(err)
			continue
		}
		l.handlers.Packet(p, n)
	}
}

func (l *Link) open(datagram []byte) (wire.Packet, error) {
	var p wire.Packet
	data, err := l.sealer.Open(datagram)
	if err != nil {
		return p, fmt.Errorf("open datagram: %w", err)
	}
	if err := wire.Decode(data, &p); err != nil {
		return p, fmt.Errorf("read datagram: %w", err)
	}
	return p, nil
}

// Send sends one datagram; nothing says whether it arrives. It returns the
// number of bytes sent.
func (l *Link) Send(address string, p wire.Packet) (int, error) {
	data, err := wire.Encode(p)
	if err != nil {
		return 0, fmt.Errorf("send datagram: %w", err)
	}
	sealed, err := l.sealer.Seal(data)
	if err != nil {
		return 0, fmt.Errorf("send datagram: %w", err)
	}
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return 0, fmt.Errorf("send datagram: %w", err)
	}
	socket, err := l.sender(time.Now())
	if err != nil {
		return 0, fmt.Errorf("send datagram: %w", err)
	}
	n, err := socket.WriteTo(sealed, to)
	if err != nil {
		return n, fmt.Errorf("send datagram: %w", err)
	}
	return n, nil
}

// sender returns the socket that datagrams go out from. It is changed every
// senderLife: something between the hosts that lost track of the old port does
// not know the new one. Answers come to the listed address.
func (l *Link) sender(now time.Time) (*net.UDPConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.out != nil && now.Sub(l.outSince) < senderLife {
		return l.out, nil
	}
	socket, err := net.ListenUDP("udp", l.ownIP())
	if err != nil {
		return nil, fmt.Errorf("open socket: %w", err)
	}
	if l.out != nil {
		_ = l.out.Close()
	}
	l.out, l.outSince = socket, now
	return socket, nil
}

// ownIP returns this host's own IP number with no port.
func (l *Link) ownIP() *net.UDPAddr {
	from := &net.UDPAddr{}
	if own, ok := l.transport.Conn.LocalAddr().(*net.UDPAddr); ok {
		from.IP = own.IP
	}
	return from
}

// Close ends the socket and waits for the receivers and stream handlers.
func (l *Link) Close() error {
	if l.cancel != nil {
		l.cancel()
	}
	l.mu.Lock()
	for _, p := range l.conns {
		_ = p.conn.CloseWithError(closeNormal, "closing")
	}
	l.mu.Unlock()
	_ = l.listener.Close()
	err := l.transport.Close()
	_ = l.transport.Conn.Close()
	l.mu.Lock()
	if l.out != nil {
		_ = l.out.Close()
	}
	l.mu.Unlock()
	l.wait.Wait()
	if err != nil {
		return fmt.Errorf("close link: %w", err)
	}
	return nil
}
