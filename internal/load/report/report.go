// Package report aggregates the samples of a run by service and by caller.
package report

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hyssopspindle/hyssopspindle/internal/load/replay"
)

// The range of the histograms, in microseconds, and their precision.
const (
	minMicros         = 1
	maxMicros         = int64(time.Hour / time.Microsecond)
	significantDigits = 3
)

// Percentiles holds percentiles and the maximum of a distribution in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50_ms"`
	P95 float64 `json:"p95_ms"`
	P99 float64 `json:"p99_ms"`
	Max float64 `json:"max_ms"`
}

// Summary aggregates the samples of one service or one caller.
type Summary struct {
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
	First Percentiles `json:"first"`
	Took  Percentiles `json:"took"`
	Gap   Percentiles `json:"gap"`
}

// RemoteShare returns the share of complete answers that came from a remote region.
func (s Summary) RemoteShare() float64 { return ratio(s.Away, s.Whole) }

// Completion returns the share of requests with a complete answer.
func (s Summary) Completion() float64 { return ratio(s.Whole, s.Sent) }

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
	Services []Summary `json:"services"`
	Callers  []Summary `json:"callers"`
	Total    Summary   `json:"total"`
	// DuplicateRuns is the number of operations that ran more than once, FalseNotRun
	// the number of refusals that wrongly report an operation as not run. Both are -1
	// if the records of the endpoints are not available.
	DuplicateRuns int `json:"doubles"`
	FalseNotRun   int `json:"false_not_run"`
}

// Cost returns the price of a crossing from a caller's region to the remote host
// that served the request.
type Cost func(region, servedBy string) float64

// tally aggregates samples, with times in histograms until summary is called.
type tally struct {
	Summary
	first, took, gap *hdrhistogram.Histogram
}

func newTally(name string) *tally {
	return &tally{
		Summary: Summary{Name: name, Refusals: map[string]int{}},
		first:   hdrhistogram.New(minMicros, maxMicros, significantDigits), took: hdrhistogram.New(minMicros, maxMicros, significantDigits),
		gap: hdrhistogram.New(minMicros, maxMicros, significantDigits),
	}
}

// Summarise aggregates samples into a report. Times are measured from when a request
// was due: measured from sending, they would hide the delay of a stalled system.
func Summarise(name string, seed uint64, samples []replay.Sample, cost Cost) Report {
	total := newTally("all")
	services, callers := map[string]*tally{}, map[string]*tally{}
	var end time.Duration
	for _, s := range samples {
		tallyFor(services, s.Item.Service).add(s, cost)
		tallyFor(callers, s.Item.Caller).add(s, cost)
		total.add(s, cost)
		end = max(end, s.Item.SendTime()+s.Elapsed)
	}
	r := Report{Name: name, Seed: seed, Seconds: end.Seconds(), Total: total.summary(), DuplicateRuns: -1, FalseNotRun: -1}
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

func summaries(tallies map[string]*tally) []Summary {
	var out []Summary
	for _, n := range slices.Sorted(maps.Keys(tallies)) {
		out = append(out, tallies[n].summary())
	}
	return out
}

func (t *tally) add(s replay.Sample, cost Cost) {
	t.Sent++
	t.Repeats += max(0, s.Outcome.Attempts-1)
	if !s.Outcome.Complete {
		reason := string(s.Outcome.Code)
		t.Refusals[cmp.Or(reason, "no_answer")]++
		return
	}
	t.Whole++
	if s.InTime() {
		t.InTime++
	}
	if s.Outcome.ServedBy != "" {
		t.Away++
		t.Cost += cost(s.Item.Region, s.Outcome.ServedBy)
	}
	record(t.first, s.TimeToFirstToken)
	record(t.took, s.Elapsed)
	record(t.gap, s.MaxGap)
}

// record adds a time to a histogram. It cannot fail, as the value is clamped to the
// histogram's range.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

func (t *tally) summary() Summary {
	t.First, t.Took, t.Gap = percentiles(t.first), percentiles(t.took), percentiles(t.gap)
	return t.Summary
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / 1000}
}
