// Package poison is the board's table of the prompt parts and the requests under which
// endpoints ended. A part that ends each endpoint which begins to answer it is quarantined, as
// is a request that ends each endpoint which runs it: nothing with it is sent until a trial
// shows that it does no harm.
//
// The evidence against a part is a chain of ends of different endpoints, each under a request
// that was sent only after the end before it. Endpoints that end together, whatever the reason,
// add one link. A request that its caller repeats is not in flight at all endpoints, as a common
// part is, so an end under it is a link whenever the request was sent. As the fault does not
// depend on chance, an answer to one request clears its parts and itself of all earlier ends.
package poison

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// chainNeeded is the number of links from which a part or a request is quarantined,
	// chainIfServed that for one that was answered before.
	chainNeeded   = 3
	chainIfServed = 5
	// requestsNeeded is the number of different requests in the chain, so that the retries of
	// one request that met several ends do not suffice.
	requestsNeeded = 2
	// maxChain bounds the ends that are kept of a part.
	maxChain = 8
	// minGap is the least time between two links. Times that come from other hosts are late by
	// the way of the message.
	minGap = 150 * time.Millisecond
	// explainedAfter is how long after the chain of a part other ends may still be due to it.
	explainedAfter = 5 * time.Second
	// settleTime is the time from the last link needed to the quarantine, in which hosts
	// that had an answer can say so.
	settleTime = time.Second

	// firstTrial is the time from the last end to the first trial; after each trial under which
	// an endpoint ended the wait is longer by trialFactor.
	firstTrial  = time.Minute
	trialFactor = 10
	// trialSlot is the time for which one host of the fleet may make the trial. At the
	// beginning of a slot, for trialGuard, none may: a trial of the slot before may not be
	// known everywhere yet.
	trialSlot  = 10 * time.Second
	trialGuard = 2 * time.Second

	// suspectTTL is how long the evidence against a part that is not quarantined counts, and
	// quarantineTTL how long a quarantine holds without a trial.
	suspectTTL    = 5 * time.Minute
	quarantineTTL = 24 * time.Hour
	// maxRecords bounds the parts and requests with evidence.
	maxRecords = 2048
	// servedTurn is the least time for which answers are remembered, maxServed the number of
	// parts, and of requests, of one generation of them.
	servedTurn = time.Minute
	maxServed  = 8192

	// hotTime is how long a changed record is sent in each period, steadyGap the time
	// between two times that an unchanged one is sent.
	hotTime   = 3 * time.Second
	steadyGap = time.Second
)

// Key identifies a prompt part or a request.
type Key uint64

// KeyOf returns the key of a prompt part.
func KeyOf(id string) Key { return Key(xxhash.Sum64String(id)) }

// KeyOfRequest returns the key of a request by what its repeats have in common.
func KeyOfRequest(body []byte, properties ...string) Key {
	h := xxhash.New()
	for _, p := range properties {
		// The length keeps the boundaries of the properties apart.
		_, _ = h.WriteString(strconv.Itoa(len(p)) + " " + p)
	}
	_, _ = h.Write(body)
	return Key(h.Sum64())
}

// End is the end of an endpoint while a request with a part was in flight there.
type End struct {
	// Life identifies the process of the endpoint.
	Life uint64
	// Request identifies the request that was sent there last.
	Request uint32
	At      time.Time
	// Flight is how long that request had been in flight, or, if the head of its answer
	// arrived, the time since then.
	Flight time.Duration
}

// sent returns when the last request was sent.
func (e End) sent() time.Time { return e.At.Add(-e.Flight) }

// Event is an answer or a trial. Its id distinguishes a later event from the same one that other hosts
// report with the delay of their messages.
type Event struct {
	ID uint32
	At time.Time
}

// Latest returns the later of two events, and of two reports of the same one the earlier.
func (e Event) Latest(other Event) Event {
	if e.At.IsZero() || other.At.IsZero() || e.ID != other.ID {
		if c := e.At.Compare(other.At); c > 0 || c == 0 && e.ID > other.ID {
			return e
		}
		return other
	}
	if other.At.Before(e.At) {
		return other
	}
	return e
}

// Record is the evidence of one host about a part or a request.
type Record struct {
	Key Key
	// Repeat reports whether the key is of a request that one caller repeats.
	Repeat bool
	// Ends is the chain of ends since the part was last answered.
	Ends []End
	// Served is the last answer to a request with the part, zero if there was none.
	Served Event
	// Trials counts the trials since then under which an endpoint ended, Tried is the last trial.
	Trials int
	Tried  Event
}

// Merge returns the evidence of two hosts about one part. Merging more never shortens the chain
// but for an answer, and merging the same evidence again changes nothing.
func (r Record) Merge(other Record) Record {
	out := Record{Key: r.Key, Repeat: r.Repeat || other.Repeat, Served: r.Served.Latest(other.Served)}
	if t := r.Tried.Latest(other.Tried); t.At.After(out.Served.At) {
		out.Tried, out.Trials = t, max(r.Trials, other.Trials)
	}
	byLife := map[uint64]End{}
	for _, e := range slices.Concat(r.Ends, other.Ends) {
		if !e.At.After(out.Served.At) {
			continue
		}
		if known, ok := byLife[e.Life]; ok {
			if known.Flight < e.Flight || known.Flight == e.Flight && known.Request < e.Request {
				e.Flight, e.Request = known.Flight, known.Request
			}
			if known.At.Before(e.At) {
				e.At = known.At
			}
		}
		byLife[e.Life] = e
	}
	list := make([]End, 0, len(byLife))
	for _, e := range byLife {
		list = append(list, e)
	}
	out.Ends = chain(list, out.Repeat)
	return out
}

// chain returns the longest list of ends at different times that each came after a request
// that was sent after the end before; under a repeated request, of ends at different times.
func chain(list []End, repeat bool) []End {
	slices.SortFunc(list, func(a, b End) int { return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Life, b.Life)) })
	var out []End
	for _, e := range list {
		if n := len(out); n > 0 && (!repeat && e.sent().Before(out[n-1].At) || e.At.Sub(out[n-1].At) < minGap) {
			continue
		}
		if out = append(out, e); len(out) == maxChain {
			break
		}
	}
	return out
}

// quarantinedAt returns when the chain was long enough, and false if it is not.
func (r Record) quarantinedAt() (time.Time, bool) {
	needed := chainNeeded
	if !r.Served.At.IsZero() {
		needed = chainIfServed
	}
	requests := map[uint32]bool{}
	for i, e := range r.Ends {
		requests[e.Request] = true
		if i+1 >= needed && len(requests) >= requestsNeeded {
			return e.At, true
		}
	}
	return time.Time{}, false
}

// quarantined reports whether no request with the part is sent.
func (r Record) quarantined(now time.Time) bool {
	at, ok := r.quarantinedAt()
	return ok && now.Sub(at) >= settleTime
}

// explains reports whether an end at a time may be due to the part.
func (r Record) explains(at time.Time) bool {
	n := len(r.Ends)
	return n > 0 && !at.Before(r.Ends[0].At.Add(-minGap)) && at.Sub(r.Ends[n-1].At) < explainedAfter
}

// without returns the record without the ends that another part explains.
func (r Record) without(other Record) Record {
	r.Ends = slices.DeleteFunc(slices.Clone(r.Ends), func(e End) bool { return other.explains(e.At) })
	return r
}

// lastTry returns when an endpoint was last known to end under the part or a trial was made.
func (r Record) lastTry() time.Time {
	if len(r.Ends) == 0 {
		return r.Tried.At
	}
	return later(r.Tried.At, r.Ends[len(r.Ends)-1].At)
}

// trialWait returns the time from the last try to the next trial.
func (r Record) trialWait() time.Duration {
	wait := firstTrial
	for range r.Trials {
		if wait = min(wait*trialFactor, quarantineTTL); wait == quarantineTTL {
			break
		}
	}
	return wait
}

// expired reports whether the evidence is too old to count.
func (r Record) expired(now time.Time) bool {
	ttl := suspectTTL
	if _, ok := r.quarantinedAt(); ok {
		ttl = quarantineTTL
	}
	return now.Sub(r.lastTry()) >= ttl
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
