package items

import (
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

func put(key string, revision uint64) Item { return Item{Key: key, Revision: revision} }

func gone(key string, revision uint64) Item { return Item{Key: key, Revision: revision, Deleted: true} }

// show writes what Since returns as text.
func show(t *Table, from uint64) string {
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
	table.Change([]Item{put("a", 6), gone("b", 7), put("c", 8)}, 9)
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
		if got := show(table, from); got != want {
			t.Errorf("Since(%d) = %s, want %s", from, got, want)
		}
	}
}

func TestEmptyTableTellsNothing(t *testing.T) {
	if got := show(&Table{}, 0); got != "at 0 whole false" {
		t.Error(got)
	}
}

func TestOlderChangeIsIgnored(t *testing.T) {
	table := &Table{}
	table.Replace(nil, 1)
	table.Change([]Item{gone("a", 7)}, 7)
	table.Change([]Item{put("a", 3)}, 4)
	if got := show(table, 1); got != "-a7 at 7 whole false" {
		t.Error(got)
	}
}

func TestListingRemovesWhatItLacks(t *testing.T) {
	table := &Table{}
	table.Replace([]Item{put("a", 2), put("b", 3)}, 5)
	table.Change([]Item{put("late", 12)}, 12)
	table.Replace([]Item{put("a", 2)}, 10)
	if got := show(table, 5); got != "-b10 +late12 at 12 whole false" {
		t.Error(got)
	}
}

func TestForgottenRemovalsMakeAWholeListing(t *testing.T) {
	table := &Table{}
	table.Replace(nil, 1)
	for i := range mostRemoved + 1 {
		table.Change([]Item{gone(fmt.Sprint("k", i), uint64(i)+2)}, uint64(i)+2)
	}
	table.Change([]Item{put("a", mostRemoved+9)}, mostRemoved+9)
	if list, _, whole := table.Since(2); !whole || len(list) != 1 {
		t.Errorf("%d items, whole %v", len(list), whole)
	}
	if _, _, whole := table.Since(mostRemoved); whole {
		t.Error("what is remembered is told as a listing")
	}
	if table.removed > mostRemoved {
		t.Errorf("%d removals are kept", table.removed)
	}
}

// TestToldTableIsAsItsSource: a table that is told the changes since its own
// revision, at any times, holds what its source holds.
func TestToldTableIsAsItsSource(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		source, told := &Table{}, &Table{}
		source.Replace([]Item{put("a", 1)}, 1)
		at := uint64(1)
		for range rapid.IntRange(0, 30).Draw(rt, "steps") {
			if rapid.Bool().Draw(rt, "change") {
				at++
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(rt, "key")
				source.Change([]Item{{Key: key, Revision: at, Deleted: rapid.Bool().Draw(rt, "deleted")}}, at)
				continue
			}
			tell(source, told)
		}
		tell(source, told)
		if a, b := alive(source), alive(told); a != b {
			rt.Errorf("source holds %s, told %s", a, b)
		}
	})
}

func tell(from, to *Table) {
	list, at, whole := from.Since(to.at)
	if whole {
		to.Replace(list, at)
		return
	}
	to.Change(list, at)
}

func alive(t *Table) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := ""
	for _, key := range []string{"a", "b", "c"} {
		if it, ok := t.list[key]; ok && !it.Deleted {
			out += fmt.Sprint(key, it.Revision, " ")
		}
	}
	return out
}
