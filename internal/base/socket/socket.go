// Package socket opens listeners for the HTTP library's network layer.
package socket

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/netpoll"
)

// Listener is a TCP listener that closes each of its descriptors once. The
// library's own closes one of them twice, and by the second time its number may
// belong to another part of the process.
type Listener struct {
	netpoll.Listener
	tcp  net.Listener
	once sync.Once
	err  error
}

// Listen opens a listener; connections are taken from then on.
func Listen(address string) (*Listener, error) {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	inner, err := netpoll.ConvertListener(tcp)
	if err != nil {
		_ = tcp.Close()
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return &Listener{Listener: inner, tcp: tcp}, nil
}

// Close ends the listener. The library's copy of the descriptor stops listening
// here and is closed by its finalizer.
func (l *Listener) Close() error {
	l.once.Do(func() {
		l.err = errors.Join(syscall.Shutdown(l.Fd(), syscall.SHUT_RDWR), l.tcp.Close())
	})
	return l.err
}

// Shutdown ends a server, waiting at most a time for its requests. Connections that
// are still open then are kept-alive ones, which carry nothing until their idle time.
func Shutdown(s *server.Hertz, wait time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	if err := s.Shutdown(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("shut server down: %w", err)
	}
	return nil
}

const (
	// startTime bounds the wait for a server to run, startStep is between two looks.
	startTime = 2 * time.Second
	startStep = time.Millisecond
)

// Run runs a server beside the caller and returns once it runs, as one that does
// not run yet can't be shut down. failed is told of an error that ends it.
func Run(s *server.Hertz, failed func(error)) {
	go func() {
		if err := s.Run(); err != nil {
			failed(err)
		}
	}()
	for end := time.Now().Add(startTime); !s.IsRunning() && time.Now().Before(end); {
		time.Sleep(startStep)
	}
}
