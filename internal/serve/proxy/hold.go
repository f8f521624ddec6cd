package proxy

import (
	"context"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
)

// holdInterval is the time between the attempts to continue a stream that no endpoint takes
// at once.
const holdInterval = 100 * time.Millisecond

// resumes reports whether the answer has begun and may go on at another endpoint.
func (t *task) resumes() bool {
	return t.report.Started && t.Route.Kind == rules.Stream && t.Route.Resumable
}

// mayHold reports whether the request waits for an endpoint to continue its stream when
// none does at once. A request whose answer has not begun is refused instead, as its caller
// can come back; the rest of a stream would be lost. A relay leaves the wait to the host
// that the caller is connected to, which may use all regions.
func (p *Proxy) mayHold(t *task) bool {
	return t.mayCross && t.resumes() && t.release != nil
}

// hold blocks for holdInterval or until the context ends. After that, all endpoints and
// regions may be tried again, also those that were given up as silent.
func (p *Proxy) hold(ctx context.Context, t *task, why string) {
	if now := p.Now(); t.heldSince.IsZero() {
		t.heldSince = now
		p.Log.Info().Str("request", t.ID).Str("service", t.Service).Int("after", t.lastEventID).Int("tries", t.report.Attempts).
			Dur("left", t.Deadline.Sub(now)).Str("why", why).Msg("begun stream waits for an endpoint")
	}
	select {
	case <-time.After(holdInterval):
	case <-ctx.Done():
	}
	clear(t.tried)
}
