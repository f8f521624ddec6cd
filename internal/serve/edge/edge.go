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
	"github.com/hyssopspindle/hyssopspindle/internal/base/memory"
	"github.com/hyssopspindle/hyssopspindle/internal/base/socket"
	"github.com/hyssopspindle/hyssopspindle/internal/base/syntax"
	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/terms"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/held"
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
	// maxBody and maxHeader are the largest body and header that are read, in bytes; the published
	// limits may be lower. maxOtherBody is the largest body that the listeners read which are not for
	// callers' requests.
	maxBody      = 16 << 20
	maxHeader    = 64 << 10
	maxOtherBody = 4 << 10
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
	// Machine is the machine of the host, and Bodies the account of the bodies of callers' requests.
	Machine memory.Machine
	Bodies  *memory.Account
	// Held is the account of the answers that the host keeps.
	Held *held.Account

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
		use     string
		address string
		routes  func(*server.Hertz)
		options []config.Option
	}{
		{"callers", s.Settings.Callers, func(hz *server.Hertz) { hz.NoRoute(s.serveRequest) }, []config.Option{
			server.WithTransport(socket.Transport(&s.requests, s.conns("callers", s.Machine.CallerConns()), s.Bodies)), server.WithStreamBody(true), server.WithMaxRequestBodySize(maxBody),
		}},
		{"ready", s.Settings.Ready, func(hz *server.Hertz) { hz.GET(s.Terms.ReadyPath, s.ready) }, nil},
		{"directory", s.Settings.Directory, func(hz *server.Hertz) { hz.GET(s.Terms.ResolvePath, s.resolve) }, nil},
		{"metrics", s.Settings.Metrics, func(hz *server.Hertz) { hz.GET("/metrics", metrics) }, nil},
	} {
		if l.address == "" {
			continue
		}
		if l.options == nil {
			l.options = []config.Option{
				server.WithTransport(socket.Transport(&socket.Requests{}, s.conns(l.use, s.Machine.OtherConns()), s.Bodies)), server.WithMaxRequestBodySize(maxOtherBody),
			}
		}
		hz, err := s.listen(l.address, l.options)
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

// conns returns the table of the connections of a listener.
func (s *Server) conns(use string, limit int) *socket.Conns {
	notice := socket.Notice(s.Now, func(client string) {
		s.Log.Warn().Str("listener", use).Str("client", client).Int("limit", limit).Msg("connection closed, as the listener has too many")
	})
	return socket.NewConns(limit, socket.WithPanic(socket.LogPanic(s.Log)), socket.WithRefused(func(client string) {
		s.Meter.CountClosedConn(use)
		notice(client)
	}), socket.WithSingle(s.Terms.SingleFields()...), socket.WithMalformed(func(client string, err *syntax.Error) {
		s.Meter.RecordMalformed(s.Log, use, client, err)
	}))
}

func (s *Server) listen(address string, extra []config.Option) (*server.Hertz, error) {
	l, err := socket.Listen(address)
	if err != nil {
		return nil, fmt.Errorf("open listener: %w", err)
	}
	opts := append([]config.Option{
		server.WithListener(l),
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
