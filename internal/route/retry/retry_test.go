package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/base/seeds"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
)

func init() { seeds.Fix() }

var now = time.Unix(1_000_000, 0)

func TestDecide(t *testing.T) {
	tests := []struct {
		name       string
		repeatable bool
		deadline   time.Time
		f          Failure
		want       bool
	}{
		{"did not run", false, now.Add(1), Failure{Ran: fault.RanNo, Attempts: 1}, true},
		{"repeatable and may have run", true, now.Add(1), Failure{Ran: fault.RanUnknown, Attempts: 1}, true},
		{"not repeatable and may have run", false, now.Add(1), Failure{Ran: fault.RanUnknown, Attempts: 1}, false},
		{"not repeatable and ran", false, now.Add(1), Failure{Ran: fault.RanYes, Attempts: 1}, false},
		{"answer already started", true, now.Add(1), Failure{Ran: fault.RanNo, Started: true, Attempts: 1}, false},
		{"deadline passed", true, now, Failure{Ran: fault.RanNo, Attempts: 1}, false},
		{"no attempts left", true, now.Add(1), Failure{Ran: fault.RanNo, Attempts: MaxAttempts}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if got := Decide(now, tt.deadline, tt.repeatable, tt.f); got.Retry != tt.want || (got.DenyReason == "") != tt.want {
				t.Errorf("Decide = %+v, want Retry %v, and a reason if false", got, tt.want)
			}
		})
	}
}

// TestNonRepeatableRunsOnce checks for any failure that a request which may not run twice
// is retried only if it did not run.
func TestNonRepeatableRunsOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		f := Failure{
			Reason:  rapid.SampledFrom(Reasons()).Draw(rt, "reason"),
			Ran:     rapid.SampledFrom([]fault.Ran{fault.RanNo, fault.RanYes, fault.RanUnknown}).Draw(rt, "ran"),
			Started: rapid.Bool().Draw(rt, "started"), Attempts: rapid.IntRange(1, 5).Draw(rt, "attempts"),
		}
		deadline := now.Add(time.Duration(rapid.Int64Range(-10, 10).Draw(rt, "left")))
		if Decide(now, deadline, false, f).Retry && (f.Ran != fault.RanNo || f.Started || !now.Before(deadline)) {
			rt.Fatalf("%+v is retried", f)
		}
	})
}

// TestBudget checks that over any run of requests the retries are no more than a tenth
// of them and a burst.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		b := NewBudget()
		requests, spent := 0, 0
		for range rapid.IntRange(0, 300).Draw(rt, "steps") {
			if rapid.Bool().Draw(rt, "request") {
				b.AddRequest("s")
				requests++
			}
			if b.Spend("s") {
				spent++
			}
		}
		if limit := float64(requests)*retriesPerRequest + burst; float64(spent) > limit {
			rt.Fatalf("%d retries for %d requests exceed the budget", spent, requests)
		}
	})
}
