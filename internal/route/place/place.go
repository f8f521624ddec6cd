// Package place decides where a request goes. Everything in it is a function of
// its arguments.
package place

import (
	"math"
	"math/rand/v2"
	"time"

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

	// score is set by a decision; noScore where the candidate has no room.
	score time.Duration
}

// noScore is above every score.
const noScore = time.Duration(math.MaxInt64)

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
