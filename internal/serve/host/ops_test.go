package host

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"encoding/pem"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/ops/admin"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/engine"
)

// sendAdmin sends one request to the admin listener of host a1 and returns the
// status and the body.
func (f *fleet) sendAdmin(method, path, key, body string) (int, string) {
	var status int
	var text []byte
	client.Do(context.Background(), client.Attempt{
		Address: f.settings["a1"].Admin, Method: method, Path: path, Body: []byte(body), Deadline: time.Now().Add(waitTimeout),
		IdleTimeout: waitTimeout, Fields: headerFields("Authorization", "Bearer "+key), MaxAnswerBytes: 1 << 20,
	}, client.Collect(&status, &text))
	return status, string(text)
}

func TestAdmin(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a", "b1": "b"}, engines: map[string]string{"e1": "a"}})
	if r := f.send(context.Background(), "a1", "POST", chatPath, chatBody(2, true)); !r.ok() {
		t.Fatalf("%d %q", r.status, r.body)
	}
	tests := []struct {
		name, method, path, key, body string
		status                        int
		want                          string
	}{
		{"state", "GET", "/admin/state", adminKey, "", 200, `"ready":true`},
		{"members", "GET", "/admin/members", adminKey, "", 200, `"state":"alive"`},
		{"config", "GET", "/admin/config", adminKey, "", 200, `"revision":1`},
		{"endpoints", "GET", "/admin/endpoints", adminKey, "", 200, `"name":"e1"`},
		{"explain", "GET", "/admin/explain?caller=app&service=chat", adminKey, "", 200, `"decision":"here"`},
		{"explain unknown caller", "GET", "/admin/explain?caller=x&service=chat", adminKey, "", 404, "caller is not listed"},
		{"explain unknown service", "GET", "/admin/explain?caller=app&service=x", adminKey, "", 404, "service is not listed"},
		{"check of a bad document", "POST", "/admin/check", adminKey, "[[hosts]]\ncolour = 1", 200, `"accepted":false`},
		{"check of a change", "POST", "/admin/check", adminKey, f.documents("# x").Parts[0].Data, 200, `"accepted":true`},
		{"wrong key", "GET", "/admin/state", "0123456789abcdeX", "", 401, "admin key is not known"},
		{"no key", "GET", "/admin/config", "", "", 401, "admin key is not known"},
		{"metrics", "GET", "/metrics", "", "", 200, `hyssopspindle_requests_total{outcome="answered",service="chat"} 1`},
		{"health", "GET", "/healthz", "", "", 200, "ok"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			status, body := f.sendAdmin(tt.method, tt.path, tt.key, tt.body)
			if status != tt.status || !strings.Contains(body, tt.want) {
				t.Errorf("got %d %.300s, want %d with %q", status, body, tt.status, tt.want)
			}
		})
	}
	var list []admin.Member
	if _, body := f.sendAdmin("GET", "/admin/members", adminKey, ""); json.Unmarshal([]byte(body), &list) != nil || len(list) != 1 {
		t.Errorf("got members %s, want one", body)
	}
}

// TestCallerTLS: a host with a caller certificate in its settings serves callers
// over TLS.
func TestCallerTLS(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a"}, engines: map[string]string{"e1": "a"}, engine: engine.Config{Decode: time.Millisecond}})
	f.stopHost("a1")
	s := f.settings["a1"]
	s.CallerCert, s.CallerKey = filepath.Join(s.Keys, "cert.pem"), filepath.Join(s.Keys, "key.pem")
	f.settings["a1"] = s
	f.startHost("a1")
	f.waitJoined()
	ca, err := os.ReadFile(filepath.Join(s.Keys, "ca.pem"))
	if err != nil {
		t.Fatal(err)
	}
	block, _ := pem.Decode(ca)
	root, err := x509.ParseCertificate(block.Bytes)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(root)
	c := &http.Client{Timeout: waitTimeout, Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, ServerName: "a1"}}}
	defer c.CloseIdleConnections()
	req, err := http.NewRequest("POST", "https://"+s.Callers+chatPath, strings.NewReader(chatBody(12, true)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set("X-Request-Id", "tls")
	resp, err := c.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil || streamedText(t, string(body)) != engine.AnswerText("tls", 12) || !strings.HasSuffix(string(body), "[DONE]\n\n") {
		t.Errorf("%v: %q", err, body)
	}
}

// TestCloseLeavesNoGoroutines: after Close, no goroutine of a host is running.
func TestCloseLeavesNoGoroutines(t *testing.T) {
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a", "b1": "b"}, engines: map[string]string{"e1": "b"}})
	for range 5 {
		f.send(context.Background(), "a1", "POST", chatPath, chatBody(2, true))
	}
	f.stopHost("a1")
	f.stopHost("b1")
	f.eventually("no goroutine of a host is running", func() bool {
		buf := make([]byte, 1<<20)
		stacks := string(buf[:runtime.Stack(buf, true)])
		return !strings.Contains(stacks, "serve/host.(*Host)") && !strings.Contains(stacks, "fleet/link.(*Link)") &&
			!strings.Contains(stacks, "base/ctrl.(*Runner)")
	})
}
