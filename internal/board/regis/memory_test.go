package regis

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/plat/eras"
)

// TestStartedTableLearns guards against a started host that takes endpoints of an older copy of
// the store into use again, and against one that drops what was written since the store came back.
func TestStartedTableLearns(t *testing.T) {
	const before, after = 1, 2 // eras
	for _, tt := range []struct {
		name string
		// peerKnows reports whether the peer host has listed the store since it came back.
		peerKnows bool
		// written reports whether the endpoints were written again since.
		written bool
		want    string
	}{
		{"peer has seen the restore", true, false, "drains draining leaves draining"},
		{"peer has not seen the restore", false, false, "drains draining leaves draining"},
		{"written again", true, true, "drains ends leaves draining"},
	} {
		peer, started := NewTable(), NewTable()
		ids := []string{"drains", "ends", "leaves"}
		for _, id := range ids {
			peer.Put(entry(id, eras.Join(before, 5)))
		}
		peer.Replace([]Endpoint{entry("drains", eras.Join(before, 6)), entry("leaves", eras.Join(before, 6))}, eras.Join(before, 7), time.Time{})
		peer.MarkDraining("drains")
		peer.MarkLeaving(time.Now(), Leaving{ID: "leaves"}, true)
		copied := []Endpoint{}
		for _, id := range ids {
			copied = append(copied, entry(id, eras.Join(after, 3)))
		}
		if tt.peerKnows {
			peer.Replace(copied, eras.Join(after, 4), time.Time{})
		}
		started.Replace(copied, eras.Join(after, 4), time.Time{})
		if tt.written {
			for _, id := range ids {
				started.Put(entry(id, eras.Join(after, 9)))
			}
		}
		started.Learn(peer.Memory())
		got := ""
		for _, e := range started.Endpoints("s") {
			if got += " " + e.ID; e.Draining {
				got += " draining"
			}
		}
		if fmt.Sprint(" ", tt.want) != got {
			t.Errorf("%s: got%s, want %s", tt.name, got, tt.want)
		}
	}
}
