package node

import (
	"testing"
	"time"
)

// TestStopClosesWithARequestJustAccepted guards against a host that closes with a request in
// progress, which it accepted after it last looked for some, or as its grace period is short.
func TestStopClosesWithARequestJustAccepted(t *testing.T) {
	const runs = 400 * time.Millisecond
	for _, grace := range []time.Duration{8 * time.Second, 3 * time.Second, time.Second} {
		t.Run(grace.String(), func(t *testing.T) {
			for at := time.Duration(0); at < grace; at += drainPollPeriod {
				began := time.Unix(1_000_000, 0)
				now := began
				refusing := false
				var accepted time.Time
				open := func() bool { return !accepted.IsZero() && now.Sub(accepted) < runs }
				d := newDrain(began, grace, func() { refusing = true }, func() int {
					if open() {
						return 1
					}
					// The request arrives right after this look.
					if !refusing && accepted.IsZero() && now.Sub(began) >= at {
						accepted = now
					}
					return 0
				})
				for ; !d.done(now); now = now.Add(drainPollPeriod) {
					if now.Sub(began) > grace {
						t.Fatal("the drain outlasts the grace period")
					}
				}
				if open() || !refusing {
					t.Fatalf("a request arrives after %v: closes with one in progress: %t, refusing: %t", at, open(), refusing)
				}
			}
		})
	}
}
