package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	eventCount = 12
	eventGap   = 70 * time.Millisecond
	plainWork  = 60 * time.Millisecond
)

// runnerProcess is the stand-in for a runner. It prints its address, and then a line of JSON for each
// request that it runs and for each end of a run.
type runnerProcess struct {
	id      string
	weights int
	slots   int
	// failEvery makes it fail each n-th request with failStatus, 0 for none.
	failEvery, failStatus int
	// coldUntil is the end of its warm-up.
	coldUntil time.Time

	count   atomic.Int64
	running atomic.Int64
	mu      sync.Mutex
}

func runnerMain(args []string) int {
	p := &runnerProcess{}
	flags := flag.NewFlagSet("runner", flag.ExitOnError)
	flags.StringVar(&p.id, "id", "", "")
	flags.IntVar(&p.weights, "weights", 1, "")
	flags.IntVar(&p.slots, "slots", 6, "")
	flags.IntVar(&p.failEvery, "fail-every", 0, "")
	flags.IntVar(&p.failStatus, "fail-status", 0, "")
	listen := flags.String("listen", "", "")
	cold := flags.Duration("cold", 0, "")
	_ = flags.Parse(args)
	p.coldUntil = time.Now().Add(*cold)
	if *listen == "" {
		*listen = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", *listen)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	fmt.Println(l.Addr())
	_ = http.Serve(l, http.HandlerFunc(p.serve))
	return 0
}

func (p *runnerProcess) report(r run) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r.Runner, r.Weights = p.id, p.weights
	_ = json.NewEncoder(os.Stdout).Encode(r)
}

func (p *runnerProcess) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Instance-Load", fmt.Sprintf("%d,0,%d", p.running.Load(), p.slots))
	if r.URL.Path == "/health" {
		h.Set("Instance-Id", p.id)
		if left := time.Until(p.coldUntil); left > 0 {
			h.Set("Cold-Milliseconds", strconv.FormatInt(left.Milliseconds(), 10))
		}
		return
	}
	id := r.Header.Get("Request-Id")
	h.Set("Request-Id", id)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if want := r.Header.Get("Expected-Instance"); want != "" && want != p.id {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if want := r.Header.Get("Expected-Version"); want != "" && want != strconv.Itoa(p.weights) {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if p.running.Add(1) > int64(p.slots) {
		p.running.Add(-1)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer p.running.Add(-1)
	n := p.count.Add(1)
	signature := fmt.Sprintf("%s.%d.%d", p.id, n, len(body))
	h.Set("Response-Signature", signature)
	got := run{ID: id, Method: r.Method, Target: r.RequestURI, After: r.Header.Get("Last-Event-Id"), Event: "runs"}
	p.report(got)
	got.Event, got.Signature = "answers", signature
	if strings.HasPrefix(r.URL.Path, "/lookup/") {
		got.Status = http.StatusOK
		p.stream(w, r, id)
	} else {
		got.Status = p.plain(w, id, n)
	}
	if r.Context().Err() != nil {
		got.Event = "is left by its caller"
	}
	p.report(got)
}

// plain answers a request of a plain service and returns the status.
func (p *runnerProcess) plain(w http.ResponseWriter, id string, n int64) int {
	time.Sleep(plainWork)
	if p.failEvery > 0 && n%int64(p.failEvery) == 0 {
		w.WriteHeader(p.failStatus)
		_, _ = io.WriteString(w, "failed "+id)
		return p.failStatus
	}
	_, _ = io.WriteString(w, "answer of "+p.id+" to "+id)
	return http.StatusOK
}

// stream answers a request with events after Last-Event-Id. The text depends on the weights.
func (p *runnerProcess) stream(w http.ResponseWriter, r *http.Request, id string) {
	first := 0
	if after, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		first = after + 1
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Weight-Versions", strconv.Itoa(p.weights))
	for n := first; n < eventCount; n++ {
		select {
		case <-time.After(eventGap):
		case <-r.Context().Done():
			return
		}
		fmt.Fprintf(w, "id: %d\ndata: %s piece %d by weights %d\n\n", n, id, n, p.weights)
		_ = http.NewResponseController(w).Flush()
	}
}
