// Package entry ranks the hosts that a caller should connect to.
package entry

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/route/place"
)

// Candidate is the last known state of a host.
type Candidate struct {
	Host   invent.Host
	Region string
	// InFlight is the number of in-flight requests.
	InFlight int
	// Healthy reports whether the host is alive, not suspected and not leaving.
	Healthy bool
	// Usable reports whether the host is alive or suspected, and not leaving.
	Usable bool
	// Current reports whether its configuration is this host's or a newer one.
	Current bool
}

// RankedHost is a host in an answer.
type RankedHost struct {
	Host    string  `json:"host"`
	Address string  `json:"address"`
	Region  string  `json:"region"`
	Centre  string  `json:"centre"`
	Weight  float64 `json:"weight"`
}

// Answer lists the hosts that a caller should use, best first.
type Answer struct {
	Hosts []RankedHost `json:"hosts"`
	// KeyPrefix is a signed prefix of operation keys; the caller appends a dot and its own
	// part.
	KeyPrefix string `json:"home"`
	// TTLMS is how long the answer may be used, in milliseconds.
	TTLMS int64 `json:"ttl_ms"`
	// Revision is the configuration revision that the answer is based on.
	Revision uint64 `json:"revision"`
}

// TTL is how long an answer may be used.
const TTL = 10 * time.Second

// busyRatio times the mean in-flight requests of the region's hosts, plus 1, is the
// number above which a host is busy; its weight is then divided by busyRatio. Weights
// are coarse so that ranks are stable.
const busyRatio = 2.0

// Rank orders the hosts for a caller: the given region first, then remote regions by
// latency. Within a region it uses weighted rendezvous hashing, so that the ranks of
// each caller are stable and the loss of a host spreads its callers over all others.
// If no host is healthy and current, it ranks the usable hosts, because a busy fleet
// suspects live hosts.
func Rank(inv *invent.Inventory, caller string, region string, list []Candidate) []RankedHost {
	if hosts := rank(inv, caller, region, list, func(c Candidate) bool { return c.Healthy && c.Current }); len(hosts) > 0 {
		return hosts
	}
	return rank(inv, caller, region, list, func(c Candidate) bool { return c.Usable })
}

func rank(inv *invent.Inventory, caller string, region string, list []Candidate, accept func(Candidate) bool) []RankedHost {
	mean := meanInFlight(list)
	type ranked struct {
		host     RankedHost
		distance float64
		score    float64
	}
	var out []ranked
	for _, c := range list {
		if !accept(c) || c.Host.Leaving {
			continue
		}
		weight := 1.0
		if float64(c.InFlight) > busyRatio*mean[c.Region]+1 {
			weight = 1 / busyRatio
		}
		distance := 0.0
		if c.Region != region {
			distance = 1 + inv.Link(region, c.Region).LatencyMS
		}
		out = append(out, ranked{
			host: RankedHost{
				Host: c.Host.Name, Address: c.Host.Callers, Region: c.Region,
				Centre: c.Host.Centre, Weight: weight,
			},
			distance: distance,
			score:    score(caller, c.Host.Name, weight),
		})
	}
	slices.SortFunc(out, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(b.score, a.score),
			cmp.Compare(a.host.Host, b.host.Host))
	})
	hosts := make([]RankedHost, len(out))
	for i, r := range out {
		hosts[i] = r.host
	}
	return hosts
}

// meanInFlight returns the mean in-flight requests of the healthy hosts of each region.
func meanInFlight(list []Candidate) map[string]float64 {
	sum, n := map[string]float64{}, map[string]float64{}
	for _, c := range list {
		if c.Healthy {
			sum[c.Region] += float64(c.InFlight)
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
