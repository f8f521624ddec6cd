package host

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/certs"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/link"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/basis"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/engine"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/platf"
)

// TestRelayedIsNotRelayed: hosts with opposite beliefs do not bounce a request,
// and a request that claims to come from elsewhere is refused.
func TestRelayedIsNotRelayed(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a", "b1": "b"}, engines: map[string]string{"ea": "a", "eb": "b"}})
	// Each host holds its own engine for failing and the other region for free.
	for name, h := range f.hosts {
		e := "e" + f.plan.hosts[name]
		f.engines[e].SetFault(engine.Fault{Status: 500, Leaving: true, Down: true})
		h.board.Endpoints.Left(time.Now(), e)
	}
	r := f.send(context.Background(), "a1", "POST", chatPath, chat(1, true))
	if p := r.problem(t); p.Error.Ran != "no" {
		t.Errorf("opposite beliefs: %+v", p)
	}
	// With only its own engine gone, the other region still does not send it back.
	f.engines["ea"].SetFault(engine.Fault{})
	a, b := f.hosts["a1"], f.set["b1"]
	open := func(change func(*wire.Open)) fault.Code {
		o := wire.Open{
			Role: wire.Relay, ID: "x", Caller: "app", Service: "chat", Method: "POST", Path: chatPath,
			Body: []byte(chat(1, false)), LeftMS: 5000, From: "a", Revision: 1,
		}
		change(&o)
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		end, err := a.flow.Exchange(ctx, "b1", b.Peers, o, discard(), patience)
		if err != nil {
			t.Fatal(err)
		}
		return end.Code
	}
	tests := []struct {
		name   string
		change func(*wire.Open)
		want   fault.Code
	}{
		{"nothing free in its region", func(*wire.Open) {}, fault.NoEndpoint},
		{"false origin", func(o *wire.Open) { o.From = "b" }, fault.Forbidden},
		{"unknown origin", func(o *wire.Open) { o.From = "z" }, fault.Forbidden},
		{"unknown caller", func(o *wire.Open) { o.Caller = "z" }, fault.Forbidden},
		{"unknown service", func(o *wire.Open) { o.Service = "z" }, fault.NoService},
		{"newer configuration", func(o *wire.Open) { o.Revision = 99 }, fault.NotReady},
		{"unknown role", func(o *wire.Open) { o.Role = 9 }, fault.BadRequest},
		{"late", func(o *wire.Open) { o.LeftMS = 0 }, fault.Deadline},
	}
	for _, tt := range tests {
		if got := open(tt.change); got != tt.want {
			t.Errorf("%s: %s, want %s", tt.name, got, tt.want)
		}
	}
	if n := len(f.engines["ea"].Records()) + len(f.engines["eb"].Records()); n != 0 {
		t.Errorf("%d requests ran", n)
	}
}

// TestIsolatedRegion: with every other region and the platform silent, a region
// serves its own callers, also those whose requests went to other regions.
func TestIsolatedRegion(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts:   map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"},
		engines: map[string]string{"ea": "a", "eb": "b", "eb2": "b", "eb3": "b", "eb4": "b", "eb5": "b", "eb6": "b"},
		engine:  engine.Config{Decode: 5 * time.Millisecond},
	})
	f.isolate("a")
	f.platform.SetFault(platf.Fault{Frozen: true})
	var wait sync.WaitGroup
	for i := range 60 {
		wait.Go(func() {
			id := fmt.Sprintf("r%d", i)
			r := f.send(context.Background(), f.order[i%2], "POST", chatPath, chat(8, true), field("X-Request-Id", id))
			if !r.ok() || contents(t, r.body) != engine.Text(id, 8) {
				t.Errorf("%s: %d %q", id, r.status, r.body)
			}
		})
	}
	wait.Wait()
	f.heal()
	f.platform.SetFault(platf.Fault{})
	f.joined()
}

// TestSilentLink: when the flows between two regions go silent for good while
// new ones work, requests go on over new connections.
func TestSilentLink(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts:   map[string]string{"a1": "a", "b1": "b"},
		engines: map[string]string{"eb": "b"}, engine: engine.Config{Decode: 30 * time.Millisecond},
	})
	if r := f.send(context.Background(), "a1", "POST", chatPath, chat(2, true)); !r.ok() {
		t.Fatalf("before: %d %q", r.status, r.body)
	}
	streaming := make(chan reply)
	go func() {
		streaming <- f.send(context.Background(), "a1", "POST", chatPath, chat(200, true), field("X-Request-Id", "long"))
	}()
	f.eventually("tokens flow", func() bool {
		r := f.engines["eb"].Records()
		return len(r) == 2 && r[1].Emitted > 3
	})
	f.silence("a1")
	for i := range 3 {
		if r := f.send(context.Background(), "a1", "POST", chatPath, chat(2, true)); !r.ok() {
			t.Errorf("request %d on the silent link: %d %q", i, r.status, r.body)
		}
	}
	// Heartbeats are flows too: the hosts find each other again.
	f.joined()
	// The stream that was under way ends honestly, soon, and not as if whole.
	if r := <-streaming; r.res.Whole || strings.Contains(r.body, "[DONE]") || !strings.Contains(r.body, "event: error") {
		t.Errorf("the stream under way: %q", r.body[max(0, len(r.body)-200):])
	}
}

// TestLeavingEndpoint: an endpoint that leaves by the inventory, the host list
// or its own answers gets no new work at any host, with the platform down too.
func TestLeavingEndpoint(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		leave func(f *fleet)
	}{
		{"inventory", func(f *fleet) { f.plan.listed = []string{"e1"}; f.publish("") }},
		{"host list", func(f *fleet) { f.platform.SetState("e1", "leaving") }},
		{"own load reports", func(f *fleet) { f.engines["e1"].SetFault(engine.Fault{Leaving: true}) }},
		{"own answers, platform down", func(f *fleet) {
			f.platform.SetFault(platf.Fault{Down: true})
			f.engines["e1"].SetFault(engine.Fault{Leaving: true})
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, plan{
				hosts:   map[string]string{"a1": "a", "a2": "a", "a3": "a", "b1": "b"},
				engines: map[string]string{"e1": "a", "e2": "a"}, engine: engine.Config{Decode: 5 * time.Millisecond},
			})
			long := make(chan reply)
			go func() {
				long <- f.send(context.Background(), "a1", "POST", chatPath, chat(300, true), field("X-Request-Id", "long"))
			}()
			f.eventually("a long answer is under way", func() bool {
				return len(f.engines["e1"].Records())+len(f.engines["e2"].Records()) == 1
			})
			tt.leave(f)
			f.eventually("every host of the region knows", func() bool {
				for name, h := range f.hosts {
					inv := h.board.Revisions.Inventory()
					e, _ := inv.Endpoint("e1")
					st := h.board.Endpoints.Get("e1")
					if f.plan.hosts[name] == "a" && !e.Leaving && !st.Leaving() && !h.board.Leaving("e1", time.Now()) {
						return false
					}
				}
				return true
			})
			before := len(f.engines["e1"].Records())
			for i := range 12 {
				r := f.send(context.Background(), f.order[i%4], "POST", chatPath, fmt.Sprintf(`{"model":"chat","stream":true,"prompt":"%d"}`, i))
				if !r.ok() {
					t.Errorf("request %d: %d %q", i, r.status, r.body)
				}
			}
			if n := len(f.engines["e1"].Records()) - before; n != 0 {
				t.Errorf("a leaving endpoint got %d requests", n)
			}
			if r := <-long; !r.ok() || contents(t, r.body) != engine.Text("long", 300) {
				t.Errorf("the answer under way was cut: %v", r.res.Err)
			}
		})
	}
}

// TestRollingReplacement: all hosts are replaced one after the other under
// load; no request that was taken is cut, and refusals are true.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts:   map[string]string{"a1": "a", "a2": "a", "b1": "b"},
		engines: map[string]string{"e1": "b", "e2": "b"}, plains: map[string]string{"p1": "b"},
		engine: engine.Config{Slots: 64, Decode: 10 * time.Millisecond},
	})
	// a1 stays as the entry; what it sends to b must survive b's replacement.
	f.plan.hosts["b2"] = "b"
	f.settle("b2")
	f.publish("")
	f.start("b2")
	f.joined()
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for i := range 8 {
		wait.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("w%d-%d", i, n)
				r := f.send(context.Background(), "a1", "POST", chatPath, chat(30, true), field("X-Request-Id", id))
				if !r.ok() || contents(t, r.body) != engine.Text(id, 30) {
					t.Errorf("%s was cut: %d %q %v", id, r.status, r.body, r.res.Err)
					return
				}
				mu.Lock()
				answered++
				mu.Unlock()
			}
		})
	}
	for _, name := range []string{"b1", "b2", "a2"} {
		h := f.hosts[name]
		if !h.Drain(context.Background()) {
			t.Errorf("%s did not become idle", name)
		}
		f.stop(name)
		f.start(name)
		f.joined()
	}
	cancel()
	wait.Wait()
	if answered == 0 {
		t.Error("nothing was answered")
	}
}

// TestDrainRefuses: a leaving host says where to go and keeps what it has.
func TestDrainRefuses(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts:   map[string]string{"a1": "a", "a2": "a"},
		engines: map[string]string{"e1": "a"}, plains: map[string]string{"p1": "a"},
		engine: engine.Config{Decode: 10 * time.Millisecond},
	})
	old := f.key("a1") + ".done"
	if r := f.operate("a1", old); r.status != 200 {
		t.Fatalf("operation: %d %q", r.status, r.body)
	}
	long := make(chan reply)
	go func() {
		long <- f.send(context.Background(), "a1", "POST", chatPath, chat(400, true), field("X-Request-Id", "long"))
	}()
	f.eventually("a long answer is under way", func() bool { return len(f.engines["e1"].Records()) == 1 })
	drained := make(chan bool)
	go func() { drained <- f.hosts["a1"].Drain(context.Background()) }()
	f.eventually("the host refuses", func() bool {
		return f.send(context.Background(), "a1", "POST", chatPath, chat(1, true)).status == 503
	})
	r := f.send(context.Background(), "a1", "POST", chatPath, chat(1, true))
	if p := r.problem(t); p.Error.Code != "leaving" || p.Error.Ran != "no" || r.fields["X-Try-Host"] != f.set["a2"].Callers || r.fields["Retry-After"] == "" {
		t.Errorf("refusal: %+v %v", p, r.fields)
	}
	if r := f.operate("a2", old); r.status != 200 {
		t.Errorf("a finished operation of a leaving home: %d %q", r.status, r.body)
	}
	if r := <-long; !r.ok() || contents(t, r.body) != engine.Text("long", 400) {
		t.Errorf("the answer under way was cut: %v", r.res.Err)
	}
	if !<-drained {
		t.Error("host did not become idle")
	}
}

// TestStrangersAreKeptOut: hosts take streams only of certificates of their own
// authority that are valid and name the host that was meant.
func TestStrangersAreKeptOut(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a"}, engines: map[string]string{"e1": "a"}})
	now := time.Now()
	other, err := certs.NewAuthority(now, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	issue := func(a *certs.Authority, name string, at time.Time, life time.Duration) *certs.Set {
		s, err := a.Issue(name, at, life)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	expired := issue(f.keys, "b1", now.Add(-24*time.Hour), time.Hour)
	foreign := issue(other, "b1", now, time.Hour)
	good := issue(f.keys, "b1", now, time.Hour)
	tests := []struct {
		name string
		set  *certs.Set
		meet string
		ok   bool
	}{
		{"good", good, "a1", true},
		{"expired", expired, "a1", false},
		{"other authority", foreign, "a1", false},
		{"host of another name", good, "a2", false},
		{"no certificate", &certs.Set{Cert: tls.Certificate{}, CA: good.CA, Fleet: good.Fleet}, "a1", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, err := link.New(ownIP()+":7301", tt.set)
			if err != nil {
				t.Fatal(err)
			}
			l.Serve(link.Handlers{})
			defer func() { _ = l.Close() }()
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			s, err := l.Open(ctx, tt.meet, f.set["a1"].Peers)
			if err == nil {
				defer s.Abort()
				err = s.Write(wire.Frame{Fetch: &wire.Fetch{}}, time.Now().Add(patience))
			}
			if err == nil {
				s.Finish()
				_, err = s.Read(wire.MaxFrame, time.Now().Add(patience))
			}
			if (err == nil) != tt.ok {
				t.Errorf("err = %v, want ok %v", err, tt.ok)
			}
			var idle *quic.IdleTimeoutError
			if errors.As(err, &idle) {
				t.Errorf("it was not refused but silent: %v", err)
			}
		})
	}
}

// TestForgedDatagrams: what is not sealed by the fleet changes nothing.
func TestForgedDatagrams(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a", "a2": "a"}, engines: map[string]string{"e1": "a"}})
	stranger, err := certs.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	set, err := stranger.Issue("a2", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	l, err := link.New(ownIP()+":7301", set)
	if err != nil {
		t.Fatal(err)
	}
	l.Serve(link.Handlers{Packet: func(wire.Packet, int) {}, Dropped: func(error) {}})
	defer func() { _ = l.Close() }()
	for range 20 {
		_, err := l.Send(f.set["a1"].Peers, wire.Packet{
			Kind: wire.Announce, From: "a2", Life: 1 << 60, Leaving: true, Revision: 99,
			Updates: []wire.Update{{Host: "a2", Life: 1 << 60, State: wire.Left}},
		})
		if err != nil {
			t.Fatal(err)
		}
	}
	for range 3 {
		if r := f.send(context.Background(), "a1", "POST", chatPath, chat(1, true)); !r.ok() {
			t.Fatalf("%d %q", r.status, r.body)
		}
	}
	if m, _ := f.hosts["a1"].board.Members.Member("a2"); m.Life == 1<<60 || m.Leaving {
		t.Errorf("a forged claim was taken: %+v", m)
	}
}

func discard() client.Sink {
	return client.Sink{Head: func(wire.Head) error { return nil }, Data: func([]byte) error { return nil }}
}

// TestReportUnderWayIsOlder: an endpoint that says in an answer that it leaves,
// while a load report of before is on its way, is held to that.
func TestReportUnderWayIsOlder(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a"}})
	h := f.hosts["a1"]
	s, err := basis.Serve("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		h.board.Endpoints.Left(time.Now(), "e")
		basis.WriteJSON(w, http.StatusOK, report{})
	}))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	h.pollOne(t.Context(), invent.Endpoint{Name: "e", Address: s.Address()})
	if st := h.board.Endpoints.Get("e"); !st.Leaving() {
		t.Error("a report that was asked for before took it back")
	}
}
