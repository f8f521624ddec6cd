package place

import (
	"time"
)

// spillRules are the conditions that a region must meet to get a request.
type spillRules struct {
	// recentLoad requires a region that answers and has a recent load report; it is set
	// while local endpoints accept requests.
	recentLoad bool
	// withinBound requires the bound on the share of spilled requests to be kept; it is
	// set while the local region is not impaired.
	withinBound bool
}

// bestRemote returns the remote region with the lowest expected time to first token,
// with silent regions last.
func bestRemote(req Request, list []RemoteRegion, rules spillRules, includeFailing bool) searchResult {
	out := searchResult{index: -1}
	for i := range list {
		r := &list[i]
		if !r.Reachable || r.Tried || (rules.recentLoad && (r.Silent || !r.LoadKnown)) || (rules.withinBound && !r.SpillAllowed) {
			continue
		}
		if r.LoadKnown && r.Slots <= 0 && !includeFailing {
			continue
		}
		s := remoteScore(req, r)
		if r.Silent {
			s += silentPenalty
		}
		if out.index < 0 || s < out.score {
			out.index, out.score = i, s
			out.slots, out.excess = r.Slots, r.Busy-r.Slots
			out.answerTime = usualAnswerTime(req)
		}
		out.eligibleCount++
	}
	return out
}

// usualAnswerTime returns the usual time of a complete answer of the service.
func usualAnswerTime(req Request) time.Duration {
	return time.Duration(req.Service.WorkMS * float64(time.Millisecond))
}

// remoteScore returns the expected time to first token in a remote region.
func remoteScore(req Request, r *RemoteRegion) time.Duration {
	first := time.Duration(req.Service.PrefillMS * float64(time.Millisecond))
	slots, busy := r.Slots, r.Busy
	if !r.LoadKnown {
		slots, busy = 1, assumedLoad
	}
	wait := time.Duration(waitFactor(busy, slots*r.Ramp) * float64(usualAnswerTime(req)))
	return first + wait + 2*r.Latency
}
