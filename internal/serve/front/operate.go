package front

import (
	"context"
	"errors"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/link"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/flow"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/once"
)

// operate carries a request that may not be repeated to its home. What is said
// of the run speaks of the operation, not only of this attempt.
func (f *Front) operate(ctx context.Context, c *app.RequestContext, r flow.Request, a *answer) flow.Report {
	report := flow.Report{Region: f.Board.Region, Crossing: meter.Stayed}
	first := string(c.GetHeader(AttemptField)) == "1"
	key, refusal := f.key(c, r, first)
	if refusal != nil {
		report.Refusal = refusal
		return report
	}
	report.Tries = 1
	if key.Prefix.Host == f.Board.Name {
		out := f.Relay.Operate(ctx, key, r)
		report.Refusal = f.deliver(out, a, first)
		report.Status = out.Head.Status
		return report
	}
	report.Refusal = f.passHome(ctx, r, key, a, first)
	return report
}

// key verifies the operation key; without a valid one nothing is run.
func (f *Front) key(c *app.RequestContext, r flow.Request, first bool) (once.Key, *fault.Refusal) {
	if fresh, err := f.prefix(r.Caller); err == nil {
		c.Header(PrefixField, fresh)
	}
	text := string(c.GetHeader(KeyField))
	if text == "" {
		return once.Key{}, fault.New(fault.KeyMissing, fault.RanNo,
			"%s is needed: take the prefix of %s or /v1/entry and add a dot and your own part", KeyField, PrefixField)
	}
	key, err := f.Signer.Parse(text, r.Caller.Name)
	if err != nil {
		return once.Key{}, fault.New(fault.KeyInvalid, fault.RanNo, "%v", err)
	}
	if key.Expired(f.Now()) {
		return once.Key{}, fault.New(fault.KeyExpired, lostRan(first), "operation key has expired")
	}
	return key, nil
}

// lostRan is what a host that passed nothing on can say of an operation: only
// the caller knows whether it tried before.
func lostRan(first bool) fault.Ran {
	if first {
		return fault.RanNo
	}
	return fault.RanUnknown
}

func (f *Front) deliver(out once.Outcome, a *answer, first bool) *fault.Refusal {
	if out.Refusal != nil {
		if out.Refusal.Code == fault.HomeGone {
			return out.Refusal.WithRan(lostRan(first))
		}
		return out.Refusal
	}
	if err := out.Pass(a.sink()); err != nil {
		return fault.New(fault.Cancelled, fault.RanYes, "caller has left").WithCause(err)
	}
	return nil
}

// passHome sends the operation to the host that numbered it, in one hop.
func (f *Front) passHome(ctx context.Context, r flow.Request, key once.Key, a *answer, first bool) *fault.Refusal {
	inv := f.Board.Revisions.Inventory()
	host, listed := inv.Host(key.Prefix.Host)
	m, known := f.Board.Members.Member(key.Prefix.Host)
	if !listed || (known && m.Life > key.Prefix.Life) {
		return fault.New(fault.HomeGone, lostRan(first), "the process that numbered the operation is gone")
	}
	open := flow.OpenOf(r, wire.Home, f.Now(), inv.Revision)
	open.Key, open.First = key.Text, first
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	end, err := f.Flow.Exchange(ctx, host.Name, host.Peers, open, a.sink(), flow.LinkSilence)
	switch {
	case errors.Is(err, link.ErrNotSent):
		return fault.New(fault.HomeLost, lostRan(first), "host %s cannot be reached", host.Name).
			WithCause(err).WithRetryAfter(time.Second)
	case err != nil:
		return fault.New(fault.HomeLost, fault.RanUnknown, "host %s did not answer", host.Name).
			WithCause(err).WithRetryAfter(time.Second)
	case end.Code == "":
		return nil
	case end.Code == fault.HomeGone:
		return flow.RefusalOf(end).WithRan(lostRan(first))
	}
	return flow.RefusalOf(end)
}
