// Package admit decides whether a request goes to its endpoint now, waits at the
// host, or is refused. It answers two loads: long prompts that arrive faster than
// engines read them, which would otherwise hold up every short one behind them in
// the engines, and any overload, in which a queue would make all answers late.
package admit

import "time"

const (
	// Long is the time of reading from which a prompt may wait at the host. Shorter
	// ones go on at once: an engine reads them between the steps of its batch.
	Long = 25 * time.Millisecond
	// engineQueue is the time of unread prompts at an engine beyond which it gets no
	// more long ones: engines read in order of arrival, short prompts wait behind.
	engineQueue = 150 * time.Millisecond
	// margin is kept of the promised time: one who waits until the promise is just
	// missed makes all behind it late too.
	margin = 0.05
	// patience is the part of the promised time that one which is late by its own
	// size may wait.
	patience = 0.25
	// leastBack and mostBack bound what a refused caller is told.
	leastBack = 50 * time.Millisecond
	mostBack  = 2 * time.Second
)

// Kind is what happens to a request.
type Kind int

// The kinds.
const (
	Go Kind = iota
	Wait
	Refuse
)

// Ask is one request at its best endpoint.
type Ask struct {
	// Read is the time to read its prompt there.
	Read time.Duration
	// Pending is the time of unread prompts there.
	Pending time.Duration
	// Expect is the expected time to the first token, if it goes now.
	Expect time.Duration
	// Backlog is the time until those that wait before it at this host have gone.
	Backlog time.Duration
	// Waited is the time since the caller's request came, Away the way to its host
	// and back.
	Waited time.Duration
	Away   time.Duration
	// Lost is the part of Waited that went to attempts that failed.
	Lost time.Duration
	// Target is the promised time to the first token; zero is none.
	Target time.Duration
	// Left is the time to the deadline.
	Left time.Duration
	// First says that it is the first of those that wait.
	First bool
}

// Verdict is the decision.
type Verdict struct {
	Kind Kind
	// Back is when a refused caller may come back.
	Back time.Duration
}

// Decide decides on a request.
func Decide(a Ask) Verdict {
	total := a.Waited + a.Away + a.Backlog + a.Expect
	most := a.Left + a.Waited
	if a.Target > 0 {
		promise := time.Duration((1 - margin) * float64(a.Target))
		// One that is late by its own size, or by attempts that failed, is not refused
		// for it: only waiting behind others is.
		own := a.Lost + a.Expect - a.Pending + a.Away
		most = min(most, max(promise, own+time.Duration(patience*float64(a.Target))))
	}
	if total > most {
		return Verdict{Kind: Refuse, Back: min(mostBack, max(leastBack, total-a.Target))}
	}
	if a.Read < Long {
		return Verdict{Kind: Go}
	}
	if a.Pending > engineQueue || (a.Backlog > 0 && !a.First) {
		return Verdict{Kind: Wait}
	}
	return Verdict{Kind: Go}
}
