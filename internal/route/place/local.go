package place

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// usable reports whether nothing excludes a candidate.
func usable(c *Candidate) bool { return !c.Ejected && !c.Failing && !c.Leaving && !c.Tried }

// eligible reports whether a candidate may be chosen: it is usable or, as a last resort,
// it failed lately but accepts requests.
func eligible(c *Candidate, includeFailing bool) bool {
	return !c.Leaving && !c.Tried && (includeFailing || usable(c))
}

// capacity returns the number of requests, running and queued, that a candidate may have.
func capacity(c *Candidate) float64 {
	slots := math.Max(1, float64(c.Slots)*c.Ramp)
	return slots + math.Max(minOvercommit, overcommitShare*slots)
}

// bestLocal returns the endpoint with the lowest expected time to first token. Among
// scores that count as equal it takes the owner of the prompt prefix, else the less
// loaded of two random endpoints, as load reports lag and several hosts decide at once.
func bestLocal(req Request, list []Candidate, rnd *rand.Rand, includeFailing bool) searchResult {
	out := searchResult{index: -1}
	owner := prefixOwner(req.Prefix, list)
	lowest := time.Duration(math.MaxInt64)
	var work float64
	for i := range list {
		c := &list[i]
		c.score = noScore
		if !eligible(c, includeFailing) {
			continue
		}
		out.eligibleCount++
		out.slots += float64(c.Slots)
		out.excess += c.Load - float64(c.Slots)
		work += float64(c.AnswerTime)
		if c.Load+1 > capacity(c) {
			continue
		}
		c.score = score(c, i == owner)
		lowest = min(lowest, c.score)
	}
	if out.eligibleCount > 0 {
		out.answerTime = time.Duration(work / float64(out.eligibleCount))
	}
	if lowest == math.MaxInt64 {
		return out
	}
	limit := lowest + max(tieTime, time.Duration(tieShare*float64(lowest)))
	out.index = pickNear(list, owner, limit, rnd)
	out.cached = out.index == owner
	out.score = list[out.index].score
	out.slotWait = slotWait(&list[out.index])
	return out
}

// pickNear returns the owner of the prefix if its score is within the limit, else the
// less loaded of two random candidates within it.
func pickNear(list []Candidate, owner int, limit time.Duration, rnd *rand.Rand) int {
	first, second, seen := -1, -1, 0
	for i := range list {
		if list[i].score > limit {
			continue
		}
		if i == owner {
			return i
		}
		seen++
		switch {
		case seen <= 1:
			first = i
		case seen == 2:
			second = i
		default:
			if j := rnd.IntN(seen); j == 0 {
				first = i
			} else if j == 1 {
				second = i
			}
		}
	}
	if second >= 0 && utilisation(&list[second]) < utilisation(&list[first]) {
		return second
	}
	return first
}

// utilisation returns the load of a candidate as a share of its slots.
func utilisation(c *Candidate) float64 { return c.Load / float64(c.Slots) }

// score returns the expected time to first token at a candidate.
func score(c *Candidate, cached bool) time.Duration {
	first := float64(c.TimeToFirstToken)
	if cached {
		first *= CacheHitShare
	}
	return time.Duration(first) + slotWait(c) + 2*c.Latency
}

// slotWait returns the expected wait for a slot at a candidate.
func slotWait(c *Candidate) time.Duration {
	return time.Duration(waitFactor(c.Load, float64(c.Slots)*c.Ramp) * float64(c.AnswerTime))
}

// waitFactor returns the expected wait for a slot as a multiple of the time of an
// answer. It grows before the slots are full, as load reports lag and other hosts
// decide at the same time.
func waitFactor(load, slots float64) float64 {
	slots = math.Max(1, slots)
	filled := math.Min(1, (load+1)/slots)
	excess := math.Max(0, load+1-slots)
	return (filled*filled*filled*filled + excess) / slots
}

// prefixOwner returns the index of the candidate that owns a prefix by rendezvous
// hashing, -1 if there is none. Hosts agree on it without coordination, and the loss of
// an endpoint moves only the prefixes that it owned.
func prefixOwner(prefix uint64, list []Candidate) int {
	if prefix == 0 {
		return -1
	}
	owner, top := -1, uint64(0)
	for i := range list {
		if !usable(&list[i]) {
			continue
		}
		if w := Weight(prefix, list[i].Name); owner < 0 || w > top {
			owner, top = i, w
		}
	}
	return owner
}

// Weight returns the rendezvous weight of a name for a key.
func Weight(key uint64, name string) uint64 {
	h := xxhash.Sum64String(name) ^ key
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
