// Package steer decides which regions' hosts callers are told to use, so that
// requests bound to homes cross regions as little as may be.
package steer

import "slices"

const (
	// enough is the share of requests that the callers' own region may hold from
	// which they stay there: below it most would cross to a home anyway.
	enough = 0.5
	// near is the difference of two regions' shares that counts as none.
	near = 0.05
)

// Load is a part of the requests of one host name.
type Load struct {
	// Homes lists the regions that may hold them; empty means all.
	Homes  []string
	Amount float64
}

// Why is what a choice was made by.
type Why string

// The reasons.
const (
	Own     Why = "own region"
	Cross   Why = "most requests cross to their homes"
	Without Why = "no host in the region"
)

// Regions chooses among the regions that have a host for callers of one region:
// their own where it may hold enough of what they ask for, else those that may
// hold the most. What is asked for may be unknown; then the own region is chosen.
func Regions(own string, alive []string, loads []Load) ([]string, Why) {
	here := slices.Contains(alive, own)
	if here && share(own, loads) >= enough {
		return []string{own}, Own
	}
	most := 0.0
	for _, r := range alive {
		most = max(most, share(r, loads))
	}
	if here && share(own, loads) >= most-near {
		return []string{own}, Own
	}
	list := slices.DeleteFunc(slices.Clone(alive), func(r string) bool { return share(r, loads) < most-near })
	if here {
		return list, Cross
	}
	return list, Without
}

// share is the part of the requests that a region may hold.
func share(region string, loads []Load) float64 {
	all, held := 0.0, 0.0
	for _, l := range loads {
		all += l.Amount
		if len(l.Homes) == 0 || slices.Contains(l.Homes, region) {
			held += l.Amount
		}
	}
	if all == 0 {
		return 1
	}
	return held / all
}
