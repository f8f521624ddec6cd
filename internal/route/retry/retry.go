// Package retry decides whether a failed attempt is retried.
package retry

import (
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
)

// Reason is why an attempt failed.
type Reason string

// The retry reasons, under the names that metrics use.
const (
	Dial    Reason = "dial"
	Refused Reason = "refused"
	Silent  Reason = "silent"
	Broken  Reason = "broken"
	Status  Reason = "status"
	Relay   Reason = "relay"
	Resume  Reason = "resume"
	// Oversize is the reason of an answer that exceeds a limit.
	Oversize Reason = "oversize"
)

// Reasons returns every retry reason.
func Reasons() []Reason {
	return []Reason{Dial, Refused, Silent, Broken, Status, Relay, Resume, Oversize}
}

// Failure is an attempt without a complete answer.
type Failure struct {
	Reason Reason
	// Ran is whether the endpoint ran this attempt, whatever earlier attempts did.
	Ran fault.Ran
	// Started reports whether a part of the answer was passed to the caller.
	Started bool
	// Attempts is the number of attempts made, including this one.
	Attempts int
}

// MaxAttempts is the largest number of attempts for one request.
const MaxAttempts = 3

// Verdict is the decision on a failed attempt.
type Verdict struct {
	// Retry reports whether the request is retried.
	Retry bool
	// DenyReason is the reason against a retry, empty if Retry is true.
	DenyReason string
}

// Decide decides on a failed attempt without regard to the retry budget. repeatable
// reports whether the request may run twice.
func Decide(now, deadline time.Time, repeatable bool, f Failure) Verdict {
	switch {
	case f.Started:
		return Verdict{DenyReason: "answer begun"}
	case !now.Before(deadline):
		return Verdict{DenyReason: "deadline passed"}
	case f.Attempts >= MaxAttempts:
		return Verdict{DenyReason: "tries used up"}
	case f.Ran != fault.RanNo && !repeatable:
		return Verdict{DenyReason: "may have run and may not be repeated"}
	}
	return Verdict{Retry: true}
}

const (
	// retriesPerRequest is the number of retries that each request adds to the budget.
	retriesPerRequest = 0.1
	// burst is the largest number of retries that a quiet service accumulates.
	burst = 10
)

// Budget is the retry budget of each service: its retries are bounded to a share of its
// requests.
type Budget struct {
	mu sync.Mutex
	// left is the number of retries left, by service.
	left map[string]float64
}

// NewBudget returns a budget in which each service starts with burst retries.
func NewBudget() *Budget { return &Budget{left: map[string]float64{}} }

// AddRequest counts one request of a service.
func (b *Budget) AddRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left[service] = min(burst, b.value(service)+retriesPerRequest)
}

// Spend takes one retry from a service's budget and reports whether it had one.
func (b *Budget) Spend(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	left := b.value(service)
	if left < 1 {
		return false
	}
	b.left[service] = left - 1
	return true
}

// value returns the number of retries that a service has left, burst for a new one.
func (b *Budget) value(service string) float64 {
	if v, ok := b.left[service]; ok {
		return v
	}
	return burst
}
