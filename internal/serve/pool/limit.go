package pool

import (
	"errors"
	"fmt"
	"slices"
)

// ErrNoRoom is the error of an attempt that found no room for a connection.
var ErrNoRoom = errors.New("host has no room for a connection")

// serviceShare is the share of the connections that the attempts at one service may have, so that a service whose
// endpoints are slow leaves room to the others.
const serviceShare = 0.75

// WithLimit sets the number of connections that may be open at a time, idle ones included, 0 for no limit.
// Those of Probe and Check do not count. onRefused is called with the service of each attempt that finds no room.
func WithLimit(n int, onRefused func(service string)) Option {
	return func(p *Pool) { p.limit, p.onRefused = n, onRefused }
}

// reserve takes room for the connection of an attempt at a service, and closes idle connections for it if
// necessary. After an error, the attempt may not open or use one; otherwise it calls unreserve at its end.
func (p *Pool) reserve(service string) error {
	if p.limit == 0 {
		return nil
	}
	p.mu.Lock()
	if p.attempts >= p.limit || p.byService[service] >= int(serviceShare*float64(p.limit)) {
		err := fmt.Errorf("%w: %d of %d attempts, %d at %s", ErrNoRoom, p.attempts, p.limit, p.byService[service], service)
		p.mu.Unlock()
		p.onRefused(service)
		return err
	}
	p.attempts++
	p.byService[service]++
	var surplus []*conn
	for n := p.idleCount(); n+p.attempts > p.limit; n-- {
		surplus = append(surplus, p.popOldest())
	}
	p.mu.Unlock()
	for _, c := range surplus {
		_ = c.Close()
	}
	return nil
}

// unreserve gives the room of an attempt back, once its connection is idle or closed.
func (p *Pool) unreserve(service string) {
	if p.limit == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts--
	if p.byService[service]--; p.byService[service] == 0 {
		delete(p.byService, service)
	}
}

func (p *Pool) idleCount() int {
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}

// popOldest removes and returns the idle connection whose reuse ends first. There must be one.
func (p *Pool) popOldest() *conn {
	var oldest *conn
	for _, list := range p.idle {
		// A list is in the order in which its connections became idle.
		if len(list) > 0 && (oldest == nil || list[0].reuseBefore.Before(oldest.reuseBefore)) {
			oldest = list[0]
		}
	}
	p.idle[oldest.address] = slices.Delete(p.idle[oldest.address], 0, 1)
	return oldest
}
