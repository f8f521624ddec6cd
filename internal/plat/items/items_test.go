package items

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/plat/eras"
)

func put(key string, revision uint64) Item { return Item{Key: key, Revision: revision} }

func tombstone(key string, revision uint64) Item {
	return Item{Key: key, Revision: revision, Deleted: true}
}

// sinceText formats the result of Since; + marks a live item, - a tombstone.
func sinceText(t *Table, from uint64) string {
	list, at, whole := t.Since(from)
	var out strings.Builder
	for _, it := range list {
		mark := "+"
		if it.Deleted {
			mark = "-"
		}
		fmt.Fprintf(&out, "%s%s%d ", mark, it.Key, it.Revision)
	}
	fmt.Fprintf(&out, "at %d whole %v", at, whole)
	return out.String()
}

func TestSince(t *testing.T) {
	table := &Table{}
	table.Replace([]Item{put("a", 2), put("b", 4)}, 5)
	table.Apply([]Item{put("a", 6), tombstone("b", 7), put("c", 8)}, 9)
	tests := map[uint64]string{
		0:  "+a6 +c8 at 9 whole true",
		4:  "+a6 +c8 at 9 whole true",
		5:  "+a6 -b7 +c8 at 9 whole false",
		7:  "+c8 at 9 whole false",
		8:  "at 9 whole false",
		9:  "at 9 whole false",
		50: "at 9 whole false",
	}
	for from, want := range tests {
		if got := sinceText(table, from); got != want {
			t.Errorf("Since(%d) returned %s, want %s", from, got, want)
		}
	}
}

func TestEmptyTable(t *testing.T) {
	if got := sinceText(&Table{}, 0); got != "at 0 whole false" {
		t.Errorf("Since(0) returned %s, want no items at revision 0", got)
	}
}

func TestOlderChangeIsIgnored(t *testing.T) {
	table := &Table{}
	table.Replace(nil, 1)
	table.Apply([]Item{tombstone("a", 7)}, 7)
	table.Apply([]Item{put("a", 3)}, 4)
	if got := sinceText(table, 1); got != "-a7 at 7 whole false" {
		t.Errorf("Since(1) returned %s, want the tombstone of revision 7", got)
	}
}

func TestListingRemovesMissingItems(t *testing.T) {
	table := &Table{}
	table.Replace([]Item{put("a", 2), put("b", 3)}, 5)
	table.Apply([]Item{put("late", 12)}, 12)
	table.Replace([]Item{put("a", 2)}, 10)
	if got := sinceText(table, 5); got != "-b10 +late12 at 12 whole false" {
		t.Errorf("Since(5) returned %s, want a tombstone of b, and the item newer than the listing", got)
	}
}

// TestTrimmedTombstones checks that Since returns a whole listing for a revision
// before the dropped tombstones, and only changes for a later one.
func TestTrimmedTombstones(t *testing.T) {
	table := &Table{}
	table.Replace(nil, 1)
	for i := range maxTombstones + 1 {
		table.Apply([]Item{tombstone(fmt.Sprint("k", i), uint64(i)+2)}, uint64(i)+2)
	}
	table.Apply([]Item{put("a", maxTombstones+9)}, maxTombstones+9)
	if list, _, whole := table.Since(2); !whole || len(list) != 1 {
		t.Errorf("Since(2) returned %d items, whole %v, want 1 item, whole true", len(list), whole)
	}
	if _, _, whole := table.Since(maxTombstones); whole {
		t.Errorf("Since(%d) returned a whole listing, want only the changes", maxTombstones)
	}
	if table.tombstones > maxTombstones {
		t.Errorf("table has %d tombstones, want at most %d", table.tombstones, maxTombstones)
	}
}

// TestCopyMatchesSource checks that a table that is updated at random times with the
// changes since its own revision has the same live items as its source.
func TestCopyMatchesSource(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		source, replica := &Table{}, &Table{}
		source.Replace([]Item{put("a", 1)}, 1)
		at := uint64(1)
		for range rapid.IntRange(0, 30).Draw(rt, "steps") {
			if rapid.Bool().Draw(rt, "change") {
				at++
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key")
				source.Apply([]Item{{Key: key, Revision: at, Deleted: rapid.Bool().Draw(rt, "deleted")}}, at)
				continue
			}
			syncTables(source, replica)
		}
		syncTables(source, replica)
		if a, b := liveItems(source), liveItems(replica); a != b {
			rt.Errorf("source has items %s, copy has %s", a, b)
		}
	})
}

// TestCopyMatchesRestoredSource: the same holds if the source is restored from older copies
// of the store between the changes, which gives revisions out again.
func TestCopyMatchesRestoredSource(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		source, replica := &Table{}, &Table{}
		era, at := uint64(1), uint64(5)
		source.Replace([]Item{put("a", eras.Join(era, 1))}, eras.Join(era, at))
		for range rapid.IntRange(0, 40).Draw(rt, "steps") {
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0:
				era, at = era+1, rapid.Uint64Range(1, at).Draw(rt, "copy")
				var list []Item
				for _, key := range []string{"a", "b", "c"} {
					if rapid.Bool().Draw(rt, key) {
						list = append(list, put(key, eras.Join(era, rapid.Uint64Range(1, at).Draw(rt, "written"))))
					}
				}
				source.Replace(list, eras.Join(era, at))
			case 1, 2:
				syncTables(source, replica)
			default:
				at++
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key")
				source.Apply([]Item{{Key: key, Revision: eras.Join(era, at), Deleted: rapid.Bool().Draw(rt, "deleted")}}, eras.Join(era, at))
			}
		}
		syncTables(source, replica)
		if a, b := liveItems(source), liveItems(replica); a != b {
			rt.Errorf("source has items %s, copy has %s", a, b)
		}
	})
}

// syncTables applies the changes of from since the revision of to.
func syncTables(from, to *Table) {
	items, revision, whole := from.Since(to.revision)
	if whole {
		to.Replace(items, revision)
		return
	}
	to.Apply(items, revision)
}

// liveItems formats the items of a table that are not deleted.
func liveItems(t *Table) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := ""
	for _, key := range []string{"a", "b", "c"} {
		if it, ok := t.items[key]; ok && !it.Deleted {
			out += fmt.Sprint(key, it.Revision, " ")
		}
	}
	return out
}
