package paths

import (
	"cmp"
	"slices"
	"sync"
	"time"
)

const (
	// reportPeriod is how often a host that is cut off reports so again, and reportTTL how long
	// a report counts.
	reportPeriod = 2 * time.Second
	reportTTL    = 10 * time.Second
	// maxSends is the number of times that each host passes a report on.
	maxSends = 4
)

// Report says whether a host is cut off from the endpoints of its region. A later report of one
// process has a higher serial.
type Report struct {
	Host        string
	Incarnation uint64
	Serial      uint32
	Cut         bool
}

// supersedes reports whether r is later than another report of the same host.
func (r Report) supersedes(other Report) bool {
	return cmp.Or(cmp.Compare(r.Incarnation, other.Incarnation), cmp.Compare(r.Serial, other.Serial)) > 0
}

// hostReport is a report with when it arrived and how often it was passed on.
type hostReport struct {
	Report
	at    time.Time
	sends int
}

// Hosts holds which hosts are cut off from the endpoints of their regions. The reports spread
// from host to host at random. Its lock is a leaf.
type Hosts struct {
	mu      sync.Mutex
	self    Report
	selfAt  time.Time
	reports map[string]*hostReport
}

// NewHosts returns an empty table of the process of a host.
func NewHosts(name string, incarnation uint64) *Hosts {
	return &Hosts{self: Report{Host: name, Incarnation: incarnation}, reports: map[string]*hostReport{}}
}

// SetSelf records whether this host is cut off, and reports whether that changed.
func (h *Hosts) SetSelf(now time.Time, cut bool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := h.self.Cut != cut
	if !changed && (!cut || now.Sub(h.selfAt) < reportPeriod) {
		return false
	}
	h.self.Cut, h.selfAt = cut, now
	h.self.Serial++
	h.reports[h.self.Host] = &hostReport{Report: h.self, at: now}
	return changed
}

// SelfCut reports whether this host is cut off.
func (h *Hosts) SelfCut() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.self.Cut
}

// SelfReport returns the latest report of this host; its serial is 0 if it was never cut off.
func (h *Hosts) SelfReport() Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.self
}

// Merge adds the reports of a peer host, and reports whether that changed which hosts are cut off.
func (h *Hosts) Merge(now time.Time, list []Report) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := false
	for _, r := range list {
		known := h.reports[r.Host]
		if r.Host == h.self.Host || known != nil && !r.supersedes(known.Report) {
			continue
		}
		changed = changed || r.Cut != (known != nil && known.Cut)
		h.reports[r.Host] = &hostReport{Report: r, at: now}
	}
	return changed
}

// Cut reports whether the process of a host is cut off.
func (h *Hosts) Cut(now time.Time, host string, incarnation uint64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.reports[host]
	return r != nil && r.Cut && r.Incarnation == incarnation && now.Sub(r.at) < reportTTL
}

// AnyCut reports whether any peer host is cut off.
func (h *Hosts) AnyCut(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for host, r := range h.reports {
		if r.Cut && host != h.self.Host && now.Sub(r.at) < reportTTL {
			return true
		}
	}
	return false
}

// Outgoing returns up to limit reports to pass on now, those that were passed on least often
// first.
func (h *Hosts) Outgoing(limit int) []Report {
	h.mu.Lock()
	defer h.mu.Unlock()
	var due []*hostReport
	for _, r := range h.reports {
		if r.sends < maxSends {
			due = append(due, r)
		}
	}
	slices.SortFunc(due, func(a, b *hostReport) int { return cmp.Or(cmp.Compare(a.sends, b.sends), cmp.Compare(a.Host, b.Host)) })
	out := make([]Report, 0, min(len(due), limit))
	for _, r := range due[:min(len(due), limit)] {
		r.sends++
		out = append(out, r.Report)
	}
	return out
}

// Sweep removes reports that no longer count, and reports whether that changed which hosts are
// cut off.
func (h *Hosts) Sweep(now time.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	changed := false
	for host, r := range h.reports {
		if now.Sub(r.at) >= reportTTL {
			changed = changed || r.Cut
			delete(h.reports, host)
		}
	}
	return changed
}
