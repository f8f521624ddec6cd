package node

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

const (
	// crashesToAgree is the number of endpoints that one request may end before the time begins
	// in which hosts in touch have to agree.
	crashesToAgree = 3
	repeatGap      = 250 * time.Millisecond
	// soundShare is the share of sound requests to serve once the hosts agree.
	soundShare = 0.95
)

// TestRepeatedRequestEndsEndpointAfterEndpoint: a request that ends the endpoints that run it and
// comes again and again is no longer sent once the hosts had time to agree; sound ones are.
func TestRepeatedRequestEndsEndpointAfterEndpoint(t *testing.T) {
	const begin = 50 * time.Millisecond
	for _, tt := range []struct {
		name, service, target, body string
		regions                     []string
		events                      int
	}{
		{name: "safe", service: "plain", target: "/safe/bad?q=1"},
		{name: "unsafe", service: "plain", target: "/unsafe/bad", body: "question"},
		{name: "stream", service: "model", target: "/stream/bad", events: 3},
		{name: "regions", service: "plain", target: "/safe/bad", regions: []string{"a", "b"}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			crash := routed.Crash{Target: tt.target, Events: tt.events}
			if tt.regions != nil {
				testRepeats(t, startCrashLoad(startFleet(t), tt.service, tt.regions, 4, crash, begin), tt.body)
				return
			}
			testRepeats(t, startCrashLoad(startCentre(t, 4), tt.service, []string{"a"}, 8, crash, begin), tt.body)
		})
	}
}

func testRepeats(t *testing.T, l *crashLoad, body string) {
	hosts := make([]string, 0, len(l.nodes))
	for name := range l.nodes {
		hosts = append(hosts, name)
	}
	prefix := "/safe/"
	if l.service == "model" {
		prefix = "/stream/"
	}
	var late soundCount
	var wg sync.WaitGroup
	begin, nextRepeat := time.Now(), time.Now()
	third, agreed := time.Time{}, false
	for i := 0; !agreed || time.Since(third) < 2*agreeTime+2*time.Second; i++ {
		now := time.Now()
		if !agreed {
			third, agreed = l.endOf(crashesToAgree)
		}
		if now.Sub(begin) > 2*waitTimeout {
			t.Fatalf("%d endpoints ended in %v, want %d or more", l.endCount(), now.Sub(begin), crashesToAgree)
		}
		isLate := agreed && now.Sub(third) > agreeTime
		for _, host := range hosts {
			id := fmt.Sprintf("sound-%s-%d", host, i)
			wg.Go(func() {
				if served, _, _ := l.sendTo(host, id, prefix+strconv.Itoa(i%5), ""); isLate {
					late.add(served)
				}
			})
		}
		if now.After(nextRepeat) {
			nextRepeat = nextRepeat.Add(repeatGap)
			host, id := hosts[i%len(hosts)], fmt.Sprintf("bad-%d", i)
			wg.Go(func() {
				_, status, header := l.sendTo(host, id, l.crash.Target, body)
				if seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64); isLate && (status != http.StatusServiceUnavailable || err != nil || seconds <= 0) {
					t.Errorf("a repeat got status %d and Retry-After %q, want a refusal that names a time", status, header.Get("Retry-After"))
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	reached := 0
	for _, at := range l.badArrivals() {
		if at.Sub(third) > agreeTime {
			reached++
		}
	}
	t.Logf("%d endpoints ended, repeats reached endpoints %d times late; sound requests served late: %.3f", l.endCount(), reached, late.share())
	if reached > lateRequests {
		t.Errorf("repeats reached endpoints %d times later than %v after the third end, %d times are allowed", reached, agreeTime, lateRequests)
	}
	if late.share() < soundShare {
		t.Errorf("of the sound requests %.3f are served, want %.2f or more", late.share(), soundShare)
	}
}
