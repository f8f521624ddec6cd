// Package node assembles a host process that reads its routes and endpoints from
// the platform's store: the board, its controllers, the feed and the listeners.
package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/panjf2000/ants/v2"
	"github.com/rs/zerolog"
	"golang.org/x/sync/singleflight"

	"github.com/hyssopspindle/hyssopspindle/internal/base/clock"
	"github.com/hyssopspindle/hyssopspindle/internal/base/ctrl"
	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/base/memory"
	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/board/poison"
	"github.com/hyssopspindle/hyssopspindle/internal/board/proof"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/terms"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/certs"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/link"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
	"github.com/hyssopspindle/hyssopspindle/internal/route/quota"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/route/usage"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/edge"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/held"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/pool"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/proxy"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/relay"
)

const (
	controllerWorkers  = 16
	maxRelayedRequests = 2048
	relayWorkerIdle    = 10 * time.Second
	maxBodyBytes       = 16 << 20
	// linkKeepAlive and linkMaxSilence detect a dead link to a peer host before a request
	// uses it.
	linkKeepAlive  = 2 * time.Second
	linkMaxSilence = 7 * time.Second
	// linkIdleTimeout is how long the streams of a silent link are kept, as its peer may only
	// be paused.
	linkIdleTimeout = 20 * time.Second
	drainPollPeriod = 20 * time.Millisecond
)

// Node is one host process.
type Node struct {
	settings setup.Hosted
	log      zerolog.Logger
	board    *board.Board
	meter    *meter.Meter
	link     *link.Link
	proxy    *proxy.Proxy
	pool     *pool.Pool
	front    *edge.Server
	runner   *ctrl.Runner
	relays   *ants.Pool
	handlers link.Handlers
	feed     *feed.Feed
	now      func() time.Time
	// boot returns the time since the machine started.
	boot    func() time.Duration
	started time.Time
	// bootedAt is when the process started, contactAt when it first received a packet of a peer host that has
	// rules in force, 0 until then; both by boot.
	bootedAt  time.Duration
	contactAt atomic.Int64
	// behindSince is when the rules in force were first known not to be the newest, by boot, 0 if
	// they are.
	behindSince atomic.Int64
	// confirming counts the requests that wait for a confirmation.
	confirming atomic.Int32
	// keysRefused reports whether keys were refused for want of a confirmation when that was last
	// logged.
	keysRefused atomic.Bool
	// proofQuestions is only used by the controller that asks for confirmations.
	proofQuestions proofQuestions
	shares         *quota.Table
	usage          *usage.Table
	// usageLogged and usageSilent are the time and the number of silent hosts of the last log line.
	// Only the controller of shareUsage uses them.
	usageLogged time.Time
	usageSilent int
	// loggedMembers is the last logged status of each peer host. Only the members
	// controller uses it.
	loggedMembers map[string]memberStatus
	// loggedQuarantine holds the keys of parts and requests that were last logged as quarantined. Only the
	// controller of sharePoison uses it.
	loggedQuarantine map[poison.Key]bool

	// ahead is the host that announced changes of the store that this host lacks, nil if
	// none did since the last fetch.
	ahead atomic.Pointer[member.Member]
	// assignedFor is the count of member changes that the current duties were assigned for.
	assignedFor atomic.Uint64
	// listedAt is the ordered revision of the last listing. Only the feed uses it.
	listedAt        uint64
	heldEvacuations heldEvacuations
	// warnedItems bounds the warnings of items that can't be decoded.
	warnedItems warnedKeys
	// rulesMu makes the rules in force and rulesItem, their item of the store, change together:
	// the feed and the answer of a peer host may bring rules at the same time.
	rulesMu   sync.Mutex
	rulesItem atomic.Pointer[wire.Item]
	// learned reports whether a peer host has reported what the store may have lost, or none is
	// asked any more.
	learned atomic.Bool
	// machine is the machine of the host, bodies the account of the bodies of requests.
	machine memory.Machine
	bodies  *memory.Account
	// held is the account of the answers that the host keeps.
	held *held.Account
	// warmChecks shares the health checks that requests wait for.
	warmChecks singleflight.Group
	// coldChecks and restartChecks are only used by their controller.
	coldChecks    coldChecks
	restartChecks restartChecks
	contact       contact
	// loggedShares is the last logged share of each endpoint that may be cold. Only the controller
	// of logShares uses it.
	loggedShares map[string]loggedShare

	// announcedLoad reports whether the last announced load was not empty. Only the
	// controller inFlightName uses it.
	announcedLoad bool

	releaseReads releaseReads
	// historyAt is when the store's history was last read. Only the goroutine of releaseReads uses it.
	historyAt time.Time

	cancel      context.CancelFunc
	wg          sync.WaitGroup
	refusing    atomic.Bool
	storeListed atomic.Bool
	// needsPeers reports whether peer hosts may hold more than the last listing: it named an era, or
	// was that of a peer host.
	needsPeers atomic.Bool
}

// Option configures a host.
type Option func(*options)

type options struct {
	pool []pool.Option
	boot func() time.Duration
}

// WithBootClock sets the clock by which confirmations of the rules age.
func WithBootClock(boot func() time.Duration) Option {
	return func(o *options) { o.boot = boot }
}

// WithEndpointDial sets the function that opens a connection to an endpoint.
func WithEndpointDial(dial func(ctx context.Context, address string) (net.Conn, error)) Option {
	return func(o *options) { o.pool = append(o.pool, pool.WithDial(dial)) }
}

// New returns a host, which serves once Start has run.
func New(s setup.Hosted, t *terms.Terms, store *feed.Feed, log zerolog.Logger, opts ...Option) (*Node, error) {
	now := time.Now
	o := options{boot: clock.Boot}
	for _, opt := range opts {
		opt(&o)
	}
	creds, err := loadCredentials(s, now(), log)
	if err != nil {
		return nil, fmt.Errorf("host %s: %w", s.Name, err)
	}
	l, err := link.New(s.Peers, creds, link.WithKeepAlive(linkKeepAlive, linkMaxSilence, linkIdleTimeout))
	if err != nil {
		return nil, fmt.Errorf("host %s: %w", s.Name, err)
	}
	n := &Node{settings: s, log: log, link: l, meter: meter.New(), now: now, boot: o.boot, bootedAt: o.boot(), started: now(), releaseReads: releaseReads{wake: make(chan struct{}, 1)}, restartChecks: restartChecks{}}
	if n.machine, err = memory.NewMachine(s.Machine); err != nil {
		return nil, errors.Join(fmt.Errorf("host %s: %w", s.Name, err), l.Close())
	}
	n.bodies = memory.NewAccount(n.machine.BodyBytes(),
		memory.WithLevel(func(bytes int) { n.meter.BodyBytes.Set(float64(bytes)) }), memory.WithRefused(n.bodyRefused))
	maxHeld := n.machine.AnswerBytes(proxy.MaxHeld)
	n.held = held.New(maxHeld, min(maxHeld, proxy.MaxAnswer), func(bytes int) { n.meter.HeldBytes.Set(float64(bytes)) })
	n.pool = pool.New(append(o.pool, pool.WithNow(now), pool.WithHeld(n.held), pool.WithLimit(n.machine.EndpointConns(), n.connRefused))...)
	n.board = board.New(now(), s.Peers, s.Region, s.Centre, 1)
	n.board.Proof = proof.NewTable(proof.Life(s.Bounds.RevokePeriod()))
	n.board.Members.EnableDiscovery(now(), member.Candidate{
		Name: s.Peers, Address: s.Peers, Region: s.Region, Centre: s.Centre, Callers: s.Callers, Cores: s.Machine.Capacity(),
	}, s.Seeds)
	if err := n.assemble(t, store); err != nil {
		_ = l.Close()
		return nil, fmt.Errorf("host %s: %w", s.Name, err)
	}
	return n, nil
}

// loadCredentials loads the host's credentials. Without a key folder in the settings
// it creates some that peer hosts do not verify.
func loadCredentials(s setup.Hosted, now time.Time, log zerolog.Logger) (*certs.Credentials, error) {
	if s.Keys != "" {
		return certs.Load(s.Keys)
	}
	log.Warn().Msg("no keys are set: peer hosts are not authenticated")
	return certs.NewInsecure(s.Peers, now)
}

func (n *Node) assemble(t *terms.Terms, store *feed.Feed) error {
	var err error
	if n.runner, err = ctrl.New(controllerWorkers, n.log); err != nil {
		return err
	}
	if n.relays, err = ants.NewPool(maxRelayedRequests, ants.WithNonblocking(true), ants.WithExpiryDuration(relayWorkerIdle)); err != nil {
		return fmt.Errorf("relay pool: %w", err)
	}
	n.proxy = proxy.New()
	n.proxy.Board, n.proxy.Meter, n.proxy.Link, n.proxy.Terms = n.board, n.meter, n.link, t
	n.proxy.Log, n.proxy.Now, n.proxy.Budget = n.log, n.now, n.retryBudget()
	n.proxy.Client = &pool.Client{Pool: n.pool, Terms: t, Now: n.now}
	n.proxy.CheckWarm = n.checkWarm
	n.proxy.ColdShare, n.proxy.Split = n.coldRateShare, n.splitView
	n.proxy.LimitShare = func(endpoint string, perSecond float64) (int, time.Duration) {
		return n.shares.Pace(n.now(), endpoint, perSecond)
	}
	n.proxy.RoomShare = n.roomShare
	n.shares = quota.New(n.started, quota.Host{Name: n.settings.Peers, Cores: n.settings.Machine.Capacity()})
	n.usage = n.newUsage()
	n.proxy.Usage, n.proxy.Held = n.usage, n.held
	n.proxy.AskOrigin, n.proxy.StoreAge = n.askOrigin, n.storeAge
	n.proxy.ReadReleases, n.proxy.VerifyEndpoint = n.readReleases, n.verifyEndpoint
	n.proxy.KeysValid = n.keysValid
	n.proxy.OnNews = func() { n.runner.Trigger(inFlightName) }
	handler := &relay.Handler{
		Board: n.board, Meter: n.meter, Log: n.log, Pool: n.relays, MaxBody: maxBodyBytes, Now: n.now, ServeRouted: n.serveRelayed,
		StoreChanges: n.itemsSince, Bodies: n.bodies, Held: n.held,
	}
	n.front = &edge.Server{
		Board: n.board, Proxy: n.proxy, Terms: t, Meter: n.meter, Log: n.log, Settings: n.settings, Now: n.now,
		Machine: n.machine, Bodies: n.bodies, Held: n.held, Refusing: n.refusing.Load, Keys: edge.Keys{Valid: n.keysValid, Age: n.rulesAge, Refresh: n.refreshRules, Confirm: n.confirmNow},
	}
	n.handlers = link.Handlers{
		Stream: handler.Stream,
		Packet: n.receivePacket,
		Rejected: func(err error) {
			n.log.Debug().Err(err).Msg("datagram dropped")
		},
	}
	n.setUpFeed(store)
	return nil
}

// serveRelayed serves a request that a host of a remote region relayed, or a host of this
// region that can't reach its endpoints.
func (n *Node) serveRelayed(ctx context.Context, o *wire.Request, sink client.Sink) relay.Result {
	r := proxy.NewRelayed(o, n.now())
	if o.EntryRegion != n.board.Region {
		r.Request.RelayRoundTrip = n.board.Remotes.RoundTrip(o.EntryRegion)
	}
	if !r.Request.Route.Allows(n.board.Region) {
		return relay.Result{Refusal: fault.New(fault.NoRegion, fault.RanNo, "region %s may not serve the request", n.board.Region)}
	}
	report := n.proxy.ServeRelayed(ctx, r, sink)
	n.log.Debug().Str("request", o.ID).Str("service", o.Service).Str("from", o.EntryRegion).Str("endpoint", report.Endpoint).
		Int("tries", report.Attempts).Dur("first", report.TimeToFirstByte).Msg("relayed request finished")
	return relay.Result{Refusal: report.Refusal, Sent: report.Sent, Runs: report.Runs, ErrorAnswer: report.ErrorAnswer}
}

// Start starts the listeners and controllers. The host becomes ready once it has
// read routes and endpoints.
func (n *Node) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	n.addControllers()
	n.runner.Start()
	n.link.Serve(n.handlers)
	n.wg.Go(func() { n.board.Health.Run(ctx, n.now, n.afterPause) })
	if err := n.front.Start(); err != nil {
		return fmt.Errorf("start host %s: %w", n.settings.Name, err)
	}
	n.wg.Go(func() { n.feed.Run(ctx) })
	n.wg.Go(func() {
		n.releaseReads.run(ctx, func(ctx context.Context, since time.Time) bool { return n.readReleasesOnce(ctx, n.now(), since) })
	})
	n.log.Info().Str("callers", n.settings.Callers).Str("peers", n.settings.Peers).Str("region", n.settings.Region).
		Strs("seeds", n.settings.Seeds).Msg("host started")
	return nil
}

// afterPause marks the endpoints' load reports as stale after a pause of the
// process.
func (n *Node) afterPause() {
	n.meter.Pauses.Inc()
	n.log.Warn().Msg("process was paused; load reports are marked stale")
	n.board.Endpoints.ExpireReports()
	n.feed.Distrust()
}

// retryBudget returns the budget that bounds this host's retries, so that those of
// the whole fleet stay within the bound of the settings.
func (n *Node) retryBudget() *retry.FleetBudget {
	b := n.settings.Bounds
	return retry.NewFleetBudget(retry.Bound{
		Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: time.Duration(b.RetryWindowS * float64(time.Second)),
	}, n.board.Members.FleetSize)
}

// coldRateShare returns this host's share of the rate limit of a cold endpoint, in
// requests per second.
func (n *Node) coldRateShare(s *rules.Service, endpoint string) int {
	b := n.settings.Bounds
	return n.shares.Share(n.now(), endpoint, int(s.ColdRate*b.ColdOver+b.ColdSlack))
}

// bodyRefused counts a body for which there was no room, and logs some of them.
func (n *Node) bodyRefused(client string, bytes int) {
	n.meter.RefusedBodies.Inc()
	if n.warnedItems.due(n.now(), "bodies") {
		n.log.Warn().Str("client", client).Int("bytes", bytes).Int("limit", n.machine.BodyBytes()).Msg("no room for the body of a request")
	}
}

// connRefused counts an attempt for whose connection there was no room, and logs some of them.
func (n *Node) connRefused(service string) {
	n.meter.RefusedAttempts.Inc()
	if n.warnedItems.due(n.now(), "connections") {
		n.log.Warn().Str("service", service).Int("limit", n.machine.EndpointConns()).Msg("no room for a connection to an endpoint")
	}
}

// Close stops the host and waits until all its goroutines have ended.
func (n *Node) Close() error {
	err := n.front.Close()
	n.cancel()
	n.wg.Wait()
	n.runner.Close()
	n.board.Members.SetSelf(member.Self{Leaving: true, Exiting: true})
	n.sendPackets(n.board.Members.Announce(true))
	n.pool.Close()
	err = errors.Join(err, n.link.Close())
	n.relays.Release()
	n.log.Info().Int("open", n.board.Health.InFlight()).Msg("host closed")
	if err != nil {
		return fmt.Errorf("close host %s: %w", n.settings.Name, err)
	}
	return nil
}
