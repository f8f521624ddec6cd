package proxy

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/route/usage"
)

// attemptResult is the result of one attempt in TestChargesOfAttempts.
type attemptResult struct {
	ran   fault.Ran
	relay int
	whole bool
}

// TestChargesOfAttempts: a request that did not run stays charged, one that may have run twice is
// charged once, or a retry of one that did not run is charged again.
func TestChargesOfAttempts(t *testing.T) {
	const cost = 100.0
	notRun, unknown, whole := attemptResult{ran: fault.RanNo}, attemptResult{ran: fault.RanUnknown}, attemptResult{whole: true}
	for _, tt := range []struct {
		name     string
		attempts []attemptResult
		want     float64
	}{
		{"no attempt", nil, 0},
		{"whole", []attemptResult{whole}, 1},
		{"not run", []attemptResult{notRun, notRun}, 0},
		{"not run, then whole", []attemptResult{notRun, whole}, 1},
		{"may have run, then whole", []attemptResult{unknown, whole}, 2},
		{"may have run, then not run, then whole", []attemptResult{unknown, notRun, whole}, 2},
		{"may have run, then not run", []attemptResult{unknown, notRun}, 1},
		{"may have run twice in another region", []attemptResult{{ran: fault.RanUnknown, relay: 2}}, 2},
		{"answered by another region after an attempt there that may have run", []attemptResult{{whole: true, relay: 1}}, 2},
	} {
		now := time.Unix(1_000_000, 0)
		p := New()
		p.Now, p.Log, p.Meter = func() time.Time { return now }, zerolog.Nop(), meter.New()
		p.Usage = usage.New(now.Add(-time.Minute), "h", usage.Bound{Window: 8 * time.Second})
		p.Usage.SetLimits(now.Add(-time.Minute), []usage.Limit{{Customer: "c", PerSecond: 1, Burst: 1000}})
		p.Usage.SetPeers(now.Add(-time.Minute), nil, nil, true)
		p.Usage.SetPeers(now.Add(-50*time.Second), nil, nil, true)
		now = now.Add(time.Hour)
		full := level(p)
		task := &task{Request: Request{ID: "r", Customer: &rules.Customer{Name: "c", Quota: rules.Quota{PerSecond: 1, Burst: 1000}}, Cost: cost}, ran: fault.RanNo}
		if refusal := p.takeUsage(task); refusal != nil {
			t.Fatalf("%s: %v", tt.name, refusal)
		}
		refusal := fault.New(fault.Busy, fault.RanNo, "busy")
		for _, a := range tt.attempts {
			p.chargeAttempt(task)
			if a.whole {
				task.relayRuns, refusal = a.relay, nil
				break
			}
			task.recordFailure(decision{region: "other"}, result{ran: a.ran, relayRuns: a.relay, refusal: refusal}, 0)
			refusal = refusal.WithRan(refusal.Ran.Combine(task.ran))
		}
		p.settleUsage(task, refusal)
		if got := full - level(p); got != tt.want*cost {
			t.Errorf("%s: %.0f is charged, want %.0f", tt.name, got, tt.want*cost)
		}
	}
}

func level(p *Proxy) float64 {
	s, _ := p.Usage.State(p.Now(), "c")
	return s.Level
}

// TestLimitRefusal: a request over its customer's limit is refused as if it might have run, without
// the time to come again, or with one although it will never be admitted.
func TestLimitRefusal(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := New()
	p.Now, p.Log, p.Meter = func() time.Time { return now }, zerolog.Nop(), meter.New()
	p.Usage = usage.New(now, "h", usage.Bound{Window: 8 * time.Second})
	p.Usage.SetLimits(now, []usage.Limit{{Customer: "c", PerSecond: 10, Burst: 100}})
	for _, tt := range []struct {
		customer string
		cost     float64
		refused  bool
		wait     bool
	}{{"c", 50, true, true}, {"c", 181, true, false}, {"unlimited", 1e9, false, false}} {
		refusal := p.takeUsage(&task{Request: Request{Customer: &rules.Customer{Name: tt.customer, Quota: rules.Quota{PerSecond: 10, Burst: 100}}, Cost: tt.cost}})
		if (refusal != nil) != tt.refused {
			t.Errorf("a request of %s for %.0f: refusal %v", tt.customer, tt.cost, refusal)
			continue
		}
		if refusal != nil && (refusal.Code != fault.RateLimit || refusal.Ran != fault.RanNo || (refusal.RetryAfter > 0) != tt.wait) {
			t.Errorf("a request for %.0f is refused with %v, ran %s, to come again after %v", tt.cost, refusal, refusal.Ran, refusal.RetryAfter)
		}
	}
	if refusal := p.takeUsage(&task{Request: Request{Cost: 50}}); refusal != nil {
		t.Errorf("a relayed request is charged: %v", refusal)
	}
}

// TestLimitPublishedWhileRequestRuns guards against a request that was not charged, as its customer
// had no limit when it arrived, returning its cost to a bucket that others have used since.
func TestLimitPublishedWhileRequestRuns(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	p := New()
	p.Now, p.Log, p.Meter = func() time.Time { return now }, zerolog.Nop(), meter.New()
	p.Usage = usage.New(now.Add(-time.Minute), "h", usage.Bound{Window: 8 * time.Second})
	task := &task{Request: Request{Customer: &rules.Customer{Name: "c"}, Cost: 50}, ran: fault.RanNo}
	if refusal := p.takeUsage(task); refusal != nil {
		t.Fatalf("refused without a limit: %v", refusal)
	}
	p.Usage.SetLimits(now, []usage.Limit{{Customer: "c", PerSecond: 1, Burst: 1000}, {Customer: "c", PerSecond: 1, Burst: 1000}})
	p.Usage.Charge(now, "c", 200)
	before, _ := p.Usage.State(now, "c")
	p.settleUsage(task, fault.New(fault.Busy, fault.RanNo, "busy"))
	if after, _ := p.Usage.State(now, "c"); after.Level != before.Level {
		t.Errorf("level is %v after the request ended, want %v", after.Level, before.Level)
	}
}
