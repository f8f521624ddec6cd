// Package duty chooses the hosts that take on a duty for others, without coordination:
// hosts that know the same members choose the same ones. It answers the load of a fleet
// of many small hosts: if all of them took callers' requests, each would see too few to
// place them well, and if all of them read the platform's store, its load would grow with
// the fleet.
package duty

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/route/place"
)

const (
	// storeReaders is the number of hosts of a data centre that read the store.
	storeReaders = 3
	// minEntries is the least number of hosts of a region that callers are given, so that
	// the loss of some of them leaves enough until callers ask the directory again.
	minEntries = 6
	// coresPerSlot is the capacity of the entry hosts for each slot of the region's
	// endpoints, in cores. With less they would be the bottleneck while all slots are busy.
	coresPerSlot = 0.01
	// minSample is the least number of hosts in one answer of the directory, so that a
	// caller has others to turn to.
	minSample = 3
)

// Order returns hosts in the order in which they take on a duty: those with more cores
// first, equal ones by their rendezvous weights, so that duties differ in their hosts and
// the loss of a host moves only its own duties.
func Order(duty string, hosts []member.Member) []member.Member {
	key := xxhash.Sum64String(duty)
	weights := make(map[string]uint64, len(hosts))
	for _, m := range hosts {
		weights[m.Name] = place.Weight(key, m.Name)
	}
	out := slices.Clone(hosts)
	slices.SortFunc(out, func(a, b member.Member) int {
		return cmp.Or(cmp.Compare(b.Cores, a.Cores), cmp.Compare(weights[b.Name], weights[a.Name]), cmp.Compare(a.Name, b.Name))
	})
	return out
}

// Readers returns the hosts that read the platform's store and pass its changes on, among
// the live hosts of one data centre.
func Readers(hosts []member.Member) []member.Member {
	return Order("store", hosts)[:min(storeReaders, len(hosts))]
}

// Entries returns the hosts that callers are given, among the live hosts of one region
// whose endpoints have a number of slots: as few as can carry the requests of all slots,
// spread over the data centres. Each of them then sees a large part of the region's
// requests, and they can tell each other of all.
func Entries(hosts []member.Member, slots int) []member.Member {
	centres := map[string][]member.Member{}
	for _, m := range Order("entry", hosts) {
		centres[m.Centre] = append(centres[m.Centre], m)
	}
	cores := map[string]float64{}
	total, need := 0.0, coresPerSlot*float64(slots)
	var out []member.Member
	for len(out) < len(hosts) && (len(out) < minEntries || total < need) {
		c := leastCores(centres, cores)
		m := centres[c][0]
		centres[c] = centres[c][1:]
		out = append(out, m)
		// A host without known cores counts a little, so that the data centres take turns.
		cores[c] += max(m.Cores, minCores)
		total += m.Cores
	}
	return out
}

// minCores is what a host counts at least in the balance of data centres.
const minCores = 0.01

// leastCores returns the data centre with the fewest chosen cores among those with hosts
// left.
func leastCores(centres map[string][]member.Member, cores map[string]float64) string {
	best, found := "", false
	for c, left := range centres {
		if len(left) == 0 {
			continue
		}
		if !found || cores[c] < cores[best] || (cores[c] == cores[best] && c < best) {
			best, found = c, true
		}
	}
	return best
}

// Sample returns the hosts for one answer of the directory. Callers spread their requests
// evenly over the hosts of an answer, so each host is in a share of the answers that is
// proportional to its cores. rnd returns random numbers from 0 to 1.
func Sample(hosts []member.Member, rnd func() float64) []member.Member {
	weights := make([]float64, len(hosts))
	total, largest := 0.0, 0.0
	for i, m := range hosts {
		weights[i] = max(m.Cores, minCores)
		total += weights[i]
		largest = max(largest, weights[i])
	}
	size := max(minSample, int(total/largest))
	if size >= len(hosts) {
		return hosts
	}
	total = capWeights(weights, total, size)
	// Systematic sampling: hosts lie on a line in proportion to their weights, of which
	// equally spaced points are drawn.
	step := total / float64(size)
	next, end := rnd()*step, 0.0
	var out []member.Member
	for i, m := range hosts {
		if end += weights[i]; next < end && len(out) < size {
			out = append(out, m)
			next += step
		}
	}
	return out
}

// capWeights reduces weights so that none exceeds the share of one of size draws, and
// returns their sum.
func capWeights(weights []float64, total float64, size int) float64 {
	for range weights {
		limit, sum := total/float64(size), 0.0
		for i, w := range weights {
			weights[i] = min(w, limit)
			sum += weights[i]
		}
		if sum == total {
			break
		}
		total = sum
	}
	return total
}
