package eject

import (
	"testing"
	"time"
)

var epoch = time.Unix(1_000_000, 0)

func fail(r Record, now time.Time) Record {
	for range failLimit {
		r = r.WithFailure(now)
	}
	return r
}

func TestEjectionGrowsAndEnds(t *testing.T) {
	var r Record
	now := epoch
	want := minEjection
	for range 8 {
		r = fail(r, now)
		if !r.Ejected(now.Add(want-1)) || r.Ejected(now.Add(want)) {
			t.Fatalf("the ejection does not last exactly %v", want)
		}
		now = now.Add(want)
		want = min(2*want, maxEjection)
	}
	now = now.Add(backoffReset + 1)
	if r = fail(r, now); r.Ejected(now.Add(minEjection)) {
		t.Error("the first ejection after a time without failures is longer than minEjection")
	}
}

func TestSuccessResetsFailures(t *testing.T) {
	r := Record{}.WithFailure(epoch).WithFailure(epoch).WithSuccess().WithFailure(epoch).WithFailure(epoch)
	if r.Ejected(epoch) {
		t.Error("ejected after two failures, a success and two failures; want no ejection")
	}
	if fail(r, epoch).WithSuccess().Ejected(epoch) {
		t.Error("still ejected after a success")
	}
}

func TestMaxEjected(t *testing.T) {
	for n, want := range []int{0, 1, 1, 1, 2, 2, 3, 3} {
		if got := MaxEjected(n); got != want {
			t.Errorf("MaxEjected(%d) = %d, want %d", n, got, want)
		}
	}
}
