package node

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// TestPlannedStopAnswersArrivingRequests guards against a planned stop that closes connections
// with requests that are still arriving: their callers had no sign that they have not run.
func TestPlannedStopAnswersArrivingRequests(t *testing.T) {
	f := startFleet(t)
	n := f.nodes["a"]
	ended := make(chan struct{})
	// Once the drain has returned, the process ends with all its connections.
	var drained atomic.Bool
	// Each request begins before the signal and ends some time after it. Hosts accept requests
	// for 2.8 s.
	tests := []struct {
		name  string
		first string
		rest  string
		after time.Duration
		want  int
	}{
		{"body, served", "Content-Length: 4\r\n\r\nb", "ody", time.Second, http.StatusOK},
		{"body", "Content-Length: 4\r\n\r\nb", "ody", 4500 * time.Millisecond, http.StatusServiceUnavailable},
		{"body of which nothing has arrived", "Content-Length: 4\r\n\r\n", "body", 4500 * time.Millisecond, http.StatusServiceUnavailable},
		{"chunks", "Transfer-Encoding: chunked\r\n\r\n1\r\nb\r\n", "3\r\nody\r\n0\r\n\r\n", 4500 * time.Millisecond, http.StatusServiceUnavailable},
		{"head", "Content-Le", "ngth: 4\r\n\r\nbody", 4500 * time.Millisecond, http.StatusServiceUnavailable},
	}
	results := make(chan string, 2*len(tests))
	sent := 0
	for _, tt := range tests {
		for _, reused := range []bool{false, true} {
			sent++
			id := fmt.Sprint(tt.name, " reused ", reused)
			c, err := net.Dial("tcp", n.settings.Callers)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = c.Close() })
			_ = c.SetDeadline(time.Now().Add(waitTimeout))
			r := bufio.NewReader(c)
			head := func(id string) string {
				return fmt.Sprintf("POST /unsafe/x HTTP/1.1\r\nHost: h\r\n%s: %s\r\n", platTerms.RequestID, id)
			}
			if reused {
				_, _ = c.Write([]byte(head(id+" before") + "Content-Length: 0\r\n\r\n"))
				resp, err := http.ReadResponse(r, nil)
				if err != nil || resp.StatusCode != http.StatusOK {
					t.Fatalf("%s: got %v, error %v", id, resp, err)
				}
				_ = resp.Body.Close()
			}
			_, _ = c.Write([]byte(head(id) + tt.first))
			go func() {
				time.Sleep(tt.after)
				_, _ = c.Write([]byte(tt.rest))
				resp, err := http.ReadResponse(r, nil)
				if err == nil {
					defer func() { _ = resp.Body.Close() }()
				}
				switch {
				case drained.Load():
					results <- id + ": the drain ended before the answer"
				case err != nil:
					results <- fmt.Sprintf("%s: no answer: %v", id, err)
				case resp.StatusCode != tt.want:
					results <- fmt.Sprintf("%s: got status %d, want %d", id, resp.StatusCode, tt.want)
				default:
					results <- ""
				}
			}()
		}
	}
	f.eventually("all requests have begun to arrive", func() bool { return n.front.OpenRequests() == sent })
	go func() {
		defer close(ended)
		n.Drain(context.Background())
		drained.Store(true)
		f.closeHost("a")
	}()
	for range sent {
		if failed := <-results; failed != "" {
			t.Error(failed)
		}
	}
	<-ended
	if runs := f.runs("plain-a1", "plain-b1"); len(runs) != len(tests)+2 {
		t.Errorf("got %d runs, want %d", len(runs), len(tests)+2)
	}
}

// TestPlannedStopAnswersPipelinedRequests guards against a planned stop that closes a connection
// after an answer though further requests have arrived on it.
func TestPlannedStopAnswersPipelinedRequests(t *testing.T) {
	for _, path := range []string{"/unsafe/x", "/stream-once/x"} {
		t.Run(path, func(t *testing.T) {
			f := startFleet(t)
			n := f.nodes["a"]
			for _, e := range f.endpoints {
				e.AnswerTime, e.EventGap = 300*time.Millisecond, 100*time.Millisecond
			}
			c, err := net.Dial("tcp", n.settings.Callers)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_ = c.SetDeadline(time.Now().Add(waitTimeout))
			const count = 3
			for i := range count {
				_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: h\r\n%s: r%d\r\nContent-Length: 4\r\n\r\nbody", path, platTerms.RequestID, i)
			}
			r := bufio.NewReader(c)
			f.eventually("the first request is served", func() bool { return n.front.OpenRequests() == 1 })
			n.board.Health.SetLeaving()
			for i := range count {
				resp, err := http.ReadResponse(r, nil)
				if err != nil {
					t.Fatalf("request %d: %v", i, err)
				}
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				id := fmt.Sprint("r", i)
				want := routed.PlainAnswer(id)
				if path != "/unsafe/x" {
					want = wholeStream(id)
				}
				if resp.StatusCode != http.StatusOK || string(body) != want || err != nil {
					t.Errorf("request %d: status %d, body %q, error %v, want %q", i, resp.StatusCode, body, err, want)
				}
				if last := i == count-1; resp.Close != last {
					t.Errorf("request %d: the answer announces the close: %t, want %t", i, resp.Close, last)
				}
			}
		})
	}
}

// TestPlannedStopEndsWithIdleConnections guards against a drain that lasts for its grace period
// as callers keep connections open without a request.
func TestPlannedStopEndsWithIdleConnections(t *testing.T) {
	f := startFleet(t)
	n := f.nodes["a"]
	c, err := net.Dial("tcp", n.settings.Callers)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	if status, _, err := f.call("GET", "/safe/x", "r", nil); status != http.StatusOK {
		t.Fatalf("status %d, error %v", status, err)
	}
	start := time.Now()
	n.Drain(t.Context())
	if took := time.Since(start); took > acceptTime+idleTime+time.Second {
		t.Errorf("drain took %v", took)
	}
}

// TestPlannedStopWhileRequestsWait guards against a stop that cuts requests off which are served
// at this host, relayed to another, served for another, wait at a host, or wait for a retry.
func TestPlannedStopWhileRequestsWait(t *testing.T) {
	for _, stopped := range []string{"a", "b"} {
		t.Run("host "+stopped, func(t *testing.T) {
			t.Parallel()
			f, ids, wait := brokenStream(t)
			for _, id := range []string{"plain-a1", "plain-b1"} {
				f.endpoints[id].AnswerTime = 2 * time.Second
			}
			paths := []string{"/unsafe/x", "/bound/x", "/safe/x", "/unsafe-twice/x"}
			results := make(chan string, len(paths))
			for _, path := range paths {
				go func() {
					status, body, err := f.call("POST", path, path, nil)
					if status != http.StatusOK || body != routed.PlainAnswer(path) || err != nil {
						results <- fmt.Sprintf("%s: got status %d, body %q, error %v", path, status, body, err)
						return
					}
					results <- ""
				}()
			}
			f.eventually("all requests run", func() bool { return len(f.runs("plain-a1", "plain-b1")) == len(paths) })
			time.AfterFunc(3200*time.Millisecond, func() {
				for _, id := range ids {
					f.endpoints[id].SetFault(routed.Fault{})
				}
			})
			n := f.nodes[stopped]
			n.Drain(t.Context())
			if open := n.front.OpenRequests(); open != 0 {
				t.Errorf("the drain ended with %d requests", open)
			}
			f.closeHost(stopped)
			for range paths {
				if failed := <-results; failed != "" {
					t.Error(failed)
				}
			}
			if body := wait(); body != wholeStream("r") {
				t.Errorf("got stream %q", body)
			}
			if runs := len(f.runs("plain-a1", "plain-b1")); runs != len(paths) {
				t.Errorf("got %d runs, want %d", runs, len(paths))
			}
		})
	}
}
