package node

import (
	"context"
	"fmt"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/items"
)

const (
	// askName is the controller that asks other hosts while the store is away.
	askName   = "items"
	askPeriod = 400 * time.Millisecond
	// askTime bounds one question, in the order of a round trip between regions.
	askTime = 700 * time.Millisecond
	// itemsLimit bounds an answer, in bytes: the whole store at thousands of
	// endpoints.
	itemsLimit = 8 << 20
)

// itemsSince returns what this host knows of the store, for one that does not
// reach it.
func (n *Node) itemsSince(revision uint64) *wire.Items {
	list, at, whole := n.feed.Since(revision)
	now := n.now()
	out := &wire.Items{At: at, Whole: whole}
	for _, it := range list {
		out.List = append(out.List, wire.Item{
			Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted,
			AgeMS: uint64(max(0, now.Sub(it.At).Milliseconds())),
		})
	}
	return out
}

// askItems asks a host at random what it knows of the store, while this one does
// not reach it.
func (n *Node) askItems(now time.Time) {
	from, away := n.feed.Away(now)
	if !away {
		return
	}
	for _, m := range n.board.Members.Random(1, func(member.Member) bool { return true }) {
		told, err := n.ask(m, from)
		if err != nil {
			n.log.Debug().Err(err).Str("peer", m.Name).Uint64("from", from).Msg("host tells nothing of the store")
			continue
		}
		n.toldItems(m, from, told)
	}
}

func (n *Node) ask(m member.Member, from uint64) (*wire.Items, error) {
	ctx, cancel := context.WithTimeout(context.Background(), askTime)
	defer cancel()
	s, err := n.link.Open(ctx, m.Name, m.Address)
	if err != nil {
		return nil, fmt.Errorf("ask for items: %w", err)
	}
	defer s.Close()
	until := time.Now().Add(askTime)
	if err := s.Write(wire.Frame{Since: &wire.Since{Revision: from}}, until); err != nil {
		return nil, fmt.Errorf("ask for items: %w", err)
	}
	fr, err := s.Read(itemsLimit, until)
	if err != nil {
		return nil, fmt.Errorf("read items: %w", err)
	}
	if fr.Items == nil {
		return nil, fmt.Errorf("read items: host %s sent another frame", m.Name)
	}
	return fr.Items, nil
}

// toldItems takes an answer in.
func (n *Node) toldItems(m member.Member, from uint64, told *wire.Items) {
	now := n.now()
	list := make([]items.Item, 0, len(told.List))
	for _, it := range told.List {
		list = append(list, items.Item{
			Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted,
			At: now.Add(-time.Duration(it.AgeMS) * time.Millisecond),
		})
	}
	if n.feed.Told(now, list, told.At, told.Whole) {
		n.log.Info().Str("peer", m.Name).Uint64("from", from).Uint64("at", told.At).Bool("whole", told.Whole).
			Int("items", len(list)).Msg("told of the store")
	}
}
