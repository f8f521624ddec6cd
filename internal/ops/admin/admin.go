// Package admin is the HTTP interface for operators. It shows the state and the
// routing decisions of a host and is read-only.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/adaptor"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/base/memory"
	"github.com/hyssopspindle/hyssopspindle/internal/base/socket"
	"github.com/hyssopspindle/hyssopspindle/internal/base/syntax"
	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/dedup"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/flow"
)

const (
	shutdownTimeout = 100 * time.Millisecond
	maxBodyBytes    = 8 << 20
	readTimeout     = 30 * time.Second
	idleTimeout     = 3 * time.Minute
	writeTimeout    = 30 * time.Second
)

// Admin is the HTTP server for operators.
type Admin struct {
	Board   *board.Board
	Flow    *flow.Flow
	Home    *dedup.Home
	Meter   *meter.Meter
	Log     zerolog.Logger
	Address string
	Key     string
	Started time.Time
	// Machine is the machine of the host, and Bodies the account of the bodies of requests.
	Machine memory.Machine
	Bodies  *memory.Account
	Now     func() time.Time

	server *server.Hertz
}

// State is the state of the host that answers.
type State struct {
	Host     string `json:"host"`
	Region   string `json:"region"`
	Centre   string `json:"centre"`
	Ready    bool   `json:"ready"`
	Leaving  bool   `json:"leaving"`
	InFlight int    `json:"open"`
	// Operations is the number of operations that the host stores as their home host.
	Operations int `json:"operations"`
	// Pauses is the number of detected pauses of the process.
	Pauses   uint64 `json:"pauses"`
	UptimeMS int64  `json:"uptime_ms"`
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
}

// Member is a host of the fleet, as seen by the host that answers.
type Member struct {
	Name    string `json:"name"`
	Region  string `json:"region"`
	Address string `json:"address"`
	State   string `json:"state"`
	Leaving bool   `json:"leaving"`
	// Absent reports whether the host is missing from the platform's host list.
	Absent   bool   `json:"absent"`
	Revision uint64 `json:"revision"`
	InFlight int    `json:"open"`
	// LastPacketMS is the time since the last packet from the host in milliseconds, -1
	// if there was none.
	LastPacketMS int64 `json:"heard_ms"`
}

// Config is the active configuration.
type Config struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	// SinceMS is the time since the revision became active, in milliseconds.
	SinceMS int64 `json:"since_ms"`
	Parts   int   `json:"parts"`
	// Rejected is the error of the last rejected revision.
	Rejected string `json:"rejected,omitempty"`
}

// Endpoint is an endpoint in the region of the host that answers.
type Endpoint struct {
	Name    string  `json:"name"`
	Service string  `json:"service"`
	Centre  string  `json:"centre"`
	Slots   int     `json:"slots"`
	Load    float64 `json:"load"`
	// InFlight is the number of this host's in-flight requests at the endpoint.
	InFlight int `json:"own"`
	// AgeMS is the age of the last load report in milliseconds, -1 if there was none.
	AgeMS   int64 `json:"age_ms"`
	Ejected bool  `json:"ejected"`
	Leaving bool  `json:"leaving"`
}

// Check is the result of validating an inventory.
type Check struct {
	Accepted bool           `json:"accepted"`
	Digest   string         `json:"digest,omitempty"`
	Faults   []invent.Fault `json:"faults,omitempty"`
	// Changes lists the differences from the active inventory.
	Changes []string `json:"changes,omitempty"`
}

// Start listens on Address and serves in the background.
func (a *Admin) Start() error {
	l, err := socket.Listen(a.Address)
	if err != nil {
		return fmt.Errorf("start admin listener: %w", err)
	}
	conns := socket.NewConns(a.Machine.OtherConns(), socket.WithRefused(func(string) { a.Meter.CountClosedConn("admin") }),
		socket.WithPanic(socket.LogPanic(a.Log)), socket.WithSingle("Authorization"), socket.WithMalformed(func(client string, err *syntax.Error) {
			a.Meter.RecordMalformed(a.Log, "admin", client, err)
		}))
	a.server = server.New(
		server.WithListener(l), server.WithTransport(socket.Transport(&socket.Requests{}, conns, a.Bodies)), server.WithStreamBody(true),
		server.WithDisablePrintRoute(true), server.WithReadTimeout(readTimeout), server.WithIdleTimeout(idleTimeout),
		server.WithWriteTimeout(writeTimeout), server.WithMaxRequestBodySize(maxBodyBytes), server.WithExitWaitTime(shutdownTimeout),
	)
	h := a.server
	h.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "ok\n") })
	h.GET("/metrics", adaptor.HertzHandler(promhttp.HandlerFor(a.Meter.Registry, promhttp.HandlerOpts{})))
	h.GET("/admin/state", a.requireKey(a.state))
	h.GET("/admin/members", a.requireKey(a.members))
	h.GET("/admin/config", a.requireKey(a.config))
	h.GET("/admin/endpoints", a.requireKey(a.endpoints))
	h.GET("/admin/explain", a.requireKey(a.explain))
	h.POST("/admin/check", a.requireKey(a.check))
	socket.Run(h, func(err error) { a.Log.Error().Err(err).Msg("admin listener stopped") })
	return nil
}

// Close stops the listener.
func (a *Admin) Close() error {
	if err := socket.Shutdown(a.server, 2*shutdownTimeout); err != nil {
		return fmt.Errorf("close admin listener: %w", err)
	}
	return nil
}

type errorBody struct {
	Error string `json:"error"`
}

// requireKey wraps a handler so that it answers 401 unless the request has the
// admin key as its bearer token.
func (a *Admin) requireKey(next app.HandlerFunc) app.HandlerFunc {
	want := sha256.Sum256([]byte(a.Key))
	return func(ctx context.Context, c *app.RequestContext) {
		key := strings.TrimPrefix(string(c.GetHeader("Authorization")), "Bearer ")
		got := sha256.Sum256([]byte(key))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			socket.Refuse(c)
			c.JSON(http.StatusUnauthorized, errorBody{"admin key is not known"})
			return
		}
		next(ctx, c)
	}
}

func (a *Admin) state(_ context.Context, c *app.RequestContext) {
	s := State{
		Host: a.Board.Name, Region: a.Board.Region, Centre: a.Board.Centre,
		Ready: a.Board.Health.Ready(), Leaving: a.Board.Health.Leaving(), InFlight: a.Board.Health.InFlight(),
		Operations: a.Home.Len(), Pauses: a.Board.Health.Pauses(),
		UptimeMS: a.Now().Sub(a.Started).Milliseconds(),
	}
	if inv := a.Board.Revisions.Inventory(); inv != nil {
		s.Revision, s.Digest = inv.Revision, inv.Digest
	}
	c.JSON(http.StatusOK, s)
}

func (a *Admin) members(_ context.Context, c *app.RequestContext) {
	out := []Member{}
	now := a.Now()
	for _, m := range a.Board.Members.Members() {
		out = append(out, memberRow(m, now))
	}
	c.JSON(http.StatusOK, out)
}

func memberRow(m member.Member, now time.Time) Member {
	row := Member{
		Name: m.Name, Region: m.Region, Address: m.Address, State: m.State.String(),
		Leaving: m.Leaving, Absent: m.Unlisted, Revision: m.Version.Revision, InFlight: m.InFlight, LastPacketMS: -1,
	}
	if !m.LastSeen.IsZero() {
		row.LastPacketMS = now.Sub(m.LastSeen).Milliseconds()
	}
	return row
}

func (a *Admin) config(_ context.Context, c *app.RequestContext) {
	var out Config
	if active := a.Board.Revisions.Active(); active != nil {
		out = Config{
			Revision: active.Inventory.Revision, Digest: active.Inventory.Digest,
			SinceMS: a.Now().Sub(active.Since).Milliseconds(), Parts: len(active.Documents),
		}
	}
	if r := a.Board.Revisions.LastRejection(); r != nil {
		out.Rejected = r.Err.Error()
	}
	c.JSON(http.StatusOK, out)
}

func (a *Admin) endpoints(_ context.Context, c *app.RequestContext) {
	inv := a.Board.Revisions.Inventory()
	out := []Endpoint{}
	now := a.Now()
	if inv == nil {
		c.JSON(http.StatusOK, out)
		return
	}
	for _, e := range inv.Endpoints() {
		if inv.RegionOf(e.Centre) != a.Board.Region {
			continue
		}
		st := a.Board.Endpoints.Get(e.Name)
		row := Endpoint{
			Name: e.Name, Service: e.Service, Centre: e.Centre, Slots: e.Slots, Load: st.Load(now), InFlight: st.InFlight,
			AgeMS: -1, Ejected: st.Ejected(now) || st.Report.Failing,
			Leaving: e.Leaving || st.Leaving() || a.Board.Leaving(e.Name, now),
		}
		if !st.Report.At.IsZero() {
			row.AgeMS = now.Sub(st.Report.At).Milliseconds()
		}
		out = append(out, row)
	}
	c.JSON(http.StatusOK, out)
}

func (a *Admin) explain(_ context.Context, c *app.RequestContext) {
	inv := a.Board.Revisions.Inventory()
	if inv == nil {
		c.JSON(http.StatusServiceUnavailable, errorBody{"host has no configuration"})
		return
	}
	caller, ok := inv.CallerByName(c.Query("caller"))
	if !ok {
		c.JSON(http.StatusNotFound, errorBody{"caller is not listed"})
		return
	}
	s, ok := inv.Service(c.Query("service"))
	if !ok {
		c.JSON(http.StatusNotFound, errorBody{"service is not listed"})
		return
	}
	c.JSON(http.StatusOK, a.Flow.Explain(a.Now(), caller, s))
}

func (a *Admin) check(_ context.Context, c *app.RequestContext) {
	conn := c.GetConn()
	hold := a.Bodies.Open("admin", func() { socket.Abort(conn) })
	defer hold.Close()
	body, err := socket.ReadBody(c, maxBodyBytes, hold)
	if err != nil {
		c.JSON(socket.RefusalOf(err).Code.Status(), errorBody{err.Error()})
		return
	}
	inv, err := invent.Accept(1, []invent.Source{{Name: "inventory", Data: body}})
	var rejected *invent.Rejected
	if errors.As(err, &rejected) {
		c.JSON(http.StatusOK, Check{Faults: rejected.Faults})
		return
	}
	if err != nil {
		c.JSON(http.StatusBadRequest, errorBody{err.Error()})
		return
	}
	c.JSON(http.StatusOK, Check{
		Accepted: true, Digest: inv.Digest, Changes: invent.Changes(a.Board.Revisions.Inventory(), inv),
	})
}
