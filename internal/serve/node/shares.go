package node

import (
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/route/split"
)

const (
	sharesPeriod = 200 * time.Millisecond
	// requestsLogPeriod is the least time between two lines on the requests to an endpoint that may
	// be cold, as long as nothing else changes. It is less than the time for which requests are
	// counted, so that each is in a line.
	requestsLogPeriod = 600 * time.Millisecond
)

// coldShare is this host's share of the rate limit of an endpoint that may be cold, and what it is
// derived from.
type coldShare struct {
	reason regis.ColdReason
	side   split.Side
	// perSecond is the share, hosts the number of hosts among which the limit is divided.
	perSecond, hosts int
	settled          bool
}

// loggedShare is a share with the time of its last line.
type loggedShare struct {
	coldShare
	at time.Time
}

// logShares logs this host's shares of the endpoints of the region that may be cold whenever one
// changes, and how much of them is used. The lines are warnings: lines of lower levels can't cause
// their loss, and there is at most one for each endpoint and period.
func (n *Node) logShares(now time.Time) {
	inForce := n.board.Routes.Rules()
	if inForce == nil {
		return
	}
	side := n.splitView(now).Side()
	current := make(map[string]loggedShare, len(n.loggedShares))
	for _, id := range n.board.Registry.IDs(n.board.Region) {
		e, ok := n.board.Registry.Get(id)
		s, known := inForce.Service(e.Service)
		if !ok || !known || s.ColdRate == 0 {
			continue
		}
		share := coldShare{reason: e.ColdReason(now), side: side}
		possiblyCold := share.reason != regis.NotCold || side != split.Whole
		last, logged := n.loggedShares[id]
		if !possiblyCold && !logged {
			continue
		}
		share.perSecond, share.hosts, share.settled = n.coldRateShare(s, id), n.shares.Hosts(now), n.shares.Settled(now)
		sent := n.board.Endpoints.RecentRequests(now, id)
		if last.coldShare == share && (sent == 0 || now.Sub(last.at) < requestsLogPeriod) {
			current[id] = last
			continue
		}
		if possiblyCold {
			current[id] = loggedShare{coldShare: share, at: now}
		}
		n.log.Warn().Str("endpoint", id).Str("cold", string(share.reason)).Str("split", string(side)).Int("share", share.perSecond).Int("hosts", share.hosts).
			Bool("settled", share.settled).Int("sent", sent).Dur("view_age", n.feed.ViewAge(now)).Msg("share of a cold endpoint")
	}
	n.loggedShares = current
}
