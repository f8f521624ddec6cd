package socket

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/network"
)

// connOf returns the accepted connection behind one of the library, nil if it is not of this package.
func connOf(c network.Conn) *conn {
	if b, ok := c.(*boundedConn); ok {
		return b.accepted
	}
	return nil
}

// Ended reports whether the peer has closed or reset a connection. It asks the kernel: a process that is
// short of processor time reads a request, and only later the end of its connection, long after both have
// arrived.
func Ended(c network.Conn) bool {
	accepted := connOf(c)
	if accepted == nil {
		return false
	}
	waiting, ended := accepted.peek()
	return ended || waiting && accepted.peerClosed()
}

// endedPeriod is the time between two looks at a connection on which a further request waits: the end
// behind it shows in the state of the connection only.
const endedPeriod = 100 * time.Millisecond

// Watch returns a context that ends when the peer closes the connection of a request, whose body has been
// read. The caller calls stop before the answer is complete.
func Watch(ctx context.Context, c *app.RequestContext) (watched context.Context, stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	accepted := connOf(c.GetConn())
	if accepted == nil || accepted.raw == nil {
		return ctx, cancel
	}
	end := accepted.watch(ctx, cancel)
	return ctx, func() {
		cancel()
		end()
	}
}

// watch calls ended once the peer ends the connection, from which nothing may be read until the caller
// has called stop.
func (c *conn) watch(ctx context.Context, ended func()) (stop func()) {
	_ = c.SetReadDeadline(time.Time{})
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if c.awaitEnd(ctx) {
			ended()
		}
	}()
	return func() {
		cancel()
		_ = c.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = c.SetReadDeadline(time.Time{})
	}
}

// DetectConnectionClose is called by the library before it calls the handler of a request whose body it has
// read.
func (c *boundedConn) DetectConnectionClose() {
	if c.ended != nil && c.accepted != nil && c.accepted.raw != nil {
		c.stopWatch = c.accepted.watch(context.Background(), c.ended)
	}
}

// AbortBlockingRead is called by the library after the answer to such a request.
func (c *boundedConn) AbortBlockingRead() {
	if c.stopWatch != nil {
		c.stopWatch()
		c.stopWatch = nil
	}
}

// awaitEnd waits until the peer has ended the connection, and returns false if the read deadline or ctx
// ends the wait.
func (c *conn) awaitEnd(ctx context.Context) bool {
	waiting, ended := false, false
	err := c.raw.Read(func(fd uintptr) bool {
		waiting, ended = peek(int(fd))
		return waiting || ended
	})
	if ended || err != nil {
		return ended
	}
	for ctx.Err() == nil {
		if c.peerClosed() {
			return true
		}
		select {
		case <-ctx.Done():
		case <-time.After(endedPeriod):
		}
	}
	return false
}
