package pool

import (
	"errors"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/route/retry"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/head"
)

// TestBrokenHeadIsTakenByAnyReader guards against a broken head where no caller's answer is read: a refusal that would
// count as not run, a skipped answer behind which another one waits, and a health check.
func TestBrokenHeadIsTakenByAnyReader(t *testing.T) {
	const notRun = "X-Not-Run: 1\r\n"
	for name, tt := range map[string]struct {
		answer string
		change func(*Attempt)
	}{
		"refusal":        {"HTTP/1.1 503 x\r\nX-Id: a\r\n" + notRun + "X Odd: 1\r\nContent-Length: 0\r\n\r\n", nil},
		"skipped answer": {"HTTP/1.1 200 OK\r\nX-Id: b\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n" + answer("a", "x"), nil},
		"health check":   {"HTTP/1.1 200 OK\r\nX Odd: 1\r\nContent-Length: 0\r\n\r\n", func(a *Attempt) { a.ID, a.Method, a.Body = "", "GET", nil }},
	} {
		c := &Client{Pool: New(), Terms: testTerms, Now: time.Now}
		out, body := do(c, listen(t, tt.answer).Addr().String(), tt.change)
		if out.Whole || out.Started || out.Ran != fault.RanUnknown || out.Reason != retry.Broken || !errors.Is(out.Err, head.ErrBroken) || body != "" || out.Status != 0 {
			t.Errorf("%s: got %+v, body %q, want a broken head", name, out, body)
		}
		if len(c.Pool.idle) > 0 {
			t.Errorf("%s: the connection is kept", name)
		}
		c.Pool.Close()
	}
}
