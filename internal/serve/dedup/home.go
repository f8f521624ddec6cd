package dedup

import (
	"container/heap"
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

// maxStoredBody bounds one answer that is stored for retries, maxStoredTotal bounds all
// stored answers, in bytes.
const (
	maxStoredBody  = 64 << 10
	maxStoredTotal = 32 << 20
)

// Outcome is the result of an operation: an answer or a refusal.
type Outcome struct {
	Head wire.Head
	Body []byte
	// Refusal is nil if the operation has a whole answer.
	Refusal *fault.Refusal
}

// Op is an operation that was started at this home host.
type Op struct {
	key     string
	digest  [sha256.Size]byte
	expires time.Time
	// index is the position in Home.expiry.
	index    int
	done     chan struct{}
	outcome  Outcome
	finished bool
}

// Home stores the operations for which this process is the home host, until their
// keys expire. No other lock is acquired while its lock is held.
type Home struct {
	mu     sync.Mutex
	limit  int
	ops    map[string]*Op
	expiry expiryHeap
	// storedBytes is the total size of the stored answers.
	storedBytes int
}

// NewHome returns a home that stores at most limit operations.
func NewHome(limit int) *Home { return &Home{limit: limit, ops: map[string]*Op{}} }

// Digest returns a hash of the content of an operation.
func Digest(service, method, path string, body []byte) [sha256.Size]byte {
	h := sha256.New()
	for _, s := range []string{service, method, path} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	h.Write(body)
	return [sha256.Size]byte(h.Sum(nil))
}

// Begin returns the operation of a key and creates it if it is new. first is true for
// exactly one request per key, which must call Finish; the others call Wait.
func (h *Home) Begin(now time.Time, k Key, digest [sha256.Size]byte) (op *Op, first bool, r *fault.Refusal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.removeExpired(now)
	if op, ok := h.ops[k.Text]; ok {
		if op.digest != digest {
			return nil, false, fault.New(fault.KeyReused, fault.RanNo, "operation key was used for another request")
		}
		return op, false, nil
	}
	if k.Expired(now) {
		return nil, false, fault.New(fault.KeyExpired, fault.RanUnknown, "operation key has expired")
	}
	if len(h.ops) >= h.limit {
		return nil, false, fault.New(fault.HomeFull, fault.RanNo, "host already stores %d operations", len(h.ops)).
			WithRetryAfter(time.Second)
	}
	op = &Op{key: k.Text, digest: digest, expires: k.ExpiresAt(), done: make(chan struct{})}
	h.ops[k.Text] = op
	heap.Push(&h.expiry, op)
	return op, true, nil
}

// Finish sets the outcome of an operation. An operation that certainly did not run is
// removed, so that its key can be retried.
func (h *Home) Finish(op *Op, outcome Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	op.finished = true
	if len(outcome.Body) > maxStoredBody || h.storedBytes+len(outcome.Body) > maxStoredTotal {
		// Retries get this refusal, which reports that the operation ran.
		outcome = Outcome{Refusal: fault.New(fault.TooLarge, fault.RanYes,
			"operation ran; its answer of %d bytes is not stored", len(outcome.Body))}
	}
	op.outcome = outcome
	h.storedBytes += len(outcome.Body)
	if outcome.Refusal != nil && outcome.Refusal.Ran == fault.RanNo {
		h.remove(op)
	}
	close(op.done)
}

// Wait returns the outcome of an operation that another request started.
func (h *Home) Wait(ctx context.Context, op *Op) Outcome {
	select {
	case <-op.done:
		h.mu.Lock()
		defer h.mu.Unlock()
		return op.outcome
	case <-ctx.Done():
		return Outcome{Refusal: fault.New(fault.Deadline, fault.RanUnknown, "operation is still running").
			WithRetryAfter(time.Second)}
	}
}

// Has reports whether the home stores an operation with the key.
func (h *Home) Has(k Key) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.ops[k.Text]
	return ok
}

// Len returns the number of stored operations.
func (h *Home) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.ops)
}

// removeExpired removes operations whose keys have expired. A running operation stays
// until it ends.
func (h *Home) removeExpired(now time.Time) {
	for len(h.expiry) > 0 && !h.expiry[0].expires.After(now) && h.expiry[0].finished {
		h.remove(h.expiry[0])
	}
}

func (h *Home) remove(op *Op) {
	if h.ops[op.key] != op {
		return
	}
	delete(h.ops, op.key)
	h.storedBytes -= len(op.outcome.Body)
	heap.Remove(&h.expiry, op.index)
}

// expiryHeap is a heap of operations, the first to expire on top.
type expiryHeap []*Op

func (e expiryHeap) Len() int           { return len(e) }
func (e expiryHeap) Less(i, j int) bool { return e[i].expires.Before(e[j].expires) }

func (e expiryHeap) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].index, e[j].index = i, j
}

func (e *expiryHeap) Push(x any) {
	op, _ := x.(*Op)
	op.index = len(*e)
	*e = append(*e, op)
}

func (e *expiryHeap) Pop() any {
	old := *e
	op := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]
	return op
}
