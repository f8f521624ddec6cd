// Package admit decides whether a request is sent to its endpoint now, waits in the
// host's queue, or is refused. It covers two kinds of load: long prompts that arrive
// faster than engines prefill them, which would otherwise delay every short prompt
// queued behind them in the engines, and general overload, in which an unbounded
// queue would make every answer late.
package admit

import "time"

const (
	// Long is the prefill time from which a prompt may wait at the host. Shorter
	// prompts are sent at once: an engine prefills them between the steps of its batch.
	Long = 25 * time.Millisecond
	// maxQueuedPrefill is the queued prefill time above which an engine gets no more
	// long prompts: engines prefill in order of arrival, so short prompts would wait
	// behind them.
	maxQueuedPrefill = 150 * time.Millisecond
	// targetMargin is the share of the latency target kept in reserve: a request that
	// waits and then just misses its target also makes all requests behind it late.
	targetMargin = 0.05
	// lateWaitShare is the share of the latency target that a request may wait if it
	// would miss the target even without a queue.
	lateWaitShare = 0.25
	// minRetryAfter and maxRetryAfter bound the retry delay sent with a refusal.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
)

// Kind is the outcome of an admission decision.
type Kind int

const (
	// Go means that the request is sent to its endpoint now.
	Go Kind = iota
	// Wait means that the request waits in the host's queue.
	Wait
	// Refuse means that the request is refused.
	Refuse
)

// Ask describes one request and the best endpoint for it.
type Ask struct {
	// Read is the prefill time of the request at the endpoint.
	Read time.Duration
	// Pending is the queued prefill time at the endpoint.
	Pending time.Duration
	// Expect is the expected time to the first token if the request is sent now.
	Expect time.Duration
	// Backlog is the time until the requests ahead in this host's queue are sent.
	Backlog time.Duration
	// Waited is the time since the caller's request arrived, Away the network round
	// trip to the host that received it.
	Waited time.Duration
	Away   time.Duration
	// Lost is the part of Waited that was spent on failed attempts.
	Lost time.Duration
	// Target is the latency target for the first token; zero means none.
	Target time.Duration
	// Left is the time to the deadline.
	Left time.Duration
	// First reports whether the request is at the head of the host's queue.
	First bool
}

// Verdict is an admission decision.
type Verdict struct {
	Kind Kind
	// Back is the delay after which a refused caller may retry.
	Back time.Duration
}

// Decide admits, queues or refuses a request.
func Decide(a Ask) Verdict {
	total := a.Waited + a.Away + a.Backlog + a.Expect
	limit := a.Left + a.Waited
	if a.Target > 0 {
		target := time.Duration((1 - targetMargin) * float64(a.Target))
		// A request that is late because of its own size or of failed attempts is not
		// refused for that; only time spent waiting behind other requests counts.
		unqueued := a.Lost + a.Expect - a.Pending + a.Away
		limit = min(limit, max(target, unqueued+time.Duration(lateWaitShare*float64(a.Target))))
	}
	if total > limit {
		return Verdict{Kind: Refuse, Back: min(maxRetryAfter, max(minRetryAfter, total-a.Target))}
	}
	if a.Read < Long {
		return Verdict{Kind: Go}
	}
	if a.Pending > maxQueuedPrefill || (a.Backlog > 0 && !a.First) {
		return Verdict{Kind: Wait}
	}
	return Verdict{Kind: Go}
}
