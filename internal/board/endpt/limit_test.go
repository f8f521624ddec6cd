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
	if !table.SetRateLimit(start, "e", &rate, start.Add(-time.Second)) || !table.Limited("e") {
		t.Fatal("the endpoint's limit is not stored")
	}
	if table.SetRateLimit(start.Add(time.Second), "e", nil, start.Add(-time.Millisecond)) || !table.Limited("e") {
		t.Error("an answer to an earlier request lifts the limit")
	}
	if table.SetRateLimit(start.Add(2*time.Second), "e", &rate, start.Add(time.Second)) {
		t.Error("the same limit counts as a change")
	}
	if !table.SetRateLimit(start.Add(4*time.Second), "e", nil, start.Add(3*time.Second)) || table.Limited("e") || table.CountLimited() != 0 {
		t.Error("an answer to a later request does not lift the limit")
	}
}
