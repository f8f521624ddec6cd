package proxy

import (
	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
)

// takeUsage charges a caller's request to its customer, or returns the refusal of one beyond the
// limit. Relayed requests have no customer: the host that the caller sent them to has charged them.
func (p *Proxy) takeUsage(t *task) *fault.Refusal {
	if t.Customer == nil || p.Usage == nil || t.Customer.Quota.PerSecond <= 0 {
		return nil
	}
	now := p.Now()
	ok, retryAfter := p.Usage.Take(now, t.Customer.Name, t.Cost)
	p.Meter.CountCustomer(t.Customer.Name, ok)
	if ok {
		t.paid = 1
		return nil
	}
	state, _ := p.Usage.State(now, t.Customer.Name)
	p.Log.Info().Str("request", t.ID).Str("customer", t.Customer.Name).Float64("cost", t.Cost).
		Float64("level", state.Level).Float64("own", state.Own).Float64("others", state.Others).
		Float64("share", state.Share).Int("silent", state.Silent).Dur("oldest", state.OldestAge).
		Dur("retry_after", retryAfter).Msg("customer is over its limit")
	if retryAfter <= 0 {
		return fault.New(fault.RateLimit, fault.RanNo, "request is larger than the customer's limit ever allows")
	}
	return fault.New(fault.RateLimit, fault.RanNo, "customer is over its limit").WithRetryAfter(retryAfter)
}

// chargeAttempt charges a further attempt after one that may have run.
func (p *Proxy) chargeAttempt(t *task) {
	if t.paid > 0 && t.runs+1 > t.paid {
		p.Usage.Charge(p.Now(), t.Customer.Name, t.Cost)
		t.paid++
	}
}

// settleUsage returns what was charged for attempts that certainly did not run, and charges those
// that a relay made on its own. refusal is nil if the whole answer was passed on.
func (p *Proxy) settleUsage(t *task, refusal *fault.Refusal) {
	if t.paid == 0 {
		return
	}
	runs := t.runs
	switch {
	case refusal == nil:
		runs += 1 + t.relayRuns
	case refusal.Ran != fault.RanNo:
		runs = max(1, runs)
	}
	if runs < t.paid {
		p.Usage.Return(p.Now(), t.Customer.Name, float64(t.paid-runs)*t.Cost)
	}
	if runs > t.paid {
		p.Usage.Charge(p.Now(), t.Customer.Name, float64(runs-t.paid)*t.Cost)
	}
}
