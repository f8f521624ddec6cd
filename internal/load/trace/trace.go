// Package trace reads, writes and generates traces: requests with their send times,
// as JSON lines sorted by time.
package trace

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Item is one request of a trace.
type Item struct {
	// AtMS is the send time in milliseconds from the start of the trace.
	AtMS int64 `json:"at_ms"`
	// Caller and Service are names in the inventory; Region is the caller's region.
	Caller  string `json:"caller"`
	Service string `json:"service"`
	Region  string `json:"region"`
	// Prefix identifies the prompt prefix that this prompt shares with others.
	Prefix string `json:"prefix,omitempty"`
	// PromptTokens and AnswerTokens are the lengths of prompt and answer; they are set
	// for a model service.
	PromptTokens int `json:"prompt,omitempty"`
	AnswerTokens int `json:"tokens,omitempty"`
	// Method and Path are set for a plain service.
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	// Operation marks a request that must not run twice.
	Operation  bool  `json:"operation,omitempty"`
	DeadlineMS int64 `json:"deadline_ms"`
}

// SendTime returns the send time from the start of the trace.
func (i Item) SendTime() time.Duration { return time.Duration(i.AtMS) * time.Millisecond }

// Deadline returns the time from sending within which the answer must be complete.
func (i Item) Deadline() time.Duration { return time.Duration(i.DeadlineMS) * time.Millisecond }

const maxLineBytes = 1 << 20

// Read reads a trace and sorts it by time. Parse errors contain the line number.
func Read(r io.Reader) ([]Item, error) {
	var out []Item
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLineBytes)
	for n := 1; sc.Scan(); n++ {
		var it Item
		if err := json.Unmarshal(sc.Bytes(), &it); err != nil {
			return nil, fmt.Errorf("trace line %d: %w", n, err)
		}
		if it.Service == "" || it.Caller == "" || it.DeadlineMS <= 0 || it.AtMS < 0 {
			return nil, fmt.Errorf("trace line %d: service, caller and a positive deadline_ms are required, at_ms must not be negative", n)
		}
		out = append(out, it)
	}
	if err := sc.Err(); err != nil {
		return nil, fmt.Errorf("read trace: %w", err)
	}
	slices.SortStableFunc(out, func(a, b Item) int { return int(a.AtMS - b.AtMS) })
	return out, nil
}

// Write writes a trace.
func Write(w io.Writer, items []Item) error {
	enc := json.NewEncoder(w)
	for _, it := range items {
		if err := enc.Encode(it); err != nil {
			return fmt.Errorf("write trace: %w", err)
		}
	}
	return nil
}

// Source describes a stream of similar requests.
type Source struct {
	Item Item
	// Rate is the number of requests per second.
	Rate float64
	// Prefixes is the number of shared prompt prefixes; with 0 each prompt is unique.
	Prefixes int
	// PeakFactor is the factor of the rate at the top of the peak, 1 for a constant rate.
	// Phase is the time of the top as a share of the trace's length.
	PeakFactor float64
	Phase      float64
}

// Generate returns a trace with Poisson arrivals and with prompt and answer lengths
// spread around those of the sources. Equal arguments give equal traces.
func Generate(seed uint64, length time.Duration, sources []Source) []Item {
	rnd := rand.New(rand.NewPCG(seed, seed))
	var out []Item
	for _, s := range sources {
		out = append(out, s.generate(rnd, length)...)
	}
	slices.SortStableFunc(out, func(a, b Item) int { return int(a.AtMS - b.AtMS) })
	return out
}

func (s Source) generate(rnd *rand.Rand, length time.Duration) []Item {
	var out []Item
	peakRate := s.Rate * math.Max(1, s.PeakFactor)
	if peakRate <= 0 {
		return nil
	}
	for at := 0.0; ; {
		at += rnd.ExpFloat64() / peakRate
		if at >= length.Seconds() {
			return out
		}
		if rnd.Float64()*peakRate > s.rateAt(at/length.Seconds()) {
			continue
		}
		it := s.Item
		it.AtMS = int64(at * 1000)
		if s.Prefixes > 0 {
			it.Prefix = fmt.Sprintf("%s-%d", it.Service, rnd.IntN(s.Prefixes))
		}
		it.PromptTokens = vary(rnd, it.PromptTokens)
		it.AnswerTokens = vary(rnd, it.AnswerTokens)
		if it.Operation {
			it.Path = fmt.Sprintf("%s/%d", it.Path, rnd.Uint32())
		}
		out = append(out, it)
	}
}

// rateAt returns the rate, in requests per second, at a share of the trace's length.
func (s Source) rateAt(share float64) float64 {
	if s.PeakFactor <= 1 {
		return s.Rate
	}
	wave := (1 + math.Cos(2*math.Pi*(share-s.Phase))) / 2
	return s.Rate * (1 + (s.PeakFactor-1)*math.Pow(wave, 4))
}

// vary returns a random length between 0.5 n and 1.5 n.
func vary(rnd *rand.Rand, n int) int {
	if n <= 1 {
		return n
	}
	return n/2 + rnd.IntN(n+1)
}
