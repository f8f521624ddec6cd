package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/terms"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/flow"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/splice"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
)

// answerHead returns the head of an answer with a status and a media type.
func answerHead(status int, mediaType string, fields ...wire.Field) wire.Head {
	if mediaType != "" {
		fields = append(fields, wire.Field{Name: "Content-Type", Value: mediaType})
	}
	return wire.NewHead(status, fields...)
}

// streamProxy returns a proxy, a stream that its caller has sent, and the sink of the caller's answer,
// which counts heads and bytes.
func streamProxy(now time.Time) (p *Proxy, t *task, sink client.Sink, heads, bytes *int) {
	p = New()
	p.Meter, p.Now, p.Terms = meter.New(), func() time.Time { return now }, &terms.Terms{}
	p.Board = board.New(now, "h", "a", "a-1", 1)
	p.Budget = retry.NewFleetBudget(retry.Bound{Window: 10 * time.Second, Slack: 100}, func() int { return 1 })
	p.StoreAge = func(time.Time) time.Duration { return time.Hour }
	t = &task{
		Request:  Request{Route: &rules.Route{Kind: rules.Stream, Resumable: true, Attempts: 2}, Service: "s", Deadline: now.Add(time.Second), AttemptsLeft: 2},
		mayCross: true, lastEventID: stream.NoID, tried: map[string]bool{},
	}
	heads, bytes = new(int), new(int)
	return p, t, p.observedSink(t, client.Sink{
		Head: func(wire.Head) error { *heads++; return nil },
		Data: func(data []byte) error { *bytes += len(data); return nil },
	}), heads, bytes
}

// TestFailureDoesNotContinueStream guards against an endpoint's failure, or any answer that is no stream
// of events, whose end and body pass as those of a stream that broke off and is continued elsewhere.
func TestFailureDoesNotContinueStream(t *testing.T) {
	const events = "text/event-stream"
	gzip := wire.Field{Name: "Content-Encoding", Value: "gzip"}
	for _, tt := range []struct {
		name  string
		next  wire.Head
		fails bool
	}{
		{"server error", answerHead(http.StatusInternalServerError, "text/plain"), true},
		{"server error as events", answerHead(http.StatusInternalServerError, events), true},
		{"bad gateway", answerHead(http.StatusBadGateway, ""), true},
		{"not found", answerHead(http.StatusNotFound, "text/plain"), true},
		{"text", answerHead(http.StatusOK, "text/plain; charset=utf-8"), true},
		{"JSON", answerHead(http.StatusOK, "application/json"), true},
		{"lines of JSON", answerHead(http.StatusOK, "application/x-ndjson"), true},
		{"no type", answerHead(http.StatusOK, ""), true},
		{"type with the same beginning", answerHead(http.StatusOK, "text/event-streams"), true},
		{"encoded events", answerHead(http.StatusOK, events, gzip), true},
		{"no content", answerHead(http.StatusNoContent, ""), true},
		{"a part", answerHead(http.StatusPartialContent, events), true},
		{"accepted", answerHead(http.StatusAccepted, events), true},
		{"events", answerHead(http.StatusOK, events), false},
		{"events with a parameter", answerHead(http.StatusOK, "Text/Event-Stream;charset=utf-8"), false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p, task, sink, heads, bytes := streamProxy(time.Unix(1_000_000, 0))
			if err := errors.Join(sink.Head(answerHead(http.StatusOK, events)), sink.Data([]byte("id: 0\ndata: x\n\n"))); err != nil {
				t.Fatal(err)
			}
			release := "v1"
			task.release = &release
			tt.next = tt.next.WithRelease(release)
			before := *bytes
			err := p.remoteSink(task, sink).Head(tt.next)
			if (err != nil) != tt.fails || *heads != 1 {
				t.Errorf("relayed: error %v, %d heads passed on", err, *heads)
			}
			local := p.endpointAttempt(task, decision{endpoint: regis.Endpoint{ID: "e"}}).Accept(tt.next)
			if (local != nil) != tt.fails {
				t.Errorf("local: error %v", local)
			}
			if !tt.fails {
				return
			}
			res := p.relayResult(task, nil, fmt.Errorf("%w: %w", flow.ErrSink, err))
			if res.whole || res.callerLeft || res.ran != fault.RanYes || res.refusal == nil {
				t.Errorf("result is %+v, want a failed attempt that ran", res)
			}
			if *bytes != before {
				t.Errorf("%d bytes of the other answer were passed on", *bytes-before)
			}
		})
	}
}

// TestFirstAnswerIsPassedOn: an answer that has not begun may be of any status and type.
func TestFirstAnswerIsPassedOn(t *testing.T) {
	for _, first := range []wire.Head{answerHead(http.StatusInternalServerError, "text/plain"), answerHead(http.StatusOK, "application/json"), answerHead(http.StatusNotFound, "")} {
		p, task, sink, heads, _ := streamProxy(time.Unix(1_000_000, 0))
		if err := p.remoteSink(task, sink).Head(first); err != nil || *heads != 1 {
			t.Errorf("status %d: error %v, %d heads passed on, want 1", first.Status(), err, *heads)
		}
	}
}

// TestBrokenTextIsNotContinuedByEvents guards against the events of another endpoint behind a part of an
// answer that is no stream of events, whose body a relay did not bring whole.
func TestBrokenTextIsNotContinuedByEvents(t *testing.T) {
	for _, tt := range []struct {
		first     wire.Head
		continues bool
	}{{answerHead(http.StatusOK, "text/plain"), false}, {answerHead(http.StatusOK, "text/event-stream"), true}} {
		p, task, sink, _, _ := streamProxy(time.Unix(1_000_000, 0))
		if err := p.remoteSink(task, sink).Head(tt.first.WithRelease("v1")); err != nil {
			t.Fatal(err)
		}
		res := p.relayResult(task, nil, errors.New("connection lost"))
		if refusal := p.afterFailure(t.Context(), task, res); (refusal == nil) != tt.continues {
			t.Errorf("%v: refusal %v, want another attempt: %v", tt.first, refusal, tt.continues)
		}
	}
}

// TestRelayPassesFailureOnAsStream guards against a relay that passes any answer on to a host whose
// caller has the beginning of a stream, above all when it has no event yet.
func TestRelayPassesFailureOnAsStream(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	unknown := (*bool)(nil)
	for _, tt := range []struct {
		name      string
		started   bool
		lastEvent int
		change    func(*wire.Routing)
		want      bool
	}{
		{"not begun", false, stream.NoID, func(*wire.Routing) {}, false},
		{"begun without an event", true, stream.NoID, func(*wire.Routing) {}, true},
		{"begun", true, 3, func(*wire.Routing) {}, true},
		{"resumed by the caller", false, 3, func(*wire.Routing) {}, false},
		{"from an older build", false, stream.NoID, func(r *wire.Routing) { r.Begun = unknown }, false},
		{"from an older build, after an event", false, 3, func(r *wire.Routing) { r.Begun = unknown }, true},
		{"from an older build, no stream", false, 3, func(r *wire.Routing) { r.Begun, r.Route.Kind = unknown, rules.Unsafe }, false},
	} {
		p, task, sink, _, _ := streamProxy(now)
		if tt.started {
			if err := sink.Head(answerHead(http.StatusOK, "text/event-stream")); err != nil {
				t.Fatal(err)
			}
		}
		task.lastEventID = tt.lastEvent
		msg := p.newWireRequest(task)
		tt.change(msg.Routing)
		data, err := wire.Encode(msg)
		if err != nil {
			t.Fatal(err)
		}
		var received wire.Request
		if err := wire.Decode(data, &received); err != nil {
			t.Fatal(err)
		}
		r := NewRelayed(&received, now).Request
		relayed := newTask(&r, false)
		attempt := p.endpointAttempt(relayed, decision{endpoint: regis.Endpoint{ID: "e"}})
		if rejected := attempt.Accept(answerHead(http.StatusInternalServerError, "")) != nil; rejected != tt.want {
			t.Errorf("%s: failure is rejected: %v, want %v", tt.name, rejected, tt.want)
		}
	}
}

// TestPausedRelayLosesStreamWithoutIDs guards against a stream that is given up at a paused relay though
// no other attempt may send its rest, as its last event has no id.
func TestPausedRelayLosesStreamWithoutIDs(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	release := "v1"
	for _, tt := range []struct {
		name, events string
		want         bool
	}{{"last event has an id", "id: 0\ndata: x\n\n", true}, {"last event has no id", "id: 0\ndata: x\n\ndata: y\n\n", false}} {
		p := releaseProxy(now, release)
		p.Budget = retry.NewFleetBudget(retry.Bound{Slack: 100, Window: 10 * time.Second}, func() int { return 1 })
		relay := member.Member{Candidate: member.Candidate{Name: "relay", Region: "x"}, Incarnation: 900}
		p.Board.Members.SetCandidates(now, []member.Candidate{relay.Candidate})
		p.Board.Members.Receive(now, wire.Packet{Kind: wire.Announce, From: "relay", Incarnation: 900, Updates: []wire.Update{{Host: "relay", Life: 900, State: wire.Suspect}}})
		task := &task{
			Request: Request{
				Route: &rules.Route{Kind: rules.Stream, Resumable: true}, Service: "s", Arrived: now, Deadline: now.Add(4 * time.Second), AttemptsLeft: 2,
			},
			tried: map[string]bool{"relay": true}, release: &release, report: Report{Started: true},
			received: splice.NewBegun().WithData([]byte(tt.events)),
		}
		if got := p.givesUpRelay(task, relay, now, true); got != tt.want {
			t.Errorf("%s: gives up = %v, want %v", tt.name, got, tt.want)
		}
	}
}
