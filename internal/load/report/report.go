// Package report aggregates the samples of a run by service and by caller.
package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hyssopspindle/hyssopspindle/internal/load/drive"
)

// The range of the histograms, in microseconds, and their precision.
const (
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Spread holds percentiles and the maximum of a distribution in milliseconds.
type Spread struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// Service aggregates the samples of one service or one caller.
type Service struct {
	Name string `json:"name"`
	Sent int    `json:"sent"`
	// Whole is the number of complete answers, InTime the number that arrived before
	// their deadline.
	Whole  int `json:"whole"`
	InTime int `json:"in_time"`
	// Away is the number of complete answers from a region other than that of the host
	// that received the request.
	Away int `json:"away"`
	// Cost is the sum of the prices of these requests' crossings between regions.
	Cost float64 `json:"cost"`
	// Repeats is the number of retries.
	Repeats int `json:"repeats"`
	// Refusals counts the requests without a complete answer by refusal code.
	Refusals map[string]int `json:"refusals"`
	// First is the time to first token, Took the time to the complete answer, Gap the
	// longest gap within an answer.
	First Spread `json:"first"`
	Took  Spread `json:"took"`
	Gap   Spread `json:"gap"`
}

// AwayShare returns the share of complete answers that came from a remote region.
func (s Service) AwayShare() float64 { return ratio(s.Away, s.Whole) }

// Completion returns the share of requests with a complete answer.
func (s Service) Completion() float64 { return ratio(s.Whole, s.Sent) }

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

// Report aggregates the samples of a run.
type Report struct {
	Name     string    `json:"name"`
	Seed     uint64    `json:"seed"`
	Policy   string    `json:"policy,omitempty"`
	Seconds  float64   `json:"seconds"`
	Services []Service `json:"services"`
	Callers  []Service `json:"callers"`
	Total    Service   `json:"total"`
	// Doubles is the number of operations that ran more than once, False the number of
	// refusals that wrongly report an operation as not run. Both are -1 if the records
	// of the endpoints are not available.
	Doubles int `json:"doubles"`
	False   int `json:"false_not_run"`
}

// Cost returns the price of a crossing from a caller's region to the remote host
// that served the request.
type Cost func(region, servedBy string) float64

// tally aggregates samples, with times in histograms until summary is called.
type tally struct {
	Service
	first, took, gap *hdrhistogram.Histogram
}

func newTally(name string) *tally {
	return &tally{
		Service: Service{Name: name, Refusals: map[string]int{}},
		first:   hdrhistogram.New(minMicros, maxMicros, significantDigits), took: hdrhistogram.New(minMicros, maxMicros, significantDigits),
		gap: hdrhistogram.New(minMicros, maxMicros, significantDigits),
	}
}

// Make aggregates samples into a report. Times are measured from when a request was
// due: measuring from the sending would hide the delay of a stalled system.
func Make(name string, seed uint64, samples []drive.Sample, cost Cost) Report {
	total := newTally("all")
	services, callers := map[string]*tally{}, map[string]*tally{}
	var end time.Duration
	for _, s := range samples {
		tallyFor(services, s.Item.Service).add(s, cost)
		tallyFor(callers, s.Item.Caller).add(s, cost)
		total.add(s, cost)
		end = max(end, s.Item.At()+s.Took)
	}
	r := Report{Name: name, Seed: seed, Seconds: end.Seconds(), Total: total.summary(), Doubles: -1, False: -1}
	r.Services, r.Callers = summaries(services), summaries(callers)
	return r
}

func tallyFor(tallies map[string]*tally, name string) *tally {
	t, ok := tallies[name]
	if !ok {
		t = newTally(name)
		tallies[name] = t
	}
	return t
}

func summaries(tallies map[string]*tally) []Service {
	var out []Service
	for _, n := range slices.Sorted(maps.Keys(tallies)) {
		out = append(out, tallies[n].summary())
	}
	return out
}

func (t *tally) add(s drive.Sample, cost Cost) {
	t.Sent++
	t.Repeats += max(0, s.Outcome.Tries-1)
	if !s.Outcome.Whole {
		reason := string(s.Outcome.Code)
		t.Refusals[cmp.Or(reason, "no_answer")]++
		return
	}
	t.Whole++
	if s.InTime() {
		t.InTime++
	}
	if s.Outcome.Served != "" {
		t.Away++
		t.Cost += cost(s.Item.Region, s.Outcome.Served)
	}
	record(t.first, s.First)
	record(t.took, s.Took)
	record(t.gap, s.Gap)
}

// record cannot fail, as the value is clamped to the histogram's range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

func (t *tally) summary() Service {
	t.First, t.Took, t.Gap = percentiles(t.first), percentiles(t.took), percentiles(t.gap)
	return t.Service
}

func percentiles(h *hdrhistogram.Histogram) Spread {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Spread{P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / 1000}
}
