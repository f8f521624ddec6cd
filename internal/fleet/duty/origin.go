package duty

import (
	"cmp"
	"slices"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/route/place"
)

// originCopies is the number of hosts that are told of a stream's start, besides the one
// that began it.
const originCopies = 3

// OriginKeepers returns the hosts that a host of a region tells of a stream's start, among
// the usable other hosts: one of its own region first, as the caller most likely comes to
// that region again, then of other regions, as a region can be lost whole.
func OriginKeepers(key uint64, region string, others []member.Member) []member.Member {
	var out []member.Member
	ranked := rankByRegion(key, others)
	for rank := 0; len(out) < originCopies; rank++ {
		before := len(out)
		for _, r := range regionOrder(key, region, ranked) {
			if hosts := ranked[r]; rank < len(hosts) && len(out) < originCopies {
				out = append(out, hosts[rank])
			}
		}
		if len(out) == before {
			break
		}
	}
	return out
}

// OriginSources returns the hosts that may have been told of a stream's start, whichever
// host began it.
func OriginSources(key uint64, others []member.Member) []member.Member {
	ranked := rankByRegion(key, others)
	// The order that the keepers were taken from left out the host that began the stream,
	// which may be first in this one.
	depth := 1 + (originCopies+len(ranked)-1)/max(1, len(ranked))
	var out []member.Member
	for _, r := range regionOrder(key, "", ranked) {
		out = append(out, ranked[r][:min(depth, len(ranked[r]))]...)
	}
	return out
}

// rankByRegion returns the hosts of each region by their rendezvous weights for a key.
func rankByRegion(key uint64, hosts []member.Member) map[string][]member.Member {
	out := map[string][]member.Member{}
	for _, m := range hosts {
		out[m.Region] = append(out[m.Region], m)
	}
	for _, list := range out {
		slices.SortFunc(list, func(a, b member.Member) int {
			return cmp.Or(cmp.Compare(place.Weight(key, b.Name), place.Weight(key, a.Name)), cmp.Compare(a.Name, b.Name))
		})
	}
	return out
}

// regionOrder returns the regions in the order of their rendezvous weights, own first.
func regionOrder(key uint64, own string, ranked map[string][]member.Member) []string {
	var out []string
	for r := range ranked {
		out = append(out, r)
	}
	slices.SortFunc(out, func(a, b string) int {
		if (a == own) != (b == own) {
			if a == own {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(place.Weight(key, b), place.Weight(key, a)), cmp.Compare(a, b))
	})
	return out
}
