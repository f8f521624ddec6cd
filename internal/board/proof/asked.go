package proof

import (
	"sync"
	"time"
)

// maxAsked bounds the questions that are remembered; a host asks at most eight a second.
const maxAsked = 64

// Questions holds the questions for confirmations that were sent to other hosts, by their nonces.
// Its lock is a leaf.
type Questions struct {
	mu    sync.Mutex
	sent  map[uint64]time.Duration
	order []uint64
}

// NewQuestions returns an empty table.
func NewQuestions() *Questions { return &Questions{sent: map[uint64]time.Duration{}} }

// Ask records that a question is sent.
func (q *Questions) Ask(now time.Duration, nonce uint64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.order) >= maxAsked {
		delete(q.sent, q.order[0])
		q.order = q.order[1:]
	}
	q.sent[nonce] = now
	q.order = append(q.order, nonce)
}

// Answer returns when the question that an answer belongs to was sent, once for each question, and
// false if there is none.
func (q *Questions) Answer(nonce uint64) (sent time.Duration, ok bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	sent, ok = q.sent[nonce]
	delete(q.sent, nonce)
	return sent, ok
}
