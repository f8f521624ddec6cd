package node

import (
	"context"
	"time"
)

// checkPaths checks endpoints that may be unreachable, and logs when this host loses the path to
// all endpoints of its region or has one again.
func (n *Node) checkPaths(ctx context.Context, now time.Time) {
	n.proxy.CheckPaths(ctx, now)
	if cut := n.board.Paths.Cut(n.board.Registry.IDs(n.board.Region)); cut != n.loggedCut {
		n.loggedCut = cut
		n.log.Warn().Bool("cut", cut).Msg("path to the endpoints of the region changed")
	}
}
