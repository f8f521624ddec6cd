package place

import (
	"time"
)

// bounds say what holds for regions that a request may spill to.
type bounds struct {
	// heard asks for a region that was heard of lately; it holds while endpoints
	// here take work.
	heard bool
	// share asks for the bound on the share of spilled requests to hold; it does
	// so while this region does well.
	share bool
}

// bestRemote scores the other regions.
func bestRemote(ask Ask, list []Remote, b bounds, last bool) best {
	out := best{index: -1}
	for i := range list {
		r := &list[i]
		if !r.Hosts || r.Tried || (b.heard && (r.Silent || !r.Known)) || (b.share && !r.Open) {
			continue
		}
		if r.Known && r.Slots <= 0 && !last {
			continue
		}
		s := remoteScore(ask, r)
		if r.Silent {
			s += silentPenalty
		}
		if out.index < 0 || s < out.score {
			out.index, out.score = i, s
			out.slots, out.excess = r.Slots, r.Busy-r.Slots
			out.work = workTime(ask)
		}
		out.alive++
	}
	return out
}

func workTime(ask Ask) time.Duration {
	return time.Duration(ask.Service.WorkMS * float64(time.Millisecond))
}

func remoteScore(ask Ask, r *Remote) time.Duration {
	first := time.Duration(ask.Service.PrefillMS * float64(time.Millisecond))
	slots, busy := r.Slots, r.Busy
	if !r.Known {
		slots, busy = 1, unknownLoad
	}
	wait := time.Duration(waitAt(busy, slots*r.Ramp) * float64(workTime(ask)))
	return first + wait + 2*r.Latency
}
