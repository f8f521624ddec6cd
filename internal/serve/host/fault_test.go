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
	"github.com/hyssopspindle/hyssopspindle/internal/stand/engine"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/httpd"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/platf"
)

// TestRelayedRequestIsNotRelayedAgain: when two hosts each see the other's region
// as free, a request is not relayed back and forth, and a relayed request with a
// false origin is refused.
func TestRelayedRequestIsNotRelayedAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a", "b1": "b"}, engines: map[string]string{"ea": "a", "eb": "b"}})
	// Each host sees its local engine as failing and the remote region as free.
	for name, h := range f.hosts {
		e := "e" + f.plan.hosts[name]
		f.engines[e].SetFault(engine.Fault{Status: 500, Leaving: true, Down: true})
		h.board.Endpoints.MarkLeaving(time.Now(), e)
	}
	r := f.send(context.Background(), "a1", "POST", chatPath, chatBody(1, true))
	if p := r.problem(t); p.Error.Ran != "no" {
		t.Errorf("both regions failing: got %+v, want ran no", p)
	}
	// With only the engine of region b failing, region b does not relay back to a.
	f.engines["ea"].SetFault(engine.Fault{})
	a, b := f.hosts["a1"], f.settings["b1"]
	sendRelayed := func(change func(*wire.Request)) fault.Code {
		o := wire.Request{
			Role: wire.Relay, ID: "x", Caller: "app", Service: "chat", Method: "POST", Path: chatPath,
			Body: []byte(chatBody(1, false)), TimeLeftMS: 5000, EntryRegion: "a", Revision: 1,
		}
		change(&o)
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		end, err := a.flow.Exchange(ctx, "b1", b.Peers, o, discardSink(), waitTimeout)
		if err != nil {
			t.Fatal(err)
		}
		return end.Code
	}
	tests := []struct {
		name   string
		change func(*wire.Request)
		want   fault.Code
	}{
		{"nothing free in its region", func(*wire.Request) {}, fault.NoEndpoint},
		{"false origin", func(o *wire.Request) { o.EntryRegion = "b" }, fault.Forbidden},
		{"unknown origin", func(o *wire.Request) { o.EntryRegion = "z" }, fault.Forbidden},
		{"unknown caller", func(o *wire.Request) { o.Caller = "z" }, fault.Forbidden},
		{"unknown service", func(o *wire.Request) { o.Service = "z" }, fault.NoService},
		{"newer configuration", func(o *wire.Request) { o.Revision = 99 }, fault.NotReady},
		{"unknown role", func(o *wire.Request) { o.Role = 9 }, fault.BadRequest},
		{"late", func(o *wire.Request) { o.TimeLeftMS = 0 }, fault.Deadline},
	}
	for _, tt := range tests {
		if got := sendRelayed(tt.change); got != tt.want {
			t.Errorf("%s: got %s, want %s", tt.name, got, tt.want)
		}
	}
	if n := len(f.engines["ea"].Records()) + len(f.engines["eb"].Records()); n != 0 {
		t.Errorf("%d requests ran, want 0", n)
	}
}

// TestIsolatedRegion: a region that is partitioned from all other regions and gets
// no answer from the platform serves all its callers with its local endpoints, also
// when most endpoints were remote before.
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
			r := f.send(context.Background(), f.order[i%2], "POST", chatPath, chatBody(8, true), withHeader("X-Request-Id", id))
			if !r.ok() || streamedText(t, r.body) != engine.AnswerText(id, 8) {
				t.Errorf("%s: %d %q", id, r.status, r.body)
			}
		})
	}
	wait.Wait()
	f.heal()
	f.platform.SetFault(platf.Fault{})
	f.waitJoined()
}

// TestSilentLink: when the network drops all packets of the existing flows between
// two regions but passes new flows, requests continue over new connections.
func TestSilentLink(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts:   map[string]string{"a1": "a", "b1": "b"},
		engines: map[string]string{"eb": "b"}, engine: engine.Config{Decode: 30 * time.Millisecond},
	})
	if r := f.send(context.Background(), "a1", "POST", chatPath, chatBody(2, true)); !r.ok() {
		t.Fatalf("before: %d %q", r.status, r.body)
	}
	streaming := make(chan reply)
	go func() {
		streaming <- f.send(context.Background(), "a1", "POST", chatPath, chatBody(200, true), withHeader("X-Request-Id", "long"))
	}()
	f.eventually("tokens flow", func() bool {
		r := f.engines["eb"].Records()
		return len(r) == 2 && r[1].Emitted > 3
	})
	f.loseFlows("a1")
	for i := range 3 {
		if r := f.send(context.Background(), "a1", "POST", chatPath, chatBody(2, true)); !r.ok() {
			t.Errorf("request %d on the silent link: %d %q", i, r.status, r.body)
		}
	}
	// The flows of the heartbeats were dropped too. The hosts must see each other alive
	// again.
	f.waitJoined()
	// The stream in flight ends with an error event, not as a whole answer.
	if r := <-streaming; r.res.Whole || strings.Contains(r.body, "[DONE]") || !strings.Contains(r.body, "event: error") {
		t.Errorf("stream in flight: got %q, want an error event", r.body[max(0, len(r.body)-200):])
	}
}

// TestLeavingEndpoint: an endpoint that is leaving according to the inventory, the
// host list, its load reports or its answers gets no new requests from any host,
// also with the platform down.
func TestLeavingEndpoint(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		leave func(f *fleet)
	}{
		{"inventory", func(f *fleet) { f.plan.leavingEndpoints = []string{"e1"}; f.publish("") }},
		{"host list", func(f *fleet) { f.platform.SetState("e1", "leaving") }},
		{"load reports", func(f *fleet) { f.engines["e1"].SetFault(engine.Fault{Leaving: true}) }},
		{"answers, platform down", func(f *fleet) {
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
				long <- f.send(context.Background(), "a1", "POST", chatPath, chatBody(300, true), withHeader("X-Request-Id", "long"))
			}()
			f.eventually("a long answer is in flight", func() bool {
				return len(f.engines["e1"].Records())+len(f.engines["e2"].Records()) == 1
			})
			tt.leave(f)
			f.eventually("every host of the region sees the endpoint as leaving", func() bool {
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
				t.Errorf("the leaving endpoint got %d new requests, want 0", n)
			}
			if r := <-long; !r.ok() || streamedText(t, r.body) != engine.AnswerText("long", 300) {
				t.Errorf("the answer in flight was cut: %v", r.res.Err)
			}
		})
	}
}

// TestRollingReplacement: when hosts are replaced one after the other under load,
// no request is cut.
func TestRollingReplacement(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts:   map[string]string{"a1": "a", "a2": "a", "b1": "b"},
		engines: map[string]string{"e1": "b", "e2": "b"}, plains: map[string]string{"p1": "b"},
		engine: engine.Config{Slots: 64, Decode: 10 * time.Millisecond},
	})
	// a1 is not replaced: the requests that it relays to region b must not be cut by
	// the replacement of b's hosts.
	f.plan.hosts["b2"] = "b"
	f.prepareHost("b2")
	f.publish("")
	f.startHost("b2")
	f.waitJoined()
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for i := range 8 {
		wait.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("w%d-%d", i, n)
				r := f.send(context.Background(), "a1", "POST", chatPath, chatBody(30, true), withHeader("X-Request-Id", id))
				if !r.ok() || streamedText(t, r.body) != engine.AnswerText(id, 30) {
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
		f.stopHost(name)
		f.startHost(name)
		f.waitJoined()
	}
	cancel()
	wait.Wait()
	if answered == 0 {
		t.Error("no request was answered")
	}
}

// TestDrainRefuses: a draining host refuses new requests and names another host,
// finishes its in-flight requests and still answers for its finished operations.
func TestDrainRefuses(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts:   map[string]string{"a1": "a", "a2": "a"},
		engines: map[string]string{"e1": "a"}, plains: map[string]string{"p1": "a"},
		engine: engine.Config{Decode: 10 * time.Millisecond},
	})
	old := f.operationPrefix("a1") + ".done"
	if r := f.sendOperation("a1", old); r.status != 200 {
		t.Fatalf("operation: %d %q", r.status, r.body)
	}
	long := make(chan reply)
	go func() {
		long <- f.send(context.Background(), "a1", "POST", chatPath, chatBody(400, true), withHeader("X-Request-Id", "long"))
	}()
	f.eventually("a long answer is in flight", func() bool { return len(f.engines["e1"].Records()) == 1 })
	drained := make(chan bool)
	go func() { drained <- f.hosts["a1"].Drain(context.Background()) }()
	f.eventually("the host refuses", func() bool {
		return f.send(context.Background(), "a1", "POST", chatPath, chatBody(1, true)).status == 503
	})
	r := f.send(context.Background(), "a1", "POST", chatPath, chatBody(1, true))
	if p := r.problem(t); p.Error.Code != "leaving" || p.Error.Ran != "no" || r.fields["X-Try-Host"] != f.settings["a2"].Callers || r.fields["Retry-After"] == "" {
		t.Errorf("refusal: %+v %v", p, r.fields)
	}
	if r := f.sendOperation("a2", old); r.status != 200 {
		t.Errorf("finished operation of a draining home host: %d %q", r.status, r.body)
	}
	if r := <-long; !r.ok() || streamedText(t, r.body) != engine.AnswerText("long", 400) {
		t.Errorf("the answer in flight was cut: %v", r.res.Err)
	}
	if !<-drained {
		t.Error("host did not become idle")
	}
}

// TestUntrustedCertificatesAreRejected: a stream between hosts opens only if both
// certificates are valid and issued by the fleet's authority, and the peer host's
// certificate is for the expected host.
func TestUntrustedCertificatesAreRejected(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a"}, engines: map[string]string{"e1": "a"}})
	now := time.Now()
	other, err := certs.NewAuthority(now, time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	issue := func(a *certs.Authority, name string, at time.Time, lifetime time.Duration) *certs.Credentials {
		s, err := a.Issue(name, at, lifetime)
		if err != nil {
			t.Fatal(err)
		}
		return s
	}
	expired := issue(f.authority, "b1", now.Add(-24*time.Hour), time.Hour)
	foreign := issue(other, "b1", now, time.Hour)
	good := issue(f.authority, "b1", now, time.Hour)
	tests := []struct {
		name string
		set  *certs.Credentials
		peer string
		ok   bool
	}{
		{"good", good, "a1", true},
		{"expired", expired, "a1", false},
		{"other authority", foreign, "a1", false},
		{"certificate of another host", good, "a2", false},
		{"no certificate", &certs.Credentials{Cert: tls.Certificate{}, CA: good.CA, FleetKey: good.FleetKey}, "a1", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			l, err := link.New(uniqueIP()+":7301", tt.set)
			if err != nil {
				t.Fatal(err)
			}
			l.Serve(link.Handlers{})
			defer func() { _ = l.Close() }()
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			defer cancel()
			s, err := l.OpenStream(ctx, tt.peer, f.settings["a1"].Peers)
			if err == nil {
				defer s.Abort()
				err = s.Write(wire.Frame{FetchParts: &wire.FetchParts{}}, time.Now().Add(waitTimeout))
			}
			if err == nil {
				s.Finish()
				_, err = s.Read(wire.MaxFrame, time.Now().Add(waitTimeout))
			}
			if (err == nil) != tt.ok {
				t.Errorf("got error %v, want ok %v", err, tt.ok)
			}
			var idle *quic.IdleTimeoutError
			if errors.As(err, &idle) {
				t.Errorf("connection timed out instead of being rejected: %v", err)
			}
		})
	}
}

// TestForgedDatagrams: datagrams that are not sealed with the fleet's key are
// dropped.
func TestForgedDatagrams(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a", "a2": "a"}, engines: map[string]string{"e1": "a"}})
	foreign, err := certs.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	set, err := foreign.Issue("a2", time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	l, err := link.New(uniqueIP()+":7301", set)
	if err != nil {
		t.Fatal(err)
	}
	l.Serve(link.Handlers{Packet: func(wire.Packet, int) {}, Rejected: func(error) {}})
	defer func() { _ = l.Close() }()
	for range 20 {
		_, _, err := l.Send(wire.Packet{
			Kind: wire.Announce, From: "a2", Incarnation: 1 << 60, Leaving: true, Revision: 99,
			Updates: []wire.Update{{Host: "a2", Life: 1 << 60, State: wire.Left}},
		}, f.settings["a1"].Peers)
		if err != nil {
			t.Fatal(err)
		}
	}
	for range 3 {
		if r := f.send(context.Background(), "a1", "POST", chatPath, chatBody(1, true)); !r.ok() {
			t.Fatalf("%d %q", r.status, r.body)
		}
	}
	if m, _ := f.hosts["a1"].board.Members.Member("a2"); m.Incarnation == 1<<60 || m.Leaving {
		t.Errorf("a forged datagram was applied: %+v", m)
	}
}

func discardSink() client.Sink {
	return client.Sink{Head: func(wire.Head) error { return nil }, Data: func([]byte) error { return nil }}
}

// TestOlderReportKeepsEndpointLeaving: when an endpoint states in an answer that it
// is leaving while a poll is in progress, the load report of that poll is older and
// does not revert the state.
func TestOlderReportKeepsEndpointLeaving(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a"}})
	h := f.hosts["a1"]
	s, err := httpd.Serve("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		h.board.Endpoints.MarkLeaving(time.Now(), "e")
		httpd.WriteJSON(w, http.StatusOK, loadReport{})
	}))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = s.Close() }()
	h.pollEndpoint(t.Context(), invent.Endpoint{Name: "e", Address: s.Address()})
	if st := h.board.Endpoints.Get("e"); !st.Leaving() {
		t.Error("an older load report reverted the leaving state")
	}
}
