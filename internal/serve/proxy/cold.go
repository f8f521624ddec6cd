package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/board/endpt"
	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/route/split"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/pool"
)

const (
	// unconfirmed is the reason for which an endpoint may be cold at a host whose view of the store is
	// older than that of other hosts, restarted that for which one may be whose process may be new.
	unconfirmed regis.ColdReason = "unconfirmed"
	restarted   regis.ColdReason = "restarted"
	// contactTime is how long after an endpoint sent something this host relies on its process: an endpoint
	// takes longer to end and listen again.
	contactTime = 500 * time.Millisecond
)

// errMayBeCold is the error of a request that was placed at an endpoint before it was known that the
// endpoint may be cold, and for which its rate limit has no room.
var errMayBeCold = errors.New("endpoint may be cold")

// coldState is why an endpoint may be cold, and how many requests this host may send to it.
type coldState struct {
	reason regis.ColdReason
	// most is the number of requests within the window of the rate limit, since the last answer that
	// the endpoint is warm unless it is known to be cold.
	most int
}

// isCold reports whether the endpoint has said that it is cold, or counts as cold until it registers.
func (c coldState) isCold() bool { return c.reason != unconfirmed && c.reason != restarted }

// coldState returns the state of an endpoint of a service with a cold-endpoint rate limit. suspected reports
// whether a request may reach a new process, given why a restart is suspected and when the first sign of it was
// seen. A host that may be cut off sends an endpoint no more than its share after each answer that the
// endpoint is warm, and nothing to one that is or may be new if other hosts may not count this host any more.
func (p *Proxy) coldState(now time.Time, s *rules.Service, e regis.Endpoint, suspected func(why endpt.Suspicion, first time.Time) bool) coldState {
	view := p.Split(now)
	share := func() int {
		if view.SharesLapse() {
			return 0
		}
		return p.ColdShare(s, e.ID)
	}
	if reason := e.ColdReason(now); reason != regis.NotCold {
		return coldState{reason: reason, most: share()}
	}
	why, first := p.Board.Endpoints.RestartSuspected(now, e.ID, view.Age)
	switch {
	case why != endpt.NotSuspected && suspected(why, first):
		return coldState{reason: restarted, most: share()}
	case view.Side() != split.Whole:
		return coldState{reason: unconfirmed, most: p.ColdShare(s, e.ID)}
	}
	return coldState{reason: regis.NotCold}
}

// admitByRate counts a request to an endpoint of a service with a cold-endpoint rate limit, and
// returns false if this host's share of the limit is used up.
func (p *Proxy) admitByRate(now time.Time, s *rules.Service, d *decision) bool {
	e := d.endpoint
	state := p.coldState(now, s, e, func(why endpt.Suspicion, first time.Time) bool {
		// Without contact, a health check on the way to the endpoint decides.
		return why == endpt.Ended && !p.Client.Pool.HasOpenedBefore(e.Address, first)
	})
	switch state.reason {
	case regis.NotCold:
		p.Board.Endpoints.RecordWarm(now, e.ID)
		return true
	case unconfirmed, restarted:
		d.limited = p.Board.Endpoints.AdmitUnconfirmed(now, e.ID, state.most)
	default:
		d.limited = p.Board.Endpoints.AdmitCold(now, e.ID, state.most)
	}
	if d.limited {
		p.Meter.CountColdRequest(e.ID, string(state.reason))
	}
	return d.limited
}

// admitConnection decides anew on a request that was placed at an endpoint which was warm, now that its
// connection is open: only an earlier connection is certain to lead to the registered process, and
// the endpoint may have become cold meanwhile. Beyond the share of an endpoint that may have started
// again, a health check decides. It returns errMayBeCold if the request is not to be sent.
func (p *Proxy) admitConnection(ctx context.Context, t *task, d decision, c pool.Contact) error {
	s, now, e := p.service(t.Service), p.Now(), d.endpoint
	switch {
	case c.OthersEnded:
		p.suspectRestart(e, endpt.Ended, c.Wanted)
	case s.ColdRate > 0 && s.HealthPath != "" && !c.Reused && !p.Board.Paths.ReceivedWithin(now, e.ID, contactTime):
		p.suspectRestart(e, endpt.NoContact, c.Wanted)
	}
	if s.ColdRate == 0 || d.limited {
		return nil
	}
	suspected := func(_ endpt.Suspicion, first time.Time) bool { return !c.Opened.Before(first) }
	for checked := false; ; checked = true {
		if current, ok := p.Board.Registry.Get(e.ID); ok {
			e = current
		}
		state := p.coldState(now, s, e, suspected)
		if state.reason == regis.NotCold {
			return nil
		}
		if p.Board.Endpoints.Admitted(now, e.ID, state.most, state.isCold()) {
			p.Meter.CountColdRequest(e.ID, string(state.reason))
			return nil
		}
		if checked || state.reason != restarted || s.HealthPath == "" {
			p.Board.Endpoints.Withdraw(e.ID)
			return errMayBeCold
		}
		p.CheckWarm(ctx, e)
		now = p.Now()
	}
}

// RecordEnd records what the result of an attempt or a health check suggests of the end of an endpoint.
func (p *Proxy) RecordEnd(e regis.Endpoint, out pool.Result) {
	if out.Unreachable || out.Reason == retry.Broken && !out.CallerLeft {
		p.suspectRestart(e, endpt.Ended, p.Now())
	}
}

// suspectRestart records that an endpoint may have started again.
func (p *Proxy) suspectRestart(e regis.Endpoint, why endpt.Suspicion, seen time.Time) {
	if p.Board.Endpoints.SuspectRestart(e.ID, why, seen) {
		level := zerolog.InfoLevel
		if why == endpt.NoContact {
			// Each endpoint that a host has not used for a while gets one.
			level = zerolog.DebugLevel
		}
		p.Log.WithLevel(level).Str("endpoint", e.ID).Str("service", e.Service).Int64("born", e.Incarnation).Str("why", string(why)).
			Msg("endpoint may have started again")
	}
}
