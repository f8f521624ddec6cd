package origin

import (
	"fmt"
	"testing"
	"time"
)

var epoch = time.Unix(1_000_000, 0)

// TestFirstRecordHolds: a stream keeps the release that began it.
func TestFirstRecordHolds(t *testing.T) {
	table := NewTable()
	table.Begin(epoch, Start{Key: 1, Release: "v1"})
	table.Record(epoch, Start{Key: 1, Release: "v2"})
	if got, ok := table.Find(epoch, 1); !ok || got != "v1" {
		t.Errorf("found release %q, %v, want v1", got, ok)
	}
	if _, ok := table.Find(epoch, 2); ok {
		t.Error("found a stream that nobody recorded")
	}
	if got := table.TakePending(); len(got) != 1 || got[0] != (Start{Key: 1, Release: "v1"}) {
		t.Errorf("pending streams are %v, want the one that began here", got)
	}
	if got := table.TakePending(); len(got) != 0 {
		t.Errorf("pending streams are %v after they were taken", got)
	}
}

// TestStreamsAreKeptLongEnough: a stream is kept for keepTime, and not for ever.
func TestStreamsAreKeptLongEnough(t *testing.T) {
	table := NewTable()
	for i := range 50 {
		now := epoch.Add(time.Duration(i) * time.Second)
		table.Record(now, Start{Key: Key(i), Release: "v1"})
		for j := range i + 1 {
			age := time.Duration(i-j) * time.Second
			_, ok := table.Find(now, Key(j))
			if age < keepTime && !ok {
				t.Errorf("stream is gone after %v", age)
			}
			if age > 2*keepTime && ok {
				t.Errorf("stream is still there after %v", age)
			}
		}
	}
	if _, ok := table.Find(epoch.Add(time.Hour), 49); ok {
		t.Error("stream is still there after an hour without records")
	}
}

// TestFullTableStaysBounded: more streams than fit drop the oldest ones only.
func TestFullTableStaysBounded(t *testing.T) {
	table := NewTable()
	for i := range 3*maxStreams + 1 {
		table.Record(epoch, Start{Key: Key(i), Release: fmt.Sprint("v", i%3)})
	}
	if n := len(table.young) + len(table.old); n > 2*maxStreams {
		t.Errorf("table holds %d streams, want at most %d", n, 2*maxStreams)
	}
	if _, ok := table.Find(epoch, Key(2*maxStreams+1)); !ok {
		t.Error("a recent stream was dropped")
	}
}

// TestAwait: whoever waits for a stream is woken by its record, and leaves nothing behind.
func TestAwait(t *testing.T) {
	table := NewTable()
	recorded, forget := table.Await(1)
	_, forgetOther := table.Await(1)
	forgetOther()
	table.Record(epoch, Start{Key: 1, Release: "v1"})
	select {
	case <-recorded:
	default:
		t.Error("the record did not wake the waiter")
	}
	forget()
	if again, _ := table.Await(1); again == nil {
		t.Error("a known stream has no channel")
	}
	if len(table.waiting) != 0 {
		t.Errorf("%d waiters are left", len(table.waiting))
	}
}
