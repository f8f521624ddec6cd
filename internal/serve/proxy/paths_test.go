package proxy

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/board/endpt"
	"github.com/hyssopspindle/hyssopspindle/internal/board/paths"
	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
)

// pathsPlay is a host of region r with nine endpoints, a peer host there, and a region far with
// nine endpoints and a host.
func pathsPlay(now time.Time, homes ...string) (*Proxy, *rules.Route) {
	p := New()
	p.Board = board.New(now, "h", "r", "c", 1)
	p.Now, p.Meter = func() time.Time { return now }, meter.New()
	p.Budget = retry.NewFleetBudget(retry.Bound{Slack: 100, Window: 10 * time.Second}, func() int { return 1 })
	route := rules.Route{Kind: rules.Safe, Attempts: 2, Homes: homes}
	p.Board.Routes.Apply(rules.New(1, []rules.Route{route}, []rules.Service{{Name: "s"}}, rules.Limits{}))
	for i := range 9 {
		for _, region := range []string{"r", "far"} {
			p.Board.Registry.Put(regis.Endpoint{ID: fmt.Sprint(region, i), Service: "s", Centre: region, Region: region, Slots: 6, Revision: uint64(i + 1)})
		}
	}
	p.Board.Members.SetCandidates(now, []member.Candidate{{Name: "peer", Region: "r"}, {Name: "other", Region: "far"}})
	for _, name := range []string{"peer", "other"} {
		p.Board.Members.Receive(now, wire.Packet{Kind: wire.Announce, From: name, Incarnation: 1, Updates: []wire.Update{{Host: name, Life: 1, State: wire.Alive}}})
	}
	p.Board.Remotes.MarkSeen(now, "far")
	return p, &route
}

// TestWhoServesRequestsOfCutHosts counts where requests are sent while endpoints are out of reach.
func TestWhoServesRequestsOfCutHosts(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	const requests = 1000
	for _, tt := range []struct {
		name string
		// unreached is the number of local endpoints out of reach.
		unreached int
		// otherService reports whether endpoints of another service are in reach.
		otherService     bool
		peerCut, farCut  bool
		homes            []string
		relayed          bool
		own, peer, far   float64
		refused          fault.Code
		ownMost, farMost float64
	}{
		{name: "all in reach", own: 1},
		{name: "some out of reach", unreached: 4, own: 1},
		{name: "few in reach", unreached: 8, peer: 1},
		{name: "none in reach", unreached: 9, peer: 1},
		{name: "peer cut off too", unreached: 9, peerCut: true, far: 1},
		{name: "peer cut off too, few in reach", unreached: 8, peerCut: true, own: 0.02, ownMost: 0.25, far: 0.75, farMost: 0.98},
		{name: "all hosts cut off", unreached: 9, peerCut: true, farCut: true, own: 1},
		{name: "home region only", unreached: 9, peerCut: true, homes: []string{"r"}, own: 1},
		{name: "relayed", unreached: 9, relayed: true, refused: fault.NotReady},
		{name: "endpoints of one service ended", unreached: 9, otherService: true, far: 1},
		{name: "relayed, endpoints of one service ended", unreached: 9, otherService: true, relayed: true, refused: fault.NoEndpoint},
		{name: "relayed, few in reach", unreached: 8, relayed: true, own: 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p, route := pathsPlay(now, tt.homes...)
			for i := range 9 {
				if tt.otherService {
					p.Board.Registry.Put(regis.Endpoint{ID: fmt.Sprint("other", i), Service: "other", Centre: "r", Region: "r", Slots: 6, Revision: uint64(i + 1)})
				}
			}
			for i := range tt.unreached {
				p.Board.Paths.RecordFailed(now, fmt.Sprint("r", i))
			}
			p.Board.CutHosts.SetSelf(now, p.Board.Paths.Cut(p.Board.Registry.IDs("r")))
			p.Board.CutHosts.Merge(now, []paths.Report{{Host: "peer", Incarnation: 1, Serial: 1, Cut: tt.peerCut}, {Host: "other", Incarnation: 1, Serial: 1, Cut: tt.farCut}})
			var own, peer, far float64
			for range requests {
				d := p.choose(&task{Request: Request{Route: route, Service: "s", Arrived: now, Deadline: now.Add(time.Second)}, mayCross: !tt.relayed, tried: map[string]bool{}})
				switch {
				case d.refusal != nil:
					if d.refusal.Code != tt.refused {
						t.Fatalf("refused: %v", d.refusal)
					}
				case d.region == "r":
					peer++
				case d.region == "far":
					far++
				default:
					own++
					p.Board.Endpoints.FinishRequest(now, d.endpoint.ID, endpt.Result{Whole: true})
				}
			}
			within := func(what string, got, least, most float64) {
				if got /= requests; got < least || got > max(least, most) {
					t.Errorf("%s gets %.2f of the requests, want %.2f to %.2f", what, got, least, max(least, most))
				}
			}
			within("the host", own, tt.own, tt.ownMost)
			within("the peer host", peer, tt.peer, 0)
			within("the other region", far, tt.far, tt.farMost)
		})
	}
}

// TestOlderPeerRefusesOwnRegion: the refusal of a host of an older build, which serves no requests
// of its region for others, does not reach the caller as a bad request.
func TestOlderPeerRefusesOwnRegion(t *testing.T) {
	p, route := pathsPlay(time.Unix(1_000_000, 0))
	task := &task{Request: Request{Route: route}, tried: map[string]bool{}}
	task.report.Region = "r"
	res := p.relayResult(task, &wire.End{Code: fault.BadRequest, Ran: fault.RanNo}, nil)
	if res.refusal.Code == fault.BadRequest || !res.uncharged || res.ran != fault.RanNo {
		t.Errorf("refused as %s, ran %s, uncharged %v, want a host that was not reached", res.refusal.Code, res.ran, res.uncharged)
	}
	task.report.Region = "far"
	if res := p.relayResult(task, &wire.End{Code: fault.BadRequest, Ran: fault.RanNo}, nil); res.refusal.Code != fault.BadRequest {
		t.Errorf("another region's refusal became %s", res.refusal.Code)
	}
}
