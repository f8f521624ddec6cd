// Package syncer distributes configurations. It fetches them from peer hosts and
// from the configuration service and activates the highest valid revision.
package syncer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/board/revis"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/link"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/watch"
	"github.com/hyssopspindle/hyssopspindle/internal/route/place"
)

const (
	peerTimeout = 3 * time.Second
	// fetchBatchSize is the maximum number of parts fetched per call.
	fetchBatchSize = 16
)

// Syncer fetches and activates configurations.
type Syncer struct {
	Board    *board.Board
	Link     *link.Link
	Meter    *meter.Meter
	Platform watch.Platform
	Log      zerolog.Logger
	Now      func() time.Time
	// OnChange is called after a configuration was activated.
	OnChange func()
}

// errHashMismatch is returned for a part whose content does not match its hash.
var errHashMismatch = errors.New("part does not match its hash in the head")

// Offer activates the configuration of an encoded head if it is valid and its version
// supersedes the active one, and reports whether it did. fetch returns the parts with
// the given hashes; it is called for those that the active configuration lacks.
func (s *Syncer) Offer(ctx context.Context, data []byte, fetch func(context.Context, []string) ([][]byte, error)) (bool, error) {
	head, err := invent.ParseHead(data)
	if err != nil {
		s.reject(0, err)
		return false, fmt.Errorf("read configuration head: %w", err)
	}
	version, err := head.Version()
	if err != nil {
		return false, fmt.Errorf("read configuration head: %w", err)
	}
	if !version.Supersedes(s.Board.Revisions.Version()) {
		if version != s.Board.Revisions.Version() {
			s.Meter.StaleHeads.Inc()
		}
		return false, nil
	}
	documents, err := s.collectParts(ctx, head, fetch)
	if err != nil {
		return false, fmt.Errorf("collect parts of revision %d: %w", head.Revision, err)
	}
	sources := make([]invent.Source, len(head.Parts))
	for i, p := range head.Parts {
		sources[i] = invent.Source{Name: p.Name, Data: documents[p.Hash]}
	}
	inv, err := invent.Accept(head.Revision, sources)
	if err != nil {
		s.reject(head.Revision, err)
		return false, fmt.Errorf("accept revision %d: %w", head.Revision, err)
	}
	return s.activate(inv, data, documents), nil
}

// activate makes a configuration the active one and reports whether it did; it
// does not if a higher version became active meanwhile.
func (s *Syncer) activate(inv *invent.Inventory, head []byte, documents map[string][]byte) bool {
	now := s.Now()
	active := &revis.Active{Inventory: inv, Head: head, Documents: documents, Since: now}
	if !s.Board.Revisions.Advance(active, func(v *invent.Inventory) { s.Board.ApplyInventory(now, v) }) {
		return false
	}
	s.Meter.Revision.Set(float64(inv.Revision))
	s.Log.Info().Uint64("revision", inv.Revision).Str("digest", inv.Digest).Msg("configuration activated")
	s.OnChange()
	return true
}

// reject records, counts and logs a rejected configuration, unless it is the same
// rejection as the last one.
func (s *Syncer) reject(revision uint64, err error) {
	last := s.Board.Revisions.LastRejection()
	if last != nil && last.Revision == revision && last.Err.Error() == err.Error() {
		return
	}
	s.Board.Revisions.Reject(revis.Rejection{Revision: revision, Err: err, At: s.Now()})
	s.Meter.RejectedHeads.Inc()
	s.Log.Error().Err(err).Uint64("revision", revision).Msg("configuration rejected")
}

// collectParts returns the parts of a head by hash. It fetches those that the
// active configuration does not have.
func (s *Syncer) collectParts(ctx context.Context, head invent.Head, fetch func(context.Context, []string) ([][]byte, error)) (map[string][]byte, error) {
	out := make(map[string][]byte, len(head.Parts))
	var missing []string
	active := s.Board.Revisions.Active()
	for _, p := range head.Parts {
		if active != nil && active.Documents[p.Hash] != nil {
			out[p.Hash] = active.Documents[p.Hash]
			continue
		}
		missing = append(missing, p.Hash)
	}
	for batch := range slices.Chunk(missing, fetchBatchSize) {
		documents, err := fetch(ctx, batch)
		if err != nil {
			return nil, fmt.Errorf("fetch parts: %w", err)
		}
		for i, hash := range batch {
			if i >= len(documents) || invent.Hash(documents[i]) != hash {
				return nil, fmt.Errorf("fetch part %s: %w", hash, errHashMismatch)
			}
			out[hash] = documents[i]
		}
	}
	return out, nil
}

// SyncFromPlatform asks the configuration service for a revision higher than after. It
// waits for one at most the given time and reports whether one was activated.
func (s *Syncer) SyncFromPlatform(ctx context.Context, after uint64, wait time.Duration) (bool, error) {
	data, err := s.Platform.Head(ctx, after, wait)
	if err != nil || data == nil {
		return false, err
	}
	return s.Offer(ctx, data, s.fetchParts)
}

// fetchParts fetches parts from a random host of the local region or, if that
// fails, from the configuration service.
func (s *Syncer) fetchParts(ctx context.Context, hashes []string) ([][]byte, error) {
	for _, m := range s.Board.Members.RandomUsable(1, inRegion(s.Board.Region)) {
		documents, err := s.fetchPeerParts(ctx, m.Name, m.Address, hashes)
		if err == nil && matchHashes(documents, hashes) {
			return documents, nil
		}
	}
	out := make([][]byte, len(hashes))
	for i, hash := range hashes {
		data, err := s.Platform.Part(ctx, hash)
		if err != nil {
			return nil, fmt.Errorf("fetch part %s: %w", hash, err)
		}
		out[i] = data
	}
	return out, nil
}

// matchHashes reports whether documents has exactly the parts with the hashes, in
// order.
func matchHashes(documents [][]byte, hashes []string) bool {
	if len(documents) != len(hashes) {
		return false
	}
	for i := range documents {
		if invent.Hash(documents[i]) != hashes[i] {
			return false
		}
	}
	return true
}

// SyncFromPeer fetches the configuration of a peer host and reports whether it was
// activated.
func (s *Syncer) SyncFromPeer(ctx context.Context, host, address string) (bool, error) {
	parts, err := s.fetchFromPeer(ctx, host, address, nil)
	if err != nil {
		return false, err
	}
	if len(parts.Head) == 0 {
		return false, nil
	}
	return s.Offer(ctx, parts.Head, func(ctx context.Context, hashes []string) ([][]byte, error) {
		return s.fetchPeerParts(ctx, host, address, hashes)
	})
}

// fetchPeerParts fetches parts from a peer host.
func (s *Syncer) fetchPeerParts(ctx context.Context, host, address string, hashes []string) ([][]byte, error) {
	parts, err := s.fetchFromPeer(ctx, host, address, hashes)
	if err != nil {
		return nil, err
	}
	return parts.Documents, nil
}

// fetchFromPeer fetches the head from a peer host if hashes is empty, else the
// parts with these hashes.
func (s *Syncer) fetchFromPeer(ctx context.Context, host, address string, hashes []string) (*wire.Parts, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	st, err := s.Link.OpenStream(ctx, host, address)
	if err != nil {
		return nil, fmt.Errorf("fetch from %s: %w", host, err)
	}
	defer st.Abort()
	deadline := time.Now().Add(peerTimeout)
	if err := st.Write(wire.Frame{FetchParts: &wire.FetchParts{Hashes: hashes}}, deadline); err != nil {
		s.Link.DropConn(host)
		return nil, fmt.Errorf("fetch from %s: %w", host, err)
	}
	st.Finish()
	fr, err := st.Read(wire.MaxFrame, deadline)
	if err != nil {
		s.Link.DropConn(host)
		return nil, fmt.Errorf("fetch from %s: %w", host, err)
	}
	if fr.Parts == nil {
		return nil, fmt.Errorf("fetch from %s: answer is not a Parts frame", host)
	}
	return fr.Parts, nil
}

// inRegion returns a filter for the members of a region.
func inRegion(region string) func(member.Member) bool {
	return func(m member.Member) bool { return m.Region == region }
}

// IsAssigned reports whether the host self is among the n hosts that a task is assigned
// to.
func IsAssigned(task string, hosts []string, self string, n int) bool {
	key := place.Weight(0, task)
	selfWeight := place.Weight(key, self)
	for _, h := range hosts {
		w := place.Weight(key, h)
		if w > selfWeight || (w == selfWeight && h < self) {
			n--
		}
		if n <= 0 {
			return false
		}
	}
	return true
}

// AssignedHosts returns the n hosts that a task is assigned to by rendezvous hashing. All
// hosts compute the same assignment, and the loss of a host moves only its tasks.
func AssignedHosts(task string, hosts []string, n int) []string {
	key := place.Weight(0, task)
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(place.Weight(key, b), place.Weight(key, a)), cmp.Compare(a, b))
	})
	return sorted[:min(n, len(sorted))]
}
