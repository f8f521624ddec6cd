package endpt

import (
	"testing"
	"time"
)

// TestNothingOutlivesAProcess guards against loads, failures, limits, pauses, late answers and late
// reports of an endpoint's earlier process that are applied to the next one.
func TestNothingOutlivesAProcess(t *testing.T) {
	rate := 1.0
	table := NewTable()
	table.Sync(at(0), []string{"e"})
	table.SetStart(at(0), "e", 1)
	for range 20 {
		table.StartRequest(at(0), "e")
		table.FinishRequest(at(0), "e", Result{Start: 1, Failed: true})
	}
	table.StartRequest(at(0), "e")
	table.PutReport("e", Report{Running: 5, At: at(5), Start: 1})
	table.SetPeerLoads(at(5), "peer", map[string]HostLoad{"e": {Requests: 4}})
	table.SetPause(at(5), "e", time.Minute)
	table.SetRateLimit(at(5), "e", &rate, at(5))
	table.SetStart(at(10), "e", 1)
	if st := table.Get("e"); !st.Ejected(at(10)) || st.InFlight != 1 {
		t.Fatal("the state of the same process is lost")
	}

	table.SetStart(at(10), "e", 2)
	table.StartRequest(at(11), "e")
	table.FinishRequest(at(12), "e", Result{Start: 1, Failed: true, Full: true})
	if table.PutReport("e", Report{Running: 5, At: at(13), Start: 1}) {
		t.Error("a late report of the earlier process was stored")
	}
	table.SetPeerRateLimit("e", &rate, at(9))
	st := table.Get("e")
	if st.InFlight != 1 || st.KnownInFlight(at(13)) != 1 || st.Load(at(13)) != 1 {
		t.Errorf("load is %v with %d in flight here, want the one request to the new process", st.Load(at(13)), st.InFlight)
	}
	if st.Ejected(at(13)) || st.RefusalLoad(at(13), 6) != 0 || st.PauseDelay(at(13)) != 0 || table.Limited(at(13), "e") {
		t.Error("an ejection, a rejection, a pause or a rate limit of the earlier process holds for the new one")
	}
	table.FinishRequest(at(14), "e", Result{Start: 2, Whole: true})
	if st := table.Get("e"); st.InFlight != 0 {
		t.Errorf("%d requests in flight after the answer, want 0", st.InFlight)
	}
}

// TestRestartErasesTheCount: requests that were sent to an endpoint's new process before its registration
// was read count towards the rate limit of the cold endpoint.
func TestRestartErasesTheCount(t *testing.T) {
	const share = 3
	for _, tt := range []struct {
		name   string
		forget func(t *Table, now time.Time)
	}{
		{"a new process is registered", func(t *Table, now time.Time) { t.SetStart(now, "e", 2) }},
		{"the registration is removed and comes back", func(t *Table, now time.Time) {
			t.Sync(now, nil)
			t.Sync(now, []string{"e"})
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			table := NewTable()
			table.Sync(at(0), []string{"e"})
			table.SetStart(at(0), "e", 1)
			for i := range share {
				table.RecordWarm(at(1000+i), "e")
			}
			tt.forget(table, at(1100))
			if table.AdmitCold(at(1200), "e", share) {
				t.Error("one more than the share was admitted in a second")
			}
		})
	}
}

// TestRestartErasesWhatTheNewProcessNamed: a rate limit and a pause that the new process named before its
// registration was read hold on, those of the earlier process do not.
func TestRestartErasesWhatTheNewProcessNamed(t *testing.T) {
	for _, tt := range []struct {
		name     string
		namedAt  int
		outlives bool
	}{{"named by the earlier process", 900, false}, {"named by the new process", 1100, true}} {
		t.Run(tt.name, func(t *testing.T) {
			rate := 1.0
			table := NewTable()
			table.Sync(at(0), []string{"e"})
			table.SetStart(at(0), "e", 1)
			name := func() {
				table.SetRateLimit(at(tt.namedAt), "e", &rate, at(tt.namedAt))
				table.SetPause(at(tt.namedAt), "e", time.Minute)
				table.StartRequest(at(tt.namedAt), "e")
			}
			if !tt.outlives {
				name()
			}
			table.SuspectRestart("e", Ended, at(1000))
			if tt.outlives {
				name()
			}
			table.SetStart(at(1200), "e", 2)
			st := table.Get("e")
			if got := table.Limited(at(1300), "e"); got != tt.outlives {
				t.Errorf("rate limited %v, want %v", got, tt.outlives)
			}
			if got := table.LimitDelay(at(1300), "e", 1, time.Second) > 0; got != tt.outlives {
				t.Errorf("the limit's window is used up: %v, want %v", got, tt.outlives)
			}
			if got := st.PauseDelay(at(1300)) > 0; got != tt.outlives {
				t.Errorf("paused %v, want %v", got, tt.outlives)
			}
		})
	}
}
