package client

import (
	"bufio"
	"context"
	"errors"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/head"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// testTimeout bounds each wait of the tests; none of them measures a time.
const testTimeout = 20 * time.Second

// countingConn counts the bytes that are written to a connection.
type countingConn struct {
	net.Conn
	sent *atomic.Int64
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	return n, err
}

// listenFlood starts an endpoint that sends the flood on one connection. The channel gets
// the number of bytes sent when the client has closed the connection.
func listenFlood(t *testing.T, f routed.Flood) (address string, sent <-chan int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	done := make(chan int64, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		var n atomic.Int64
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			f.Send(countingConn{Conn: c, sent: &n}, RequestIDField)
		}
		done <- n.Load()
	}()
	return l.Addr().String(), done
}

func TestEndlessAnswerEndsTheExchange(t *testing.T) {
	// maxSent includes the buffers of both sockets.
	const maxAnswer, maxSent, maxAllocated = 256 << 10, 32 << 20, 16 << 20 // bytes
	get := func(address string) error {
		_, _, err := Get(t.Context(), address, "/", maxAnswer, testTimeout)
		return err
	}
	attempt := func(address string) error {
		out := Do(context.Background(), Attempt{
			Address: address, Method: "GET", Path: "/", Deadline: time.Now().Add(testTimeout), IdleTimeout: testTimeout, MaxAnswerBytes: maxAnswer,
		}, Sink{Head: func(wire.Head) error { return nil }, Data: func([]byte) error { return nil }})
		if out.Whole || out.Ran != fault.RanUnknown || (out.Reason == retry.Oversize) != errors.Is(out.Err, head.ErrTooLong) {
			t.Errorf("got whole %v, reason %q, ran %s (error %v)", out.Whole, out.Reason, out.Ran, out.Err)
		}
		return out.Err
	}
	for _, f := range append(routed.HeadFloods(), routed.BodyFloods()...) {
		for name, exchange := range map[string]func(string) error{"document": get, "attempt": attempt} {
			t.Run(string(f)+" "+name, func(t *testing.T) {
				address, sent := listenFlood(t, f)
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				err := exchange(address)
				runtime.ReadMemStats(&after)
				// A long trailer or chunk extension is malformed for the HTTP client.
				if !errors.Is(err, head.ErrTooLong) && f != routed.FloodChunk && f != routed.FloodTrailer {
					t.Errorf("got error %v, want %v", err, head.ErrTooLong)
				}
				if n := after.TotalAlloc - before.TotalAlloc; n > maxAllocated {
					t.Errorf("allocated %d bytes, want at most %d", n, maxAllocated)
				}
				select {
				case n := <-sent:
					t.Logf("sent %d, allocated %d", n, after.TotalAlloc-before.TotalAlloc)
					if n > maxSent {
						t.Errorf("endpoint sent %d bytes, want at most %d", n, maxSent)
					}
				case <-time.After(testTimeout):
					t.Error("connection is still open")
				}
			})
		}
	}
}
