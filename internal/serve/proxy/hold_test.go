package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/terms"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/flow"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/splice"
)

// TestBegunStreamIsCutForBusyEndpoints: of the requests whose attempt failed, only a begun
// stream of this host's caller waits beyond the limits of attempts that did not run and of
// retries; all others are refused at once.
func TestBegunStreamIsCutForBusyEndpoints(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	release := "v1"
	for _, tt := range []struct {
		name               string
		kind               rules.Kind
		resumable, started bool
		mayCross           bool
		release            *string
		want               bool
	}{
		{"begun stream", rules.Stream, true, true, true, &release, true},
		{"begun stream of a release that is not known", rules.Stream, true, true, true, nil, false},
		{"begun stream at a relay", rules.Stream, true, true, false, &release, false},
		{"begun stream that may not be resumed", rules.Stream, false, true, true, &release, false},
		{"stream that has not begun", rules.Stream, true, false, true, &release, false},
		{"safe request", rules.Safe, false, false, true, nil, false},
	} {
		p := releaseProxy(now, release)
		p.Meter = meter.New()
		p.Budget = retry.NewFleetBudget(retry.Bound{Window: 10 * time.Second}, func() int { return 1 })
		task := &task{
			Request:  Request{Route: &rules.Route{Kind: tt.kind, Resumable: tt.resumable}, Service: "s", Deadline: now.Add(time.Second), AttemptsLeft: 2},
			mayCross: tt.mayCross, release: tt.release, report: Report{Started: tt.started, Status: http.StatusOK, Attempts: 9},
		}
		if tt.started {
			task.received = splice.NewBegun()
		}
		refusal := p.afterFailure(t.Context(), task, result{reason: retry.Refused, refusal: fault.New(fault.Busy, fault.RanNo, "endpoint does not accept requests")})
		if held := refusal == nil && task.paced && task.unpaid; held != tt.want {
			t.Errorf("%s: held = %v, refusal %v, want held = %v", tt.name, held, refusal, tt.want)
		}
	}
}

// TestHeldStreamsRetryTogether: the wait of a held stream grows with each attempt, honours the
// delay of the last refusal, stays within its bound and differs from that of other streams.
func TestHeldStreamsRetryTogether(t *testing.T) {
	for _, tt := range []struct {
		holds     int
		delay     time.Duration
		low, high time.Duration
	}{
		{0, 0, 75 * time.Millisecond, 125 * time.Millisecond},
		{2, 0, 300 * time.Millisecond, 500 * time.Millisecond},
		{0, 600 * time.Millisecond, 450 * time.Millisecond, 750 * time.Millisecond},
		{1 << 30, time.Hour, 750 * time.Millisecond, 1250 * time.Millisecond},
	} {
		if low, high := holdTime(tt.holds, tt.delay, 0), holdTime(tt.holds, tt.delay, 1); low != tt.low || high != tt.high {
			t.Errorf("after %d waits, delay %v: waits %v to %v, want %v to %v", tt.holds, tt.delay, low, high, tt.low, tt.high)
		}
	}
}

// begunStream returns a proxy and the task of a begun stream whose last attempt was relayed to
// region x.
func begunStream(now time.Time) (*Proxy, *task) {
	release := "v1"
	p := releaseProxy(now, release)
	p.Meter = meter.New()
	p.Budget = retry.NewFleetBudget(retry.Bound{Window: 10 * time.Second, Slack: 100}, func() int { return 1 })
	return p, &task{
		Request:  Request{Route: &rules.Route{Kind: rules.Stream, Resumable: true}, Service: "s", Deadline: now.Add(30 * time.Second), AttemptsLeft: 2},
		mayCross: true, release: &release, runs: 1, tried: map[string]bool{}, ran: fault.RanUnknown,
		report: Report{Started: true, Status: http.StatusOK, Attempts: 1, Region: "x"}, received: splice.NewBegun(),
	}
}

// TestHoldForgetsOtherRelease: a region that would continue the stream at another release is
// not asked again after a wait.
func TestHoldForgetsOtherRelease(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p, task := begunStream(now)
	peer := member.Candidate{Name: "relay", Region: "x"}
	p.Board.Members.SetCandidates(now, []member.Candidate{peer})
	p.Board.Members.Receive(now, wire.Packet{Kind: wire.Announce, From: peer.Name, Incarnation: 1, Updates: []wire.Update{{Host: peer.Name, Life: 1, State: wire.Alive}}})
	p.Board.Registry.Put(regis.Endpoint{ID: "remote", Service: "s", Centre: "x1", Region: "x", Slots: 12, Release: "v1", Revision: 9})
	if n := len(p.remoteRegions(now, task)); n != 1 {
		t.Fatalf("%d other regions before the answer, want 1", n)
	}
	p.relayResult(task, nil, errOtherRelease)
	p.hold(t.Context(), task, "test")
	if n := len(p.remoteRegions(now, task)); n != 0 {
		t.Errorf("%d other regions after the answer at another release, want none", n)
	}
}

// TestFailureGoesOnAsStream: an endpoint's failure whose body a relay did not bring is not
// continued by the events of another endpoint.
func TestFailureGoesOnAsStream(t *testing.T) {
	p, task := begunStream(time.Unix(1_000_000, 0))
	failure := wire.NewHead(http.StatusInternalServerError)
	task.report.Status, task.received, task.AttemptsLeft = failure.Status(), splice.Answer{}.WithHead(failure), 3
	res := p.relayResult(task, nil, errors.New("connection lost"))
	if refusal := p.afterFailure(t.Context(), task, res); refusal == nil {
		t.Error("the request is sent on, want a refusal")
	}
}

// TestBegunStreamIsCutForUnackedRelay: a relay that does not acknowledge the continuation of a
// stream does not cost the stream one of its route's attempts.
func TestBegunStreamIsCutForUnackedRelay(t *testing.T) {
	p, task := begunStream(time.Unix(1_000_000, 0))
	res := p.relayResult(task, nil, fmt.Errorf("%w: timeout", flow.ErrUnacked))
	task.recordFailure(decision{region: "x"}, res, time.Second)
	if refusal := p.afterFailure(t.Context(), task, res); refusal != nil || task.ran != fault.RanUnknown {
		t.Errorf("refusal %v, ran %s, want none and unknown", refusal, task.ran)
	}
}

// TestContinuationIsGivenUpBriefly: an attempt that continues a stream has as much time to its
// first event as sound endpoints are silent for, and a usual gap more between two events.
func TestContinuationIsGivenUpBriefly(t *testing.T) {
	p, task := begunStream(time.Unix(1_000_000, 0))
	p.Terms = &terms.Terms{}
	task.Route = &rules.Route{Kind: rules.Stream, Resumable: true, Target: 300 * time.Millisecond, Gap: 300 * time.Millisecond}
	task.AttemptsLeft = 3
	a := p.endpointAttempt(task, decision{endpoint: regis.Endpoint{ID: "e"}})
	if a.HeadTimeout < minSilence {
		t.Errorf("given up after %v without a head, want at least %v", a.HeadTimeout, minSilence)
	}
	if want := minSilence + task.Route.Gap; a.IdleTimeout < want {
		t.Errorf("given up after %v without an event, want at least %v", a.IdleTimeout, want)
	}
}
