package report

import (
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// Expectation is one expected outcome of a run: the bounds of a metric of a service.
type Expectation struct {
	// Service is the name of a service, or "all".
	Service string `toml:"service"`
	// Metric is completion, in_time, away_share, cost, repeats, doubles,
	// false_not_run, first_p50_ms, first_p95_ms, first_p99_ms or gap_p95_ms.
	Metric string `toml:"metric"`
	// Least and Most are the inclusive bounds of the value; nil means no bound.
	Least *float64 `toml:"least"`
	Most  *float64 `toml:"most"`
}

type expectations struct {
	Expect []Expectation `toml:"expect"`
}

// ParseExpect parses expected outcomes from TOML.
func ParseExpect(data []byte) ([]Expectation, error) {
	var e expectations
	if err := toml.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("parse expected outcomes: %w", err)
	}
	for i, x := range e.Expect {
		if _, ok := metricValue(x.Metric, Report{}, Summary{}); !ok {
			return nil, fmt.Errorf("expected outcome %d: unknown metric %q", i+1, x.Metric)
		}
		if x.Least == nil && x.Most == nil {
			return nil, fmt.Errorf("expected outcome %d: least or most is required", i+1)
		}
	}
	return e.Expect, nil
}

// Unmet returns one line for each expected outcome that the run did not meet.
func Unmet(r Report, list []Expectation) []string {
	var lines []string
	for _, x := range list {
		s, ok := r.service(x.Service)
		if !ok {
			lines = append(lines, fmt.Sprintf("%s: no requests were sent", x.Service))
			continue
		}
		v, _ := metricValue(x.Metric, r, s)
		if x.Least != nil && v < *x.Least {
			lines = append(lines, fmt.Sprintf("%s: %s is %.3f, want at least %.3f", x.Service, x.Metric, v, *x.Least))
		}
		if x.Most != nil && v > *x.Most {
			lines = append(lines, fmt.Sprintf("%s: %s is %.3f, want at most %.3f", x.Service, x.Metric, v, *x.Most))
		}
	}
	return lines
}

func (r Report) service(name string) (Summary, bool) {
	if name == "all" {
		return r.Total, true
	}
	for _, s := range r.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Summary{}, false
}

// metricValue returns the value of a metric, and false if the metric is unknown.
func metricValue(name string, r Report, s Summary) (float64, bool) {
	switch name {
	case "completion":
		return s.Completion(), true
	case "in_time":
		return ratio(s.InTime, s.Sent), true
	case "away_share":
		return s.RemoteShare(), true
	case "cost":
		return s.Cost, true
	case "repeats":
		return ratio(s.Repeats, s.Sent), true
	case "doubles":
		return float64(r.DuplicateRuns), true
	case "false_not_run":
		return float64(r.FalseNotRun), true
	case "first_p50_ms":
		return s.First.P50, true
	case "first_p95_ms":
		return s.First.P95, true
	case "first_p99_ms":
		return s.First.P99, true
	case "gap_p95_ms":
		return s.Gap.P95, true
	}
	return 0, false
}
