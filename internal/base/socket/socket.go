// Package socket opens listeners for the HTTP library's network layer, and starts and
// stops its servers.
package socket

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
)

// receiveBytes is the receive buffer of a connection, which the kernel doubles: what has arrived and is not
// read yet counts towards the memory of the process.
const receiveBytes = 32 << 10

// Listener is a TCP listener whose connections have a small receive buffer.
type Listener struct {
	net.Listener
	once sync.Once
	err  error
}

// Listen opens a listener, which accepts connections once Listen has returned.
func Listen(address string) (*Listener, error) {
	config := net.ListenConfig{KeepAlive: -1, Control: setReceiveBuffer}
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return &Listener{Listener: inner}, nil
}

// setReceiveBuffer sets the receive buffer of a listener, which its connections inherit.
func setReceiveBuffer(_, _ string, raw syscall.RawConn) error {
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBytes)
	})
	if err = errors.Join(err, optErr); err != nil {
		return fmt.Errorf("set receive buffer: %w", err)
	}
	return nil
}

// Close closes the listener, once.
func (l *Listener) Close() error {
	l.once.Do(func() { l.err = l.Listener.Close() })
	return l.err
}

// Shutdown stops a server gracefully and waits at most the given time for its
// requests. Exceeding it is no error: the connections that are still open then are
// keep-alive connections, which carry no request and end at their idle timeout.
func Shutdown(s *server.Hertz, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shut server down: %w", err)
	}
	return nil
}

const (
	// startTimeout bounds the wait for a server to run, which is checked once every
	// startPollPeriod.
	startTimeout    = 2 * time.Second
	startPollPeriod = time.Millisecond
)

// Run starts a server in the background and waits until it runs, for at most
// startTimeout, because a server that does not run yet can't be shut down. failed is
// called with the error if the server stops with one.
func Run(s *server.Hertz, failed func(error)) {
	go func() {
		if err := s.Run(); err != nil {
			failed(err)
		}
	}()
	for end := time.Now().Add(startTimeout); !s.IsRunning() && time.Now().Before(end); {
		time.Sleep(startPollPeriod)
	}
}

// AddrPort returns an address IP:port, the same however the IP address is written; it is not
// valid if there is none.
func AddrPort(address string) netip.AddrPort {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return netip.AddrPort{}
	}
	return netip.AddrPortFrom(a.Addr().Unmap(), a.Port())
}
