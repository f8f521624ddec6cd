// Package entry ranks the hosts that a caller is told to use.
package entry

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/route/place"
)

// Candidate is a host as it is believed to be.
type Candidate struct {
	Host   invent.Host
	Region string
	// Open is the number of its requests in flight.
	Open int
	// Sound says that it is live, not leaving, and not suspected.
	Sound bool
	// Usable says that it is held live, be it suspected, and not leaving.
	Usable bool
	// Current says that it has the configuration in force here, or a newer one.
	Current bool
}

// Place is one host of an answer.
type Place struct {
	Host    string  `json:"host"`
	Address string  `json:"address"`
	Region  string  `json:"region"`
	Centre  string  `json:"centre"`
	Weight  float64 `json:"weight"`
}

// Answer tells a caller which hosts to use.
type Answer struct {
	Hosts []Place `json:"hosts"`
	// Home is the prefix of operation keys; the caller adds a dot and its own part.
	Home string `json:"home"`
	// TTLMS is how long the answer may be used, in milliseconds.
	TTLMS int64 `json:"ttl_ms"`
	// Revision is the configuration that the answer was made by.
	Revision uint64 `json:"revision"`
}

// TTL is how long an answer may be used.
const TTL = 10 * time.Second

// busyShare is the load, relative to the region's mean, from which a host's
// weight is halved; weights are coarse so that ranks stay.
const busyShare = 2.0

// Rank orders the hosts for a caller: its own region first, then the others by
// distance; within a region by weighted rendezvous hashing, so that each
// caller's ranks stay and the loss of a host moves its callers over all others.
// Where no host is sound it ranks the usable ones: a busy fleet suspects live hosts.
func Rank(inv *invent.Inventory, caller string, region string, list []Candidate) []Place {
	if places := rank(inv, caller, region, list, func(c Candidate) bool { return c.Sound && c.Current }); len(places) > 0 {
		return places
	}
	return rank(inv, caller, region, list, func(c Candidate) bool { return c.Usable })
}

func rank(inv *invent.Inventory, caller string, region string, list []Candidate, takes func(Candidate) bool) []Place {
	mean := means(list)
	type ranked struct {
		place    Place
		distance float64
		score    float64
	}
	var out []ranked
	for _, c := range list {
		if !takes(c) || c.Host.Leaving {
			continue
		}
		weight := 1.0
		if float64(c.Open) > busyShare*mean[c.Region]+1 {
			weight = 1 / busyShare
		}
		distance := 0.0
		if c.Region != region {
			distance = 1 + inv.Link(region, c.Region).LatencyMS
		}
		out = append(out, ranked{
			place: Place{
				Host: c.Host.Name, Address: c.Host.Callers, Region: c.Region,
				Centre: c.Host.Centre, Weight: weight,
			},
			distance: distance,
			score:    score(caller, c.Host.Name, weight),
		})
	}
	slices.SortFunc(out, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.score, a.score),
			cmp.Compare(a.place.Host, b.place.Host))
	})
	places := make([]Place, len(out))
	for i, r := range out {
		places[i] = r.place
	}
	return places
}

func means(list []Candidate) map[string]float64 {
	sum, n := map[string]float64{}, map[string]float64{}
	for _, c := range list {
		if c.Sound {
			sum[c.Region] += float64(c.Open)
			n[c.Region]++
		}
	}
	for r := range sum {
		sum[r] /= n[r]
	}
	return sum
}

// score is the weighted rendezvous score of a host for a caller.
func score(caller, host string, weight float64) float64 {
	h := place.Weight(place.Weight(0, caller), host)
	unit := (float64(h>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(unit)
}
