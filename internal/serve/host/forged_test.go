package host

import (
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
