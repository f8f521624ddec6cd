package main

import (
	"fmt"
	"sync"
	"time"
)

const (
	// downTime is how long the runners are down; it is 2 to 4.5 s on the site's days.
	downTime = 150 * time.Millisecond
	// coldTime is the site's cold-start-s.
	coldTime = 3 * time.Second
	// upgradeRounds bounds the upgrades, settleTime is the time between two.
	upgradeRounds  = 4
	settleTime     = 3 * time.Second
	upgradeStreams = 24
)

// upgrade: the runners of a zone go down together and come back under their ids, at their addresses and
// with another software version, which their entries name as soon as they listen; again and again until an answer
// is joined.
func upgrade(f *fleet, trouble bool) (bool, error) {
	f.publish()
	var list []*runner
	for i := range 4 {
		r := &runner{id: fmt.Sprintf("i-advisor-%d", i+1), service: "advisor-models", zone: "dublin-a", version: "v1", weights: 1, slots: maxSlots}
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
	joined, complete := 0, 0
	for round := 1; round <= upgradeRounds && joined == 0; round++ {
		answers := make([]answer, upgradeStreams)
		var wg sync.WaitGroup
		for i := range answers {
			wg.Go(func() {
				answers[i] = f.call(addresses[i%len(addresses)], "POST", "/lookup/2f", "question", 4*time.Second, lookup())
			})
		}
		time.Sleep(400 * time.Millisecond)
		if trouble {
			if err := f.upgradeAll(list, round+1); err != nil {
				return false, err
			}
		}
		wg.Wait()
		for _, a := range answers {
			if a.status != 200 || a.err != "" {
				continue
			}
			complete++
			seen := map[string]bool{}
			for _, m := range pieceWeights.FindAllStringSubmatch(a.body, -1) {
				seen[m[1]] = true
			}
			if len(seen) > 1 {
				joined++
				f.record.printf("BROKEN: the answer to %s ends as complete, names Weight-Versions %q, and joins the text of %d versions", a.id, a.weight, len(seen))
			}
		}
		f.record.printf("round %d: %d streams were complete so far, %d of them joined the text of two versions", round, complete, joined)
		time.Sleep(settleTime)
	}
	if !trouble && complete == 0 {
		return false, fmt.Errorf("no stream was served")
	}
	return joined > 0, nil
}

// upgradeAll ends the runners and starts them again with the next software version.
func (f *fleet) upgradeAll(list []*runner, version int) error {
	f.kill(list...)
	time.Sleep(downTime)
	for _, r := range list {
		r.version, r.weights, r.coldUntil = fmt.Sprintf("v%d", version), version, time.Now().Add(coldTime)
		if err := f.startRunner(r, "--cold", coldTime.String()); err != nil {
			return err
		}
	}
	return nil
}
