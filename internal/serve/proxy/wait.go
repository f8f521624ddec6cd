package proxy

import (
	"context"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/route/queue"
)

const (
	// maxQueued is the largest number of requests of one service that wait at this host.
	maxQueued = 256
	// recheckInterval is the longest time until a waiting request is decided on again.
	// The load can change without a local event, as other hosts use the same endpoints.
	recheckInterval = 15 * time.Millisecond
)

// waitQueue is the queue of a service's long prompts at this host.
type waitQueue struct {
	*queue.Queue
	// prefill is the total prefill time of the waiting requests.
	prefill time.Duration
}

// serviceQueue returns the queue of a service. The caller must hold p.mu.
func (p *Proxy) serviceQueue(service string) *waitQueue {
	q, ok := p.queues[service]
	if !ok {
		q = &waitQueue{Queue: queue.New(maxQueued, false)}
		p.queues[service] = q
	}
	return q
}

// waitTurn blocks until the request has its turn, recheckInterval has passed, or the
// context ends. The caller then decides on the request again.
func (p *Proxy) waitTurn(ctx context.Context, t *task, d decision) {
	if t.queuedAt.IsZero() {
		t.queuedAt = p.Now()
	}
	p.mu.Lock()
	q := p.serviceQueue(t.Service)
	waiter := q.Join(t.queuedAt, t.Route.Priority, "")
	q.prefill += d.prefill
	p.mu.Unlock()
	recheck := time.NewTimer(recheckInterval)
	defer recheck.Stop()
	// A full queue does not take the request: turn stays nil and never fires.
	var turn <-chan struct{}
	if waiter != nil {
		turn = waiter.Ready
		defer q.Leave(waiter)
	}
	select {
	case <-turn:
	case <-recheck.C:
	case <-ctx.Done():
	}
	p.mu.Lock()
	q.prefill -= d.prefill
	p.mu.Unlock()
}

// wakeNext wakes the first waiting request of a service.
func (p *Proxy) wakeNext(service string) {
	p.mu.Lock()
	q := p.queues[service]
	p.mu.Unlock()
	if q != nil {
		q.Wake(p.Now(), 1)
	}
}
