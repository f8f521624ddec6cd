package proxy

import (
	"strconv"
	"testing"
	"time"
)

var start = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

func TestPrefixTable(t *testing.T) {
	local, remote := NewPrefixTable(), NewPrefixTable()
	local.RecordSent(start, "e", 7)
	remote.RecordReported(start, local.Recent(start))
	for _, k := range []*PrefixTable{local, remote} {
		if !k.Cached(start.Add(prefixTTL-1), "e", 7) || k.Cached(start, "e", 8) || k.Cached(start, "f", 7) {
			t.Error("Cached is not true for exactly the prefix that was sent")
		}
		if k.Cached(start.Add(prefixTTL), "e", 7) {
			t.Error("prefix still cached after prefixTTL")
		}
	}
	if len(local.Recent(start.Add(reportTTL+1))) != 0 {
		t.Error("prefix still reported after reportTTL")
	}
	remote.Forget("e")
	if remote.Cached(start, "e", 7) {
		t.Error("prefix still cached after Forget")
	}
}

func TestPrefixTableIsBounded(t *testing.T) {
	k := NewPrefixTable()
	for i := range 3 * maxPrefixes {
		k.RecordSent(start, strconv.Itoa(i), 1)
	}
	if len(k.sent) > maxPrefixes || len(k.Recent(start)) > maxReported {
		t.Errorf("%d prefixes recorded, %d reported: above the limits", len(k.sent), len(k.Recent(start)))
	}
}

// TestPrefixesOfEarlierProcess guards against prompts that are sent to an endpoint for a prefix that
// its earlier process had cached, also by a late report of another host.
func TestPrefixesOfEarlierProcess(t *testing.T) {
	k := NewPrefixTable()
	k.SetStart(start, "e", 1)
	k.RecordSent(start, "e", 7)
	k.SetStart(start, "e", 1)
	if !k.Cached(start, "e", 7) {
		t.Error("prefix of the same process is not cached")
	}
	late := k.Recent(start)
	k.SetStart(start.Add(time.Second), "e", 2)
	k.RecordReported(start.Add(time.Second), late)
	if k.Cached(start.Add(time.Second), "e", 7) || len(k.Recent(start.Add(time.Second))) != 0 {
		t.Error("prefix of the earlier process is still cached or reported")
	}
	k.RecordReported(start.Add(time.Second+reportTTL), late)
	if !k.Cached(start.Add(time.Second+reportTTL), "e", 7) {
		t.Error("prefixes are not recorded any more after a restart")
	}
}
