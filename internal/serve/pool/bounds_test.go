package pool

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// countingConn counts the bytes that are read from a connection.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}

// floodClient returns a client whose connections count what they read.
func floodClient(read *atomic.Int64) *Client {
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		return countingConn{Conn: c, read: read}, err
	}
	return &Client{Pool: New(WithDial(dial)), Terms: testTerms, Now: time.Now}
}

// listenFlood starts an endpoint that sends the flood on each connection. The channel gets a
// value when the client has closed the connection.
func listenFlood(t *testing.T, f routed.Flood) (address string, closed <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	done := make(chan struct{}, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			f.Send(c, testTerms.RequestID)
		}
		done <- struct{}{}
	}()
	return l.Addr().String(), done
}

func TestEndlessHeadEndsTheAttempt(t *testing.T) {
	const maxRead, maxAllocated = 512 << 10, 4 << 20 // bytes
	for _, f := range routed.HeadFloods() {
		t.Run(string(f), func(t *testing.T) {
			var read atomic.Int64
			c := floodClient(&read)
			defer c.Pool.Close()
			address, closed := listenFlood(t, f)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			out, _ := do(c, address, func(a *Attempt) { a.MaxAnswerBytes, a.Deadline = 64<<20, time.Now().Add(3*time.Second) })
			runtime.ReadMemStats(&after)
			if out.Whole || out.Started || out.Ran != fault.RanUnknown || out.Reason != retry.Oversize {
				t.Errorf("got whole %v, started %v, ran %s, reason %q (error %v)", out.Whole, out.Started, out.Ran, out.Reason, out.Err)
			}
			if n := read.Load(); n > maxRead {
				t.Errorf("read %d bytes, want at most %d", n, maxRead)
			}
			if n := after.TotalAlloc - before.TotalAlloc; n > maxAllocated {
				t.Errorf("allocated %d bytes, want at most %d", n, maxAllocated)
			}
			t.Logf("read %d, allocated %d", read.Load(), after.TotalAlloc-before.TotalAlloc)
			select {
			case <-closed:
			case <-time.After(testTimeout):
				t.Error("connection is still open")
			}
		})
	}
}

func TestEndlessBodyEndsTheAttempt(t *testing.T) {
	const maxAnswer, maxRead, maxAllocated = 256 << 10, 2 << 20, 16 << 20 // bytes
	for _, f := range routed.BodyFloods() {
		t.Run(string(f), func(t *testing.T) {
			var read atomic.Int64
			c := floodClient(&read)
			defer c.Pool.Close()
			address, closed := listenFlood(t, f)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			out, _ := do(c, address, func(a *Attempt) { a.MaxAnswerBytes = maxAnswer })
			runtime.ReadMemStats(&after)
			if out.Whole || out.Ran != fault.RanUnknown || read.Load() > maxRead || after.TotalAlloc-before.TotalAlloc > maxAllocated {
				t.Errorf("got whole %v, ran %s, read %d bytes, allocated %d (error %v)",
					out.Whole, out.Ran, read.Load(), after.TotalAlloc-before.TotalAlloc, out.Err)
			}
			select {
			case <-closed:
			case <-time.After(testTimeout):
				t.Error("connection is still open")
			}
			if f != routed.FloodTrailer && f != routed.FloodChunk && out.Reason != retry.Oversize {
				t.Errorf("reason %q, want %q", out.Reason, retry.Oversize)
			}
		})
	}
}

// The endpoint would continue a run whose answer is not read.
func TestStreamIsNotReadOnAfterItsCallerLeft(t *testing.T) {
	s := listen(t, events("id: 0\ndata: x\n\n"))
	c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
	defer c.Pool.Close()
	ended := make(chan Result, 1)
	go func() {
		attempt := Attempt{
			Address: s.Addr().String(), Method: "POST", Target: "/", Host: "h", ID: "a", Deadline: time.Now().Add(2 * testTimeout),
			LastEventID: stream.NoID, MaxAnswerBytes: 1 << 20,
		}
		ended <- c.Do(context.Background(), attempt, client.Sink{
			Head: func(wire.Head) error { return nil },
			Data: func([]byte) error { return net.ErrClosed },
		})
	}()
	select {
	case out := <-ended:
		if !out.CallerLeft {
			t.Errorf("caller left false (error %v)", out.Err)
		}
	case <-time.After(testTimeout):
		t.Error("attempt goes on")
	}
}
