package endpt

import (
	"testing"
	"time"
)

const ms = time.Millisecond

var noon = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func TestQueuedPrefillByPriority(t *testing.T) {
	w := QueuedPrefill{0: 10 * ms, 1: 300 * ms}
	if got := w.Ahead(0); got >= 150*ms || got <= 10*ms {
		t.Errorf("urgent request waits %v with queued prefill %v, want between 10ms and 150ms", got, w)
	}
	if got := w.Ahead(1); got != 310*ms {
		t.Errorf("less urgent request waits %v with queued prefill %v, want 310ms", got, w)
	}
	if w.Ahead(-1) != w.Ahead(0) || w.Ahead(99) != w.Ahead(9) {
		t.Error("priorities -1 and 99 are not bounded to ranks 0 and 9")
	}
}

func TestQueuedPrefillOfAllHosts(t *testing.T) {
	table := NewTable()
	table.Sync(noon, []string{"e"})
	table.AddQueuedPrefill("e", 1, 100*ms)
	table.SetPeerLoads(noon, "other", map[string]HostLoad{"e": {Requests: 2, QueuedPrefill: QueuedPrefill{1: 50 * ms}}})
	table.StartRequest(noon, "e")
	s := table.Get("e")
	if got := s.QueuedPrefill(noon).Ahead(1); got != 150*ms {
		t.Errorf("queued prefill = %v, want 150ms", got)
	}
	if got := s.KnownInFlight(noon); got != 3 {
		t.Errorf("%v in-flight requests known, want 3", got)
	}
	if got := s.QueuedPrefill(noon.Add(peerLoadTTL)).Ahead(1); got != 100*ms {
		t.Errorf("queued prefill = %v after the peer host's load expired, want 100ms", got)
	}
	table.SetPeerLoads(noon, "other", nil)
	s = table.Get("e")
	if got := s.KnownInFlight(noon); got != 1 {
		t.Errorf("%v in-flight requests known after the peer host announced none, want 1", got)
	}
	table.AddQueuedPrefill("e", 1, -time.Second)
	s = table.Get("e")
	if got := s.QueuedPrefill(noon).Ahead(1); got != 0 {
		t.Errorf("queued prefill = %v after all first tokens, want 0", got)
	}
	if got := table.HostLoads(); len(got) != 1 || got["e"].Requests != 1 {
		t.Errorf("load of this host = %v, want 1 request at e", got)
	}
}

// TestPeerPrefillShrinks: engines go on prefilling after a peer host announced its queued
// prefill, the most urgent first.
func TestPeerPrefillShrinks(t *testing.T) {
	table := NewTable()
	table.Sync(noon, []string{"e"})
	table.AddQueuedPrefill("e", 1, 100*ms)
	table.SetPeerLoads(noon, "other", map[string]HostLoad{"e": {Requests: 2, QueuedPrefill: QueuedPrefill{0: 40 * ms, 1: 50 * ms}}})
	s := table.Get("e")
	tests := []struct {
		age          time.Duration
		urgent, rest time.Duration
	}{{0, 40 * ms, 150 * ms}, {30 * ms, 10 * ms, 150 * ms}, {60 * ms, 0, 130 * ms}, {time.Second, 0, 100 * ms}}
	for _, tt := range tests {
		got := s.QueuedPrefill(noon.Add(tt.age))
		if got[0] != tt.urgent || got[1] != tt.rest {
			t.Errorf("%v after the announcement: queued prefill %v and %v, want %v and %v", tt.age, got[0], got[1], tt.urgent, tt.rest)
		}
	}
}

func TestColdRateLimitHoldsInAnySecond(t *testing.T) {
	table := NewTable()
	var sent []time.Time
	for now := noon; now.Before(noon.Add(5 * time.Second)); now = now.Add(7 * ms) {
		if table.AdmitCold(now, "e", 3) {
			sent = append(sent, now)
		}
	}
	for i := 3; i < len(sent); i++ {
		if sent[i].Sub(sent[i-3]) < time.Second {
			t.Fatalf("four requests within a second, the last at %v; want at most 3", sent[i])
		}
	}
	if len(sent) < 12 {
		t.Errorf("%d requests in 5 s, want at least 12", len(sent))
	}
}

// TestColdRateLimitIgnoresEarlierRequests: requests sent shortly before it became known that
// the endpoint is cold count towards its rate.
func TestColdRateLimitIgnoresEarlierRequests(t *testing.T) {
	const share = 3
	table, now := NewTable(), time.Unix(1000, 0)
	for range share + 2 {
		table.RecordWarm(now, "e")
	}
	if table.AdmitCold(now.Add(coldWindow/2), "e", share) {
		t.Error("AdmitCold = true right after a share of requests, want false")
	}
	now = now.Add(coldWindow)
	for i := range share {
		if !table.AdmitCold(now, "e", share) {
			t.Errorf("request %d a window later was not admitted", i)
		}
	}
	if table.AdmitCold(now, "e", share) {
		t.Error("AdmitCold = true beyond the share, want false")
	}
}
