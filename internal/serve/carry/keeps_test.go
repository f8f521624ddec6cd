package carry

import (
	"strconv"
	"testing"
	"time"
)

var start = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

func TestKeeps(t *testing.T) {
	own, other := NewKeeps(), NewKeeps()
	own.Send(start, "e", 7)
	other.Told(start, own.Fresh(start))
	for _, k := range []*Keeps{own, other} {
		if !k.Holds(start.Add(keepLife-1), "e", 7) || k.Holds(start, "e", 8) || k.Holds(start, "f", 7) {
			t.Error("what was sent is not known, or more than that")
		}
		if k.Holds(start.Add(keepLife), "e", 7) {
			t.Error("a beginning is kept for ever")
		}
	}
	if len(own.Fresh(start.Add(tellLife+1))) != 0 {
		t.Error("others are told for ever")
	}
	other.Forget("e")
	if other.Holds(start, "e", 7) {
		t.Error("an endpoint that started again still keeps it")
	}
}

func TestKeepsAreBounded(t *testing.T) {
	k := NewKeeps()
	for i := range 3 * mostKeeps {
		k.Send(start, strconv.Itoa(i), 1)
	}
	if len(k.sent) > mostKeeps || len(k.Fresh(start)) > mostTold {
		t.Errorf("%d kept, %d told", len(k.sent), len(k.Fresh(start)))
	}
}
