package client

import (
	"context"
	"crypto/tls"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cloudwego/hertz/pkg/network"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/cloudwego/hertz/pkg/protocol"
	hclient "github.com/cloudwego/hertz/pkg/protocol/client"
	"github.com/cloudwego/hertz/pkg/protocol/http1"
)

// exchange is one HTTP exchange on a new connection.
type exchange struct {
	req              *protocol.Request
	resp             *protocol.Response
	client           *http1.HostClient
	dialer           *dialer
	watchdog         *watchdog
	stopContextWatch func() bool
}

// dialer holds the connection that it opened, so that another goroutine can close it.
type dialer struct {
	network.Dialer
	mu     sync.Mutex
	conn   network.Conn
	closed bool
	// connected reports whether a connection was established.
	connected atomic.Bool
}

// DialConnection implements network.Dialer.
func (d *dialer) DialConnection(n, address string, timeout time.Duration, conf *tls.Config) (network.Conn, error) {
	conn, err := d.Dialer.DialConnection(n, address, timeout, conf)
	if err != nil {
		return nil, fmt.Errorf("dial endpoint: %w", err)
	}
	d.connected.Store(true)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conn = conn
	if d.closed {
		_ = conn.Close()
	}
	return conn, nil
}

// close closes the connection, also one that is still being established.
func (d *dialer) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if d.conn != nil {
		_ = d.conn.Close()
	}
}

// watchdog calls a function after idleTimeout without progress.
type watchdog struct {
	timer       *time.Timer
	idleTimeout time.Duration
	fired       atomic.Bool
}

func newWatchdog(idleTimeout time.Duration, f func()) *watchdog {
	w := &watchdog{idleTimeout: idleTimeout}
	w.timer = time.AfterFunc(idleTimeout, func() {
		w.fired.Store(true)
		f()
	})
	return w
}

// restart begins a new idle timeout.
func (w *watchdog) restart() { w.timer.Reset(w.idleTimeout) }

func (w *watchdog) stop() { w.timer.Stop() }

// newExchange returns an exchange with the endpoint at address. Its connection is
// closed when ctx ends, at the deadline if no progress is made before, and after
// idleTimeout without progress.
func newExchange(ctx context.Context, address string, deadline time.Time, idleTimeout time.Duration) *exchange {
	e := &exchange{
		req: protocol.AcquireRequest(), resp: protocol.AcquireResponse(),
		dialer: &dialer{Dialer: standard.NewDialer()},
	}
	httpClient, _ := http1.NewHostClient(&http1.ClientOptions{
		Dialer: e.dialer, DialTimeout: dialTimeout, ResponseBodyStream: true,
		MaxConns: 1, MaxIdleConnDuration: connIdleTimeout, NoDefaultUserAgentHeader: true,
		DisablePathNormalizing: true,
		RetryIfFunc:            func(*protocol.Request, *protocol.Response, error) bool { return false },
	}).(*http1.HostClient)
	httpClient.SetDynamicConfig(&hclient.DynamicConfig{Addr: address})
	e.client = httpClient
	e.req.SetConnectionClose()
	e.watchdog = newWatchdog(min(idleTimeout, max(0, time.Until(deadline))), e.dialer.close)
	e.watchdog.idleTimeout = idleTimeout
	e.stopContextWatch = context.AfterFunc(ctx, e.dialer.close)
	return e
}

func (e *exchange) close() {
	e.watchdog.stop()
	e.stopContextWatch()
	e.dialer.close()
	_ = e.resp.CloseBodyStream()
	protocol.ReleaseRequest(e.req)
	protocol.ReleaseResponse(e.resp)
}
