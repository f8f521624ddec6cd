// Package speeds is the board's table of service times estimated from answers: the
// prefill rate of engines and the usual time of plain answers.
package speeds

import (
	"sync"
	"time"
)

const (
	// The estimates before the first sample: initialPrefillRate is in prompt tokens per
	// millisecond, initialAnswerTime is the time of a plain answer.
	initialPrefillRate = 55.0
	initialAnswerTime  = 50 * time.Millisecond
	// sampleWeight is the weight of one new sample, slowSampleWeight of a sample slower
	// than the estimate, which may include time in the queue.
	sampleWeight     = 0.1
	slowSampleWeight = 0.03
	// minRateTokens is the least number of prompt tokens in a sample of the rate.
	minRateTokens = 1500
	// initialBaseTime is the estimate, before the first sample, of the part of the time
	// to first token that does not depend on the prompt; maxBaseTokens is the most
	// prompt tokens in a sample of it.
	initialBaseTime = 50 * time.Millisecond
	maxBaseTokens   = 1000
)

// estimate holds the service times of one service.
type estimate struct {
	// prefillRate is in prompt tokens per millisecond.
	prefillRate float64
	answerTime  time.Duration
	baseTime    time.Duration
}

// Table holds the estimates by service. Its lock is a leaf.
type Table struct {
	mu        sync.Mutex
	estimates map[string]estimate
}

// NewTable returns a table without samples.
func NewTable() *Table { return &Table{estimates: map[string]estimate{}} }

func (t *Table) get(name string) estimate {
	s, ok := t.estimates[name]
	if !ok {
		return estimate{prefillRate: initialPrefillRate, answerTime: initialAnswerTime, baseTime: initialBaseTime}
	}
	return s
}

// PrefillTime returns the expected prefill time of a number of prompt tokens.
func (t *Table) PrefillTime(name string, tokens int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Duration(float64(tokens) / t.get(name).prefillRate * float64(time.Millisecond))
}

// AnswerTime returns the usual time of a plain answer.
func (t *Table) AnswerTime(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(name).answerTime
}

// BaseTime returns the time to first token less the prefill time.
func (t *Table) BaseTime(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.get(name).baseTime
}

// ObserveFirstToken records the time to first token of an answer for which a number of
// prompt tokens had to be prefilled. A sample slower than the estimate counts less, as
// the prompt may have waited in the queue.
func (t *Table) ObserveFirstToken(name string, tokens int, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(name)
	switch {
	case tokens <= maxBaseTokens:
		prefill := time.Duration(float64(tokens) / s.prefillRate * float64(time.Millisecond))
		base := max(0, took-prefill)
		w := sampleWeight
		if base > s.baseTime {
			w = slowSampleWeight
		}
		s.baseTime += time.Duration(w * float64(base-s.baseTime))
	case tokens >= minRateTokens && took > s.baseTime:
		rate := float64(tokens) / (float64(took-s.baseTime) / float64(time.Millisecond))
		w := sampleWeight
		if rate < s.prefillRate {
			w = slowSampleWeight
		}
		s.prefillRate += w * (min(rate, maxRateGain*s.prefillRate) - s.prefillRate)
	}
	t.estimates[name] = s
}

// maxRateGain bounds the rate of one sample, as a multiple of the estimate: the
// prompt may have been cached.
const maxRateGain = 2.0

// ObserveAnswer records the time of a plain answer.
func (t *Table) ObserveAnswer(name string, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.get(name)
	s.answerTime += time.Duration(sampleWeight * float64(took-s.answerTime))
	t.estimates[name] = s
}
