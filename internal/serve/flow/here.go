package flow

import (
	"bytes"
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

// elsewhere lists the statuses for which a repeatable request is tried at
// another endpoint.
var elsewhere = []int{
	http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout,
}

// here makes an attempt at an endpoint of this region; choose has counted it.
func (f *Flow) here(ctx context.Context, t *trip, d decision, sink client.Sink) result {
	e := d.endpoint
	t.tried[e.Name] = true
	t.report.Endpoint, t.report.Region = e.Name, f.board.Region
	a := client.Attempt{
		Address: e.Address, Method: t.Method, Path: t.Path, Body: t.Body,
		Fields: t.endpointFields(), Deadline: t.Deadline, Silence: t.Service.Silence(),
		NotRun: t.Service.NotRun, MaxAnswer: f.maxAnswer,
	}
	if t.Repeatable {
		a.Again = elsewhere
	}
	started := f.now()
	out := client.Do(ctx, a, f.watched(t, sink))
	f.learn(t, d, out, started)
	f.board.Line(t.Service).Wake(f.now(), 1)
	t.report.Status, t.report.Resumes = out.Status, out.Resumes
	for range out.Resumes {
		f.meter.Retry(retry.Resume)
	}
	return resultOf(out)
}

// endpointFields returns what the endpoint gets beside the caller's own fields.
func (t *trip) endpointFields() []wire.Field {
	fields := make([]wire.Field, 0, len(t.Fields)+2)
	fields = append(fields, t.Fields...)
	return append(fields,
		wire.Field{Name: client.RequestID, Value: t.ID},
		wire.Field{Name: client.Priority, Value: strconv.Itoa(t.Service.Priority)})
}

// watched measures the parts of an answer as they pass.
func (f *Flow) watched(t *trip, sink client.Sink) client.Sink {
	var last time.Time
	return client.Sink{
		Head: sink.Head,
		Data: func(p []byte) error {
			now := f.now()
			if last.IsZero() {
				t.report.First = now.Sub(t.start)
				f.meter.First(t.Service.Name, t.report.First)
			} else {
				f.meter.Gap(t.Service.Name, now.Sub(last))
			}
			last = now
			t.report.Begun = true
			t.parts++
			if err := sink.Data(p); err != nil {
				return err
			}
			t.closed = t.closed || bytes.HasSuffix(p, stream.Closing)
			return nil
		},
	}
}

func (f *Flow) learn(t *trip, d decision, out client.Result, started time.Time) {
	endpoint := d.endpoint.Name
	first, work := t.usual()
	if d.warm {
		first = time.Duration(place.HitShare * float64(first))
	}
	now := f.now()
	// What is learned is the endpoint's own speed, without the wait for a slot.
	own := max(out.First-d.queue, min(out.First, first))
	res := endpt.Result{
		Whole: out.Whole, First: own, UsualFirst: first, UsualWork: work,
		Full:   out.Reason == retry.Refused,
		Failed: !out.Whole && !out.CallerLeft && out.Reason != retry.Refused,
	}
	if out.Whole {
		res.Work = now.Sub(started) - out.First + own
	}
	f.board.Endpoints.Done(now, endpoint, res)
	if out.Leaving {
		f.board.Endpoints.Left(now, endpoint)
	}
}

func resultOf(out client.Result) result {
	res := result{whole: out.Whole, begun: out.Begun, left: out.CallerLeft, reason: out.Reason, ran: out.Ran}
	switch {
	case out.Whole:
	case out.Begun:
		res.refusal = refusal(fault.Truncated, out.Ran, out.Err, "answer broke off")
	case out.Reason == retry.Silent:
		res.refusal = refusal(fault.EndpointSlow, out.Ran, out.Err, "endpoint made no progress")
	case out.Reason == retry.Refused:
		res.refusal = refusal(fault.Busy, out.Ran, out.Err, "endpoint takes no work now")
	default:
		res.refusal = refusal(fault.EndpointError, out.Ran, out.Err, "endpoint failed")
	}
	return res
}
