package endpt

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// coldPlay is a play of hosts that learn of an endpoint's state by its health checks alone.
type coldPlay struct {
	start, coldAt time.Time
	// tables holds the hosts' tables, shares their shares of the limit, checked when they last sent a
	// check.
	tables  []*Table
	shares  []int
	checked []time.Time
	cold    []bool
	// arrivals holds when requests reached the endpoint while it was cold, warm the number before.
	arrivals []time.Time
	warm     int
}

// step plays one moment in which each host may send a check and as many requests as callers want.
func (p *coldPlay) step(now time.Time, checkPeriod, delay time.Duration, wanted int) {
	for i, table := range p.tables {
		if now.Sub(p.checked[i]) >= checkPeriod {
			p.checked[i] = now
			if now.Add(delay).Before(p.coldAt) {
				table.ConfirmWarm(now, "e")
			} else {
				p.cold[i] = true
			}
		}
		for range wanted {
			var admitted bool
			if p.cold[i] {
				admitted = table.AdmitCold(now, "e", p.shares[i])
			} else {
				admitted = table.AdmitUnconfirmed(now, "e", p.shares[i])
			}
			switch {
			case !admitted:
			case now.Add(delay).Before(p.coldAt):
				p.warm++
			default:
				p.arrivals = append(p.arrivals, now.Add(delay))
			}
		}
	}
}

// TestUnconfirmedEndpointIsFlooded: an endpoint that becomes cold between two health checks gets no
// more than the limit in any second, and as long as it is warm it gets the limit after each check.
func TestUnconfirmedEndpointIsFlooded(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const checkPeriod = 300 * time.Millisecond
		start := time.Date(2026, 12, 5, 9, 0, 0, 0, time.UTC)
		hosts := rapid.IntRange(1, 5).Draw(rt, "hosts")
		coldAfter := time.Duration(rapid.IntRange(0, 3000).Draw(rt, "cold")) * time.Millisecond
		delay := time.Duration(rapid.IntRange(0, 90).Draw(rt, "delay")) * time.Millisecond
		wanted := rapid.IntRange(1, 8).Draw(rt, "wanted")
		p := &coldPlay{start: start, coldAt: start.Add(coldAfter), cold: make([]bool, hosts), checked: make([]time.Time, hosts)}
		limit := 0
		for range hosts {
			share := rapid.IntRange(0, 6).Draw(rt, "share")
			limit += share
			p.tables, p.shares = append(p.tables, NewTable()), append(p.shares, share)
		}
		for now := start; now.Before(start.Add(5 * time.Second)); now = now.Add(10 * time.Millisecond) {
			p.step(now, checkPeriod, delay, wanted)
		}
		first := 0
		for i := range p.arrivals {
			for p.arrivals[i].Sub(p.arrivals[first]) >= time.Second {
				first++
			}
			if got := i - first + 1; got > limit {
				rt.Fatalf("the cold endpoint gets %d requests in a second, limit %d", got, limit)
			}
		}
		if least := limit * int(coldAfter/time.Second); p.warm < least {
			rt.Errorf("the warm endpoint gets %d requests in %v, want %d at least", p.warm, coldAfter, least)
		}
	})
}
