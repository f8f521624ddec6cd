package proxy

import (
	"cmp"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/pool"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/splice"
)

// localHead describes the answer of an attempt at a local endpoint.
type localHead struct {
	status    int
	mediaType string
	framing   pool.Framing
	err       error
}

// recordingSink returns a sink that records in part what an attempt sends.
func recordingSink(sink client.Sink, part *splice.Part) client.Sink {
	return client.Sink{
		Head: func(h wire.Head) error {
			*part = part.WithHead(h)
			return sink.Head(h)
		},
		Data: func(data []byte) error {
			*part = part.WithData(data)
			return sink.Data(data)
		},
		Acked: sink.Acked, Received: sink.Received,
	}
}

// partOutcome returns how an attempt ended that contributed a part to a stream.
func partOutcome(part splice.Part, res result) string {
	switch {
	case res.callerLeft:
		return "left"
	case res.whole:
		return "whole"
	case part.Bytes > 0:
		return "broke"
	}
	return "rejected"
}

// recordPart counts and logs an attempt at a stream that broke off, or that was to continue one that
// had begun, after the event with the id after. relayed states whether a relay made the attempt. Such
// attempts are rare, and what joined them shows in no other line: these are warnings, which are not
// dropped for others.
func (p *Proxy) recordPart(t *task, begun bool, after int, part splice.Part, relayed bool, res result) {
	if t.Route.Kind != rules.Stream || (!begun && (res.whole || part.Status == 0)) {
		return
	}
	outcome := partOutcome(part, res)
	p.Meter.CountStreamPart(begun, outcome)
	ev := p.Log.Warn().Str("request", t.ID).Str("service", t.Service).Str("endpoint", t.report.Endpoint).Str("region", t.report.Region).
		Int("tries", t.report.Attempts).Bool("begun", begun).Int("status", cmp.Or(part.Status, res.head.status)).
		Str("type", cmp.Or(part.Type, res.head.mediaType)).Str("framing", string(res.head.framing)).Bool("relayed", relayed).Int("after", after).Int("bytes", part.Bytes)
	if part.Events {
		ev = ev.Int("from", part.First).Int("to", part.Last)
	}
	cause := res.head.err
	if cause == nil && res.refusal != nil {
		cause = res.refusal.Cause
	}
	ev.Str("ran", string(res.ran)).AnErr("cause", cause).Str("outcome", outcome).Msg("part of a stream")
}
