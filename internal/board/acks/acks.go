// Package acks is the board's table of the requests that this host relayed to peer hosts and
// that are open. It decides which peer hosts get no more of them for now.
package acks

import (
	"sync"
	"time"
)

const (
	// maxUnacked is the number of unacknowledged requests from which a peer host that sends
	// nothing gets no more.
	maxUnacked = 4
	// ackTime is how long a peer host may take for an acknowledgement, in addition to the
	// round trip.
	ackTime = 250 * time.Millisecond
	// aliveInterval is the longest time between two frames on an acknowledged stream.
	aliveInterval = time.Second
)

// Peer is one process of a peer host.
type Peer struct {
	Host        string
	Incarnation uint64
}

// Table holds the open requests by peer host. Its lock is a leaf.
type Table struct {
	mu    sync.Mutex
	peers map[Peer]*peer
}

// peer is the state of one peer host.
type peer struct {
	// open counts the open requests, unacked those of them without any frame. The times are
	// when each last became more than 0.
	open, unacked           int
	openSince, unackedSince time.Time
	lastFrame               time.Time
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{peers: map[Peer]*peer{}} }

// Request is a request that is open at a peer host.
type Request struct {
	table *Table
	host  Peer
	acked bool
}

// Open records a request that is sent to a peer host. The caller closes it.
func (t *Table) Open(now time.Time, host Peer) *Request {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[host]
	if p == nil {
		p = &peer{}
		t.peers[host] = p
	}
	if p.open == 0 {
		p.openSince = now
	}
	if p.unacked == 0 {
		p.unackedSince = now
	}
	p.open++
	p.unacked++
	return &Request{table: t, host: host}
}

// Receive records that a frame arrived for the request.
func (r *Request) Receive(now time.Time) {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	p := r.table.peers[r.host]
	p.lastFrame = now
	if !r.acked {
		r.acked = true
		p.unacked--
	}
}

// Close records that the request has ended.
func (r *Request) Close() {
	r.table.mu.Lock()
	defer r.table.mu.Unlock()
	p := r.table.peers[r.host]
	p.open--
	if !r.acked {
		p.unacked--
	}
	if p.open == 0 {
		delete(r.table.peers, r.host)
	}
}

// Silent reports whether a peer host has sent nothing for longer than it may, so that it
// gets no more requests until it sends something or the open ones have ended.
func (t *Table) Silent(now time.Time, host Peer, roundTrip time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.peers[host]
	if p == nil {
		return false
	}
	wait := roundTrip + ackTime
	if p.unacked >= maxUnacked && now.Sub(later(p.lastFrame, p.unackedSince)) > wait {
		return true
	}
	return now.Sub(later(p.lastFrame, p.openSince)) > aliveInterval+wait
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
