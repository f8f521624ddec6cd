package host

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/hyssopspindle/hyssopspindle/internal/stand/httpd"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/plain"
)

// TestStoredOutcomeHasAnotherStatus guards against the answer of an operation whose status, fields and body are not all those of its
// endpoint, the first time or when the key is sent again, at its home host or another one.
func TestStoredOutcomeHasAnotherStatus(t *testing.T) {
	const body = "the endpoint's bytes"
	for region, where := range map[string]string{"a": "local", "b": "relayed"} {
		t.Run(where, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, plan{hosts: map[string]string{"a1": "a", "a2": "a", "b1": "b"}, plains: map[string]string{"p1": region}})
			prefix := f.operationPrefix("a1")
			statuses := []int{200, 201, 202, 203, 206, 207, 226, 299}
			for status := 400; status <= 599; status++ {
				// The inventory lists 429 as a refusal.
				if status != http.StatusTooManyRequests {
					statuses = append(statuses, status)
				}
			}
			for _, status := range statuses {
				f.plains["p1"].SetFault(plain.Fault{Raw: httpd.Raw{Text: fmt.Sprintf(
					"HTTP/1.1 %d x\r\nX-Odd: 1\r\nX-Odd: 2\r\nRetry-After: 7\r\nContent-Type: text/odd\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)}})
				key := fmt.Sprintf("%s.%d", prefix, status)
				for _, host := range []string{"a1", "a1", "a2"} {
					r := f.sendOperation(host, key)
					if r.status != status || r.body != body || r.fields["X-Odd"] != "2" || r.fields["Retry-After"] != "7" || r.fields["Content-Type"] != "text/odd" {
						t.Errorf("%d at %s: got status %d, fields %v, body %q, want the endpoint's answer", status, host, r.status, r.fields, r.body)
					}
				}
			}
			if n := len(f.runsByKey()); n != len(statuses) {
				t.Errorf("%d operations ran, want %d", n, len(statuses))
			}
		})
	}
}
