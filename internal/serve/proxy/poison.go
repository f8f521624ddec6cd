package proxy

import (
	"strconv"
	"strings"
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

// suspects are the keys of a request in the evidence against what ends endpoints.
type suspects struct {
	// parts are those of the prompt parts that other requests may have too.
	parts []poison.Key
	// repeat is that of the request as its caller repeats it; alike is shared by the requests of
	// all callers with the same path and body.
	repeat, alike poison.Key
}

// newSuspects returns the keys of a request.
func newSuspects(r *Request) suspects {
	path, _, _ := strings.Cut(r.Target, "?")
	exact := []string{r.Method, r.Host, r.Target, r.Caller}
	for _, part := range r.Prompt.Parts {
		exact = append(exact, part.ID)
	}
	return suspects{
		parts:  partKeys(r.Prompt),
		repeat: poison.KeyOfRequest(r.Body, exact...),
		alike:  poison.KeyOfRequest(r.Body, r.Method, r.Host, path),
	}
}

// requests returns the keys of the request itself.
func (s *suspects) requests() []poison.Key { return []poison.Key{s.repeat, s.alike} }

// all returns all keys.
func (s *suspects) all() []poison.Key { return append(s.requests(), s.parts...) }

// quarantineRefusal returns the refusal of a request under which, or under a prompt part of
// which, endpoints end, unless it is chosen as the trial.
func (p *Proxy) quarantineRefusal(t *task) *fault.Refusal {
	if t.Trial && t.report.Attempts == 0 {
		return nil
	}
	if t.lastRefusal != nil && t.lastRefusal.Code == fault.Poisoned {
		// A host of another region refused for evidence that has not arrived here yet.
		return t.lastRefusal
	}
	v := p.Board.Poison.Check(p.Now(), t.suspects.all(), func(slot int) bool { return p.makesTrial(t, slot) })
	if v.Trial {
		t.Trial = t.report.Attempts == 0
		p.Log.Warn().Str("request", t.ID).Uint64("key", uint64(v.Key)).Msg("trial of a quarantined part or request")
		return nil
	}
	if !v.Refused {
		return nil
	}
	p.Meter.QuarantineRefusals.Inc()
	return fault.New(fault.Poisoned, fault.RanNo, "endpoints ended under requests like this one").WithRetryAfter(v.RetryAfter)
}

// makesTrial reports whether this host makes trials in a slot. One host of the regions that
// may serve the request does, by rendezvous hashing.
func (p *Proxy) makesTrial(t *task, slot int) bool {
	serving := map[string]bool{}
	for _, e := range p.Board.Registry.Endpoints(t.Service) {
		serving[e.Region] = t.Route.Allows(e.Region)
	}
	if !serving[p.Board.Region] {
		return false
	}
	hash := xxhash.Sum64String(strconv.Itoa(slot))
	own := place.Weight(hash, p.Board.Name)
	for _, m := range p.Board.Members.Members() {
		if m.Usable() && serving[m.Region] && place.Weight(hash, m.Name) > own {
			return false
		}
	}
	return true
}

// key returns the key of an endpoint's process in the evidence.
func (l life) key() uint64 {
	return xxhash.Sum64String(l.id + "/" + strconv.FormatInt(l.incarnation, 10))
}

// recordEvidence records the prompt parts and requests that were in flight at the endpoints
// that ended.
func (p *Proxy) recordEvidence(now time.Time, key life, w *ending) {
	for k, b := range w.suspects {
		if b.reported {
			continue
		}
		b.reported = true
		end := poison.End{Life: key.key(), Request: uint32(xxhash.Sum64String(b.request)), At: b.broken, Flight: b.broken.Sub(b.sent)}
		if b.repeat {
			p.Board.Poison.RecordRepeatEnd(now, k, end)
		} else {
			p.Board.Poison.RecordEnd(now, k, end)
		}
		if b.trial {
			p.Board.Poison.RecordFailedTrial(now, k)
		}
	}
}
