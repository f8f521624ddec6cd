package revis

import (
	"sync"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
)

func active(revision uint64, digest string) *Active {
	return &Active{Inventory: &invent.Inventory{Revision: revision, Digest: digest}, Since: time.Unix(1, 0)}
}

// TestVersionOnlyRises: in any order of Advance calls, also concurrent ones, the active
// version only rises, and apply runs only for revisions that become active.
func TestVersionOnlyRises(t *testing.T) {
	tab := NewTable()
	applied := 0
	count := func(*invent.Inventory) { applied++ }
	steps := []struct {
		active *Active
		want   bool
	}{
		{active(3, "aaaaaaaa"), true},
		{active(2, "ffffffff"), false},
		{active(3, "aaaaaaaa"), false},
		{active(3, "00000000"), false},
		{active(3, "bbbbbbbb"), true},
		{active(4, "00000000"), true},
	}
	for i, s := range steps {
		if got := tab.Advance(s.active, count); got != s.want {
			t.Errorf("step %d: Advance = %v, want %v", i, got, s.want)
		}
	}
	if applied != 3 || tab.Revision() != 4 {
		t.Errorf("applied %d revisions, active revision %d; want 3, 4", applied, tab.Revision())
	}
	var wait sync.WaitGroup
	for i := range uint64(50) {
		wait.Go(func() { tab.Advance(active(100-i, "x"), func(*invent.Inventory) {}) })
	}
	wait.Wait()
	if tab.Revision() != 100 {
		t.Errorf("active revision = %d, want 100", tab.Revision())
	}
}
