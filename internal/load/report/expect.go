package report

import (
	"fmt"

	"github.com/pelletier/go-toml/v2"
)

// Expect is one stated outcome.
type Expect struct {
	// Service is a name, or all.
	Service string `toml:"service"`
	// Metric is completion, in_time, away_share, cost, repeats, doubles,
	// false_not_run, first_p50_ms, first_p95_ms, first_p99_ms or gap_p95_ms.
	Metric string `toml:"metric"`
	// Least and Most bound the value; a missing one does not.
	Least *float64 `toml:"least"`
	Most  *float64 `toml:"most"`
}

type expectations struct {
	Expect []Expect `toml:"expect"`
}

// ParseExpect reads stated outcomes.
func ParseExpect(data []byte) ([]Expect, error) {
	var e expectations
	if err := toml.Unmarshal(data, &e); err != nil {
		return nil, fmt.Errorf("parse stated outcomes: %w", err)
	}
	for i, x := range e.Expect {
		if _, ok := metric(x.Metric, Report{}, Service{}); !ok {
			return nil, fmt.Errorf("stated outcome %d: metric %q is not known", i+1, x.Metric)
		}
		if x.Least == nil && x.Most == nil {
			return nil, fmt.Errorf("stated outcome %d: least or most is needed", i+1)
		}
	}
	return e.Expect, nil
}

// Missed returns the stated outcomes that a run missed, a line each.
func Missed(r Report, list []Expect) []string {
	var out []string
	for _, x := range list {
		s, ok := r.service(x.Service)
		if !ok {
			out = append(out, fmt.Sprintf("%s: no request of it was sent", x.Service))
			continue
		}
		v, _ := metric(x.Metric, r, s)
		if x.Least != nil && v < *x.Least {
			out = append(out, fmt.Sprintf("%s: %s is %.3f, want at least %.3f", x.Service, x.Metric, v, *x.Least))
		}
		if x.Most != nil && v > *x.Most {
			out = append(out, fmt.Sprintf("%s: %s is %.3f, want at most %.3f", x.Service, x.Metric, v, *x.Most))
		}
	}
	return out
}

func (r Report) service(name string) (Service, bool) {
	if name == "all" {
		return r.Total, true
	}
	for _, s := range r.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

func metric(name string, r Report, s Service) (float64, bool) {
	switch name {
	case "completion":
		return s.Completion(), true
	case "in_time":
		return share(s.InTime, s.Sent), true
	case "away_share":
		return s.AwayShare(), true
	case "cost":
		return s.Cost, true
	case "repeats":
		return share(s.Repeats, s.Sent), true
	case "doubles":
		return float64(r.Doubles), true
	case "false_not_run":
		return float64(r.False), true
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
