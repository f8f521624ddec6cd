package proxy

import (
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/acks"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

// TestSilentRelayGetsRequests: a relay that acknowledges nothing gets no further request
// until it is started again.
func TestSilentRelayGetsRequests(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := releaseProxy(now)
	var candidates []member.Candidate
	for _, name := range []string{"r1", "r2"} {
		candidates = append(candidates, member.Candidate{Name: name, Region: "x"})
	}
	p.Board.Members.SetCandidates(now, candidates)
	start := func(name string, life uint64) {
		p.Board.Members.Receive(now, wire.Packet{Kind: wire.Announce, From: name, Incarnation: life, Updates: []wire.Update{{Host: name, Life: life, State: wire.Alive}}})
	}
	start("r1", 5)
	start("r2", 5)
	// chosen returns the hosts that requests are relayed to.
	chosen := func() map[string]bool {
		out := map[string]bool{}
		for range 50 {
			if m, ok := p.relayHost(&task{Request: Request{Route: &rules.Route{}}, tried: map[string]bool{}}, "x"); ok {
				out[m.Name] = true
			}
		}
		return out
	}
	silence := func(name string) {
		for range 10 {
			p.Board.Acks.Open(now.Add(-time.Second), acks.Peer{Host: name, Incarnation: 5})
		}
	}
	if got := chosen(); !got["r1"] || !got["r2"] {
		t.Errorf("relayed to %v, want both hosts", got)
	}
	silence("r1")
	if got := chosen(); got["r1"] || !got["r2"] {
		t.Errorf("relayed to %v while r1 is silent, want r2", got)
	}
	silence("r2")
	if got := chosen(); len(got) != 0 {
		t.Errorf("relayed to %v while both hosts are silent, want none", got)
	}
	start("r1", 6)
	if got := chosen(); !got["r1"] || got["r2"] {
		t.Errorf("relayed to %v after r1 has started again, want r1", got)
	}
}

// TestBrokenErrorAnswerOfRelayIsPassedOn guards against an error answer that a relay of an older release sends with its
// refusal, with a head that HTTP does not allow or in an encoding that the caller did not ask for.
func TestBrokenErrorAnswerOfRelayIsPassedOn(t *testing.T) {
	p := releaseProxy(time.Unix(1_000_000, 0))
	for name, tt := range map[string]struct {
		head  wire.Head
		sound bool
	}{
		"sound":       {wire.NewHead(500, wire.Field{Name: "X-Odd", Value: "1"}), true},
		"no status":   {wire.Head{}, false},
		"above":       {wire.NewHead(600), false},
		"broken name": {wire.NewHead(500, wire.Field{Name: "X Odd", Value: "1"}), false},
		"encoded":     {wire.NewHead(500, wire.Field{Name: "Content-Encoding", Value: "gzip"}), false},
	} {
		task := &task{Request: Request{Route: &rules.Route{}}, tried: map[string]bool{}}
		end := &wire.End{Code: fault.EndpointError, Ran: fault.RanYes, Attempts: 1, Runs: 1, Answer: &wire.Answer{Head: tt.head}}
		res := p.relayResult(task, end, nil)
		if (res.errorAnswer != nil) != tt.sound || (res.refusal.Cause == nil) != tt.sound || res.ran != fault.RanYes || res.relayRuns != 1 {
			t.Errorf("%s: got answer %+v, cause %v, ran %s, want it passed on: %v", name, res.errorAnswer, res.refusal.Cause, res.ran, tt.sound)
		}
	}
}
