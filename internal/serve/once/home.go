package once

import (
	"container/heap"
	"context"
	"crypto/sha256"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

// keepBody is the largest answer that is kept for repeats, keepTotal bounds all of
// them, in bytes.
const (
	keepBody  = 64 << 10
	keepTotal = 32 << 20
)

// Outcome is how an operation ended.
type Outcome struct {
	Head wire.Head
	Body []byte
	// Refusal is nil where the operation has a whole answer.
	Refusal *fault.Refusal
}

// Op is one operation that this home numbered.
type Op struct {
	key     string
	digest  [sha256.Size]byte
	expires time.Time
	index   int
	done    chan struct{}
	out     Outcome
	ended   bool
}

// Home remembers the operations of one process. Its lock is a leaf.
type Home struct {
	mu     sync.Mutex
	limit  int
	ops    map[string]*Op
	expiry expiry
	// kept is the size of the answers that are kept, in bytes.
	kept int
}

// NewHome returns a home that remembers at most limit operations.
func NewHome(limit int) *Home { return &Home{limit: limit, ops: map[string]*Op{}} }

// Digest identifies the content of an operation.
func Digest(service, method, path string, body []byte) [sha256.Size]byte {
	h := sha256.New()
	for _, s := range []string{service, method, path} {
		h.Write([]byte(s))
		h.Write([]byte{0})
	}
	h.Write(body)
	return [sha256.Size]byte(h.Sum(nil))
}

// Begin numbers an operation. first is true for exactly one caller per key, who
// must call Finish; the others wait for its outcome.
func (h *Home) Begin(now time.Time, k Key, digest [sha256.Size]byte) (op *Op, first bool, r *fault.Refusal) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sweep(now)
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
		return nil, false, fault.New(fault.HomeFull, fault.RanNo, "host remembers %d operations", len(h.ops)).
			WithRetryAfter(time.Second)
	}
	op = &Op{key: k.Text, digest: digest, expires: k.ExpiresAt(), done: make(chan struct{})}
	h.ops[k.Text] = op
	heap.Push(&h.expiry, op)
	return op, true, nil
}

// Finish ends an operation. One that was certainly not run is forgotten, so
// that its key can be used again.
func (h *Home) Finish(op *Op, out Outcome) {
	h.mu.Lock()
	defer h.mu.Unlock()
	op.ended = true
	if len(out.Body) > keepBody || h.kept+len(out.Body) > keepTotal {
		// A repeat learns that the operation was run.
		out = Outcome{Refusal: fault.New(fault.TooLarge, fault.RanYes,
			"operation was run; its answer of %d bytes is not kept", len(out.Body))}
	}
	op.out = out
	h.kept += len(out.Body)
	if out.Refusal != nil && out.Refusal.Ran == fault.RanNo {
		h.remove(op)
	}
	close(op.done)
}

// Wait returns the outcome of an operation that another request began.
func (h *Home) Wait(ctx context.Context, op *Op) Outcome {
	select {
	case <-op.done:
		h.mu.Lock()
		defer h.mu.Unlock()
		return op.out
	case <-ctx.Done():
		return Outcome{Refusal: fault.New(fault.Deadline, fault.RanUnknown, "operation is still running").
			WithRetryAfter(time.Second)}
	}
}

// Knows reports whether the home remembers the key.
func (h *Home) Knows(k Key) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	_, ok := h.ops[k.Text]
	return ok
}

// Len returns the number of remembered operations.
func (h *Home) Len() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.ops)
}

// sweep forgets what has expired. A running operation is kept until it ends.
func (h *Home) sweep(now time.Time) {
	for len(h.expiry) > 0 && !h.expiry[0].expires.After(now) && h.expiry[0].ended {
		h.remove(h.expiry[0])
	}
}

func (h *Home) remove(op *Op) {
	if h.ops[op.key] != op {
		return
	}
	delete(h.ops, op.key)
	h.kept -= len(op.out.Body)
	heap.Remove(&h.expiry, op.index)
}

type expiry []*Op

func (e expiry) Len() int           { return len(e) }
func (e expiry) Less(i, j int) bool { return e[i].expires.Before(e[j].expires) }

func (e expiry) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].index, e[j].index = i, j
}

func (e *expiry) Push(x any) {
	op, _ := x.(*Op)
	op.index = len(*e)
	*e = append(*e, op)
}

func (e *expiry) Pop() any {
	old := *e
	op := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]
	return op
}
