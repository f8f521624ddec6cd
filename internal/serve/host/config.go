package host

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/ctrl"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/syncer"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/watch"
)

// isBehind reports whether the sender of a packet has a newer configuration than this
// host.
func (h *Host) isBehind(p wire.Packet) bool {
	return invent.Version{Revision: p.Revision, DigestPrefix: p.DigestPrefix}.Supersedes(h.board.Revisions.Version())
}

// syncFromPeers fetches the configuration of a peer host that has a newer one.
func (h *Host) syncFromPeers(ctx context.Context, _ time.Time) {
	inForce := h.board.Revisions.Version()
	ahead := h.board.Members.RandomUsable(2, func(m member.Member) bool { return m.Version.Supersedes(inForce) })
	for _, m := range ahead {
		done, err := h.syncer.SyncFromPeer(ctx, m.Name, m.Address)
		if err != nil {
			h.log.Debug().Err(err).Str("host", m.Name).Msg("configuration not fetched")
		}
		if done {
			return
		}
	}
}

// refreshState fetches the configuration and polls the endpoints after a pause of
// the process. One peer host or the platform has to answer.
func (h *Host) refreshState(ctx context.Context, _ time.Time) {
	if h.board.Revisions.Inventory() == nil {
		return
	}
	for _, m := range h.board.Members.RandomUsable(3, func(member.Member) bool { return true }) {
		if _, err := h.syncer.SyncFromPeer(ctx, m.Name, m.Address); err == nil {
			h.pollEndpoints(ctx, h.now())
			h.board.Health.MarkFresh()
			return
		}
	}
	if _, err := h.syncer.SyncFromPlatform(ctx, 0, 0); err == nil {
		h.pollEndpoints(ctx, h.now())
		h.board.Health.MarkFresh()
	}
}

// isWatcher reports whether this host is one of the hosts of its data centre that
// watch the platform.
func (h *Host) isWatcher() bool {
	inv := h.board.Revisions.Inventory()
	if inv == nil {
		return true
	}
	hosts := h.healthyHosts(inv, h.inCentre(h.board.Centre))
	return syncer.IsAssigned("watch/"+h.board.Centre, hosts, h.board.Name, watchersPerCentre)
}

// watchPlatform follows the platform's configuration service: by long polling if
// this host is a watcher, else by a poll about every slowPollPeriod.
func (h *Host) watchPlatform(ctx context.Context) {
	for ctx.Err() == nil {
		wait := time.Duration(0)
		if h.isWatcher() {
			wait = watchTimeout
		}
		_, err := h.syncer.SyncFromPlatform(ctx, h.seenRevision(), wait)
		switch {
		case err != nil && ctx.Err() == nil:
			h.log.Warn().Err(err).Msg("configuration not read from the platform")
			ctrl.Sleep(ctx, jitter(retryDelay))
		case wait == 0:
			h.waitForSlowPoll(ctx)
		}
	}
}

// seenRevision returns the highest revision that this host has put in force or
// rejected.
func (h *Host) seenRevision() uint64 {
	revision := h.board.Revisions.Revision()
	if r := h.board.Revisions.LastRejection(); r != nil {
		revision = max(revision, r.Revision)
	}
	return revision
}

// waitForSlowPoll returns when the next slow poll is due or the host has become a
// watcher.
func (h *Host) waitForSlowPoll(ctx context.Context) {
	next := h.now().Add(jitter(slowPollPeriod))
	for ctx.Err() == nil && h.now().Before(next) && !h.isWatcher() {
		ctrl.Sleep(ctx, retryDelay)
	}
}

// jitter returns a random duration between half of d and one and a half of it.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// readHostList applies the platform's host list. Only watchers read it; the other
// hosts of the region receive its leaving marks with the endpoint loads.
func (h *Host) readHostList(ctx context.Context, now time.Time) {
	if h.board.Revisions.Inventory() == nil || !h.isWatcher() {
		return
	}
	list, err := h.platform.Hosts(ctx)
	if err != nil {
		h.log.Debug().Err(err).Msg("host list not read from the platform")
		h.board.RenewLeavingMarks(now)
		return
	}
	listed, leaving := map[string]bool{}, map[string]bool{}
	var live []string
	for _, e := range list.Hosts {
		listed[e.Name] = true
		if e.State == watch.Leaving {
			leaving[e.Name] = true
			h.board.MarkLeaving(e.Name, now)
			continue
		}
		live = append(live, e.Name)
	}
	h.board.Members.ApplyHostList(listed, leaving)
	h.board.UnmarkLeaving(live)
}
