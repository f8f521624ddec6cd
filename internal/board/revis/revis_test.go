package revis

import (
	"sync"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
)

func force(revision uint64, digest string) *Force {
	return &Force{Inventory: &invent.Inventory{Revision: revision, Digest: digest}, Since: time.Unix(1, 0)}
}

// TestOnlyHigher: whatever the order, and from however many sides at once, the
// mark in force only rises, and apply runs for what comes into force only.
func TestOnlyHigher(t *testing.T) {
	tab := NewTable()
	applied := 0
	count := func(*invent.Inventory) { applied++ }
	steps := []struct {
		force *Force
		want  bool
	}{
		{force(3, "aaaaaaaa"), true},
		{force(2, "ffffffff"), false},
		{force(3, "aaaaaaaa"), false},
		{force(3, "00000000"), false},
		{force(3, "bbbbbbbb"), true},
		{force(4, "00000000"), true},
	}
	for i, s := range steps {
		if got := tab.Advance(s.force, count); got != s.want {
			t.Errorf("step %d: %v, want %v", i, got, s.want)
		}
	}
	if applied != 3 || tab.Revision() != 4 {
		t.Errorf("applied %d, in force %d", applied, tab.Revision())
	}
	var wait sync.WaitGroup
	for i := range uint64(50) {
		wait.Go(func() { tab.Advance(force(100-i, "x"), func(*invent.Inventory) {}) })
	}
	wait.Wait()
	if tab.Revision() != 100 {
		t.Errorf("in force %d, want 100", tab.Revision())
	}
}
