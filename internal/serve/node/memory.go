package node

import (
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/eras"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/items"
)

const (
	// learnWait is how long a host that starts is not ready for want of a peer host that reports
	// it what the store may have lost. It covers finding peer hosts and two questions; all
	// hosts may have started together and have nothing to report.
	learnWait = 800 * time.Millisecond
	// learnTimeout is how long it continues to ask while it serves.
	learnTimeout = 10 * time.Second
	// learnPeers is the number of peer hosts that it asks at a time.
	learnPeers = 2
)

// memory returns what this host holds and the store may lack, nil if it is not ready.
func (n *Node) memory() *wire.Memory {
	if !n.board.Health.Ready() {
		return nil
	}
	m := n.board.Registry.Memory()
	return &wire.Memory{
		Listed: eras.Revision(m.Listed), ListedEra: eras.Of(m.Listed), Restored: eras.Revision(m.Restored), RestoredEra: eras.Of(m.Restored),
		Gone: m.Gone, Draining: toWireMarks(m.Draining), Leaving: toWireMarks(m.Leaving), Rules: n.rulesItem.Load(),
	}
}

func toWireMarks(list []regis.Leaving) []wire.LeavingEndpoint {
	out := make([]wire.LeavingEndpoint, 0, len(list))
	for _, l := range list {
		out = append(out, wire.LeavingEndpoint{Endpoint: l.ID, Life: l.Incarnation})
	}
	return out
}

func fromWireMarks(list []wire.LeavingEndpoint) []regis.Leaving {
	out := make([]regis.Leaving, 0, len(list))
	for _, l := range list {
		out = append(out, regis.Leaving{ID: l.Endpoint, Incarnation: l.Life})
	}
	return out
}

// learn asks peer hosts, once after the start, for what the store may have lost: it can have
// come back from an older copy while this host was not there to see what followed.
func (n *Node) learn(now time.Time) {
	if n.learned.Load() || !n.storeListed.Load() {
		return
	}
	if now.Sub(n.started) > learnTimeout {
		n.learned.Store(true)
		return
	}
	sources := n.board.Members.RandomUsable(learnPeers, func(m member.Member) bool { return m.Region == n.board.Region })
	if len(sources) == 0 {
		sources = n.board.Members.RandomUsable(learnPeers, func(member.Member) bool { return true })
	}
	from, _ := n.feed.Unreachable(now)
	for _, m := range sources {
		answer, err := n.fetchItemsFrom(m, wire.FetchItems{Revision: eras.Revision(from), Era: eras.Of(from), Memory: true})
		if err != nil || answer.Memory == nil {
			n.log.Debug().AnErr("cause", err).Str("peer", m.Name).Msg("peer host does not report what the store may have lost")
			continue
		}
		n.applyMemory(m.Name, answer.Memory)
		n.learned.Store(true)
		break
	}
	n.setReadyOnce()
}

// applyMemory applies what a peer host reported.
func (n *Node) applyMemory(peer string, m *wire.Memory) {
	dropped := n.board.Registry.Learn(regis.Memory{
		Listed: eras.Join(m.ListedEra, m.Listed), Restored: eras.Join(m.RestoredEra, m.Restored),
		Gone: m.Gone, Draining: fromWireMarks(m.Draining), Leaving: fromWireMarks(m.Leaving),
	})
	if m.Rules != nil {
		c, ok := n.feed.Decode(items.Item{Key: m.Rules.Key, Value: m.Rules.Value, Revision: m.Rules.Revision})
		if ok && c.Err == nil && c.Rules != nil && c.Rules.Version > n.board.Routes.Version() {
			n.applyRules(feed.Change{Key: m.Rules.Key, Value: m.Rules.Value, Revision: m.Rules.Revision, Rules: c.Rules})
		}
	}
	n.log.Info().Str("peer", peer).Strs("dropped", dropped).Int("draining", len(m.Draining)).Int("leaving", len(m.Leaving)).
		Uint64("version", n.board.Routes.Version()).Msg("received from peer host what the store may have lost")
}
