package endpt

import (
	"testing"
	"time"
)

// TestRateLimitOutlivesOvertakenAnswers: an answer without a limit lifts one only if its
// request was sent after the limit was named.
func TestRateLimitOutlivesOvertakenAnswers(t *testing.T) {
	start := time.Date(2026, 12, 4, 9, 0, 0, 0, time.UTC)
	table, rate := NewTable(), 2.5
	if !table.SetRateLimit(start, "e", &rate, start.Add(-time.Second)) || !table.Limited(start, "e") {
		t.Fatal("the endpoint's limit is not stored")
	}
	if table.SetRateLimit(start.Add(time.Second), "e", nil, start.Add(-time.Millisecond)) || !table.Limited(start.Add(time.Second), "e") {
		t.Error("an answer to an earlier request lifts the limit")
	}
	if table.SetRateLimit(start.Add(2*time.Second), "e", &rate, start.Add(time.Second)) {
		t.Error("the same limit counts as a change")
	}
	if !table.SetRateLimit(start.Add(4*time.Second), "e", nil, start.Add(3*time.Second)) || table.Limited(start.Add(4*time.Second), "e") || table.CountLimited(start.Add(4*time.Second)) != 0 {
		t.Error("an answer to a later request does not lift the limit")
	}
}

// TestSilentRateLimitIsForgotten: a limit that nobody confirms ends, so that an endpoint
// that all hosts avoid is not lost.
func TestSilentRateLimitIsForgotten(t *testing.T) {
	table, rate := NewTable(), 0.0
	table.SetRateLimit(epoch, "e", &rate, epoch)
	if table.Limited(epoch.Add(limitMemory-1), "e") != true || table.Limited(epoch.Add(limitMemory), "e") {
		t.Error("want the limit to hold for limitMemory and no longer")
	}
}

// TestLapsedEndpointKeepsItsRateLimit: a registration that is gone for a while does not
// free the endpoint of its limit.
func TestLapsedEndpointKeepsItsRateLimit(t *testing.T) {
	table, rate := NewTable(), 2.0
	table.Sync(at(0), []string{"e"})
	table.SetRateLimit(at(0), "e", &rate, at(0))
	table.Sync(at(1000), nil)
	table.Sync(at(2000), []string{"e"})
	if !table.Limited(at(2000), "e") {
		t.Error("the endpoint came back without its limit")
	}
}

// TestPeerRateLimits: of what hosts hear of a limit, the latest holds.
func TestPeerRateLimits(t *testing.T) {
	table, rate := NewTable(), 2.0
	table.Sync(at(0), []string{"e"})
	if !table.SetPeerRateLimit("e", &rate, at(100)) || !table.Limited(at(100), "e") {
		t.Error("the limit that a peer host heard is not stored")
	}
	if len(table.NamedLimits(at(200))) != 0 {
		t.Error("what a peer host heard is announced")
	}
	if table.SetPeerRateLimit("e", nil, at(50)) || !table.Limited(at(200), "e") {
		t.Error("older news lifts the limit")
	}
	table.SetRateLimit(at(300), "e", &rate, at(250))
	if got := table.NamedLimits(at(400)); len(got) != 1 || *got[0].PerSecond != rate || got[0].Age != 100*time.Millisecond {
		t.Errorf("announced limits are %+v, want that of the last answer", got)
	}
	if !table.SetPeerRateLimit("e", nil, at(500)) || table.Limited(at(500), "e") {
		t.Error("later news does not lift the limit")
	}
}

// TestLimitDelay: a host sends no more than its share in any window.
func TestLimitDelay(t *testing.T) {
	table, rate, window := NewTable(), 2.0, 4*time.Second
	table.SetRateLimit(at(0), "e", &rate, at(0))
	for i, want := range []time.Duration{0, 0, 3 * time.Second} {
		now := at(500 * i)
		if got := table.LimitDelay(now, "e", 2, window); got != want {
			t.Errorf("request %d: delay %v, want %v", i, got, want)
		}
		if want == 0 {
			table.StartRequest(now, "e")
		}
	}
	if got := table.LimitDelay(at(4000), "e", 2, window); got != 0 {
		t.Errorf("delay %v after the window, want 0", got)
	}
	if got := table.LimitDelay(at(4000), "e", 0, window); got != window {
		t.Errorf("delay %v without a share, want the window", got)
	}
}
