package node

import (
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/plat/eras"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
)

// evacuationHold is how long an evacuation that a restored store does not have is kept for
// the operator to write it again.
const evacuationHold = 10 * time.Second

// heldEvacuation is an evacuation that the store has lost.
type heldEvacuation struct {
	until time.Time
	// revision is that of the listing without it.
	revision uint64
}

// heldEvacuations holds the evacuations by data centre that a restored store does not have.
// Its lock is a leaf.
type heldEvacuations struct {
	mu      sync.Mutex
	centres map[string]heldEvacuation
}

func (h *heldEvacuations) hold(centre string, e heldEvacuation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.centres == nil {
		h.centres = map[string]heldEvacuation{}
	}
	h.centres[centre] = e
}

// release ends the hold of an evacuation that was written again, or whose end was.
func (h *heldEvacuations) release(centre string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.centres, centre)
}

func (h *heldEvacuations) holds(now time.Time, centre string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	e, ok := h.centres[centre]
	return ok && now.Before(e.until)
}

// takeEnded returns the evacuations that were not written again in time, once each.
func (h *heldEvacuations) takeEnded(now time.Time) map[string]heldEvacuation {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := map[string]heldEvacuation{}
	for centre, e := range h.centres {
		if !now.Before(e.until) {
			out[centre] = e
			delete(h.centres, centre)
		}
	}
	return out
}

// endHeldEvacuations ends the evacuations that the operator did not write again after a
// restore of the store. One that was written again has a later revision and goes on.
func (n *Node) endHeldEvacuations(now time.Time) {
	for centre, e := range n.heldEvacuations.takeEnded(now) {
		n.setEvacuated(centre, false, e.revision)
	}
}

// logRestore logs that the store came back from an older copy, and what the copy lacks.
func (n *Node) logRestore(b feed.Batch, evacuated map[string]bool) {
	listed := map[string]bool{}
	for _, c := range b.Changes {
		if c.Endpoint != nil {
			listed[c.Endpoint.ID] = true
		}
	}
	var missing, held []string
	for _, id := range n.board.Registry.AllIDs() {
		if !listed[id] {
			missing = append(missing, id)
		}
	}
	for _, centre := range n.board.Registry.EvacuatedCentres() {
		if !evacuated[centre] {
			held = append(held, centre)
		}
	}
	n.log.Warn().Uint64("era", eras.Of(b.Revision)).Uint64("revision", eras.Revision(b.Revision)).
		Uint64("before", eras.Of(n.listedAt)).Int("items", len(b.Changes)).Strs("missing", missing).Strs("evacuated", held).
		Msg("store came back from an older copy")
}
