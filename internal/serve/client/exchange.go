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

// exchange is one HTTP exchange on a connection of its own.
type exchange struct {
	req    *protocol.Request
	resp   *protocol.Response
	host   *http1.HostClient
	dialer *dialer
	watch  *watchdog
	stop   func() bool
}

// dialer remembers its connection so that it can be closed from outside.
type dialer struct {
	network.Dialer
	mu     sync.Mutex
	conn   network.Conn
	closed bool
	// made says that a connection was made.
	made atomic.Bool
}

// DialConnection implements network.Dialer.
func (d *dialer) DialConnection(n, address string, timeout time.Duration, conf *tls.Config) (network.Conn, error) {
	conn, err := d.Dialer.DialConnection(n, address, timeout, conf)
	if err != nil {
		return nil, fmt.Errorf("dial endpoint: %w", err)
	}
	d.made.Store(true)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conn = conn
	if d.closed {
		_ = conn.Close()
	}
	return conn, nil
}

func (d *dialer) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if d.conn != nil {
		_ = d.conn.Close()
	}
}

// watchdog closes the connection after a time without progress.
type watchdog struct {
	timer   *time.Timer
	silence time.Duration
	fired   atomic.Bool
}

func newWatchdog(silence time.Duration, f func()) *watchdog {
	w := &watchdog{silence: silence}
	w.timer = time.AfterFunc(silence, func() {
		w.fired.Store(true)
		f()
	})
	return w
}

func (w *watchdog) progress() { w.timer.Reset(w.silence) }

func (w *watchdog) stop() { w.timer.Stop() }

func newExchange(ctx context.Context, address string, deadline time.Time, silence time.Duration) *exchange {
	e := &exchange{
		req: protocol.AcquireRequest(), resp: protocol.AcquireResponse(),
		dialer: &dialer{Dialer: standard.NewDialer()},
	}
	hc, _ := http1.NewHostClient(&http1.ClientOptions{
		Dialer: e.dialer, DialTimeout: dialTimeout, ResponseBodyStream: true,
		MaxConns: 1, MaxIdleConnDuration: idleConn, NoDefaultUserAgentHeader: true,
		DisablePathNormalizing: true,
		RetryIfFunc:            func(*protocol.Request, *protocol.Response, error) bool { return false },
	}).(*http1.HostClient)
	hc.SetDynamicConfig(&hclient.DynamicConfig{Addr: address})
	e.host = hc
	e.req.SetConnectionClose()
	e.watch = newWatchdog(min(silence, max(0, time.Until(deadline))), e.dialer.close)
	e.watch.silence = silence
	e.stop = context.AfterFunc(ctx, e.dialer.close)
	return e
}

func (e *exchange) close() {
	e.watch.stop()
	e.stop()
	e.dialer.close()
	_ = e.resp.CloseBodyStream()
	protocol.ReleaseRequest(e.req)
	protocol.ReleaseResponse(e.resp)
}
