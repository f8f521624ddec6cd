package host

import (
	"context"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/ctrl"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
)

// The names of controllers that others may ask to run.
const (
	syncName    = "sync"
	refreshName = "refresh"
)

const (
	memberPeriod = 100 * time.Millisecond
	loadPeriod   = 500 * time.Millisecond
	pollPeriod   = 500 * time.Millisecond
	pollTimeout  = time.Second
	zonePeriod   = time.Second
	wakePeriod   = 50 * time.Millisecond
	rosterPeriod = time.Second
	syncPeriod   = time.Second
	never        = 24 * time.Hour

	// pollers is the number of hosts that poll each endpoint, watchers that of
	// hosts of a data centre that hold the watch.
	pollers  = 2
	watchers = 2

	watchWait = 10 * time.Second
	slowPoll  = 60 * time.Second
	failWait  = time.Second

	// packetOverhead is the size of the IP and UDP headers, in bytes.
	packetOverhead = 28

	loadTo = 3
	// loadsPacket and zonesPacket are what one packet holds.
	loadsPacket  = 64
	zonesPacket  = 60
	maxReportAge = 5 * time.Second
	reportBytes  = 64 << 10
)

func (h *Host) controllers() {
	add := func(name string, period time.Duration, step func(context.Context, time.Time)) {
		h.runner.Add(ctrl.Controller{Name: name, Period: period, Step: step})
	}
	add("members", memberPeriod, func(_ context.Context, now time.Time) {
		h.setSelf()
		h.send(h.board.Members.Tick(now))
	})
	add("loads", loadPeriod, h.shareLoads)
	add("polls", pollPeriod, h.poll)
	add("zones", zonePeriod, h.shareZones)
	add("queues", wakePeriod, func(context.Context, time.Time) { h.flow.WakeAll() })
	add("roster", rosterPeriod, h.roster)
	add(syncName, syncPeriod, h.sync)
	add(refreshName, never, h.refresh)
}

func (h *Host) setSelf() {
	open := h.board.Pulse.Open()
	h.meter.Open.Set(float64(open))
	h.board.Members.SetSelf(member.Self{
		Mark: h.board.Revisions.Mark(), Open: open, Leaving: h.board.Pulse.Leaving(),
	})
}

func (h *Host) send(list []member.Out) {
	for _, o := range list {
		n, err := h.link.Send(o.Address, o.Packet)
		if err != nil {
			h.log.Debug().Err(err).Str("host", o.Host).Msg("datagram not sent")
			continue
		}
		h.meter.Sent(n)
		h.sent.Add(int64(n + packetOverhead))
	}
}

// compare warns where the inventory does not list this host as its settings say:
// the others would then take nothing from it.
func (h *Host) compare() {
	inv := h.board.Revisions.Inventory()
	o, ok := inv.Host(h.settings.Name)
	switch {
	case !ok:
		h.log.Error().Msg("inventory does not list this host")
	case o.Centre != h.settings.Centre || inv.RegionOf(o.Centre) != h.settings.Region:
		h.log.Error().Str("centre", o.Centre).Str("region", inv.RegionOf(o.Centre)).
			Msg("inventory lists this host at another place than its settings")
	}
}

// changed tells a few hosts at once that a configuration came into force here.
func (h *Host) changed() {
	h.compare()
	h.setSelf()
	h.send(h.board.Members.Announce(false))
}

// peersOf returns the usable hosts of a region or a data centre, this one included.
func (h *Host) peersOf(inv *invent.Inventory, match func(invent.Host) bool) []string {
	names := []string{h.board.Name}
	for _, m := range h.board.Members.Members() {
		host, ok := inv.Host(m.Name)
		if ok && m.Sound() && match(host) {
			names = append(names, m.Name)
		}
	}
	return names
}

func (h *Host) inCentre(c string) func(invent.Host) bool {
	return func(o invent.Host) bool { return o.Centre == c }
}

func (h *Host) inRegion(inv *invent.Inventory) func(invent.Host) bool {
	return func(o invent.Host) bool { return inv.RegionOf(o.Centre) == h.board.Region }
}

// failedPolls is the number of polls in a row after which an endpoint counts as failing.
const failedPolls = 2
