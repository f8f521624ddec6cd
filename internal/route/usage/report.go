package usage

import (
	"math"
	"slices"
	"time"
)

const (
	// reportPeriod is the time between two whole announcements, urgentPeriod the least time
	// between any two.
	reportPeriod = time.Second
	urgentPeriod = 100 * time.Millisecond
	// urgentPerHost times the number of hosts is the mean time between two announcements of one
	// host beyond the whole ones, so that a host receives at most 200 of them a second whatever
	// the number of hosts. maxUrgent of them may follow each other at once: few hosts need them at
	// the same time, and only until the bucket is empty.
	urgentPerHost = 5 * time.Millisecond
	maxUrgent     = 5
	// recentReports is the number of whole announcements that Use.Recent spans.
	recentReports = 3
	// repeatTime is how long a use is contained in whole announcements after it changed, so that
	// the loss of a datagram does not hide it.
	repeatTime = 1500 * time.Millisecond
	// smallPart is the part of an even share of the rate below which use waits to be announced.
	smallPart = 0.125
	// urgentPart is the part of this host's share of what may be unknown, and of the bucket's
	// level, from which use is announced at once.
	urgentPart = 0.25
	// quietReports is how often a host that has nothing more to announce reports that, a period apart,
	// and quietPeriod the time between any further ones. A host that missed the first ones, as it was
	// frozen or cut off, would keep a part of the limits for the quiet host until it has use again.
	quietReports = 3
	quietPeriod  = 15 * reportPeriod
)

// Use is what a host's requests of a customer used.
type Use struct {
	// Customer is the 32-bit hash of the name.
	Customer uint32
	// Total is the use since the process started, less what was returned, Recent what was used
	// during the last recentReports periods. A host that has no earlier Total charges Recent.
	Total  uint64
	Recent uint64
}

// Announcement is what a host announces of its use.
type Announcement struct {
	// Sent is the time since the process of the sender started. The receiver recognises
	// announcements that were delayed or buffered by it.
	Sent time.Duration
	// Quiet reports that the sender announces nothing until it has use again, so that it does not
	// count as silent.
	Quiet bool
	Uses  []Use
}

// urgent reports whether so much use is not announced that it should be announced to the other hosts at
// once.
func (t *Table) urgent(a *account) bool {
	part := t.share(a) * (max(0, a.level) + t.unknown(a))
	return math.Abs(a.total-a.announced) > urgentPart*part
}

// Report returns what to announce, and false if nothing is due. entry reports whether callers are
// given this host; it announces each period even without use, so that others can rely on receiving
// it.
func (t *Table) Report(now time.Time, entry bool) (Announcement, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.entry = entry
	t.refresh(now)
	if len(t.accounts) == 0 || now.Sub(t.lastReport) < urgentPeriod {
		return Announcement{}, false
	}
	t.urgentCredit = min(maxUrgent, t.urgentCredit+float64(now.Sub(t.creditAt))/float64(urgentPerHost)/float64(t.hostCount))
	t.creditAt = now
	whole := now.Sub(t.wholeReport) >= reportPeriod
	if !whole {
		if t.urgentCredit < 1 || !slices.ContainsFunc(t.active, t.urgent) {
			return Announcement{}, false
		}
		t.urgentCredit--
	}
	out := Announcement{Sent: now.Sub(t.started)}
	for _, a := range t.active {
		if t.due(a, now, whole) {
			a.announced, a.announcedAt = a.total, now
		}
		if a.announcedAt.Equal(now) || (whole && now.Sub(a.announcedAt) < repeatTime) {
			out.Uses = append(out.Uses, Use{Customer: a.id, Total: uint64(math.Round(a.announced)), Recent: uint64(math.Round(max(0, a.announced-a.earlier[0])))})
		}
	}
	t.lastReport = now
	if whole {
		t.wholeReport = now
		t.endPeriod(now)
	}
	if entry || len(t.active) > 0 {
		t.quietSent = 0
		return out, true
	}
	out.Quiet = true
	return out, t.quietDue(now)
}

// quietDue reports whether to announce that this host has nothing more to announce, and records it.
func (t *Table) quietDue(now time.Time) bool {
	if t.quietSent >= quietReports && now.Sub(t.lastQuiet) < quietPeriod {
		return false
	}
	t.quietSent, t.lastQuiet = min(quietReports, t.quietSent+1), now
	return true
}

// due reports whether a use that changed is part of the next announcement.
func (t *Table) due(a *account, now time.Time, whole bool) bool {
	changed := math.Abs(a.total - a.announced)
	if changed == 0 {
		return false
	}
	if !whole {
		return t.urgent(a) || changed >= smallPart*a.limit.PerSecond/float64(t.hostCount)
	}
	// What is too little to be announced at once is announced before it counts as old.
	return changed >= smallPart*a.limit.PerSecond/float64(t.hostCount) || now.Sub(a.announcedAt) >= shareMemory
}

// endPeriod moves the marks of recent use and drops accounts without use to announce.
func (t *Table) endPeriod(now time.Time) {
	t.active = slices.DeleteFunc(t.active, func(a *account) bool {
		copy(a.earlier[:], a.earlier[1:])
		a.earlier[recentReports-1] = a.announced
		a.active = a.total != a.announced || now.Sub(a.announcedAt) < (recentReports+1)*reportPeriod
		return !a.active
	})
}
