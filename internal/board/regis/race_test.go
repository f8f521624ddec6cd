package regis

import (
	"sync"
	"testing"
)

// TestListsShareNoMemory reads lists of endpoints while the table changes; the race
// detector reports memory that a list shares with later changes.
func TestListsShareNoMemory(_ *testing.T) {
	const rounds = 500
	table := NewTable()
	table.Put(entry("a", 1))
	var tasks sync.WaitGroup
	tasks.Go(func() {
		for i := range uint64(rounds) {
			e := entry("a", 2*i+2)
			e.Slots = int(i)
			table.Put(e)
			table.MarkDraining("a")
			table.SetEvacuated("c", i%2 == 0, i+1)
		}
	})
	tasks.Go(func() {
		for range rounds {
			for _, e := range table.Endpoints("s") {
				_ = e.Slots + len(table.IDs(e.Region))
			}
			_ = len(table.EvacuatedCentres())
		}
	})
	tasks.Wait()
}
