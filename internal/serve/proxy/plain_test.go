package proxy

import (
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/board/endpt"
	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/board/remote"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/terms"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/route/pick"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/pool"
)

// plainProxy returns a proxy of region r with two plain endpoints of slots slots in each of two
// regions, and a task for them.
func plainProxy(now *time.Time, slots int) (*Proxy, *task) {
	p := New()
	p.Board = board.New(*now, "h", "r", "c", 1)
	p.Now, p.Meter = func() time.Time { return *now }, meter.New()
	route := &rules.Route{Kind: rules.Unsafe, Target: 400 * time.Millisecond}
	p.Board.Routes.Apply(rules.New(1, []rules.Route{*route}, []rules.Service{{Name: "s"}}, rules.Limits{}))
	for i, id := range []string{"r1", "r2", "x1", "x2"} {
		p.Board.Registry.Put(regis.Endpoint{ID: id, Service: "s", Centre: "c", Region: id[:1], Slots: slots, Revision: uint64(i + 1)})
	}
	p.Board.Endpoints.Sync(*now, []string{"r1", "r2"})
	p.Board.Members.SetCandidates(*now, []member.Candidate{{Name: "relay", Region: "x"}})
	p.Board.Members.Receive(*now, wire.Packet{Kind: wire.Announce, From: "relay", Incarnation: 1, Updates: []wire.Update{{Host: "relay", Life: 1, State: wire.Alive}}})
	return p, plainTask(p)
}

func plainTask(p *Proxy) *task {
	route := &rules.Route{Kind: rules.Unsafe, Target: 400 * time.Millisecond}
	return &task{
		Request:  Request{Route: route, Service: "s", Arrived: p.Now(), Deadline: p.Now().Add(2 * time.Second), AttemptsLeft: 1, LastEventID: -1},
		mayCross: true, tried: map[string]bool{}, lastEventID: -1,
	}
}

// TestPlainRequestsSpill guards against a region that sends its endpoints all its requests,
// whatever their load, while another region is idle, and against changes where none are wanted.
func TestPlainRequestsSpill(t *testing.T) {
	for _, tt := range []struct {
		name        string
		own, other  int
		slots       int
		attempts    int
		least, most int
	}{
		{"own region at 10 of 12 slots, other idle", 5, 0, 6, 0, 50, 120},
		{"both regions at 10 of 12 slots", 5, 10, 6, 0, 0, 0},
		{"own region under half", 2, 0, 6, 0, 0, 0},
		{"slots not known", 5, 0, 0, 0, 0, 0},
		{"retries", 5, 0, 6, 1, 0, 0},
	} {
		now := time.Unix(1_000_000, 0)
		p, _ := plainProxy(&now, tt.slots)
		crossed := 0
		for range 200 {
			now = now.Add(20 * time.Millisecond)
			p.Board.Endpoints.SetPeerLoads(now, "peer", map[string]endpt.HostLoad{"r1": {Requests: tt.own}, "r2": {Requests: tt.own}})
			p.Board.Remotes.PutLoad(remote.Key{Region: "x", Service: "s"}, 12, float64(tt.other), now, now)
			task := plainTask(p)
			task.report.Attempts = tt.attempts
			d := p.choose(task)
			if d.region != "" {
				crossed++
			}
			if d.refusal != nil || (d.wait && tt.own < 5) {
				t.Fatalf("%s: got %+v, want the request sent", tt.name, d)
			}
			if d.endpoint.ID != "" {
				p.Board.Endpoints.FinishRequest(now, d.endpoint.ID, endpt.Result{Whole: true})
			}
		}
		if crossed < tt.least || crossed > tt.most {
			t.Errorf("%s: %d of 200 requests crossed, want %d to %d", tt.name, crossed, tt.least, tt.most)
		}
	}
}

// TestPlainRequestWaitsForSlot guards against requests that are sent to full endpoints while no
// region has room, and against ones that still wait when a slot is free.
func TestPlainRequestWaitsForSlot(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p, task := plainProxy(&now, 1)
	for _, id := range []string{"r1", "r2"} {
		p.Board.Endpoints.StartRequest(now, id)
	}
	p.Board.Remotes.PutLoad(remote.Key{Region: "x", Service: "s"}, 2, 2, now, now)
	if d := p.choose(task); !d.wait {
		t.Fatalf("got %+v while all slots are in use, want the request to wait", d)
	}
	task.queuedAt = now
	p.Board.Endpoints.FinishRequest(now, "r2", endpt.Result{Whole: true})
	if d := p.choose(task); d.endpoint.ID != "r2" {
		t.Errorf("got %+v with a free slot at r2, want it sent there", d)
	}
}

// TestFullQueueRefuses guards against requests without a target that wait without a bound on their
// number: those beyond the queue were not counted in the expected wait, were decided on again every
// 15 ms, and were all sent to the endpoints at their deadlines.
func TestFullQueueRefuses(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p, _ := plainProxy(&now, 1)
	for _, id := range []string{"r1", "r2"} {
		p.Board.Endpoints.StartRequest(now, id)
	}
	p.Board.Remotes.PutLoad(remote.Key{Region: "x", Service: "s"}, 2, 2, now, now)
	waited := 0
	for range 2 * maxQueued {
		task := plainTask(p)
		route := *task.Route
		route.Target = 0
		task.Route, task.Deadline = &route, now.Add(10*time.Minute)
		d := p.choose(task)
		if d.wait {
			waited++
			p.queues["s"].Join(now, 0, "")
			continue
		}
		if d.refusal == nil || d.refusal.Ran != fault.RanNo || d.refusal.RetryAfter <= 0 {
			t.Fatalf("got %+v with %d requests waiting, want a refusal as not run with a retry delay", d, waited)
		}
	}
	if waited != maxQueued {
		t.Errorf("%d of %d requests wait, want %d", waited, 2*maxQueued, maxQueued)
	}
}

// TestSlowPlainEndpointIsAvoided guards against plain endpoints whose speed is not measured: one
// that takes three times as long got as many requests as the other. The pace that an answer
// reports is not counted as the endpoint's own speed too.
func TestSlowPlainEndpointIsAvoided(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p, _ := plainProxy(&now, 6)
	chosen := map[string]int{}
	for range 200 {
		task := plainTask(p)
		d := p.choose(task)
		chosen[d.endpoint.ID]++
		start, out := now, pool.Result{Whole: true, Load: terms.Load{Slots: 6, Pace: 1}}
		now = now.Add(30 * time.Millisecond)
		if d.endpoint.ID == "r1" {
			now = now.Add(60 * time.Millisecond)
		}
		p.recordResult(task, d, out, start)
	}
	if chosen["r1"] > 60 || chosen["r1"] == 0 {
		t.Errorf("the slow endpoint got %d of 200 requests, want 1 to 60", chosen["r1"])
	}
	now = now.Add(time.Minute)
	for range 50 {
		p.recordResult(plainTask(p), decision{endpoint: regis.Endpoint{ID: "r2"}}, pool.Result{Whole: true, Load: terms.Load{Slots: 6, Pace: 3}}, now.Add(-3*p.Board.Speeds.AnswerTime("s")))
		now = now.Add(time.Second)
	}
	if st := p.Board.Endpoints.Get("r2"); st.Speed(now) > 1.5 {
		t.Errorf("speed of an endpoint whose answers take what its pace says is %.2f, want about 1", st.Speed(now))
	}
}

// TestLateAnswerOfEarlierProcess guards against an answer of an endpoint's earlier process that
// pauses, drains or ejects the process that has started under its id meanwhile.
func TestLateAnswerOfEarlierProcess(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p, task := plainProxy(&now, 6)
	e := regis.Endpoint{ID: "r1", Service: "s", Centre: "c", Region: "r", Slots: 6, Incarnation: 1, Revision: 9}
	p.Board.Registry.Put(e)
	earlier, _ := p.Board.Registry.Get("r1")
	p.Board.Endpoints.SetStart(now, "r1", earlier.Start)
	p.Board.Endpoints.StartRequest(now, "r1")
	e.Incarnation, e.Revision = 2, 10
	p.Board.Registry.Put(e)
	current, _ := p.Board.Registry.Get("r1")
	p.Board.Endpoints.SetStart(now, "r1", current.Start)
	p.Board.Endpoints.StartRequest(now, "r1")
	p.Board.Endpoints.AddQueuedPrefill("r1", 0, time.Second)

	sent, rate := now, 0.5
	now = now.Add(time.Second)
	p.recordNotice(task, earlier, pool.Notice{Leaving: true, Pause: time.Minute, RateLimit: &rate, Failed: true}, sent)
	p.endPrefill(task, earlier, time.Second)
	out := pool.Result{Misdirected: true, Unreachable: true, Load: terms.Load{Running: 6, Slots: 6}}
	p.recordResult(task, decision{endpoint: earlier}, out, sent)
	p.recordFindings(task, earlier, out, sent, 0)
	st := p.Board.Endpoints.Get("r1")
	if st.InFlight != 1 || st.Load(now) != 1 || st.PauseDelay(now) != 0 || st.QueuedPrefill(now).Ahead(0) != time.Second || p.Board.Endpoints.Limited(now, "r1") {
		t.Errorf("state of the new process is %+v, want that of its one request", st)
	}
	if got, _ := p.Board.Registry.Get("r1"); got.Draining || !p.Board.Paths.Reachable("r1") {
		t.Error("the new process counts as draining or out of reach")
	}
}

// TestRequestChosenBeforeRestart guards against a request that is counted at the new process of an
// endpoint, which started while the request was placed by the registration of the earlier one. Its
// end is not counted there, so the new process kept a request and its prefill time for good.
func TestRequestChosenBeforeRestart(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p, task := plainProxy(&now, 6)
	e := regis.Endpoint{ID: "r1", Service: "s", Centre: "c", Region: "r", Slots: 6, Incarnation: 1, Revision: 9}
	p.Board.Registry.Put(e)
	earlier, _ := p.Board.Registry.Get("r1")
	p.Board.Endpoints.SetStart(now, "r1", earlier.Start)
	e.Incarnation, e.Revision = 2, 10
	p.Board.Registry.Put(e)
	current, _ := p.Board.Registry.Get("r1")
	p.Board.Endpoints.SetStart(now, "r1", current.Start)

	route := *task.Route
	route.Prompts = true
	task.Route = &route
	for _, chosen := range []regis.Endpoint{earlier, current} {
		d := decision{endpoint: chosen, prefill: time.Second}
		p.recordDispatch(now, task, pick.Request{}, d)
		p.endPrefill(task, chosen, time.Second)
		p.recordResult(task, d, pool.Result{Reason: retry.Broken}, now)
		if st := p.Board.Endpoints.Get("r1"); st.InFlight != 0 || st.QueuedPrefill(now).Ahead(0) != 0 {
			t.Errorf("after the end of a request to process %d: %d in flight with a prefill time of %v, want none", chosen.Start, st.InFlight, st.QueuedPrefill(now).Ahead(0))
		}
	}
}
