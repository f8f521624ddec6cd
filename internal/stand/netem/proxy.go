// Package netem emulates the network between hosts: a UDP proxy in front of one host
// that delays or drops the datagrams to and from its peers.
package netem

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	maxDatagramBytes = 65536
	flowQueueLength  = 4096
)

// Rules set the delay and the loss of datagrams between a peer, given by its IP
// address, and the host behind the proxy.
type Rules struct {
	// Delay returns the one-way latency to or from a peer.
	Delay func(peer string) time.Duration
	// Drop reports whether to drop a datagram; started is the time of the first datagram
	// from the peer's address and port.
	Drop func(peer string, toHost bool, started time.Time) bool
}

// Proxy is the emulated network in front of one host.
type Proxy struct {
	rules    Rules
	listener net.PacketConn
	hostAddr *net.UDPAddr
	tasks    sync.WaitGroup

	mu    sync.Mutex
	flows map[string]*flow
}

// flow is the traffic between one peer address and the host. The proxy forwards the
// peer's datagrams to the host through conn, a socket of its own for each flow, so that
// replies can be matched to the peer.
type flow struct {
	peer    string
	from    net.Addr
	started time.Time
	conn    *net.UDPConn
	toHost  chan packet
	toPeer  chan packet
}

// packet is a datagram to deliver at the time due.
type packet struct {
	data []byte
	due  time.Time
}

// Start listens on an address and forwards datagrams between peers and the host.
func Start(listen, host string, rules Rules) (*Proxy, error) {
	front, err := net.ListenPacket("udp", listen)
	if err != nil {
		return nil, fmt.Errorf("network stand-in: %w", err)
	}
	to, err := net.ResolveUDPAddr("udp", host)
	if err != nil {
		_ = front.Close()
		return nil, fmt.Errorf("network stand-in: %w", err)
	}
	c := &Proxy{rules: rules, listener: front, hostAddr: to, flows: map[string]*flow{}}
	c.tasks.Go(c.receive)
	return c, nil
}

// Address returns the address that the proxy listens on.
func (c *Proxy) Address() string { return c.listener.LocalAddr().String() }

// Close stops the proxy and waits for its goroutines.
func (c *Proxy) Close() error {
	err := c.listener.Close()
	c.mu.Lock()
	for _, f := range c.flows {
		_ = f.conn.Close()
	}
	c.mu.Unlock()
	c.tasks.Wait()
	if err != nil {
		return fmt.Errorf("close network stand-in: %w", err)
	}
	return nil
}

// receive forwards the peers' datagrams to the host.
func (c *Proxy) receive() {
	buf := make([]byte, maxDatagramBytes)
	for {
		n, from, err := c.listener.ReadFrom(buf)
		if err != nil {
			c.closeFlows()
			return
		}
		f, err := c.flowFrom(from)
		if err != nil {
			continue
		}
		c.enqueue(f.toHost, f, true, buf[:n])
	}
}

func (c *Proxy) closeFlows() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.flows {
		close(f.toHost)
	}
	c.flows = nil
}

// flowFrom returns the flow of a peer address; the first datagram creates it.
func (c *Proxy) flowFrom(from net.Addr) (*flow, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f, ok := c.flows[from.String()]; ok {
		return f, nil
	}
	conn, err := net.DialUDP("udp", nil, c.hostAddr)
	if err != nil {
		return nil, fmt.Errorf("network stand-in: flow: %w", err)
	}
	peer, _, err := net.SplitHostPort(from.String())
	if err != nil {
		return nil, fmt.Errorf("network stand-in: flow: %w", err)
	}
	f := &flow{
		peer: peer, from: from, started: time.Now(), conn: conn,
		toHost: make(chan packet, flowQueueLength), toPeer: make(chan packet, flowQueueLength),
	}
	c.flows[from.String()] = f
	c.tasks.Go(func() {
		deliver(f.toHost, func(p []byte) { _, _ = conn.Write(p) })
		_ = conn.Close()
	})
	c.tasks.Go(func() { deliver(f.toPeer, func(p []byte) { _, _ = c.listener.WriteTo(p, from) }) })
	c.tasks.Go(func() { c.receiveReplies(f) })
	return f, nil
}

// receiveReplies forwards the host's datagrams to the peer of a flow.
func (c *Proxy) receiveReplies(f *flow) {
	defer close(f.toPeer)
	buf := make([]byte, maxDatagramBytes)
	for {
		n, err := f.conn.Read(buf)
		if err != nil {
			if isRefused(err) {
				// The host is not listening now, but may be again later.
				continue
			}
			return
		}
		c.enqueue(f.toPeer, f, false, buf[:n])
	}
}

// isRefused reports whether the host's port was closed when a datagram arrived.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// enqueue queues a datagram for delivery unless the rules drop it. A full queue drops
// it, as a router does.
func (c *Proxy) enqueue(queue chan<- packet, f *flow, toHost bool, data []byte) {
	if c.rules.Drop(f.peer, toHost, f.started) {
		return
	}
	p := packet{data: append([]byte(nil), data...), due: time.Now().Add(c.rules.Delay(f.peer))}
	select {
	case queue <- p:
	default:
	}
}

// deliver writes datagrams in order, each when it is due.
func deliver(queue <-chan packet, write func([]byte)) {
	for p := range queue {
		if wait := time.Until(p.due); wait > 0 {
			time.Sleep(wait)
		}
		write(p.data)
	}
}
