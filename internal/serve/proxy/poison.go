package proxy

import (
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/poison"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/terms"
	"github.com/hyssopspindle/hyssopspindle/internal/route/place"
)

// partKeys returns the keys of the prompt parts that other requests may have too.
func partKeys(prompt terms.Prompt) []poison.Key {
	parts := sharedParts(prompt)
	keys := make([]poison.Key, len(parts))
	for i, part := range parts {
		keys[i] = poison.KeyOf(part.ID)
	}
	return keys
}

// quarantineRefusal returns the refusal of a request with a quarantined prompt part, unless it
// is chosen as the part's trial.
func (p *Proxy) quarantineRefusal(t *task) *fault.Refusal {
	if len(t.Prompt.Parts) < 2 || t.Trial && t.report.Attempts == 0 {
		return nil
	}
	if t.lastRefusal != nil && t.lastRefusal.Code == fault.Poisoned {
		// A host of another region refused for evidence that has not arrived here yet.
		return t.lastRefusal
	}
	v := p.Board.Poison.Check(p.Now(), partKeys(t.Prompt), func(k poison.Key, slot int) bool { return p.makesTrial(t, k, slot) })
	if v.Trial {
		t.Trial = t.report.Attempts == 0
		p.Log.Warn().Str("request", t.ID).Uint64("part", uint64(v.Key)).Msg("trial of a quarantined prompt part")
		return nil
	}
	if !v.Refused {
		return nil
	}
	p.Meter.QuarantineRefusals.Inc()
	return fault.New(fault.Poisoned, fault.RanNo, "endpoints ended under requests with a part of this prompt").WithRetryAfter(v.RetryAfter)
}

// makesTrial reports whether this host makes the trial of a part in a slot. One host of the
// regions that may serve the request does, by rendezvous hashing.
func (p *Proxy) makesTrial(t *task, k poison.Key, slot int) bool {
	serving := map[string]bool{}
	for _, e := range p.Board.Registry.Endpoints(t.Service) {
		serving[e.Region] = t.Route.Allows(e.Region)
	}
	if !serving[p.Board.Region] {
		return false
	}
	hash := xxhash.Sum64String(strconv.Itoa(slot)) ^ uint64(k)
	own := place.Weight(hash, p.Board.Name)
	for _, m := range p.Board.Members.Members() {
		if m.Usable() && serving[m.Region] && place.Weight(hash, m.Name) > own {
			return false
		}
	}
	return true
}

// lifeKey returns the key of an endpoint's process in the evidence against prompt parts.
func (l life) key() uint64 {
	return xxhash.Sum64String(l.id + "/" + strconv.FormatInt(l.incarnation, 10))
}

// recordEvidence records the prompt parts that were in flight at the endpoints that ended.
func (p *Proxy) recordEvidence(now time.Time, key life, w *ending) {
	for _, b := range w.parts {
		if b.reported {
			continue
		}
		b.reported = true
		p.Board.Poison.RecordEnd(now, poison.KeyOf(b.id), poison.End{
			Life: key.key(), Request: uint32(xxhash.Sum64String(b.request)), At: b.broken, Flight: b.broken.Sub(b.sent),
		})
		if b.trial {
			p.Board.Poison.RecordFailedTrial(now, poison.KeyOf(b.id))
		}
	}
}
