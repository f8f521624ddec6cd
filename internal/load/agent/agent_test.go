package agent

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/entry"
)

// step is how the gateway's stand-in handles one attempt.
type step struct {
	// cut closes the connection without an answer.
	cut  bool
	code fault.Code
	ran  fault.Ran
}

// gateway is a stand-in that handles attempts by a script and then answers 200.
type gateway struct {
	t       *testing.T
	mu      sync.Mutex
	steps   []step
	keys    []string
	address string
}

func newGateway(t *testing.T, steps ...step) *gateway {
	t.Helper()
	g := &gateway{t: t, steps: steps}
	server := httptest.NewServer(g)
	t.Cleanup(server.Close)
	g.address = strings.TrimPrefix(server.URL, "http://")
	return g
}

func (g *gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if r.URL.Path == "/v1/entry" {
		_ = json.NewEncoder(w).Encode(entry.Answer{Hosts: []entry.RankedHost{{Address: g.address}}, KeyPrefix: "p", TTLMS: 60_000})
		return
	}
	g.keys = append(g.keys, r.Header.Get("Idempotency-Key"))
	if len(g.steps) == 0 {
		_, _ = w.Write([]byte("done"))
		return
	}
	s := g.steps[0]
	g.steps = g.steps[1:]
	if s.cut {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			g.t.Error(err)
			return
		}
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
		return
	}
	w.WriteHeader(s.code.Status())
	_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]any{"code": s.code, "ran": s.ran}})
}

func TestOperationKeys(t *testing.T) {
	refused := step{code: fault.Leaving, ran: fault.RanNo}
	uncertain := step{code: fault.Leaving, ran: fault.RanUnknown}
	cut := step{cut: true}
	tests := []struct {
		name     string
		steps    []step
		wantKeys int
		wantRan  fault.Ran
		wantCode fault.Code
	}{
		{"answered", nil, 1, "", ""},
		{"refused, then answered", []step{refused}, 2, "", ""},
		{"refused, then cut", []step{refused, cut, cut}, 2, fault.RanUnknown, ""},
		{"cut, then refused", []step{cut, refused, refused}, 1, fault.RanUnknown, fault.Leaving},
		{"uncertain, then refused", []step{uncertain, refused, refused}, 1, fault.RanUnknown, fault.Leaving},
		{"always refused", []step{refused, refused, refused}, 4, fault.RanNo, fault.Leaving},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			g := newGateway(t, tt.steps...)
			a := &Agent{Seeds: []string{g.address}, ClientID: "c", MaxAttempts: 3}
			out := a.Do(context.Background(), Request{
				Method: http.MethodPost, Path: "/v1/call/shop/order", Operation: true,
				Deadline: time.Now().Add(20 * time.Second), IdleTimeout: 10 * time.Second,
			}, func([]byte) error { return nil })
			g.mu.Lock()
			defer g.mu.Unlock()
			used := slices.Compact(append(slices.Clone(g.keys), out.Key))
			if len(used) != tt.wantKeys {
				t.Errorf("operation keys used = %v, want %d", used, tt.wantKeys)
			}
			if out.Ran != tt.wantRan || out.Code != tt.wantCode {
				t.Errorf("outcome = ran %q, code %q, want %q, %q", out.Ran, out.Code, tt.wantRan, tt.wantCode)
			}
			if out.Complete != (tt.wantRan == "") {
				t.Errorf("Complete = %v with ran %q", out.Complete, out.Ran)
			}
		})
	}
}
