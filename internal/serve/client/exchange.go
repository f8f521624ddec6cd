package client

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/syntax"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/head"
)

// exchange is one HTTP exchange on a new connection.
type exchange struct {
	ctx      context.Context
	cancel   context.CancelFunc
	address  string
	watchdog *watchdog
	conn     net.Conn
	// resp is the answer, whose body has not been read yet.
	resp *http.Response
}

// watchdog calls a function after idleTimeout without progress.
type watchdog struct {
	timer       *time.Timer
	idleTimeout time.Duration
	// since is the time of the last progress.
	since time.Time
	fired atomic.Bool
}

func newWatchdog(idleTimeout time.Duration, f func()) *watchdog {
	w := &watchdog{idleTimeout: idleTimeout, since: time.Now()}
	w.timer = time.AfterFunc(idleTimeout, func() {
		w.fired.Store(true)
		f()
	})
	return w
}

// restart begins a new idle timeout.
func (w *watchdog) restart() {
	w.since = time.Now()
	w.timer.Reset(w.idleTimeout)
}

// extend adds extra to the idle timeout that began with the last progress.
func (w *watchdog) extend(extra time.Duration) {
	w.timer.Reset(time.Until(w.since.Add(w.idleTimeout + extra)))
}

// transferTime returns the time that n bytes may take.
func transferTime(n int) time.Duration { return time.Duration(n) * time.Second / minRate }

func (w *watchdog) stop() { w.timer.Stop() }

// newExchange returns an exchange with the endpoint at address. Its connection is
// closed when ctx ends, at the deadline if no progress is made before, and after
// idleTimeout without progress.
func newExchange(ctx context.Context, address string, deadline time.Time, idleTimeout time.Duration) *exchange {
	e := &exchange{address: address}
	e.ctx, e.cancel = context.WithCancel(ctx)
	e.watchdog = newWatchdog(min(idleTimeout, max(0, time.Until(deadline))), e.cancel)
	e.watchdog.idleTimeout = idleTimeout
	return e
}

// connected reports whether a connection was established.
func (e *exchange) connected() bool { return e.conn != nil }

// maxJoinedBody is the size of a body up to which it is sent in one piece with its head, in bytes.
const maxJoinedBody = 8 << 10

// do sends a request and reads the head of the answer.
func (e *exchange) do(method, path string, fields []wire.Field, body []byte) error {
	dialer := &net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(e.ctx, "tcp", e.address)
	if err != nil {
		return fmt.Errorf("dial endpoint: %w", err)
	}
	e.conn = conn
	context.AfterFunc(e.ctx, func() { _ = conn.Close() })
	request := requestHead(e.address, method, path, fields, len(body))
	if len(body) <= maxJoinedBody {
		request, body = append(request, body...), nil
	}
	for _, part := range [][]byte{request, body} {
		if len(part) == 0 {
			continue
		}
		if _, err := conn.Write(part); err != nil {
			return fmt.Errorf("write request: %w", err)
		}
	}
	if e.resp, err = head.NewReader(conn, readChunkBytes).ReadAnswer(method); err != nil { //nolint:bodyclose // Method close does.
		return fmt.Errorf("read head of answer: %w", err)
	}
	return nil
}

// requestHead returns the head of a request that ends its connection. The path is sent as it is.
func requestHead(address, method, path string, fields []wire.Field, bodyBytes int) []byte {
	host := address
	for _, f := range fields {
		if strings.EqualFold(f.Name, "Host") {
			host = f.Value
		}
	}
	b := fmt.Appendf(nil, "%s %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n", method, path, host)
	for _, f := range fields {
		if !syntax.FramesOrRoutes(f.Name) {
			b = fmt.Appendf(b, "%s: %s\r\n", f.Name, f.Value)
		}
	}
	if bodyBytes > 0 || method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch {
		b = fmt.Appendf(b, "Content-Length: %d\r\n", bodyBytes)
	}
	return append(b, "\r\n"...)
}

// close ends the exchange. The connection is closed before the body of the answer, which
// would else be read to its end.
func (e *exchange) close() {
	e.watchdog.stop()
	e.cancel()
	if e.conn != nil {
		_ = e.conn.Close()
	}
	if e.resp != nil {
		_ = e.resp.Body.Close()
	}
}
