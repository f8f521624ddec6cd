package quota

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/board/endpt"
)

// known returns the other hosts that h knows. News of a start or a shutdown takes a second.
func (h *pacedHost) known(now time.Time, fleet []*pacedHost) []Host {
	heard := now.Add(-time.Second)
	if h.cut {
		heard = start
	}
	var out []Host
	for _, o := range fleet {
		if o != h && !heard.Before(o.started) && (o.gone.IsZero() || heard.Before(o.gone)) {
			out = append(out, o.Host)
		}
	}
	return out
}

// What an endpoint may get beyond its limit in any span of limitSpan, by the platform's
// rules.
const (
	limitSpan   = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// pacedHost is a host of the play.
type pacedHost struct {
	Host
	table *Table
	sends *endpt.Table
	// started is the start of its process, gone the end of an announced shutdown.
	started time.Time
	gone    time.Time
	// pausedFrom and pausedTo bound a pause of the process.
	pausedFrom, pausedTo time.Time
	// cut reports whether it hears of no changes of the fleet.
	cut bool
}

func (h *pacedHost) runs(now time.Time) bool {
	if now.Before(h.started) || (!h.gone.IsZero() && !now.Before(h.gone)) {
		return false
	}
	return now.Before(h.pausedFrom) || !now.Before(h.pausedTo)
}

const (
	playTime = 24 * time.Second
	playStep = 100 * time.Millisecond
	// listPeriod is the time between two updates of a host's list of hosts.
	listPeriod = 500 * time.Millisecond
)

// playPace plays demand for one endpoint on all hosts and returns the times of the requests
// that they send.
func playPace(fleet []*pacedHost, rate float64, demand func() bool) []time.Time {
	var sent []time.Time
	end := start.Add(playTime)
	for now := start; now.Before(end); now = now.Add(playStep) {
		for _, h := range fleet {
			if !h.runs(now) {
				continue
			}
			if now.Sub(start)%listPeriod == 0 {
				h.table.UpdateHosts(now, h.known(now, fleet))
			}
			most, window := h.table.Pace(now, "e", rate)
			for demand() && h.sends.LimitDelay(now, "e", most, window) == 0 {
				h.sends.StartRequest(now, "e")
				sent = append(sent, now)
			}
		}
	}
	return sent
}

func mostInSpan(sent []time.Time) int {
	most, first := 0, 0
	for i := range sent {
		for sent[i].Sub(sent[first]) >= limitSpan {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestPacedEndpointOverload: whatever hosts are cut off, paused, new or leaving, together
// they send an endpoint no more than its limit allows.
func TestPacedEndpointOverload(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(0, 30).Draw(rt, "rate")
		var fleet []*pacedHost
		for i := range rapid.IntRange(1, 80).Draw(rt, "hosts") {
			h := &pacedHost{Host: Host{Name: fmt.Sprint(i), Cores: float64(rapid.IntRange(1, 3).Draw(rt, "cores"))}, started: start.Add(-time.Minute)}
			at := start.Add(time.Duration(rapid.IntRange(0, 20_000).Draw(rt, "at")) * time.Millisecond)
			switch rapid.IntRange(0, 12).Draw(rt, "fate") {
			case 0:
				h.pausedFrom, h.pausedTo = at, at.Add(4*time.Second)
			case 1:
				h.started = at
			case 2:
				h.gone = at
			case 3:
				h.cut = true
			}
			h.table, h.sends = New(h.started, h.Host), endpt.NewTable()
			h.sends.SetRateLimit(h.started, "e", &rate, h.started)
			h.sends.SetRateLimit(start.Add(playTime), "e", &rate, start)
			fleet = append(fleet, h)
		}
		busy := rapid.IntRange(1, 10).Draw(rt, "busy")
		n := 0
		sent := playPace(fleet, rate, func() bool { n++; return n%10 < busy })
		allowed := limitFactor*rate*limitSpan.Seconds() + limitSlack
		if most := mostInSpan(sent); float64(most) > allowed {
			rt.Fatalf("endpoint with limit %.2f gets %d requests in %v, %.1f are allowed", rate, most, limitSpan, allowed)
		}
	})
}

// TestPaceUsesTheLimit: hosts that know each other and all have demand use most of a limit,
// and a limit of nothing still gets the request that finds out when it ends.
func TestPaceUsesTheLimit(t *testing.T) {
	for _, hosts := range []int{1, 2, 7, 72} {
		for _, rate := range []float64{0, 0.3, 2.9, 25} {
			var fleet []*pacedHost
			for i := range hosts {
				h := &pacedHost{Host: Host{Name: fmt.Sprint(i), Cores: 1}, started: start.Add(-time.Minute), sends: endpt.NewTable()}
				h.table = New(h.started, h.Host)
				h.sends.SetRateLimit(start.Add(playTime), "e", &rate, start)
				fleet = append(fleet, h)
			}
			sent := playPace(fleet, rate, func() bool { return true })
			if want := max(1, 0.8*rate*playTime.Seconds()); float64(len(sent)) < want {
				t.Errorf("%d hosts sent %d requests at a limit of %.1f, want %.0f or more", hosts, len(sent), rate, want)
			}
		}
	}
}
