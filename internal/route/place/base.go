package place

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
)

// baseline decides by one of the plain policies that measurements compare with.
// All of them honour residency, ejection and leaving.
func baseline(ask Ask, list []Candidate, remotes []Remote, rnd *rand.Rand) Decision {
	if ask.Service.Policy == invent.Near {
		return nearest(ask, list, remotes, rnd)
	}
	usableHere := 0
	for i := range list {
		if ask.Local && usable(&list[i]) {
			usableHere++
		}
	}
	if ask.Service.Policy == invent.Round {
		return roundRobin(ask, list, remotes, usableHere)
	}
	return leastLoaded(ask, list, remotes)
}

// nearest takes a random endpoint of this region, or the nearest other region.
func nearest(ask Ask, list []Candidate, remotes []Remote, rnd *rand.Rand) Decision {
	at, seen := -1, 0
	for i := range list {
		if !ask.Local || !usable(&list[i]) {
			continue
		}
		seen++
		if rnd.IntN(seen) == 0 {
			at = i
		}
	}
	if at >= 0 {
		return Decision{Kind: Here, Index: at}
	}
	best := -1
	for i := range remotes {
		r := &remotes[i]
		if ask.Cross && reachable(r) && (best < 0 || r.Latency < remotes[best].Latency) {
			best = i
		}
	}
	return there(best)
}

// roundRobin goes through all endpoints of all allowed regions in turn; a
// region counts as often as it has slots for each slot-sized endpoint here.
func roundRobin(ask Ask, list []Candidate, remotes []Remote, here int) Decision {
	share := 1.0
	if len(list) > 0 {
		share = float64(list[0].Slots)
	}
	total := here
	for i := range remotes {
		if ask.Cross && reachable(&remotes[i]) {
			total += remoteTurns(&remotes[i], share)
		}
	}
	if total == 0 {
		return there(-1)
	}
	turn := int(ask.Turn % uint64(total))
	for i := range list {
		if !ask.Local || !usable(&list[i]) {
			continue
		}
		if turn == 0 {
			return Decision{Kind: Here, Index: i}
		}
		turn--
	}
	for i := range remotes {
		if !ask.Cross || !reachable(&remotes[i]) {
			continue
		}
		turn -= remoteTurns(&remotes[i], share)
		if turn < 0 {
			return there(i)
		}
	}
	return there(-1)
}

func remoteTurns(r *Remote, share float64) int { return max(1, int(r.Slots/share)) }

// leastLoaded takes the place with the least load for its size, wherever it is.
// A region without a recent sum is taken only where nothing else is left.
func leastLoaded(ask Ask, list []Candidate, remotes []Remote) Decision {
	out, lowest := there(-1), math.Inf(1)
	for i := range list {
		if f := fill(&list[i]); ask.Local && usable(&list[i]) && f < lowest {
			out, lowest = Decision{Kind: Here, Index: i}, f
		}
	}
	for i := range remotes {
		if !ask.Cross || !reachable(&remotes[i]) {
			continue
		}
		if f := remoteFill(&remotes[i]); f < lowest {
			out, lowest = there(i), f
		}
	}
	return out
}

// remoteFill is the load of a region for its size, a very high one if not known.
func remoteFill(r *Remote) float64 {
	if !r.Known {
		return math.MaxFloat64
	}
	return r.Busy / max(1, r.Slots)
}

func reachable(r *Remote) bool {
	return r.Hosts && !r.Tried && (!r.Known || r.Slots > 0)
}

func there(i int) Decision {
	if i < 0 {
		return Decision{Kind: Refuse, Reason: NoEndpoint, Retry: time.Second}
	}
	return Decision{Kind: There, Index: i}
}
