package flow

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/endpt"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/route/place"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
)

// retryStatuses lists the statuses after which a retryable request is sent to another
// endpoint.
var retryStatuses = []int{
	http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
}

// attemptLocal makes an attempt at a local endpoint, at which choose has counted it.
func (f *Flow) attemptLocal(ctx context.Context, t *task, d decision, sink client.Sink) result {
	e := d.endpoint
	t.tried[e.Name] = true
	t.report.Endpoint, t.report.Region = e.Name, f.board.Region
	a := client.Attempt{
		Address: e.Address, Method: t.Method, Path: t.Path, Body: t.Body,
		Fields: t.endpointFields(), Deadline: t.Deadline, IdleTimeout: t.Service.IdleTimeout(),
		NotRunStatuses: t.Service.NotRun, MaxAnswerBytes: f.maxAnswer, Held: f.held,
	}
	if t.Retryable {
		a.RetryStatuses = retryStatuses
	}
	start := f.now()
	out := client.Do(ctx, a, f.observedSink(t, sink))
	f.recordResult(t, d, out, start)
	f.board.Queue(t.Service).Wake(f.now(), 1)
	t.report.Status, t.report.Resumes = out.Status, out.Resumes
	for range out.Resumes {
		f.meter.CountRetry(retry.Resume)
	}
	return endpointResult(out)
}

// endpointFields returns the header fields for the endpoint: the caller's, the request
// id and the priority.
func (t *task) endpointFields() []wire.Field {
	fields := make([]wire.Field, 0, len(t.Fields)+2)
	fields = append(fields, t.Fields...)
	return append(fields,
		wire.Field{Name: client.RequestIDField, Value: t.ID},
		wire.Field{Name: client.PriorityField, Value: strconv.Itoa(t.Service.Priority)})
}

// observedSink returns a sink that records the progress of the answer in t.
func (f *Flow) observedSink(t *task, sink client.Sink) client.Sink {
	var last time.Time
	return client.Sink{
		Head: sink.Head,
		Data: func(p []byte) error {
			now := f.now()
			if last.IsZero() {
				t.report.TimeToFirstByte = now.Sub(t.start)
				f.meter.ObserveFirstToken(t.Service.Name, t.report.TimeToFirstByte)
			} else {
				f.meter.ObserveTokenGap(t.Service.Name, now.Sub(last))
			}
			last = now
			t.report.Started = true
			t.answerParts++
			if err := sink.Data(p); err != nil {
				return err
			}
			t.closingSent = t.closingSent || stream.HasClosing(p)
			return nil
		},
	}
}

// recordResult updates the state of the endpoint with the outcome of an attempt.
func (f *Flow) recordResult(t *task, d decision, out client.Result, start time.Time) {
	endpoint := d.endpoint.Name
	first, work := t.configuredTimes()
	if d.prefixCached {
		first = time.Duration(place.CacheHitShare * float64(first))
	}
	now := f.now()
	// The expected wait for a slot is not part of the endpoint's own latency.
	firstByte := max(out.TimeToFirstByte-d.slotWait, min(out.TimeToFirstByte, first))
	res := endpt.Result{
		Whole: out.Whole, TimeToFirstToken: firstByte, ExpectedTimeToFirstToken: first, ExpectedAnswerTime: work,
		Full:   out.Reason == retry.Refused,
		Failed: !out.Whole && !out.CallerLeft && out.Reason != retry.Refused,
	}
	if out.Whole {
		res.AnswerTime = now.Sub(start) - out.TimeToFirstByte + firstByte
	}
	f.board.Endpoints.FinishRequest(now, endpoint, res)
	if out.Leaving {
		f.board.Endpoints.MarkLeaving(now, endpoint)
	}
}

// endpointResult returns the result of an attempt at an endpoint.
func endpointResult(out client.Result) result {
	res := result{whole: out.Whole, started: out.Started, callerLeft: out.CallerLeft, reason: out.Reason, ran: out.Ran}
	switch {
	case out.Whole:
	case out.Started:
		res.refusal = newRefusal(fault.Truncated, out.Ran, out.Err, "answer was cut off")
	case out.Reason == retry.Silent:
		res.refusal = newRefusal(fault.EndpointSilent, out.Ran, out.Err, "endpoint made no progress")
	case out.Reason == retry.Refused:
		res.refusal = newRefusal(fault.Busy, out.Ran, out.Err, "endpoint does not accept requests")
	default:
		res.refusal = newRefusal(fault.EndpointError, out.Ran, out.Err, "endpoint failed")
	}
	return res
}
