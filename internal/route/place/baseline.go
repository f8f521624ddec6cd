package place

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
)

// baselinePolicy decides by one of the simple policies that measurements compare with.
// All of them honour residency, ejection and draining.
func baselinePolicy(req Request, list []Candidate, remotes []RemoteRegion, rnd *rand.Rand) Decision {
	if req.Service.Policy == invent.Nearest {
		return nearest(req, list, remotes, rnd)
	}
	usableCount := 0
	for i := range list {
		if req.LocalAllowed && usable(&list[i]) {
			usableCount++
		}
	}
	if req.Service.Policy == invent.RoundRobin {
		return roundRobin(req, list, remotes, usableCount)
	}
	return leastLoaded(req, list, remotes)
}

// nearest chooses a random local endpoint, or the nearest remote region if there is none.
func nearest(req Request, list []Candidate, remotes []RemoteRegion, rnd *rand.Rand) Decision {
	chosen, seen := -1, 0
	for i := range list {
		if !req.LocalAllowed || !usable(&list[i]) {
			continue
		}
		seen++
		if rnd.IntN(seen) == 0 {
			chosen = i
		}
	}
	if chosen >= 0 {
		return Decision{Kind: SendLocal, Index: chosen}
	}
	best := -1
	for i := range remotes {
		r := &remotes[i]
		if req.RemoteAllowed && reachable(r) && (best < 0 || r.Latency < remotes[best].Latency) {
			best = i
		}
	}
	return remoteDecision(best)
}

// roundRobin takes turns over the local endpoints and the allowed remote regions. A
// region has as many turns as it would have endpoints of the size of the first local one.
func roundRobin(req Request, list []Candidate, remotes []RemoteRegion, usableCount int) Decision {
	slots := 1.0
	if len(list) > 0 {
		slots = float64(list[0].Slots)
	}
	total := usableCount
	for i := range remotes {
		if req.RemoteAllowed && reachable(&remotes[i]) {
			total += remoteTurns(&remotes[i], slots)
		}
	}
	if total == 0 {
		return remoteDecision(-1)
	}
	turn := int(req.Sequence % uint64(total))
	for i := range list {
		if !req.LocalAllowed || !usable(&list[i]) {
			continue
		}
		if turn == 0 {
			return Decision{Kind: SendLocal, Index: i}
		}
		turn--
	}
	for i := range remotes {
		if !req.RemoteAllowed || !reachable(&remotes[i]) {
			continue
		}
		turn -= remoteTurns(&remotes[i], slots)
		if turn < 0 {
			return remoteDecision(i)
		}
	}
	return remoteDecision(-1)
}

// remoteTurns returns the number of turns of a region, one for each endpoint of a number
// of slots.
func remoteTurns(r *RemoteRegion, slots float64) int { return max(1, int(r.Slots/slots)) }

// leastLoaded chooses the local endpoint or remote region with the lowest utilisation.
// A region without a recent load report is chosen only if nothing else is left.
func leastLoaded(req Request, list []Candidate, remotes []RemoteRegion) Decision {
	out, lowest := remoteDecision(-1), math.Inf(1)
	for i := range list {
		if f := utilisation(&list[i]); req.LocalAllowed && usable(&list[i]) && f < lowest {
			out, lowest = Decision{Kind: SendLocal, Index: i}, f
		}
	}
	for i := range remotes {
		if !req.RemoteAllowed || !reachable(&remotes[i]) {
			continue
		}
		if f := remoteUtilisation(&remotes[i]); f < lowest {
			out, lowest = remoteDecision(i), f
		}
	}
	return out
}

// remoteUtilisation returns the share of a region's slots that is busy, or a very large
// number if there is no recent load report.
func remoteUtilisation(r *RemoteRegion) float64 {
	if !r.LoadKnown {
		return math.MaxFloat64
	}
	return r.Busy / max(1, r.Slots)
}

// reachable reports whether the request may be sent to a region.
func reachable(r *RemoteRegion) bool {
	return r.Reachable && !r.Tried && (!r.LoadKnown || r.Slots > 0)
}

// remoteDecision sends the request to the region at an index, or refuses it if the
// index is negative.
func remoteDecision(i int) Decision {
	if i < 0 {
		return Decision{Kind: Refuse, Reason: NoEndpoint, RetryAfter: time.Second}
	}
	return Decision{Kind: SendRemote, Index: i}
}
