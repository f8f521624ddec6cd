package node

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
)

// TestEndOfGraceCutsRequestsOff guards against a planned stop that closes the connections of requests
// whose endpoints still work, or that still wait for one, instead of answering whether they have run.
func TestEndOfGraceCutsRequestsOff(t *testing.T) {
	for _, stopped := range []string{"a", "b"} {
		t.Run("host "+stopped, func(t *testing.T) {
			t.Parallel()
			bounds := setup.DefaultBounds()
			bounds.GraceS = 5
			f := startFleetWithBounds(t, bounds)
			for _, id := range []string{"plain-a1", "plain-b1"} {
				f.endpoints[id].AnswerTime = waitTimeout
			}
			// The home of /bound/ is the other region.
			paths := []string{"/unsafe/x", "/bound/x"}
			const sends = 2
			if stopped == "b" {
				// The other requests do not depend on this host.
				paths = paths[1:]
			}
			results := make(chan string, sends*len(paths))
			send := func(when string, allowed ...int) {
				for _, path := range paths {
					go func() {
						id := when + path
						status, _, err := f.call("POST", path, id, nil)
						switch {
						case err != nil:
							results <- fmt.Sprintf("%s: no answer: %v", id, err)
						case !slices.Contains(allowed, status):
							results <- fmt.Sprintf("%s: status %d, want one of %v", id, status, allowed)
						default:
							results <- ""
						}
					}()
				}
			}
			ran := []int{http.StatusBadGateway, http.StatusGatewayTimeout}
			send("before", ran...)
			f.eventually("both requests run", func() bool { return len(f.runs("plain-a1", "plain-b1")) == len(paths) })
			if stopped == "b" {
				// Relays that drain accept no more requests.
				ran = []int{http.StatusServiceUnavailable}
			}
			time.AfterFunc(time.Second, func() { send("draining", ran...) })
			n := f.nodes[stopped]
			n.Drain(t.Context())
			if open := n.front.OpenRequests(); open != 0 {
				t.Errorf("the drain ended with %d requests without an answer", open)
			}
			f.closeHost(stopped)
			for range cap(results) {
				select {
				case failed := <-results:
					if failed != "" {
						t.Error(failed)
					}
				case <-time.After(waitTimeout / 2):
					t.Fatal("a request has no answer")
				}
			}
		})
	}
}

// TestEndOfGraceLeavesPipelinedRequests guards against a planned stop that answers the request that runs
// at the end of the grace period, and not the one that waits behind it on the connection.
func TestEndOfGraceLeavesPipelinedRequests(t *testing.T) {
	bounds := setup.DefaultBounds()
	bounds.GraceS = 5
	f := startFleetWithBounds(t, bounds)
	for _, e := range f.endpoints {
		e.AnswerTime = waitTimeout
	}
	n := f.nodes["a"]
	c, err := net.Dial("tcp", n.settings.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	for i := range 2 {
		_, _ = fmt.Fprintf(c, "POST /unsafe/x HTTP/1.1\r\nHost: h\r\n%s: r%d\r\nContent-Length: 4\r\n\r\nbody", platTerms.RequestID, i)
	}
	f.eventually("the first request runs", func() bool { return len(f.runs("plain-a1", "plain-b1")) == 1 })
	n.Drain(t.Context())
	f.closeHost("a")
	r := bufio.NewReader(c)
	for i, want := range []int{http.StatusGatewayTimeout, http.StatusServiceUnavailable} {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			t.Fatalf("request %d: %v", i, err)
		}
		_ = resp.Body.Close()
		if resp.StatusCode != want {
			t.Errorf("request %d: status %d, want %d", i, resp.StatusCode, want)
		}
	}
	if runs := len(f.runs("plain-a1", "plain-b1")); runs != 1 {
		t.Errorf("%d runs, want 1", runs)
	}
}
