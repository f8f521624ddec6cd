package regis

import "time"

// Registered is a release of a service and when an endpoint was last registered with it.
type Registered struct {
	Service string
	Release string
	Last    time.Time
}

// serviceRelease identifies a release of a service.
type serviceRelease struct {
	service string
	release string
}

// releaseMemory is how long a release is kept after its last registration. It exceeds every
// time that OnlyRelease is asked for.
const releaseMemory = time.Minute

// RecordReleases records which releases are registered at a time. It is called before and after
// each change of the registrations, so that a release counts until its last endpoint is removed.
func (t *Table) RecordReleases(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recordReleases(now)
}

func (t *Table) recordReleases(now time.Time) {
	for _, e := range t.endpoints {
		t.releases[serviceRelease{service: e.Service, release: e.Release}] = now
	}
	for r, last := range t.releases {
		if now.Sub(last) > releaseMemory {
			delete(t.releases, r)
		}
	}
}

// ResetReleases records that endpoints may have been registered and removed unseen before a time:
// the host has started, or its view of the store was interrupted.
func (t *Table) ResetReleases(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.releasesKnown = now
}

// ReleasesKnown returns the time from which on all registered releases are known, zero for none.
func (t *Table) ReleasesKnown() time.Time {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.releasesKnown
}

// AddReleases adds the releases that were registered between two times, as another source shows
// them. It does nothing and returns false if the releases are no longer known from until on.
func (t *Table) AddReleases(since, until time.Time, list []Registered) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.releasesKnown.Equal(until) {
		return false
	}
	for _, r := range list {
		key := serviceRelease{service: r.Service, release: r.Release}
		if r.Last.After(t.releases[key]) {
			t.releases[key] = r.Last
		}
	}
	if since.Before(until) {
		t.releasesKnown = since
	}
	return true
}

// OnlyRelease returns the one release with which endpoints of a service were registered since a
// time. It returns false if there were none or several, or if they are not known from that time on.
func (t *Table) OnlyRelease(service string, since time.Time) (string, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if t.releasesKnown.IsZero() || since.Before(t.releasesKnown) {
		return "", false
	}
	return t.soleRelease(service, since)
}

// SeesOneRelease reports whether all releases of a service that are known since a time, which
// need not be all that there were, are the same one.
func (t *Table) SeesOneRelease(service string, since time.Time) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	_, ok := t.soleRelease(service, since)
	return ok
}

func (t *Table) soleRelease(service string, since time.Time) (release string, ok bool) {
	for r, last := range t.releases {
		if r.service != service || last.Before(since) {
			continue
		}
		if ok {
			return "", false
		}
		release, ok = r.release, true
	}
	return release, ok
}
