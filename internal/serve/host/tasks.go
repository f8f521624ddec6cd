package host

import (
	"context"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/ctrl"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
)

// The controllers that are also triggered between their periods.
const (
	syncName    = "sync"
	refreshName = "refresh"
)

const (
	memberPeriod      = 100 * time.Millisecond
	loadPeriod        = 500 * time.Millisecond
	pollPeriod        = 500 * time.Millisecond
	pollTimeout       = time.Second
	serviceLoadPeriod = time.Second
	queueWakePeriod   = 50 * time.Millisecond
	hostListPeriod    = time.Second
	syncPeriod        = time.Second
	// onDemandPeriod is so long that a controller in effect runs only when triggered.
	onDemandPeriod = 24 * time.Hour

	// pollersPerEndpoint is the number of hosts of a region that poll each of its
	// endpoints, watchersPerCentre the number of hosts of a data centre that watch the
	// platform.
	pollersPerEndpoint = 2
	watchersPerCentre  = 2

	// watchTimeout is how long the platform waits for a change, at most, before it
	// answers a long poll.
	watchTimeout   = 10 * time.Second
	slowPollPeriod = 60 * time.Second
	retryDelay     = time.Second

	// packetOverhead is the size of the IP and UDP headers, in bytes.
	packetOverhead = 28

	// loadFanout is the number of hosts of the local region that get the loads in
	// one period.
	loadFanout = 3
	// maxPacketEndpointLoads and maxPacketServiceLoads bound the entries of one packet.
	maxPacketEndpointLoads = 64
	maxPacketServiceLoads  = 60
	maxReportAge           = 5 * time.Second
	maxReportBytes         = 64 << 10
)

func (h *Host) addControllers() {
	add := func(name string, period time.Duration, step func(context.Context, time.Time)) {
		h.runner.Add(ctrl.Controller{Name: name, Period: period, Step: step})
	}
	add("members", memberPeriod, func(_ context.Context, now time.Time) {
		h.updateSelf()
		h.sendPackets(h.board.Members.Tick(now))
	})
	add("loads", loadPeriod, h.shareLoads)
	add("polls", pollPeriod, h.pollEndpoints)
	add("zones", serviceLoadPeriod, h.shareServiceLoads)
	add("queues", queueWakePeriod, func(context.Context, time.Time) { h.flow.WakeAll() })
	add("roster", hostListPeriod, h.readHostList)
	add(syncName, syncPeriod, h.syncFromPeers)
	add(refreshName, onDemandPeriod, h.refreshState)
}

// updateSelf refreshes the status of this host that its packets carry.
func (h *Host) updateSelf() {
	inFlight := h.board.Health.InFlight()
	h.meter.InFlight.Set(float64(inFlight))
	h.board.Members.SetSelf(member.Self{
		Version: h.board.Revisions.Version(), InFlight: inFlight, Leaving: h.board.Health.Leaving(),
	})
}

func (h *Host) sendPackets(list []member.Outgoing) {
	for _, o := range list {
		n, _, err := h.link.Send(o.Packet, o.Address)
		if err != nil {
			h.log.Debug().Err(err).Str("host", o.Host).Msg("datagram not sent")
			continue
		}
		h.meter.AddSentBytes(n)
		h.sentBytes.Add(int64(n + packetOverhead))
	}
}

// checkListing logs an error if the inventory does not list this host as its
// settings do: peer hosts would then ignore it.
func (h *Host) checkListing() {
	inv := h.board.Revisions.Inventory()
	o, ok := inv.Host(h.settings.Name)
	switch {
	case !ok:
		h.log.Error().Msg("inventory does not list this host")
	case o.Centre != h.settings.Centre || inv.RegionOf(o.Centre) != h.settings.Region:
		h.log.Error().Str("centre", o.Centre).Str("region", inv.RegionOf(o.Centre)).
			Msg("inventory lists this host in another data centre or region than its settings")
	}
}

// configChanged is called when a configuration comes into force and immediately
// announces it to a few peer hosts.
func (h *Host) configChanged() {
	h.checkListing()
	h.updateSelf()
	h.sendPackets(h.board.Members.Announce(false))
}

// healthyHosts returns the names of this host and of the matching healthy peer hosts.
func (h *Host) healthyHosts(inv *invent.Inventory, match func(invent.Host) bool) []string {
	names := []string{h.board.Name}
	for _, m := range h.board.Members.Members() {
		o, ok := inv.Host(m.Name)
		if ok && m.Healthy() && match(o) {
			names = append(names, m.Name)
		}
	}
	return names
}

func (h *Host) inCentre(c string) func(invent.Host) bool {
	return func(o invent.Host) bool { return o.Centre == c }
}

func (h *Host) inLocalRegion(inv *invent.Inventory) func(invent.Host) bool {
	return func(o invent.Host) bool { return inv.RegionOf(o.Centre) == h.board.Region }
}

// failingPollCount is the number of consecutive failed polls after which an
// endpoint counts as failing.
const failingPollCount = 2
