package node

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

const (
	// agreeTime is the time in which hosts in touch have to agree.
	agreeTime = 5 * time.Second
	// endsToAgree is the number of ends after which that time begins, and lateRequests what
	// may reach endpoints later.
	endsToAgree  = 5
	lateRequests = 3
	// endpointDownTime is the time after which an endpoint that ended is back under a new id.
	endpointDownTime = 1500 * time.Millisecond
	badPart          = "0badbad0"
)

// crashLoad is a fleet whose endpoints end on some requests and start again.
type crashLoad struct {
	*fleet
	service string
	// crash says on which requests the endpoints end.
	crash routed.Crash
	// begin is the time until an answer begins to a request that ends its endpoint.
	begin time.Duration

	mu      sync.Mutex
	started int
	closed  bool
	ends    []time.Time
	wg      sync.WaitGroup
	all     []*routed.Endpoint
}

// startCrashLoad replaces the endpoints of a service of a fleet.
func startCrashLoad(f *fleet, service string, regions []string, perRegion int, crash routed.Crash, begin time.Duration) *crashLoad {
	l := &crashLoad{fleet: f, service: service, crash: crash, begin: begin}
	for _, region := range regions {
		if id := service + "-" + region + "1"; f.endpoints[id] != nil {
			f.store.put(feed.Change{Key: id, Deleted: true, RemovedEndpoint: id})
		}
	}
	for _, region := range regions {
		for range perRegion {
			l.start(region)
		}
	}
	f.t.Cleanup(l.stop)
	f.eventually("all hosts are ready and know the endpoints", func() bool {
		for _, n := range f.nodes {
			if len(n.board.Registry.Endpoints(service)) != perRegion*len(regions) || !n.board.Health.Ready() {
				return false
			}
		}
		return true
	})
	return l
}

// start starts an endpoint under a new id, and another one some time after it has ended.
func (l *crashLoad) start(region string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	l.started++
	id := fmt.Sprintf("%s-%s-n%d", l.service, region, l.started)
	e, err := routed.New(id, platTerms)
	if err != nil {
		l.t.Error(err)
		return
	}
	e.EventGap, e.AnswerTime = 30*time.Millisecond, l.begin
	crash := l.crash
	crash.Ended = func() {
		l.mu.Lock()
		l.ends = append(l.ends, time.Now())
		l.mu.Unlock()
		l.wg.Go(func() {
			time.Sleep(endpointDownTime)
			l.store.put(feed.Change{Key: id, Deleted: true, RemovedEndpoint: id})
			l.start(region)
		})
	}
	e.SetCrash(crash)
	l.all = append(l.all, e)
	l.store.put(feed.Change{Key: id, Endpoint: &regis.Endpoint{
		ID: id, Service: l.service, Address: e.Address(), Centre: region + "1", Slots: 8, Incarnation: time.Now().UnixMilli(),
	}})
}

func (l *crashLoad) stop() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.wg.Wait()
	for _, e := range l.all {
		_ = e.Close()
	}
}

// send sends a request with prompt parts to a host and reports whether it was served, and the
// status and header of its answer.
func (l *crashLoad) send(host, id string, parts ...string) (served bool, status int, header http.Header) {
	return l.sendTo(host, id, "/stream/x", "", parts...)
}

// sendTo is like send for a target and a body.
func (l *crashLoad) sendTo(host, id, target, content string, parts ...string) (served bool, status int, header http.Header) {
	method := http.MethodGet
	if content != "" {
		method = http.MethodPost
	}
	req, err := http.NewRequest(method, "http://"+l.nodes[host].settings.Callers+target, strings.NewReader(content))
	if err != nil {
		l.t.Error(err)
		return false, 0, nil
	}
	req.Host = "h"
	req.Header.Set(platTerms.RequestID, id)
	req.Header.Set(platTerms.Deadline, "5000")
	req.Header.Set(platTerms.Tokens, "40,10")
	req.Header.Set(platTerms.Parts, strings.Join(append(parts, id), ":10,")+":10")
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return false, 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	want := routed.PlainAnswer(id)
	if l.service == "model" {
		want = wholeStream(id)
	}
	return err == nil && resp.StatusCode == http.StatusOK && string(body) == want, resp.StatusCode, resp.Header
}

// badArrivals returns the times at which requests that end endpoints reached them.
func (l *crashLoad) badArrivals() []time.Time {
	l.mu.Lock()
	all := slices.Clone(l.all)
	l.mu.Unlock()
	var out []time.Time
	for _, e := range all {
		for _, r := range e.Runs() {
			if l.crash.Part != "" && strings.Contains(r.Header.Get(platTerms.Parts), l.crash.Part) || r.Target == l.crash.Target {
				out = append(out, r.At)
			}
		}
	}
	return out
}

// endOf returns when the endpoint of a number ended, counted from 1, and false before.
func (l *crashLoad) endOf(number int) (time.Time, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.ends) < number {
		return time.Time{}, false
	}
	return l.ends[number-1], true
}

func (l *crashLoad) endCount() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.ends)
}

// soundCount counts sound requests in a span.
type soundCount struct {
	mu           sync.Mutex
	sent, served int
}

func (c *soundCount) add(served bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sent++
	if served {
		c.served++
	}
}

// share returns the share of the requests that were served.
func (c *soundCount) share() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return float64(c.served) / float64(max(1, c.sent))
}

// TestPromptPartEndsEndpointAfterEndpoint: requests with a part on which endpoints end are no
// longer sent once the hosts had time to agree, and sound ones with the same first part are.
func TestPromptPartEndsEndpointAfterEndpoint(t *testing.T) {
	for _, head := range []bool{true, false} {
		t.Run(fmt.Sprintf("head_%v", head), func(t *testing.T) {
			testCrashes(t, startCrashLoad(startCentre(t, 4), "model", []string{"a"}, 8, routed.Crash{Part: badPart, Head: head}, 100*time.Millisecond))
		})
	}
	t.Run("slow", func(t *testing.T) {
		testCrashes(t, startCrashLoad(startCentre(t, 4), "model", []string{"a"}, 8, routed.Crash{Part: badPart, Head: true}, 2*time.Second))
	})
	t.Run("regions", func(t *testing.T) {
		testCrashes(t, startCrashLoad(startFleet(t), "model", []string{"a", "b"}, 4, routed.Crash{Part: badPart, Head: true}, 100*time.Millisecond))
	})
}

func testCrashes(t *testing.T, l *crashLoad) {
	hosts := make([]string, 0, len(l.nodes))
	for name := range l.nodes {
		hosts = append(hosts, name)
	}
	var calm, late soundCount
	var wg sync.WaitGroup
	begin := time.Now()
	fifth, agreed := time.Time{}, false
	for i := 0; ; i++ {
		now := time.Now()
		if !agreed {
			fifth, agreed = l.endOf(endsToAgree)
		}
		if agreed && now.Sub(fifth) > 2*agreeTime+3*time.Second {
			break
		}
		if now.Sub(begin) > 2*waitTimeout {
			t.Fatalf("%d endpoints ended in %v, want %d or more", l.endCount(), now.Sub(begin), endsToAgree)
		}
		isCalm, isLate := now.Sub(begin) < 2*time.Second, agreed && now.Sub(fifth) > 2*agreeTime
		for _, host := range hosts {
			id := fmt.Sprintf("sound-%s-%d", host, i)
			wg.Go(func() {
				served, _, _ := l.send(host, id, "first", fmt.Sprintf("talk-%s-%d", host, i/10))
				switch {
				case isCalm:
					calm.add(served)
				case isLate:
					late.add(served)
				}
			})
		}
		if now.Sub(begin) > 2*time.Second && i%4 == 0 {
			host, id := hosts[i/4%len(hosts)], fmt.Sprintf("bad-%d", i)
			wg.Go(func() {
				_, status, header := l.send(host, id, "first", badPart)
				if seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64); isLate && (status != http.StatusServiceUnavailable || err != nil || seconds <= 0) {
					t.Errorf("a request with the part got status %d and Retry-After %q, want a refusal that names a time", status, header.Get("Retry-After"))
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	reached := 0
	for _, at := range l.badArrivals() {
		if at.Sub(fifth) > agreeTime {
			reached++
		}
	}
	t.Logf("%d endpoints ended, %d requests reached endpoints late; sound ones served: %.3f calm, %.3f late", l.endCount(), reached, calm.share(), late.share())
	if reached > lateRequests {
		t.Errorf("%d requests with the part reached endpoints later than %v after the fifth end, %d are allowed", reached, agreeTime, lateRequests)
	}
	if late.share() < calm.share()/2 {
		t.Errorf("of the sound requests %.3f are served, want half of %.3f or more", late.share(), calm.share())
	}
}
