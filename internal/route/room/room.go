// Package room bounds what hosts have in flight at an endpoint that falls over when it has to turn
// requests away. It answers bursts that reach many hosts at once, each of which has an old view of
// what the others have in flight: all hosts together stay within the slots if each keeps to its
// part of them.
package room

const (
	// spareShare is the share of the slots that is left free: a new connection holds one for a
	// moment, as does a health check.
	spareShare = 0.1
	// easeSlots is the number of slots by which the bound of an endpoint grows, for each slot of
	// it, until it is lifted.
	easeSlots = 2
)

// Usable returns the number of requests that all hosts together may have in flight at an endpoint.
// ease is the share of the usual room beyond the slots that may be used: 0 while the endpoint is
// brittle, and growing to 1 after that.
func Usable(slots int, ease float64) int {
	return max(1, slots-int(spareShare*float64(slots))+int(ease*easeSlots*float64(slots)))
}
