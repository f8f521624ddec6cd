// Package duty chooses the hosts that take on a duty for others, without coordination:
// hosts that know the same members choose the same ones. It answers the load of a fleet
// of many small hosts, in which reading the platform's store at every host would cost
// more than the changes are worth.
package duty

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/route/place"
)

// storeReaders is the number of hosts of a data centre that read the store.
const storeReaders = 3

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
