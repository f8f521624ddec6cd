package trial

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/load/trace"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/engine"
)

// The settings and faults of the stand-in engines in the cases.
const (
	decodePerToken     = 10 * time.Millisecond
	prefillPerThousand = 200 * time.Millisecond // per thousand prompt tokens
	cacheTokens        = 12_000
	loadReportLag      = 300 * time.Millisecond
	longLoadReportLag  = 2 * time.Second // in the case "late"
	resumeGrace        = 3 * time.Second
	engineQueueLimit   = 256
	slowdownFactor     = 10
)

// The requests of the cases. Services with a priority above 0 get long prompts,
// answers and deadlines, the others short ones.
const (
	longPrompt    = 1000 // tokens
	longTokens    = 40
	shortPrompt   = 300 // tokens
	shortTokens   = 12
	prefixCount   = 24
	longDeadline  = 30 * time.Second
	shortDeadline = 5 * time.Second
	plainRate     = 8.0 // reads per second, per service and region
)

// Case is one experiment: a load with the events that disturb it.
type Case struct {
	Name string
	// Load is the offered load as a share of the model services' capacity.
	Load float64
	// PeakFactor is the factor of the rate at the top of each region's peak.
	PeakFactor float64
	// ReportLag is the age of the engines' load reports; 0 is the default.
	ReportLag time.Duration
	// GreedyFactor is the factor by which one caller of the first region exceeds its
	// share of the rate; 0 is off.
	GreedyFactor float64
	// ByCaller adds a breakdown by caller to the report.
	ByCaller bool
	// Events are sorted by time.
	Events []Event
}

// Event is a change to the deployment during a case.
type Event struct {
	// Share is the time as a share of the run's length.
	Share float64
	Apply func(d *Deployment)
}

// Cases returns all experiments.
func Cases() []Case {
	return []Case{
		{Name: "steady", Load: 0.7},
		{Name: "peak", Load: 0.6, PeakFactor: 3},
		{Name: "region", Load: 0.5, Events: []Event{{0.3, failLastRegion}, {0.6, restoreLastRegion}}},
		{Name: "calm", Load: 0.5, ByCaller: true},
		{Name: "cut", Load: 0.5, ByCaller: true, Events: []Event{{0.3, isolateLastRegion}, {0.7, endIsolation}}},
		{Name: "slow", Load: 0.5, Events: []Event{{0.2, slowFirstEngines}}},
		{Name: "late", Load: 0.7, ReportLag: longLoadReportLag},
		{Name: "greedy", Load: 0.6, GreedyFactor: 10, ByCaller: true},
		{Name: "overload", Load: 0.5, PeakFactor: 6},
	}
}

// FindCase returns the case with the given name.
func FindCase(name string) (Case, error) {
	list := Cases()
	i := slices.IndexFunc(list, func(c Case) bool { return c.Name == name })
	if i < 0 {
		return Case{}, fmt.Errorf("case %q is not known", name)
	}
	return list[i], nil
}

// lastRegionEngines returns the engines of the inventory's last region.
func lastRegionEngines(d *Deployment) []*engine.Engine {
	regions := d.Inventory.Regions()
	last := regions[len(regions)-1].Name
	var out []*engine.Engine
	for _, e := range d.Inventory.Endpoints() {
		if en := d.Engines[e.Name]; en != nil && d.Inventory.RegionOf(e.Centre) == last {
			out = append(out, en)
		}
	}
	return out
}

// failLastRegion makes all engines of the last region fail.
func failLastRegion(d *Deployment) {
	for _, e := range lastRegionEngines(d) {
		e.SetFault(engine.Fault{Status: 503, Down: true})
	}
}

// restoreLastRegion ends the failure. The engines come back with empty caches, as
// after a restart.
func restoreLastRegion(d *Deployment) {
	for _, e := range lastRegionEngines(d) {
		e.ClearCache()
		e.SetFault(engine.Fault{})
	}
}

// isolateLastRegion cuts the network between the last region and the others.
func isolateLastRegion(d *Deployment) {
	regions := d.Inventory.Regions()
	d.IsolateRegion(regions[len(regions)-1].Name)
}

func endIsolation(d *Deployment) { d.IsolateRegion("") }

// slowFirstEngines slows down the first engine of each model service.
func slowFirstEngines(d *Deployment) {
	for _, s := range d.Inventory.Services() {
		for _, e := range d.Inventory.EndpointsOf(s.Name) {
			if en := d.Engines[e.Name]; en != nil {
				en.SetFault(engine.Fault{Slowdown: slowdownFactor})
				break
			}
		}
	}
}

// EngineConfig returns the settings of the engines in the case.
func (c Case) EngineConfig() engine.Config {
	lag := c.ReportLag
	if lag == 0 {
		lag = loadReportLag
	}
	return engine.Config{
		Prefill: prefillPerThousand, Decode: decodePerToken, CacheTokens: cacheTokens, ReportLag: lag, ResumeGrace: resumeGrace, QueueLimit: engineQueueLimit,
	}
}

// Trace generates the requests of the case from a seed. The peaks of the regions are
// spread evenly over the trace.
func (c Case) Trace(inv *invent.Inventory, seed uint64, length time.Duration) []trace.Item {
	var sources []trace.Source
	regions := inv.Regions()
	for i, r := range regions {
		phase := (float64(i) + 0.5) / float64(len(regions))
		for i := range inv.Services() {
			sources = append(sources, c.sources(inv, &inv.Services()[i], r.Name, phase)...)
		}
	}
	return trace.Generate(seed, length, sources)
}

// sources returns the request streams for one service from one region.
func (c Case) sources(inv *invent.Inventory, s *invent.Service, region string, phase float64) []trace.Source {
	var callers []*invent.Caller
	for i := range inv.Callers() {
		caller := &inv.Callers()[i]
		if caller.Region == region && caller.MayUse(s.Name) {
			callers = append(callers, caller)
		}
	}
	if len(callers) == 0 {
		return nil
	}
	if s.Kind == invent.Plain {
		return c.plainSources(callers[0], s, region)
	}
	rate := c.requestRate(inv, s, region)
	var out []trace.Source
	for i, caller := range callers {
		src := trace.Source{
			Item: modelRequest(caller, s, region), Rate: rate / float64(len(callers)),
			Prefixes: prefixCount, PeakFactor: max(1, c.PeakFactor), Phase: phase,
		}
		if c.GreedyFactor > 0 && i == 0 && region == inv.Regions()[0].Name {
			src.Rate *= c.GreedyFactor
		}
		out = append(out, src)
	}
	return out
}

// modelRequest returns a request to a model service, long if the service has a priority.
func modelRequest(caller *invent.Caller, s *invent.Service, region string) trace.Item {
	it := trace.Item{Caller: caller.Name, Service: s.Name, Region: region}
	it.PromptTokens, it.AnswerTokens, it.DeadlineMS = shortPrompt, shortTokens, shortDeadline.Milliseconds()
	if s.Priority > 0 {
		it.PromptTokens, it.AnswerTokens, it.DeadlineMS = longPrompt, longTokens, longDeadline.Milliseconds()
	}
	return it
}

func (c Case) plainSources(caller *invent.Caller, s *invent.Service, region string) []trace.Source {
	read := trace.Item{
		Caller: caller.Name, Service: s.Name, Region: region, Method: "GET", Path: "/stock/1",
		DeadlineMS: shortDeadline.Milliseconds(),
	}
	for _, call := range s.Calls {
		read.Path = call.Path + "/1"
	}
	operation := read
	operation.Method, operation.Path, operation.Operation = "POST", "/confirm", true
	return []trace.Source{{Item: read, Rate: plainRate}, {Item: operation, Rate: plainRate / 2}}
}

// requestRate returns the requests per second that use the case's share of a region's
// capacity for a service. A peak multiplies this rate.
func (c Case) requestRate(inv *invent.Inventory, s *invent.Service, region string) float64 {
	slots := 0
	for _, e := range inv.EndpointsOf(s.Name) {
		if inv.RegionOf(e.Centre) == region {
			slots += e.Slots
		}
	}
	prompt, tokens := shortPrompt, shortTokens
	if s.Priority > 0 {
		prompt, tokens = longPrompt, longTokens
	}
	work := prefillPerThousand.Seconds()*float64(prompt)/1000 + decodePerToken.Seconds()*float64(tokens)
	return c.Load * float64(slots) / work
}

// RunEvents applies the events of the case at their times. It returns early if ctx ends.
func (c Case) RunEvents(ctx context.Context, d *Deployment, length time.Duration) {
	start := time.Now()
	for _, e := range c.Events {
		t := time.NewTimer(time.Until(start.Add(time.Duration(e.Share * float64(length)))))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
			e.Apply(d)
		}
	}
}
