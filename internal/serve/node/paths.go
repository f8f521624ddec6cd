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

// shareCuts sends the reports on cut hosts to a few hosts of the fleet.
func (n *Node) shareCuts(now time.Time) {
	if n.board.CutHosts.Sweep(now) {
		n.runner.Trigger(dutyName)
	}
	list := n.board.CutHosts.Outgoing(maxPacketCuts)
	if len(list) == 0 {
		return
	}
	out := make([]wire.CutHost, len(list))
	for i, r := range list {
		out[i] = wire.CutHost{Host: r.Host, Life: r.Incarnation, Serial: r.Serial, Cut: r.Cut}
	}
	n.announce(cutFanout, func(m member.Member) bool { return m.Region != "" }, wire.Packet{CutHosts: out})
}

// receiveCuts adds the reports on cut hosts of a peer host.
func (n *Node) receiveCuts(now time.Time, list []wire.CutHost) {
	reports := make([]paths.Report, len(list))
	for i, w := range list {
		reports[i] = paths.Report{Host: w.Host, Incarnation: w.Life, Serial: w.Serial, Cut: w.Cut}
	}
	if n.board.CutHosts.Merge(now, reports) {
		n.log.Info().Int("reports", len(reports)).Msg("hosts that are cut off from their endpoints changed")
		n.runner.Trigger(dutyName)
	}
}
