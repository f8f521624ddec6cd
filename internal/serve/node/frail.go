package node

import (
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/frail"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/route/quota"
)

// maxPacketServices bounds the brittle services in one packet.
const maxPacketServices = 8

// toWireFrail returns the first of the services in the form of packets.
func toWireFrail(list []frail.Report) []wire.FrailService {
	var out []wire.FrailService
	for _, r := range list[:min(len(list), maxPacketServices)] {
		w := wire.FrailService{Service: r.Service, AgeMS: uint32(r.Age.Milliseconds())}
		if r.Limit != nil {
			w.Brittle, w.Limit = true, uint32(*r.Limit)
		}
		out = append(out, w)
	}
	return out
}

// receiveFrail records what a peer host of the region received of brittle services.
func (n *Node) receiveFrail(now time.Time, from string, list []wire.FrailService) {
	for _, w := range list {
		r := frail.Report{Service: w.Service, Age: time.Duration(w.AgeMS) * time.Millisecond}
		if w.Brittle {
			limit := int(w.Limit)
			r.Limit = &limit
		}
		if n.board.Frail.Merge(now, r) {
			n.log.Info().Str("service", w.Service).Str("peer", from).Bool("brittle", w.Brittle).Msg("endpoints of a service are brittle or no longer so")
		}
	}
}

// roomShare returns this host's part of a number of requests in flight at an endpoint of the
// region. Only entry hosts have one, as callers are given no others.
func (n *Node) roomShare(endpoint string, number int) int {
	plan := n.board.Duties.Plan()
	if !plan.SelfEntry || !n.shares.Settled(n.now()) {
		return 0
	}
	entries := plan.Entries[n.board.Region]
	others := make([]quota.Host, len(entries))
	for i, m := range entries {
		others[i] = quota.Host{Name: m.Name, Cores: m.Cores}
	}
	return quota.Part(number, endpoint, quota.Host{Name: n.settings.Peers, Cores: n.settings.Machine.Capacity()}, others)
}
