package speeds

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// TestEstimatesConverge feeds the answers of an engine with a given base time and
// prefill rate, every tenth delayed by queueing, and checks both estimates.
func TestEstimatesConverge(t *testing.T) {
	for _, engine := range []struct {
		base time.Duration
		rate float64
	}{{80 * ms, 93}, {200 * ms, 20}, {10 * ms, 300}} {
		table := NewTable()
		for i := range 600 {
			tokens := 300
			if i%4 == 0 {
				tokens = 2000 + 50*(i%100)
			}
			took := engine.base + time.Duration(float64(tokens)/engine.rate*float64(ms))
			if i%10 == 0 {
				took += 100 * ms
			}
			table.ObserveFirstToken("s", tokens, took)
		}
		if got := table.BaseTime("s"); got < engine.base*7/10 || got > engine.base*13/10+5*ms {
			t.Errorf("base time = %v, want about %v", got, engine.base)
		}
		want := time.Duration(10_000 / engine.rate * float64(ms))
		if got := table.PrefillTime("s", 10_000); got < want*7/10 || got > want*15/10 {
			t.Errorf("prefill time of 10,000 tokens = %v, want about %v", got, want)
		}
	}
}

func TestAnswerTime(t *testing.T) {
	table := NewTable()
	for range 100 {
		table.ObserveAnswer("s", 200*ms)
	}
	if got := table.AnswerTime("s"); got < 190*ms || got > 210*ms {
		t.Errorf("answer time = %v, want about 200ms", got)
	}
	if table.AnswerTime("other") != initialAnswerTime {
		t.Error("a sample of service s changed the estimate of another service")
	}
}
