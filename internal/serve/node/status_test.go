package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/httpd"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// signedStatuses are the statuses that endpoints sign in tests: those of successes with a body, and all of failures. The last one
// ends the use of its endpoints.
func signedStatuses() []int {
	out := []int{200, 201, 202, 203, 206, 207, 226, 299}
	for status := 400; status <= 599; status++ {
		if status != http.StatusMisdirectedRequest {
			out = append(out, status)
		}
	}
	return append(out, http.StatusMisdirectedRequest)
}

// TestSignatureOnAnotherStatus guards against an endpoint's signature, fields or body with another status than the endpoint gave:
// an answer reaches its caller whole, or the host answers for itself. All endpoints give the same answer, so that it is
// that of the last attempt too.
func TestSignatureOnAnotherStatus(t *testing.T) {
	const body = "the endpoint's bytes"
	for region, where := range map[string]string{"a": "local", "b": "relayed"} {
		t.Run(where, func(t *testing.T) {
			t.Parallel()
			bounds := setup.DefaultBounds()
			bounds.RetrySlack = 5000
			f := startFleetWithBounds(t, bounds)
			f.onlyIn(region, "plain")
			f.onlyIn(region, "model")
			passed, own := 0, 0
			for _, status := range signedStatuses() {
				back := "7"
				if status == http.StatusServiceUnavailable {
					// The hosts would send the endpoints nothing for as long.
					back = "0"
				}
				raw := httpd.Raw{Text: fmt.Sprintf("HTTP/1.1 %d x\r\n%sX-Odd: 1\r\nX-Odd: 2\r\nRetry-After: "+back+"\r\nContent-Type: text/odd\r\nContent-Length: %d\r\n\r\n%s", status, routed.FieldsMark, len(body), body)}
				for _, e := range f.endpoints {
					e.SetPlan(func(routed.Run, int) routed.Fault { return routed.Fault{Raw: raw} })
				}
				for _, path := range []string{"/unsafe/x", "/unsafe-twice/x", "/safe/x", "/stream-once/x", "/stream/x"} {
					id := fmt.Sprintf("%d %s", status, path)
					var header http.Header
					got, text, err := f.callResponse("a", http.MethodPost, path, id, func(r *http.Response) { header = r.Header }, nil)
					if err != nil {
						t.Errorf("%s: %v", id, err)
						continue
					}
					if signed := header.Get(routed.SignedBy) != ""; signed {
						passed++
						if got != status || text != body || strings.Join(header.Values("X-Odd"), ",") != "1,2" || header.Get("Retry-After") != "7" || header.Get("Content-Type") != "text/odd" {
							t.Errorf("%s: got status %d, header %v, body %q with a signature, want all of the endpoint's answer", id, got, header, text)
						}
						continue
					}
					own++
					if !fault.StatesNotRun(status) || got != http.StatusBadGateway && status != http.StatusMisdirectedRequest {
						t.Errorf("%s: got status %d of the host, body %q", id, got, text)
					}
					if header.Get("X-Odd") != "" || header.Get("Retry-After") == "7" || header.Get("Content-Type") == "text/odd" || strings.Contains(text, body) {
						t.Errorf("%s: the host's answer has header %v, body %q", id, header, text)
					}
				}
			}
			t.Logf("%d answers were passed on, %d were the host's", passed, own)
			if passed == 0 || own == 0 {
				t.Error("one kind of answers was not played")
			}
		})
	}
}
