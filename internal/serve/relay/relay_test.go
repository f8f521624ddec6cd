package relay

import (
	"context"
	"errors"
	"io"
	"log"
	"testing"
	"time"

	"github.com/panjf2000/ants/v2"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/certs"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/link"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/flow"
)

// TestBrokenRelayEndsAnswerAsWhole guards against an answer that a host takes for whole although its
// relay failed, or a part of it could not be written.
func TestBrokenRelayEndsAnswerAsWhole(t *testing.T) {
	ca, err := certs.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	open := func(name string, h link.Handlers) *link.Link {
		creds, err := ca.Issue(name, time.Now(), time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		l, err := link.New("127.0.0.1:0", creds)
		if err != nil {
			t.Fatal(err)
		}
		l.Serve(h)
		t.Cleanup(func() { _ = l.Close() })
		return l
	}
	pool, err := ants.NewPool(4, ants.WithNonblocking(true), ants.WithLogger(log.New(io.Discard, "", 0)))
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Release()
	begin := func(sink client.Sink) error {
		return errors.Join(sink.Head(wire.Head{Status: 200}), sink.Data([]byte("id: 0\ndata: x\n\n")))
	}
	for _, tt := range []struct {
		name  string
		serve func(sink client.Sink) Result
		whole bool
	}{
		{"whole", func(client.Sink) Result { return Result{} }, true},
		{"refused", func(client.Sink) Result { return Result{Refusal: fault.New(fault.Truncated, fault.RanYes, "cut off")} }, false},
		{"panic", func(client.Sink) Result { panic("no answer") }, false},
		{"event too large for a frame", func(sink client.Sink) Result {
			if sink.Data(make([]byte, wire.MaxFrame+1)) == nil {
				t.Error("the event was written")
			}
			return Result{Refusal: fault.New(fault.Cancelled, fault.RanYes, "caller disconnected")}
		}, false},
		{"second head", func(sink client.Sink) Result {
			_ = sink.Head(wire.Head{Status: 500})
			return Result{}
		}, false},
	} {
		h := &Handler{Board: board.New(time.Now(), "relay", "b", "b-1", 1), Meter: meter.New(), Pool: pool, MaxBody: 1 << 20, Now: time.Now}
		h.Board.Health.MarkFresh()
		h.ServeRouted = func(_ context.Context, _ *wire.Request, sink client.Sink) Result {
			if err := begin(sink); err != nil {
				t.Error(err)
			}
			return tt.serve(sink)
		}
		relay, entry := open("relay", link.Handlers{Stream: h.Stream}), open("entry", link.Handlers{})
		body := ""
		sink := client.Sink{Head: func(wire.Head) error { return nil }, Data: func(p []byte) error { body += string(p); return nil }}
		end, err := flow.Exchange(t.Context(), entry, "relay", relay.Address(), wire.Request{ID: "r", Routing: &wire.Routing{}}, sink, 10*time.Second)
		if whole := err == nil && end.Code == ""; whole != tt.whole || body != "id: 0\ndata: x\n\n" {
			t.Errorf("%s: got end %+v, error %v, body %q, want whole %v", tt.name, end, err, body, tt.whole)
		}
	}
}
