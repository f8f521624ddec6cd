package endpt

import (
	"sync"
	"testing"
	"time"
)

// TestCopiesShareNoMemory reads copies of a state while the table changes; the race
// detector reports memory that they share.
func TestCopiesShareNoMemory(_ *testing.T) {
	const rounds = 2000
	table := NewTable()
	table.Sync(noon, []string{"e"})
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for i := range rounds {
			now := noon.Add(time.Duration(i) * time.Millisecond)
			table.SetPeerLoads(now, "a", map[string]HostLoad{"e": {Requests: i}})
			table.SetPeerLoads(now, "b", nil)
			table.StartRequest(now, "e")
			table.AdmitCold(now, "e", 2)
			table.FinishRequest(now, "e", Result{Whole: true})
			table.AddQueuedPrefill("e", 1, time.Millisecond)
		}
	})
	tasks.Go(func() {
		for i := range rounds {
			now := noon.Add(time.Duration(i) * time.Millisecond)
			s := table.Get("e")
			_ = s.QueuedPrefill(now)
			_ = s.KnownInFlight(now)
			_ = s.Load(now)
			_ = s.inFlightAt(now)
		}
	})
	tasks.Wait()
}
