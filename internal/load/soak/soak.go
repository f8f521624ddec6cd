package soak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
	"github.com/hyssopspindle/hyssopspindle/platform/stand"
)

const (
	callerCount = 10
	// drainTime is how long after its announcement a leaving endpoint may get requests.
	drainTime = time.Second
	// pauseSlack is how long after its first refusal a pausing endpoint may get any number
	// of requests, and pauseRequests how many of each host process it may get later.
	pauseSlack    = 500 * time.Millisecond
	pauseRequests = 2
	// brokenRequests is the number of requests that a broken endpoint does not answer.
	brokenRequests = 20
	// recoveryTime is the time from the end of all faults within which all is served.
	recoveryTime = 10 * time.Second
)

// Run is a seeded run of faults on a fleet.
type Run struct {
	fleet  *Fleet
	rand   *rand.Rand
	log    func(format string, args ...any)
	ledger ledger
	routes []stand.Route

	mu       sync.Mutex
	findings []string
	// disturbed holds the regions of whose hosts one was paused or ended in this phase, and
	// starts counts the host processes by region.
	disturbed map[string]bool
	starts    map[string]int
}

// NewRun returns a run on a fleet. The seed gives its faults, which are written to log.
func NewRun(f *Fleet, seed uint64, log func(format string, args ...any)) *Run {
	return &Run{fleet: f, rand: rand.New(rand.NewPCG(seed, 1)), log: log, routes: routes(), disturbed: map[string]bool{}, starts: map[string]int{}}
}

// Build adds hosts and endpoints to an empty fleet and starts them.
func (r *Run) Build() error {
	return r.build(map[string]int{"a": 2, farRegion: 2, "c": 1}, func(e *routed.Endpoint) {
		e.EventCount, e.EventGap, e.AnswerTime = eventCount, 30*time.Millisecond, 20*time.Millisecond
	})
}

// build adds a number of hosts and two endpoints to each region of an empty fleet and starts them.
func (r *Run) build(regions map[string]int, setup func(*routed.Endpoint)) error {
	f := r.fleet
	for region, hosts := range regions {
		f.AddRegion(region)
		for i := range hosts {
			if _, err := f.AddHost(fmt.Sprint(region, i+1), region); err != nil {
				return err
			}
		}
		for i := range 2 {
			if _, err := f.AddEndpoint(fmt.Sprint("e", region, i+1), service, region, setup); err != nil {
				return err
			}
		}
	}
	// The order must not depend on that of the map.
	slices.SortFunc(f.Hosts, func(a, b *Host) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(f.Endpoints, func(a, b *Endpoint) int { return cmp.Compare(a.ID, b.ID) })
	f.Store.Publish(1, []string{service}, r.routes...)
	for _, h := range f.Hosts {
		if err := r.start(h); err != nil {
			return err
		}
	}
	return f.WaitReady()
}

func (r *Run) start(h *Host) error {
	r.mu.Lock()
	r.starts[h.Region]++
	r.mu.Unlock()
	return r.fleet.Start(h)
}

func (r *Run) find(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.findings = append(r.findings, fmt.Sprintf(format, args...))
}

// Play injects faults in phases under load and returns what must not be, one line each.
func (r *Run) Play(phases int) []string {
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	r.awaitServed()
	var callers sync.WaitGroup
	for i := range callerCount {
		callers.Go(func() { r.fleet.sendCalls(ctx, &r.ledger, i) })
	}
	for n := range phases {
		r.phase(n)
		if len(r.findings) > 0 {
			break
		}
	}
	stop()
	callers.Wait()
	r.summarise()
	return append(r.findings, r.fleet.check(&r.ledger)...)
}

// summarise logs how the calls ended.
func (r *Run) summarise() {
	count := map[string]int{}
	for _, c := range r.ledger.calls {
		outcome := fmt.Sprint(c.status)
		if c.err != nil {
			outcome += " cut"
		}
		count[c.route.Name+" "+outcome]++
	}
	for _, name := range slices.Sorted(maps.Keys(count)) {
		r.log("%s: %d", name, count[name])
	}
}

// phase injects two or three faults, ends them, and waits until all is served again.
func (r *Run) phase(n int) {
	f := r.fleet
	r.disturbed = map[string]bool{}
	hosts, endpoints := r.rand.Perm(len(f.Hosts)), r.rand.Perm(len(f.Endpoints))
	saved := f.Store.Copy()
	kinds := []struct {
		name   string
		inject func(h *Host, e *Endpoint, length time.Duration) (end func())
	}{
		{"host is paused", r.pauseHost},
		{"host is told to end", r.restartHost},
		{"host is killed", r.killHost},
		{"endpoint leaves", r.leaveEndpoint},
		{"endpoints of the region ask for a pause", r.pauseEndpoints},
		{"endpoint is silent", r.silenceEndpoint},
		{"endpoint breaks off", r.breakEndpoint},
		{"store is restored", func(*Host, *Endpoint, time.Duration) func() { return r.restoreStore(saved) }},
	}
	var faults sync.WaitGroup
	for i, kind := range r.rand.Perm(len(kinds))[:2+r.rand.IntN(2)] {
		delay := time.Duration(r.rand.IntN(1500)) * time.Millisecond
		length := time.Duration(1000+r.rand.IntN(3500)) * time.Millisecond
		h, e := f.Hosts[hosts[i]], f.Endpoints[endpoints[i]]
		faults.Go(func() {
			time.Sleep(delay)
			r.log("phase %d, after %v, for %v: %s (%s, %s)", n, delay, length, kinds[kind].name, h.Name, e.ID)
			end := kinds[kind].inject(h, e, length)
			time.Sleep(length)
			end()
		})
	}
	faults.Wait()
	if err := f.WaitReady(); err != nil {
		r.find("phase %d: %v", n, err)
	}
	r.awaitServed()
	for _, h := range f.Hosts {
		if h.hasEnded() {
			r.find("phase %d: %s has ended by itself", n, h.Name)
		}
	}
}

// awaitServed waits until each host serves each route.
func (r *Run) awaitServed() {
	end := time.Now().Add(recoveryTime)
	var hosts sync.WaitGroup
	for _, h := range r.fleet.Hosts {
		hosts.Go(func() { r.awaitHost(h, end) })
	}
	hosts.Wait()
}

// awaitHost waits until a host serves each route, up to a time.
func (r *Run) awaitHost(h *Host, end time.Time) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for _, route := range r.routes {
		for {
			id := fmt.Sprintf("probe-%s-%s-%d", h.Name, route.Name, time.Now().UnixNano())
			c := r.fleet.send(client, h, route, id)
			if c.err == nil && c.status == http.StatusOK {
				break
			}
			if time.Now().After(end) {
				r.find("not served %v after the last fault: %v", recoveryTime, c)
				return
			}
			time.Sleep(pollInterval)
		}
	}
}

// disturb records that a host of a region is paused or ended in this phase.
func (r *Run) disturb(h *Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.disturbed[h.Region] = true
}

func (r *Run) isDisturbed(region string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.disturbed[region]
}

func (r *Run) startsIn(region string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[region]
}

func (r *Run) signal(h *Host, s syscall.Signal) {
	if err := h.Signal(s); err != nil {
		r.find("%v", err)
	}
}

func (r *Run) pauseHost(h *Host, _ *Endpoint, _ time.Duration) func() {
	r.disturb(h)
	r.signal(h, syscall.SIGSTOP)
	return func() { r.signal(h, syscall.SIGCONT) }
}

func (r *Run) restartHost(h *Host, _ *Endpoint, _ time.Duration) func() {
	r.disturb(h)
	r.signal(h, syscall.SIGTERM)
	return func() {
		if err := h.Wait(); err != nil {
			// The host may have been started a moment before.
			if early, logErr := h.EndedAtStart(); !early {
				r.find("%s was told to end: %v", h.Name, errors.Join(err, logErr))
			}
		}
		r.startAgain(h)
	}
}

func (r *Run) killHost(h *Host, _ *Endpoint, _ time.Duration) func() {
	r.disturb(h)
	r.signal(h, syscall.SIGKILL)
	return func() {
		_ = h.Wait()
		r.startAgain(h)
	}
}

func (r *Run) startAgain(h *Host) {
	if err := r.start(h); err != nil {
		r.find("%v", err)
	}
}

// leaveEndpoint makes an endpoint announce in its answers, not in the store, that it leaves,
// and starts it again.
func (r *Run) leaveEndpoint(_ *Host, e *Endpoint, _ time.Duration) func() {
	e.SetLeaving(true)
	return func() {
		late := 0
		for _, run := range e.Runs() {
			if since := e.LeavingSince(); !since.IsZero() && run.At.After(since.Add(drainTime)) {
				late++
			}
		}
		most := 0
		if r.isDisturbed(e.Region) {
			// A host that wakes or starts sends what waits for it before it learns of the leaving.
			most = callerCount
		}
		r.log("%s got %d requests over %v after it had announced that it leaves", e.ID, late, drainTime)
		if late > most {
			r.find("%s got %d requests over %v after it had announced that it leaves, want at most %d", e.ID, late, drainTime, most)
		}
		e.SetLeaving(false)
		e.register(func(entry *stand.Registration) { entry.Born = time.Now() })
	}
}

// pauseEndpoints makes the endpoints of a region turn requests away for a time that they name.
func (r *Run) pauseEndpoints(_ *Host, e *Endpoint, length time.Duration) func() {
	began, before := time.Now(), map[*Endpoint]int{}
	for _, other := range r.fleet.Endpoints {
		if other.Region == e.Region {
			before[other] = len(other.TurnedAway())
			other.SetPause(began.Add(length))
		}
	}
	return func() {
		most := pauseRequests * r.startsIn(e.Region)
		for other, n := range before {
			late := 0
			for _, at := range other.TurnedAway()[n:] {
				if at.After(began.Add(pauseSlack)) {
					late++
				}
			}
			r.log("%s turned %d requests away, %d of them over %v after its pause began", other.ID, len(other.TurnedAway())-n, late, pauseSlack)
			if late > most {
				r.find("%s got %d requests over %v after it had asked for a pause, want at most %d", other.ID, late, pauseSlack, most)
			}
		}
	}
}

func (r *Run) silenceEndpoint(_ *Host, e *Endpoint, _ time.Duration) func() {
	e.SetSilent(time.Now().Add(time.Second))
	return func() {}
}

// breakEndpoint makes an endpoint run requests and close their connections without an answer.
func (r *Run) breakEndpoint(_ *Host, e *Endpoint, _ time.Duration) func() {
	e.SetFault(routed.Fault{Times: brokenRequests, Drop: true})
	return func() { e.SetFault(routed.Fault{}) }
}

// restoreStore replaces the store's contents by the copy of the phase's start; endpoints and
// operator then write again what it lacks.
func (r *Run) restoreStore(saved stand.Copy) func() {
	r.fleet.Store.Restore(saved)
	return func() { r.fleet.Store.Publish(1, []string{service}, r.routes...) }
}
