package node

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// cutKind is what becomes of the connections from a host to its endpoints.
type cutKind string

const (
	// cutHangs lets open and new connections hang, cutResets resets them, and cutLives keeps
	// open ones and refuses new ones.
	cutHangs  cutKind = "hang"
	cutResets cutKind = "reset"
	cutLives  cutKind = "live"
)

// endpointPaths are the paths from the hosts of a fleet to their endpoints.
type endpointPaths struct {
	mu   sync.Mutex
	kind cutKind
	cut  map[string]bool
	open map[*cutConn]string
}

// cutConn is a connection that a cut can stop.
type cutConn struct {
	net.Conn
	hangs atomic.Bool
}

func (c *cutConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.hangs.Load() || err != nil {
			return n, err
		}
		// What arrives after the cut is lost.
	}
}

func (c *cutConn) Write(p []byte) (int, error) {
	if c.hangs.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// dial returns the option of a host whose connections the paths can stop.
func (e *endpointPaths) dial(name string) Option {
	return WithEndpointDial(func(ctx context.Context, address string) (net.Conn, error) {
		e.mu.Lock()
		cut, kind := e.cut[name], e.kind
		e.mu.Unlock()
		switch {
		case cut && kind == cutHangs:
			<-ctx.Done()
			return nil, os.ErrDeadlineExceeded
		case cut:
			return nil, syscall.ECONNREFUSED
		}
		c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		out := &cutConn{Conn: c}
		e.mu.Lock()
		e.open[out] = name
		e.mu.Unlock()
		return out, nil
	})
}

// stop cuts the paths of some hosts.
func (e *endpointPaths) stop(names []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, n := range names {
		e.cut[n] = true
	}
	for c, n := range e.open {
		switch {
		case !e.cut[n]:
		case e.kind == cutHangs:
			c.hangs.Store(true)
		case e.kind == cutResets:
			if tcp, ok := c.Conn.(*net.TCPConn); ok {
				_ = tcp.SetLinger(0)
			}
			_ = c.Close()
		}
	}
}

// resume ends the cut.
func (e *endpointPaths) resume() {
	e.mu.Lock()
	defer e.mu.Unlock()
	clear(e.cut)
}

const (
	cutTime = 9 * time.Second
	// answerTime is the time within which a caller wants an answer.
	answerTime = time.Second
	// minCutShare is the least share of what the other hosts serve that cut hosts serve, unless
	// fewer than freeFailures and freeShare of all requests fail there.
	minCutShare  = 2.0 / 3
	freeFailures = 10
	freeShare    = 0.02
)

// TestHostsWithoutPathServeTheirCallers: hosts that can reach no endpoint serve nearly as many
// first attempts as the others, and the directory names them no longer.
func TestHostsWithoutPathServeTheirCallers(t *testing.T) {
	for _, kind := range []cutKind{cutHangs, cutResets, cutLives} {
		t.Run(string(kind)+" some", func(t *testing.T) {
			t.Parallel()
			e := &endpointPaths{kind: kind, cut: map[string]bool{}, open: map[*cutConn]string{}}
			f := startCentre(t, 4, e.dial)
			f.endpoints = map[string]*routed.Endpoint{}
			for i := range 4 {
				f.startEndpoint(fmt.Sprintf("model-a%d", i), "model", "a")
				f.startEndpoint(fmt.Sprintf("plain-a%d", i), "plain", "a")
			}
			testCut(t, f, e, []string{"n1", "n2"})
		})
		t.Run(string(kind)+" region", func(t *testing.T) {
			t.Parallel()
			e := &endpointPaths{kind: kind, cut: map[string]bool{}, open: map[*cutConn]string{}}
			f := startFleet(t, e.dial)
			for i := range 3 {
				f.startEndpoint(fmt.Sprintf("model-a%d", i+2), "model", "a")
				f.startEndpoint(fmt.Sprintf("plain-a%d", i+2), "plain", "a")
			}
			testCut(t, f, e, []string{"a"})
		})
	}
}

func testCut(t *testing.T, f *fleet, e *endpointPaths, cut []string) {
	f.eventually("all hosts are ready", func() bool {
		for _, n := range f.nodes {
			if !n.board.Health.Ready() || len(n.board.Registry.Endpoints("plain")) == 0 || len(n.board.Registry.Endpoints("model")) == 0 {
				return false
			}
		}
		return true
	})
	isCut := map[string]bool{}
	for _, name := range cut {
		isCut[name] = true
	}
	var atCut, atOthers soundCount
	var wg sync.WaitGroup
	begin := time.Now()
	stopped := false
	for i := 0; time.Since(begin) < time.Second+cutTime; i++ {
		since := time.Since(begin) - time.Second
		if since > 0 && !stopped {
			stopped = true
			e.stop(cut)
		}
		for name := range f.nodes {
			id := fmt.Sprintf("%s-%d", name, i)
			wg.Go(func() {
				served := f.tryOnce(name, id, i)
				switch {
				case since < agreeTime:
				case isCut[name]:
					atCut.add(served)
				default:
					atOthers.add(served)
				}
			})
		}
		time.Sleep(25 * time.Millisecond)
	}
	if len(cut) > 1 && e.kind != cutLives {
		// Else there is no other host of the region to name, or the hosts serve over the
		// connections that they have.
		for name := range f.nodes {
			f.checkDirectory(name, isCut)
		}
	}
	wg.Wait()
	failed, all := atCut.sent-atCut.served, atCut.sent+atOthers.sent
	share := float64(atCut.served) / float64(atCut.sent)
	others := float64(atOthers.served) / float64(atOthers.sent)
	t.Logf("cut hosts served %d of %d, the others %d of %d", atCut.served, atCut.sent, atOthers.served, atOthers.sent)
	if share < minCutShare*others && float64(failed) > freeFailures+freeShare*float64(all) {
		t.Errorf("cut hosts served %.3f of the first attempts, the others %.3f", share, others)
	}
	e.resume()
	f.eventually("the hosts reach the endpoints again", func() bool {
		for _, n := range f.nodes {
			if n.board.Paths.Cut(n.board.Registry.IDs(n.board.Region)) {
				return false
			}
		}
		return true
	})
}

// tryOnce sends a request to a host once and reports whether it was served in time.
func (f *fleet) tryOnce(name, id string, i int) bool {
	method, path := http.MethodGet, "/safe/x"
	switch i % 3 {
	case 1:
		method, path = http.MethodPost, "/unsafe/x"
	case 2:
		path = "/stream/x"
	}
	ctx, cancel := context.WithTimeout(context.Background(), answerTime)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.nodes[name].settings.Callers+path, http.NoBody)
	if err != nil {
		return false
	}
	req.Host = "h"
	req.Header.Set(platTerms.RequestID, id)
	req.Header.Set(platTerms.Deadline, fmt.Sprint(answerTime.Milliseconds()))
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// checkDirectory checks that a host names no host that is cut off from its endpoints.
func (f *fleet) checkDirectory(name string, isCut map[string]bool) {
	f.t.Helper()
	resp, err := http.Get("http://" + f.nodes[name].settings.Directory + platTerms.ResolvePath + "?name=h&region=a&zone=a1")
	if err != nil {
		f.t.Error(err)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Error(err)
	}
	for other, n := range f.nodes {
		if named := strings.Contains(string(body), n.settings.Callers); named == isCut[other] {
			f.t.Errorf("the directory of %s names %s: %v", name, other, named)
		}
	}
}

// TestStreamsWaitAtEndpointsOutOfReach: begun streams continue elsewhere once their host finds that
// it is cut off, and not only after the silence that the route allows.
func TestStreamsWaitAtEndpointsOutOfReach(t *testing.T) {
	t.Parallel()
	const longestGap, events = 2 * time.Second, 40
	e := &endpointPaths{kind: cutHangs, cut: map[string]bool{}, open: map[*cutConn]string{}}
	f := startCentre(t, 3, e.dial)
	f.endpoints = map[string]*routed.Endpoint{}
	for i := range 4 {
		id := fmt.Sprintf("model-a%d", i)
		f.startEndpoint(id, "model", "a")
		f.endpoints[id].EventCount, f.endpoints[id].EventGap = events, 100*time.Millisecond
		f.startEndpoint(fmt.Sprintf("plain-a%d", i), "plain", "a")
	}
	f.eventually("all hosts are ready", func() bool {
		for _, n := range f.nodes {
			if !n.board.Health.Ready() || len(n.board.Registry.Endpoints("plain")) != 4 || len(n.board.Registry.Endpoints("model")) != 4 {
				return false
			}
		}
		return true
	})
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			gap, got := f.longestGap("n1", fmt.Sprint("s", i))
			if gap > longestGap || got != events {
				t.Errorf("stream %d has %d events, want %d, and a gap of %v, want at most %v", i, got, events, gap, longestGap)
			}
		})
	}
	time.Sleep(time.Second)
	e.stop([]string{"n1"})
	for i := range 60 {
		wg.Go(func() { f.tryOnce("n1", fmt.Sprint("p", i), 0) })
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
}

// longestGap reads a stream and returns the longest time between two of its parts, and the number
// of its events.
func (f *fleet) longestGap(host, id string) (longest time.Duration, events int) {
	req, err := http.NewRequest(http.MethodGet, "http://"+f.nodes[host].settings.Callers+"/stream/x", http.NoBody)
	if err != nil {
		return 0, 0
	}
	req.Host = "h"
	req.Header.Set(platTerms.RequestID, id)
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, 0
	}
	defer func() { _ = resp.Body.Close() }()
	buf, last := make([]byte, 4096), time.Now()
	for err == nil {
		var n int
		n, err = resp.Body.Read(buf)
		events += strings.Count(string(buf[:n]), "data:")
		longest, last = max(longest, time.Since(last)), time.Now()
	}
	return longest, events
}
