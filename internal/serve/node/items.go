package node

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/eras"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
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
	// maxStableMS bounds the time without failures that a peer host states.
	maxStableMS = 24 * 60 * 60 * 1000
	// storeStatePeriod is the time between two announcements of a host that reads the
	// store. Hosts that miss them for feed.followTimeout read the store themselves.
	storeStatePeriod = 500 * time.Millisecond
	// storeStateName is the controller that announces what this host has read. A change
	// of the store also triggers it between its periods.
	storeStateName = "store state"
)

// shareStoreState tells the hosts of the local data centre what this host has read of the
// store, if it reads it.
func (n *Node) shareStoreState(now time.Time) {
	state, ok := n.feed.State(now)
	if !ok || !n.board.Duties.Plan().SelfReads {
		return
	}
	inCentre := func(m member.Member) bool { return m.Centre == n.board.Centre }
	p := wire.Packet{StoreEra: eras.Of(state.Revision), Store: &wire.StoreState{
		Revision: eras.Revision(state.Revision), Changed: eras.Revision(state.Changed), AgeMS: uint64(max(0, state.Age.Milliseconds())),
	}}
	if restored := n.board.Registry.Restored(); eras.Of(restored) == p.StoreEra {
		p.StoreRestored = eras.Revision(restored)
	}
	n.announce(math.MaxInt, inCentre, p)
}

// receiveRestored applies at which revision a host had listed the restored store already, 0 if
// it was never restored.
func (n *Node) receiveRestored(now time.Time, m member.Member, era, revision uint64) {
	if revision == 0 {
		return
	}
	changed := n.board.Registry.LowerRestored(eras.Join(era, revision))
	for _, e := range changed {
		n.log.Info().Str("endpoint", e.ID).Str("peer", m.Name).Msg("endpoint was written again after the restore of the store")
		n.endpointChanged(e)
	}
	if len(changed) > 0 {
		n.board.Endpoints.Sync(now, n.board.Registry.IDs(n.board.Region))
	}
}

// receiveStoreState compares this host's view of the store with that of a host that reads
// it, and fetches the changes that this host lacks.
func (n *Node) receiveStoreState(now time.Time, m member.Member, era uint64, s *wire.StoreState) {
	behind := n.feed.Confirm(now, feed.State{
		Revision: eras.Join(era, s.Revision), Changed: eras.Join(era, s.Changed), Age: time.Duration(min(s.AgeMS, maxStableMS)) * time.Millisecond,
	})
	if behind && !n.board.Duties.Plan().SelfReads {
		n.ahead.Store(&m)
		n.runner.Trigger(itemsName)
	}
}

// itemsSince returns the store items that changed after a revision, for a peer
// host that can't reach the store.
func (n *Node) itemsSince(since *wire.FetchItems) *wire.Items {
	list, at, whole := n.feed.Since(eras.Join(since.Era, since.Revision))
	now := n.now()
	state, _ := n.feed.State(now)
	out := &wire.Items{
		Revision: eras.Revision(at), Era: eras.Of(at), Snapshot: whole,
		AgeMS: uint64(max(0, n.feed.ViewAge(now).Milliseconds())), StableMS: uint64(max(0, state.Stable.Milliseconds())),
	}
	if since.Memory {
		out.Memory = n.memory()
	}
	for _, it := range list {
		out.List = append(out.List, wire.Item{
			Key: it.Key, Value: it.Value, Revision: eras.Revision(it.Revision), Deleted: it.Deleted,
			AgeMS: uint64(max(0, now.Sub(it.ReadAt).Milliseconds())),
		})
	}
	return out
}

// fetchItems fetches store items from the host that announced changes that this host
// lacks, or from a random peer host while the store is unreachable.
func (n *Node) fetchItems(now time.Time) {
	n.learn(now)
	from, unreachable := n.feed.Unreachable(now)
	var sources []member.Member
	if source := n.ahead.Swap(nil); source != nil {
		sources = []member.Member{*source}
	} else if unreachable {
		sources = n.board.Members.RandomUsable(1, func(member.Member) bool { return true })
	}
	for _, m := range sources {
		answer, err := n.fetchItemsFrom(m, wire.FetchItems{Revision: eras.Revision(from), Era: eras.Of(from)})
		if err != nil {
			n.log.Debug().Err(err).Str("peer", m.Name).Uint64("from", from).Msg("store items not fetched from peer host")
			continue
		}
		n.applyItems(m, from, answer)
	}
}

// fetchItemsFrom asks a peer host for the store items that changed after a
// revision.
func (n *Node) fetchItemsFrom(m member.Member, request wire.FetchItems) (*wire.Items, error) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchItemsTimeout)
	defer cancel()
	s, err := n.link.OpenStream(ctx, m.Name, m.Address)
	if err != nil {
		return nil, fmt.Errorf("request store items: %w", err)
	}
	defer s.Close()
	deadline := time.Now().Add(fetchItemsTimeout)
	if err := s.Write(wire.Frame{FetchItems: &request}, deadline); err != nil {
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
			Key: it.Key, Value: it.Value, Revision: eras.Join(answer.Era, it.Revision), Deleted: it.Deleted,
			ReadAt: now.Add(-time.Duration(it.AgeMS) * time.Millisecond),
		})
	}
	stable := time.Duration(min(answer.StableMS, maxStableMS)) * time.Millisecond
	if n.feed.ApplyFromPeer(now, list, eras.Join(answer.Era, answer.Revision), answer.Snapshot, stable) {
		n.log.Info().Str("peer", m.Name).Uint64("from", eras.Revision(from)).Uint64("at", answer.Revision).Uint64("era", answer.Era).Bool("whole", answer.Snapshot).
			Int("items", len(list)).Msg("applied store items of peer host")
	}
	n.feed.ConfirmView(now, eras.Join(answer.Era, answer.Revision), time.Duration(min(answer.AgeMS, maxStableMS))*time.Millisecond)
}
