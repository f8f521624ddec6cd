// Package front is the HTTP interface for callers.
package front

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/cloudwego/hertz/pkg/network/standard"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/base/socket"
	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/entry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/flow"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/once"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/relay"
)

// The header fields of the interface.
const (
	KeyField     = "Idempotency-Key"
	IDField      = "X-Request-Id"
	TimeoutField = "X-Request-Timeout"
	AttemptField = "X-Attempt"
	PrefixField  = "X-Operation-Prefix"
	HostField    = "X-Try-Host"
	ServedField  = "X-Served-By"
)

const (
	readTimeout  = 30 * time.Second
	idleTimeout  = 75 * time.Second
	writeTimeout = 30 * time.Second
	closeWait    = 500 * time.Millisecond
	maxID        = 128
)

// Front serves callers.
type Front struct {
	Board    *board.Board
	Flow     *flow.Flow
	Relay    *relay.Handler
	Signer   *once.Signer
	Meter    *meter.Meter
	Log      zerolog.Logger
	Settings setup.Settings
	Now      func() time.Time

	server *server.Hertz
}

// Start begins to listen.
func (f *Front) Start() error {
	hlog.SetOutput(io.Discard)
	opts := []config.Option{
		server.WithMaxRequestBodySize(f.Settings.Limits.Body),
		server.WithMaxHeaderBytes(f.Settings.Limits.Header),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithWriteTimeout(writeTimeout),
		server.WithExitWaitTime(closeWait),
		server.WithDisablePrintRoute(true),
		server.WithSenseClientDisconnection(true),
	}
	if f.Settings.CallerCert == "" {
		l, err := socket.Listen(f.Settings.Callers)
		if err != nil {
			return fmt.Errorf("start listener for callers: %w", err)
		}
		opts = append(opts, server.WithListener(l))
	} else {
		cert, err := tls.LoadX509KeyPair(f.Settings.CallerCert, f.Settings.CallerKey)
		if err != nil {
			return fmt.Errorf("load certificate for callers: %w", err)
		}
		opts = append(opts,
			server.WithHostPorts(f.Settings.Callers),
			server.WithTransport(standard.NewTransporter),
			server.WithTLS(&tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}))
	}
	f.server = server.New(opts...)
	f.routes()
	socket.Run(f.server, func(err error) { f.Log.Error().Err(err).Msg("listener for callers ended") })
	return nil
}

func (f *Front) routes() {
	h := f.server
	h.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "ok\n") })
	h.GET("/readyz", f.ready)
	h.GET("/v1/entry", f.entry)
	h.GET("/v1/models", f.models)
	h.POST("/v1/chat/completions", f.infer)
	h.POST("/v1/completions", f.infer)
	h.Any("/v1/call/:service", f.call)
	h.Any("/v1/call/:service/*path", f.call)
	h.NoRoute(func(_ context.Context, c *app.RequestContext) {
		f.refuse(c, fault.New(fault.NoRoute, fault.RanNo, "no such path"))
	})
}

// Close ends the listener. The host waits for requests in flight before.
func (f *Front) Close() error {
	if f.server == nil {
		return nil
	}
	if err := socket.Shutdown(f.server, 2*closeWait); err != nil {
		return fmt.Errorf("close listener for callers: %w", err)
	}
	return nil
}

func (f *Front) ready(_ context.Context, c *app.RequestContext) {
	if f.Board.Pulse.Ready() && !f.Board.Pulse.Leaving() {
		c.String(http.StatusOK, "ready\n")
		return
	}
	c.String(http.StatusServiceUnavailable, "not ready\n")
}

// errorBody is the one form of an error.
type errorBody struct {
	Error errorText `json:"error"`
}

type errorText struct {
	Code    fault.Code `json:"code"`
	Message string     `json:"message"`
	Ran     fault.Ran  `json:"ran"`
}

func bodyOf(r *fault.Refusal) errorBody {
	return errorBody{Error: errorText{Code: r.Code, Message: r.Message, Ran: r.Ran}}
}

// refuse sends a refusal as the whole answer.
func (f *Front) refuse(c *app.RequestContext, r *fault.Refusal) {
	f.Meter.Refusal(r)
	if f.Board.Pulse.Leaving() {
		c.SetConnectionClose()
	}
	if r.RetryAfter > 0 {
		c.Header("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
		c.Header("Retry-After-Ms", strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
	if r.Code == fault.Leaving || r.Code == fault.NotReady {
		if other := f.otherHost(); other != "" {
			c.Header(HostField, other)
		}
	}
	c.JSON(r.Code.Status(), bodyOf(r))
}

// otherHost returns the address of another host that takes requests.
func (f *Front) otherHost() string {
	inv := f.Board.Revisions.Inventory()
	if inv == nil {
		return ""
	}
	for _, p := range entry.Rank(inv, f.Board.Name, f.Board.Region, f.candidates(inv)) {
		if p.Host != f.Board.Name {
			return p.Address
		}
	}
	return ""
}

// admit finds the caller of a request, or refuses it.
func (f *Front) admit(c *app.RequestContext) (*invent.Inventory, *invent.Caller, *fault.Refusal) {
	inv := f.Board.Revisions.Inventory()
	if inv == nil || !f.Board.Pulse.Ready() {
		return nil, nil, fault.New(fault.NotReady, fault.RanNo, "host is not ready").WithRetryAfter(time.Second)
	}
	key, ok := strings.CutPrefix(string(c.GetHeader("Authorization")), "Bearer ")
	if !ok || key == "" {
		return nil, nil, fault.New(fault.BadKey, fault.RanNo, "no bearer key")
	}
	// The look-up is by the hash of the key, so its time tells nothing of the key.
	sum := sha256.Sum256([]byte(key))
	caller, ok := inv.CallerByHash(hex.EncodeToString(sum[:]))
	if !ok {
		return nil, nil, fault.New(fault.BadKey, fault.RanNo, "key is not known")
	}
	return inv, caller, nil
}

func requestID(c *app.RequestContext) string {
	id := string(c.GetHeader(IDField))
	if id == "" || len(id) > maxID {
		return uuid.NewString()
	}
	return id
}

func (f *Front) entry(_ context.Context, c *app.RequestContext) {
	inv, caller, r := f.admit(c)
	if r != nil {
		f.refuse(c, r)
		return
	}
	home, err := f.prefix(caller)
	if err != nil {
		f.refuse(c, fault.From(err).WithRan(fault.RanNo))
		return
	}
	client := caller.Name + "/" + c.ClientIP() + "/" + c.Query("client")
	c.JSON(http.StatusOK, entry.Answer{
		Hosts: entry.Rank(inv, client, caller.Region, f.candidates(inv)),
		Home:  home, TTLMS: entry.TTL.Milliseconds(), Revision: inv.Revision,
	})
}

// prefix returns a signed prefix for operation keys of a caller.
func (f *Front) prefix(caller *invent.Caller) (string, error) {
	return f.Signer.Sign(once.Prefix{
		Host: f.Board.Name, Life: f.Board.Members.Life(), Caller: caller.Name,
		Expires: f.Now().Add(f.Settings.Limits.KeyLife()).Unix(),
	})
}

func (f *Front) candidates(inv *invent.Inventory) []entry.Candidate {
	var out []entry.Candidate
	own := inv.Mark()
	for _, h := range inv.Hosts() {
		c := entry.Candidate{Host: h, Region: inv.RegionOf(h.Centre)}
		if h.Name == f.Board.Name {
			c.Open, c.Sound, c.Current = f.Board.Pulse.Open(), !f.Board.Pulse.Leaving(), true
			c.Usable = c.Sound
		} else if m, ok := f.Board.Members.Member(h.Name); ok {
			c.Open, c.Sound, c.Usable = m.Open, m.Sound() && !m.Absent, m.Usable()
			c.Current = !own.Above(m.Mark)
		}
		out = append(out, c)
	}
	return out
}

// model is one entry of the list of models.
type model struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"`
}

type modelList struct {
	Object string  `json:"object"`
	Data   []model `json:"data"`
}

func (f *Front) models(_ context.Context, c *app.RequestContext) {
	inv, caller, r := f.admit(c)
	if r != nil {
		f.refuse(c, r)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, s := range inv.Services() {
		if s.Kind == invent.Model && caller.May(s.Name) {
			list.Data = append(list.Data, model{ID: s.Name, Object: "model", OwnedBy: "hyssopspindle"})
		}
	}
	c.JSON(http.StatusOK, list)
}
