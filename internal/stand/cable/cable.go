// Package cable is a stand-in for the network between hosts: it passes
// datagrams to one host on, late, or loses them.
package cable

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	maxDatagram = 65536
	queueLength = 4096
)

// Rules say what happens to datagrams between a peer, known by its IP number,
// and the host behind the cable.
type Rules struct {
	// Delay is the one-way time to or from a peer.
	Delay func(peer string) time.Duration
	// Lost reports whether a datagram is lost; began is when its flow began.
	Lost func(peer string, toHost bool, began time.Time) bool
}

// Cable is the network before one host.
type Cable struct {
	rules Rules
	front net.PacketConn
	host  *net.UDPAddr
	wait  sync.WaitGroup

	mu    sync.Mutex
	flows map[string]*flow
}

type flow struct {
	peer  string
	from  net.Addr
	began time.Time
	conn  *net.UDPConn
	in    chan packet
	out   chan packet
}

type packet struct {
	data []byte
	due  time.Time
}

// Start listens on an address and passes datagrams on to the host.
func Start(listen, host string, rules Rules) (*Cable, error) {
	front, err := net.ListenPacket("udp", listen)
	if err != nil {
		return nil, fmt.Errorf("cable: %w", err)
	}
	to, err := net.ResolveUDPAddr("udp", host)
	if err != nil {
		_ = front.Close()
		return nil, fmt.Errorf("cable: %w", err)
	}
	c := &Cable{rules: rules, front: front, host: to, flows: map[string]*flow{}}
	c.wait.Go(c.receive)
	return c, nil
}

// Close ends the cable and waits.
func (c *Cable) Close() error {
	err := c.front.Close()
	c.mu.Lock()
	for _, f := range c.flows {
		_ = f.conn.Close()
	}
	c.mu.Unlock()
	c.wait.Wait()
	if err != nil {
		return fmt.Errorf("close cable: %w", err)
	}
	return nil
}

func (c *Cable) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := c.front.ReadFrom(buf)
		if err != nil {
			c.end()
			return
		}
		f, err := c.flow(from)
		if err != nil {
			continue
		}
		c.pass(f.in, f, true, buf[:n])
	}
}

func (c *Cable) end() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, f := range c.flows {
		close(f.in)
	}
	c.flows = nil
}

func (c *Cable) flow(from net.Addr) (*flow, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f, ok := c.flows[from.String()]; ok {
		return f, nil
	}
	conn, err := net.DialUDP("udp", nil, c.host)
	if err != nil {
		return nil, fmt.Errorf("cable flow: %w", err)
	}
	peer, _, err := net.SplitHostPort(from.String())
	if err != nil {
		return nil, fmt.Errorf("cable flow: %w", err)
	}
	f := &flow{
		peer: peer, from: from, began: time.Now(), conn: conn,
		in: make(chan packet, queueLength), out: make(chan packet, queueLength),
	}
	c.flows[from.String()] = f
	c.wait.Go(func() {
		deliver(f.in, func(p []byte) { _, _ = conn.Write(p) })
		_ = conn.Close()
	})
	c.wait.Go(func() { deliver(f.out, func(p []byte) { _, _ = c.front.WriteTo(p, from) }) })
	c.wait.Go(func() { c.back(f) })
	return f, nil
}

func (c *Cable) back(f *flow) {
	defer close(f.out)
	buf := make([]byte, maxDatagram)
	for {
		n, err := f.conn.Read(buf)
		if err != nil {
			if isRefused(err) {
				// The host is not there now; it may come back.
				continue
			}
			return
		}
		c.pass(f.out, f, false, buf[:n])
	}
}

// isRefused reports whether the host's port was closed at one moment.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// pass queues a datagram; a full queue loses it, as a network does.
func (c *Cable) pass(to chan<- packet, f *flow, toHost bool, data []byte) {
	if c.rules.Lost(f.peer, toHost, f.began) {
		return
	}
	p := packet{data: append([]byte(nil), data...), due: time.Now().Add(c.rules.Delay(f.peer))}
	select {
	case to <- p:
	default:
	}
}

// deliver hands datagrams over when they are due, in order.
func deliver(from <-chan packet, write func([]byte)) {
	for p := range from {
		if wait := time.Until(p.due); wait > 0 {
			time.Sleep(wait)
		}
		write(p.data)
	}
}
