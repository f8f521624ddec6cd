package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
	"github.com/hyssopspindle/hyssopspindle/platform/stand"
)

// secretKey is a key that must appear nowhere.
const secretKey = "secret-key-of-acme"

// startCustomers starts a host in each of two regions, with customers that differ in priority and
// homes and routes that differ in homes.
func startCustomers(t *testing.T) *keyFleet {
	t.Helper()
	f := startKeyFleet(t, "a1", "b1")
	urgent := 1
	routes := append(slices.Clone(keyRoutes),
		stand.Route{Name: "far", Host: "h", Prefix: "/far/", Service: "plain", Kind: stand.KindSafe, Timeout: 3 * waitTimeout, Attempts: 2, Homes: []string{"b"}},
		stand.Route{Name: "prompt", Host: "h", Prefix: "/prompt/", Service: "plain", Kind: stand.KindStream, Timeout: 3 * waitTimeout, Attempts: 2, Prompts: true},
	)
	f.platform.PublishCustomers(8, []string{"plain"}, []stand.Customer{
		{Name: "acme", Keys: []string{"other", secretKey}, Priority: &urgent},
		{Name: "far", Keys: []string{"k-far"}, Homes: []string{"b"}},
		{Name: "near", Keys: []string{"k-near"}, Homes: []string{"a"}},
	}, routes...)
	f.eventually("both hosts have the customers and know the endpoints", func() bool {
		for _, n := range f.nodes {
			if !n.keysValid(8) || n.board.Routes.Version() != 8 || n.board.Registry.Len() != 2 || n.board.Members.CountUsable("a")+n.board.Members.CountUsable("b") != 1 {
				return false
			}
		}
		return true
	})
	return f
}

// send sends a request with a key and a customer's name that the caller made up.
func (f *keyFleet) send(path, id, key string) (int, string) {
	f.t.Helper()
	status, body, err := f.callHost("a1", "GET", path, id, func(r *http.Request) {
		r.Header[platTerms.Key] = []string{key}
		r.Header[platTerms.CustomerName] = []string{"mallory", "acme"}
		r.Header["tENANT"] = []string{"mallory"}
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return status, body
}

func (f *keyFleet) allRuns() []routed.Run { return f.runs("e-a", "e-b") }

// TestKeyStaysAtTheHost guards against a key, or a customer's name that the caller made up, reaching
// an endpoint, another host or a log, on each path of a request.
func TestKeyStaysAtTheHost(t *testing.T) {
	f := startCustomers(t)
	for _, tt := range []struct {
		name, path string
		fault      routed.Fault
		runs       int
		stream     bool
	}{
		{name: "local", path: "/keyed/x", runs: 1},
		{name: "relayed", path: "/far/x", runs: 1},
		{name: "retried", path: "/keyed/x", fault: routed.Fault{Times: 1, Status: 500}, runs: 2},
		{name: "resumed", path: "/stream/x", fault: routed.Fault{Times: 1, CutAfter: 2}, runs: 2, stream: true},
		{name: "public", path: "/public/x", runs: 1},
	} {
		before := len(f.allRuns())
		f.endpoints["e-a"].SetFault(tt.fault)
		status, body := f.send(tt.path, tt.name, secretKey)
		want := routed.PlainAnswer(tt.name)
		if tt.stream {
			want = wholeStream(tt.name)
		}
		if status != 200 || body != want {
			t.Errorf("%s: got status %d, body %q", tt.name, status, body)
		}
		if n := len(f.allRuns()) - before; n != tt.runs {
			t.Errorf("%s: %d runs, want %d", tt.name, n, tt.runs)
		}
	}
	for _, run := range f.allRuns() {
		want := []string{"acme"}
		if run.ID == "public" {
			want = nil
		}
		if got := run.Header.Values(platTerms.CustomerName); !slices.Equal(got, want) {
			t.Errorf("%s: endpoint received customer %q, want %q", run.ID, got, want)
		}
		if text := fmt.Sprint(run.Header); strings.Contains(text, secretKey) || run.Header.Values(platTerms.Key) != nil {
			t.Errorf("%s: endpoint received the key: %s", run.ID, text)
		}
	}
	_, _ = f.send("/keyed/x", "unknown", secretKey+"-unknown")
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	text, err := json.Marshal(f.log.lines)
	if err != nil || strings.Contains(string(text), secretKey) || !strings.Contains(string(text), `"customers changed"`) {
		t.Errorf("logs contain the key, or do not say that customers changed (error %v)", err)
	}
}

// TestCustomersPriorityAndHomes guards against the route's priority or homes being used where the
// customer's apply, at this host and at a relay, and against a request being processed in a region
// that one of them excludes.
func TestCustomersPriorityAndHomes(t *testing.T) {
	f := startCustomers(t)
	for _, tt := range []struct {
		path, key, region, priority string
		status                      int
	}{
		{path: "/prompt/x", key: secretKey, region: "a", priority: "1", status: 200},
		{path: "/prompt/x", key: "k-near", region: "a", priority: "0", status: 200},
		{path: "/prompt/x", key: "k-far", region: "b", priority: "0", status: 200},
		{path: "/keyed/x", key: "k-far", region: "b", status: 200},
		{path: "/far/x", key: secretKey, region: "b", status: 200},
		{path: "/far/x", key: "k-near", status: 503},
	} {
		id := fmt.Sprint(tt.path, "-", tt.key, "-", time.Now().UnixNano())
		status, _ := f.send(tt.path, id, tt.key)
		if status != tt.status {
			t.Errorf("%s with key %s: status %d, want %d", tt.path, tt.key, status, tt.status)
		}
		for _, region := range []string{"a", "b"} {
			for _, run := range f.runs("e-" + region) {
				if run.ID == id && (region != tt.region || run.Header.Get(platTerms.Priority) != tt.priority) {
					t.Errorf("%s with key %s ran in region %s with priority %q, want %s and %q", tt.path, tt.key, region, run.Header.Get(platTerms.Priority), tt.region, tt.priority)
				}
			}
		}
	}
}

// TestMalformedKeys guards against requests without a readable key running, or being answered
// without a clear error.
func TestMalformedKeys(t *testing.T) {
	f := startKeyFleet(t, "a1")
	for _, tt := range []struct {
		name string
		keys []string
		want int
	}{
		{"missing", nil, 401},
		{"empty", []string{""}, 401},
		{"twice", []string{"k1", "k1"}, 400},
		{"one of two unknown", []string{"k1", "k2"}, 400},
		{"too long", []string{strings.Repeat("k", 300)}, 400},
		{"space", []string{"k 1"}, 400},
		{"not ASCII", []string{"k\xe9"}, 400},
		{"unknown", []string{"K1"}, 401},
		{"prefix", []string{"k"}, 401},
	} {
		status, body, err := f.callHost("a1", "GET", "/keyed/x", tt.name, func(r *http.Request) { r.Header[platTerms.Key] = tt.keys })
		if err != nil || status != tt.want || !strings.Contains(body, platTerms.Key) {
			t.Errorf("%s: status %d, body %q, error %v, want %d and the name of the field", tt.name, status, body, err, tt.want)
		}
	}
	if runs := f.runs("e-a"); len(runs) > 0 {
		t.Errorf("%d requests with malformed keys ran", len(runs))
	}
}
