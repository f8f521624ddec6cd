package proxy

import (
	"context"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
)

const (
	// The time between the attempts to continue a stream that no endpoint takes at once doubles
	// from minHold to maxHold: many streams wait for the same endpoints.
	minHold = 100 * time.Millisecond
	maxHold = time.Second
	// heldBudgetShare is the share of the retry budget that held streams may use; the rest is
	// left to the retries of other requests.
	heldBudgetShare = 0.8
)

// resumes reports whether the answer is a begun stream that may be resumed at another endpoint.
func (t *task) resumes() bool {
	return t.report.Started && t.received.Resumable() && t.Route.Kind == rules.Stream && t.Route.Resumable
}

// mayHold reports whether the request waits for an endpoint to continue its stream when
// none does at once. A request whose answer has not begun is refused instead, as its caller
// can come back; the rest of a stream would be lost. A relay leaves the wait to the host
// that the caller is connected to, which may use all regions.
func (p *Proxy) mayHold(t *task) bool {
	return t.mayCross && t.resumes() && t.release != nil
}

// mustHold waits before the next attempt if endpoints refused the request too often or the
// retry budget has no room for it, and reports whether the request is to be decided on anew.
func (p *Proxy) mustHold(ctx context.Context, t *task) bool {
	if t.paced {
		t.paced = false
		p.hold(ctx, t, "refused too often")
		return true
	}
	if t.unpaid && !p.Budget.SpendWithin(p.Now(), t.Service, heldBudgetShare) {
		p.hold(ctx, t, "retry budget used up")
		return true
	}
	t.unpaid = false
	return false
}

// hold blocks for holdTime or until the context ends. After that, all endpoints and regions
// may be tried again, also those that were given up as silent.
func (p *Proxy) hold(ctx context.Context, t *task, why string) {
	if t.holds == 0 {
		p.Log.Info().Str("request", t.ID).Str("service", t.Service).Int("after", t.lastEventID).Int("tries", t.report.Attempts).
			Dur("left", t.Deadline.Sub(p.Now())).Str("why", why).Msg("begun stream waits for an endpoint")
	}
	wait := holdTime(t.holds, t.refusalDelay(), p.jitter())
	t.holds++
	select {
	case <-time.After(wait):
	case <-ctx.Done():
	}
	clear(t.tried)
}

// holdTime returns how long a stream waits that has waited holds times, and whose last
// refusal names a delay. jitter, in [0, 1), spreads streams that wait for the same endpoints.
func holdTime(holds int, delay time.Duration, jitter float64) time.Duration {
	d := min(maxHold, max(minHold<<min(holds, 10), delay))
	return time.Duration((0.75 + jitter/2) * float64(d))
}

// refusalDelay returns the retry delay of the last refusal, 0 if there is none.
func (t *task) refusalDelay() time.Duration {
	if t.lastRefusal == nil {
		return 0
	}
	return t.lastRefusal.RetryAfter
}

// jitter returns a random number in [0, 1).
func (p *Proxy) jitter() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.rand.Float64()
}
