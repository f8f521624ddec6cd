// Package edge is the HTTP interface of a host whose routes are published: the
// listener for callers, the readiness check, the directory and the metrics.
package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/base/socket"
	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/terms"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/carry"
)

const (
	// readTime bounds the reading of one request; callers' bodies come at once.
	readTime = 20 * time.Second
	// idleTime is above what operators allow callers to stay idle.
	idleTime  = 90 * time.Second
	writeTime = 10 * time.Second
	closeTime = 100 * time.Millisecond
	// bodyLimit and headerLimit bound what is read before the published limits apply.
	bodyLimit   = 16 << 20
	headerLimit = 64 << 10
)

// Front serves callers.
type Front struct {
	Board    *board.Board
	Carrier  *carry.Carrier
	Terms    *terms.Terms
	Meter    *meter.Meter
	Log      zerolog.Logger
	Settings setup.Hosted
	Now      func() time.Time
	// Refusing says that a leaving host takes no more requests.
	Refusing func() bool

	servers []*server.Hertz
}

// Start begins to listen; all listeners take connections when it returns.
func (f *Front) Start() error {
	hlog.SetOutput(io.Discard)
	metrics := adaptor.HertzHandler(promhttp.HandlerFor(f.Meter.Registry, promhttp.HandlerOpts{}))
	for _, l := range []struct {
		address string
		routes  func(*server.Hertz)
		more    []config.Option
	}{
		{f.Settings.Callers, func(s *server.Hertz) { s.NoRoute(f.request) }, []config.Option{server.WithSenseClientDisconnection(true)}},
		{f.Settings.Ready, func(s *server.Hertz) { s.GET(f.Terms.ReadyPath, f.ready) }, nil},
		{f.Settings.Directory, func(s *server.Hertz) { s.GET(f.Terms.ResolvePath, f.resolve) }, nil},
		{f.Settings.Metrics, func(s *server.Hertz) { s.GET("/metrics", metrics) }, nil},
	} {
		if l.address == "" {
			continue
		}
		s, err := f.listen(l.address, l.more)
		if err != nil {
			return fmt.Errorf("start listeners: %w", err)
		}
		l.routes(s)
	}
	for _, s := range f.servers {
		socket.Run(s, func(err error) { f.Log.Error().Err(err).Msg("listener ended") })
	}
	return nil
}

func (f *Front) listen(address string, more []config.Option) (*server.Hertz, error) {
	l, err := socket.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("open listener: %w", err)
	}
	opts := append([]config.Option{
		server.WithListener(l),
		server.WithMaxRequestBodySize(bodyLimit),
		server.WithMaxHeaderBytes(headerLimit),
		server.WithReadTimeout(readTime),
		server.WithIdleTimeout(idleTime),
		server.WithKeepAliveTimeout(idleTime),
		server.WithWriteTimeout(writeTime),
		server.WithExitWaitTime(closeTime),
		server.WithDisablePrintRoute(true),
		server.WithDisablePreParseMultipartForm(true),
		server.WithDisableDefaultContentType(true),
	}, more...)
	s := server.New(opts...)
	f.servers = append(f.servers, s)
	return s, nil
}

// Close ends the listeners. The host waits for requests in flight before.
func (f *Front) Close() error {
	var failed error
	for _, s := range f.servers {
		failed = errors.Join(failed, socket.Shutdown(s, closeTime))
	}
	if failed != nil {
		return fmt.Errorf("close listeners: %w", failed)
	}
	return nil
}

func (f *Front) ready(_ context.Context, c *app.RequestContext) {
	if f.Board.Pulse.Ready() && !f.Board.Pulse.Leaving() {
		c.SetStatusCode(http.StatusOK)
		return
	}
	c.SetStatusCode(http.StatusServiceUnavailable)
}

// refuse sends a refusal as the whole answer.
func (f *Front) refuse(c *app.RequestContext, r *fault.Refusal) {
	f.Meter.Refusal(r)
	if r.RetryAfter > 0 && r.Ran == fault.RanNo {
		c.Header("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	c.Data(status(r), "text/plain; charset=utf-8", []byte(r.Message+"\n"))
}

// status returns the status of a refusal: one that promises that the request
// did not run is used only where that is certain.
func status(r *fault.Refusal) int {
	s := r.Code.Status()
	promise := s == http.StatusServiceUnavailable || s == http.StatusTooManyRequests
	switch {
	case promise && r.Ran != fault.RanNo:
		return http.StatusBadGateway
	case r.Code == fault.Deadline && r.Ran == fault.RanNo:
		return http.StatusServiceUnavailable
	}
	return s
}
