// Package place decides where a request goes. Everything in it is a function of
// its arguments.
package place

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
)

// Candidate is an endpoint of this host's region, as it is believed to be.
type Candidate struct {
	Name string
	// Slots is the number of requests it works on at once.
	Slots int
	// Load is the estimate of requests running or queued there.
	Load float64
	// Work is the expected time of one answer, First that before the first
	// token or byte once a slot is free.
	Work  time.Duration
	First time.Duration
	// Network is the one-way time to the endpoint.
	Network time.Duration
	// Share of its slots that may be used, below 1 while its cache is cold.
	Ramp float64
	// Ejected, Failing, Leaving and Tried say why it may not be chosen: its
	// requests failed, its load reports fail, it takes no more work, and this
	// request was there.
	Ejected bool
	Failing bool
	Leaving bool
	Tried   bool
}

// Remote is another region, as it is believed to be.
type Remote struct {
	Region string
	// Slots and Busy sum up the service's endpoints there.
	Slots float64
	Busy  float64
	// Known is false where no recent sum is held.
	Known bool
	// Hosts says that a host of the region can be reached.
	Hosts bool
	// Silent says that the region did not answer lately; it gets no spilled
	// requests, and others only where nothing else is left.
	Silent bool
	// Latency is the one-way time to the region, and Cost the price of crossing.
	Latency time.Duration
	Cost    float64
	// Open says that the bound on spilled requests is not reached.
	Open bool
	// Ramp is the share of its slots that may be used.
	Ramp  float64
	Tried bool
}

// Ask is what a request needs.
type Ask struct {
	Service *invent.Service
	// Prefix is the hash of the prompt's beginning; 0 is none.
	Prefix uint64
	// Left is the time before the deadline.
	Left time.Duration
	// Local says that this region may serve the request.
	Local bool
	// Cross says that the request may go to another region.
	Cross bool
	// Queued is the number of requests that wait before this one.
	Queued int
	// Turn counts a baseline's decisions.
	Turn uint64
}

// Kind is what to do with a request.
type Kind int

// The kinds of decision.
const (
	// Refuse means that no place can finish the request in time.
	Refuse Kind = iota
	// Wait means that a place here frees up in time.
	Wait
	// Here means an endpoint of this region.
	Here
	// There means another region.
	There
)

// String returns the kind's name.
func (k Kind) String() string {
	return [...]string{"refuse", "wait", "here", "there"}[k]
}

// Reason says why a request is refused, or a candidate passed over.
type Reason string

// The reasons.
const (
	NoRegion   Reason = "no allowed region can be reached"
	NoEndpoint Reason = "no endpoint takes work"
	Late       Reason = "cannot be done before the deadline"
	Full       Reason = "every place is full"
)

// Decision is where a request goes.
type Decision struct {
	Kind Kind
	// Index is that of the chosen candidate or remote.
	Index int
	// Expect is the expected time to the first token.
	Expect time.Duration
	// Reason explains a refusal.
	Reason Reason
	// Retry is when to come back after a refusal.
	Retry time.Duration
	// Queue is the part of Expect that is the wait for a slot.
	Queue time.Duration
	// Warm says that the endpoint is taken to hold the prompt's beginning.
	Warm bool
	// Spill says that the request crosses although its region may serve it.
	Spill bool
}

const (
	// overShare and overLeast say how many requests beyond its slots an endpoint
	// is given, so that it does not idle while reports travel.
	overShare = 0.25
	overLeast = 1.0
	// HitShare is the share of the first-token time that remains with a warm prefix.
	HitShare = 0.25
	// nearShare and nearTime say which scores count as equal.
	nearShare = 0.15
	nearTime  = 2 * time.Millisecond
	// unknownLoad is the assumed load of a region without a recent sum, as a
	// share of its slots.
	unknownLoad = 0.8
	// silentPenalty puts a silent region behind every other one.
	silentPenalty = time.Minute
	// impairedLatency and impairedCost say how many times longer than usual a
	// region answers when its bounds on spilled requests stop to hold.
	impairedLatency = 1.5
	impairedCost    = 4.0
	minRetry        = 200 * time.Millisecond
	maxRetry        = 30 * time.Second
)

// Decide chooses a place by the service's policy.
func Decide(ask Ask, list []Candidate, remotes []Remote, rnd *rand.Rand) Decision {
	if ask.Service.Policy != invent.Product {
		return baseline(ask, list, remotes, rnd)
	}
	d := product(ask, list, remotes, rnd, false)
	if d.Kind == Refuse && d.Reason != Late {
		// What failed lately may have recovered, and nothing else is left.
		d = product(ask, list, remotes, rnd, true)
	}
	return d
}

// product is the gateway's own policy; last lets places in that failed lately.
func product(ask Ask, list []Candidate, remotes []Remote, rnd *rand.Rand, last bool) Decision {
	local := best{index: -1}
	if ask.Local {
		local = bestLocal(ask, list, rnd, last)
	}
	remote := best{index: -1}
	if ask.Cross {
		remote = bestRemote(ask, remotes, bounds{
			heard: local.alive > 0, share: local.alive > 0 && !impaired(ask, local),
		}, last)
	}
	return weigh(ask, local, remote)
}

// impaired reports whether this region would answer so late that its bounds on
// spilled requests do not hold, as for a region that has lost its endpoints.
func impaired(ask Ask, local best) bool {
	expect := local.score
	if local.index < 0 {
		expect = local.wait(ask.Queued)
	}
	factor := impairedLatency
	if ask.Service.Objective == invent.Cost {
		factor = impairedCost
	}
	usual := ask.Service.PrefillMS + ask.Service.WorkMS
	return expect > time.Duration(factor*usual*float64(time.Millisecond)) || expect+local.work > ask.Left
}

// best is the outcome of a search among candidates.
type best struct {
	index int
	warm  bool
	queue time.Duration
	score time.Duration
	// alive counts the candidates that take work, slots is their sum.
	alive int
	slots float64
	// excess is the load beyond the slots, work the mean time of an answer.
	excess float64
	work   time.Duration
}

// wait is the expected time until a slot frees up for a new request.
func (b best) wait(queued int) time.Duration {
	if b.slots == 0 {
		return 0
	}
	ahead := math.Max(0, b.excess) + float64(queued) + 1
	return time.Duration(ahead / b.slots * float64(b.work))
}

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
		lowest = min(lowest, score(c, i == warm))
	}
	if out.alive > 0 {
		out.work = time.Duration(work / float64(out.alive))
	}
	if lowest == math.MaxInt64 {
		return out
	}
	limit := lowest + max(nearTime, time.Duration(nearShare*float64(lowest)))
	out.index = pickNear(list, warm, limit, rnd, last)
	out.warm = out.index == warm
	out.score = score(&list[out.index], out.warm)
	out.queue = queueTime(&list[out.index])
	return out
}

// pickNear chooses the less loaded of two random candidates within the limit.
func pickNear(list []Candidate, warm int, limit time.Duration, rnd *rand.Rand, last bool) int {
	first, second, seen := -1, -1, 0
	for i := range list {
		c := &list[i]
		if !eligible(c, last) || c.Load+1 > room(c) || score(c, i == warm) > limit {
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

// weigh compares this region with the best other one.
func weigh(ask Ask, local, remote best) Decision {
	cross := time.Duration(ask.Service.CrossMS * float64(time.Millisecond))
	wait := local.wait(ask.Queued)
	switch {
	case local.alive == 0 && remote.index < 0:
		return refuse(ask, local)
	case local.alive == 0:
		return Decision{Kind: There, Index: remote.index, Expect: remote.score}
	case local.index >= 0:
		if remote.index >= 0 && remote.score+cross < local.score {
			return Decision{Kind: There, Index: remote.index, Expect: remote.score, Spill: true}
		}
		return Decision{Kind: Here, Index: local.index, Expect: local.score, Queue: local.queue, Warm: local.warm}
	case remote.index >= 0 && remote.score+cross < wait:
		return Decision{Kind: There, Index: remote.index, Expect: remote.score, Spill: true}
	case wait+local.work > ask.Left:
		if remote.index >= 0 && remote.score+workTime(ask) < ask.Left {
			return Decision{Kind: There, Index: remote.index, Expect: remote.score, Spill: true}
		}
		return Decision{Kind: Refuse, Reason: Late, Retry: retryAfter(wait)}
	}
	return Decision{Kind: Wait, Expect: wait, Reason: Full}
}

func refuse(ask Ask, local best) Decision {
	reason := NoEndpoint
	if !ask.Local {
		reason = NoRegion
	}
	return Decision{Kind: Refuse, Reason: reason, Retry: retryAfter(max(time.Second, local.work))}
}

func retryAfter(d time.Duration) time.Duration { return min(max(d, minRetry), maxRetry) }

// RetryAfter returns when a caller may come back to a queue with so much before it.
func RetryAfter(wait time.Duration) time.Duration { return retryAfter(wait) }
