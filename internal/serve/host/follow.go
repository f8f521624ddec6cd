package host

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/ctrl"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/spread"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/watch"
)

func (h *Host) behind(p wire.Packet) bool {
	return invent.Mark{Revision: p.Revision, Sum: p.Sum}.Above(h.board.Revisions.Mark())
}

// sync fetches the configuration of a host that has a higher one.
func (h *Host) sync(ctx context.Context, _ time.Time) {
	own := h.board.Revisions.Mark()
	ahead := h.board.Members.Random(2, func(m member.Member) bool { return m.Mark.Above(own) })
	for _, m := range ahead {
		done, err := h.syncer.FromPeer(ctx, m.Name, m.Address)
		if err != nil {
			h.log.Debug().Err(err).Str("host", m.Name).Msg("configuration not fetched")
		}
		if done {
			return
		}
	}
}

// refresh gets a fresh view after a pause: one other host or the platform
// has to answer.
func (h *Host) refresh(ctx context.Context, _ time.Time) {
	if h.board.Revisions.Inventory() == nil {
		return
	}
	for _, m := range h.board.Members.Random(3, func(member.Member) bool { return true }) {
		if _, err := h.syncer.FromPeer(ctx, m.Name, m.Address); err == nil {
			h.poll(ctx, h.now())
			h.board.Pulse.Refreshed()
			return
		}
	}
	if _, err := h.syncer.FromPlatform(ctx, 0, 0); err == nil {
		h.poll(ctx, h.now())
		h.board.Pulse.Refreshed()
	}
}

// holdsWatch reports whether this host is one of those of its data centre that
// watch the platform.
func (h *Host) holdsWatch() bool {
	inv := h.board.Revisions.Inventory()
	if inv == nil {
		return true
	}
	hosts := h.peersOf(inv, h.inCentre(h.board.Centre))
	return spread.Holds("watch/"+h.board.Centre, hosts, h.board.Name, watchers)
}

// watch follows the configuration service: with a held watch where this host is
// one of its data centre's watchers, else with a slow poll.
func (h *Host) watch(ctx context.Context) {
	for ctx.Err() == nil {
		wait := time.Duration(0)
		if h.holdsWatch() {
			wait = watchWait
		}
		_, err := h.syncer.FromPlatform(ctx, h.seen(), wait)
		switch {
		case err != nil && ctx.Err() == nil:
			h.log.Warn().Err(err).Msg("configuration service")
			ctrl.Sleep(ctx, jitter(failWait))
		case wait == 0:
			h.idle(ctx)
		}
	}
}

// seen returns the highest revision that needs no further look.
func (h *Host) seen() uint64 {
	seen := h.board.Revisions.Revision()
	if r := h.board.Revisions.Rejected(); r != nil {
		seen = max(seen, r.Revision)
	}
	return seen
}

// idle waits for the next slow poll, or until the host becomes a watcher.
func (h *Host) idle(ctx context.Context) {
	until := h.now().Add(jitter(slowPoll))
	for ctx.Err() == nil && h.now().Before(until) && !h.holdsWatch() {
		ctrl.Sleep(ctx, failWait)
	}
}

// jitter returns a time between half and one and a half of d.
func jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(rand.Int64N(int64(d)))
}

// roster reads the host list, on the watchers only; marks reach the other hosts
// of the region with the loads.
func (h *Host) roster(ctx context.Context, now time.Time) {
	if h.board.Revisions.Inventory() == nil || !h.holdsWatch() {
		return
	}
	list, err := h.platform.Hosts(ctx)
	if err != nil {
		h.log.Debug().Err(err).Msg("host list")
		h.board.RenewMarks(now)
		return
	}
	listed, leaving := map[string]bool{}, map[string]bool{}
	var back []string
	for _, e := range list.Hosts {
		listed[e.Name] = true
		if e.State == watch.Leaving {
			leaving[e.Name] = true
			h.board.Mark(e.Name, now)
			continue
		}
		back = append(back, e.Name)
	}
	h.board.Members.SetAbsent(listed, leaving)
	h.board.Unmark(back)
}
