package proxy

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/flow"
)

// TestFailureDoesNotContinueStream guards against a stream that breaks off, is continued in another
// region, gets an endpoint's failure there and reaches its caller as complete: the head of the
// failure was dropped, as the caller has one, and its end taken for that of the stream.
func TestFailureDoesNotContinueStream(t *testing.T) {
	p := New()
	p.Board = board.New(time.Now(), "h", "a", "a-1", 1)
	for _, tt := range []struct {
		started bool
		status  int
		fails   bool
	}{{true, http.StatusInternalServerError, true}, {true, http.StatusOK, false}, {false, http.StatusInternalServerError, false}} {
		task := &task{Request: Request{Route: &rules.Route{Kind: rules.Stream, Resumable: true}}}
		task.report.Started = tt.started
		passed := 0
		sink := p.remoteSink(task, client.Sink{Head: func(wire.Head) error { passed++; return nil }})
		err := sink.Head(wire.Head{Status: tt.status})
		if (err != nil) != tt.fails || passed == 1 == tt.fails {
			t.Errorf("started %v, status %d: error %v, %d heads passed on", tt.started, tt.status, err, passed)
		}
		if !tt.fails {
			continue
		}
		res := p.relayResult(task, nil, fmt.Errorf("%w: %w", flow.ErrSink, err))
		if res.whole || res.callerLeft || res.ran != fault.RanYes || res.refusal == nil {
			t.Errorf("result is %+v, want a failed attempt that ran", res)
		}
	}
}
