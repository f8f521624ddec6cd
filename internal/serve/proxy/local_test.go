package proxy

import (
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/terms"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
)

// TestHasAlternative loads the endpoints of a region and checks whether a stream that is
// silent at one of them would be served by another.
func TestHasAlternative(t *testing.T) {
	const target = 800 * time.Millisecond
	now := time.Unix(1_000_000, 0)
	tests := []struct {
		name string
		// queued is the queued prefill of the other endpoint; nil means that there is none.
		queued   *time.Duration
		runs     int
		slack    float64
		failedAt time.Duration
		want     bool
	}{
		{"idle endpoint", new(time.Duration), 0, 100, time.Second, true},
		{"no other endpoint", nil, 0, 100, time.Second, false},
		{"endpoint with a long queue", duration(3 * time.Second), 0, 100, time.Second, false},
		{"attempts used up", new(time.Duration), 1, 100, time.Second, false},
		{"retry budget used up", new(time.Duration), 0, 0, time.Second, false},
	}
	for _, tt := range tests {
		p := New()
		p.Board = board.New(now, "h", "r", "c", 1)
		p.Now = func() time.Time { return now }
		p.Budget = retry.NewFleetBudget(retry.Bound{Slack: tt.slack, Window: 10 * time.Second}, func() int { return 1 })
		route := &rules.Route{Kind: rules.Stream, Resumable: true, Prompts: true, Target: target}
		p.Board.Routes.Apply(rules.New(1, []rules.Route{*route}, []rules.Service{{Name: "s"}}, rules.Limits{}))
		p.Board.Registry.Put(regis.Endpoint{ID: "silent", Service: "s", Centre: "c", Region: "r", Slots: 12, Revision: 1})
		if tt.queued != nil {
			p.Board.Registry.Put(regis.Endpoint{ID: "other", Service: "s", Centre: "c", Region: "r", Slots: 12, Revision: 2})
			p.Board.Endpoints.AddQueuedPrefill("other", 0, *tt.queued)
		}
		start := now.Add(-tt.failedAt)
		task := &task{
			Request: Request{
				Route: route, Service: "s", Prompt: terms.Prompt{Tokens: 300}, Arrived: start, Deadline: now.Add(4 * time.Second), AttemptsLeft: 2,
			},
			tried: map[string]bool{"silent": true}, runs: tt.runs,
		}
		if got := p.hasAlternative(task, start); got != tt.want {
			t.Errorf("%s: hasAlternative = %v, want %v", tt.name, got, tt.want)
		}
	}
}

func duration(d time.Duration) *time.Duration { return &d }
