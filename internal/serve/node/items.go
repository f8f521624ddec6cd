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
	// itemsName is the controller that fetches store items from peer hosts while the
	// store is unreachable.
	itemsName        = "items"
	fetchItemsPeriod = 400 * time.Millisecond
	// fetchItemsTimeout bounds one fetch. It is in the order of a round trip between
	// regions.
	fetchItemsTimeout = 700 * time.Millisecond
	// maxItemsBytes bounds one answer, which can be the whole store with thousands of
	// endpoints.
	maxItemsBytes = 8 << 20
)

// itemsSince returns the store items that changed after a revision, for a peer
// host that can't reach the store.
func (n *Node) itemsSince(revision uint64) *wire.Items {
	list, at, whole := n.feed.Since(revision)
	now := n.now()
	out := &wire.Items{Revision: at, Snapshot: whole}
	for _, it := range list {
		out.List = append(out.List, wire.Item{
			Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted,
			AgeMS: uint64(max(0, now.Sub(it.ReadAt).Milliseconds())),
		})
	}
	return out
}

// fetchItems fetches store items from a random peer host while the store is
// unreachable.
func (n *Node) fetchItems(now time.Time) {
	from, unreachable := n.feed.Unreachable(now)
	if !unreachable {
		return
	}
	for _, m := range n.board.Members.RandomUsable(1, func(member.Member) bool { return true }) {
		answer, err := n.fetchItemsFrom(m, from)
		if err != nil {
			n.log.Debug().Err(err).Str("peer", m.Name).Uint64("from", from).Msg("store items not fetched from peer host")
			continue
		}
		n.applyItems(m, from, answer)
	}
}

// fetchItemsFrom asks a peer host for the store items that changed after a
// revision.
func (n *Node) fetchItemsFrom(m member.Member, from uint64) (*wire.Items, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchItemsTimeout)
	defer cancel()
	s, err := n.link.OpenStream(ctx, m.Name, m.Address)
	if err != nil {
		return nil, fmt.Errorf("request store items: %w", err)
	}
	defer s.Close()
	deadline := time.Now().Add(fetchItemsTimeout)
	if err := s.Write(wire.Frame{FetchItems: &wire.FetchItems{Revision: from}}, deadline); err != nil {
		return nil, fmt.Errorf("request store items: %w", err)
	}
	fr, err := s.Read(maxItemsBytes, deadline)
	if err != nil {
		return nil, fmt.Errorf("read store items: %w", err)
	}
	if fr.Items == nil {
		return nil, fmt.Errorf("read store items: host %s sent a frame without items", m.Name)
	}
	return fr.Items, nil
}

// applyItems applies the store items that a peer host returned.
func (n *Node) applyItems(m member.Member, from uint64, answer *wire.Items) {
	now := n.now()
	list := make([]items.Item, 0, len(answer.List))
	for _, it := range answer.List {
		list = append(list, items.Item{
			Key: it.Key, Value: it.Value, Revision: it.Revision, Deleted: it.Deleted,
			ReadAt: now.Add(-time.Duration(it.AgeMS) * time.Millisecond),
		})
	}
	if n.feed.ApplyFromPeer(now, list, answer.Revision, answer.Snapshot) {
		n.log.Info().Str("peer", m.Name).Uint64("from", from).Uint64("at", answer.Revision).Bool("whole", answer.Snapshot).
			Int("items", len(list)).Msg("applied store items of peer host")
	}
}
