package relay

import (
	"context"
	"errors"
	"io"
	"log"
	"sync/atomic"
	"testing"
	"time"

	"github.com/panjf2000/ants/v2"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/base/memory"
	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/certs"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/link"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/flow"
)

// newLinks returns a function that opens the link of a host.
func newLinks(t *testing.T) func(name string, h link.Handlers) *link.Link {
	t.Helper()
	ca, err := certs.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	return func(name string, h link.Handlers) *link.Link {
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
}

// TestBrokenRelayEndsAnswerAsWhole guards against an answer that a host takes for whole although its
// relay failed, or a part of it could not be written.
func TestBrokenRelayEndsAnswerAsWhole(t *testing.T) {
	open := newLinks(t)
	pool, err := ants.NewPool(4, ants.WithNonblocking(true), ants.WithLogger(log.New(io.Discard, "", 0)))
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Release()
	begin := func(sink client.Sink) error {
		return errors.Join(sink.Head(wire.NewHead(200)), sink.Data([]byte("id: 0\ndata: x\n\n")))
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
			_ = sink.Head(wire.NewHead(500))
			return Result{}
		}, false},
	} {
		h := &Handler{
			Board: board.New(time.Now(), "relay", "b", "b-1", 1), Meter: meter.New(), Pool: pool, MaxBody: 1 << 20, Bodies: memory.NewAccount(2 << 20), Now: time.Now,
		}
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
		end, err := flow.Exchange(t.Context(), entry, "relay", relay.Address(), wire.Request{ID: "r", Method: "POST", Path: "/x", Routing: &wire.Routing{}}, sink, 10*time.Second)
		if whole := err == nil && end.Code == ""; whole != tt.whole || body != "id: 0\ndata: x\n\n" {
			t.Errorf("%s: got end %+v, error %v, body %q, want whole %v", tt.name, end, err, body, tt.whole)
		}
	}
}

// TestRelayedBodiesExceedTheAccount: a relay without room for a body refuses the request as not run, holds no more than its
// account, and serves what else its peer host sends on the same connection.
func TestRelayedBodiesExceedTheAccount(t *testing.T) {
	const size, limit, count = 1 << 20, 5 << 20, 8
	open := newLinks(t)
	pool, err := ants.NewPool(2*count, ants.WithNonblocking(true), ants.WithLogger(log.New(io.Discard, "", 0)))
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Release()
	var most atomic.Int64
	bodies := memory.NewAccount(limit, memory.WithLevel(func(bytes int) { most.Store(max(most.Load(), int64(bytes))) }))
	h := &Handler{Board: board.New(time.Now(), "relay", "b", "b-1", 1), Meter: meter.New(), Pool: pool, MaxBody: size, Bodies: bodies, Now: time.Now}
	h.Board.Health.MarkFresh()
	served, release := make(chan struct{}, count), make(chan struct{})
	h.ServeRouted = func(_ context.Context, msg *wire.Request, sink client.Sink) Result {
		if len(msg.Body) == size {
			served <- struct{}{}
			<-release
		}
		_ = sink.Head(wire.NewHead(200))
		return Result{}
	}
	relay, entry := open("relay", link.Handlers{Stream: h.Stream}), open("entry", link.Handlers{})
	sink := client.Sink{Head: func(wire.Head) error { return nil }, Data: func([]byte) error { return nil }}
	send := func(bytes int) (*wire.End, error) {
		msg := wire.Request{ID: "r", Method: "POST", Path: "/x", Routing: &wire.Routing{}, Body: make([]byte, bytes)}
		return flow.Exchange(t.Context(), entry, "relay", relay.Address(), msg, sink, 10*time.Second)
	}
	type outcome struct {
		end *wire.End
		err error
	}
	outcomes := make(chan outcome, count)
	for range count {
		go func() {
			end, err := send(size)
			outcomes <- outcome{end, err}
		}()
	}
	// Three bodies of 1 MiB with their overhead leave no room for a fourth in three quarters of 5 MiB.
	for range 3 {
		<-served
	}
	for range count - 3 {
		o := <-outcomes
		if o.err != nil || o.end.Code != fault.Busy || o.end.Ran != fault.RanNo {
			t.Errorf("got end %+v, error %v, want %s, not run", o.end, o.err, fault.Busy)
		}
	}
	if end, err := send(10); err != nil || end.Code != "" {
		t.Errorf("small body beside them: got end %+v, error %v, want it served", end, err)
	}
	close(release)
	for range 3 {
		if o := <-outcomes; o.err != nil || o.end.Code != "" {
			t.Errorf("got end %+v, error %v, want it served", o.end, o.err)
		}
	}
	if most.Load() > limit {
		t.Errorf("%d bytes were held, limit %d", most.Load(), limit)
	}
}

// TestRelayedRequestOfOlderReleaseRuns guards against a request that a host of an older release relays without a check, and that
// would be two requests, or another one, where its endpoint reads it.
func TestRelayedRequestOfOlderReleaseRuns(t *testing.T) {
	open := newLinks(t)
	pool, err := ants.NewPool(4)
	if err != nil {
		t.Fatal(err)
	}
	defer pool.Release()
	h := &Handler{Board: board.New(time.Now(), "relay", "b", "b-1", 1), Meter: meter.New(), Pool: pool, MaxBody: 1 << 20, Bodies: memory.NewAccount(2 << 20), Now: time.Now}
	h.Board.Health.MarkFresh()
	var runs atomic.Int32
	h.ServeRouted = func(_ context.Context, _ *wire.Request, sink client.Sink) Result {
		runs.Add(1)
		_ = sink.Head(wire.NewHead(200))
		return Result{}
	}
	relay, entry := open("relay", link.Handlers{Stream: h.Stream}), open("entry", link.Handlers{})
	sound := func() wire.Request {
		return wire.Request{ID: "r", Method: "POST", Path: "/x?y=\xc3\xa9", Fields: []wire.Field{{Name: "X", Value: "caf\xe9"}}, Routing: &wire.Routing{Host: "h:1"}}
	}
	for name, change := range map[string]func(r *wire.Request){
		"sound":                  func(*wire.Request) {},
		"line end in the method": func(r *wire.Request) { r.Method = "GET / HTTP/1.1\r\n" },
		"blank in the target":    func(r *wire.Request) { r.Path = "/x HTTP/1.1" },
		"line end in the target": func(r *wire.Request) { r.Path = "/x\r\nA:b" },
		"line end in the host":   func(r *wire.Request) { r.Routing.Host = "h\r\nA: b" },
		"blank in a name":        func(r *wire.Request) { r.Fields[0].Name = "Content-Length " },
		"NUL in a name":          func(r *wire.Request) { r.Fields[0].Name = "X\x00" },
		"line end in a value":    func(r *wire.Request) { r.Fields[0].Value = "x\r\nContent-Length: 5" },
		"line end in the id":     func(r *wire.Request) { r.ID = "r\r\nA: b" },
		"length":                 func(r *wire.Request) { r.Fields[0].Name = "content-length" },
		"chunks":                 func(r *wire.Request) { r.Fields[0].Name = "Transfer-Encoding" },
		"host among the fields":  func(r *wire.Request) { r.Fields[0].Name = "Host" },
		"by the inventory":       func(r *wire.Request) { r.Role, r.Routing, r.Path = wire.Home, nil, "/x\ny" },
	} {
		r := sound()
		change(&r)
		runs.Store(0)
		sink := client.Sink{Head: func(wire.Head) error { return nil }, Data: func([]byte) error { return nil }}
		end, err := flow.Exchange(t.Context(), entry, "relay", relay.Address(), r, sink, 10*time.Second)
		if name == "sound" {
			if err != nil || end.Code != "" || runs.Load() != 1 {
				t.Errorf("%s: got end %+v, error %v", name, end, err)
			}
			continue
		}
		if err != nil || end.Code != fault.BadRequest || end.Ran != fault.RanNo || runs.Load() != 0 {
			t.Errorf("%s: got end %+v, error %v, %d runs, want %s", name, end, err, runs.Load(), fault.BadRequest)
		}
	}
}
