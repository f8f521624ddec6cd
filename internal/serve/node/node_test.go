package node

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/base/ctrl"
	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/items"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
	"github.com/hyssopspindle/hyssopspindle/platform"
)

// patience bounds what the tests wait for; none of them measures a time.
const patience = 20 * time.Second

var names = platform.Terms()

// shelf is a store in this process that feeds list and watch.
type shelf struct {
	mu      sync.Mutex
	at      uint64
	changes []feed.Change
	// down holds the hosts that the store turns away.
	down map[string]bool
}

// turn makes the store turn hosts away.
func (s *shelf) turn(hosts ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = map[string]bool{}
	for _, h := range hosts {
		s.down[h] = true
	}
}

func (s *shelf) put(c feed.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at++
	c.Revision = s.at
	c.Value = []byte(strconv.Itoa(len(s.changes)))
	switch {
	case c.Rules != nil:
		c.Key = "rules"
	case c.Centre != "":
		c.Key = "evacuated/" + c.Centre
	}
	if c.Endpoint != nil {
		e := *c.Endpoint
		e.Revision = s.at
		c.Endpoint = &e
	}
	s.changes = append(s.changes, c)
}

// feed returns the feed of a host in a region.
func (s *shelf) feed(region string) *feed.Feed {
	after := func(from uint64) (feed.Batch, error) {
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.down[region] {
			return feed.Batch{}, io.ErrUnexpectedEOF
		}
		b := feed.Batch{At: s.at}
		for _, c := range s.changes {
			if c.Revision > from {
				b.Changes = append(b.Changes, c)
			}
		}
		return b, nil
	}
	return &feed.Feed{
		Read: func(it items.Item) (feed.Change, bool) {
			n, err := strconv.Atoi(string(it.Value))
			if err != nil {
				return feed.Change{}, false
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.changes[n], true
		},
		List: func(context.Context) (feed.Batch, error) { return after(0) },
		Watch: func(ctx context.Context, from uint64) (feed.Batch, error) {
			ctrl.Sleep(ctx, 10*time.Millisecond)
			return after(from)
		},
	}
}

// fleet is a deployment in this process: a host and an endpoint of the model
// service in each of two regions, and one of the plain service in each.
type fleet struct {
	t         *testing.T
	shelf     *shelf
	nodes     map[string]*Node
	endpoints map[string]*routed.Endpoint
	log       *logs
}

// logs collects the lines of all hosts.
type logs struct {
	mu    sync.Mutex
	lines []map[string]any
	// doubled holds lines that do not name their host once.
	doubled []string
}

func (l *logs) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	var line map[string]any
	if err := json.Unmarshal(p, &line); err != nil {
		return 0, fmt.Errorf("a log line is no JSON: %w", err)
	}
	if n := strings.Count(string(p), `"host":`); n != 1 {
		l.doubled = append(l.doubled, string(p))
	}
	l.lines = append(l.lines, line)
	return len(p), nil
}

// of returns the messages on a request, each with its host.
func (l *logs) of(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, line := range l.lines {
		if line["request"] == id {
			out = append(out, fmt.Sprint(line["at"], ": ", line["message"], ", ", line["outcome"]))
		}
	}
	return strings.Join(out, "\n")
}

func free(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func routesOf(version uint64) *rules.Rules {
	one := func(s string) []rules.Share { return []rules.Share{{Service: s, Weight: 1}} }
	return rules.New(version, []rules.Route{
		{Name: "stream", Host: "h", Prefix: "/stream/", Shares: one("model"), Kind: rules.Stream, Attempts: 2, Timeout: 3 * patience, Gap: time.Second, Prompts: true, Resumable: true},
		{Name: "once", Host: "h", Prefix: "/stream-once/", Shares: one("model"), Kind: rules.Stream, Attempts: 1, Timeout: 3 * patience, Prompts: true},
		{Name: "bound", Host: "h", Prefix: "/bound/", Shares: one("plain"), Kind: rules.Safe, Attempts: 2, Timeout: 3 * patience, Homes: []string{"b"}},
		{Name: "unsafe", Host: "h", Prefix: "/unsafe/", Shares: one("plain"), Kind: rules.Unsafe, Attempts: 1, Timeout: 3 * patience},
		{Name: "twice", Host: "h", Prefix: "/unsafe-twice/", Shares: one("plain"), Kind: rules.Unsafe, Attempts: 2, Timeout: 3 * patience},
		{Name: "safe", Host: "h", Prefix: "/safe/", Shares: one("plain"), Kind: rules.Safe, Attempts: 2, Timeout: 3 * patience},
		{Name: "short", Host: "h", Prefix: "/short/", Shares: one("plain"), Kind: rules.Safe, Attempts: 1, Timeout: 300 * time.Millisecond},
	}, []rules.Service{{Name: "model", Engine: &rules.Engine{Slots: 8}}, {Name: "plain"}}, rules.Limits{Body: 1 << 20})
}

func start(t *testing.T) *fleet {
	t.Helper()
	return startWith(t, setup.DefaultBounds())
}

func startWith(t *testing.T, bounds setup.Bounds) *fleet {
	t.Helper()
	f := &fleet{t: t, log: &logs{}, shelf: &shelf{}, nodes: map[string]*Node{}, endpoints: map[string]*routed.Endpoint{}}
	f.shelf.put(feed.Change{Rules: routesOf(7)})
	for _, region := range []string{"a", "b"} {
		for _, service := range []string{"model", "plain"} {
			f.endpoint(service+"-"+region+"1", service, region)
		}
	}
	seed := free(t)
	for region, peers := range map[string]string{"a": seed, "b": free(t)} {
		n, err := New(setup.Hosted{
			Name: "n" + region, Region: region, Centre: region + "1", Callers: free(t), Ready: free(t), Directory: free(t),
			Peers: peers, Seeds: []string{seed}, Regions: map[string]string{"a1": "a", "b1": "b"}, Bounds: bounds,
		}, names, f.shelf.feed(region), zerolog.New(f.log).With().Str("at", region).Str("host", region).Logger())
		if err != nil {
			t.Fatal(err)
		}
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = n.Close() })
		f.nodes[region] = n
	}
	f.eventually("both hosts are ready and know each other", func() bool {
		return f.status("a", f.nodes["a"].settings.Ready, names.ReadyPath) == http.StatusOK &&
			f.status("b", f.nodes["b"].settings.Ready, names.ReadyPath) == http.StatusOK &&
			f.nodes["a"].board.Members.Usable("b") == 1 && f.nodes["b"].board.Members.Usable("a") == 1
	})
	return f
}

func (f *fleet) endpoint(id, service, region string) {
	f.t.Helper()
	e, err := routed.New(id, names)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = e.Close() })
	f.endpoints[id] = e
	f.register(id, service, region, false)
}

func (f *fleet) register(id, service, region string, draining bool) {
	f.shelf.put(feed.Change{Key: id, Endpoint: &regis.Endpoint{
		ID: id, Service: service, Address: f.endpoints[id].Address(), Centre: region + "1", Slots: 8, Draining: draining,
	}})
}

func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	f.t.Fatalf("it never came that %s", what)
}

func (f *fleet) status(_, address, path string) int {
	resp, err := http.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// call sends a request to the host of region a and returns status, body and how
// the reading ended.
func (f *fleet) call(method, path, id string, change func(*http.Request)) (int, string, error) {
	f.t.Helper()
	body := io.Reader(nil)
	if method == http.MethodPost {
		body = strings.NewReader("question " + id)
	}
	req, err := http.NewRequest(method, "http://"+f.nodes["a"].settings.Callers+path, body)
	if err != nil {
		f.t.Fatal(err)
	}
	req.Host = "h"
	req.Header.Set(names.RequestID, id)
	// Longer than the tests wait, so that no deadline does another part's work.
	req.Header.Set(names.Deadline, "60000")
	if change != nil {
		change(req)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(text), err
}

func (f *fleet) runs(ids ...string) []routed.Run {
	var out []routed.Run
	for _, id := range ids {
		out = append(out, f.endpoints[id].Runs()...)
	}
	return out
}

func wholeStream(id string) string {
	out := ""
	for n := range 5 {
		out += routed.Event(id, n)
	}
	return out
}

// TestStartedHostListens: a host that has started takes connections on all its
// listeners, so that none is ready before callers can reach it.
func TestStartedHostListens(t *testing.T) {
	for range 5 {
		s := setup.Hosted{
			Name: "n", Region: "a", Centre: "a1", Callers: free(t), Ready: free(t), Directory: free(t), Metrics: free(t),
			Peers: free(t), Regions: map[string]string{"a1": "a"}, Bounds: setup.DefaultBounds(),
		}
		n, err := New(s, names, (&shelf{}).feed("a"), zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
		for _, address := range []string{s.Callers, s.Ready, s.Directory, s.Metrics} {
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Error(err)
				continue
			}
			_ = c.Close()
		}
		if err := n.Close(); err != nil {
			t.Error(err)
		}
	}
}

func TestServesAndRelays(t *testing.T) {
	f := start(t)
	if status, body, err := f.call("GET", "/safe/x?q=%20y", "r1", nil); status != 200 || body != routed.Body("r1") || err != nil {
		t.Errorf("plain: %d %q %v", status, body, err)
	}
	run := f.runs("plain-a1")
	if len(run) != 1 || run[0].Target != "/safe/x?q=%20y" {
		t.Errorf("runs %+v", run)
	}
	if status, body, err := f.call("POST", "/stream/x", "r2", nil); status != 200 || body != wholeStream("r2") || err != nil {
		t.Errorf("stream: %d %q %v", status, body, err)
	}
	if status, body, err := f.call("POST", "/bound/x", "r3", nil); status != 200 || body != routed.Body("r3") || err != nil {
		t.Errorf("bound to the other region: %d %q %v", status, body, err)
	}
	run = f.runs("plain-b1")
	if len(run) != 1 || run[0].ID != "r3" || run[0].Body != "question r3" {
		t.Errorf("runs in the home region %+v", run)
	}
}

// TestLogsTellEachDecision: each refusal, attempt, repeat and relay of a request is
// in the logs under its id, on both hosts of a relay.
func TestLogsTellEachDecision(t *testing.T) {
	f := start(t)
	f.endpoints["plain-a1"].SetFault(routed.Fault{Times: 1, Status: 500})
	if status, _, _ := f.call("GET", "/safe/x", "repeated", nil); status != 200 {
		t.Fatalf("status %d", status)
	}
	_, _, _ = f.call("POST", "/bound/x", "relayed", nil)
	_, _, _ = f.call("GET", "/none/", "refused", nil)
	for id, want := range map[string][]string{
		"repeated": {"a: attempt, status", "a: attempt failed, retried", "a: request, answered"},
		"relayed":  {"b: attempt, whole", "b: carried out for another region", "a: relayed", "a: request, answered"},
		"refused":  {"a: request, no_route"},
	} {
		for _, w := range want {
			f.eventually(id+" is logged as "+w, func() bool { return strings.Contains(f.log.of(id), w) })
		}
	}
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	if len(f.log.doubled) > 0 {
		t.Errorf("lines that do not name their host once: %v", f.log.doubled)
	}
}

func TestRefusals(t *testing.T) {
	f := start(t)
	tests := []struct {
		name   string
		path   string
		change func(*http.Request)
		want   int
	}{
		{"no route", "/none/", nil, 404},
		{"no route for the host", "/safe/x", func(r *http.Request) { r.Host = "other" }, 404},
		{"no id", "/safe/x", func(r *http.Request) { r.Header.Del(names.RequestID) }, 400},
		{"bad deadline", "/safe/x", func(r *http.Request) { r.Header.Set(names.Deadline, "soon") }, 400},
		{"bad last event", "/stream/x", func(r *http.Request) { r.Header.Set(names.LastEvent, "x") }, 400},
		{"body too large", "/unsafe/x", func(r *http.Request) {
			r.Method, r.Body, r.ContentLength = "POST", io.NopCloser(strings.NewReader(strings.Repeat("x", 2<<20))), 2<<20
		}, 413},
	}
	for _, tt := range tests {
		if status, _, err := f.call("GET", tt.path, "r1", tt.change); status != tt.want || err != nil {
			t.Errorf("%s: %d %v, want %d", tt.name, status, err, tt.want)
		}
	}
	if n := len(f.runs("plain-a1", "plain-b1", "model-a1", "model-b1")); n != 0 {
		t.Errorf("%d refused requests ran", n)
	}
}

// TestReservedFieldsStayOut: what only the gateway may set does not come through
// from a caller, and the gateway's own says which endpoint is meant.
func TestReservedFieldsStayOut(t *testing.T) {
	f := start(t)
	_, _, err := f.call("GET", "/safe/x", "r1", func(r *http.Request) {
		for _, name := range names.Reserved {
			r.Header.Set(name, "forged")
		}
		r.Header.Set("X-Own", "kept")
		r.Header.Set("X-Hop", "dropped")
		r.Header.Set("Connection", "X-Hop")
	})
	run := f.runs("plain-a1")
	if err != nil || len(run) != 1 {
		t.Fatalf("runs %+v, %v", run, err)
	}
	for _, name := range names.Reserved {
		if v := run[0].Header.Get(name); v == "forged" {
			t.Errorf("%s came through", name)
		}
	}
	h := run[0].Header
	if h.Get(names.Expect) != "plain-a1" || h.Get("X-Own") != "kept" || h.Get("X-Hop") != "" {
		t.Errorf("header %v", h)
	}
	if left, err := strconv.Atoi(h.Get(names.Deadline)); err != nil || left > 60000 || left < 1 {
		t.Errorf("deadline %q", h.Get(names.Deadline))
	}
}

func TestRepeats(t *testing.T) {
	tests := []struct {
		name   string
		method string
		path   string
		fault  routed.Fault
		status int
		runs   int
	}{
		{"safe, own failure", "GET", "/safe/x", routed.Fault{Times: 1, Status: 500}, 200, 2},
		{"safe, dropped", "GET", "/safe/x", routed.Fault{Times: 1, Drop: true}, 200, 2},
		{"safe, cut body", "GET", "/safe/x", routed.Fault{Times: 1, CutBody: true}, 200, 2},
		{"safe, all fail", "GET", "/safe/x", routed.Fault{Times: 9, Status: 500}, 500, 2},
		{"unsafe, not run", "POST", "/unsafe/x", routed.Fault{Times: 1, NotRun: true}, 200, 1},
		{"unsafe, own failure", "POST", "/unsafe/x", routed.Fault{Times: 1, Status: 500}, 500, 1},
		{"unsafe, dropped", "POST", "/unsafe/x", routed.Fault{Times: 1, Drop: true}, 502, 1},
		{"unsafe, cut body", "POST", "/unsafe/x", routed.Fault{Times: 1, CutBody: true}, 502, 1},
		{"unsafe with two attempts, dropped", "POST", "/unsafe-twice/x", routed.Fault{Times: 1, Drop: true}, 502, 1},
		{"unsafe with two attempts, not run", "POST", "/unsafe-twice/x", routed.Fault{Times: 1, NotRun: true}, 200, 1},
		{"unsafe, never run", "POST", "/unsafe/x", routed.Fault{Times: 9, NotRun: true}, 503, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := start(t)
			f.endpoint("plain-a2", "plain", "a")
			f.eventually("the second endpoint is known", func() bool { return len(f.nodes["a"].board.Registry.Of("plain")) == 3 })
			one := tt.fault
			if tt.fault.Times > 1 {
				for _, id := range []string{"plain-a1", "plain-a2", "plain-b1"} {
					f.endpoints[id].SetFault(one)
				}
			} else {
				// Whichever is taken first fails; the other one does not.
				for _, id := range []string{"plain-a1", "plain-a2"} {
					f.endpoints[id].SetFault(one)
				}
				f.endpoints["plain-a2"].SetFault(routed.Fault{})
				f.shelf.put(feed.Change{Gone: "plain-b1"})
				f.shelf.put(feed.Change{Gone: "plain-a2"})
				f.eventually("only one is left", func() bool { return len(f.nodes["a"].board.Registry.Of("plain")) == 1 })
				f.register("plain-a2", "plain", "a", false)
				f.nodes["a"].board.Endpoints.Start(time.Now(), "plain-a2")
				f.eventually("the second is back", func() bool { return len(f.nodes["a"].board.Registry.Of("plain")) == 2 })
			}
			status, _, err := f.call(tt.method, tt.path, "r1", nil)
			if status != tt.status || err != nil {
				t.Errorf("status %d, %v, want %d", status, err, tt.status)
			}
			if n := len(f.runs("plain-a1", "plain-a2", "plain-b1")); n != tt.runs {
				t.Errorf("%d runs, want %d", n, tt.runs)
			}
		})
	}
}

// TestFailingEndpointsYieldToAnotherRegion: where all endpoints here fail, another
// region is asked first, so that what may run once only is not lost.
// TestNotGivenUpWithoutARepeat: an endpoint that is late is waited for where no
// repeat is left to go elsewhere.
func TestNotGivenUpWithoutARepeat(t *testing.T) {
	bounds := setup.DefaultBounds()
	bounds.RetryRatio, bounds.RetrySlack = 0, 0
	f := startWith(t, bounds)
	f.shelf.put(feed.Change{Rules: rules.New(8, []rules.Route{{
		Name: "safe", Host: "h", Prefix: "/safe/", Shares: []rules.Share{{Service: "plain", Weight: 1}},
		Kind: rules.Safe, Attempts: 2, Timeout: 3 * patience, Target: time.Millisecond,
	}}, []rules.Service{{Name: "plain"}}, rules.Limits{})})
	f.eventually("the rules are in force", func() bool { return f.nodes["a"].board.Routes.Version() == 8 })
	f.endpoints["plain-a1"].Work, f.endpoints["plain-b1"].Work = time.Second, time.Second
	if status, body, err := f.call("GET", "/safe/x", "r1", nil); status != 200 || body != routed.Body("r1") || err != nil {
		t.Errorf("status %d, %q, %v", status, body, err)
	}
}

// TestOwnFailureIsPassedOn: where an endpoint's own failure is not tried again with
// success, the caller gets what the endpoint answered, also from another region.
func TestOwnFailureIsPassedOn(t *testing.T) {
	for _, left := range []string{"plain-a1", "plain-b1"} {
		t.Run(left, func(t *testing.T) {
			f := start(t)
			for _, id := range []string{"plain-a1", "plain-b1"} {
				if id != left {
					f.shelf.put(feed.Change{Key: id, Gone: id})
				}
			}
			f.eventually("only one is left", func() bool {
				return len(f.nodes["a"].board.Registry.Of("plain")) == 1 && len(f.nodes["b"].board.Registry.Of("plain")) == 1
			})
			f.endpoints[left].SetFault(routed.Fault{Times: 9, Status: 500})
			status, body, err := f.call("GET", "/safe/x", "r1", nil)
			if status != 500 || body != "failed" || err != nil {
				t.Errorf("status %d, %q, %v", status, body, err)
			}
			if n := len(f.runs(left)); n != 1 {
				t.Errorf("%d runs", n)
			}
		})
	}
}

func TestFailingEndpointsYieldToAnotherRegion(t *testing.T) {
	f := start(t)
	f.endpoints["plain-a1"].SetFault(routed.Fault{Times: 1000, Drop: true})
	failed := 0
	for i := range 30 {
		if status, _, _ := f.call("POST", "/unsafe/x", strconv.Itoa(i), nil); status != 200 {
			failed++
		}
	}
	if failed > 6 {
		t.Errorf("%d of 30 requests were lost at an endpoint that fails all of them", failed)
	}
}

// TestPartlyFailingEndpointIsShunned: where an endpoint fails every other request,
// those that may run once only go to another region before long.
func TestPartlyFailingEndpointIsShunned(t *testing.T) {
	f := start(t)
	failed := 0
	for i := range 60 {
		f.endpoints["plain-a1"].SetFault(routed.Fault{Times: i % 2, Status: 500})
		if status, _, _ := f.call("POST", "/unsafe/x", strconv.Itoa(i), nil); status != 200 {
			failed++
		}
	}
	if failed > 10 {
		t.Errorf("%d of 60 requests failed at an endpoint that fails half of them", failed)
	}
}

// TestBrokenStream: one that may be resumed goes on at another endpoint with no
// event twice or missing; one that may not ends with its connection.
func TestBrokenStream(t *testing.T) {
	f := start(t)
	for _, id := range []string{"model-a1", "model-b1"} {
		f.endpoints[id].SetFault(routed.Fault{Times: 1, CutAfter: 3})
	}
	f.endpoint("model-a2", "model", "a")
	f.eventually("the second endpoint is known", func() bool { return len(f.nodes["a"].board.Registry.Of("model")) == 3 })
	for i := range 6 {
		id := fmt.Sprintf("r%d", i)
		if status, body, err := f.call("POST", "/stream/x", id, nil); status != 200 || body != wholeStream(id) || err != nil {
			t.Errorf("resumable: %d %q %v", status, body, err)
		}
	}
	for _, e := range f.endpoints {
		e.SetFault(routed.Fault{Times: 1, CutAfter: 3})
	}
	status, body, err := f.call("POST", "/stream-once/x", "z", nil)
	if status != 200 || err == nil || strings.Contains(body, routed.Event("z", 3)) {
		t.Errorf("not resumable: %d %q %v", status, body, err)
	}
}

// TestResumeAnsweredByAFailure: a stream whose second endpoint fails ends with its
// connection; the failure's body is no part of it.
func TestResumeAnsweredByAFailure(t *testing.T) {
	f := start(t)
	f.shelf.put(feed.Change{Gone: "model-b1"})
	f.eventually("only one endpoint is left", func() bool { return len(f.nodes["a"].board.Registry.Of("model")) == 1 })
	f.endpoint("model-a2", "model", "a")
	f.eventually("the second endpoint is known", func() bool { return len(f.nodes["a"].board.Registry.Of("model")) == 2 })
	for _, ids := range [][]string{{"model-a1", "model-a2"}, {"model-a2", "model-a1"}} {
		f.endpoints[ids[0]].SetFault(routed.Fault{Times: 1, CutAfter: 3})
		f.endpoints[ids[1]].SetFault(routed.Fault{Times: 1, Status: 500})
		_, body, err := f.call("POST", "/stream/x", "r", nil)
		if body != wholeStream("r") && err == nil {
			t.Errorf("body %q looks whole", body)
		}
		if strings.Contains(body, "failed") {
			t.Errorf("body %q has the failure in it", body)
		}
	}
}

func TestCallerResumes(t *testing.T) {
	f := start(t)
	_, body, err := f.call("POST", "/stream/x", "r", func(r *http.Request) { r.Header.Set(names.LastEvent, "2") })
	if err != nil || body != routed.Event("r", 3)+routed.Event("r", 4) {
		t.Errorf("body %q, %v", body, err)
	}
}

// TestCallerLeaves: the run of a caller that went away is cancelled, also in
// another region.
func TestCallerLeaves(t *testing.T) {
	f := start(t)
	for _, path := range []string{"/safe/x", "/bound/x"} {
		id := map[string]string{"/safe/x": "plain-a1", "/bound/x": "plain-b1"}[path]
		e := f.endpoints[id]
		e.SetFault(routed.Fault{Times: 1, Silent: true})
		ctx, cancel := context.WithCancel(context.Background())
		go func() {
			f.eventually("it runs", func() bool { return len(e.Runs()) > 0 })
			cancel()
		}()
		_, _, err := f.call("GET", path, "r1", func(r *http.Request) { *r = *r.WithContext(ctx) })
		if err == nil {
			t.Error("call went on")
		}
		f.eventually("the run is cancelled", func() bool { return e.Cancelled() == 1 })
	}
}

func TestRoutesTimeout(t *testing.T) {
	f := start(t)
	f.endpoints["plain-a1"].SetFault(routed.Fault{Times: 1, Silent: true})
	status, _, err := f.call("GET", "/short/x", "r1", nil)
	if status != http.StatusGatewayTimeout || err != nil {
		t.Errorf("status %d, %v", status, err)
	}
	run := f.runs("plain-a1")
	if len(run) != 1 {
		t.Fatalf("%d runs", len(run))
	}
	if left, err := strconv.Atoi(run[0].Header.Get(names.Deadline)); err != nil || left > 300 {
		t.Errorf("the endpoint has %d ms, the route 300", left)
	}
}

// TestDrainingAndEvacuation: an endpoint that leaves or whose data centre is
// evacuated gets nothing more, and the other region serves.
func TestDrainingAndEvacuation(t *testing.T) {
	f := start(t)
	n := f.nodes["a"]
	f.register("plain-a1", "plain", "a", true)
	f.eventually("the leaving mark is known", func() bool { return n.board.Registry.Of("plain")[0].Draining })
	if status, _, _ := f.call("POST", "/unsafe/x", "r1", nil); status != 200 || len(f.runs("plain-a1")) != 0 {
		t.Errorf("draining: status %d, %d runs", status, len(f.runs("plain-a1")))
	}
	f.register("plain-a1", "plain", "a", false)
	f.eventually("the mark is taken back", func() bool { return !n.board.Registry.Of("plain")[0].Draining })
	f.shelf.put(feed.Change{Centre: "a1", Evacuated: true})
	f.eventually("the evacuation is known", func() bool { return n.board.Registry.Evacuated("a1") })
	if status, _, _ := f.call("POST", "/unsafe/x", "r2", nil); status != 200 || len(f.runs("plain-a1")) != 0 {
		t.Errorf("evacuated: status %d, %d runs", status, len(f.runs("plain-a1")))
	}
	f.shelf.put(feed.Change{Centre: "a1"})
	f.eventually("it is taken back", func() bool { return !n.board.Registry.Evacuated("a1") })
	if status, _, _ := f.call("POST", "/unsafe/x", "r3", nil); status != 200 || len(f.runs("plain-a1")) != 1 {
		t.Errorf("taken back: status %d, %d runs", status, len(f.runs("plain-a1")))
	}
}

func TestAddressOfAnother(t *testing.T) {
	f := start(t)
	f.endpoints["plain-a1"].ID = "someone-else"
	if status, _, _ := f.call("POST", "/unsafe/x", "r1", nil); status != 200 || len(f.runs("plain-a1")) != 0 {
		t.Errorf("status %d, %d runs at the wrong endpoint", status, len(f.runs("plain-a1")))
	}
}

func TestOlderRulesAreIgnored(t *testing.T) {
	f := start(t)
	f.shelf.put(feed.Change{Rules: rules.New(9, nil, nil, rules.Limits{})})
	n := f.nodes["a"]
	f.eventually("version 9 is in force", func() bool { return n.board.Routes.Version() == 9 })
	f.shelf.put(feed.Change{Rules: routesOf(8)})
	f.shelf.put(feed.Change{Centre: "b1", Evacuated: true})
	f.eventually("what came after it is known", func() bool { return n.board.Registry.Evacuated("b1") })
	if v := n.board.Routes.Version(); v != 9 {
		t.Errorf("version %d came back", v)
	}
	if status, _, _ := f.call("GET", "/safe/x", "r1", nil); status != 404 {
		t.Errorf("a dropped route answers %d", status)
	}
}

func TestStoreAwayKeepsBeliefs(t *testing.T) {
	f := start(t)
	f.shelf.turn("a", "b")
	for i := range 5 {
		if status, _, err := f.call("GET", "/safe/x", strconv.Itoa(i), nil); status != 200 {
			t.Errorf("status %d, %v", status, err)
		}
	}
}

// TestToldByOtherHosts: a host that the store turns away hears from others of
// marks, new endpoints and rules, and nothing older comes again with the store.
func TestToldByOtherHosts(t *testing.T) {
	f := start(t)
	n := f.nodes["a"]
	f.shelf.turn("a")
	f.shelf.put(feed.Change{Centre: "a1", Evacuated: true})
	f.eventually("the evacuation is told", func() bool { return n.board.Registry.Evacuated("a1") })
	f.shelf.put(feed.Change{Centre: "a1"})
	f.eventually("its end is told", func() bool { return !n.board.Registry.Evacuated("a1") })
	f.register("plain-a1", "plain", "a", true)
	f.shelf.put(feed.Change{Rules: routesOf(8)})
	f.eventually("rules and leaving mark are told", func() bool {
		return n.board.Routes.Version() == 8 && n.board.Registry.Of("plain")[0].Draining
	})
	f.shelf.turn()
	f.shelf.put(feed.Change{Rules: routesOf(9)})
	f.eventually("the store is back", func() bool { return n.board.Routes.Version() == 9 })
	if n.board.Registry.Evacuated("a1") || !n.board.Registry.Of("plain")[0].Draining {
		t.Error("an older state came again with the store")
	}
}

// TestStartsWithoutTheStore: a host that starts while the store is away learns
// from another one and serves.
func TestStartsWithoutTheStore(t *testing.T) {
	f := start(t)
	f.shelf.turn("a")
	settings := f.nodes["a"].settings
	if err := f.nodes["a"].Close(); err != nil {
		t.Fatal(err)
	}
	// Its connections outlive the closed host within one process.
	http.DefaultClient.CloseIdleConnections()
	settings.Seeds = []string{f.nodes["b"].settings.Peers}
	n, err := New(settings, names, f.shelf.feed("a"), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Close() })
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	f.eventually("it is ready", func() bool { return f.status("a", settings.Ready, names.ReadyPath) == http.StatusOK })
	if status, body, err := f.call("GET", "/safe/x", "r1", nil); status != 200 {
		t.Errorf("status %d, %s, %v", status, body, err)
	}
}

// resolve asks the directory of region a.
func (f *fleet) resolve(name, region string) string {
	f.t.Helper()
	resp, err := http.Get("http://" + f.nodes["a"].settings.Directory + names.ResolvePath + "?name=" + name + "&region=" + region)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return string(text)
}

// TestDirectoryNamesHomes: callers whose requests their region may mostly not hold
// are told of the hosts of the regions that may, as long as these are heard.
func TestDirectoryNamesHomes(t *testing.T) {
	f := start(t)
	tells := func(region, of string) bool {
		return strings.Contains(f.resolve("h", region), f.nodes[of].settings.Callers)
	}
	for i := range 30 {
		if status, _, _ := f.call("GET", "/bound/x", fmt.Sprint("bound", i), nil); status != 200 {
			t.Fatalf("status %d", status)
		}
	}
	f.eventually("callers of a are told of b", func() bool { return tells("a", "b") && !tells("a", "a") })
	if !tells("b", "b") || tells("b", "a") {
		t.Errorf("callers of b: %s", f.resolve("h", "b"))
	}
	if err := f.nodes["b"].Close(); err != nil {
		t.Fatal(err)
	}
	f.eventually("callers of a come back as b ends", func() bool { return tells("a", "a") })
}

func TestDirectory(t *testing.T) {
	f := start(t)
	for _, region := range []string{"a", "b"} {
		if got := f.resolve("h", region); !strings.Contains(got, f.nodes[region].settings.Callers) || strings.Count(got, "127.0.0.1") != 1 {
			t.Errorf("region %s: %s", region, got)
		}
	}
	if got := f.resolve("free", "elsewhere"); strings.Count(got, "127.0.0.1") != 2 {
		t.Errorf("a region without hosts: %s", got)
	}
	if got := f.resolve("h", "elsewhere"); !strings.Contains(got, f.nodes["b"].settings.Callers) || strings.Count(got, "127.0.0.1") != 1 {
		t.Errorf("a region without hosts, requests with a home: %s", got)
	}
}

// TestDrain: a leaving host is not ready, serves what is in flight and what still
// comes, and is no longer named by the directory.
func TestDrain(t *testing.T) {
	f := start(t)
	n := f.nodes["a"]
	f.endpoints["plain-a1"].Work = 500 * time.Millisecond
	done := make(chan int, 1)
	go func() {
		status, _, _ := f.call("POST", "/unsafe/x", "r1", nil)
		done <- status
	}()
	f.eventually("it runs", func() bool { return len(f.runs("plain-a1")) == 1 })
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		n.Drain(ctx)
	}()
	f.eventually("it is not ready", func() bool { return f.status("a", n.settings.Ready, names.ReadyPath) == 503 })
	if status := <-done; status != 200 {
		t.Errorf("in flight: status %d", status)
	}
	if status, _, _ := f.call("GET", "/safe/x", "r2", nil); status != 200 {
		t.Errorf("sent to a leaving host: status %d", status)
	}
	f.eventually("the other host names it no more", func() bool {
		m, ok := f.nodes["b"].board.Members.Member(n.settings.Peers)
		return ok && m.Leaving
	})
	cancel()
	<-ended
}

// TestSmuggledRequest: a request within the body of another one is never run, and
// a request whose length is told in two ways is not guessed at.
func TestSmuggledRequest(t *testing.T) {
	f := start(t)
	hidden := "POST /unsafe/hidden HTTP/1.1\r\nHost: h\r\n" + names.RequestID + ": hidden\r\nContent-Length: 0\r\n\r\n"
	head := "POST /unsafe/x HTTP/1.1\r\nHost: h\r\n" + names.RequestID + ": r1\r\n"
	for name, text := range map[string]string{
		"in a body":         head + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(hidden)) + hidden,
		"behind an end":     head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		"two lengths":       head + fmt.Sprintf("Content-Length: 0\r\nContent-Length: %d\r\n\r\n", len(hidden)) + hidden,
		"an odd encoding":   head + fmt.Sprintf("Transfer-Encoding: xchunked\r\nContent-Length: %d\r\n\r\n", len(hidden)) + hidden,
		"space in the name": head + fmt.Sprintf("Content-Length : %d\r\n\r\n", len(hidden)) + hidden,
	} {
		c, err := net.Dial("tcp", f.nodes["a"].settings.Callers)
		if err != nil {
			t.Fatal(err)
		}
		_, _ = c.Write([]byte(text))
		_ = c.SetReadDeadline(time.Now().Add(2 * time.Second))
		if resp, err := http.ReadResponse(bufio.NewReader(c), nil); err == nil {
			_ = resp.Body.Close()
		}
		time.Sleep(50 * time.Millisecond)
		_ = c.Close()
		for _, run := range f.runs("plain-a1", "plain-b1") {
			if run.ID == "hidden" {
				t.Errorf("%s: the hidden request ran", name)
			}
		}
	}
}
