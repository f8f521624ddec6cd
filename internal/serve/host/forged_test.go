package host

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/front"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/forged"
)

// callFields are the lines of the head of a caller's request.
func callFields(id string) string {
	return "Authorization: Bearer " + callerKey + "\r\n" + front.RequestIDField + ": " + id + "\r\n"
}

// TestRequestInsideAnotherOneRunsAtInventoryHost guards against a request in the body of another one that a host with an
// inventory runs with the caller's key, as the head or the chunks around it are read in two ways.
func TestRequestInsideAnotherOneRunsAtInventoryHost(t *testing.T) {
	for region, where := range map[string]string{"a": "local", "b": "relayed"} {
		t.Run(where, func(t *testing.T) {
			t.Parallel()
			log := &logText{}
			f := newFleet(t, plan{hosts: map[string]string{"a1": "a", "b1": "b"}, engines: map[string]string{"e1": region}, log: log})
			body := chatBody(1, false)
			shapes := append(forged.Heads(), forged.Bodies()...)
			for i, s := range shapes {
				inner := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%sContent-Length: %d\r\n\r\n%s", chatPath, callFields(fmt.Sprintf("hidden-%d", i)), len(body), body)
				answers, ended, err := forged.Send(f.settings["a1"].Callers, s.Text("POST "+chatPath, "h", callFields(fmt.Sprintf("outer-%d", i)), inner), waitTimeout, time.Second)
				if err != nil {
					t.Fatal(err)
				}
				if len(answers) != 1 || answers[0].Status != http.StatusBadRequest || !strings.Contains(answers[0].Body, `"code":"bad_request"`) || !ended {
					t.Errorf("%s: got answers %v, connection ended %v, want 400 and its end", s.Name, answers, ended)
				}
			}
			for _, r := range f.engines["e1"].Records() {
				t.Errorf("%s ran", r.Request)
			}
			if got := len(log.lines("malformed request refused")); got != len(shapes) {
				t.Errorf("%d log lines of malformed requests, want %d", got, len(shapes))
			}
		})
	}
}

// TestPathOfCallIsChanged guards against calls of plain services whose path, query, method or body reach the endpoint changed:
// an escaped question mark became the begin of a query, an escaped slash one of the path.
func TestPathOfCallIsChanged(t *testing.T) {
	for region, where := range map[string]string{"a": "local", "b": "relayed"} {
		t.Run(where, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, plan{hosts: map[string]string{"a1": "a", "b1": "b"}, plains: map[string]string{"p1": region}})
			shapes := forged.Sound()
			for _, target := range []string{"/a%2Fb", "/a%3Fb=c", "/a%20b", "/a%0d%0aX:%20y", "//a//b/", "/?", "?a", "/a+b?c+d=%26&e=f/../g", "/caf\xc3\xa9"} {
				shapes = append(shapes, forged.Shape{Name: target, Target: target, Last: "Content-Length: {all}\r\n"})
			}
			for i, s := range shapes {
				inner := fmt.Sprintf("GET /v1/call/shop/stock HTTP/1.1\r\nHost: h\r\n%s\r\n", callFields("hidden"))
				text := s.Text("GET /v1/call/shop/stock", "h", callFields(fmt.Sprint("sound-", i)), inner)
				answers, _, err := forged.Send(f.settings["a1"].Callers, text, waitTimeout, 20*time.Millisecond)
				if err != nil || len(answers) != 1 || answers[0].Status != http.StatusOK {
					t.Errorf("%s: got answers %v, error %v, want one with 200", s.Name, answers, err)
					continue
				}
				var got struct{ Target, Method, Body string }
				if err := json.Unmarshal([]byte(answers[0].Body), &got); err != nil || got.Target != "/stock"+s.Target || got.Method != http.MethodGet || got.Body != inner {
					t.Errorf("%s: the endpoint got %+v, error %v, want target %q", s.Name, got, err, "/stock"+s.Target)
				}
			}
			// Endpoints make a path of these that may not be repeated.
			for _, target := range []string{"/stock/../x", "/stock/%2e%2e/x", "/stock%2F..%2Fx", "//x"} {
				answers, _, err := forged.Send(f.settings["a1"].Callers, "GET /v1/call/shop"+target+" HTTP/1.1\r\nHost: h\r\n"+callFields("resolved")+"\r\n", waitTimeout, 20*time.Millisecond)
				if err != nil || len(answers) != 1 || answers[0].Status != http.StatusPreconditionRequired {
					t.Errorf("%s: got answers %v, error %v, want 428", target, answers, err)
				}
			}
			for _, target := range []string{"/v1/call/sh%6fp/stock", "/v1//call/shop/stock", "/v1/call/./shop/stock", "/v1/call/x/../shop/stock", "/v1/%63all/shop/stock"} {
				answers, _, err := forged.Send(f.settings["a1"].Callers, "GET "+target+" HTTP/1.1\r\nHost: h\r\n"+callFields("odd")+"\r\n", waitTimeout, 20*time.Millisecond)
				if err != nil || len(answers) != 1 || answers[0].Status != http.StatusBadRequest {
					t.Errorf("%s: got answers %v, error %v, want 400", target, answers, err)
				}
			}
		})
	}
}

// TestMalformedRequestIsReadByOtherListeners guards against a listener for operators that serves a malformed request, or what
// stands behind it.
func TestMalformedRequestIsReadByOtherListeners(t *testing.T) {
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a"}, engines: map[string]string{"e1": "a"}, change: func(s *setup.Settings) { s.AdminKey = adminKey }})
	for _, s := range append(forged.Heads(), forged.Bodies()...) {
		text := s.Text("POST /admin/check", "h", "Authorization: Bearer "+adminKey+"\r\n", "GET /admin/state HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer "+adminKey+"\r\n\r\n")
		answers, ended, err := forged.Send(f.settings["a1"].Admin, text, waitTimeout, time.Second)
		if err != nil || len(answers) != 1 || answers[0].Status != http.StatusBadRequest || !ended {
			t.Errorf("%s: got answers %v, connection ended %v, error %v, want 400 and its end", s.Name, answers, ended, err)
		}
	}
}
