// Package link is the transport between hosts: QUIC streams with mutual TLS, one
// per request, and sealed datagrams, both received on one UDP socket.
package link

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"crypto/tls"
	"errors"
	"fmt"
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/samber/oops"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/certs"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

const (
	protocol          = "hyssopspindle/1"
	dialTimeout       = 2 * time.Second
	idleTimeout       = 60 * time.Second
	maxStreamsPerConn = 8192
	packetBufferBytes = 2048
	socketBufferBytes = 4 << 20
	// sendSocketMaxAge is how long datagrams are sent from the same local port.
	sendSocketMaxAge = 5 * time.Second
	// silenceCheckPeriod is the period of the checks whether connections received a packet.
	silenceCheckPeriod = time.Second
	// closeNormal and streamCancelled are QUIC application error codes.
	closeNormal     = 0
	streamCancelled = 1
)

// Handlers are called for what a link receives.
type Handlers struct {
	// Stream serves one request of a peer host. The link closes the stream when
	// it returns.
	Stream func(ctx context.Context, peer string, s *Stream)
	// Packet handles a datagram; size is its length as received, in bytes.
	Packet func(p wire.Packet, size int)
	// Rejected is called for each datagram that can't be opened or decoded.
	Rejected func(err error)
}

// Link holds a host's connections to peer hosts and its UDP sockets.
type Link struct {
	creds     *certs.Credentials
	sealer    *certs.Sealer
	transport *quic.Transport
	listener  *quic.Listener
	handlers  Handlers
	cancel    context.CancelFunc
	tasks     sync.WaitGroup
	// accepting is done once no further incoming connection is accepted.
	accepting sync.WaitGroup
	// served, if set, is called when an incoming connection accepts no further stream.
	served func()

	// keepAlive is the period of keep-alive packets on a connection, and maxSilentChecks
	// the number of checks without any packet after which it gets no new stream; 0 is off.
	keepAlive       time.Duration
	maxSilentChecks int
	// maxIdle is the time without any packet after which a connection is closed.
	maxIdle time.Duration

	mu    sync.Mutex
	conns map[string]*peerConn
	// open holds every connection that is not closed yet, incoming ones and dropped
	// ones included.
	open map[*quic.Conn]bool
	// sendSocket is the socket that datagrams are sent from, opened at
	// sendSocketSince.
	sendSocket      *net.UDPConn
	sendSocketSince time.Time
}

// Option configures a Link.
type Option func(*Link)

// WithKeepAlive sends a keep-alive packet on each connection every period. A connection
// without any packet for maxSilence gets no new stream. It is closed after maxIdle, as until
// then its peer may only be paused and resume the open streams.
func WithKeepAlive(period, maxSilence, maxIdle time.Duration) Option {
	return func(l *Link) {
		l.keepAlive, l.maxIdle = period, maxIdle
		l.maxSilentChecks = int(maxSilence / silenceCheckPeriod)
	}
}

// New returns a link that listens on a UDP address. Serve starts its receivers.
func New(address string, creds *certs.Credentials, opts ...Option) (*Link, error) {
	sealer, err := certs.NewSealer(creds.FleetKey)
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
	// Errors are ignored, as the kernel may cap the buffer sizes.
	_ = socket.SetReadBuffer(socketBufferBytes)
	_ = socket.SetWriteBuffer(socketBufferBytes)
	l := &Link{creds: creds, sealer: sealer, maxIdle: idleTimeout, conns: map[string]*peerConn{}, open: map[*quic.Conn]bool{}}
	for _, o := range opts {
		o(l)
	}
	l.transport = &quic.Transport{Conn: socket, StatelessResetKey: resetKey(creds)}
	l.listener, err = l.transport.Listen(l.serverTLS(), l.quicConfig())
	if err != nil {
		_ = l.transport.Close()
		_ = socket.Close()
		return nil, oops.In("link").Wrapf(err, "listen for QUIC connections")
	}
	return l, nil
}

// resetKey derives the QUIC stateless reset key from the host's credentials. The
// key stays the same over a restart, so that a restarted host resets the old
// connections of its peers at once.
func resetKey(creds *certs.Credentials) *quic.StatelessResetKey {
	mac := hmac.New(sha256.New, creds.FleetKey)
	mac.Write([]byte("stateless reset"))
	if !creds.Insecure {
		for _, der := range creds.Cert.Certificate {
			mac.Write(der)
		}
	}
	key := quic.StatelessResetKey(mac.Sum(nil))
	return &key
}

func (l *Link) quicConfig() *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout: dialTimeout,
		KeepAlivePeriod:      l.keepAlive,
		MaxIdleTimeout:       l.maxIdle,
		MaxIncomingStreams:   maxStreamsPerConn,
	}
}

func (l *Link) serverTLS() *tls.Config {
	auth := tls.RequireAndVerifyClientCert
	if l.creds.Insecure {
		auth = tls.RequireAnyClientCert
	}
	return &tls.Config{
		Certificates: []tls.Certificate{l.creds.Cert},
		ClientCAs:    l.creds.CA,
		ClientAuth:   auth,
		NextProtos:   []string{protocol},
		MinVersion:   tls.VersionTLS13,
	}
}

// clientTLS returns a TLS configuration that accepts only a server certificate
// for the given host, unless the fleet runs without keys.
func (l *Link) clientTLS(host string) *tls.Config {
	return &tls.Config{
		Certificates: []tls.Certificate{l.creds.Cert},
		RootCAs:      l.creds.CA,
		ServerName:   host,
		NextProtos:   []string{protocol},
		MinVersion:   tls.VersionTLS13,
		// A fleet without keys has no common authority to verify against.
		InsecureSkipVerify: l.creds.Insecure,
	}
}

// Serve starts receiving streams and datagrams in the background, until Close.
func (l *Link) Serve(h Handlers) {
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	l.handlers = h
	l.accepting.Go(func() { l.acceptConns(ctx) })
	l.tasks.Go(func() { l.receivePackets(ctx) })
	if l.maxSilentChecks > 0 {
		l.tasks.Go(func() { l.retireSilentConns(ctx) })
	}
}

func (l *Link) acceptConns(ctx context.Context) {
	for {
		// Close ends the loop through the listener, so that queued connections are accepted
		// and then closed like all others.
		conn, err := l.listener.Accept(context.Background())
		if err != nil {
			return
		}
		l.track(conn)
		l.tasks.Go(func() { l.serveConn(ctx, conn) })
	}
}

func (l *Link) serveConn(ctx context.Context, conn *quic.Conn) {
	peer := certs.PeerName(conn.ConnectionState().TLS.PeerCertificates)
	for {
		s, err := conn.AcceptStream(ctx)
		if err != nil {
			if l.served != nil {
				l.served()
			}
			return
		}
		l.tasks.Go(func() {
			st := &Stream{s: s}
			l.handlers.Stream(s.Context(), peer, st)
			st.Close()
		})
	}
}

func (l *Link) receivePackets(ctx context.Context) {
	buf := make([]byte, packetBufferBytes)
	for {
		n, _, err := l.transport.ReadNonQUICPacket(ctx, buf)
		if err != nil {
			return
		}
		p, err := l.decodePacket(buf[:n])
		if err != nil {
			l.handlers.Rejected(err)
			continue
		}
		l.handlers.Packet(p, n)
	}
}

func (l *Link) decodePacket(datagram []byte) (wire.Packet, error) {
	var p wire.Packet
	data, err := l.sealer.Open(datagram)
	if err != nil {
		return p, fmt.Errorf("open datagram: %w", err)
	}
	if err := wire.Decode(data, &p); err != nil {
		return p, fmt.Errorf("decode datagram: %w", err)
	}
	return p, nil
}

// Address returns the UDP address that the link listens on.
func (l *Link) Address() string { return l.transport.Conn.LocalAddr().String() }

// Send sends a datagram to one or more addresses, without acknowledgement or
// retransmission. It returns the size of the datagram and the number of addresses that it
// was sent to.
func (l *Link) Send(p wire.Packet, addresses ...string) (size, sent int, err error) {
	data, err := wire.Encode(p)
	if err != nil {
		return 0, 0, fmt.Errorf("send datagram: %w", err)
	}
	sealed, err := l.sealer.Seal(data)
	if err != nil {
		return 0, 0, fmt.Errorf("send datagram: %w", err)
	}
	socket, err := l.currentSendSocket(time.Now())
	if err != nil {
		return 0, 0, fmt.Errorf("send datagram: %w", err)
	}
	var errs error
	for _, address := range addresses {
		if err := sendTo(socket, sealed, address); err != nil {
			errs = errors.Join(errs, fmt.Errorf("send datagram to %s: %w", address, err))
			continue
		}
		sent++
	}
	return len(sealed), sent, errs
}

func sendTo(socket *net.UDPConn, datagram []byte, address string) error {
	to, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return fmt.Errorf("resolve: %w", err)
	}
	if _, err := socket.WriteTo(datagram, to); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	return nil
}

// currentSendSocket returns the socket to send datagrams from. It is replaced
// every sendSocketMaxAge, so that a middlebox whose flow state for the old port
// is broken treats the new port as a new flow. Peers answer to the host's listed
// address, not to this port.
func (l *Link) currentSendSocket(now time.Time) (*net.UDPConn, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sendSocket != nil && now.Sub(l.sendSocketSince) < sendSocketMaxAge {
		return l.sendSocket, nil
	}
	socket, err := net.ListenUDP("udp", l.localIP())
	if err != nil {
		return nil, fmt.Errorf("open socket: %w", err)
	}
	if l.sendSocket != nil {
		_ = l.sendSocket.Close()
	}
	l.sendSocket, l.sendSocketSince = socket, now
	return socket, nil
}

// localIP returns the IP address that the link listens on, without a port.
func (l *Link) localIP() *net.UDPAddr {
	local := &net.UDPAddr{}
	if a, ok := l.transport.Conn.LocalAddr().(*net.UDPAddr); ok {
		local.IP = a.IP
	}
	return local
}

// track adds a connection to the open ones until it is closed.
func (l *Link) track(conn *quic.Conn) {
	l.mu.Lock()
	l.open[conn] = true
	l.mu.Unlock()
	context.AfterFunc(conn.Context(), func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.open, conn)
	})
}

// closeConns closes all open connections. It returns once the peers have been notified,
// which needs the sockets.
func (l *Link) closeConns() {
	l.mu.Lock()
	conns := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	var closing sync.WaitGroup
	for _, conn := range conns {
		closing.Go(func() { _ = conn.CloseWithError(closeNormal, "closing") })
	}
	closing.Wait()
}

// Close closes the connections and sockets and waits for the receivers and
// stream handlers to return.
func (l *Link) Close() error {
	if l.cancel != nil {
		l.cancel()
	}
	_ = l.listener.Close()
	l.accepting.Wait()
	l.closeConns()
	err := l.transport.Close()
	_ = l.transport.Conn.Close()
	l.mu.Lock()
	if l.sendSocket != nil {
		_ = l.sendSocket.Close()
	}
	l.mu.Unlock()
	l.tasks.Wait()
	if err != nil {
		return fmt.Errorf("close link: %w", err)
	}
	return nil
}
