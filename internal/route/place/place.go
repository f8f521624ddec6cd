// Package place decides where a request for a service of the inventory is served. Its
// functions depend only on their arguments.
package place

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
)

// Candidate is the last known state of a local endpoint.
type Candidate struct {
	Name string
	// Slots is the number of requests that the endpoint runs at once.
	Slots int
	// Load is the estimated number of requests running or queued there.
	Load float64
	// AnswerTime is the expected time of a complete answer, TimeToFirstToken the
	// expected time to the first token or byte once a slot is free.
	AnswerTime       time.Duration
	TimeToFirstToken time.Duration
	// Latency is the one-way network latency to the endpoint.
	Latency time.Duration
	// Ramp is the share of the slots that may be used, below 1 during warm-up.
	Ramp float64
	// Ejected, Failing, Leaving and Tried exclude the endpoint: its requests failed, its
	// load reports fail, it is draining, or this request was already sent to it.
	Ejected bool
	Failing bool
	Leaving bool
	Tried   bool

	// score is set by bestLocal: the expected time to first token, or noScore if the
	// candidate may not be chosen or has no free capacity.
	score time.Duration
}

// noScore sorts after every other score.
const noScore = time.Duration(math.MaxInt64)

// RemoteRegion is the last known state of a remote region.
type RemoteRegion struct {
	Region string
	// Slots and Busy are sums over the service's endpoints in the region.
	Slots float64
	Busy  float64
	// LoadKnown reports whether Slots and Busy come from a recent report.
	LoadKnown bool
	// Reachable reports whether a host of the region can be reached.
	Reachable bool
	// Silent reports whether the region has not answered lately; it then gets no spilled
	// requests, and others only if no other region is left.
	Silent bool
	// Latency is the one-way network latency to the region, Cost the price of sending a
	// request there.
	Latency time.Duration
	Cost    float64
	// SpillAllowed reports whether the bound on spilled requests leaves room for one more.
	SpillAllowed bool
	// Ramp is the share of the slots that may be used.
	Ramp float64
	// Tried reports whether this request was already sent to the region.
	Tried bool
}

// Request describes the request to place.
type Request struct {
	Service *invent.Service
	// Prefix is the hash of the prompt prefix; 0 means none.
	Prefix uint64
	// TimeLeft is the time to the deadline.
	TimeLeft time.Duration
	// LocalAllowed reports whether the local region may serve the request.
	LocalAllowed bool
	// RemoteAllowed reports whether the request may be sent to a remote region.
	RemoteAllowed bool
	// Queued is the number of requests ahead in the service's queue.
	Queued int
	// Sequence counts the decisions; the round-robin policy takes its turns by it.
	Sequence uint64
}

// Kind is the outcome of a placement decision.
type Kind int

const (
	// Refuse means that no endpoint can finish the request in time.
	Refuse Kind = iota
	// Wait means that the request waits in the queue, as a local slot frees up in time.
	Wait
	// SendLocal means that the request is sent to a local endpoint.
	SendLocal
	// SendRemote means that the request is sent to a remote region.
	SendRemote
)

func (k Kind) String() string {
	return [...]string{"refuse", "wait", "here", "there"}[k]
}

// Reason explains why a request is refused or has to wait.
type Reason string

// The reasons, as callers and the explain command get them.
const (
	NoRegion   Reason = "no allowed region can be reached"
	NoEndpoint Reason = "no endpoint takes work"
	TooLate    Reason = "cannot be done before the deadline"
	Full       Reason = "every place is full"
)

// Decision is the placement of a request.
type Decision struct {
	Kind Kind
	// Index is that of the chosen candidate or remote region.
	Index int
	// ExpectedLatency is the expected time to first token; for Wait, the expected time
	// until a slot is free.
	ExpectedLatency time.Duration
	// Reason explains a refusal or a wait.
	Reason Reason
	// RetryAfter is the delay after which a refused caller may retry.
	RetryAfter time.Duration
	// SlotWait is the part of ExpectedLatency spent waiting for a slot.
	SlotWait time.Duration
	// Cached reports whether the prompt prefix is assumed to be cached at the endpoint.
	Cached bool
	// Spill reports whether the request is sent to a remote region although the local
	// region may serve it.
	Spill bool
}

const (
	// An endpoint gets requests beyond its slots, so that it does not idle while load
	// reports are in transit: overcommitShare of its slots, but at least minOvercommit.
	overcommitShare = 0.25
	minOvercommit   = 1.0
	// CacheHitShare is the share of the time to first token that remains if the prompt prefix
	// is cached.
	CacheHitShare = 0.25
	// A score counts as equal to the lowest one if it exceeds that by at most the larger
	// of tieTime and tieShare of it.
	tieShare = 0.15
	tieTime  = 2 * time.Millisecond
	// assumedLoad is the utilisation assumed for a region without a recent load report.
	assumedLoad = 0.8
	// silentPenalty is added to the score of a silent region, so that it is chosen last.
	silentPenalty = time.Minute
	// The bounds on spilled requests are lifted if the expected latency of the local
	// region exceeds the usual time of an answer by a factor of impairedLatency, or of
	// impairedCost if the service's objective is cost.
	impairedLatency = 1.5
	impairedCost    = 4.0
	// minRetryAfter and maxRetryAfter bound the retry delay sent with a refusal.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Decide places a request by the policy of its service.
func Decide(req Request, list []Candidate, remotes []RemoteRegion, rnd *rand.Rand) Decision {
	if req.Service.Policy != invent.Product {
		return baselinePolicy(req, list, remotes, rnd)
	}
	d := productPolicy(req, list, remotes, rnd, false)
	if d.Kind == Refuse && d.Reason != TooLate {
		// Nothing else is left, and an endpoint that failed lately may have recovered.
		d = productPolicy(req, list, remotes, rnd, true)
	}
	return d
}

// productPolicy decides by the gateway's own policy: the lowest expected time to first
// token. includeFailing admits endpoints that failed lately.
func productPolicy(req Request, list []Candidate, remotes []RemoteRegion, rnd *rand.Rand, includeFailing bool) Decision {
	local := searchResult{index: -1}
	if req.LocalAllowed {
		local = bestLocal(req, list, rnd, includeFailing)
	}
	remote := searchResult{index: -1}
	if req.RemoteAllowed {
		remote = bestRemote(req, remotes, spillRules{
			recentLoad: local.eligibleCount > 0, withinBound: local.eligibleCount > 0 && !impaired(req, local),
		}, includeFailing)
	}
	return chooseRegion(req, local, remote)
}

// impaired reports whether the local region would answer so late that the bounds on
// spilled requests are lifted, as they are for a region that has lost its endpoints.
func impaired(req Request, local searchResult) bool {
	expect := local.score
	if local.index < 0 {
		expect = local.regionSlotWait(req.Queued)
	}
	factor := impairedLatency
	if req.Service.Objective == invent.Cost {
		factor = impairedCost
	}
	usual := req.Service.PrefillMS + req.Service.WorkMS
	return expect > time.Duration(factor*usual*float64(time.Millisecond)) || expect+local.answerTime > req.TimeLeft
}

// searchResult is the best local endpoint or the best remote region.
type searchResult struct {
	// index is that of the endpoint or region, -1 if none can take the request now.
	index int
	// cached, slotWait and score are those of the endpoint: whether the prompt prefix is
	// assumed to be cached there, the expected wait for a slot, and the expected time to
	// first token. A region has only a score.
	cached   bool
	slotWait time.Duration
	score    time.Duration
	// eligibleCount is the number of endpoints or regions that may be chosen.
	eligibleCount int
	// slots is the sum of the slots of all eligible local endpoints, excess their load
	// beyond these, answerTime the mean time of a complete answer there. For a remote
	// result the three are those of the best region.
	slots      float64
	excess     float64
	answerTime time.Duration
}

// regionSlotWait returns the expected time until any slot is free for a new request that
// has the given number of requests queued ahead of it.
func (r searchResult) regionSlotWait(queued int) time.Duration {
	if r.slots == 0 {
		return 0
	}
	ahead := math.Max(0, r.excess) + float64(queued) + 1
	return time.Duration(ahead / r.slots * float64(r.answerTime))
}

// chooseRegion decides between the best local endpoint and the best remote region. A
// request spills only if it saves more than the service's CrossMS or could not be
// finished locally in time.
func chooseRegion(req Request, local, remote searchResult) Decision {
	cross := time.Duration(req.Service.CrossMS * float64(time.Millisecond))
	wait := local.regionSlotWait(req.Queued)
	switch {
	case local.eligibleCount == 0 && remote.index < 0:
		return refusal(req, local)
	case local.eligibleCount == 0:
		return Decision{Kind: SendRemote, Index: remote.index, ExpectedLatency: remote.score}
	case local.index >= 0:
		if remote.index >= 0 && remote.score+cross < local.score {
			return Decision{Kind: SendRemote, Index: remote.index, ExpectedLatency: remote.score, Spill: true}
		}
		return Decision{Kind: SendLocal, Index: local.index, ExpectedLatency: local.score, SlotWait: local.slotWait, Cached: local.cached}
	case remote.index >= 0 && remote.score+cross < wait:
		return Decision{Kind: SendRemote, Index: remote.index, ExpectedLatency: remote.score, Spill: true}
	case wait+local.answerTime > req.TimeLeft:
		if remote.index >= 0 && remote.score+usualAnswerTime(req) < req.TimeLeft {
			return Decision{Kind: SendRemote, Index: remote.index, ExpectedLatency: remote.score, Spill: true}
		}
		return Decision{Kind: Refuse, Reason: TooLate, RetryAfter: retryAfter(wait)}
	}
	return Decision{Kind: Wait, ExpectedLatency: wait, Reason: Full}
}

// refusal refuses a request that neither a local endpoint nor a remote region can take.
func refusal(req Request, local searchResult) Decision {
	reason := NoEndpoint
	if !req.LocalAllowed {
		reason = NoRegion
	}
	return Decision{Kind: Refuse, Reason: reason, RetryAfter: retryAfter(max(time.Second, local.answerTime))}
}

func retryAfter(d time.Duration) time.Duration { return min(max(d, minRetryAfter), maxRetryAfter) }

// RetryAfter returns the retry delay for a caller that is refused at a queue with an
// expected wait.
func RetryAfter(wait time.Duration) time.Duration { return retryAfter(wait) }
