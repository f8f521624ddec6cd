package node

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// rebornFleet is a data centre whose one endpoint ends and starts again under its id and address.
type rebornFleet struct {
	*fleet
	mu sync.Mutex
	// sent holds when the requests were sent, by id.
	sent map[string]time.Time
}

const (
	rebornID = "reborn"
	// rebornShare is the share of each host of the rate limit of the endpoint while it is cold.
	rebornShare = 2
	rebornHosts = 2
	// rebornRate is the number of requests a second that callers send to each host.
	rebornRate = 50
)

func startRebornFleet(t *testing.T) *rebornFleet {
	t.Helper()
	f := &rebornFleet{fleet: startCentre(t, rebornHosts), sent: map[string]time.Time{}}
	f.endpoints = map[string]*routed.Endpoint{}
	f.startEndpoint(rebornID, "plain", "a")
	f.registerProcess(f.endpoints[rebornID], 1, time.Time{})
	inForce := testRules(8)
	s, _ := inForce.Service("plain")
	s.ColdRate, s.HealthPath = 1, routed.HealthPath
	for _, n := range f.nodes {
		n.proxy.ColdShare = func(*rules.Service, string) int { return rebornShare }
	}
	f.store.put(feed.Change{Rules: inForce})
	for _, n := range f.nodes {
		f.eventually("the rules and the endpoint are in force", func() bool {
			e, _ := n.board.Registry.Get(rebornID)
			return n.board.Routes.Version() == 8 && e.Incarnation == 1
		})
	}
	return f
}

// send sends requests to all hosts for a time and waits for the answers.
func (f *rebornFleet) send(prefix string, d time.Duration) {
	f.t.Helper()
	var wg sync.WaitGroup
	end := time.Now().Add(d)
	for host := range f.nodes {
		wg.Go(func() {
			for i := 0; time.Now().Before(end); i++ {
				id := fmt.Sprint(prefix, host, i)
				f.mu.Lock()
				f.sent[id] = time.Now()
				f.mu.Unlock()
				wg.Go(func() { _, _, _ = f.callHost(host, http.MethodGet, "/safe/x", id, nil) })
				time.Sleep(time.Second / rebornRate)
			}
		})
	}
	wg.Wait()
}

// restart starts the endpoint, which has ended, as a new process that is cold.
func (f *rebornFleet) restart() *routed.Endpoint {
	f.t.Helper()
	e, err := routed.NewAt(f.endpoints[rebornID].Address(), rebornID, platTerms)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = e.Close() })
	e.SetCold(time.Minute)
	return e
}

// registerProcess registers a process of the endpoint.
func (f *rebornFleet) registerProcess(e *routed.Endpoint, incarnation int64, coldUntil time.Time) {
	f.store.put(feed.Change{Key: rebornID, Endpoint: &regis.Endpoint{
		ID: rebornID, Service: "plain", Address: e.Address(), Centre: "a1", Slots: 8, Incarnation: incarnation, ColdUntil: coldUntil,
	}})
}

// mostInSecond returns the largest number of requests that the endpoint got of those that were sent
// within the same second.
func (f *rebornFleet) mostInSecond(e *routed.Endpoint) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	var at []time.Time
	for _, r := range e.Runs() {
		at = append(at, f.sent[r.ID])
	}
	most := 0
	for _, first := range at {
		n := 0
		for _, other := range at {
			if d := other.Sub(first); d >= 0 && d < time.Second {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// TestRestartedEndpointIsFlooded: an endpoint that starts again under its id gets no more than the limit
// of a cold one before its new registration is read, and none beyond it afterwards.
func TestRestartedEndpointIsFlooded(t *testing.T) {
	for _, tt := range []struct {
		name string
		// before prepares the end of the endpoint, down is the time until its next start.
		before func(f *rebornFleet)
		down   time.Duration
		// registered reports whether the new registration is read while requests are sent.
		registered bool
	}{
		{"its connections break", func(f *rebornFleet) {
			f.endpoints[rebornID].AnswerTime = waitTimeout
			time.AfterFunc(100*time.Millisecond, func() { _ = f.endpoints[rebornID].Close() })
			f.send("broken", 50*time.Millisecond)
		}, 0, false},
		{"idle connections end", func(f *rebornFleet) { f.send("idle", 300*time.Millisecond) }, 0, false},
		{"no connection is open", func(f *rebornFleet) {
			f.send("closed", 100*time.Millisecond)
			for _, n := range f.nodes {
				n.pool.CloseIdle(f.endpoints[rebornID].Address())
			}
			time.Sleep(time.Second)
		}, 0, false},
		{"connections are refused", func(f *rebornFleet) { f.send("refused", 300*time.Millisecond) }, time.Second, false},
		{"its registration is read", func(f *rebornFleet) { f.send("read", 300*time.Millisecond) }, 0, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			f := startRebornFleet(t)
			tt.before(f)
			_ = f.endpoints[rebornID].Close()
			if tt.down > 0 {
				f.send("down", tt.down)
			}
			e := f.restart()
			if tt.registered {
				time.AfterFunc(400*time.Millisecond, func() { f.registerProcess(e, 2, time.Now().Add(time.Minute)) })
			}
			f.send("after", 1500*time.Millisecond)
			if got, limit := f.mostInSecond(e), rebornHosts*rebornShare; got > limit {
				t.Errorf("the new process got %d requests of a second, want %d at most", got, limit)
			}
			if len(e.Runs()) == 0 {
				t.Error("the new process got no request at all")
			}
		})
	}
}

// TestStreamContinuesAtUnregisteredProcess: a stream whose endpoint ends does not continue at the process that
// starts under the endpoint's id and address, while the store still shows the registration of the first.
func TestStreamContinuesAtUnregisteredProcess(t *testing.T) {
	f := &rebornFleet{fleet: startCentre(t, 1)}
	f.endpoints = map[string]*routed.Endpoint{}
	f.startEndpoint(rebornID, "model", "a")
	inForce := testRules(8)
	s, _ := inForce.Service("model")
	s.ColdRate, s.HealthPath = 100, routed.HealthPath
	f.store.put(feed.Change{Rules: inForce})
	f.eventually("the rules and the endpoint are in force", func() bool {
		return f.nodes["n0"].board.Routes.Version() == 8 && f.nodes["n0"].board.Registry.Len() == 1
	})
	e := f.endpoints[rebornID]
	e.EventGap, e.EventCount = 100*time.Millisecond, 100
	broken := make(chan error, 1)
	go func() {
		_, _, err := f.callHost("n0", http.MethodPost, "/stream/x", "s", nil)
		broken <- err
	}()
	f.eventually("the stream has begun", func() bool { return len(e.Runs()) == 1 })
	_ = e.Close()
	next := f.restart()
	select {
	case err := <-broken:
		if err == nil {
			t.Error("the stream is complete, want a broken one")
		}
	case <-time.After(5 * time.Second):
		// It waits for an endpoint that may continue it.
	}
	if n := len(next.Runs()); n > 0 {
		t.Errorf("%d runs at the new process, want none", n)
	}
}
