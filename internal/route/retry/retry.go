// Package retry decides whether an attempt that failed is made again.
package retry

import (
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
)

// Reason says why an attempt failed.
type Reason string

// The complete list of retry reasons.
const (
	Dial    Reason = "dial"
	Refused Reason = "refused"
	Silent  Reason = "silent"
	Broken  Reason = "broken"
	Status  Reason = "status"
	Relay   Reason = "relay"
	Resume  Reason = "resume"
)

// Reasons returns every retry reason.
func Reasons() []Reason {
	return []Reason{Dial, Refused, Silent, Broken, Status, Relay, Resume}
}

// Failure is an attempt that did not give a whole answer.
type Failure struct {
	Reason Reason
	// Ran speaks of this attempt alone.
	Ran fault.Ran
	// Begun says that a part of the answer was passed to the caller.
	Begun bool
	// Tries counts the attempts made, this one included.
	Tries int
}

// MaxTries bounds the attempts for one request.
const MaxTries = 3

// Verdict is the decision on a failure.
type Verdict struct {
	Again bool
	// Why says why not; empty where Again is true.
	Why string
}

// Decide is the pure part of the decision: repeatable says that the request
// may run twice.
func Decide(now, deadline time.Time, repeatable bool, f Failure) Verdict {
	switch {
	case f.Begun:
		return Verdict{Why: "answer begun"}
	case !now.Before(deadline):
		return Verdict{Why: "deadline passed"}
	case f.Tries >= MaxTries:
		return Verdict{Why: "tries used up"}
	case f.Ran != fault.RanNo && !repeatable:
		return Verdict{Why: "may have run and may not be repeated"}
	}
	return Verdict{Again: true}
}

const (
	// earn is the share of requests that may be repeated.
	earn = 0.1
	// burst is the number of retries that a quiet service may use at once.
	burst = 10
)

// Budget bounds the retries of each service to a share of its requests.
type Budget struct {
	mu   sync.Mutex
	left map[string]float64
}

// NewBudget returns a budget in which each service starts with a full burst.
func NewBudget() *Budget { return &Budget{left: map[string]float64{}} }

// Earn counts one request of a service.
func (b *Budget) Earn(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.left[service] = min(burst, b.value(service)+earn)
}

// Spend takes one retry and reports whether the budget had it.
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

func (b *Budget) value(service string) float64 {
	if v, ok := b.left[service]; ok {
		return v
	}
	return burst
}
