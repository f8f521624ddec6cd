package proxy

import (
	"errors"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/flow"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/head"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/splice"
)

// olderHead returns the head that a host of an older release relays.
func olderHead(t *testing.T, status int) wire.Head {
	t.Helper()
	data, err := wire.Encode(map[int]any{1: status, 2: [][]string{{"X-Signed-By", "e"}}, 3: "e"})
	if err != nil {
		t.Fatal(err)
	}
	var h wire.Head
	if err := wire.Decode(data, &h); err != nil {
		t.Fatal(err)
	}
	return h
}

// TestRelayedStatusOfOlderRelease guards against a status that a host of an older release relays in the place of the endpoint's,
// with its signature, and against one that states that a request has not run.
func TestRelayedStatusOfOlderRelease(t *testing.T) {
	for status := 400; status <= 599; status++ {
		for _, older := range []bool{true, false} {
			h := wire.NewHead(status, wire.Field{Name: "X-Signed-By", Value: "e"}).WithEndpoint("e")
			if older {
				h = olderHead(t, status)
			}
			name := fmt.Sprintf("%d, older release %v", status, older)
			p := releaseProxy(time.Unix(1_000_000, 0))
			task := &task{Request: Request{Route: &rules.Route{}}, tried: map[string]bool{}}
			passed := 0
			sink := p.observedSink(task, client.Sink{Head: func(got wire.Head) error {
				if passed++; got.Status() != status {
					t.Errorf("%s: the status became %d", name, got.Status())
				}
				return nil
			}})
			err := p.remoteSink(task, sink).Head(h)
			refused := fault.StatesNotRun(status) || older && status == http.StatusBadGateway
			if errors.Is(err, head.ErrStatus) != refused || (err != nil) != refused || (passed == 0) != refused {
				t.Errorf("%s: got error %v, %d heads passed on", name, err, passed)
			}
			if refused {
				res := p.relayResult(task, nil, fmt.Errorf("%w: %w", flow.ErrSink, err))
				if res.callerLeft || res.ran != fault.RanYes || res.refusal.Code != fault.EndpointError {
					t.Errorf("%s: got result %+v", name, res)
				}
			}
			// An answer in a refusal is as the endpoint gave it, also from an older release.
			task.report, task.received = Report{}, splice.Answer{}
			end := &wire.End{Code: fault.EndpointError, Ran: fault.RanYes, Attempts: 1, Runs: 1, Answer: &wire.Answer{Head: h}}
			if res := p.relayResult(task, end, nil); (res.errorAnswer == nil) != fault.StatesNotRun(status) {
				t.Errorf("%s: answer of a refusal %+v", name, res.errorAnswer)
			}
		}
	}
}
