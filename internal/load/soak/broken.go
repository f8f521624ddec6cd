package soak

import (
	"compress/gzip"
	"context"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
	"github.com/hyssopspindle/hyssopspindle/platform/stand"
)

const (
	// brokenCallers is the number of callers, faultSeries that of the series of faults that overlap.
	brokenCallers = 24
	faultSeries   = 4
	brokenEvents  = 6
	brokenGap     = 40 * time.Millisecond
	// troubleShare is the share of the runs that begin a stream with something else than the whole of
	// it, stormShare at an endpoint in a storm, restShare that of the runs that continue one.
	troubleShare = 0.15
	stormShare   = 0.9
	restShare    = 0.6
	// leaveShare is the share of the calls whose callers leave.
	leaveShare = 0.1
	// longSilence is longer than hosts wait for the next event of a route with eventGap.
	longSilence = 2200 * time.Millisecond
	eventGap    = 100 * time.Millisecond
	// brokenRetrySlack is the number of retries that need no budget.
	brokenRetrySlack = 1000
)

// brokenRoutes are the routes of streams that break off.
func brokenRoutes() []stand.Route {
	list := []stand.Route{
		{Name: "stream", Attempts: 2, Resumable: true},
		{Name: "long-stream", Attempts: 3, Resumable: true, Gap: eventGap},
		{Name: "home-stream", Attempts: 2, Resumable: true, Homes: []string{farRegion, "c"}},
		{Name: "far-stream", Attempts: 2, Resumable: true, Gap: eventGap, Homes: []string{farRegion}},
		{Name: "once-stream", Attempts: 1},
	}
	for i := range list {
		r := &list[i]
		r.Kind, r.Host, r.Prefix, r.Service, r.Timeout = stand.KindStream, HostName, "/"+r.Name+"/", service, 2*callTimeout
	}
	return list
}

// brokenRun is a run in which endpoints break streams off and answer their rest with something else,
// while hosts are paused and ended in series that overlap.
type brokenRun struct {
	*Run
	seed uint64

	// mu guards the fields below; those of Run have a lock of their own.
	mu sync.Mutex
	// calm reports whether endpoints send whole streams only; storms holds the endpoints that break
	// most streams off, and busy the hosts that a fault is being injected into.
	calm   bool
	storms map[string]bool
	busy   map[string]bool
}

// PlayBroken starts a fleet and injects faults under load for a time. It returns what must not be, one
// line each.
func PlayBroken(f *Fleet, seed uint64, length time.Duration, log func(format string, args ...any)) ([]string, error) {
	b := &brokenRun{Run: NewRun(f, seed, log), seed: seed, calm: true, storms: map[string]bool{}, busy: map[string]bool{}}
	b.routes = brokenRoutes()
	f.retrySlack = brokenRetrySlack
	err := b.build(map[string]int{"a": 2, farRegion: 2, "c": 2}, func(e *routed.Endpoint) {
		e.EventCount, e.EventGap = brokenEvents, brokenGap
		e.SetPlan(func(run routed.Run, n int) routed.Fault { return b.plan(e.ID, run, n) })
	})
	if err != nil {
		return nil, err
	}
	b.awaitServed()
	b.setCalm(false)
	ctx, stop := context.WithTimeout(context.Background(), length)
	defer stop()
	var work sync.WaitGroup
	for i := range brokenCallers {
		work.Go(func() { b.callBroken(ctx, i) })
	}
	for i := range faultSeries {
		work.Go(func() { b.injectSeries(ctx, uint64(i)) })
	}
	work.Wait()
	b.setCalm(true)
	if err := f.WaitReady(); err != nil {
		b.find("%v", err)
	}
	b.awaitServed()
	b.summarise()
	return append(b.findings, f.checkStreams(&b.ledger, brokenEvents)...), nil
}

func (b *brokenRun) setCalm(calm bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calm = calm
}

// plan returns how an endpoint answers its run number n. It depends on the seed, the run and on
// whether the endpoint is in a storm.
func (b *brokenRun) plan(endpoint string, run routed.Run, n int) routed.Fault {
	b.mu.Lock()
	calm, share := b.calm, troubleShare
	if b.storms[endpoint] {
		share = stormShare
	}
	b.mu.Unlock()
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, run.ID, " ", endpoint, " ", n)
	rnd := rand.New(rand.NewPCG(b.seed, hash.Sum64()))
	framings := routed.Framings()
	whole := routed.Paced{Framing: framings[rnd.IntN(len(framings))], Ending: routed.EndWhole}
	if rnd.IntN(4) == 0 {
		whole.Begin = ": begun\n\n"
	}
	resumed := run.ResumeAfter >= 0
	if resumed {
		share = restShare
	}
	if calm || rnd.Float64() >= share {
		return routed.Fault{Paced: &whole}
	}
	switch kind := rnd.IntN(10); {
	case kind == 0:
		late := []routed.Late{routed.LateEarlier, routed.LateUnknown, routed.LateStream}
		return routed.Fault{Late: late[rnd.IntN(len(late))]}
	case kind == 1:
		whole.Silence = longSilence
	case kind < 4 || (resumed && kind < 8):
		// A caller that resumes a stream itself gets the encoding that its own answer states.
		byHost := resumed && run.Header.Get(b.fleet.Terms.Resumes) == ""
		return routed.Fault{Odd: oddAnswer(rnd, byHost)}
	default:
		whole.Ending, whole.After = brokenEnding(rnd, whole.Framing), rnd.IntN(brokenEvents-max(0, run.ResumeAfter))
	}
	return routed.Fault{Paced: &whole}
}

// oddAnswer returns an answer that is not the rest of a stream.
func oddAnswer(rnd *rand.Rand, encoded bool) routed.Odd {
	list := []routed.Odd{
		{Status: http.StatusInternalServerError, Type: "text/plain"},
		{Status: http.StatusBadGateway},
		{Status: http.StatusNotFound, Type: "text/plain"},
		{Status: http.StatusOK, Type: "text/plain"},
		{Status: http.StatusOK, Type: "application/json"},
		{Status: http.StatusOK},
		{Status: http.StatusNoContent},
		{Status: http.StatusPartialContent, Type: routed.StreamType},
		{Status: http.StatusOK, Type: routed.StreamType, Encoding: "gzip", Level: gzip.BestCompression},
		{Status: http.StatusOK, Type: routed.StreamType, Encoding: "gzip", Level: gzip.NoCompression},
	}
	if !encoded {
		list = list[:len(list)-2]
	}
	return list[rnd.IntN(len(list))]
}

// brokenEnding returns an ending that shows that an answer with a framing is not complete.
func brokenEnding(rnd *rand.Rand, f routed.Framing) routed.Ending {
	list := []routed.Ending{routed.EndEvent, routed.EndRune, routed.EndReset, routed.EndShort, routed.EndNoLast, routed.EndInLast}
	switch f {
	case routed.FrameLength:
		list = list[:4]
	case routed.FrameConnection:
		list = list[:3]
	case routed.FrameChunks:
	}
	return list[rnd.IntN(len(list))]
}

// callBroken sends streams one after the other until ctx ends, and resumes those that break off. Half
// of the callers keep to a host while it answers, the others while it serves them.
func (b *brokenRun) callBroken(ctx context.Context, caller int) {
	f := b.fleet
	rnd := rand.New(rand.NewPCG(b.seed, uint64(caller)+100))
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	at, stays := caller, caller%2 == 0
	for n := 0; ctx.Err() == nil; n++ {
		c := &call{id: fmt.Sprintf("b%d-%d", caller, n), route: b.routes[rnd.IntN(len(b.routes))]}
		if rnd.Float64() < leaveShare {
			c.leaveAfter = 1 + rnd.IntN(brokenEvents)
		}
		b.ledger.add(f.sendCall(client, f.Hosts[at%len(f.Hosts)], c))
		if (c.err != nil && c.leaveAfter == 0) || (c.status != http.StatusOK && !stays) {
			at++
		}
		at += b.resumeBroken(ctx, client, at, c)
		if c.status != http.StatusOK {
			time.Sleep(pollInterval)
		}
	}
}

// resumeBroken resumes the stream of a call that broke off, first at the host of a number, then at the
// following ones. It returns the number of hosts that failed.
func (b *brokenRun) resumeBroken(ctx context.Context, client *http.Client, at int, c *call) int {
	f, next := b.fleet, c.next()
	for try := range resumeTries {
		if !c.route.Resumable || c.err == nil || next == 0 || next == brokenEvents || ctx.Err() != nil {
			return try
		}
		time.Sleep(pollInterval)
		up := &call{id: fmt.Sprintf("%s-up%d", c.id, try), route: c.route, resumes: c.id, from: next}
		b.ledger.add(f.sendCall(client, f.Hosts[(at+try)%len(f.Hosts)], up))
		if up.err == nil && up.status == http.StatusOK {
			return try
		}
		next = max(next, up.next())
	}
	return resumeTries
}

// injectSeries injects one fault after the other until ctx ends.
func (b *brokenRun) injectSeries(ctx context.Context, series uint64) {
	f := b.fleet
	rnd := rand.New(rand.NewPCG(b.seed, series+1000))
	kinds := []struct {
		name   string
		host   bool
		inject func(h *Host, e *Endpoint, length time.Duration) (end func())
	}{
		{"host is paused", true, b.pauseHost},
		{"host is paused for thrice as long", true, b.pauseLong},
		{"host is told to end", true, b.restartHost},
		{"host is killed", true, b.killHost},
		{"endpoint breaks most streams off", false, b.stormEndpoint},
		{"endpoint's connections are reset", false, b.resetEndpoint},
		{"endpoint is silent", false, b.silenceEndpoint},
	}
	for ctx.Err() == nil {
		time.Sleep(time.Duration(rnd.IntN(800)) * time.Millisecond)
		kind, h, e := kinds[rnd.IntN(len(kinds))], f.Hosts[rnd.IntN(len(f.Hosts))], f.Endpoints[rnd.IntN(len(f.Endpoints))]
		length := time.Duration(200+rnd.IntN(2000)) * time.Millisecond
		name := e.ID
		if kind.host {
			name = h.Name
		}
		if !b.take(name) {
			continue
		}
		b.log("series %d: %s (%s) for %v", series, kind.name, name, length)
		end := kind.inject(h, e, length)
		time.Sleep(length)
		end()
		b.give(name)
	}
}

// take reserves a host or an endpoint for a fault, and returns false if it has one.
func (b *brokenRun) take(name string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.busy[name] {
		return false
	}
	b.busy[name] = true
	return true
}

func (b *brokenRun) give(name string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.busy, name)
}

func (b *brokenRun) stormEndpoint(_ *Host, e *Endpoint, _ time.Duration) func() {
	set := func(on bool) {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.storms[e.ID] = on
	}
	set(true)
	return func() { set(false) }
}

// pauseLong pauses a host until others give up the requests that they relayed to it.
func (b *brokenRun) pauseLong(h *Host, e *Endpoint, length time.Duration) func() {
	end := b.pauseHost(h, e, length)
	time.Sleep(2 * length)
	return end
}

// resetEndpoint resets an endpoint's connections several times.
func (b *brokenRun) resetEndpoint(_ *Host, e *Endpoint, length time.Duration) func() {
	for range 3 {
		e.Reset()
		time.Sleep(length / 10)
	}
	return func() {}
}
