package node

import (
	"fmt"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// TestPausedEndpointGetsRequests: an endpoint that turns a request away with a time to come
// back gets none until then, and then one before it gets more.
func TestPausedEndpointGetsRequests(t *testing.T) {
	const pause = 2500 * time.Millisecond
	f := startFleet(t)
	f.startEndpoint("model-a2", "model", "a")
	f.eventually("the second endpoint is registered", func() bool { return len(f.nodes["a"].board.Registry.Endpoints("model")) == 3 })
	paused := f.endpoints["model-a1"]
	paused.SetFault(routed.Fault{Times: 1, NotRun: true, RetryAfter: fmt.Sprint(pause.Seconds())})
	send := func(name string, until func() bool) {
		for i := 0; !until(); i++ {
			id := fmt.Sprint(name, i)
			if status, body, err := f.call("POST", "/stream/x", id, nil); status != 200 || body != wholeStream(id) || err != nil {
				t.Errorf("got status %d, body %q, error %v, want the whole stream of another endpoint", status, body, err)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	send("before", func() bool { return paused.Refused() > 0 })
	turnedAway := time.Now()
	send("paused", func() bool { return time.Since(turnedAway) > pause-100*time.Millisecond })
	if n := len(paused.Runs()) + paused.Refused() - 1; n > 0 {
		t.Errorf("the endpoint got %d requests while it wanted none", n)
	}
	f.eventually("the endpoint gets requests again", func() bool {
		id := fmt.Sprint("after", time.Now().UnixNano())
		_, _, _ = f.call("POST", "/stream/x", id, nil)
		return len(paused.Runs()) > 0
	})
}

// TestPausedServiceIsRefusedLate: while all endpoints of a service want no requests, a
// request is refused at once, with the time until the first of them does.
func TestPausedServiceIsRefusedLate(t *testing.T) {
	f := startFleet(t)
	f.endpoints["plain-a1"].SetFault(routed.Fault{Times: 1, NotRun: true, RetryAfter: "8"})
	f.endpoints["plain-b1"].SetFault(routed.Fault{Times: 1, NotRun: true, RetryAfter: "5"})
	for i := range 2 {
		_, _, _ = f.call("GET", "/safe/x", fmt.Sprint("first", i), nil)
	}
	for i := range 5 {
		id := fmt.Sprint("r", i)
		began := time.Now()
		retryAfter := ""
		status, _, err := f.callResponse("a", "GET", "/safe/x", id, func(r *http.Response) { retryAfter = r.Header.Get("Retry-After") }, nil)
		after, parseErr := strconv.ParseFloat(retryAfter, 64)
		if err != nil || status != http.StatusServiceUnavailable || parseErr != nil || after < 3 || after > 5 {
			t.Errorf("got status %d, Retry-After %q, error %v, want 503 and up to 5 s", status, retryAfter, err)
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("the request was refused after %v, want at once", took)
		}
	}
	if n := len(f.runs("plain-a1", "plain-b1")); n != 0 {
		t.Errorf("endpoints that wanted no requests ran %d", n)
	}
}
