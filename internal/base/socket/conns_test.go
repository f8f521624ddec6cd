package socket

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"

	"github.com/hyssopspindle/hyssopspindle/internal/base/memory"
)

// startReader starts a server that reads bodies of at most limit bytes within an account, on a number of
// connections. It sends each body, or the error of its read, and waits for next before it answers.
func startReader(t *testing.T, limit, conns int, account *memory.Account) (address string, read chan any, next chan bool) {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := server.New(server.WithListener(l), server.WithTransport(Transport(&Requests{}, NewConns(conns), account)), server.WithStreamBody(true),
		server.WithReadTimeout(bodyTimeout), server.WithIdleTimeout(bodyTimeout), server.WithWriteTimeout(bodyTimeout), server.WithMaxRequestBodySize(1<<20),
		server.WithMaxHeaderBytes(readAhead), server.WithDisablePrintRoute(true), server.WithExitWaitTime(10*time.Millisecond))
	read, next = make(chan any, 100), make(chan bool, 100)
	s.NoRoute(func(_ context.Context, c *app.RequestContext) {
		conn := c.GetConn()
		hold := account.Open(c.RemoteAddr().String(), func() { Abort(conn) })
		defer hold.Close()
		body, err := ReadBody(c, limit, hold)
		if err != nil {
			read <- err
			c.SetStatusCode(http.StatusRequestEntityTooLarge)
			return
		}
		c.SetStatusCode(http.StatusOK)
		read <- string(body)
		<-next
	})
	Run(s, func(err error) { t.Error(err) })
	t.Cleanup(func() { _ = Shutdown(s, 10*time.Millisecond) })
	return l.Addr().String(), read, next
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	nc, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = nc.Close() })
	_ = nc.SetDeadline(time.Now().Add(bodyTimeout))
	return nc
}

// readStatus reads an answer and returns its status and whether it announces the close of the connection.
func readStatus(t *testing.T, nc net.Conn) (status int, closes bool) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(nc), nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode, resp.Close
}

// TestBodyOverItsLimitIsRead: a body that exceeds its limit, by its length or its chunks, is refused, and the client
// reads the refusal though it has sent more; one of the limit's size is read whole.
func TestBodyOverItsLimitIsRead(t *testing.T) {
	const limit = 100_000
	const head = "POST / HTTP/1.1\r\nHost: h\r\n"
	fill := func(n int) string { return strings.Repeat("x", n) }
	for _, tt := range []struct {
		name, request string
		whole         bool
	}{
		{"length", head + "Content-Length: 100000\r\n\r\n" + fill(limit), true},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n186a0\r\n" + fill(limit) + "\r\n0\r\n\r\n", true},
		{"small chunks", head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", limit) + "0\r\n\r\n", true},
		{"no body", head + "Content-Length: 0\r\n\r\n", true},
		{"length over the limit", head + "Content-Length: 100001\r\n\r\n" + fill(limit+1), false},
		{"chunks over the limit", head + "Transfer-Encoding: chunked\r\n\r\n186a1\r\n" + fill(limit+1) + "\r\n0\r\n\r\n", false},
		{"length far over the limit", head + "Content-Length: 400000000\r\n\r\n" + fill(2*limit), false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			address, read, next := startReader(t, limit, 0, memory.NewAccount(1<<20))
			nc := dial(t, address)
			go func() { _, _ = io.WriteString(nc, tt.request) }()
			got := <-read
			next <- true
			if err, failed := got.(error); failed == tt.whole || failed && !errors.Is(err, ErrTooLarge) {
				t.Errorf("got %.40q, want the whole body: %v", got, tt.whole)
			}
			if _, closes := readStatus(t, nc); closes == tt.whole {
				t.Errorf("the answer announces the close of the connection: %v, want %v", closes, !tt.whole)
			}
		})
	}
}

// TestIdleConnectionsKeepOthersOut: beyond the limit of connections, a new one takes the place of one without a
// whole request, and never that of one whose request is served.
func TestIdleConnectionsKeepOthersOut(t *testing.T) {
	const conns = 4
	const request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody"
	address, read, next := startReader(t, 100, conns, memory.NewAccount(1<<20))
	served := dial(t, address)
	if _, err := io.WriteString(served, request); err != nil {
		t.Fatal(err)
	}
	if got := <-read; got != "body" {
		t.Fatalf("got %v, want the body", got)
	}
	for range 5 * conns {
		// Some send nothing, the others a part of a request.
		_, _ = io.WriteString(dial(t, address), "")
		_, _ = io.WriteString(dial(t, address), request[:len(request)-1])
	}
	late := dial(t, address)
	if _, err := io.WriteString(late, request); err != nil {
		t.Fatal(err)
	}
	if got := <-read; got != "body" {
		t.Fatalf("got %v, want the body", got)
	}
	next <- true
	next <- true
	for name, nc := range map[string]net.Conn{"first": served, "last": late} {
		if status, _ := readStatus(t, nc); status != http.StatusOK {
			t.Errorf("%s request: status %d, want 200", name, status)
		}
	}
}

// TestStalledBodyLosesItsRoom: a body that stops short of its end is dropped for one that arrives, and its
// connection is closed.
func TestStalledBodyLosesItsRoom(t *testing.T) {
	const size = 200_000
	reached := make(chan struct{})
	var once sync.Once
	account := memory.NewAccount(3*size, memory.WithLevel(func(bytes int) {
		if bytes >= size {
			once.Do(func() { close(reached) })
		}
	}))
	address, read, next := startReader(t, size, 0, account)
	head := "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200000\r\n\r\n"
	stalled := dial(t, address)
	if _, err := io.WriteString(stalled, head+strings.Repeat("x", size-1)); err != nil {
		t.Fatal(err)
	}
	<-reached
	sound := dial(t, address)
	if _, err := io.WriteString(sound, head+strings.Repeat("x", size)); err != nil {
		t.Fatal(err)
	}
	for range 2 {
		switch got := (<-read).(type) {
		case error:
			if !errors.Is(got, memory.ErrFull) {
				t.Errorf("the stalled body ended with %v", got)
			}
		case string:
			if len(got) != size {
				t.Errorf("got %d bytes, want %d", len(got), size)
			}
		}
	}
	next <- true
	if status, _ := readStatus(t, sound); status != http.StatusOK {
		t.Errorf("status %d, want an answer to the body that arrived", status)
	}
}

// fullListener fails to accept the first connections for want of descriptors.
type fullListener struct {
	net.Listener
	failures int
}

func (l *fullListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// TestListenerEndsForWantOfDescriptors: a listener that could not accept connections for a while accepts them
// later.
func TestListenerEndsForWantOfDescriptors(t *testing.T) {
	inner, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = inner.Close() }()
	l := &boundedListener{Listener: &fullListener{Listener: inner, failures: 3}, conns: NewConns(0)}
	dial(t, inner.Addr().String())
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	_ = nc.Close()
}

// TestBodyTakesBytesOfTheNextRequest: bodies of pipelined requests end where their lengths say, of whatever size they are.
func TestBodyTakesBytesOfTheNextRequest(t *testing.T) {
	const limit = 1 << 20
	for _, size := range []int{0, 1, readAhead - 1, readAhead, readAhead + 1, 20_000, 100_000, limit} {
		t.Run(strconv.Itoa(size), func(t *testing.T) {
			address, read, next := startReader(t, limit, 0, memory.NewAccount(8<<20))
			nc := dial(t, address)
			bodies := []string{strings.Repeat("x", size), "second", strings.Repeat("y", size)}
			go func() {
				var b strings.Builder
				for _, body := range bodies {
					fmt.Fprintf(&b, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				}
				_, _ = io.WriteString(nc, b.String())
			}()
			for i, want := range bodies {
				next <- true
				if got := <-read; got != want {
					t.Fatalf("body %d of %d bytes: got %.40q, want %.40q", i, len(want), got, want)
				}
			}
		})
	}
}

// TestRequestsByteByByteAreCut: pipelined requests, one with chunks and a trailer, are served however their bytes are spread.
func TestRequestsByteByByteAreCut(t *testing.T) {
	const requests = "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc" +
		"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n2\r\nde\r\n1\r\nf\r\n0\r\nX: y\r\n\r\n" +
		"POST /c HTTP/1.1\nHost: h\nContent-Length: 1\n\ng"
	address, read, next := startReader(t, 100, 0, memory.NewAccount(1<<20))
	nc := dial(t, address)
	go func() {
		for i := range len(requests) {
			_, _ = io.WriteString(nc, requests[i:i+1])
			time.Sleep(100 * time.Microsecond)
		}
	}()
	for _, want := range []string{"abc", "def", "g"} {
		next <- true
		if got := <-read; got != want {
			t.Fatalf("got %q, want %q", got, want)
		}
	}
}

// TestClosedConnectionIsServed: a request that had arrived when its connection was closed for another one is not served, as its
// client gets no answer.
func TestClosedConnectionIsServed(t *testing.T) {
	now, conns := time.Now(), NewConns(1)
	add := func() *conn {
		nc, peer := net.Pipe()
		t.Cleanup(func() { _ = errors.Join(nc.Close(), peer.Close()) })
		c, ok := conns.add(now, nc)
		if !ok {
			t.Fatal("no room for a connection beside one without a request")
		}
		return c
	}
	first := add()
	first.set(now, arriving)
	second := add()
	if first.set(now, serving) {
		t.Error("the closed connection is served")
	}
	if !second.set(now, serving) {
		t.Error("the new connection is not served")
	}
}

// TestTrailerByteByByteEndsHost: a trailer that arrives byte by byte ends its request with an error once its parser has looked
// at too much, where a panic would end the host.
func TestTrailerByteByByteEndsHost(t *testing.T) {
	for _, after := range []bool{false, true} {
		t.Run(fmt.Sprintf("after the answer %v", after), func(t *testing.T) {
			limit := 100
			if after {
				// The handler ends at the first chunk, and the library reads the rest.
				limit = 1
			}
			address, read, next := startReader(t, limit, 0, memory.NewAccount(1<<20))
			nc := dial(t, address)
			go func() {
				_, _ = io.WriteString(nc, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n0\r\n")
				for range 4 * maxLooks {
					for _, b := range []byte("X: yyyy\r\n") {
						if _, err := nc.Write([]byte{b}); err != nil {
							return
						}
						time.Sleep(10 * time.Microsecond)
					}
				}
			}()
			next <- true
			if err, _ := (<-read).(error); !errors.Is(err, ErrTooLong) && !errors.Is(err, ErrTooLarge) {
				t.Errorf("got error %v, want %v or %v", err, ErrTooLong, ErrTooLarge)
			}
			if status, closes := readStatus(t, nc); status != http.StatusRequestEntityTooLarge || !closes {
				t.Errorf("status %d, closes %v, want %d and a close", status, closes, http.StatusRequestEntityTooLarge)
			}
		})
	}
}

// TestPanicOfAConnectionEndsHost: a panic outside of handlers ends the connection of its client only.
func TestPanicOfAConnectionEndsHost(t *testing.T) {
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	panics := make(chan any, 1)
	conns := NewConns(0, WithPanic(func(_ string, v any, _ []byte) { panics <- v }))
	// A server without a recovering handler panics as its library does.
	s := server.New(server.WithListener(l), server.WithTransport(Transport(&Requests{}, conns, nil)), server.WithDisablePrintRoute(true),
		server.WithExitWaitTime(10*time.Millisecond))
	s.NoRoute(func(_ context.Context, c *app.RequestContext) {
		if string(c.Path()) == "/panic" {
			panic("broken")
		}
		c.SetStatusCode(http.StatusOK)
	})
	Run(s, func(err error) { t.Error(err) })
	t.Cleanup(func() { _ = Shutdown(s, 10*time.Millisecond) })
	other, broken := dial(t, l.Addr().String()), dial(t, l.Addr().String())
	if _, err := io.WriteString(broken, "GET /panic HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if v := <-panics; v != "broken" {
		t.Errorf("got panic %v", v)
	}
	if _, err := broken.Read(make([]byte, 1)); err == nil {
		t.Error("the connection is open after the panic")
	}
	if _, err := io.WriteString(other, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	if status, _ := readStatus(t, other); status != http.StatusOK {
		t.Errorf("status %d at another connection, want 200", status)
	}
}
