package endpt

import "testing"

// TestHighFailureRateEjects: an endpoint that fails every second or third request is
// ejected for rateHold; one that fails few requests is not.
func TestHighFailureRateEjects(t *testing.T) {
	for _, tt := range []struct {
		every int
		want  bool
	}{{2, true}, {3, true}, {7, false}, {100, false}} {
		table := NewTable()
		now := noon
		ejected := false
		for i := range 200 {
			now = now.Add(20 * ms)
			table.StartRequest(now, "e")
			table.FinishRequest(now, "e", Result{Whole: i%tt.every != 0, Failed: i%tt.every == 0})
			s := table.Get("e")
			ejected = ejected || s.EjectedByRate(now)
		}
		if ejected != tt.want {
			t.Errorf("one failure in %d: ejected = %v, want the opposite", tt.every, ejected)
		}
		s := table.Get("e")
		if s.EjectedByRate(now.Add(rateHold)) {
			t.Error("still ejected after rateHold")
		}
	}
}

// TestServerErrorsCountAsFailures: a server error that the endpoint answers counts as a
// failure in the rate, though it reaches the caller as a complete answer.
func TestServerErrorsCountAsFailures(t *testing.T) {
	table := NewTable()
	for range minRateSample {
		table.FinishRequest(noon, "e", Result{Whole: true, ServerError: true})
	}
	s := table.Get("e")
	if !s.EjectedByRate(noon) || s.Ejected(noon) {
		t.Errorf("ejected by rate = %v, by failures in a row = %v; want true, false", s.EjectedByRate(noon), s.Ejected(noon))
	}
}

func TestCancelledRequestsDoNotCount(t *testing.T) {
	table := NewTable()
	for range 5 * minRateSample {
		table.FinishRequest(noon, "e", Result{})
	}
	s := table.Get("e")
	if s.EjectedByRate(noon) {
		t.Error("ejected because callers cancelled their requests")
	}
}
