package pool

import (
	"bufio"
	"errors"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
)

// TestCutHeadIsTakenForAnAnswer: an answer whose endpoint closes the connection at any byte of the head
// passes nothing on and does not count as whole, also after an interim answer and on HTTP/1.0.
func TestCutHeadIsTakenForAnAnswer(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Type: text/event-stream\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nContent-Length: 15\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.0 200 OK\r\nX-Id: a\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: a\r\n\r\n",
		"HTTP/1.1 200 OK\nX-Id: a\nContent-Length: 2\n\n",
	} {
		for cut := 1; cut < len(head); cut++ {
			address := closeAfter(t, head[:cut])
			c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
			heads := 0
			out := c.Do(t.Context(), Attempt{
				Address: address, Method: "POST", Target: "/p", Host: "h", ID: "a",
				Deadline: time.Now().Add(testTimeout), MaxAnswerBytes: 1 << 20,
			}, client.Sink{
				Head: func(wire.Head) error { heads++; return nil },
				Data: func([]byte) error { return errors.New("data before the end of the head") },
			})
			c.Pool.Close()
			if heads > 0 || out.Whole || out.Started || out.Err == nil || out.Ran != fault.RanUnknown {
				t.Errorf("head %q, cut: %d heads, whole %v, started %v, ran %s, error %v", head[:cut], heads, out.Whole, out.Started, out.Ran, out.Err)
			}
		}
	}
}

// closeAfter returns the address of an endpoint that reads a request, sends a text and closes.
func closeAfter(t *testing.T, text string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = c.Write([]byte(text))
		}
		_ = c.Close()
	}()
	return l.Addr().String()
}
