package endpt

import (
	"testing"
	"time"
)

const ms = time.Millisecond

var noon = time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC)

func TestMoreUrgentPromptsPassLessUrgentOnes(t *testing.T) {
	w := Waits{0: 10 * ms, 1: 300 * ms}
	if got := w.For(0); got >= 150*ms || got <= 10*ms {
		t.Errorf("an urgent one waits %v behind %v", got, w)
	}
	if got := w.For(1); got != 310*ms {
		t.Errorf("a less urgent one waits %v behind %v", got, w)
	}
	if w.For(-1) != w.For(0) || w.For(99) != w.For(9) {
		t.Error("priorities beyond the ranks are not bounded")
	}
}

func TestPendingOfAllHosts(t *testing.T) {
	table := NewTable()
	table.Sync(noon, []string{"e"})
	table.Pend("e", 1, 100*ms)
	table.Tell(noon, "other", map[string]Shared{"e": {Requests: 2, Pending: Waits{1: 50 * ms}}})
	table.Start(noon, "e")
	s := table.Get("e")
	if got := s.Pending(noon).For(1); got != 150*ms {
		t.Errorf("pending %v", got)
	}
	if got := s.Known(noon); got != 3 {
		t.Errorf("%v requests known", got)
	}
	if got := s.Pending(noon.Add(sharedLife)).For(1); got != 100*ms {
		t.Errorf("pending %v with what another told long ago", got)
	}
	table.Tell(noon, "other", nil)
	s = table.Get("e")
	if got := s.Known(noon); got != 1 {
		t.Errorf("%v requests known after the other has none", got)
	}
	table.Pend("e", 1, -time.Second)
	s = table.Get("e")
	if got := s.Pending(noon).For(1); got != 0 {
		t.Errorf("pending %v after all were read", got)
	}
	if got := table.Taken(); len(got) != 1 || got["e"].Requests != 1 {
		t.Errorf("taken %v", got)
	}
}

func TestColdRateHoldsInAnySecond(t *testing.T) {
	table := NewTable()
	var sent []time.Time
	for now := noon; now.Before(noon.Add(5 * time.Second)); now = now.Add(7 * ms) {
		if table.AdmitCold(now, "e", 3) {
			sent = append(sent, now)
		}
	}
	for i := 3; i < len(sent); i++ {
		if sent[i].Sub(sent[i-3]) < time.Second {
			t.Fatalf("four requests within a second, at %v", sent[i])
		}
	}
	if len(sent) < 12 {
		t.Errorf("only %d requests in 5 s", len(sent))
	}
}
