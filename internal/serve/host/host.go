// Package host assembles a host process that reads its inventory from the
// platform's configuration service: the board, its controllers and the listeners.
package host

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
	"github.com/hyssopspindle/hyssopspindle/internal/base/memory"
	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/certs"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/link"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/syncer"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/admin"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/watch"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/dedup"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/flow"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/front"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/held"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/relay"
)

const (
	controllerWorkers = 64
	relayWorkerIdle   = 30 * time.Second
	bootRetryPeriod   = 100 * time.Millisecond
	drainPollPeriod   = 20 * time.Millisecond
	// minDrainTime is the minimum drain time, for requests that were sent before peer
	// hosts learned that this host is leaving.
	minDrainTime = time.Second
	// closeDelay lets the last answers reach their callers before the connections
	// close.
	closeDelay = 500 * time.Millisecond
	// maxHeld bounds the bytes of answers that a host with enough memory keeps, unless a single answer
	// may be larger.
	maxHeld = 256 << 20
)

// Host is one host process.
type Host struct {
	settings setup.Settings
	log      zerolog.Logger
	board    *board.Board
	meter    *meter.Meter
	link     *link.Link
	flow     *flow.Flow
	syncer   *syncer.Syncer
	front    *front.Front
	admin    *admin.Admin
	home     *dedup.Home
	runner   *ctrl.Runner
	relays   *ants.Pool
	platform watch.Platform
	handlers link.Handlers
	now      func() time.Time

	cancel       context.CancelFunc
	wg           sync.WaitGroup
	pollFailures pollFailures
	sentBytes    atomic.Int64
	started      time.Time
	// machine is the machine of the host, bodies the account of the bodies of requests.
	machine memory.Machine
	bodies  *memory.Account
	// held is the account of the answers that the host keeps.
	held *held.Account
}

// New returns a host, which serves once Start has run.
func New(s setup.Settings, log zerolog.Logger) (*Host, error) {
	creds, err := certs.Load(s.Keys)
	if err != nil {
		return nil, fmt.Errorf("host %s: %w", s.Name, err)
	}
	l, err := link.New(s.Peers, creds)
	if err != nil {
		return nil, fmt.Errorf("host %s: %w", s.Name, err)
	}
	h := &Host{
		settings: s, log: log, link: l, meter: meter.New(), now: time.Now, started: time.Now(),
		platform: watch.Platform{Address: s.Platform},
	}
	if h.machine, err = memory.NewMachine(s.Machine); err != nil {
		return nil, errors.Join(fmt.Errorf("host %s: %w", s.Name, err), l.Close())
	}
	h.bodies = memory.NewAccount(h.machine.BodyBytes(),
		memory.WithLevel(func(bytes int) { h.meter.BodyBytes.Set(float64(bytes)) }), memory.WithRefused(h.bodyRefused))
	h.board = board.New(h.started, s.Name, s.Region, s.Centre, s.Limits.OpenCaller)
	limit := h.machine.AnswerBytes(max(maxHeld, s.Limits.Answer))
	// One endpoint may send the largest answer, or many at a time.
	h.held = held.New(limit, max(limit/2, min(limit, s.Limits.Answer)), func(bytes int) { h.meter.HeldBytes.Set(float64(bytes)) })
	h.flow = flow.New(h.board, h.meter, l, flow.WithMaxAnswer(s.Limits.Answer), flow.WithNow(h.now), flow.WithHeld(h.held), flow.WithLog(log))
	h.home = dedup.NewHome(s.Limits.Operations)
	if err := h.assemble(creds); err != nil {
		_ = l.Close()
		return nil, fmt.Errorf("host %s: %w", s.Name, err)
	}
	return h, nil
}

// bodyRefused counts and logs a body for which there was no room.
func (h *Host) bodyRefused(client string, bytes int) {
	h.meter.RefusedBodies.Inc()
	h.log.Info().Str("client", client).Int("bytes", bytes).Int("limit", h.machine.BodyBytes()).Msg("no room for the body of a request")
}

func (h *Host) assemble(creds *certs.Credentials) error {
	var err error
	if h.runner, err = ctrl.New(controllerWorkers, h.log); err != nil {
		return err
	}
	h.relays, err = ants.NewPool(h.machine.RelayedRequests(h.settings.Limits.Open), ants.WithNonblocking(true), ants.WithExpiryDuration(relayWorkerIdle))
	if err != nil {
		return fmt.Errorf("relay pool: %w", err)
	}
	signer := dedup.NewSigner(creds.FleetKey)
	h.syncer = &syncer.Syncer{
		Board: h.board, Link: h.link, Meter: h.meter, Platform: h.platform, Log: h.log, Now: h.now,
		OnChange: h.configChanged,
	}
	handler := &relay.Handler{
		Board: h.board, Flow: h.flow, Signer: signer,
		Guard: &dedup.Guard{
			Home: h.home, Now: h.now, Enter: h.board.Health.Enter, Exit: h.board.Health.Exit, Retried: h.meter.DedupHits.Inc, Held: h.held,
		},
		Meter: h.meter, Log: h.log, Pool: h.relays, MaxBody: h.settings.Limits.Body, Bodies: h.bodies, Held: h.held, Now: h.now,
		OnNewerRevision: func(string) { h.runner.Trigger(syncName) },
	}
	h.front = &front.Front{
		Board: h.board, Flow: h.flow, Relay: handler, Signer: signer, Meter: h.meter, Log: h.log,
		Settings: h.settings, Now: h.now, Machine: h.machine, Bodies: h.bodies, Held: h.held,
	}
	h.admin = &admin.Admin{
		Board: h.board, Flow: h.flow, Home: h.home, Meter: h.meter, Log: h.log,
		Address: h.settings.Admin, Key: h.settings.AdminKey, Started: h.started, Now: h.now,
		Machine: h.machine, Bodies: h.bodies,
	}
	h.handlers = link.Handlers{
		Stream: handler.Stream,
		Packet: h.receivePacket,
		Rejected: func(err error) {
			h.log.Debug().Err(err).Msg("datagram dropped")
		},
	}
	return nil
}

// Start starts the listeners and controllers. The host becomes ready once it has
// a configuration.
func (h *Host) Start() error {
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	h.addControllers()
	h.runner.Start()
	h.link.Serve(h.handlers)
	h.wg.Go(func() { h.board.Health.Run(ctx, h.now, h.afterPause) })
	h.wg.Go(func() { h.boot(ctx) })
	if err := h.admin.Start(); err != nil {
		return fmt.Errorf("start host %s: %w", h.settings.Name, err)
	}
	if err := h.front.Start(); err != nil {
		return fmt.Errorf("start host %s: %w", h.settings.Name, err)
	}
	h.log.Info().Str("host", h.settings.Name).Str("callers", h.settings.Callers).
		Str("admin", h.settings.Admin).Str("peers", h.settings.Peers).Msg("host started")
	return nil
}

// SentBytes returns the bytes of all datagrams that the host has sent, with IP and UDP
// headers.
func (h *Host) SentBytes() float64 { return float64(h.sentBytes.Load()) }

// Board returns the state that the host's controllers share.
func (h *Host) Board() *board.Board { return h.board }

// afterPause marks the endpoints' load reports as stale after a pause of the
// process and starts refreshState.
func (h *Host) afterPause() {
	h.meter.Pauses.Inc()
	h.log.Warn().Msg("process was paused; refreshing configuration and load reports")
	h.board.Endpoints.ExpireReports()
	h.runner.Trigger(refreshName)
}

// boot fetches the first configuration from the platform and the neighbours in the
// settings, sets the host ready and then watches the platform until ctx ends.
func (h *Host) boot(ctx context.Context) {
	for ctx.Err() == nil {
		if _, err := h.syncer.SyncFromPlatform(ctx, 0, 0); err != nil {
			h.log.Warn().Err(err).Msg("configuration not read from the platform")
		}
		for _, n := range h.settings.Neighbours {
			if _, err := h.syncer.SyncFromPeer(ctx, n.Name, n.Address); err != nil {
				h.log.Warn().Err(err).Str("neighbour", n.Name).Msg("configuration not fetched from neighbour")
			}
		}
		if h.board.Revisions.Inventory() != nil {
			break
		}
		ctrl.Sleep(ctx, bootRetryPeriod)
	}
	if ctx.Err() != nil {
		return
	}
	h.fetchFromPeers(ctx)
	h.board.Health.SetReady()
	h.log.Info().Uint64("revision", h.board.Revisions.Revision()).Msg("host ready")
	h.watchPlatform(ctx)
}

// fetchFromPeers fetches the configuration of a few peer hosts before the host is
// ready, because the configuration service may return an older one.
func (h *Host) fetchFromPeers(ctx context.Context) {
	const peerCount = 3
	inv := h.board.Revisions.Inventory()
	var names []string
	for _, o := range inv.Hosts() {
		if o.Name != h.board.Name {
			names = append(names, o.Name)
		}
	}
	var wait sync.WaitGroup
	for _, name := range syncer.AssignedHosts(h.board.Name, names, peerCount) {
		o, _ := inv.Host(name)
		wait.Go(func() {
			if _, err := h.syncer.SyncFromPeer(ctx, o.Name, o.Peers); err != nil {
				h.log.Debug().Err(err).Str("neighbour", o.Name).Msg("configuration not fetched from peer host")
			}
		})
	}
	wait.Wait()
}

// receivePacket applies one datagram of a peer host, of size bytes.
func (h *Host) receivePacket(p wire.Packet, size int) {
	h.meter.AddReceivedBytes(size)
	now := h.now()
	h.sendPackets(h.board.Members.Receive(now, p))
	if m, ok := h.board.Members.Member(p.From); ok {
		h.board.Remotes.MarkSeen(now, m.Region)
	}
	h.receiveLoads(now, p)
	if h.isBehind(p) {
		h.runner.Trigger(syncName)
	}
}

// Drain prepares the host for Close: it refuses new requests and waits until none is
// in flight. It returns false if the drain timeout ends first.
func (h *Host) Drain(ctx context.Context) bool {
	h.board.Health.SetLeaving()
	h.updateSelf()
	h.sendPackets(h.board.Members.Announce(true))
	h.log.Info().Int("open", h.board.Health.InFlight()).Msg("host is draining")
	ctx, cancel := context.WithTimeout(ctx, h.settings.Limits.DrainTimeout())
	defer cancel()
	ctrl.Sleep(ctx, minDrainTime)
	// A request that has begun to arrive gets an answer, which states that it has not run.
	for h.board.Health.InFlight() > 0 || h.front.OpenRequests() > 0 {
		if ctx.Err() != nil {
			return false
		}
		ctrl.Sleep(ctx, drainPollPeriod)
	}
	ctrl.Sleep(ctx, closeDelay)
	return true
}

// Close stops the host and waits until all its goroutines have ended.
func (h *Host) Close() error {
	err := h.front.Close()
	err = errors.Join(err, h.admin.Close())
	h.cancel()
	h.wg.Wait()
	h.runner.Close()
	h.board.Members.SetSelf(member.Self{Version: h.board.Revisions.Version(), Leaving: true, Exiting: true})
	h.sendPackets(h.board.Members.Announce(true))
	err = errors.Join(err, h.link.Close())
	h.relays.Release()
	if err != nil {
		return fmt.Errorf("close host %s: %w", h.settings.Name, err)
	}
	h.log.Info().Msg("host closed")
	return nil
}
