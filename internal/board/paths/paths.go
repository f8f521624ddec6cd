// Package paths is the board's table of the endpoints of the region to which this host can open
// no connections. A host that can open none to most of them is cut off from its endpoints, though
// callers and peer hosts still reach it.
//
// Attempts show that an endpoint is unreachable, checks show that it is reachable again: requests
// do not wait for a connection that most likely can't be opened.
package paths

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// firstCheckGap is the time from the failure to the first check; each further gap is twice
	// as long, up to maxCheckGap.
	firstCheckGap = 250 * time.Millisecond
	maxCheckGap   = time.Second
	// returnChecks is the number of connections in a row after which an endpoint is reachable
	// again, returnGap the time between them: on a path that loses packets some succeed.
	returnChecks = 2
	returnGap    = 150 * time.Millisecond
	// silentTime is how long an endpoint sends nothing before a suspicion leads to a check, and
	// suspectGap the time between two such checks.
	silentTime = 300 * time.Millisecond
	suspectGap = time.Second
	// sweepFailures is the number of unreachable endpoints from which others are checked too, as
	// all may be. The sweep ends when sweepOpened others for each have been reached.
	sweepFailures = 2
	sweepOpened   = 2
	// maxChecks bounds the checks that are due at a time, sweepChecks those of reachable
	// endpoints for each unreachable one.
	maxChecks   = 32
	sweepChecks = 4
)

// path is the path to one endpoint.
type path struct {
	// failedAt is when a connection failed first since the endpoint was last reachable, zero
	// while it is.
	failedAt time.Time
	// opened counts the connections in a row since the last failure, openedAt is when the last
	// one was opened.
	opened   int
	openedAt time.Time
	// checkAt is when to check the endpoint, zero for never; gap is the time to the check after.
	checkAt time.Time
	gap     time.Duration
	// checkedAt is when the last check was due.
	checkedAt time.Time
	// receivedAt is when the endpoint last sent something.
	receivedAt time.Time
}

// Table holds the paths to endpoints. Its lock is a leaf.
type Table struct {
	mu    sync.Mutex
	paths map[string]*path
	// failures counts the paths that fail.
	failures int
	// sweepFrom is when a path failed last.
	sweepFrom time.Time
}

// NewTable returns a table without endpoints, all of which count as reachable.
func NewTable() *Table { return &Table{paths: map[string]*path{}} }

func (t *Table) path(id string) *path {
	p := t.paths[id]
	if p == nil {
		p = &path{}
		t.paths[id] = p
	}
	return p
}

// RecordFailed records that no connection to an endpoint could be opened. It reports whether the
// endpoint was reachable before.
func (t *Table) RecordFailed(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(id)
	p.opened = 0
	if !p.failedAt.IsZero() {
		return false
	}
	p.failedAt, p.gap, p.checkAt = now, firstCheckGap, now.Add(firstCheckGap)
	t.failures++
	t.sweepFrom = now
	return true
}

// RecordOpened records that a connection to an endpoint was opened. It reports whether the
// endpoint is reachable again.
func (t *Table) RecordOpened(now time.Time, id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(id)
	p.openedAt = now
	if p.failedAt.IsZero() {
		return false
	}
	if p.opened++; p.opened < returnChecks {
		p.checkAt = now.Add(returnGap)
		return false
	}
	p.failedAt, p.checkAt, p.opened = time.Time{}, time.Time{}, 0
	t.failures--
	return true
}

// RecordReceived records that an endpoint sent something.
func (t *Table) RecordReceived(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.path(id).receivedAt = now
}

// ReceivedWithin reports whether an endpoint has sent something within a time.
func (t *Table) ReceivedWithin(now time.Time, id string, d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[id]
	return p != nil && !p.receivedAt.IsZero() && now.Sub(p.receivedAt) <= d
}

// Suspect requests a check of an endpoint that has not answered an attempt, unless it sent
// something else lately.
func (t *Table) Suspect(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.path(id)
	if p.failedAt.IsZero() && p.checkAt.IsZero() && now.Sub(p.receivedAt) >= silentTime && now.Sub(p.checkedAt) >= suspectGap {
		p.checkAt = now
	}
}

// Reachable reports whether requests may be sent to an endpoint.
func (t *Table) Reachable(id string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[id]
	return p == nil || p.failedAt.IsZero()
}

// Due returns the endpoints of a region to check now: those that are due, and others while it is
// not known whether they can be reached either.
func (t *Table) Due(now time.Time, ids []string) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var due []string
	for _, id := range ids {
		if p := t.paths[id]; p != nil && !p.checkAt.IsZero() && !now.Before(p.checkAt) {
			due = append(due, id)
		}
	}
	slices.SortFunc(due, func(a, b string) int {
		return cmp.Or(t.paths[a].checkAt.Compare(t.paths[b].checkAt), cmp.Compare(a, b))
	})
	due = due[:min(len(due), maxChecks)]
	for _, id := range due {
		t.paths[id].startCheck(now)
	}
	return append(due, t.sweep(now, ids, maxChecks-len(due))...)
}

// startCheck records a check that is due and sets when the next one is.
func (p *path) startCheck(now time.Time) {
	p.checkedAt, p.checkAt = now, time.Time{}
	if !p.failedAt.IsZero() {
		p.gap = min(2*p.gap, maxCheckGap)
		p.checkAt = now.Add(p.gap)
	}
}

// sweep returns up to limit reachable endpoints to check because others are unreachable.
func (t *Table) sweep(now time.Time, ids []string, limit int) []string {
	if t.failures == 0 || t.failures < min(sweepFailures, len(ids)) {
		return nil
	}
	opened := 0
	var unknown []*path
	var out []string
	for _, id := range ids {
		p := t.path(id)
		switch {
		case !p.failedAt.IsZero():
		case p.openedAt.After(t.sweepFrom):
			opened++
		case now.Sub(p.checkedAt) >= suspectGap:
			unknown, out = append(unknown, p), append(out, id)
		}
	}
	if opened >= sweepOpened*t.failures {
		return nil
	}
	limit = min(limit, sweepChecks*t.failures, len(out))
	for _, p := range unknown[:limit] {
		p.checkedAt = now
	}
	return out[:limit]
}

// Cut reports whether most endpoints of a region can't be reached.
func (t *Table) Cut(ids []string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.failures == 0 {
		return false
	}
	failures := 0
	for _, id := range ids {
		if p := t.paths[id]; p != nil && !p.failedAt.IsZero() {
			failures++
		}
	}
	return 2*failures > len(ids)
}

// Sync removes the paths to all endpoints but those of a region, and returns the number of those
// that can't be reached.
func (t *Table) Sync(ids []string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	registered := make(map[string]bool, len(ids))
	for _, id := range ids {
		registered[id] = true
	}
	for id, p := range t.paths {
		if registered[id] {
			continue
		}
		if !p.failedAt.IsZero() {
			t.failures--
		}
		delete(t.paths, id)
	}
	return t.failures
}
