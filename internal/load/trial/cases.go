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

// The shape of the stand-in engines in the cases.
const (
	caseDecode  = 10 * time.Millisecond
	casePrefill = 200 * time.Millisecond
	caseCache   = 12_000
	caseLag     = 300 * time.Millisecond
	lateLag     = 2 * time.Second
	grace       = 3 * time.Second
	engineQueue = 256
	slowFactor  = 10
)

// The requests of the cases.
const (
	longPrompt  = 1000
	longTokens  = 40
	shortPrompt = 300
	shortTokens = 12
	prefixes    = 24
	longTime    = 30 * time.Second
	shortTime   = 5 * time.Second
	plainRate   = 8.0
)

// Case is one experiment.
type Case struct {
	Name string
	// Load is the share of the model services' capacity that is asked for.
	Load float64
	// Peak is the factor of the rate at the height of each region's peak.
	Peak float64
	Lag  time.Duration
	// Greedy is the factor by which one caller's rate exceeds its share.
	Greedy float64
	// Callers says that the report is by caller as well.
	Callers bool
	// Events happen at shares of the whole time.
	Events []Event
}

// Event is something that happens during a case.
type Event struct {
	At float64
	Do func(d *Deployment)
}

// Cases returns the experiments.
func Cases() []Case {
	return []Case{
		{Name: "steady", Load: 0.7},
		{Name: "peak", Load: 0.6, Peak: 3},
		{Name: "region", Load: 0.5, Events: []Event{{0.3, loseLast}, {0.6, returnLast}}},
		{Name: "calm", Load: 0.5, Callers: true},
		{Name: "cut", Load: 0.5, Callers: true, Events: []Event{{0.3, cutLast}, {0.7, heal}}},
		{Name: "slow", Load: 0.5, Events: []Event{{0.2, slowFirst}}},
		{Name: "late", Load: 0.7, Lag: lateLag},
		{Name: "greedy", Load: 0.6, Greedy: 10, Callers: true},
		{Name: "overload", Load: 0.5, Peak: 6},
	}
}

// FindCase returns a case by name.
func FindCase(name string) (Case, error) {
	list := Cases()
	i := slices.IndexFunc(list, func(c Case) bool { return c.Name == name })
	if i < 0 {
		return Case{}, fmt.Errorf("case %q is not known", name)
	}
	return list[i], nil
}

// lastRegion returns the endpoints of the inventory's last region.
func lastRegion(d *Deployment) []*engine.Engine {
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

func loseLast(d *Deployment) {
	for _, e := range lastRegion(d) {
		e.SetFault(engine.Fault{Status: 503, Down: true})
	}
}

func returnLast(d *Deployment) {
	for _, e := range lastRegion(d) {
		e.Empty()
		e.SetFault(engine.Fault{})
	}
}

// cutLast isolates the last region from the others, heal ends that.
func cutLast(d *Deployment) {
	regions := d.Inventory.Regions()
	d.Cut(regions[len(regions)-1].Name)
}

func heal(d *Deployment) { d.Cut("") }

// slowFirst makes one engine of each model service slow.
func slowFirst(d *Deployment) {
	for _, s := range d.Inventory.Services() {
		for _, e := range d.Inventory.EndpointsOf(s.Name) {
			if en := d.Engines[e.Name]; en != nil {
				en.SetFault(engine.Fault{Slow: slowFactor})
				break
			}
		}
	}
}

// Engine returns the shape of the engines in the case.
func (c Case) Engine() engine.Config {
	lag := c.Lag
	if lag == 0 {
		lag = caseLag
	}
	return engine.Config{
		Prefill: casePrefill, Decode: caseDecode, Cache: caseCache, Lag: lag, Grace: grace, QueueLimit: engineQueue,
	}
}

// Trace draws the requests of the case.
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

// sources returns the requests for one service from one region.
func (c Case) sources(inv *invent.Inventory, s *invent.Service, region string, phase float64) []trace.Source {
	var callers []*invent.Caller
	for i := range inv.Callers() {
		caller := &inv.Callers()[i]
		if caller.Region == region && caller.May(s.Name) {
			callers = append(callers, caller)
		}
	}
	if len(callers) == 0 {
		return nil
	}
	if s.Kind == invent.Plain {
		return c.plainSources(callers[0], s, region)
	}
	rate := c.rate(inv, s, region)
	var out []trace.Source
	for i, caller := range callers {
		src := trace.Source{
			Item: itemOf(caller, s, region), Rate: rate / float64(len(callers)),
			Prefixes: prefixes, Peak: max(1, c.Peak), Phase: phase,
		}
		if c.Greedy > 0 && i == 0 && region == inv.Regions()[0].Name {
			src.Rate *= c.Greedy
		}
		out = append(out, src)
	}
	return out
}

func itemOf(caller *invent.Caller, s *invent.Service, region string) trace.Item {
	it := trace.Item{Caller: caller.Name, Service: s.Name, Region: region}
	it.Prompt, it.Tokens, it.DeadlineMS = shortPrompt, shortTokens, shortTime.Milliseconds()
	if s.Priority > 0 {
		it.Prompt, it.Tokens, it.DeadlineMS = longPrompt, longTokens, longTime.Milliseconds()
	}
	return it
}

func (c Case) plainSources(caller *invent.Caller, s *invent.Service, region string) []trace.Source {
	look := trace.Item{
		Caller: caller.Name, Service: s.Name, Region: region, Method: "GET", Path: "/stock/1",
		DeadlineMS: shortTime.Milliseconds(),
	}
	for _, call := range s.Calls {
		look.Path = call.Path + "/1"
	}
	change := look
	change.Method, change.Path, change.Operation = "POST", "/confirm", true
	return []trace.Source{{Item: look, Rate: plainRate}, {Item: change, Rate: plainRate / 2}}
}

// rate is the case's share of a region's capacity for a service. Where the case
// has a peak, the mean over the whole time stays near that share.
func (c Case) rate(inv *invent.Inventory, s *invent.Service, region string) float64 {
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
	work := casePrefill.Seconds()*float64(prompt)/1000 + caseDecode.Seconds()*float64(tokens)
	return c.Load * float64(slots) / work
}

// Play runs the events of the case until ctx ends.
func (c Case) Play(ctx context.Context, d *Deployment, length time.Duration) {
	start := time.Now()
	for _, e := range c.Events {
		t := time.NewTimer(time.Until(start.Add(time.Duration(e.At * float64(length)))))
		select {
		case <-ctx.Done():
			t.Stop()
			return
		case <-t.C:
			e.Do(d)
		}
	}
}
