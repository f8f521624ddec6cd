// Package trace holds recorded or generated requests: JSON lines, in order of time.
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
	// AtMS is when it is sent, in milliseconds from the beginning.
	AtMS int64 `json:"at_ms"`
	// Caller and Service are names of the inventory; Region is the caller's.
	Caller  string `json:"caller"`
	Service string `json:"service"`
	Region  string `json:"region"`
	// Prefix names the beginning that prompts share.
	Prefix string `json:"prefix,omitempty"`
	// Prompt and Tokens are lengths in tokens, of a model service.
	Prompt int `json:"prompt,omitempty"`
	Tokens int `json:"tokens,omitempty"`
	// Method and Path are those of a plain service.
	Method string `json:"method,omitempty"`
	Path   string `json:"path,omitempty"`
	// Operation says that the request may not be repeated.
	Operation  bool  `json:"operation,omitempty"`
	DeadlineMS int64 `json:"deadline_ms"`
}

// At returns when the request is sent.
func (i Item) At() time.Duration { return time.Duration(i.AtMS) * time.Millisecond }

// Deadline returns the time for the whole answer.
func (i Item) Deadline() time.Duration { return time.Duration(i.DeadlineMS) * time.Millisecond }

const maxLine = 1 << 20

// Read reads a trace; an error names its line.
func Read(r io.Reader) ([]Item, error) {
	var out []Item
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxLine)
	for n := 1; sc.Scan(); n++ {
		var it Item
		if err := json.Unmarshal(sc.Bytes(), &it); err != nil {
			return nil, fmt.Errorf("trace line %d: %w", n, err)
		}
		if it.Service == "" || it.Caller == "" || it.DeadlineMS <= 0 || it.AtMS < 0 {
			return nil, fmt.Errorf("trace line %d: service, caller and deadline_ms are needed", n)
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

// Source is a stream of similar requests.
type Source struct {
	Item Item
	// Rate is in requests a second.
	Rate float64
	// Prefixes is the number of beginnings that prompts share; 0 is none.
	Prefixes int
	// Peak is the factor of the rate at the height of the peak, 1 for none; Phase
	// moves it, in shares of the whole time.
	Peak  float64
	Phase float64
}

// Generate draws a trace from a seed: Poisson arrivals, and lengths around those
// of the source.
func Generate(seed uint64, length time.Duration, sources []Source) []Item {
	rnd := rand.New(rand.NewPCG(seed, seed))
	var out []Item
	for _, s := range sources {
		out = append(out, s.draw(rnd, length)...)
	}
	slices.SortStableFunc(out, func(a, b Item) int { return int(a.AtMS - b.AtMS) })
	return out
}

func (s Source) draw(rnd *rand.Rand, length time.Duration) []Item {
	var out []Item
	highest := s.Rate * math.Max(1, s.Peak)
	if highest <= 0 {
		return nil
	}
	for at := 0.0; ; {
		at += rnd.ExpFloat64() / highest
		if at >= length.Seconds() {
			return out
		}
		if rnd.Float64()*highest > s.rateAt(at/length.Seconds()) {
			continue
		}
		it := s.Item
		it.AtMS = int64(at * 1000)
		if s.Prefixes > 0 {
			it.Prefix = fmt.Sprintf("%s-%d", it.Service, rnd.IntN(s.Prefixes))
		}
		it.Prompt = around(rnd, it.Prompt)
		it.Tokens = around(rnd, it.Tokens)
		if it.Operation {
			it.Path = fmt.Sprintf("%s/%d", it.Path, rnd.Uint32())
		}
		out = append(out, it)
	}
}

// rateAt returns the rate at a share of the whole time.
func (s Source) rateAt(share float64) float64 {
	if s.Peak <= 1 {
		return s.Rate
	}
	wave := (1 + math.Cos(2*math.Pi*(share-s.Phase))) / 2
	return s.Rate * (1 + (s.Peak-1)*math.Pow(wave, 4))
}

// around draws a length between half and one and a half of n.
func around(rnd *rand.Rand, n int) int {
	if n <= 1 {
		return n
	}
	return n/2 + rnd.IntN(n+1)
}
