// Package admit decides whether a request is sent to its endpoint now, waits in the
// host's queue, or is refused. It covers two kinds of load: long prompts that arrive
// faster than engines prefill them, which would otherwise delay every short prompt
// queued behind them in the engines, and general overload, in which a queue would make
// every answer late.
package admit

import "time"

const (
	// LongPrefill is the prefill time from which a prompt may wait at the host. Shorter
	// prompts are sent at once: an engine prefills them between the steps of its batch.
	LongPrefill = 25 * time.Millisecond
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
	// Admit means that the request is sent to its endpoint now.
	Admit Kind = iota
	// Wait means that the request waits in the host's queue.
	Wait
	// Refuse means that the request is refused.
	Refuse
)

// Request describes one request and the best endpoint for it.
type Request struct {
	// Prefill is the prefill time of the request at the endpoint.
	Prefill time.Duration
	// QueuedPrefill is the queued prefill time at the endpoint.
	QueuedPrefill time.Duration
	// ExpectedLatency is the expected time to the first token if the request is sent now.
	ExpectedLatency time.Duration
	// Backlog is the time until the requests ahead in this host's queue are sent.
	Backlog time.Duration
	// Waited is the time since the caller's request arrived, RoundTrip the network round
	// trip to the host that received it.
	Waited    time.Duration
	RoundTrip time.Duration
	// FailedTime is the part of Waited that was spent on failed attempts.
	FailedTime time.Duration
	// Target is the latency target for the first token; zero means none.
	Target time.Duration
	// TimeLeft is the time to the deadline.
	TimeLeft time.Duration
	// QueueHead reports whether the request is at the head of the host's queue.
	QueueHead bool
}

// Verdict is an admission decision.
type Verdict struct {
	Kind Kind
	// RetryAfter is the delay after which a refused caller may retry.
	RetryAfter time.Duration
}

// Decide admits, queues or refuses a request.
func Decide(r Request) Verdict {
	total := r.Waited + r.RoundTrip + r.Backlog + r.ExpectedLatency
	limit := r.TimeLeft + r.Waited
	if r.Target > 0 {
		target := time.Duration((1 - targetMargin) * float64(r.Target))
		// A request that is late because of its own size or of failed attempts is not
		// refused for that; only time spent waiting behind other requests counts.
		unqueued := r.FailedTime + r.ExpectedLatency - r.QueuedPrefill + r.RoundTrip
		limit = min(limit, max(target, unqueued+time.Duration(lateWaitShare*float64(r.Target))))
	}
	if total > limit {
		return Verdict{Kind: Refuse, RetryAfter: min(maxRetryAfter, max(minRetryAfter, total-r.Target))}
	}
	if r.Prefill < LongPrefill {
		return Verdict{Kind: Admit}
	}
	if r.QueuedPrefill > maxQueuedPrefill || (r.Backlog > 0 && !r.QueueHead) {
		return Verdict{Kind: Wait}
	}
	return Verdict{Kind: Admit}
}
