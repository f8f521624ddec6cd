// Package front serves the HTTP API for callers.
package front

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/middlewares/server/recovery"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/config"
	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/google/uuid"
	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/base/memory"
	"github.com/hyssopspindle/hyssopspindle/internal/base/socket"
	"github.com/hyssopspindle/hyssopspindle/internal/base/syntax"
	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/dedup"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/entry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/flow"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/held"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/relay"
)

// The header fields of the API.
const (
	KeyField             = "Idempotency-Key"
	RequestIDField       = "X-Request-Id"
	TimeoutField         = "X-Request-Timeout"
	AttemptField         = "X-Attempt"
	OperationPrefixField = "X-Operation-Prefix"
	TryHostField         = "X-Try-Host"
	ServedByField        = "X-Served-By"
)

// callPrefix begins the paths of calls of plain services.
const callPrefix = "/v1/call/"

const (
	readTimeout       = 30 * time.Second
	idleTimeout       = 75 * time.Second
	writeTimeout      = 30 * time.Second
	shutdownWait      = 500 * time.Millisecond
	maxRequestIDBytes = 128
)

// Front is the HTTP server for callers.
type Front struct {
	Board    *board.Board
	Flow     *flow.Flow
	Relay    *relay.Handler
	Signer   *dedup.Signer
	Meter    *meter.Meter
	Log      zerolog.Logger
	Settings setup.Settings
	Now      func() time.Time
	// Machine is the machine of the host, and Bodies the account of the bodies of callers' requests.
	Machine memory.Machine
	Bodies  *memory.Account
	// Held is the account of the answers that the host keeps.
	Held *held.Account

	server   *server.Hertz
	requests socket.Requests
}

// OpenRequests returns the number of requests that are arriving, are served, or whose answers
// are being written.
func (f *Front) OpenRequests() int { return f.requests.Open() }

// Start opens the listener and begins to serve.
func (f *Front) Start() error {
	hlog.SetOutput(io.Discard)
	l, err := socket.Listen(f.Settings.Callers)
	if err != nil {
		return fmt.Errorf("start listener for callers: %w", err)
	}
	limit := f.Machine.CallerConns()
	notice := socket.Notice(f.Now, func(client string) {
		f.Log.Warn().Str("listener", "callers").Str("client", client).Int("limit", limit).Msg("connection closed, as the listener has too many")
	})
	conns := socket.NewConns(limit, socket.WithPanic(socket.LogPanic(f.Log)), socket.WithRefused(func(client string) {
		f.Meter.CountClosedConn("callers")
		notice(client)
	}), socket.WithSingle("Authorization", KeyField, RequestIDField, TimeoutField, AttemptField), socket.WithRefusal(malformedBody),
		socket.WithMalformed(func(client string, err *syntax.Error) { f.Meter.RecordMalformed(f.Log, "callers", client, err) }))
	opts := []config.Option{
		server.WithListener(l), server.WithTransport(socket.Transport(&f.requests, conns, f.Bodies)), server.WithStreamBody(true),
		server.WithMaxRequestBodySize(f.Settings.Limits.Body),
		server.WithMaxHeaderBytes(f.Settings.Limits.Header),
		server.WithReadTimeout(readTimeout),
		server.WithIdleTimeout(idleTimeout),
		server.WithWriteTimeout(writeTimeout),
		server.WithExitWaitTime(shutdownWait),
		server.WithDisablePrintRoute(true),
	}
	if f.Settings.CallerCert != "" {
		cert, err := tls.LoadX509KeyPair(f.Settings.CallerCert, f.Settings.CallerKey)
		if err != nil {
			return errors.Join(fmt.Errorf("load certificate for callers: %w", err), l.Close())
		}
		opts = append(opts, server.WithTLS(&tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}))
	}
	f.server = server.New(opts...)
	f.registerRoutes()
	socket.Run(f.server, func(err error) { f.Log.Error().Err(err).Msg("listener for callers ended") })
	return nil
}

func (f *Front) registerRoutes() {
	h := f.server
	h.Use(recovery.Recovery(recovery.WithRecoveryHandler(f.endAfterPanic)))
	h.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "ok\n") })
	h.GET("/readyz", f.serveReady)
	h.GET("/v1/entry", f.serveEntry)
	h.GET("/v1/models", f.serveModels)
	h.POST("/v1/chat/completions", f.serveInference)
	h.POST("/v1/completions", f.serveInference)
	h.Any(callPrefix+":service", f.serveCall)
	h.Any(callPrefix+":service/*path", f.serveCall)
	h.NoRoute(func(_ context.Context, c *app.RequestContext) {
		f.refuse(c, fault.New(fault.NoRoute, fault.RanNo, "no such path"))
	})
}

// endAfterPanic ends a request whose handler panicked: the HTTP library would close the
// connection without an answer. A begun answer is cut off, so that it does not look whole.
func (f *Front) endAfterPanic(_ context.Context, c *app.RequestContext, v any, stack []byte) {
	f.Log.Error().Str("request", requestID(c)).Any("panic", v).Bytes("stack", stack).Msg("handler of a request panicked")
	if c.Response.GetHijackWriter() != nil {
		_ = c.GetConn().Close()
		return
	}
	c.Response.Reset()
	f.refuse(c, fault.New(fault.Internal, fault.RanUnknown, "host failed"))
}

// Close closes the listener. The host waits for in-flight requests before it calls
// Close.
func (f *Front) Close() error {
	if f.server == nil {
		return nil
	}
	if err := socket.Shutdown(f.server, 2*shutdownWait); err != nil {
		return fmt.Errorf("close listener for callers: %w", err)
	}
	return nil
}

// serveReady answers the readiness check. A leaving host is not ready.
func (f *Front) serveReady(_ context.Context, c *app.RequestContext) {
	if f.Board.Health.Ready() && !f.Board.Health.Leaving() {
		c.String(http.StatusOK, "ready\n")
		return
	}
	c.String(http.StatusServiceUnavailable, "not ready\n")
}

// errorBody is the body of every error answer.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    fault.Code `json:"code"`
	Message string     `json:"message"`
	Ran     fault.Ran  `json:"ran"`
}

func newErrorBody(r *fault.Refusal) errorBody {
	return errorBody{Error: errorDetail{Code: r.Code, Message: r.Message, Ran: r.Ran}}
}

// malformedBody returns the body of the answer to a request whose head is malformed.
func malformedBody(err *syntax.Error) (mediaType string, body []byte) {
	// The error is ignored: the body has only text.
	body, _ = json.Marshal(newErrorBody(fault.New(fault.BadRequest, fault.RanNo, "%v", err)))
	return "application/json; charset=utf-8", body
}

// refuse answers the request with a refusal.
func (f *Front) refuse(c *app.RequestContext, r *fault.Refusal) {
	f.Meter.CountRefusal(r)
	if f.Board.Health.Leaving() {
		socket.CloseAfter(c)
	}
	if r.RetryAfter > 0 {
		c.Header("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
		c.Header("Retry-After-Ms", strconv.FormatInt(r.RetryAfter.Milliseconds(), 10))
	}
	if r.Code == fault.Leaving || r.Code == fault.NotReady {
		if address := f.otherHost(); address != "" {
			c.Header(TryHostField, address)
		}
	}
	c.JSON(r.Code.Status(), newErrorBody(r))
}

// otherHost returns the address of the peer host that a refused caller should try, ""
// if there is none.
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

// authenticate returns the inventory in force and the caller that the bearer key
// identifies, or a refusal.
func (f *Front) authenticate(c *app.RequestContext) (*invent.Inventory, *invent.Caller, *fault.Refusal) {
	inv := f.Board.Revisions.Inventory()
	if inv == nil || !f.Board.Health.Ready() {
		return nil, nil, fault.New(fault.NotReady, fault.RanNo, "host is not ready").WithRetryAfter(time.Second)
	}
	key, ok := strings.CutPrefix(string(c.GetHeader("Authorization")), "Bearer ")
	if !ok || key == "" {
		return nil, nil, fault.New(fault.BadKey, fault.RanNo, "no bearer key")
	}
	// The look-up uses the hash of the key, so that its duration reveals nothing about
	// the key.
	sum := sha256.Sum256([]byte(key))
	caller, ok := inv.CallerByHash(hex.EncodeToString(sum[:]))
	if !ok {
		return nil, nil, fault.New(fault.BadKey, fault.RanNo, "bearer key is unknown")
	}
	return inv, caller, nil
}

// requestID returns the request ID that the caller sent, or a new one if there is none
// or it is too long.
func requestID(c *app.RequestContext) string {
	id := string(c.GetHeader(RequestIDField))
	if id == "" || len(id) > maxRequestIDBytes {
		return uuid.NewString()
	}
	return id
}

// serveEntry answers with the hosts that the caller should use.
func (f *Front) serveEntry(_ context.Context, c *app.RequestContext) {
	inv, caller, r := f.authenticate(c)
	if r != nil {
		f.refuse(c, r)
		return
	}
	prefix, err := f.signPrefix(caller)
	if err != nil {
		f.refuse(c, fault.From(err).WithRan(fault.RanNo))
		return
	}
	client := caller.Name + "/" + c.ClientIP() + "/" + c.Query("client")
	c.JSON(http.StatusOK, entry.Answer{
		Hosts:     entry.Rank(inv, client, caller.Region, f.candidates(inv)),
		KeyPrefix: prefix, TTLMS: entry.TTL.Milliseconds(), Revision: inv.Revision,
	})
}

// signPrefix returns a signed prefix for the caller's operation keys that makes this
// host their home host.
func (f *Front) signPrefix(caller *invent.Caller) (string, error) {
	return f.Signer.Sign(dedup.Prefix{
		Host: f.Board.Name, Life: f.Board.Members.Incarnation(), Caller: caller.Name,
		Expires: f.Now().Add(f.Settings.Limits.KeyValidity()).Unix(),
	})
}

// candidates returns the last known state of every host of the inventory.
func (f *Front) candidates(inv *invent.Inventory) []entry.Candidate {
	var list []entry.Candidate
	version := inv.Version()
	for _, h := range inv.Hosts() {
		c := entry.Candidate{Host: h, Region: inv.RegionOf(h.Centre)}
		if h.Name == f.Board.Name {
			c.InFlight, c.Healthy, c.Current = f.Board.Health.InFlight(), !f.Board.Health.Leaving(), true
			c.Usable = c.Healthy
		} else if m, ok := f.Board.Members.Member(h.Name); ok {
			c.InFlight, c.Healthy, c.Usable = m.InFlight, m.Healthy() && !m.Unlisted, m.Usable()
			c.Current = !version.Supersedes(m.Version)
		}
		list = append(list, c)
	}
	return list
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

// serveModels lists the models that the caller may use.
func (f *Front) serveModels(_ context.Context, c *app.RequestContext) {
	inv, caller, r := f.authenticate(c)
	if r != nil {
		f.refuse(c, r)
		return
	}
	list := modelList{Object: "list", Data: []model{}}
	for _, s := range inv.Services() {
		if s.Kind == invent.Model && caller.MayUse(s.Name) {
			list.Data = append(list.Data, model{ID: s.Name, Object: "model", OwnedBy: "hyssopspindle"})
		}
	}
	c.JSON(http.StatusOK, list)
}
