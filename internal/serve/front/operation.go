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
	"github.com/hyssopspindle/hyssopspindle/internal/serve/dedup"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/flow"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/head"
)

// runOperation runs an operation, which must not run twice, through its home host. The
// ran value of a refusal covers all attempts of the operation, not only this one.
func (f *Front) runOperation(ctx context.Context, c *app.RequestContext, r flow.Request, a *answerWriter) flow.Report {
	report := flow.Report{Region: f.Board.Region, Crossing: meter.CrossingNone}
	firstAttempt := string(c.GetHeader(AttemptField)) == "1"
	key, refusal := f.verifyKey(c, r, firstAttempt)
	if refusal != nil {
		report.Refusal = refusal
		return report
	}
	report.Attempts = 1
	if key.Prefix.Host == f.Board.Name {
		out := f.Relay.RunOperation(ctx, key, r)
		report.Refusal = f.sendOutcome(out, a, firstAttempt)
		report.Status = out.Head.Status()
		return report
	}
	report.Refusal = f.forwardHome(ctx, r, key, a, firstAttempt)
	return report
}

// verifyKey returns the operation key of a request, or a refusal if it is missing,
// invalid or expired. It also adds a prefix for the caller's next key to the answer.
func (f *Front) verifyKey(c *app.RequestContext, r flow.Request, firstAttempt bool) (dedup.Key, *fault.Refusal) {
	if prefix, err := f.signPrefix(r.Caller); err == nil {
		c.Header(OperationPrefixField, prefix)
	}
	text := string(c.GetHeader(KeyField))
	if text == "" {
		return dedup.Key{}, fault.New(fault.KeyMissing, fault.RanNo,
			"%s header is missing: send the prefix from the %s header or from /v1/entry, a dot, and a unique part", KeyField, OperationPrefixField)
	}
	key, err := f.Signer.Parse(text, r.Caller.Name)
	if err != nil {
		return dedup.Key{}, fault.New(fault.KeyInvalid, fault.RanNo, "%v", err)
	}
	if key.Expired(f.Now()) {
		return dedup.Key{}, fault.New(fault.KeyExpired, ranEarlier(firstAttempt), "operation key has expired")
	}
	return key, nil
}

// ranEarlier returns the ran value of an operation whose current attempt this host did
// not forward. Only the caller knows whether there were earlier attempts.
func ranEarlier(firstAttempt bool) fault.Ran {
	if firstAttempt {
		return fault.RanNo
	}
	return fault.RanUnknown
}

// sendOutcome sends the answer of an operation to the caller, or returns its refusal.
func (f *Front) sendOutcome(out dedup.Outcome, a *answerWriter, firstAttempt bool) *fault.Refusal {
	if out.Refusal != nil {
		if out.Refusal.Code == fault.HomeGone {
			return out.Refusal.WithRan(ranEarlier(firstAttempt))
		}
		return out.Refusal
	}
	if err := out.Send(a.sink()); err != nil {
		return fault.New(fault.Cancelled, fault.RanYes, "caller disconnected").WithCause(err)
	}
	return nil
}

// forwardHome sends an operation directly to its home host and forwards the answer.
func (f *Front) forwardHome(ctx context.Context, r flow.Request, key dedup.Key, a *answerWriter, firstAttempt bool) *fault.Refusal {
	inv := f.Board.Revisions.Inventory()
	host, listed := inv.Host(key.Prefix.Host)
	member, known := f.Board.Members.Member(key.Prefix.Host)
	if !listed || (known && member.Incarnation > key.Prefix.Life) {
		return fault.New(fault.HomeGone, ranEarlier(firstAttempt), "the home process of the operation key has ended")
	}
	req := flow.NewWireRequest(r, wire.Home, f.Now(), inv.Revision)
	req.Key, req.FirstAttempt = key.Text, firstAttempt
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	end, err := f.Flow.Exchange(ctx, host.Name, host.Peers, req, a.sink(), flow.FrameTimeout)
	switch {
	case errors.Is(err, link.ErrNotSent):
		return fault.New(fault.HomeLost, ranEarlier(firstAttempt), "home host %s is unreachable", host.Name).
			WithCause(err).WithRetryAfter(time.Second)
	case errors.Is(err, head.ErrBroken):
		return fault.New(fault.EndpointError, fault.RanUnknown, "endpoint failed").WithCause(err)
	case err != nil:
		return fault.New(fault.HomeLost, fault.RanUnknown, "home host %s did not answer", host.Name).
			WithCause(err).WithRetryAfter(time.Second)
	case end.Code == "":
		return nil
	case end.Code == fault.HomeGone:
		return flow.RefusalFromEnd(end).WithRan(ranEarlier(firstAttempt))
	}
	return flow.RefusalFromEnd(end)
}
