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

// problem is the one error form.
type problem struct {
	Error struct {
		Code    string `json:"code"`
		Message string `json:"message"`
		Ran     string `json:"ran"`
	} `json:"error"`
}

func (r reply) problem(t *testing.T) problem {
	t.Helper()
	var p problem
	if err := json.Unmarshal([]byte(r.body), &p); err != nil || p.Error.Code == "" || p.Error.Ran == "" {
		t.Fatalf("status %d: not the error form: %q (%v)", r.status, r.body, r.res.Err)
	}
	return p
}

// contents returns the text of a streamed answer.
func contents(t testing.TB, body string) string {
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
		opts                     []option
		status                   int
		code                     string
	}{
		{"no key", "POST", chatPath, chat(1, true), []option{func(a *client.Attempt) { a.Fields = nil }}, 401, "bad_key"},
		{"wrong key", "POST", chatPath, chat(1, true), []option{field("Authorization", "Bearer x")}, 401, "bad_key"},
		{"bad JSON", "POST", chatPath, "{", nil, 400, "bad_request"},
		{"no model", "POST", chatPath, "{}", nil, 400, "bad_request"},
		{"unknown model", "POST", chatPath, `{"model":"x"}`, nil, 404, "no_service"},
		{"plain service as a model", "POST", chatPath, `{"model":"shop"}`, nil, 404, "no_service"},
		{"unknown service", "GET", "/v1/call/x/y", "", nil, 404, "no_service"},
		{"model as a plain service", "GET", "/v1/call/chat/y", "", nil, 404, "no_service"},
		{"unknown path", "GET", "/v2/x", "", nil, 404, "no_route"},
		{"bad timeout", "POST", chatPath, chat(1, true), []option{field("X-Request-Timeout", "soon")}, 400, "bad_request"},
		{"operation without key", "POST", "/v1/call/shop/order", "", nil, 428, "operation_key_missing"},
		{"operation with a forged key", "POST", "/v1/call/shop/order", "", []option{field("Idempotency-Key", "a.b.c")}, 400, "operation_key_invalid"},
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
		t.Errorf("%d requests were run", n)
	}
	big := f.send(context.Background(), "a1", "POST", chatPath, strings.Repeat("x", 5<<20))
	if big.status != 413 && big.res.Whole {
		t.Errorf("a body beyond the limit got status %d", big.status)
	}
}

// TestCrossRegion: a request that enters where no endpoint is is answered by
// another region, streamed and whole, byte for byte.
func TestCrossRegion(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts:   map[string]string{"a1": "a", "b1": "b"},
		engines: map[string]string{"e1": "b"}, plains: map[string]string{"p1": "b"},
	})
	ctx := context.Background()
	r := f.send(ctx, "a1", "POST", chatPath, chat(20, true), field("X-Request-Id", "one"))
	if !r.ok() || contents(t, r.body) != engine.Text("one", 20) || !strings.HasSuffix(r.body, "data: [DONE]\n\n") {
		t.Fatalf("streamed: %d %q %v", r.status, r.body, r.res.Err)
	}
	if r.fields["X-Served-By"] != "b1" {
		t.Errorf("served by %q", r.fields["X-Served-By"])
	}
	r = f.send(ctx, "a1", "POST", chatPath, chat(20, false), field("X-Request-Id", "two"))
	if r.status != 200 || !strings.Contains(r.body, engine.Text("two", 20)) || !strings.Contains(r.body, `"usage"`) {
		t.Fatalf("whole: %d %q", r.status, r.body)
	}
	r = f.send(ctx, "a1", "GET", "/v1/call/shop/stock/9?x=1", "")
	if r.status != 200 || !strings.Contains(r.body, `"/stock/9"`) {
		t.Fatalf("plain: %d %q", r.status, r.body)
	}
}

// TestOwnAnswer: many interleaved streams over one link each get their own
// answer, whole.
func TestOwnAnswer(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts:   map[string]string{"a1": "a", "b1": "b"},
		engines: map[string]string{"e1": "b", "e2": "b"}, engine: engine.Config{Slots: 64, Decode: time.Millisecond},
	})
	var wait sync.WaitGroup
	for i := range 60 {
		wait.Go(func() {
			id, n := fmt.Sprintf("r%d", i), 5+i%40
			r := f.send(context.Background(), "a1", "POST", chatPath, chat(n, i%3 > 0), field("X-Request-Id", id))
			want := engine.Text(id, n)
			if i%3 > 0 && contents(t, r.body) != want || i%3 == 0 && !strings.Contains(r.body, want) {
				t.Errorf("%s: status %d, got %q", id, r.status, r.body)
			}
		})
	}
	wait.Wait()
}

// TestBrokenStreams: a stream that is cut or goes silent at an engine goes on
// from its last token; where that can't be, it ends without its closing event.
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
		{"ended early and forgotten", engine.Fault{EndAfter: 5, Forget: true}, false},
		{"cut and forgotten", engine.Fault{CutAfter: 5, Forget: true}, false},
	}
	for _, tt := range tests {
		f.engines["e1"].SetFault(tt.fault)
		r := f.send(context.Background(), "a1", "POST", chatPath, chat(12, true), field("X-Request-Id", tt.name))
		f.engines["e1"].SetFault(engine.Fault{})
		if tt.whole {
			if got := contents(t, r.body); !r.ok() || got != engine.Text(tt.name, 12) {
				t.Errorf("%s: %q, %v", tt.name, got, r.res.Err)
			}
			continue
		}
		if strings.Contains(r.body, "[DONE]") || !strings.Contains(r.body, "event: error") {
			t.Errorf("%s: %q", tt.name, r.body)
		}
		if !strings.HasPrefix(engine.Text(tt.name, 12), contents(t, strings.Split(r.body, "event: error")[0])) {
			t.Errorf("%s: what was passed on is not a beginning of the answer: %q", tt.name, r.body)
		}
	}
}

// TestRetries: what was certainly not run, or may be repeated, is tried at
// another endpoint before the caller hears of it.
func TestRetries(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a"}, engines: map[string]string{"e1": "a", "e2": "a"}})
	for n, fault := range []engine.Fault{{Refuse: true}, {Status: 503}, {CutAfter: 1, Forget: true}} {
		f.engines["e1"].SetFault(fault)
		for i := range 6 {
			id := fmt.Sprintf("fault%d-%d", n, i)
			r := f.send(context.Background(), "a1", "POST", chatPath, chat(4, false), field("X-Request-Id", id))
			if r.status != 200 || !strings.Contains(r.body, engine.Text(id, 4)) {
				t.Errorf("%s: %d %q", id, r.status, r.body)
			}
		}
		f.engines["e1"].SetFault(engine.Fault{})
	}
	if err := f.engines["e1"].Close(); err != nil {
		t.Fatal(err)
	}
	if r := f.send(context.Background(), "a1", "POST", chatPath, chat(4, true)); !r.ok() {
		t.Errorf("after an endpoint is gone: %d %q", r.status, r.body)
	}
}

// TestCallerLeaves: an engine's work ends when its caller has gone.
func TestCallerLeaves(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts:   map[string]string{"a1": "a", "b1": "b"},
		engines: map[string]string{"e1": "b"},
		// The engine would keep the stream for its resumption.
		engine: engine.Config{Decode: 20 * time.Millisecond, Grace: time.Hour},
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.send(ctx, "a1", "POST", chatPath, chat(10000, true))
	}()
	f.eventually("tokens flow", func() bool {
		r := f.engines["e1"].Records()
		return len(r) == 1 && r[0].Emitted > 3
	})
	cancel()
	<-done
	f.eventually("the engine's work is cancelled", func() bool { return f.engines["e1"].Records()[0].Cancelled })
	for _, name := range []string{"a1", "b1"} {
		f.eventually("nothing is in flight", func() bool { return f.hosts[name].board.Pulse.Open() == 0 })
	}
}

// TestResidency: with the allowed region down, nothing is served elsewhere.
func TestResidency(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts:     map[string]string{"a1": "a", "b1": "b"},
		engines:   map[string]string{"ea": "a", "eb": "b"},
		residency: `residency = ["b"]`,
	})
	ctx := context.Background()
	if r := f.send(ctx, "a1", "POST", chatPath, chat(2, true)); !r.ok() {
		t.Fatalf("served by the allowed region: %d %q", r.status, r.body)
	}
	f.stop("b1")
	for i := range 5 {
		r := f.send(ctx, "a1", "POST", chatPath, chat(2, true), field("X-Request-Timeout", "8000"))
		p := r.problem(t)
		if p.Error.Ran == "yes" || r.fields["Retry-After"] == "" {
			t.Errorf("request %d: %d %+v, Retry-After %q", i, r.status, p, r.fields["Retry-After"])
		}
	}
	f.eventually("the region counts as down", func() bool {
		m, _ := f.hosts["a1"].board.Members.Member("b1")
		return !m.Usable()
	})
	if p := f.send(ctx, "a1", "POST", chatPath, chat(2, true)).problem(t); p.Error.Code != "no_region" || p.Error.Ran != "no" {
		t.Errorf("allowed region down: %+v", p)
	}
	if n := len(f.engines["ea"].Records()); n != 0 {
		t.Errorf("%d requests ran outside the allowed region", n)
	}
}

// TestEntryLists: only hosts that take requests are listed.
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
	f.hosts["a2"].board.Pulse.Leave()
	f.eventually("a leaving host is not listed", func() bool { return hosts() == "a1 b1" })
	f.stop("b1")
	f.eventually("a lost host is not listed", func() bool { return hosts() == "a1" })
}

// TestFaultsOfPlainCalls: what is said of the run is true for every way in
// which a call that may not be repeated can fail, and nothing runs twice.
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
			key := f.key("a1") + "." + method + strings.ReplaceAll(tt.name, " ", "-")
			setFault(tt.fault)
			r := f.send(context.Background(), "a1", method, "/v1/call/shop/order", "", field("Idempotency-Key", key))
			setFault(plain.Fault{})
			p := r.problem(t)
			if p.Error.Ran != tt.ran {
				t.Errorf("%s, %s: ran %q, want %q (%+v)", method, tt.name, p.Error.Ran, tt.ran, p)
			}
			again := f.send(context.Background(), "a1", method, "/v1/call/shop/order", "", field("Idempotency-Key", key))
			f.effectsOf()
			if tt.ran == "no" && again.status != 200 {
				t.Errorf("%s, %s: what was not run could not be tried again: %d %q", method, tt.name, again.status, again.body)
			}
		}
	}
}

// key returns a prefix for operation keys from a host.
func (f *fleet) key(host string) string {
	f.t.Helper()
	r := f.send(context.Background(), host, "POST", "/v1/call/shop/order", "")
	prefix := r.fields["X-Operation-Prefix"]
	if prefix == "" {
		f.t.Fatalf("no prefix: %d %q", r.status, r.body)
	}
	return prefix
}

// TestRelayChecksResidency: a host carries out nothing that its region may not
// serve, whoever asks.
func TestRelayChecksResidency(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts:   map[string]string{"a1": "a", "b1": "b"},
		engines: map[string]string{"ea": "a", "eb": "b"}, plains: map[string]string{"pa": "a"},
		residency: `residency = ["b"]`,
	})
	key := f.key("a1") + ".k"
	for _, role := range []wire.Role{wire.Relay, wire.Home} {
		o := wire.Open{
			Role: role, ID: "x", Caller: "app", Service: "chat", Method: "POST", Path: chatPath, Key: key,
			Body: []byte(chat(1, false)), LeftMS: 5000, From: "b", Revision: 1,
		}
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		end, err := f.hosts["b1"].flow.Exchange(ctx, "a1", f.set["a1"].Peers, o, discard(), patience)
		if err != nil || end.Code != fault.NoRegion || end.Ran != fault.RanNo {
			t.Errorf("role %d: %+v, %v", role, end, err)
		}
	}
	if n := len(f.engines["ea"].Records()); n != 0 {
		t.Errorf("%d requests ran outside the allowed region", n)
	}
}

// TestRanSpeaksOfAllAttempts: "no" is not said where an earlier attempt of the
// same request is in doubt.
func TestRanSpeaksOfAllAttempts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a"}, engines: map[string]string{"e1": "a", "e2": "a"}})
	f.engines["e1"].SetFault(engine.Fault{CutAfter: 1, Forget: true})
	f.engines["e2"].SetFault(engine.Fault{Refuse: true})
	told := map[string]string{}
	for i := range 8 {
		id := fmt.Sprint("r", i)
		body := fmt.Sprintf(`{"model":"chat","max_tokens":3,"prompt":"%d"}`, i)
		told[id] = f.send(context.Background(), "a1", "POST", chatPath, body, field("X-Request-Id", id)).problem(t).Error.Ran
	}
	for _, r := range f.engines["e1"].Records() {
		if told[r.Request] == "no" {
			t.Errorf("%s ran at e1, and the caller was told that it did not", r.Request)
		}
	}
	if len(f.engines["e1"].Records()) == 0 {
		t.Error("no request was tried at e1")
	}
}
