package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// entry: another writer leaves an entry among the runners' that lacks fields of a runner's entry. Its
// address is that of a server of that writer's own, which knows nothing of this platform.
func entry(f *fleet, trouble bool) (bool, error) {
	f.publish()
	for i := range 3 {
		r := &runner{id: fmt.Sprintf("i-rental-%d", i+1), service: "rental-app", zone: "dublin-a", version: "v1", slots: 6}
		if err := f.startRunner(r); err != nil {
			return false, err
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return false, err
	}
	foreign := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		f.record.printf("the other writer's server gets %s %s, Request-Id %q, body %q", r.Method, r.RequestURI, r.Header.Get("Request-Id"), body)
		writeJSON(w, map[string]string{"status": "ok"})
	}
	go func() { _ = http.Serve(l, http.HandlerFunc(foreign)) }()
	if err := f.startHosts([]string{"dublin-a", "dublin-a", "dublin-a"}, map[string]string{"dublin-a": "dublin"}); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		f.store.put("servers/inventory-0017", map[string]any{"service": "rental-app", "address": l.Addr().String(), "zone": "dublin-a", "slots": 6, "state": "ready"})
		f.record.printf("another writer puts servers/inventory-0017, with no version, cold-remaining-ms and sequence, at %s", l.Addr())
	}
	time.Sleep(3 * time.Second)
	addresses, err := f.addresses("dublin", "dublin-a")
	if err != nil {
		return false, err
	}
	var mu sync.Mutex
	var answers []answer
	var wg sync.WaitGroup
	for i := range 250 {
		wg.Go(func() {
			a := f.call(addresses[i%len(addresses)], "POST", fmt.Sprintf("/confirm/%d", i), "return", 3*time.Second, nil)
			mu.Lock()
			defer mu.Unlock()
			answers = append(answers, a)
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	served, unsigned := 0, 0
	for _, a := range answers {
		switch {
		case a.status/100 == 2 && a.signature == "":
			unsigned++
			f.record.printf("BROKEN: the answer to %s is a success without a runner's signature, and no runner ran it", a.id)
		case a.status/100 == 2:
			served++
		}
	}
	f.record.printf("%d of %d requests were served by runners, %d got a success without a signature", served, len(answers), unsigned)
	if served+unsigned == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return unsigned > 0, nil
}
