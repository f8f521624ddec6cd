package socket

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
)

// serve starts a server that answers each request with its body, with the given bounds.
func serve(t *testing.T, readTimeout, writeTimeout time.Duration, handler app.HandlerFunc) (address string) {
	t.Helper()
	l, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := server.New(server.WithListener(l), server.WithTransport(NewTransporter), server.WithReadTimeout(readTimeout),
		server.WithWriteTimeout(writeTimeout), server.WithIdleTimeout(time.Minute), server.WithMaxRequestBodySize(1<<20),
		server.WithDisablePrintRoute(true), server.WithExitWaitTime(10*time.Millisecond))
	s.NoRoute(handler)
	Run(s, func(err error) { t.Error(err) })
	t.Cleanup(func() { _ = Shutdown(s, 10*time.Millisecond) })
	return l.Addr().String()
}

// TestSlowRequestsEnd guards against a request that holds a connection for ever, as its head,
// body or trailer arrives byte by byte, and against requests that are cut below the bound.
func TestSlowRequestsEnd(t *testing.T) {
	const bound, slack = 500 * time.Millisecond, 500 * time.Millisecond
	address := serve(t, bound, time.Second, func(_ context.Context, c *app.RequestContext) {
		c.Data(http.StatusOK, "text/plain", c.Request.Body())
	})
	const head, chunked = "POST / HTTP/1.1\r\nHost: h\r\n", "Transfer-Encoding: chunked\r\n\r\n"
	fill := strings.Repeat
	tests := []struct {
		name  string
		parts []string
		gap   time.Duration
		whole bool
	}{
		{"head", append([]string{head + "X: "}, strings.Split(fill("d", 40), "")...), 100 * time.Millisecond, false},
		{"lines of the head", append([]string{head}, strings.SplitAfter(fill("X: y\r\n", 40), "\n")...), 100 * time.Millisecond, false},
		{"body with a length", append([]string{head + "Content-Length: 100\r\n\r\n"}, strings.Split(fill("d", 40), "")...), 100 * time.Millisecond, false},
		{"chunks", append([]string{head + chunked}, strings.SplitAfter(fill("1\r\nd\r\n|", 40), "|")...), 100 * time.Millisecond, false},
		{"chunk's size", append([]string{head + chunked}, strings.Split(fill("0", 40), "")...), 100 * time.Millisecond, false},
		{"trailer", append([]string{head + chunked + "0\r\n"}, strings.SplitAfter(fill("X: y\r\n", 40), "\n")...), 100 * time.Millisecond, false},
		{"below the bound", []string{head, "Content-", "Length: 4\r\n\r\nab", "cd"}, 80 * time.Millisecond, true},
		{"chunks below the bound", []string{head, chunked, "2\r\nab\r\n", "2\r\ncd\r\n0\r\n\r\n"}, 80 * time.Millisecond, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			// A request on a reused connection is bounded like its first one.
			for _, parts := range [][]string{{head + "Content-Length: 4\r\n\r\nabcd"}, tt.parts} {
				start := time.Now()
				go func() {
					for _, part := range parts {
						if _, err := c.Write([]byte(strings.TrimSuffix(part, "|"))); err != nil {
							return
						}
						time.Sleep(tt.gap)
					}
				}()
				_ = c.SetReadDeadline(start.Add(10 * bound))
				resp, err := http.ReadResponse(r, nil)
				took := time.Since(start)
				if !tt.whole && len(parts) > 1 {
					if err == nil && resp.StatusCode < http.StatusBadRequest || took > bound+slack {
						t.Errorf("got %v, error %v after %v, want the end after %v", resp, err, took, bound)
					}
					return
				}
				if err != nil {
					t.Fatalf("request was cut after %v: %v", took, err)
				}
				body, _ := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if string(body) != "abcd" {
					t.Errorf("status %d, body %q, want abcd", resp.StatusCode, body)
				}
				time.Sleep(2 * bound)
			}
		})
	}
}

// TestCallerThatDoesNotReadEnds guards against an answer that is held for ever by a caller that
// does not read it.
func TestCallerThatDoesNotReadEnds(t *testing.T) {
	const bound = 300 * time.Millisecond
	ended := make(chan struct{})
	address := serve(t, time.Second, bound, func(_ context.Context, c *app.RequestContext) {
		StartStream(c)
		data := bytes.Repeat([]byte("x"), 64<<10)
		for {
			if _, err := c.Write(data); err != nil {
				break
			}
			if err := c.Flush(); err != nil {
				break
			}
		}
		close(ended)
		BreakStream(c)
	})
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if _, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: h\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	select {
	case <-ended:
	case <-time.After(20 * bound):
		t.Error("the answer is still being written")
	}
}
