// Package pick chooses the endpoint or the region for a request that names the
// parts of its prompt. It answers the load of many small prompts beside a few
// large ones with shared beginnings: the large ones go where their beginning is
// kept, as far as the load allows.
package pick

import (
	"math/rand/v2"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/route/place"
)

const (
	// perRequest is what each request at a model engine adds to the time to a
	// first token, through its own prompt and the batch.
	perRequest = 5 * time.Millisecond
	// perWaiting is what each request beyond the slots adds.
	perWaiting = 40 * time.Millisecond
	// plainShare is the part of a plain endpoint's work time that a request in a
	// free slot adds, as it may share a processor.
	plainShare = 0.1
	// secondShare is the part of a shared beginning that the second endpoint in
	// the order of its prefix is expected to hold no more.
	secondShare = 0.6
	// near is the difference of two scores that counts as none.
	near = 4 * time.Millisecond
)

// Candidate is an endpoint that the request may go to.
type Candidate struct {
	Name  string
	Slots int
	// Load is the number of requests believed to be there.
	Load float64
	// Pending is the time of prompts sent there whose first token is not there yet.
	Pending time.Duration
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
}

// Here chooses among candidates; Index is -1 where there is none. Of near equals
// the one with less load is taken, at random where these are equal too, as
// several hosts decide at the same time.
func Here(ask Ask, list []Candidate, rnd *rand.Rand) Choice {
	c := search(ask, list, rnd, false)
	if c.Index < 0 {
		// What failed lately may have recovered, and nothing else is left.
		c = search(ask, list, rnd, true)
	}
	return c
}

func search(ask Ask, list []Candidate, rnd *rand.Rand, last bool) Choice {
	first, second := order(ask.Prefix, list, last)
	best := Choice{Index: -1}
	seen := 0
	for i := range list {
		c := &list[i]
		if c.Out && !last {
			continue
		}
		s := score(ask, c, i == first, i == second)
		switch {
		case best.Index < 0 || s < best.Expect-near:
			best, seen = Choice{Index: i, Expect: s}, 1
		case s <= best.Expect+near:
			seen++
			if better(c, &list[best.Index], rnd, seen) {
				best = Choice{Index: i, Expect: s}
			}
		}
	}
	return best
}

// better decides between near equals.
func better(c, held *Candidate, rnd *rand.Rand, seen int) bool {
	if c.Load != held.Load {
		return c.Load < held.Load
	}
	return rnd.IntN(seen) == 0
}

// order returns the two candidates that hold a prefix first and second.
func order(prefix uint64, list []Candidate, last bool) (first, second int) {
	first, second = -1, -1
	if prefix == 0 {
		return first, second
	}
	var top, next uint64
	for i := range list {
		if list[i].Out && !last {
			continue
		}
		w := place.Weight(prefix, list[i].Name)
		switch {
		case first < 0 || w > top:
			second, next = first, top
			first, top = i, w
		case second < 0 || w > next:
			second, next = i, w
		}
	}
	return first, second
}

func score(ask Ask, c *Candidate, first, second bool) time.Duration {
	slots := max(1, c.Slots)
	beyond := max(0, c.Load+1-float64(slots))
	slow := max(1, c.Slow)
	if ask.Work > 0 {
		t := float64(ask.Work) * (beyond/float64(slots) + plainShare*c.Load/float64(slots))
		return time.Duration(slow * (t + float64(ask.Work)))
	}
	read := ask.Own
	switch {
	case first:
	case second:
		read += time.Duration(secondShare * float64(ask.Shared))
	default:
		read += ask.Shared
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
}

// There chooses among regions by the share of slots taken; -1 where there is
// none. It takes two at random in proportion to their slots, and of these the
// one with more room.
func There(list []Region, rnd *rand.Rand) int {
	a := draw(list, rnd)
	b := draw(list, rnd)
	if a < 0 || filled(&list[a]) <= filled(&list[b]) {
		return a
	}
	return b
}

func filled(r *Region) float64 { return r.Load / max(1, r.Slots) }

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
