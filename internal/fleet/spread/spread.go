// Package spread brings configurations to a host, from other hosts and from the
// configuration service, and puts the highest acceptable one in force.
package spread

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
	// fetchBatch is the number of parts asked of a host at once.
	fetchBatch = 16
)

// Syncer puts configurations in force.
type Syncer struct {
	Board    *board.Board
	Link     *link.Link
	Meter    *meter.Meter
	Platform watch.Platform
	Log      zerolog.Logger
	Now      func() time.Time
	// Changed is called after a configuration came into force.
	Changed func()
}

// errHash is the error of a part that is not what the head names.
var errHash = errors.New("part does not have the hash that the head names")

// Offer takes a head in; get fetches the parts that are not held. It reports
// whether the configuration came into force.
func (s *Syncer) Offer(ctx context.Context, data []byte, get func(context.Context, []string) ([][]byte, error)) (bool, error) {
	head, err := invent.ParseHead(data)
	if err != nil {
		s.reject(0, err)
		return false, fmt.Errorf("offer: %w", err)
	}
	mark, err := head.Mark()
	if err != nil {
		return false, fmt.Errorf("offer: %w", err)
	}
	if !mark.Above(s.Board.Revisions.Mark()) {
		if mark != s.Board.Revisions.Mark() {
			s.Meter.StaleHead.Inc()
		}
		return false, nil
	}
	documents, err := s.gather(ctx, head, get)
	if err != nil {
		return false, fmt.Errorf("offer revision %d: %w", head.Revision, err)
	}
	sources := make([]invent.Source, len(head.Parts))
	for i, p := range head.Parts {
		sources[i] = invent.Source{Name: p.Name, Data: documents[p.Hash]}
	}
	inv, err := invent.Accept(head.Revision, sources)
	if err != nil {
		s.reject(head.Revision, err)
		return false, fmt.Errorf("offer revision %d: %w", head.Revision, err)
	}
	return s.enforce(inv, data, documents), nil
}

func (s *Syncer) enforce(inv *invent.Inventory, head []byte, documents map[string][]byte) bool {
	now := s.Now()
	force := &revis.Force{Inventory: inv, Head: head, Documents: documents, Since: now}
	if !s.Board.Revisions.Advance(force, func(v *invent.Inventory) { s.Board.Apply(now, v) }) {
		return false
	}
	s.Meter.Revision.Set(float64(inv.Revision))
	s.Log.Info().Uint64("revision", inv.Revision).Str("digest", inv.Digest).Msg("configuration in force")
	s.Changed()
	return true
}

func (s *Syncer) reject(revision uint64, err error) {
	last := s.Board.Revisions.Rejected()
	if last != nil && last.Revision == revision && last.Err.Error() == err.Error() {
		return
	}
	s.Board.Revisions.Reject(revis.Rejection{Revision: revision, Err: err, At: s.Now()})
	s.Meter.Rejected.Inc()
	s.Log.Error().Err(err).Uint64("revision", revision).Msg("configuration not accepted")
}

// gather returns the documents of a head by hash: held ones and fetched ones.
func (s *Syncer) gather(ctx context.Context, head invent.Head, get func(context.Context, []string) ([][]byte, error)) (map[string][]byte, error) {
	out := make(map[string][]byte, len(head.Parts))
	var missing []string
	force := s.Board.Revisions.Force()
	for _, p := range head.Parts {
		if force != nil && force.Documents[p.Hash] != nil {
			out[p.Hash] = force.Documents[p.Hash]
			continue
		}
		missing = append(missing, p.Hash)
	}
	for batch := range slices.Chunk(missing, fetchBatch) {
		documents, err := get(ctx, batch)
		if err != nil {
			return nil, fmt.Errorf("fetch parts: %w", err)
		}
		for i, hash := range batch {
			if i >= len(documents) || invent.Hash(documents[i]) != hash {
				return nil, fmt.Errorf("fetch part %s: %w", hash, errHash)
			}
			out[hash] = documents[i]
		}
	}
	return out, nil
}

// FromPlatform asks the configuration service for a revision above that in
// force, waiting for one at most the given time.
func (s *Syncer) FromPlatform(ctx context.Context, after uint64, wait time.Duration) (bool, error) {
	data, err := s.Platform.Head(ctx, after, wait)
	if err != nil || data == nil {
		return false, err
	}
	return s.Offer(ctx, data, s.partsAnywhere)
}

// partsAnywhere asks a neighbour for parts before the configuration service.
func (s *Syncer) partsAnywhere(ctx context.Context, hashes []string) ([][]byte, error) {
	for _, m := range s.Board.Members.Random(1, isIn(s.Board.Region)) {
		documents, err := s.partsOf(ctx, m.Name, m.Address, hashes)
		if err == nil && complete(documents, hashes) {
			return documents, nil
		}
	}
	out := make([][]byte, len(hashes))
	for i, hash := range hashes {
		data, err := s.Platform.Part(ctx, hash)
		if err != nil {
			return nil, fmt.Errorf("part %s: %w", hash, err)
		}
		out[i] = data
	}
	return out, nil
}

func complete(documents [][]byte, hashes []string) bool {
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

// FromPeer asks another host for its configuration.
func (s *Syncer) FromPeer(ctx context.Context, host, address string) (bool, error) {
	parts, err := s.ask(ctx, host, address, nil)
	if err != nil {
		return false, err
	}
	if len(parts.Head) == 0 {
		return false, nil
	}
	return s.Offer(ctx, parts.Head, func(ctx context.Context, hashes []string) ([][]byte, error) {
		return s.partsOf(ctx, host, address, hashes)
	})
}

func (s *Syncer) partsOf(ctx context.Context, host, address string, hashes []string) ([][]byte, error) {
	parts, err := s.ask(ctx, host, address, hashes)
	if err != nil {
		return nil, err
	}
	return parts.Documents, nil
}

func (s *Syncer) ask(ctx context.Context, host, address string, hashes []string) (*wire.Parts, error) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	st, err := s.Link.Open(ctx, host, address)
	if err != nil {
		return nil, fmt.Errorf("ask %s: %w", host, err)
	}
	defer st.Abort()
	deadline := time.Now().Add(peerTimeout)
	if err := st.Write(wire.Frame{Fetch: &wire.Fetch{Hashes: hashes}}, deadline); err != nil {
		s.Link.Drop(host)
		return nil, fmt.Errorf("ask %s: %w", host, err)
	}
	st.Finish()
	fr, err := st.Read(wire.MaxFrame, deadline)
	if err != nil {
		s.Link.Drop(host)
		return nil, fmt.Errorf("ask %s: %w", host, err)
	}
	if fr.Parts == nil {
		return nil, fmt.Errorf("ask %s: answer holds no documents", host)
	}
	return fr.Parts, nil
}

func isIn(region string) func(member.Member) bool {
	return func(m member.Member) bool { return m.Region == region }
}

// Holds reports whether a host is among the Holders of a task.
func Holds(task string, hosts []string, self string, n int) bool {
	key := place.Weight(0, task)
	own := place.Weight(key, self)
	for _, h := range hosts {
		w := place.Weight(key, h)
		if w > own || (w == own && h < self) {
			n--
		}
		if n <= 0 {
			return false
		}
	}
	return true
}

// Holders returns which of the hosts hold a task of a place: the first n by
// rendezvous hashing, so that all hosts agree and a loss moves little.
func Holders(task string, hosts []string, n int) []string {
	key := place.Weight(0, task)
	sorted := slices.Clone(hosts)
	slices.SortFunc(sorted, func(a, b string) int {
		return cmp.Or(cmp.Compare(place.Weight(key, b), place.Weight(key, a)), cmp.Compare(a, b))
	})
	return sorted[:min(n, len(sorted))]
}
