package soak

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
	"github.com/hyssopspindle/hyssopspindle/platform/stand"
)

const (
	// releaseGap is the longest time between two steps of a change of release, releaseDrain that from
	// the draining of the old endpoints to their removal.
	releaseGap   = 600 * time.Millisecond
	releaseDrain = 1500 * time.Millisecond
	// downTime is how long all hosts are down.
	downTime = 300 * time.Millisecond
	// resumeTries is how often a caller tries to resume a stream.
	resumeTries = 3
)

// PlayReleases changes the release of all endpoints in rounds and kills all hosts at some moment of
// each, while callers resume the streams that break. It returns what must not be, one line each.
func (r *Run) PlayReleases(rounds int) []string {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	r.awaitServed()
	for n := range rounds {
		roundCtx, endRound := context.WithCancel(ctx)
		var callers sync.WaitGroup
		for i := range callerCount {
			callers.Go(func() { r.sendStreams(roundCtx, fmt.Sprintf("r%d-%d", n, i), i) })
		}
		r.changeRelease(n + 2)
		if err := r.fleet.WaitReady(); err != nil {
			r.find("round %d: %v", n, err)
		}
		r.awaitServed()
		endRound()
		callers.Wait()
	}
	r.summarise()
	return append(append(r.findings, r.fleet.check(&r.ledger)...), r.fleet.checkReleases()...)
}

// changeRelease replaces all endpoints by those of a release and kills all hosts meanwhile.
func (r *Run) changeRelease(number int) {
	f := r.fleet
	old := f.Endpoints
	killAt := time.Duration(r.rand.Int64N(int64(3*releaseGap + releaseDrain)))
	gaps := []time.Duration{time.Duration(r.rand.Int64N(int64(releaseGap))), time.Duration(r.rand.Int64N(int64(releaseGap)))}
	var killed sync.WaitGroup
	killed.Go(func() {
		time.Sleep(killAt)
		r.log("release v%d: all hosts are killed after %v", number, killAt)
		for _, h := range f.Hosts {
			r.signal(h, syscall.SIGKILL)
		}
		time.Sleep(downTime)
		for _, h := range f.Hosts {
			_ = h.Wait()
			r.startAgain(h)
		}
	})
	for _, e := range old {
		_, err := f.AddEndpoint(fmt.Sprintf("%s-v%d", e.ID, number), service, e.Region, func(inner *routed.Endpoint) {
			inner.EventCount, inner.EventGap, inner.AnswerTime = eventCount, 100*time.Millisecond, 20*time.Millisecond
		}, func(entry *stand.Registration) { entry.Release = fmt.Sprint("v", number) })
		if err != nil {
			r.find("%v", err)
		}
	}
	time.Sleep(gaps[0])
	for _, e := range old {
		e.register(func(entry *stand.Registration) { entry.Draining = true })
	}
	time.Sleep(releaseDrain + gaps[1])
	for _, e := range old {
		e.leave()
	}
	killed.Wait()
}

// sendStreams sends streams one after the other until ctx ends, and resumes those that break.
func (r *Run) sendStreams(ctx context.Context, name string, at int) {
	f := r.fleet
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	route := routes()[2]
	for n := 0; ctx.Err() == nil; n++ {
		c := f.send(client, f.Hosts[at%len(f.Hosts)], route, fmt.Sprintf("%s-%d", name, n))
		r.ledger.add(c)
		if c.err == nil && c.status == http.StatusOK {
			continue
		}
		at++
		from := c.events()
		for try := 0; try < resumeTries && c.err != nil && from > 0 && from < eventCount; try++ {
			time.Sleep(downTime)
			up := f.sendCall(client, f.Hosts[(at+try)%len(f.Hosts)], &call{id: fmt.Sprintf("%s-up%d", c.id, try), route: route, resumes: c.id, from: from})
			r.ledger.add(up)
			if up.status == http.StatusOK {
				break
			}
		}
		time.Sleep(pollInterval)
	}
}

// checkReleases returns the streams that were continued at another release than the one that began
// them, one line each.
func (f *Fleet) checkReleases() []string {
	began := map[string]string{}
	for _, e := range f.Endpoints {
		for _, run := range e.Runs() {
			if run.ResumeAfter < 0 {
				began[run.ID] = e.release()
			}
		}
	}
	var out []string
	for _, e := range f.Endpoints {
		for _, run := range e.Runs() {
			first := run.Header.Get(f.Terms.Resumes)
			if run.ResumeAfter >= 0 && first != "" && began[first] != e.release() {
				out = append(out, fmt.Sprintf("%s continued at %s of release %q the stream %s of release %q", run.ID, e.ID, e.release(), first, began[first]))
			}
		}
	}
	return out
}
