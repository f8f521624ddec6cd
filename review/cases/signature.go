package main

import (
	"fmt"
	"sync"
	"time"
)

// signature: one of the runners of the plain service fails two in five of its requests with 503, which it
// ran, signs and does not mark as not run. Its health check is good.
func signature(f *fleet, trouble bool) (bool, error) {
	f.publish()
	for i := range 3 {
		r := &runner{id: fmt.Sprintf("i-rental-%d", i+1), service: "rental-app", zone: "dublin-a", version: "v1", slots: 6}
		var extra []string
		if trouble && i == 0 {
			extra = []string{"--fail-every", "3", "--fail-status", "503"}
		}
		if err := f.startRunner(r, extra...); err != nil {
			return false, err
		}
	}
	if err := f.startHosts([]string{"dublin-a", "dublin-a", "dublin-a"}, map[string]string{"dublin-a": "dublin"}); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
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
	time.Sleep(200 * time.Millisecond)
	given := map[string]int{}
	for _, r := range f.allRuns() {
		if r.Event == "answers" {
			given[r.Signature] = r.Status
		}
	}
	served, changed := 0, 0
	for _, a := range answers {
		if a.status == 200 {
			served++
		}
		if status, ok := given[a.signature]; a.status >= 400 && ok && status != a.status {
			changed++
			f.record.printf("BROKEN: the answer to %s bears the signature %s, under which the runner gave %d, and has the status %d", a.id, a.signature, status, a.status)
		}
	}
	f.record.printf("%d of %d requests were served, %d failures bear a signature and another status", served, len(answers), changed)
	if served == 0 {
		return false, fmt.Errorf("no request was served")
	}
	return changed > 0, nil
}
