package pick

import (
	"math/rand/v2"
	"time"
)

// plainLoadShare is the share of the answer time that a plain endpoint with all slots busy adds to
// a new request, as requests may share a processor. Fewer busy slots add less in proportion.
const plainLoadShare = 0.1

// rankTolerance is the relative difference up to which two ranks count as equal. Without it, an
// endpoint that has always been a little slower than another gets no request at low load, and its
// speed is not measured any more.
const rankTolerance = 0.1

// searchPlain chooses the candidate with the lowest rank for a request of a plain service, a random
// one among those that count as equal.
func searchPlain(req Request, list []Candidate, rnd *rand.Rand, includeFailing bool) Choice {
	most := 1
	for i := range list {
		most = max(most, list[i].Slots)
	}
	lowest := -1.0
	for i := range list {
		if r := rank(&list[i], most); allowed(&list[i], includeFailing) && (lowest < 0 || r < lowest) {
			lowest = r
		}
	}
	best, seen := Choice{Index: -1}, 0
	for i := range list {
		if !allowed(&list[i], includeFailing) || rank(&list[i], most) > (1+rankTolerance)*lowest {
			continue
		}
		if seen++; rnd.IntN(seen) == 0 {
			best = Choice{Index: i, Score: answerTime(req, &list[i])}
		}
	}
	return best
}

// rank orders plain endpoints, most being the largest number of slots of one. It counts this host's
// own requests in full, as if each had its turn before the new one, and all requests together as
// only one more at an endpoint whose slots are all busy. Hosts that rank by the expected time alone
// see the same old loads and all choose the endpoint that looked best; what each of them has in
// flight itself is exact and differs from host to host.
func rank(c *Candidate, most int) float64 {
	slots := float64(max(1, c.Slots))
	return speed(c)*(1+float64(c.Own)*float64(most)/slots) + c.Load/slots
}

// speed returns the slowdown factor of a candidate, 1 if it is not known.
func speed(c *Candidate) float64 {
	if c.Slowdown > 0 {
		return c.Slowdown
	}
	return 1
}

// answerTime returns the expected time of the complete answer at a plain endpoint.
func answerTime(req Request, c *Candidate) time.Duration {
	slots := float64(max(1, c.Slots))
	excess := max(0, c.Load+1-slots)
	return time.Duration(speed(c) * float64(req.AnswerTime) * (1 + excess/slots + plainLoadShare*c.Load/slots))
}
