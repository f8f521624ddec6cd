package feed

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/ctrl"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/eras"
)

const (
	// readRulesAfter is the time without a confirmation after which a host that reads the store
	// reads the rules alone. A store that changes confirms more often, by its watches.
	readRulesAfter = 1500 * time.Millisecond
	// readRulesGap is the least time between two such reads, as each has a price. It doubles up to
	// maxReadRulesGap while they confirm nothing.
	readRulesGap    = 250 * time.Millisecond
	maxReadRulesGap = time.Second
	// readRulesPoll is the time between checks whether a read is due.
	readRulesPoll = 50 * time.Millisecond
)

// errRelist ends a watch that misses changes which a read of the rules has shown.
var errRelist = errors.New("watch lacks a change; listing again")

// errRulesUnknown is the error of a read of rules whose version can't be decoded.
var errRulesUnknown = errors.New("rules have no version that can be decoded")

// Proofs are the confirmations that the rules of a host are the newest. All functions must be set,
// or none.
type Proofs struct {
	// Boot returns the time since the machine started.
	Boot func() time.Duration
	// Needed reports whether the host needs confirmations.
	Needed func() bool
	// Read reads the rules alone. It fails if the store has none.
	Read func(ctx context.Context) (Change, error)
	// OnConfirmed is called once the answer to a read was applied. sent is when the read was sent,
	// newest the newest version of the rules that the store has shown. It reports whether that
	// confirms the rules in force.
	OnConfirmed func(sent time.Duration, newest uint64) bool
}

// now returns the time since the machine started, 0 if there are no confirmations.
func (p *Proofs) now() time.Duration {
	if p.Boot == nil {
		return 0
	}
	return p.Boot()
}

// proofState is the state of the confirmations; the lock of the feed guards it.
type proofState struct {
	// newest is the newest version of the rules among the changes so far, from the last listing on.
	newest uint64
	// known reports whether there are rules among these changes. Their version may be 0.
	known bool
	// unknownAt is the revision at which the rules were deleted or became unreadable, 0 once they can
	// be read again. Until then no read shows that the rules in force are the newest.
	unknownAt uint64
	// confirmed is when the last read that confirmed the rules was sent, attempted when the rules
	// were last read alone.
	confirmed time.Duration
	attempted time.Duration
	// unconfirmed counts the reads of the rules alone since the last confirmation.
	unconfirmed int
	// requested reports whether a confirmation is needed at once.
	requested bool
	// failing reports whether the last read of the rules alone failed; it is only logged.
	failing bool
	// relist reports whether the store is to be listed again, and stopWatch ends the watch.
	relist    bool
	stopWatch context.CancelCauseFunc
}

// observe records what a change shows of the newest rules.
func (s *proofState) observe(c Change) {
	s.known = s.known || c.Rules != nil || c.Version > 0
	switch {
	case c.RulesUnknown:
		s.unknownAt = max(s.unknownAt, c.Revision, 1)
	case c.Version > 0:
		s.newest = max(s.newest, c.Version)
		if c.Revision > s.unknownAt {
			s.unknownAt = 0
		}
	}
}

// RequestProof makes a host read the rules at once, also one that follows reading hosts.
func (f *Feed) RequestProof() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proofs.requested = true
}

// confirmRules reports the answer to a read that was sent at a time.
func (f *Feed) confirmRules(sent time.Duration) {
	if f.Proofs.OnConfirmed == nil {
		return
	}
	f.mu.Lock()
	newest, known := f.proofs.newest, f.proofs.known && f.proofs.unknownAt == 0
	f.mu.Unlock()
	// A store without rules that can be read does not confirm those in force.
	if !known || !f.Proofs.OnConfirmed(sent, newest) {
		return
	}
	f.mu.Lock()
	f.proofs.confirmed, f.proofs.unconfirmed = max(f.proofs.confirmed, sent), 0
	f.mu.Unlock()
}

// startProofs reads the rules alone whenever it is due, until the returned function is called. A
// watch may be held for longer than confirmations last, so this does not wait for it.
func (f *Feed) startProofs(ctx context.Context) (stop func()) {
	if f.Proofs.Read == nil || f.Proofs.OnConfirmed == nil {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	wg.Go(func() {
		for ctx.Err() == nil {
			if now := f.Proofs.Boot(); f.proofDue(now, f.Proofs.Needed()) {
				f.readRules(ctx, now)
			}
			ctrl.Sleep(ctx, readRulesPoll)
		}
	})
	return func() {
		cancel()
		wg.Wait()
	}
}

// proofDue reports whether the rules are to be read alone now, and records that. needed reports
// whether the host needs confirmations at all times.
func (f *Feed) proofDue(now time.Duration, needed bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.proofs
	old := needed && !f.following && now-s.confirmed >= readRulesAfter
	gap := readRulesGap
	if !s.requested {
		gap = min(readRulesGap<<min(s.unconfirmed, 8), maxReadRulesGap)
	}
	if (!old && !s.requested) || (s.attempted != 0 && now-s.attempted < gap) {
		return false
	}
	s.attempted, s.requested = now, false
	s.unconfirmed++
	return true
}

// readRules reads the rules alone. If the store has newer ones, watches lack changes: the rules are
// applied, and the store is listed again for the rest.
func (f *Feed) readRules(ctx context.Context, sent time.Duration) {
	c, err := f.Proofs.Read(ctx)
	if ctx.Err() != nil {
		return
	}
	if f.recordRules(f.Now(), c, err) {
		f.confirmRules(sent)
	}
}

// recordRules records the result of a read of the rules alone and reports whether it confirms what
// was read before or just now.
func (f *Feed) recordRules(now time.Time, c Change, err error) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &f.proofs
	if err == nil && eras.Of(c.Revision) < eras.Of(f.revision) {
		err = errOlderEra
	}
	if err == nil && c.RulesUnknown {
		err = errRulesUnknown
	}
	if failing := err != nil; failing != s.failing {
		s.failing = failing
		f.Log.Info().Str("feed", f.Name).Bool("failing", failing).Err(err).Msg("reads of the rules alone")
	}
	if err != nil {
		return false
	}
	if !f.listed {
		return false
	}
	known := s.newest
	s.observe(c)
	if c.Version <= known {
		return true
	}
	f.Log.Warn().Str("feed", f.Name).Uint64("version", c.Version).Uint64("before", known).Msg("watch lacks newer rules; listing again")
	s.relist = true
	f.OnChange(now, Batch{Changes: []Change{c}, Revision: f.revision}, f.keepRemovedUntil(now))
	if s.stopWatch != nil {
		s.stopWatch(errRelist)
	}
	return true
}

// watchContext returns the context of a watch, which ends if the store is to be listed again.
func (f *Feed) watchContext(ctx context.Context) (context.Context, context.CancelCauseFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proofs.stopWatch = cancel
	if f.proofs.relist {
		cancel(errRelist)
	}
	return ctx, cancel
}

// takeRelist reports whether the store is to be listed again, once.
func (f *Feed) takeRelist() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	relist := f.proofs.relist
	f.proofs.relist = false
	return relist
}
