// Package node assembles a host whose platform publishes its routes and lists
// its endpoints: the board, its controllers, the feeds and the listeners.
package node

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/base/ctrl"
	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/terms"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/certs"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/link"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/route/slow"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/carry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/edge"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/kept"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/relay"
)

const (
	workers     = 16
	mostRelayed = 2048
	relayIdle   = 10 * time.Second
	maxBody     = 16 << 20
	// linkAlive and linkIdle notice a link to another host that went silent before
	// a request uses it.
	linkAlive   = 2 * time.Second
	linkIdle    = 7 * time.Second
	drainPeriod = 20 * time.Millisecond
)

// Node is one host process.
type Node struct {
	settings setup.Hosted
	log      zerolog.Logger
	board    *board.Board
	meter    *meter.Meter
	link     *link.Link
	carrier  *carry.Carrier
	pool     *kept.Pool
	front    *edge.Front
	runner   *ctrl.Runner
	relays   *ants.Pool
	handlers link.Handlers
	feed     *feed.Feed
	now      func() time.Time
	started  time.Time
	shares   *slow.Table
	// believed is used by the members controller only.
	believed map[string]belief

	cancel   context.CancelFunc
	wait     sync.WaitGroup
	refusing atomic.Bool
	listed   atomic.Bool
}

// New makes a host; Start lets it serve.
func New(s setup.Hosted, t *terms.Terms, store *feed.Feed, log zerolog.Logger) (*Node, error) {
	now := time.Now
	set, err := keys(s, now(), log)
	if err != nil {
		return nil, fmt.Errorf("host %s: %w", s.Name, err)
	}
	l, err := link.New(s.Peers, set, link.WithKeepAlive(linkAlive, linkIdle))
	if err != nil {
		return nil, fmt.Errorf("host %s: %w", s.Name, err)
	}
	n := &Node{settings: s, log: log, link: l, meter: meter.New(), now: now, started: now(), pool: kept.NewPool(kept.WithNow(now))}
	n.board = board.New(now(), s.Peers, s.Region, s.Centre, 1)
	n.board.Members.Find(now(), member.Candidate{
		Name: s.Peers, Address: s.Peers, Region: s.Region, Centre: s.Centre, Callers: s.Callers,
	}, s.Seeds)
	if err := n.assemble(t, store); err != nil {
		_ = l.Close()
		return nil, fmt.Errorf("host %s: %w", s.Name, err)
	}
	return n, nil
}

// keys loads the host's keys, or makes those of a fleet without keys.
func keys(s setup.Hosted, now time.Time, log zerolog.Logger) (*certs.Set, error) {
	if s.Keys != "" {
		return certs.Load(s.Keys)
	}
	log.Warn().Msg("no keys are set: other hosts are not verified")
	return certs.NewOpen(s.Peers, now)
}

func (n *Node) assemble(t *terms.Terms, store *feed.Feed) error {
	var err error
	if n.runner, err = ctrl.New(workers, n.log); err != nil {
		return err
	}
	if n.relays, err = ants.NewPool(mostRelayed, ants.WithNonblocking(true), ants.WithExpiryDuration(relayIdle)); err != nil {
		return fmt.Errorf("relay pool: %w", err)
	}
	n.carrier = carry.New()
	n.carrier.Board, n.carrier.Meter, n.carrier.Link, n.carrier.Terms = n.board, n.meter, n.link, t
	n.carrier.Log, n.carrier.Now, n.carrier.Budget = n.log, n.now, n.budget()
	n.carrier.Client = &kept.Client{Pool: n.pool, Terms: t, Now: n.now}
	n.carrier.ColdShare = n.coldShare
	n.shares = slow.New(n.started, n.settings.Peers)
	n.carrier.Busy = func() { n.runner.Kick(takenName) }
	handler := &relay.Handler{
		Board: n.board, Meter: n.meter, Log: n.log, Pool: n.relays, MaxBody: maxBody, Now: n.now, Routed: n.routed,
		Items: n.itemsSince,
	}
	n.front = &edge.Front{
		Board: n.board, Carrier: n.carrier, Terms: t, Meter: n.meter, Log: n.log, Settings: n.settings, Now: n.now,
		Refusing: n.refusing.Load,
	}
	n.handlers = link.Handlers{
		Stream: handler.Stream,
		Packet: n.packet,
		Dropped: func(err error) {
			n.log.Debug().Err(err).Msg("datagram dropped")
		},
	}
	n.follow(store)
	return nil
}

// routed carries out a request that another region's host sent.
func (n *Node) routed(ctx context.Context, o *wire.Open, sink client.Sink) relay.Done {
	r := carry.Opened(o, n.now())
	r.Request.Away = n.board.Zones.Away(o.From)
	if r.Request.From == n.board.Region {
		return relay.Done{Refusal: fault.New(fault.BadRequest, fault.RanNo, "request of this region needs no relay")}
	}
	if !r.Request.Route.Allows(n.board.Region) {
		return relay.Done{Refusal: fault.New(fault.NoRegion, fault.RanNo, "region %s may not serve the request", n.board.Region)}
	}
	report := n.carrier.Carry(ctx, r, sink)
	n.log.Debug().Str("request", o.ID).Str("service", o.Service).Str("from", o.From).Str("endpoint", report.Endpoint).
		Int("tries", report.Tries).Dur("first", report.First).Msg("carried out for another region")
	return relay.Done{Refusal: report.Refusal, Sent: report.Sent, Answer: report.Answer}
}

// Start begins to serve. The host is ready once it knows routes and endpoints.
func (n *Node) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.controllers()
	n.runner.Start()
	n.link.Serve(n.handlers)
	n.wait.Go(func() { n.board.Pulse.Run(ctx, n.now, n.woken) })
	if err := n.front.Start(); err != nil {
		return fmt.Errorf("start host %s: %w", n.settings.Name, err)
	}
	n.wait.Go(func() { n.feed.Run(ctx) })
	n.log.Info().Str("callers", n.settings.Callers).Str("peers", n.settings.Peers).Str("region", n.settings.Region).
		Strs("seeds", n.settings.Seeds).Msg("host started")
	return nil
}

// woken makes beliefs from before a pause of the process suspect.
func (n *Node) woken() {
	n.meter.Pauses.Inc()
	n.log.Warn().Msg("process was paused; beliefs are refreshed")
	n.board.Endpoints.Doubt()
}

// budget bounds the repeats of this host by those of the whole fleet.
func (n *Node) budget() *retry.Windows {
	b := n.settings.Bounds
	return retry.NewWindows(retry.Bound{
		Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: time.Duration(b.RetryWindowS * float64(time.Second)),
	}, n.board.Members.Count)
}

// coldShare is this host's part of what a cold endpoint bears a second.
func (n *Node) coldShare(s *rules.Service, endpoint string) int {
	b := n.settings.Bounds
	return n.shares.Share(n.now(), endpoint, int(s.ColdRate*b.ColdOver+b.ColdSlack))
}

const (
	// takeTime is how long a leaving host still serves new requests, as callers
	// use their connections and old directory answers; the rest of the grace is
	// for those in flight.
	takeTime = 3 * time.Second
	// quietTime without a request ends a leaving host.
	quietTime = 700 * time.Millisecond
	// endMargin is kept of the grace for closing.
	endMargin = 1200 * time.Millisecond
)

// Drain lets the host leave: it is no longer ready, serves what still comes for
// a while, refuses what comes after, and ends what is in flight.
func (n *Node) Drain(ctx context.Context) {
	n.board.Pulse.Leave()
	n.setSelf()
	n.send(n.board.Members.Announce(true))
	n.log.Info().Int("open", n.board.Pulse.Open()).Msg("host is leaving")
	began := n.now()
	busy := began
	for ctx.Err() == nil {
		now := n.now()
		if n.board.Pulse.Open() > 0 {
			busy = now
		}
		took := now.Sub(began)
		if took > takeTime {
			n.refusing.Store(true)
		}
		if took > n.settings.Bounds.Grace()-endMargin || (took > takeTime && now.Sub(busy) > quietTime) {
			return
		}
		ctrl.Sleep(ctx, drainPeriod)
	}
}

// Close ends the host and waits for everything that it started.
func (n *Node) Close() error {
	err := n.front.Close()
	n.cancel()
	n.wait.Wait()
	n.runner.Close()
	n.board.Members.SetSelf(member.Self{Leaving: true, Gone: true})
	n.send(n.board.Members.Announce(true))
	n.pool.Close()
	err = errors.Join(err, n.link.Close())
	n.relays.Release()
	n.log.Info().Int("open", n.board.Pulse.Open()).Msg("host closed")
	if err != nil {
		return fmt.Errorf("close host %s: %w", n.settings.Name, err)
	}
	return nil
}
