// Package admin is the HTTP interface for operators. It shows what a host
// believes and decides, and changes nothing.
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

	"github.com/hyssopspindle/hyssopspindle/internal/base/socket"
	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/flow"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/once"
)

const (
	closeWait = 100 * time.Millisecond
	maxBody   = 8 << 20
)

// Admin serves operators.
type Admin struct {
	Board   *board.Board
	Flow    *flow.Flow
	Home    *once.Home
	Meter   *meter.Meter
	Log     zerolog.Logger
	Address string
	Key     string
	Started time.Time
	Now     func() time.Time

	server *server.Hertz
}

// State is what a host says of itself.
type State struct {
	Host       string `json:"host"`
	Region     string `json:"region"`
	Centre     string `json:"centre"`
	Ready      bool   `json:"ready"`
	Leaving    bool   `json:"leaving"`
	Open       int    `json:"open"`
	Operations int    `json:"operations"`
	Pauses     uint64 `json:"pauses"`
	UptimeMS   int64  `json:"uptime_ms"`
	Revision   uint64 `json:"revision"`
	Digest     string `json:"digest"`
}

// Member is one row of the members.
type Member struct {
	Name     string `json:"name"`
	Region   string `json:"region"`
	Address  string `json:"address"`
	State    string `json:"state"`
	Leaving  bool   `json:"leaving"`
	Absent   bool   `json:"absent"`
	Revision uint64 `json:"revision"`
	Open     int    `json:"open"`
	HeardMS  int64  `json:"heard_ms"`
}

// Config is the configuration in force.
type Config struct {
	Revision uint64 `json:"revision"`
	Digest   string `json:"digest"`
	SinceMS  int64  `json:"since_ms"`
	Parts    int    `json:"parts"`
	Rejected string `json:"rejected,omitempty"`
}

// Endpoint is one row of the endpoints of the host's region.
type Endpoint struct {
	Name    string  `json:"name"`
	Service string  `json:"service"`
	Centre  string  `json:"centre"`
	Slots   int     `json:"slots"`
	Load    float64 `json:"load"`
	Own     int     `json:"own"`
	AgeMS   int64   `json:"age_ms"`
	Ejected bool    `json:"ejected"`
	Leaving bool    `json:"leaving"`
}

// Check is the verdict on an inventory.
type Check struct {
	Accepted bool           `json:"accepted"`
	Digest   string         `json:"digest,omitempty"`
	Faults   []invent.Fault `json:"faults,omitempty"`
	Changes  []string       `json:"changes,omitempty"`
}

// Start begins to listen.
func (a *Admin) Start() error {
	l, err := socket.Listen(a.Address)
	if err != nil {
		return fmt.Errorf("start listener for operators: %w", err)
	}
	a.server = server.New(
		server.WithListener(l), server.WithDisablePrintRoute(true),
		server.WithMaxRequestBodySize(maxBody), server.WithExitWaitTime(closeWait),
	)
	h := a.server
	h.GET("/healthz", func(_ context.Context, c *app.RequestContext) { c.String(http.StatusOK, "ok\n") })
	h.GET("/metrics", adaptor.HertzHandler(promhttp.HandlerFor(a.Meter.Registry, promhttp.HandlerOpts{})))
	h.GET("/admin/state", a.guard(a.state))
	h.GET("/admin/members", a.guard(a.members))
	h.GET("/admin/config", a.guard(a.config))
	h.GET("/admin/endpoints", a.guard(a.endpoints))
	h.GET("/admin/explain", a.guard(a.explain))
	h.POST("/admin/check", a.guard(a.check))
	socket.Run(h, func(err error) { a.Log.Error().Err(err).Msg("listener for operators ended") })
	return nil
}

// Close ends the listener.
func (a *Admin) Close() error {
	if err := socket.Shutdown(a.server, 2*closeWait); err != nil {
		return fmt.Errorf("close listener for operators: %w", err)
	}
	return nil
}

type problem struct {
	Error string `json:"error"`
}

func (a *Admin) guard(next app.HandlerFunc) app.HandlerFunc {
	want := sha256.Sum256([]byte(a.Key))
	return func(ctx context.Context, c *app.RequestContext) {
		key := strings.TrimPrefix(string(c.GetHeader("Authorization")), "Bearer ")
		got := sha256.Sum256([]byte(key))
		if subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			c.JSON(http.StatusUnauthorized, problem{"admin key is not known"})
			return
		}
		next(ctx, c)
	}
}

func (a *Admin) state(_ context.Context, c *app.RequestContext) {
	s := State{
		Host: a.Board.Name, Region: a.Board.Region, Centre: a.Board.Centre,
		Ready: a.Board.Pulse.Ready(), Leaving: a.Board.Pulse.Leaving(), Open: a.Board.Pulse.Open(),
		Operations: a.Home.Len(), Pauses: a.Board.Pulse.Pauses(),
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
		out = append(out, rowOf(m, now))
	}
	c.JSON(http.StatusOK, out)
}

func rowOf(m member.Member, now time.Time) Member {
	row := Member{
		Name: m.Name, Region: m.Region, Address: m.Address, State: m.State.String(),
		Leaving: m.Leaving, Absent: m.Absent, Revision: m.Mark.Revision, Open: m.Open, HeardMS: -1,
	}
	if !m.Heard.IsZero() {
		row.HeardMS = now.Sub(m.Heard).Milliseconds()
	}
	return row
}

func (a *Admin) config(_ context.Context, c *app.RequestContext) {
	var out Config
	if f := a.Board.Revisions.Force(); f != nil {
		out = Config{
			Revision: f.Inventory.Revision, Digest: f.Inventory.Digest,
			SinceMS: a.Now().Sub(f.Since).Milliseconds(), Parts: len(f.Documents),
		}
	}
	if r := a.Board.Revisions.Rejected(); r != nil {
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
			Name: e.Name, Service: e.Service, Centre: e.Centre, Slots: e.Slots, Load: st.Load(now), Own: st.Own,
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
		c.JSON(http.StatusServiceUnavailable, problem{"host has no configuration"})
		return
	}
	caller, ok := inv.CallerByName(c.Query("caller"))
	if !ok {
		c.JSON(http.StatusNotFound, problem{"caller is not listed"})
		return
	}
	s, ok := inv.Service(c.Query("service"))
	if !ok {
		c.JSON(http.StatusNotFound, problem{"service is not listed"})
		return
	}
	c.JSON(http.StatusOK, a.Flow.Explain(a.Now(), caller, s))
}

func (a *Admin) check(_ context.Context, c *app.RequestContext) {
	inv, err := invent.Accept(1, []invent.Source{{Name: "inventory", Data: c.Request.Body()}})
	var rejected *invent.Rejected
	if errors.As(err, &rejected) {
		c.JSON(http.StatusOK, Check{Faults: rejected.Faults})
		return
	}
	if err != nil {
		c.JSON(http.StatusBadRequest, problem{err.Error()})
		return
	}
	c.JSON(http.StatusOK, Check{
		Accepted: true, Digest: inv.Digest, Changes: invent.Changes(a.Board.Revisions.Inventory(), inv),
	})
}
