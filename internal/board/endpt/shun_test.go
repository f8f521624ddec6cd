package endpt

import "testing"

// TestShunsWhatFailsInPart: an endpoint that fails every other request is shunned
// soon and tried again later; one that fails a few is not.
func TestShunsWhatFailsInPart(t *testing.T) {
	for _, tt := range []struct {
		every int
		want  bool
	}{{2, true}, {3, true}, {7, false}, {100, false}} {
		table := NewTable()
		now := noon
		shunned := false
		for i := range 200 {
			now = now.Add(20 * ms)
			table.Start(now, "e")
			table.Done(now, "e", Result{Whole: i%tt.every != 0, Failed: i%tt.every == 0})
			s := table.Get("e")
			shunned = shunned || s.Shunned(now)
		}
		if shunned != tt.want {
			t.Errorf("one failure in %d: shunned %v", tt.every, shunned)
		}
		s := table.Get("e")
		if s.Shunned(now.Add(shunTime)) {
			t.Error("shunned for ever")
		}
	}
}

// TestOwnFailuresCount: an answer of the endpoint's own that says failure counts
// as one, though it is passed on whole.
func TestOwnFailuresCount(t *testing.T) {
	table := NewTable()
	for range shunSample {
		table.Done(noon, "e", Result{Whole: true, Fault: true})
	}
	s := table.Get("e")
	if !s.Shunned(noon) || s.Ejected(noon) {
		t.Errorf("shunned %v, ejected %v", s.Shunned(noon), s.Ejected(noon))
	}
}

func TestCallersThatLeaveDoNotCount(t *testing.T) {
	table := NewTable()
	for range 5 * shunSample {
		table.Done(noon, "e", Result{})
	}
	s := table.Get("e")
	if s.Shunned(noon) {
		t.Error("shunned for callers that left")
	}
}
