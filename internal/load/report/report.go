// Package report sums up what became of a trace.
package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hyssopspindle/hyssopspindle/internal/load/drive"
)

const (
	lowest  = 1
	highest = int64(time.Hour / time.Microsecond)
	digits  = 3
)

// Spread holds percentiles in milliseconds.
type Spread struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// Service sums up one service.
type Service struct {
	Name string `json:"name"`
	Sent int    `json:"sent"`
	// Whole counts whole answers, InTime those before their deadline.
	Whole  int `json:"whole"`
	InTime int `json:"in_time"`
	// Away counts answers from another region than that of the entry host.
	Away int `json:"away"`
	// Cost is that of the crossings.
	Cost float64 `json:"cost"`
	// Repeats counts attempts beyond the first.
	Repeats  int            `json:"repeats"`
	Refusals map[string]int `json:"refusals"`
	First    Spread         `json:"first"`
	Took     Spread         `json:"took"`
	Gap      Spread         `json:"gap"`
}

// AwayShare is the share of whole answers that came from another region.
func (s Service) AwayShare() float64 { return share(s.Away, s.Whole) }

// Completion is the share of requests with a whole answer.
func (s Service) Completion() float64 { return share(s.Whole, s.Sent) }

func share(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// Report sums up a run.
type Report struct {
	Name     string    `json:"name"`
	Seed     uint64    `json:"seed"`
	Policy   string    `json:"policy,omitempty"`
	Seconds  float64   `json:"seconds"`
	Services []Service `json:"services"`
	Callers  []Service `json:"callers"`
	Total    Service   `json:"total"`
	// Doubles counts operations that ran twice, False the untrue statements that
	// one was not run; both are -1 where the endpoints' records are not at hand.
	Doubles int `json:"doubles"`
	False   int `json:"false_not_run"`
}

// Cost returns the price of a crossing from a region to the host that served it.
type Cost func(region, servedBy string) float64

type sums struct {
	Service
	first, took, gap *hdrhistogram.Histogram
}

func newSums(name string) *sums {
	return &sums{
		Service: Service{Name: name, Refusals: map[string]int{}},
		first:   hdrhistogram.New(lowest, highest, digits), took: hdrhistogram.New(lowest, highest, digits),
		gap: hdrhistogram.New(lowest, highest, digits),
	}
}

// Make sums up samples. Times count from when a request was due, so that a
// system that stalls is not flattered.
func Make(name string, seed uint64, samples []drive.Sample, cost Cost) Report {
	total := newSums("all")
	by, callers := map[string]*sums{}, map[string]*sums{}
	var end time.Duration
	for _, s := range samples {
		of(by, s.Item.Service).add(s, cost)
		of(callers, s.Item.Caller).add(s, cost)
		total.add(s, cost)
		end = max(end, s.Item.At()+s.Took)
	}
	r := Report{Name: name, Seed: seed, Seconds: end.Seconds(), Total: total.close(), Doubles: -1, False: -1}
	r.Services, r.Callers = closeAll(by), closeAll(callers)
	return r
}

func of(by map[string]*sums, name string) *sums {
	b, ok := by[name]
	if !ok {
		b = newSums(name)
		by[name] = b
	}
	return b
}

func closeAll(by map[string]*sums) []Service {
	var out []Service
	for _, n := range slices.Sorted(maps.Keys(by)) {
		out = append(out, by[n].close())
	}
	return out
}

func (b *sums) add(s drive.Sample, cost Cost) {
	b.Sent++
	b.Repeats += max(0, s.Outcome.Tries-1)
	if !s.Outcome.Whole {
		reason := string(s.Outcome.Code)
		b.Refusals[cmp.Or(reason, "no_answer")]++
		return
	}
	b.Whole++
	if s.InTime() {
		b.InTime++
	}
	if s.Outcome.Served != "" {
		b.Away++
		b.Cost += cost(s.Item.Region, s.Outcome.Served)
	}
	record(b.first, s.First)
	record(b.took, s.Took)
	record(b.gap, s.Gap)
}

// record cannot fail, as the value is within the histogram's bounds.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), lowest), highest))
}

func (b *sums) close() Service {
	b.First, b.Took, b.Gap = spread(b.first), spread(b.took), spread(b.gap)
	return b.Service
}

func spread(h *hdrhistogram.Histogram) Spread {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Spread{P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / 1000}
}
