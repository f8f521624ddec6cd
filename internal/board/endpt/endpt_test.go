package endpt

import (
	"math"
	"testing"
	"time"
)

var epoch = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// TestLoadCountsOwnRequestsOnce: Load subtracts from a late report the requests that
// this host had in flight when the report was made, so that none is counted twice.
func TestLoadCountsOwnRequestsOnce(t *testing.T) {
	tab := NewTable()
	for range 4 {
		tab.StartRequest(at(0), "e")
	}
	for range 3 {
		tab.FinishRequest(at(100), "e", Result{Whole: true})
	}
	// The report was made at 50 ms, when the six requests included all four of this
	// host, and arrives at 300 ms.
	tab.PutReport("e", Report{Running: 6, At: at(50)})
	s := tab.Get("e")
	if got := s.Load(at(50)); got != 3 {
		t.Errorf("load = %.1f, want 3: 1 of this host and 2 of others", got)
	}
	if got := s.Load(at(50 + 4000)); got != 2 {
		t.Errorf("load = %.1f with a report 4 s old, want 2: 1 of this host and half of 2", got)
	}
}

func TestOlderReportIsIgnored(t *testing.T) {
	tab := NewTable()
	tab.PutReport("e", Report{Running: 1, At: at(200)})
	if tab.PutReport("e", Report{Running: 9, At: at(100)}) {
		t.Error("PutReport stored an older report")
	}
}

// TestLaterReportWithdrawsLeaving: an endpoint that announced that it is draining counts
// as leaving until a later report of its own.
func TestLaterReportWithdrawsLeaving(t *testing.T) {
	tab := NewTable()
	tab.MarkLeaving(at(100), "e")
	tab.PutReport("e", Report{At: at(50)})
	if s := tab.Get("e"); !s.Leaving() {
		t.Error("an earlier report withdrew the leaving state")
	}
	tab.PutReport("e", Report{At: at(120), Failing: true})
	if s := tab.Get("e"); !s.Leaving() {
		t.Error("a failed poll, which is no report of the endpoint, withdrew the leaving state")
	}
	tab.PutReport("e", Report{At: at(150)})
	if s := tab.Get("e"); s.Leaving() {
		t.Error("a later report did not withdraw the leaving state")
	}
	tab.PutReport("e", Report{At: at(200), Leaving: true})
	if s := tab.Get("e"); !s.Leaving() {
		t.Error("a report with Leaving set did not set the leaving state")
	}
}

func TestSlowdownRisesAndDecays(t *testing.T) {
	tab := NewTable()
	usual := 100 * time.Millisecond
	for range 30 {
		tab.StartRequest(at(0), "e")
		tab.FinishRequest(at(0), "e", Result{Whole: true, TimeToFirstToken: time.Second, ExpectedTimeToFirstToken: usual})
	}
	s := tab.Get("e")
	if got := s.TimeToFirstToken(at(0), usual); got < 900*time.Millisecond {
		t.Errorf("expected time to first token = %v, want at least 900ms after samples of 1s", got)
	}
	if got := s.TimeToFirstToken(epoch.Add(10*slowdownHalfLife), usual); got > 110*time.Millisecond {
		t.Errorf("expected time to first token = %v, want at most 110ms after ten half-lives", got)
	}
}

func TestRampAfterJoining(t *testing.T) {
	tab := NewTable()
	tab.Sync(epoch, []string{"old"})
	tab.Sync(epoch, []string{"old", "new"})
	old, fresh := tab.Get("old"), tab.Get("new")
	if old.Ramp(epoch) != 1 || fresh.Ramp(epoch) >= 0.5 || fresh.Ramp(epoch.Add(rampTime)) != 1 {
		t.Errorf("ramps = %v for the old endpoint, %v and %v for the new one; want 1, below 0.5 and 1", old.Ramp(epoch), fresh.Ramp(epoch), fresh.Ramp(epoch.Add(rampTime)))
	}
}

// TestOldPaceSaysLittle guards against an endpoint that is avoided, or preferred, for the pace that
// it reported long ago, and against one whose own speed is forgotten with it.
func TestOldPaceSaysLittle(t *testing.T) {
	table := NewTable()
	table.PutReport("e", Report{Pace: 4, At: at(0)})
	for ms, want := range map[int]float64{0: 4, 100: 2, 200: math.Sqrt2} {
		if st := table.Get("e"); math.Abs(st.Speed(at(ms))-want) > 0.01 {
			t.Errorf("speed is %.2f after %d ms, want %.2f", st.Speed(at(ms)), ms, want)
		}
	}
	for range 50 {
		table.FinishRequest(at(1000), "e", Result{Whole: true, AnswerTime: 60 * time.Millisecond, ExpectedAnswerTime: 30 * time.Millisecond})
	}
	table.PutReport("e", Report{At: at(1000)})
	if st := table.Get("e"); math.Abs(st.Speed(at(1000))-2) > 0.01 {
		t.Errorf("speed is %.2f after answers that took twice the usual time, want 2", st.Speed(at(1000)))
	}
}
