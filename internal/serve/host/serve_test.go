package host

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/engine"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/plain"
)

// problem is the JSON body of a refusal.
type problem struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Ran     string `json:"ran"`
	} `json:"error"`
}

// problem returns the refusal in the answer's body and fails the test if there is
// none.
func (r reply) problem(t *testing.T) problem {
	t.Helper()
	var p problem
	if err := json.Unmarshal([]byte(r.body), &p); err != nil || p.Error.Code == "" || p.Error.Ran == "" {
		t.Fatalf("status %d: body is not a refusal: %q (%v)", r.status, r.body, r.res.Err)
	}
	return p
}

// streamedText returns the text of a streamed answer.
func streamedText(t testing.TB, body string) string {
	t.Helper()
	var b strings.Builder
	for line := range strings.Lines(body) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok || data == "[DONE]" {
			continue
		}
		var c struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			t.Fatalf("event %q: %v", data, err)
		}
		for _, ch := range c.Choices {
			b.WriteString(ch.Delta.Content)
		}
	}
	return b.String()
}

func TestBadInput(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts: map[string]string{"a1": "a"}, engines: map[string]string{"e1": "a"}, plains: map[string]string{"p1": "a"},
	})
	tests := []struct {
		name, method, path, body string
		opts                     []attemptOption
		status                   int
		code                     string
	}{
		{"no key", "POST", chatPath, chatBody(1, true), []attemptOption{func(a *client.Attempt) { a.Fields = nil }}, 401, "bad_key"},
		{"wrong key", "POST", chatPath, chatBody(1, true), []attemptOption{withHeader("Authorization", "Bearer x")}, 401, "bad_key"},
		{"bad JSON", "POST", chatPath, "{", nil, 400, "bad_request"},
		{"no model", "POST", chatPath, "{}", nil, 400, "bad_request"},
		{"unknown model", "POST", chatPath, `{"model":"x"}`, nil, 404, "no_service"},
		{"plain service as a model", "POST", chatPath, `{"model":"shop"}`, nil, 404, "no_service"},
		{"unknown service", "GET", "/v1/call/x/y", "", nil, 404, "no_service"},
		{"model as a plain service", "GET", "/v1/call/chat/y", "", nil, 404, "no_service"},
		{"unknown path", "GET", "/v2/x", "", nil, 404, "no_route"},
		{"bad timeout", "POST", chatPath, chatBody(1, true), []attemptOption{withHeader("X-Request-Timeout", "soon")}, 400, "bad_request"},
		{"operation without key", "POST", "/v1/call/shop/order", "", nil, 428, "operation_key_missing"},
		{"operation with a forged key", "POST", "/v1/call/shop/order", "", []attemptOption{withHeader("Idempotency-Key", "a.b.c")}, 400, "operation_key_invalid"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := f.send(context.Background(), "a1", tt.method, tt.path, tt.body, tt.opts...)
			p := r.problem(t)
			if r.status != tt.status || p.Error.Code != tt.code || p.Error.Ran != "no" {
				t.Errorf("got %d %+v, want %d %s no", r.status, p, tt.status, tt.code)
			}
		})
	}
	if n := len(f.engines["e1"].Records()) + len(f.plains["p1"].Effects()); n != 0 {
		t.Errorf("%d refused requests ran, want 0", n)
	}
	big := f.send(context.Background(), "a1", "POST", chatPath, strings.Repeat("x", 5<<20))
	if big.status != 413 && big.res.Whole {
		t.Errorf("body beyond the limit: got status %d, want 413", big.status)
	}
}

// TestCrossRegion: a request that enters in a region without endpoints gets the
// unchanged answer of a remote region, both streamed and whole.
func TestCrossRegion(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts:   map[string]string{"a1": "a", "b1": "b"},
		engines: map[string]string{"e1": "b"}, plains: map[string]string{"p1": "b"},
	})
	ctx := context.Background()
	r := f.send(ctx, "a1", "POST", chatPath, chatBody(20, true), withHeader("X-Request-Id", "one"))
	if !r.ok() || streamedText(t, r.body) != engine.AnswerText("one", 20) || !strings.HasSuffix(r.body, "data: [DONE]\n\n") {
		t.Fatalf("streamed: %d %q %v", r.status, r.body, r.res.Err)
	}
	if r.fields["X-Served-By"] != "b1" {
		t.Errorf("served by %q, want b1", r.fields["X-Served-By"])
	}
	r = f.send(ctx, "a1", "POST", chatPath, chatBody(20, false), withHeader("X-Request-Id", "two"))
	if r.status != 200 || !strings.Contains(r.body, engine.AnswerText("two", 20)) || !strings.Contains(r.body, `"usage"`) {
		t.Fatalf("whole: %d %q", r.status, r.body)
	}
	r = f.send(ctx, "a1", "GET", "/v1/call/shop/stock/9?x=1", "")
	if r.status != 200 || !strings.Contains(r.body, `"/stock/9"`) {
		t.Fatalf("plain: %d %q", r.status, r.body)
	}
}

// TestInterleavedStreams: many concurrent requests over one link each get their own
// whole answer.
func TestInterleavedStreams(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts:   map[string]string{"a1": "a", "b1": "b"},
		engines: map[string]string{"e1": "b", "e2": "b"}, engine: engine.Config{Slots: 64, Decode: time.Millisecond},
	})
	var wait sync.WaitGroup
	for i := range 60 {
		wait.Go(func() {
			id, n := fmt.Sprintf("r%d", i), 5+i%40
			r := f.send(context.Background(), "a1", "POST", chatPath, chatBody(n, i%3 > 0), withHeader("X-Request-Id", id))
			want := engine.AnswerText(id, n)
			if i%3 > 0 && streamedText(t, r.body) != want || i%3 == 0 && !strings.Contains(r.body, want) {
				t.Errorf("%s: status %d, got %q", id, r.status, r.body)
			}
		})
	}
	wait.Wait()
}

// TestBrokenStreams: a stream that is cut or goes silent at an engine is resumed
// after its last token. If the engine has dropped it, the stream ends with an error
// event and without its closing event.
func TestBrokenStreams(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts:   map[string]string{"a1": "a", "b1": "b"},
		engines: map[string]string{"e1": "b"}, engine: engine.Config{Decode: time.Millisecond},
	})
	tests := []struct {
		name  string
		fault engine.Fault
		whole bool
	}{
		{"cut", engine.Fault{Times: 1, CutAfter: 5}, true},
		{"silent", engine.Fault{Times: 1, SilentAfter: 5}, true},
		{"ended early", engine.Fault{Times: 1, EndAfter: 5}, true},
		{"ended early and forgotten", engine.Fault{EndAfter: 5, RefuseResume: true}, false},
		{"cut and forgotten", engine.Fault{CutAfter: 5, RefuseResume: true}, false},
	}
	for _, tt := range tests {
		f.engines["e1"].SetFault(tt.fault)
		r := f.send(context.Background(), "a1", "POST", chatPath, chatBody(12, true), withHeader("X-Request-Id", tt.name))
		f.engines["e1"].SetFault(engine.Fault{})
		if tt.whole {
			if got := streamedText(t, r.body); !r.ok() || got != engine.AnswerText(tt.name, 12) {
				t.Errorf("%s: %q, %v", tt.name, got, r.res.Err)
			}
			continue
		}
		if strings.Contains(r.body, "[DONE]") || !strings.Contains(r.body, "event: error") {
			t.Errorf("%s: %q", tt.name, r.body)
		}
		if !strings.HasPrefix(engine.AnswerText(tt.name, 12), streamedText(t, strings.Split(r.body, "event: error")[0])) {
			t.Errorf("%s: the forwarded text is not a prefix of the answer: %q", tt.name, r.body)
		}
	}
}

// TestRetries: a failed request that certainly did not run or is retryable is retried
// at another endpoint, so that the caller sees no failure.
func TestRetries(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a"}, engines: map[string]string{"e1": "a", "e2": "a"}})
	for n, fault := range []engine.Fault{{Refuse: true}, {Status: 503}, {CutAfter: 1, RefuseResume: true}} {
		f.engines["e1"].SetFault(fault)
		for i := range 6 {
			id := fmt.Sprintf("fault%d-%d", n, i)
			r := f.send(context.Background(), "a1", "POST", chatPath, chatBody(4, false), withHeader("X-Request-Id", id))
			if r.status != 200 || !strings.Contains(r.body, engine.AnswerText(id, 4)) {
				t.Errorf("%s: %d %q", id, r.status, r.body)
			}
		}
		f.engines["e1"].SetFault(engine.Fault{})
	}
	if err := f.engines["e1"].Close(); err != nil {
		t.Fatal(err)
	}
	if r := f.send(context.Background(), "a1", "POST", chatPath, chatBody(4, true)); !r.ok() {
		t.Errorf("after an endpoint closed: %d %q", r.status, r.body)
	}
}

// TestCallerDisconnects: when a caller disconnects, its request is cancelled at the
// engine.
func TestCallerDisconnects(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts:   map[string]string{"a1": "a", "b1": "b"},
		engines: map[string]string{"e1": "b"},
		// ResumeGrace is long, so that only a cancellation ends the request: without one
		// the engine waits for the stream to be resumed.
		engine: engine.Config{Decode: 20 * time.Millisecond, ResumeGrace: time.Hour},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.send(ctx, "a1", "POST", chatPath, chatBody(10000, true))
	}()
	f.eventually("tokens flow", func() bool {
		r := f.engines["e1"].Records()
		return len(r) == 1 && r[0].Emitted > 3
	})
	cancel()
	<-done
	f.eventually("the request is cancelled at the engine", func() bool { return f.engines["e1"].Records()[0].Cancelled })
	for _, name := range []string{"a1", "b1"} {
		f.eventually("no request is in flight", func() bool { return f.hosts[name].board.Health.InFlight() == 0 })
	}
}

// TestResidency: while the allowed region is down, no other region serves the
// request.
func TestResidency(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts:     map[string]string{"a1": "a", "b1": "b"},
		engines:   map[string]string{"ea": "a", "eb": "b"},
		residency: `residency = ["b"]`,
	})
	ctx := context.Background()
	if r := f.send(ctx, "a1", "POST", chatPath, chatBody(2, true)); !r.ok() {
		t.Fatalf("allowed region up: %d %q", r.status, r.body)
	}
	f.stopHost("b1")
	for i := range 5 {
		r := f.send(ctx, "a1", "POST", chatPath, chatBody(2, true), withHeader("X-Request-Timeout", "8000"))
		p := r.problem(t)
		if p.Error.Ran == "yes" || r.fields["Retry-After"] == "" {
			t.Errorf("request %d: %d %+v, Retry-After %q", i, r.status, p, r.fields["Retry-After"])
		}
	}
	f.eventually("the host of the allowed region is not usable", func() bool {
		m, _ := f.hosts["a1"].board.Members.Member("b1")
		return !m.Usable()
	})
	if p := f.send(ctx, "a1", "POST", chatPath, chatBody(2, true)).problem(t); p.Error.Code != "no_region" || p.Error.Ran != "no" {
		t.Errorf("allowed region down: got %+v, want no_region with ran no", p)
	}
	if n := len(f.engines["ea"].Records()); n != 0 {
		t.Errorf("%d requests ran outside the allowed region", n)
	}
}

// TestEntryLists: the entry list has only hosts that accept requests.
func TestEntryLists(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a", "a2": "a", "b1": "b"}, plains: map[string]string{"p": "a"}})
	hosts := func() string {
		var a struct {
			Hosts []struct {
				Host string `json:"host"`
			} `json:"hosts"`
			Home string `json:"home"`
		}
		r := f.send(context.Background(), "a1", "GET", "/v1/entry", "")
		if err := json.Unmarshal([]byte(r.body), &a); err != nil || a.Home == "" {
			t.Fatalf("entry: %d %q", r.status, r.body)
		}
		var names []string
		for _, h := range a.Hosts {
			names = append(names, h.Host)
		}
		return strings.Join(names, " ")
	}
	f.eventually("all hosts are listed, the caller's region first", func() bool {
		h := hosts()
		return h == "a1 a2 b1" || h == "a2 a1 b1"
	})
	f.hosts["a2"].board.Health.SetLeaving()
	f.eventually("a leaving host is not listed", func() bool { return hosts() == "a1 b1" })
	f.stopHost("b1")
	f.eventually("a stopped host is not listed", func() bool { return hosts() == "a1" })
}

// TestFaultsOfPlainCalls: the ran value of the refusal is correct for each failure
// of a call that is not retryable, and no call runs twice.
func TestFaultsOfPlainCalls(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a", "b1": "b"}, plains: map[string]string{"p1": "b", "p2": "b"}})
	setFault := func(x plain.Fault) {
		for _, p := range f.plains {
			p.SetFault(x)
		}
	}
	tests := []struct {
		name  string
		fault plain.Fault
		ran   string
	}{
		{"refused", plain.Fault{Refuse: true}, "no"},
		{"cut before the run", plain.Fault{CutBefore: true}, "unknown"},
		{"cut after the run", plain.Fault{CutAfter: true}, "unknown"},
		{"silent before the run", plain.Fault{Freeze: true}, "unknown"},
		{"silent after the run", plain.Fault{SilentAfter: true}, "unknown"},
	}
	for _, method := range []string{"POST", "PUT", "DELETE", "GET"} {
		for _, tt := range tests {
			key := f.operationPrefix("a1") + "." + method + strings.ReplaceAll(tt.name, " ", "-")
			setFault(tt.fault)
			r := f.send(context.Background(), "a1", method, "/v1/call/shop/order", "", withHeader("Idempotency-Key", key))
			setFault(plain.Fault{})
			p := r.problem(t)
			if p.Error.Ran != tt.ran {
				t.Errorf("%s, %s: got ran %q, want %q (%+v)", method, tt.name, p.Error.Ran, tt.ran, p)
			}
			again := f.send(context.Background(), "a1", method, "/v1/call/shop/order", "", withHeader("Idempotency-Key", key))
			f.runsByKey()
			if tt.ran == "no" && again.status != 200 {
				t.Errorf("%s, %s: retry of a call that did not run failed: %d %q", method, tt.name, again.status, again.body)
			}
		}
	}
}

// operationPrefix returns a prefix for operation keys whose home is the given host.
func (f *fleet) operationPrefix(host string) string {
	f.t.Helper()
	r := f.send(context.Background(), host, "POST", "/v1/call/shop/order", "")
	prefix := r.fields["X-Operation-Prefix"]
	if prefix == "" {
		f.t.Fatalf("no prefix: %d %q", r.status, r.body)
	}
	return prefix
}

// TestRelayChecksResidency: a host refuses a relayed request that its region may
// not serve, also if a peer host sends it.
func TestRelayChecksResidency(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts:   map[string]string{"a1": "a", "b1": "b"},
		engines: map[string]string{"ea": "a", "eb": "b"}, plains: map[string]string{"pa": "a"},
		residency: `residency = ["b"]`,
	})
	key := f.operationPrefix("a1") + ".k"
	for _, role := range []wire.Role{wire.Relay, wire.Home} {
		o := wire.Request{
			Role: role, ID: "x", Caller: "app", Service: "chat", Method: "POST", Path: chatPath, Key: key,
			Body: []byte(chatBody(1, false)), TimeLeftMS: 5000, EntryRegion: "b", Revision: 1,
		}
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		end, err := f.hosts["b1"].flow.Exchange(ctx, "a1", f.settings["a1"].Peers, o, discardSink(), waitTimeout)
		if err != nil || end.Code != fault.NoRegion || end.Ran != fault.RanNo {
			t.Errorf("role %d: got %+v, error %v, want no_region with ran no", role, end, err)
		}
	}
	if n := len(f.engines["ea"].Records()); n != 0 {
		t.Errorf("%d requests ran outside the allowed region", n)
	}
}

// TestRanCoversAllAttempts: a refusal does not have ran no if an earlier attempt of
// the same request may have run.
func TestRanCoversAllAttempts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a"}, engines: map[string]string{"e1": "a", "e2": "a"}})
	f.engines["e1"].SetFault(engine.Fault{CutAfter: 1, RefuseResume: true})
	f.engines["e2"].SetFault(engine.Fault{Refuse: true})
	ran := map[string]string{}
	for i := range 8 {
		id := fmt.Sprint("r", i)
		body := fmt.Sprintf(`{"model":"chat","max_tokens":3,"prompt":"%d"}`, i)
		ran[id] = f.send(context.Background(), "a1", "POST", chatPath, body, withHeader("X-Request-Id", id)).problem(t).Error.Ran
	}
	for _, r := range f.engines["e1"].Records() {
		if ran[r.Request] == "no" {
			t.Errorf("%s ran at e1, but the caller got ran no", r.Request)
		}
	}
	if len(f.engines["e1"].Records()) == 0 {
		t.Error("no attempt was made at e1")
	}
}
