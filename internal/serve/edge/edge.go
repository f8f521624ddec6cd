// Package edge is the HTTP interface of a host with published routes: the listeners
// for callers, the readiness check, the directory and the metrics.
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
	"github.com/hyssopspindle/hyssopspindle/internal/serve/proxy"
)

const (
	// readTimeout is the longest time to read one request. Callers send the whole body at
	// once.
	readTimeout = 20 * time.Second
	// idleTimeout is longer than operators let callers keep idle connections.
	idleTimeout  = 90 * time.Second
	writeTimeout = 10 * time.Second
	closeTimeout = 100 * time.Millisecond
	// maxBody and maxHeader are the largest body and header that are read, in bytes. The
	// published limits apply after that.
	maxBody   = 16 << 20
	maxHeader = 64 << 10
)

// Server is the HTTP server of a host.
type Server struct {
	Board    *board.Board
	Proxy    *proxy.Proxy
	Terms    *terms.Terms
	Meter    *meter.Meter
	Log      zerolog.Logger
	Settings setup.Hosted
	Now      func() time.Time
	// Refusing reports whether the host refuses new requests during its shutdown.
	Refusing func() bool
	// Keys decides whether customers' keys are accepted.
	Keys Keys

	servers  []*server.Hertz
	requests socket.Requests
}

// OpenRequests returns the number of requests that are arriving, are served, or whose answers
// are being written.
func (s *Server) OpenRequests() int { return s.requests.Open() }

// Start opens the listeners. All of them accept connections when it returns.
func (s *Server) Start() error {
	hlog.SetOutput(io.Discard)
	metrics := adaptor.HertzHandler(promhttp.HandlerFor(s.Meter.Registry, promhttp.HandlerOpts{}))
	for _, l := range []struct {
		address string
		routes  func(*server.Hertz)
		extra   []config.Option
	}{
		{s.Settings.Callers, func(hz *server.Hertz) { hz.NoRoute(s.serveRequest) }, []config.Option{
			server.WithSenseClientDisconnection(true), server.WithTransport(socket.CountRequests(&s.requests)),
		}},
		{s.Settings.Ready, func(hz *server.Hertz) { hz.GET(s.Terms.ReadyPath, s.ready) }, nil},
		{s.Settings.Directory, func(hz *server.Hertz) { hz.GET(s.Terms.ResolvePath, s.resolve) }, nil},
		{s.Settings.Metrics, func(hz *server.Hertz) { hz.GET("/metrics", metrics) }, nil},
	} {
		if l.address == "" {
			continue
		}
		hz, err := s.listen(l.address, l.extra)
		if err != nil {
			return fmt.Errorf("start listeners: %w", err)
		}
		l.routes(hz)
	}
	for _, hz := range s.servers {
		socket.Run(hz, func(err error) { s.Log.Error().Err(err).Msg("listener stopped") })
	}
	return nil
}

func (s *Server) listen(address string, extra []config.Option) (*server.Hertz, error) {
	l, err := socket.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("open listener: %w", err)
	}
	opts := append([]config.Option{
		server.WithListener(l),
		server.WithTransport(socket.NewTransporter),
		server.WithMaxRequestBodySize(maxBody),
		server.WithMaxHeaderBytes(maxHeader),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithKeepAliveTimeout(idleTimeout),
		server.WithWriteTimeout(writeTimeout),
		server.WithExitWaitTime(closeTimeout),
		server.WithDisablePrintRoute(true),
		server.WithDisablePreParseMultipartForm(true),
		server.WithDisableDefaultContentType(true),
	}, extra...)
	hz := server.New(opts...)
	s.servers = append(s.servers, hz)
	return hz, nil
}

// Close closes the listeners. The host waits for in-flight requests before it calls
// Close.
func (s *Server) Close() error {
	var errs error
	for _, hz := range s.servers {
		errs = errors.Join(errs, socket.Shutdown(hz, closeTimeout))
	}
	if errs != nil {
		return fmt.Errorf("close listeners: %w", errs)
	}
	return nil
}

// ready answers the readiness check.
func (s *Server) ready(_ context.Context, c *app.RequestContext) {
	if s.Board.Health.Ready() && !s.Board.Health.Leaving() {
		c.SetStatusCode(http.StatusOK)
		return
	}
	c.SetStatusCode(http.StatusServiceUnavailable)
}

// sendRefusal sends a refusal as the whole answer.
func (s *Server) sendRefusal(c *app.RequestContext, r *fault.Refusal) {
	s.Meter.CountRefusal(r)
	if r.RetryAfter > 0 && r.Ran == fault.RanNo {
		c.Header("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	c.Data(refusalStatus(r), "text/plain; charset=utf-8", []byte(r.Message+"\n"))
}

// refusalStatus returns the HTTP status of a refusal. It uses those that state that the request
// did not run only if that is certain.
func refusalStatus(r *fault.Refusal) int {
	code := r.Code.Status()
	switch {
	case fault.StatesNotRun(code) && r.Ran != fault.RanNo:
		return http.StatusBadGateway
	case r.Code == fault.Deadline && r.Ran == fault.RanNo:
		return http.StatusServiceUnavailable
	}
	return code
}
