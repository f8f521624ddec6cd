package place

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

func usable(c *Candidate) bool { return !c.Ejected && !c.Failing && !c.Leaving && !c.Tried }

// eligible is usable, or in the last resort what takes work but failed lately.
func eligible(c *Candidate, last bool) bool {
	return !c.Leaving && !c.Tried && (last || usable(c))
}

// room returns the number of requests that the candidate may hold.
func room(c *Candidate) float64 {
	slots := math.Max(1, float64(c.Slots)*c.Ramp)
	return slots + math.Max(overLeast, overShare*slots)
}

// bestLocal scores the endpoints by expected time to the first token. Among
// near equals it takes two at random and the less loaded of them, as reports
// lag and several hosts decide at once.
func bestLocal(ask Ask, list []Candidate, rnd *rand.Rand, last bool) best {
	out := best{index: -1}
	warm := preferred(ask.Prefix, list)
	lowest := time.Duration(math.MaxInt64)
	var work float64
	for i := range list {
		c := &list[i]
		c.score = noScore
		if !eligible(c, last) {
			continue
		}
		out.alive++
		out.slots += float64(c.Slots)
		out.excess += c.Load - float64(c.Slots)
		work += float64(c.Work)
		if c.Load+1 > room(c) {
			continue
		}
		c.score = score(c, i == warm)
		lowest = min(lowest, c.score)
	}
	if out.alive > 0 {
		out.work = time.Duration(work / float64(out.alive))
	}
	if lowest == math.MaxInt64 {
		return out
	}
	limit := lowest + max(nearTime, time.Duration(nearShare*float64(lowest)))
	out.index = pickNear(list, warm, limit, rnd)
	out.warm = out.index == warm
	out.score = list[out.index].score
	out.queue = queueTime(&list[out.index])
	return out
}

// pickNear chooses the less loaded of two random candidates within the limit.
func pickNear(list []Candidate, warm int, limit time.Duration, rnd *rand.Rand) int {
	first, second, seen := -1, -1, 0
	for i := range list {
		if list[i].score > limit {
			continue
		}
		if i == warm {
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
	if second >= 0 && fill(&list[second]) < fill(&list[first]) {
		return second
	}
	return first
}

func fill(c *Candidate) float64 { return c.Load / float64(c.Slots) }

func score(c *Candidate, warm bool) time.Duration {
	first := float64(c.First)
	if warm {
		first *= HitShare
	}
	return time.Duration(first) + queueTime(c) + 2*c.Network
}

// queueTime is the expected wait for a slot of a candidate.
func queueTime(c *Candidate) time.Duration {
	return time.Duration(waitAt(c.Load, float64(c.Slots)*c.Ramp) * float64(c.Work))
}

// waitAt is the expected wait for a slot, in answers' times. It grows before the
// slots are full, as reports lag and other hosts decide at the same time.
func waitAt(load, slots float64) float64 {
	slots = math.Max(1, slots)
	filled := math.Min(1, (load+1)/slots)
	beyond := math.Max(0, load+1-slots)
	return (filled*filled*filled*filled + beyond) / slots
}

// preferred returns the candidate that a prefix belongs to, by rendezvous
// hashing: hosts agree on it without talking, and the loss of an endpoint moves
// only its own prefixes. It is -1 where there is none.
func preferred(prefix uint64, list []Candidate) int {
	if prefix == 0 {
		return -1
	}
	at, top := -1, uint64(0)
	for i := range list {
		if !usable(&list[i]) {
			continue
		}
		if w := Weight(prefix, list[i].Name); at < 0 || w > top {
			at, top = i, w
		}
	}
	return at
}

// Weight is the rendezvous weight of a name for a key.
func Weight(key uint64, name string) uint64 {
	h := xxhash.Sum64String(name) ^ key
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	h ^= h >> 33
	return h
}
