// Package pick chooses the endpoint or the region for a request whose route the
// platform publishes and which may name the parts of its prompt. It is made for many
// short prompts beside a few long ones with shared prefixes: as far as the load
// allows, long prompts are sent to an endpoint that has their prefix cached, in
// whichever region, and short prompts avoid endpoints that are prefilling a long one.
package pick

import (
	"math/rand/v2"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/route/place"
)

const (
	// runningCost is what each running request adds to the time to first token, as it
	// lengthens the steps of the batch.
	runningCost = 500 * time.Microsecond
	// queuedCost is what each request beyond the slots adds to the time to first token.
	queuedCost = 40 * time.Millisecond
	// scoreTolerance is the difference up to which two scores count as equal: the time
	// of one batch step.
	scoreTolerance = 8 * time.Millisecond
	// reuseShare is the share of a prefix's prefill time by which its owner's score is
	// lowered while the prefix is not cached there, as later requests are saved that
	// prefill.
	reuseShare = 0.7
)

// Candidate is a local endpoint that the request may be sent to.
type Candidate struct {
	Name  string
	Slots int
	// Load is the estimated number of requests at the endpoint, Own that of this host.
	Load float64
	Own  int
	// QueuedPrefill is the prefill time of prompts sent to the endpoint that have no first
	// token yet.
	QueuedPrefill time.Duration
	// Cached reports whether the prompt prefix is cached at the endpoint.
	Cached bool
	// Slowdown is the slowdown factor: how many times longer than usual its answers take. Of a
	// plain service it may be under 1.
	Slowdown float64
	// Failing reports whether the endpoint is ejected or too many of its requests fail.
	Failing bool
}

// Request describes the request to place.
type Request struct {
	// PrefixPrefill is the prefill time of the shared prompt prefix, SuffixPrefill that
	// of the rest.
	PrefixPrefill time.Duration
	SuffixPrefill time.Duration
	// Prefix is the hash of the shared prompt prefix; 0 means none.
	Prefix uint64
	// AnswerTime is the usual time of a complete answer of a plain service; 0 for engines.
	AnswerTime time.Duration
}

// Choice is the chosen candidate.
type Choice struct {
	// Index is that of the candidate, -1 if there is none.
	Index int
	// Score is the expected time to first token, lowered for a prefix's owner by
	// reuseShare; for a plain service, the expected time of the complete answer.
	Score time.Duration
	// Prefill is the prefill time of the prompt at the candidate.
	Prefill time.Duration
	// AllFailing reports whether all candidates are failing.
	AllFailing bool
}

// ChooseEndpoint chooses the candidate with the lowest score. Among scores that count as
// equal it takes the candidate with the highest rendezvous weight for the prefix, so that
// hosts agree without coordination; without a prefix, the one with the lowest load. For a plain
// service it takes the candidate with the lowest rank.
func ChooseEndpoint(req Request, list []Candidate, rnd *rand.Rand) Choice {
	find := search
	if req.AnswerTime > 0 {
		find = searchPlain
	}
	c := find(req, list, rnd, false)
	if c.Index < 0 {
		// All candidates failed lately; one of them may have recovered.
		c = find(req, list, rnd, true)
		c.AllFailing = true
	}
	return c
}

func search(req Request, list []Candidate, rnd *rand.Rand, includeFailing bool) Choice {
	owner := prefixOwner(req.Prefix, list, includeFailing)
	scores := make([]time.Duration, len(list))
	lowest := time.Duration(-1)
	for i := range list {
		scores[i] = score(req, &list[i], i == owner)
		if allowed(&list[i], includeFailing) && (lowest < 0 || scores[i] < lowest) {
			lowest = scores[i]
		}
	}
	best, seen := Choice{Index: -1}, 0
	for i := range list {
		c := &list[i]
		if !allowed(c, includeFailing) || scores[i] > lowest+scoreTolerance {
			continue
		}
		seen++
		if best.Index < 0 || preferred(req.Prefix, c, &list[best.Index], rnd, seen) {
			best = Choice{Index: i, Score: scores[i], Prefill: prefillTime(req, c)}
		}
	}
	return best
}

func allowed(c *Candidate, includeFailing bool) bool { return includeFailing || !c.Failing }

// prefixOwner returns the index of the candidate with the highest rendezvous weight
// for a prefix, -1 if there is none.
func prefixOwner(prefix uint64, list []Candidate, includeFailing bool) int {
	owner, top := -1, uint64(0)
	if prefix == 0 {
		return owner
	}
	for i := range list {
		if !allowed(&list[i], includeFailing) {
			continue
		}
		if w := place.Weight(prefix, list[i].Name); owner < 0 || w > top {
			owner, top = i, w
		}
	}
	return owner
}

// preferred reports whether c is chosen over best, whose score counts as equal; c is the
// seen-th such candidate.
func preferred(prefix uint64, c, best *Candidate, rnd *rand.Rand, seen int) bool {
	switch {
	case prefix != 0:
		return place.Weight(prefix, c.Name) > place.Weight(prefix, best.Name)
	case c.Load != best.Load:
		return c.Load < best.Load
	}
	return rnd.IntN(seen) == 0
}

// prefillTime returns the prefill time of the part of the prompt that is not cached at
// the candidate.
func prefillTime(req Request, c *Candidate) time.Duration {
	if c.Cached {
		return req.SuffixPrefill
	}
	return req.SuffixPrefill + req.PrefixPrefill
}

// score returns the expected time to first token at a candidate, lowered by reuseShare for a
// prefix's owner. A prefix that is not cached counts prefillWeight times more: engines whose
// prefixes are read again at each burst have no time left for the requests behind them.
func score(req Request, c *Candidate, owner bool) time.Duration {
	slots := max(1, c.Slots)
	excess := max(0, c.Load+1-float64(slots))
	slowdown := max(1, c.Slowdown)
	prefill := prefillTime(req, c)
	if owner && !c.Cached {
		prefill -= time.Duration(reuseShare * float64(req.PrefixPrefill))
	}
	prefill += prefillCost(req, c.Cached)
	t := float64(prefill+c.QueuedPrefill) + c.Load*float64(runningCost) + excess*float64(queuedCost)
	return time.Duration(slowdown * t)
}

// Region is a remote region that the request may be sent to.
type Region struct {
	Name string
	// Slots is the sum of the slots of its endpoints, Load the estimated number of
	// requests there.
	Slots float64
	Load  float64
	// RoundTrip is the network round trip to the region.
	RoundTrip time.Duration
	// QueuedPrefill is the mean queued prefill of its endpoints.
	QueuedPrefill time.Duration
	// Failing reports whether all its endpoints are failing.
	Failing bool
	// Cached reports whether one of its endpoints has the prompt prefix cached.
	Cached bool
}

const (
	// minCrossGain is by how much sooner a request must start in another region to cross. It is
	// more than views of other regions are wrong by while their load is steady.
	minCrossGain = 60 * time.Millisecond
	// maxSoonerUtilisation is the utilisation from which a region gets no requests that could start
	// here, so that its own peak finds free slots.
	maxSoonerUtilisation = 0.7
)

// SoonerRegion returns the index of the region in which a request starts soonest, if that is at
// least minCrossGain before it would start here; -1 if there is none. It answers the load of
// regions whose callers peak one after the other: the engines of the busy region queue prompts
// while those of the others are idle. local is the expected time to first token here, base the part
// of it that does not depend on the prompt, and cached whether the prefix is cached here.
func SoonerRegion(req Request, local, base time.Duration, cached bool, list []Region) int {
	best, lowest := -1, local+prefillCost(req, cached)-minCrossGain
	for i := range list {
		r := &list[i]
		if r.Failing || r.Utilisation() >= maxSoonerUtilisation {
			continue
		}
		there := r.RoundTrip + r.QueuedPrefill + base + req.SuffixPrefill + prefillCost(req, r.Cached)
		if !r.Cached {
			there += req.PrefixPrefill
		}
		if there < lowest {
			best, lowest = i, there
		}
	}
	return best
}

// prefillCost returns by how much more than its own latency a prefix counts that is not cached, as
// its prefill delays the requests queued behind it too.
func prefillCost(req Request, cached bool) time.Duration {
	if cached {
		return 0
	}
	return prefillWeight * req.PrefixPrefill
}

// maxUtilisation is the utilisation from which a region gets no requests for the sake of
// a prefix that is cached there.
const maxUtilisation = 0.85

// Utilisation returns the share of the region's slots in use.
func (r *Region) Utilisation() float64 { return r.Load / max(1, r.Slots) }

// ChooseRegion returns the index of the chosen region, -1 if there is none. It draws two
// regions at random in proportion to their slots, as load reports from other regions
// are old, and takes the one with the shorter expected delay.
func ChooseRegion(list []Region, rnd *rand.Rand) int {
	a := drawRegion(list, rnd)
	b := drawRegion(list, rnd)
	if a < 0 || startDelay(&list[a]) <= startDelay(&list[b]) {
		return a
	}
	return b
}

// fullRegionWait is the wait assumed in a region with all slots in use. It is also the
// penalty of a failing region.
const fullRegionWait = 300 * time.Millisecond

// startDelay returns the expected time until a region starts work on a request.
func startDelay(r *Region) time.Duration {
	filled := r.Utilisation()
	wait := r.RoundTrip + r.QueuedPrefill + time.Duration(filled*filled*filled*float64(fullRegionWait))
	if r.Failing {
		wait += fullRegionWait
	}
	return wait
}

// drawRegion returns the index of a random region, in proportion to the slots; -1 if
// the list is empty.
func drawRegion(list []Region, rnd *rand.Rand) int {
	total := 0.0
	for i := range list {
		total += max(1, list[i].Slots)
	}
	at := rnd.Float64() * total
	for i := range list {
		if at -= max(1, list[i].Slots); at < 0 {
			return i
		}
	}
	return len(list) - 1
}

// Endpoint is an endpoint of any region.
type Endpoint struct {
	Name   string
	Region string
}

// PrefixRegion returns the region of the endpoint with the highest rendezvous weight for
// a prefix, so that hosts agree on it; it is empty if the list is.
func PrefixRegion(prefix uint64, list []Endpoint) string {
	region, top := "", uint64(0)
	for i := range list {
		if w := place.Weight(prefix, list[i].Name); region == "" || w > top {
			region, top = list[i].Region, w
		}
	}
	return region
}

// WorthCrossing reports whether a request is better sent to a remote region that has
// its prefix cached: the prefill time saved, weighted by prefillWeight, exceeds the round
// trip and the queued prefill there, and the region is below maxUtilisation.
func WorthCrossing(req Request, r *Region) bool {
	return prefillWeight*req.PrefixPrefill > r.RoundTrip+r.QueuedPrefill && r.Utilisation() < maxUtilisation
}

// prefillWeight is the factor by which prefill time that can be saved counts, as a
// prefill delays the requests queued behind it too.
const prefillWeight = 3
