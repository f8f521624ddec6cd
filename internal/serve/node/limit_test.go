package node

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

const (
	limitedHosts = 3
	// limitWindow is the span over which arrivals at a limited endpoint are counted, and
	// limitFactor and limitSlack what it may get beyond its limit in that span.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// get sends a request for a stream to a host and reports whether the answer is whole.
func (f *fleet) get(host, id string) bool {
	req, err := http.NewRequest(http.MethodGet, "http://"+f.nodes[host].settings.Callers+"/stream/x", nil)
	if err != nil {
		f.t.Error(err)
		return false
	}
	req.Host = "h"
	req.Header.Set(platTerms.RequestID, id)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && string(body) == wholeStream(id)
}

// sendSteadily sends each host a request every gap for a time, and returns how many were
// sent and how many were answered whole.
func (f *fleet) sendSteadily(name string, d, gap time.Duration) (sent, whole int) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(gap) {
		for host := range f.nodes {
			sent++
			id := fmt.Sprintf("%s-%d", name, sent)
			wg.Go(func() {
				ok := f.get(host, id)
				mu.Lock()
				defer mu.Unlock()
				if ok {
					whole++
				}
			})
		}
	}
	wg.Wait()
	return sent, whole
}

// mostInWindow returns the largest number of runs since a time that arrived within one
// window.
func mostInWindow(runs []routed.Run, since time.Time, window time.Duration) int {
	most := 0
	for i, first := range runs {
		if first.At.Before(since) {
			continue
		}
		n := 0
		for _, r := range runs[i:] {
			if r.At.Sub(first.At) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestHostsSendMoreThanEndpointsLimit: hosts keep together to the rate that an endpoint
// names, and use it again in full once it names none.
func TestHostsSendMoreThanEndpointsLimit(t *testing.T) {
	const rate = 2.5
	f := startCentre(t, limitedHosts)
	f.endpoints = map[string]*routed.Endpoint{}
	f.startEndpoint("limited", "model", "a")
	f.startEndpoint("other", "model", "a")
	f.eventually("all hosts are ready and know both endpoints", func() bool {
		for _, n := range f.nodes {
			if n.board.Registry.Len() != 2 || !n.board.Health.Ready() {
				return false
			}
		}
		return true
	})
	limited := f.endpoints["limited"]
	limited.SetRateLimit(fmt.Sprint(rate))
	f.eventually("all hosts have heard the limit", func() bool {
		heard := 0
		for host, n := range f.nodes {
			if f.get(host, "first"); n.board.Endpoints.Limited(time.Now(), "limited") {
				heard++
			}
		}
		return heard == limitedHosts
	})
	since := time.Now().Add(500 * time.Millisecond)
	sent, whole := f.sendSteadily("limited", 10*time.Second, 50*time.Millisecond)
	if whole != sent {
		t.Errorf("%d of %d requests were answered whole, though another endpoint serves", whole, sent)
	}
	most := mostInWindow(limited.Runs(), since, limitWindow)
	allowed := limitFactor*rate*limitWindow.Seconds() + limitSlack
	if float64(most) > allowed {
		t.Errorf("the endpoint got %d requests in %v, %.0f are allowed", most, limitWindow, allowed)
	}
	if least := rate * limitWindow.Seconds() / 2; float64(most) < least {
		t.Errorf("the endpoint got at most %d requests in %v, want half of its limit, %.0f, or more", most, limitWindow, least)
	}
	limited.SetRateLimit("")
	since = time.Now()
	f.sendSteadily("lifted", 6*time.Second, 50*time.Millisecond)
	if most := mostInWindow(limited.Runs(), since, limitWindow); float64(most) < 2*allowed {
		t.Errorf("the endpoint got at most %d requests in %v after it named no limit, want more than %.0f", most, limitWindow, 2*allowed)
	}
}
