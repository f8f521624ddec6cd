// Package held accounts for the bytes of answers that a host keeps, whoever reads them: what it has read from its
// endpoints or received from other hosts, and what waits to be written.
package held

import (
	"errors"
	"math"
	"sync"
)

// ErrFull is the error of an answer that was dropped because the host, or its endpoint,
// holds too many bytes.
var ErrFull = errors.New("too many bytes of answers are held")

// Account is the account of one host. A nil account has no limit.
type Account struct {
	limit, share int
	onLevel      func(bytes int)

	mu      sync.Mutex
	total   int
	shares  map[string]int
	answers map[*Answer]bool
}

// Answer is an answer that is being read, or that waits to be written.
type Answer struct {
	account *Account
	// endpoint is empty for an answer that counts towards the limit only.
	endpoint string
	// sized reports whether the answer has announced its length.
	sized   bool
	bytes   int
	end     func()
	dropped bool
}

// New returns an account of at most limit bytes, of which one endpoint can have share.
// onLevel is called with the bytes that are held after each change.
func New(limit, share int, onLevel func(bytes int)) *Account {
	return &Account{limit: limit, share: share, onLevel: onLevel, shares: map[string]int{}, answers: map[*Answer]bool{}}
}

// OpenWhole adds an answer that has arrived as a whole, or whose parts do, and that is kept until it is
// written. It counts towards the limit, and not to the share of its endpoint. end is called if it is dropped for
// another one. The caller closes the answer.
func (a *Account) OpenWhole(end func()) *Answer { return a.Open("", true, end) }

// Open adds an answer of an endpoint. end is called if the answer is dropped for another
// one. The caller closes the answer.
func (a *Account) Open(endpoint string, sized bool, end func()) *Answer {
	if a == nil {
		a = New(math.MaxInt, math.MaxInt, func(int) {})
	}
	r := &Answer{account: a, endpoint: endpoint, sized: sized, end: end}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.answers[r] = true
	return r
}

// Grow adds bytes to an answer before they are kept. Beyond the limit or the share of the
// endpoint, it drops answers that did not announce their length, the longest first, and then
// the longest others. It returns ErrFull if this answer is dropped.
func (r *Answer) Grow(n int) error {
	a := r.account
	a.mu.Lock()
	if r.dropped {
		a.mu.Unlock()
		return ErrFull
	}
	r.bytes += n
	a.add(r.endpoint, n)
	var others []*Answer
	for !r.dropped && (a.total > a.limit || a.exceedsShare(r.endpoint)) {
		worst := a.worst(r)
		a.remove(worst)
		worst.dropped = true
		if worst != r {
			others = append(others, worst)
		}
	}
	dropped := r.dropped
	a.mu.Unlock()
	for _, o := range others {
		o.end()
	}
	if dropped {
		return ErrFull
	}
	return nil
}

// Dropped reports whether the answer was dropped.
func (r *Answer) Dropped() bool {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	return r.dropped
}

// Close removes an answer that was passed on or has failed.
func (r *Answer) Close() {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	if !r.dropped {
		r.account.remove(r)
		r.dropped = true
	}
}

// worst returns the answer to drop first when r has grown.
func (a *Account) worst(r *Answer) *Answer {
	worst := r
	for o := range a.answers {
		if a.exceedsShare(r.endpoint) && o.endpoint != r.endpoint {
			continue
		}
		if o.sized != worst.sized {
			if worst.sized {
				worst = o
			}
			continue
		}
		if o.bytes > worst.bytes {
			worst = o
		}
	}
	return worst
}

func (a *Account) exceedsShare(endpoint string) bool {
	return endpoint != "" && a.shares[endpoint] > a.share
}

func (a *Account) remove(r *Answer) {
	delete(a.answers, r)
	a.add(r.endpoint, -r.bytes)
}

func (a *Account) add(endpoint string, n int) {
	a.total += n
	if endpoint != "" {
		a.shares[endpoint] += n
		if a.shares[endpoint] == 0 {
			delete(a.shares, endpoint)
		}
	}
	a.onLevel(a.total)
}
