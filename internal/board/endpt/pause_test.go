package endpt

import (
	"testing"
	"time"
)

// TestPauseEndsGradually: a paused endpoint gets no request until the exact end of its pause,
// and then one at a time until it serves.
func TestPauseEndsGradually(t *testing.T) {
	table := NewTable()
	delay := func(ms int) time.Duration { s := table.Get("e"); return s.PauseDelay(at(ms)) }
	if !table.SetPause(at(0), "e", 1500*time.Millisecond) || table.SetPause(at(100), "e", time.Second) {
		t.Error("want the first pause stored and a shorter one ignored")
	}
	if got := delay(1499); got != time.Millisecond {
		t.Errorf("delay %v a millisecond before the end, want 1ms", got)
	}
	if got := delay(1500); got != 0 {
		t.Errorf("delay %v at the end, want 0", got)
	}
	table.StartRequest(at(1500), "e")
	table.EndPause("e", at(100))
	if got := delay(1600); got != trialTime-100*time.Millisecond {
		t.Errorf("delay %v while the first request is not answered, want %v", got, trialTime-100*time.Millisecond)
	}
	if got := delay(2500); got != 0 {
		t.Errorf("delay %v after trialTime, want 0", got)
	}
	table.EndPause("e", at(1500))
	table.StartRequest(at(1700), "e")
	if got := delay(1700); got != 0 {
		t.Errorf("delay %v after the endpoint served, want 0", got)
	}
}

// TestAbsurdPauseIsBounded: an endpoint that asks for years is not lost.
func TestAbsurdPauseIsBounded(t *testing.T) {
	table := NewTable()
	table.SetPause(at(0), "e", 1<<62)
	if s := table.Get("e"); s.PauseDelay(at(0)) != maxPause {
		t.Errorf("delay %v, want %v", s.PauseDelay(at(0)), maxPause)
	}
}

// TestPausedEndpointKeepsItsPause: a registration that is gone for a while does not end the
// pause.
func TestPausedEndpointKeepsItsPause(t *testing.T) {
	table := NewTable()
	table.Sync(at(0), []string{"e"})
	table.SetPause(at(0), "e", 10*time.Second)
	table.Sync(at(1000), nil)
	table.Sync(at(2000), []string{"e"})
	if s := table.Get("e"); s.PauseDelay(at(2000)) != 8*time.Second {
		t.Errorf("delay %v, want 8s", s.PauseDelay(at(2000)))
	}
}
