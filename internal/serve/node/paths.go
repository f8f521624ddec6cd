package node

import (
	"context"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/paths"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

const (
	// cutFanout is the number of random hosts of the fleet that get the reports on cut hosts in
	// a period. Each passes on what it receives.
	cutFanout = 3
	// maxPacketCuts bounds the reports in one packet.
	maxPacketCuts = 32
)

// checkPaths checks endpoints that may be unreachable.
func (n *Node) checkPaths(ctx context.Context, now time.Time) {
	n.proxy.CheckPaths(ctx, now)
	n.updateCut(n.now())
}

// updateCut records whether this host is cut off from the endpoints of its region.
func (n *Node) updateCut(now time.Time) {
	cut := n.board.Paths.Cut(n.board.Registry.IDs(n.board.Region))
	if !n.board.CutHosts.SetSelf(now, cut) {
		return
	}
	n.log.Warn().Bool("cut", cut).Msg("path to the endpoints of the region changed")
	n.runner.Trigger(dutyName)
	n.runner.Trigger(cutsName)
	if cut {
		n.proxy.LeaveUnreachable()
	}
}

// shareCuts sends the reports on cut hosts, and those on hosts without a confirmation of their rules,
// to a few hosts of the fleet.
func (n *Node) shareCuts(now time.Time) {
	for _, t := range []*paths.Hosts{n.board.CutHosts, n.board.Unproven} {
		if t.Sweep(now) {
			n.runner.Trigger(dutyName)
		}
	}
	anyone := func(m member.Member) bool { return m.Region != "" }
	if list := toWireCuts(n.board.CutHosts.Outgoing(maxPacketCuts)); len(list) > 0 {
		n.announce(cutFanout, anyone, wire.Packet{CutHosts: list})
	}
	if list := toWireCuts(n.board.Unproven.Outgoing(maxPacketCuts)); len(list) > 0 {
		n.announce(cutFanout, anyone, wire.Packet{Proof: &wire.RulesProof{Unproven: list}})
	}
}

// toWireCuts returns reports in the form of packets.
func toWireCuts(list []paths.Report) []wire.CutHost {
	out := make([]wire.CutHost, len(list))
	for i, r := range list {
		out[i] = wire.CutHost{Host: r.Host, Life: r.Incarnation, Serial: r.Serial, Cut: r.Cut}
	}
	return out
}

// fromWireCuts returns the reports that toWireCuts encoded.
func fromWireCuts(list []wire.CutHost) []paths.Report {
	reports := make([]paths.Report, len(list))
	for i, w := range list {
		reports[i] = paths.Report{Host: w.Host, Incarnation: w.Life, Serial: w.Serial, Cut: w.Cut}
	}
	return reports
}

// receiveCuts adds the reports on cut hosts of a peer host.
func (n *Node) receiveCuts(now time.Time, list []wire.CutHost) {
	reports := fromWireCuts(list)
	if n.board.CutHosts.Merge(now, reports) {
		n.log.Info().Int("reports", len(reports)).Msg("hosts that are cut off from their endpoints changed")
		n.runner.Trigger(dutyName)
	}
}
