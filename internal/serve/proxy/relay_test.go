package proxy

import (
	"testing"
	"time"

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
