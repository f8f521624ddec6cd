package carry

import (
	"context"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/route/queue"
)

const (
	// mostWaiting bounds the requests of one service that wait at this host.
	mostWaiting = 256
	// holdStep is the longest time until a waiting request looks again, as other
	// hosts send to the same endpoints.
	holdStep = 15 * time.Millisecond
)

// line is the queue of a service's long prompts at this host.
type line struct {
	*queue.Line
	// read is the time to read those that wait.
	read time.Duration
}

// line returns a service's queue; the caller holds the lock.
func (c *Carrier) line(service string) *line {
	l, ok := c.lines[service]
	if !ok {
		l = &line{Line: queue.NewLine(mostWaiting, false)}
		c.lines[service] = l
	}
	return l
}

// hold lets a request wait for its turn; it then looks again.
func (c *Carrier) hold(ctx context.Context, t *trip, d decision) {
	if t.joined.IsZero() {
		t.joined = c.Now()
	}
	c.mu.Lock()
	l := c.line(t.Service)
	it := l.Join(t.joined, t.Route.Priority, "")
	l.read += d.read
	c.mu.Unlock()
	look := time.NewTimer(holdStep)
	defer look.Stop()
	// A full line gives no place; its turn never comes.
	var turn <-chan struct{}
	if it != nil {
		turn = it.Turn
		defer l.Leave(it)
	}
	select {
	case <-turn:
	case <-look.C:
	case <-ctx.Done():
	}
	c.mu.Lock()
	l.read -= d.read
	c.mu.Unlock()
}

// wake gives the first of a service's waiting requests its turn.
func (c *Carrier) wake(service string) {
	c.mu.Lock()
	l := c.lines[service]
	c.mu.Unlock()
	if l != nil {
		l.Wake(c.Now(), 1)
	}
}
