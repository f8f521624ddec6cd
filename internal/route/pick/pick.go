// Package pick chooses the endpoint or the region for a request that names the
// parts of its prompt. It answers the load of many small prompts beside a few
// large ones with shared beginnings: the large ones go where their beginning is
// kept, in whichever region that is, as far as the load allows, and the small ones
// keep away from endpoints that are reading a large one.
package pick

import (
	"math/rand/v2"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/route/place"
)

const (
	// perRequest is what each running request adds to the time to a first token,
	// through the steps of its batch.
	perRequest = 500 * time.Microsecond
	// perWaiting is what each request beyond the slots adds.
	perWaiting = 40 * time.Millisecond
	// plainShare is the part of a plain endpoint's work time that a request in a
	// free slot adds, as it may share a processor.
	plainShare = 0.1
	// near is the difference of two scores that counts as none: a batch's step.
	near = 8 * time.Millisecond
	// futureShare is the part of a shared beginning's time for which the endpoint
	// that is first in its order is preferred while nobody keeps it: later requests
	// are saved the reading then.
	futureShare = 0.7
)

// Candidate is an endpoint that the request may go to.
type Candidate struct {
	Name  string
	Slots int
	// Load is the number of requests believed to be there.
	Load float64
	// Pending is the time of prompts sent there whose first token is not there yet.
	Pending time.Duration
	// Held says that it is known to keep the prompt's shared beginning.
	Held bool
	// Slow is how many times longer than others it takes.
	Slow float64
	// Out says that it fails its requests.
	Out bool
}

// Ask is what is decided on.
type Ask struct {
	// Shared is the time to read the prompt's shared beginning, Own that of the rest.
	Shared time.Duration
	Own    time.Duration
	// Prefix names the shared beginning; 0 is none.
	Prefix uint64
	// Work is the usual time of a whole answer of a plain service; 0 for engines.
	Work time.Duration
}

// Choice is the chosen candidate with the expected time to the first token.
type Choice struct {
	Index  int
	Expect time.Duration
	// Read is the time to read the prompt there.
	Read time.Duration
	// Last says that all candidates fail their requests.
	Last bool
}

// Here chooses among candidates; Index is -1 where there is none. Among near
// equals the first in the order of the prefix is taken, so that hosts agree
// without talking; without a prefix the one with less load.
func Here(ask Ask, list []Candidate, rnd *rand.Rand) Choice {
	c := search(ask, list, rnd, false)
	if c.Index < 0 {
		// What failed lately may have recovered, and nothing else is left.
		c = search(ask, list, rnd, true)
		c.Last = true
	}
	return c
}

func search(ask Ask, list []Candidate, rnd *rand.Rand, last bool) Choice {
	holder := holderOf(ask.Prefix, list, last)
	scores := make([]time.Duration, len(list))
	lowest := time.Duration(-1)
	for i := range list {
		scores[i] = score(ask, &list[i], i == holder)
		if takes(&list[i], last) && (lowest < 0 || scores[i] < lowest) {
			lowest = scores[i]
		}
	}
	best, seen := Choice{Index: -1}, 0
	for i := range list {
		c := &list[i]
		if !takes(c, last) || scores[i] > lowest+near {
			continue
		}
		seen++
		if best.Index < 0 || better(ask.Prefix, c, &list[best.Index], rnd, seen) {
			best = Choice{Index: i, Expect: scores[i], Read: readTime(ask, c)}
		}
	}
	return best
}

func takes(c *Candidate, last bool) bool { return last || !c.Out }

// holderOf returns the candidate that keeps a prefix, -1 for none.
func holderOf(prefix uint64, list []Candidate, last bool) int {
	holder, top := -1, uint64(0)
	if prefix == 0 {
		return holder
	}
	for i := range list {
		if !takes(&list[i], last) {
			continue
		}
		if w := place.Weight(prefix, list[i].Name); holder < 0 || w > top {
			holder, top = i, w
		}
	}
	return holder
}

// better decides between near equals.
func better(prefix uint64, c, held *Candidate, rnd *rand.Rand, seen int) bool {
	switch {
	case prefix != 0:
		return place.Weight(prefix, c.Name) > place.Weight(prefix, held.Name)
	case c.Load != held.Load:
		return c.Load < held.Load
	}
	return rnd.IntN(seen) == 0
}

// readTime is the time to read what the candidate does not keep of the prompt.
func readTime(ask Ask, c *Candidate) time.Duration {
	if c.Held {
		return ask.Own
	}
	return ask.Own + ask.Shared
}

func score(ask Ask, c *Candidate, holder bool) time.Duration {
	slots := max(1, c.Slots)
	beyond := max(0, c.Load+1-float64(slots))
	slow := max(1, c.Slow)
	if ask.Work > 0 {
		t := float64(ask.Work) * (beyond/float64(slots) + plainShare*c.Load/float64(slots))
		return time.Duration(slow * (t + float64(ask.Work)))
	}
	read := readTime(ask, c)
	if holder && !c.Held {
		read -= time.Duration(futureShare * float64(ask.Shared))
	}
	t := float64(read+c.Pending) + c.Load*float64(perRequest) + beyond*float64(perWaiting)
	return time.Duration(slow * t)
}

// Region is another region that the request may go to.
type Region struct {
	Name string
	// Slots is the sum of its endpoints' slots, Load the requests believed there.
	Slots float64
	Load  float64
	// Away is the time there and back.
	Away time.Duration
	// Wait is the time of unread prompts at its endpoints, on average.
	Wait time.Duration
	// Failing says that all its endpoints fail their requests.
	Failing bool
}

// full is the share of a region's slots in use from which a request goes there
// only where nothing else is left.
const full = 0.85

// Filled is the share of its slots in use.
func (r *Region) Filled() float64 { return r.Load / max(1, r.Slots) }

// There chooses among regions by the time until they begin to work on a request;
// -1 where there is none. It takes two at random in proportion to their slots, as
// what is known of them is old, and of these the one that begins sooner.
func There(list []Region, rnd *rand.Rand) int {
	a := draw(list, rnd)
	b := draw(list, rnd)
	if a < 0 || begins(&list[a]) <= begins(&list[b]) {
		return a
	}
	return b
}

// fullWait is the wait that a region with all its slots in use stands for.
const fullWait = 300 * time.Millisecond

func begins(r *Region) time.Duration {
	filled := r.Filled()
	wait := r.Away + r.Wait + time.Duration(filled*filled*filled*float64(fullWait))
	if r.Failing {
		wait += fullWait
	}
	return wait
}

func draw(list []Region, rnd *rand.Rand) int {
	total := 0.0
	for i := range list {
		total += max(1, list[i].Slots)
	}
	at := rnd.Float64() * total
	for i := range list {
		if at -= max(1, list[i].Slots); at < 0 {
			return i
		}
	}
	return len(list) - 1
}

// Member is an endpoint of any region.
type Member struct {
	Name   string
	Region string
}

// Keeper returns the region whose endpoint keeps a prefix, by the order in which
// all hosts see the endpoints of all regions; empty where there is none.
func Keeper(prefix uint64, list []Member) string {
	region, top := "", uint64(0)
	for i := range list {
		if w := place.Weight(prefix, list[i].Name); region == "" || w > top {
			region, top = list[i].Region, w
		}
	}
	return region
}

// WorthCrossing reports whether a request whose shared beginning another region
// keeps is better sent there: what is saved of reading exceeds the way there and
// back and its wait, and that region has room.
func WorthCrossing(ask Ask, r *Region) bool {
	return readWeight*ask.Shared > r.Away+r.Wait && r.Filled() < full
}

// readWeight is how many times its own time a reading counts that can be saved,
// as it holds up those behind it too.
const readWeight = 3
