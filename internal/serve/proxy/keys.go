package proxy

import (
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
)

// ConfirmRetryAfter is the retry delay given to callers while the rules are not confirmed. The host
// asks the store or another host for a confirmation every 250 ms then.
const ConfirmRetryAfter = 300 * time.Millisecond

// NotConfirmed returns the refusal of a customer's request while it is not known whether the rules
// are the newest.
func NotConfirmed() *fault.Refusal {
	return fault.New(fault.NotReady, fault.RanNo, "host has not confirmed lately that its rules are the newest").WithRetryAfter(ConfirmRetryAfter)
}

// keyRefusal returns a refusal if the key that a request came with may have been taken away since.
// A request that may have run is served on: it was accepted in time.
func (p *Proxy) keyRefusal(t *task) *fault.Refusal {
	if t.Customer == nil || t.ran != fault.RanNo || t.report.Started {
		return nil
	}
	inForce := p.Board.Routes.Rules()
	switch {
	case !inForce.HasCustomers():
		return nil
	case !p.KeysValid(inForce.Version):
		return NotConfirmed()
	case inForce.Version != t.Version && !inForce.HasKey(t.Key):
		return fault.New(fault.BadKey, fault.RanNo, "%s was taken away while the request waited", p.Terms.Key)
	}
	return nil
}
