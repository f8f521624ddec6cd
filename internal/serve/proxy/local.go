package proxy

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/endpt"
	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/eras"
	"github.com/hyssopspindle/hyssopspindle/internal/route/pick"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/pool"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
)

const (
	// returnMargin is subtracted from the time that an endpoint gets, for the transfer
	// of its answer.
	returnMargin = 10 * time.Millisecond
	// silentGaps is the multiple of the route's target gap between events after which a
	// stream counts as silent, at least one and minSilence: sound endpoints are silent for a
	// second or so at times and then continue.
	silentGaps = 3
	minSilence = 1750 * time.Millisecond
	// suspectAfter is the time without an answer after which the path to the endpoint is
	// checked, unless the endpoint sends something to other attempts.
	suspectAfter = 300 * time.Millisecond
)

// attemptLocal makes an attempt at a local endpoint, at which choose has counted it.
func (p *Proxy) attemptLocal(ctx context.Context, t *task, d decision, sink client.Sink) result {
	e := d.endpoint
	t.report.Endpoint, t.report.Region = e.ID, p.Board.Region
	start := p.Now()
	limited := p.Board.Endpoints.Limited(start, e.ID)
	if limited {
		p.Meter.LimitedAttempts.Inc()
	}
	prefill := time.Duration(0)
	if t.Route.Prompts {
		prefill = d.prefill
	}
	head := func(h wire.Head) error {
		return sink.Head(h.WithEndpoint(e.ID).WithRelease(e.Release))
	}
	writes := 0
	prefillSink := client.Sink{Head: head, Data: func(data []byte) error {
		p.Board.Paths.RecordReceived(p.Now(), e.ID)
		if writes++; writes == beginWrites+1 {
			p.Board.Poison.RecordServed(p.Now(), t.suspects.parts)
		}
		if prefill > 0 {
			p.endPrefill(t, e, prefill)
			prefill = 0
			p.wakeNext(t.Service)
		}
		return sink.Data(data)
	}}
	attempt := p.endpointAttempt(t, d)
	attempt.OnOpened = func() { p.recordOpened(e) }
	var opened, sent time.Time
	attempt.Verify = func(ctx context.Context, c pool.Contact) error {
		opened, sent = c.Opened, p.Now()
		return p.verify(ctx, t, d, c)
	}
	suspicion := time.AfterFunc(suspectAfter, func() { p.Board.Paths.Suspect(p.Now(), e.ID) })
	attempt.OnNotice = func(n pool.Notice) {
		suspicion.Stop()
		p.Board.Paths.RecordReceived(p.Now(), e.ID)
		p.Board.Endpoints.ConfirmProcess(e.ID, opened, sent)
		p.recordNotice(t, e, n, start)
	}
	attempt.Abandon = func() bool {
		p.Board.Paths.Suspect(p.Now(), e.ID)
		return p.mayAbandon(t, e, start)
	}
	out := p.Client.Do(ctx, attempt, prefillSink)
	suspicion.Stop()
	if prefill > 0 {
		p.endPrefill(t, e, prefill)
		p.wakeNext(t.Service)
	}
	if out.Reason != retry.Dial {
		t.report.Sent++
	}
	p.recordResult(t, d, out, start)
	p.recordFindings(t, e, out, start, writes)
	if !t.Route.Prompts || p.Board.Frail.Share(p.Now(), t.Service) < 1 {
		p.wakeNext(t.Service)
	}
	p.Log.Debug().Str("request", t.ID).Str("endpoint", e.ID).Str("service", t.Service).Uint64("version", t.Version).
		Uint64("registered", eras.Revision(e.Revision)).Str("release", e.Release).Dur("expected", d.expectedLatency).Dur("first", out.TimeToFirstByte).Int("status", out.Status).
		Bool("reused", out.Reused).Int("running", out.Load.Running).Int("waiting", out.Load.Waiting).Float64("pace", out.Load.Pace).
		Bool("limited", limited).Str("outcome", outcome(out)).Msg("attempt")
	if out.ErrorAnswer != nil {
		out.ErrorAnswer.Head = out.ErrorAnswer.Head.WithEndpoint(e.ID)
	}
	return endpointResult(out)
}

// endPrefill takes the prefill time of a prompt off its endpoint, unless that has started again and
// has none of it.
func (p *Proxy) endPrefill(t *task, e regis.Endpoint, prefill time.Duration) {
	if p.Board.Registry.Current(e) {
		p.Board.Endpoints.AddQueuedPrefill(e.ID, t.Route.Priority, -prefill)
	}
}

// recordFindings records whether the endpoint could be reached, and whether the request and the
// parts of its prompt may be the cause of its end. writes counts the writes of events.
func (p *Proxy) recordFindings(t *task, e regis.Endpoint, out pool.Result, start time.Time, writes int) {
	p.RecordEnd(e, out)
	if out.Unreachable && p.Board.Registry.Current(e) {
		p.recordUnreachable(e, out.Err)
	}
	if writes <= beginWrites && passedBegin(out) {
		p.Board.Poison.RecordServed(p.Now(), t.suspects.parts)
	}
	if answered(out) {
		p.Board.Poison.RecordServedRequest(p.Now(), t.suspects.requests())
	}
	if broke(out) {
		p.recordBroken(t, e, out, start)
	}
}

func outcome(out pool.Result) string {
	if out.Whole {
		return "whole"
	}
	return string(out.Reason)
}

// endpointAttempt returns the attempt at the chosen endpoint.
func (p *Proxy) endpointAttempt(t *task, d decision) pool.Attempt {
	attempt := pool.Attempt{
		Address: d.endpoint.Address, Service: t.Service, Method: t.Method, Target: t.Target, Host: t.Host,
		Fields: p.endpointFields(t, d), Body: t.Body, ID: t.ID, Deadline: t.Deadline,
		LastEventID: t.lastEventID, MaxAnswerBytes: MaxAnswer,
	}
	// Timing out before the deadline helps only if a retry is possible.
	retryable := t.runs+1 < t.AttemptsLeft && t.Route.Retryable() && p.Budget.Available(p.Now(), t.Service)
	if retryable && t.Route.Target > 0 {
		// By then the latency target is missed, and an endpoint that is only busy would
		// have answered.
		attempt.HeadTimeout = t.Route.Target + d.expectedLatency
	}
	attempt.IdleTimeout = idleTimeout(t.Route)
	attempt.RetryServerErrors, attempt.Accept = retryable, t.accept
	if t.report.Started && attempt.HeadTimeout > 0 {
		// The target of the first token is met or missed already.
		attempt.HeadTimeout = max(attempt.HeadTimeout, minSilence)
	}
	return attempt
}

// verify returns an error if a request may not be sent on a connection, which is open, as the endpoint may
// be another one, or in another state, than when the request was placed.
func (p *Proxy) verify(ctx context.Context, t *task, d decision, c pool.Contact) error {
	if err := p.admitConnection(ctx, t, d, c); err != nil {
		return err
	}
	if t.release == nil || t.lastEventID == stream.NoID {
		return nil
	}
	return p.verifyRelease(ctx, d.endpoint, c)
}

// idleTimeout returns how long a stream of a route may be silent between two events, 0 if it may
// be until its deadline.
func idleTimeout(r *rules.Route) time.Duration {
	if r.Kind != rules.Stream || !r.Resumable || r.Gap <= 0 {
		return 0
	}
	return max(silentGaps*r.Gap, r.Gap+minSilence)
}

// mayAbandon reports whether a silent attempt at an endpoint is given up: another endpoint
// would serve the request at once. A host that shuts down keeps it, as it has no time to
// wait should the other endpoint refuse. A begun stream stays at an endpoint that would not
// take it back: one that drains, is in an evacuated data centre or wants no requests.
func (p *Proxy) mayAbandon(t *task, e regis.Endpoint, start time.Time) bool {
	if p.Board.Health.Leaving() || !t.repeatable() || (t.report.Started && !p.takesBack(t, e.ID)) {
		return false
	}
	return p.hasAlternative(t, start)
}

// takesBack reports whether an endpoint that is registered would get the request again. An
// endpoint that is not registered any more has most likely ended with the attempt.
func (p *Proxy) takesBack(t *task, id string) bool {
	e, ok := p.Board.Registry.Get(id)
	if !ok {
		return true
	}
	state := p.Board.Endpoints.Get(id)
	return p.mayServe(t, e) && state.PauseDelay(p.Now()) == 0
}

// hasAlternative reports whether a request whose attempt has been silent since start would
// be served elsewhere at once. If not, the attempt goes on: an engine is silent while it
// prefills prompts that are more urgent.
func (p *Proxy) hasAlternative(t *task, start time.Time) bool {
	now := p.Now()
	if t.runs+1 >= t.AttemptsLeft || !p.Budget.Available(now, t.Service) {
		return false
	}
	retried := *t
	retried.failedTime += now.Sub(start)
	p.mu.Lock()
	defer p.mu.Unlock()
	req := p.placementRequest(&retried)
	if t.Route.Allows(p.Board.Region) {
		reachable, _ := p.localEndpoints(&retried, false)
		found := p.candidates(now, &retried, req, p.service(t.Service), reachable)
		if c := pick.ChooseEndpoint(req, found.list, p.rand); c.Index >= 0 && !c.AllFailing {
			if d := p.admit(now, &retried, c, found.list[c.Index], t.Route.Target); d.refusal == nil && !d.wait {
				return true
			}
		}
	}
	if !t.mayCross {
		return false
	}
	if p.Board.CutHosts.SelfCut() && p.hasRelay(now, p.Board.Region) {
		return true
	}
	return slices.ContainsFunc(p.remoteRegions(now, &retried), func(r pick.Region) bool {
		return !r.Failing && r.Utilisation() < maxSpillUtilisation
	})
}

// endpointFields returns the header fields for the endpoint: the caller's and those
// that the platform defines.
func (p *Proxy) endpointFields(t *task, d decision) []wire.Field {
	left := t.Deadline.Sub(p.Now()) - returnMargin
	fields := make([]wire.Field, 0, len(t.Fields)+4)
	fields = append(fields, t.Fields...)
	fields = append(fields,
		wire.Field{Name: p.Terms.Deadline, Value: strconv.FormatInt(max(1, left.Milliseconds()), 10)},
		wire.Field{Name: p.Terms.ExpectedEndpoint, Value: d.endpoint.ID})
	if t.Route.Prompts {
		fields = append(fields, wire.Field{Name: p.Terms.Priority, Value: strconv.Itoa(min(9, t.Route.Priority))})
	}
	if t.lastEventID >= 0 {
		fields = append(fields, wire.Field{Name: p.Terms.LastEvent, Value: strconv.Itoa(t.lastEventID)})
	}
	return fields
}

// recordNotice updates the state of an endpoint with the head of an answer to a request
// that was sent at a time.
func (p *Proxy) recordNotice(t *task, e regis.Endpoint, n pool.Notice, sent time.Time) {
	now := p.Now()
	if !p.Board.Registry.Current(e) {
		// The answer is that of an earlier process under the same id.
		return
	}
	if n.Leaving && p.Board.Registry.MarkLeaving(now, regis.Leaving{ID: e.ID, Incarnation: e.Incarnation}, true) {
		p.Log.Info().Str("request", t.ID).Str("endpoint", e.ID).Str("service", t.Service).Int64("born", e.Incarnation).Msg("endpoint announces that it leaves")
		p.tellPeers()
	}
	if n.Malformed != "" {
		p.Log.Warn().Str("request", t.ID).Str("endpoint", e.ID).Str("field", n.Malformed).Msg("ignoring a field of an answer that can't be parsed")
	}
	if n.Pause > 0 && p.Board.Endpoints.SetPause(now, e.ID, n.Pause) {
		p.Log.Info().Str("request", t.ID).Str("endpoint", e.ID).Str("service", t.Service).Dur("pause", n.Pause).Msg("endpoint wants no requests for a time")
	}
	if !n.Failed {
		p.Board.Endpoints.EndPause(e.ID, sent)
	}
	p.recordBrittle(t, e, n, sent)
	if n.RateLimit == nil && (n.Failed || n.Malformed != "") {
		// An answer of an endpoint that could not serve need not name its limit.
		return
	}
	if !p.Board.Endpoints.SetRateLimit(now, e.ID, n.RateLimit, sent) {
		return
	}
	ev := p.Log.Info().Str("request", t.ID).Str("endpoint", e.ID).Str("service", t.Service).Bool("limited", n.RateLimit != nil)
	if n.RateLimit != nil {
		ev = ev.Float64("limit", *n.RateLimit)
	}
	ev.Msg("rate limit of endpoint changed")
	p.tellPeers()
	p.Meter.LimitedEndpoints.Set(float64(p.Board.Endpoints.CountLimited(now)))
}

// recordBrittle records whether an answer announces that the service's endpoints are brittle.
func (p *Proxy) recordBrittle(t *task, e regis.Endpoint, n pool.Notice, sent time.Time) {
	if n.Brittle == nil && (n.Failed || n.Malformed != "") {
		// An answer of an endpoint that could not serve need not announce it.
		return
	}
	if p.Board.Frail.Record(p.Now(), e.Service, n.Brittle, sent) {
		p.Log.Info().Str("request", t.ID).Str("endpoint", e.ID).Str("service", t.Service).Bool("brittle", n.Brittle != nil).
			Msg("endpoints of a service are brittle or no longer so")
		p.tellPeers()
	}
}

// recordResult updates the state of the endpoint and the learned speeds with the
// outcome of an attempt.
func (p *Proxy) recordResult(t *task, d decision, out pool.Result, start time.Time) {
	now := p.Now()
	e := d.endpoint
	refused := out.Reason == retry.Refused && !out.Whole
	res := endpt.Result{
		Start: e.Start, Whole: out.Whole, Full: refused && !out.Misdirected,
		Failed: !out.Whole && !out.CallerLeft && !refused && !out.Withheld, ServerError: out.Status >= http.StatusInternalServerError,
	}
	if t.Route.Prompts && out.Started {
		res.TimeToFirstToken, res.ExpectedTimeToFirstToken = out.TimeToFirstByte, max(time.Millisecond, time.Duration(float64(d.expectedLatency)/d.slowdown))
	}
	p.addAnswerTime(t, &res, out, now.Sub(start))
	p.Board.Endpoints.FinishRequest(now, e.ID, res)
	if out.Load.Slots > 0 {
		// The endpoint reported its load in the head of the answer.
		at := start
		if out.TimeToFirstByte > 0 {
			at = start.Add(out.TimeToFirstByte)
		}
		p.Board.Endpoints.PutReport(e.ID, endpt.Report{Running: out.Load.Running, Queued: out.Load.Waiting, Pace: out.Load.Pace, At: at, Start: e.Start})
	}
	if out.Misdirected && p.Board.Registry.Current(e) {
		p.Board.Registry.MarkDraining(e.ID)
	}
	if !out.Whole {
		return
	}
	if t.Route.Prompts {
		p.Board.Speeds.ObserveFirstToken(t.Service, d.prefillTokens, out.TimeToFirstByte)
	} else {
		p.Board.Speeds.ObserveAnswer(t.Service, now.Sub(start))
	}
}

// addAnswerTime adds the time that the whole answer of a plain endpoint took, and its usual time at
// the pace that it reported: what is left is the endpoint's own speed.
func (p *Proxy) addAnswerTime(t *task, res *endpt.Result, out pool.Result, took time.Duration) {
	if t.Route.Prompts || t.Route.Kind == rules.Stream || !out.Whole || res.ServerError {
		return
	}
	res.AnswerTime, res.ExpectedAnswerTime = took, p.Board.Speeds.AnswerTime(t.Service)
	if out.Load.Pace > 0 {
		res.ExpectedAnswerTime = time.Duration(out.Load.Pace * float64(res.ExpectedAnswerTime))
	}
}

// endpointResult returns the result of an attempt at an endpoint.
func endpointResult(out pool.Result) result {
	res := result{
		whole: out.Whole, started: out.Started, callerLeft: out.CallerLeft, reason: out.Reason, ran: out.Ran, errorAnswer: out.ErrorAnswer,
		head: localHead{status: out.Status, mediaType: out.MediaType, framing: out.Framing, err: out.Err},
	}
	// Without a connection, the request did not reach the endpoint.
	res.uncharged = out.Reason == retry.Dial
	switch {
	case out.Whole:
	case out.Started:
		res.refusal = newRefusal(fault.Truncated, out.Ran, out.Err, "answer was cut off")
	case out.Reason == retry.Silent:
		res.refusal = newRefusal(fault.EndpointSilent, out.Ran, out.Err, "endpoint did not answer in time")
	case out.Reason == retry.Refused || out.Reason == retry.Dial:
		res.refusal = newRefusal(fault.Busy, out.Ran, out.Err, "endpoint does not accept requests").WithRetryAfter(max(defaultRetryAfter, out.Pause))
	default:
		res.refusal = newRefusal(fault.EndpointError, out.Ran, out.Err, "endpoint failed")
	}
	return res
}
