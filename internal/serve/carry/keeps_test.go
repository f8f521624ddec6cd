package carry

import (
	"strconv"
	"testing"
	"time"
)

var start = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

func TestPrefixTable(t *testing.T) {
	local, remote := NewKeeps(), NewKeeps()
	local.Send(start, "e", 7)
	remote.Told(start, local.Fresh(start))
	for _, k := range []*Keeps{local, remote} {
		if !k.Holds(start.Add(prefixTTL-1), "e", 7) || k.Holds(start, "e", 8) || k.Holds(start, "f", 7) {
			t.Error("Holds is not true for exactly the prefix that was sent")
		}
		if k.Holds(start.Add(prefixTTL), "e", 7) {
			t.Error("prefix still held after prefixTTL")
		}
	}
	if len(local.Fresh(start.Add(reportTTL+1))) != 0 {
		t.Error("prefix still reported after reportTTL")
	}
	remote.Forget("e")
	if remote.Holds(start, "e", 7) {
		t.Error("prefix still held after Forget")
	}
}

func TestPrefixTableIsBounded(t *testing.T) {
	k := NewKeeps()
	for i := range 3 * maxPrefixes {
		k.Send(start, strconv.Itoa(i), 1)
	}
	if len(k.sent) > maxPrefixes || len(k.Fresh(start)) > maxReported {
		t.Errorf("%d prefixes recorded, %d reported: above the limits", len(k.sent), len(k.Fresh(start)))
	}
}
