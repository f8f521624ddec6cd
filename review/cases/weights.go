package main

import (
	"fmt"
	"regexp"
	"strings"
	"sync"
	"time"
)

var pieceWeights = regexp.MustCompile(`by weights (\d+)`)

// weights: the runners of a service are of one software version; three have the weights 1 and three the
// weights 2, as while new weights are rolled out. One with the weights 1 is killed while it streams.
func weights(f *fleet, trouble bool) (bool, error) {
	f.publish()
	var list []*runner
	for i := range 6 {
		r := &runner{id: fmt.Sprintf("i-advisor-%d", i+1), service: "advisor-models", zone: "dublin-a", version: "v1", weights: 1 + i/3, slots: maxSlots}
		if err := f.startRunner(r); err != nil {
			return false, err
		}
		list = append(list, r)
	}
	if err := f.startHosts([]string{"dublin-a", "dublin-a", "dublin-a"}, map[string]string{"dublin-a": "dublin"}); err != nil {
		return false, err
	}
	time.Sleep(6 * time.Second)
	addresses, err := f.addresses("dublin", "dublin-a")
	if err != nil {
		return false, err
	}
	const streams = 96
	answers := make([]answer, streams)
	var wg sync.WaitGroup
	for i := range streams {
		wg.Go(func() {
			answers[i] = f.call(addresses[i%len(addresses)], "POST", "/lookup/2f", "question", 4*time.Second, lookup())
		})
	}
	time.Sleep(400 * time.Millisecond)
	if trouble {
		f.kill(list[0])
	}
	wg.Wait()
	joined, complete := 0, 0
	for _, a := range answers {
		if a.status != 200 || a.err != "" {
			continue
		}
		complete++
		seen := map[string]bool{}
		for _, m := range pieceWeights.FindAllStringSubmatch(a.body, -1) {
			seen[m[1]] = true
		}
		if len(seen) > 1 && !strings.Contains(a.body, "weight-versions:") {
			joined++
			f.record.printf("BROKEN: the answer to %s ends as complete, names Weight-Versions %q, and joins the text of %d weights", a.id, a.weight, len(seen))
		}
	}
	f.record.printf("%d of %d streams were complete, %d of them joined the text of two weights", complete, streams, joined)
	if complete == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return joined > 0, nil
}
