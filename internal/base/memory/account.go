package memory

import "sync"

const (
	// SmallBytes is the size up to which a body may use all of the account. Larger ones leave smallShare
	// of it to them, so that ordinary requests are served beside any number of large ones.
	SmallBytes = 64 << 10
	smallShare = 0.25
)

// Account is the account of the bodies of a host's requests. Its lock is a leaf.
type Account struct {
	limit int
	// onLevel is called with the bytes that are held after each change, onRefused for each body that is
	// refused or dropped. Both are called with the lock held.
	onLevel   func(bytes int)
	onRefused func(client string, bytes int)

	mu sync.Mutex
	// freed is signalled when bytes are given back or a body is dropped.
	freed *sync.Cond
	// total is the number of bytes that are held, leaving those of them that belong to dropped bodies.
	total, leaving int
	growths        uint64
	clients        map[string]int
	holds          map[*Hold]bool
}

// Option configures an account.
type Option func(*Account)

// WithLevel sets the function that is called with the bytes that are held, after each change.
func WithLevel(f func(bytes int)) Option { return func(a *Account) { a.onLevel = f } }

// WithRefused sets the function that is called for each body that is refused or dropped, with the bytes that
// it had.
func WithRefused(f func(client string, bytes int)) Option {
	return func(a *Account) { a.onRefused = f }
}

// NewAccount returns an account of a number of bytes.
func NewAccount(limit int, opts ...Option) *Account {
	a := &Account{limit: limit, onLevel: func(int) {}, onRefused: func(string, int) {}, clients: map[string]int{}, holds: map[*Hold]bool{}}
	a.freed = sync.NewCond(&a.mu)
	for _, o := range opts {
		o(a)
	}
	return a
}

// Hold is the part of an account that one body has.
type Hold struct {
	account *Account
	client  string
	bytes   int
	// grown is the number of the body's last growth among all of the account.
	grown uint64
	// arrived reports whether the body has arrived as a whole; then it is not dropped any more.
	arrived bool
	// waiting reports whether the body waits for the room of bodies that were dropped.
	waiting bool
	dropped bool
	closed  bool
	end     func()
}

// Open adds a body of a client that begins to arrive. end is called, in a goroutine of its own, if the
// body is dropped for another one while it does not wait for room. The caller closes the hold.
func (a *Account) Open(client string, end func()) *Hold {
	h := &Hold{account: a, client: client, end: end}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.holds[h] = true
	return h
}

// Grow takes room for more bytes before they are read. If there is none, a body of the client that holds most is
// dropped, of those that are still arriving and do not wait for room the one that has not grown for longest, and
// Grow waits until its bytes are given back: one that stops short of its end makes room for those that arrive. Grow returns
// ErrFull if this body was dropped, or if there is no other to drop.
func (h *Hold) Grow(n int) error { return h.Replace(n, 0) }

// Replace is like Grow for a buffer of n bytes that replaces one of old bytes, which the caller gives back by
// Shrink once it has copied them.
func (h *Hold) Replace(n, old int) error {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	for !h.dropped && !a.hasRoom(h, n, 0) {
		if a.hasRoom(h, n, a.leaving) {
			h.waiting = true
			a.freed.Wait()
			h.waiting = false
			continue
		}
		a.drop(a.worst(h, n-old), h)
	}
	if h.dropped {
		return ErrFull
	}
	h.bytes += n
	a.growths++
	h.grown = a.growths
	a.add(h.client, n)
	return nil
}

// Shrink gives room back.
func (h *Hold) Shrink(n int) {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if !h.dropped {
		h.bytes -= n
		h.account.add(h.client, -n)
		h.account.freed.Broadcast()
	}
}

// Accept records that the body has arrived as a whole. It returns ErrFull if it was dropped.
func (h *Hold) Accept() error {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	if h.dropped {
		return ErrFull
	}
	h.arrived = true
	return nil
}

// Dropped reports whether the body was dropped.
func (h *Hold) Dropped() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.dropped
}

// Close gives the room of a body back.
func (h *Hold) Close() {
	a := h.account
	a.mu.Lock()
	defer a.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	if h.dropped {
		a.leaving -= h.bytes
	}
	delete(a.holds, h)
	a.add(h.client, -h.bytes)
	a.freed.Broadcast()
}

// hasRoom reports whether a body may have n bytes more once some of the bytes are given back.
func (a *Account) hasRoom(h *Hold, n, leaving int) bool {
	limit := a.limit
	if h.bytes+n > SmallBytes {
		limit -= int(smallShare * float64(a.limit))
	}
	return a.total-leaving+n <= limit
}

// worst returns the body to drop so that h may have n bytes more: of the client that then holds most, another
// one rather than that of h, the one that has not grown for longest. One that waits for room has arrived as far as
// it may, so it is dropped only for another client, if all of its own wait. It is h itself if there is no other.
func (a *Account) worst(h *Hold, n int) *Hold {
	client, most := h.client, a.clients[h.client]+n
	for o := range a.holds {
		if o.mayDrop() && o.client != h.client && (a.clients[o.client] > most || a.clients[o.client] == most && client == h.client) {
			client, most = o.client, a.clients[o.client]
		}
	}
	worst := h
	for o := range a.holds {
		if o == h || o.client != client || !o.mayDrop() || o.waiting && client == h.client {
			continue
		}
		if worst == h || o.leavesBefore(worst) {
			worst = o
		}
	}
	return worst
}

// leavesBefore reports whether a body is dropped rather than another one of its client.
func (h *Hold) leavesBefore(o *Hold) bool {
	if h.waiting != o.waiting {
		return o.waiting
	}
	return h.grown < o.grown
}

func (h *Hold) mayDrop() bool { return !h.arrived && !h.dropped && h.bytes > 0 }

// drop drops a body so that another one may grow. One that waits for room gets the error of its wait, and its
// client the refusal.
func (a *Account) drop(h, other *Hold) {
	h.dropped = true
	a.leaving += h.bytes
	a.onRefused(h.client, h.bytes)
	a.freed.Broadcast()
	if h != other && !h.waiting {
		go h.end()
	}
}

func (a *Account) add(client string, n int) {
	a.total += n
	a.clients[client] += n
	if a.clients[client] == 0 {
		delete(a.clients, client)
	}
	a.onLevel(a.total)
}
