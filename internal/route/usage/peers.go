package usage

import (
	"math"
	"time"
)

const (
	// staleAfter is the time without an announcement from which a host's part of the rate is kept
	// for it: one and a half periods, as it may use its part without our hearing of it.
	staleAfter = 1500 * time.Millisecond
	// delayedBy is how much later than the fastest announcements of a host one may arrive. A later
	// one was buffered, while one of the hosts was frozen for example, and does not show that
	// the host can still be reached.
	delayedBy = time.Second
	// delayMemory is the time after which the delay of the fastest announcements is measured
	// anew, as the clock of a host stops while its machine is suspended.
	delayMemory = 15 * time.Second
	// longSilence is the time after which a silent host's part no longer follows from its use: its
	// callers have most likely gone to other hosts. Both sides of a partition then divide the
	// rate by the number of hosts, so that the parts still add up to 1.
	longSilence = time.Minute
	// assumedHosts is the number of hosts that a process assumes until it has discovered the others.
	assumedHosts = 64
	// discoveryTime and settleTime are how long after the start of the process and after the
	// last new host the others count as known.
	discoveryTime = 2500 * time.Millisecond
	settleTime    = time.Second
	// maxSettleTime bounds the wait for that after the start.
	maxSettleTime = 10 * time.Second
	// forgetAfter is how long a host that the members no longer list is kept, as it may only be on
	// the other side of a partition. Until then a host that ended without notice takes an even part
	// of the rate.
	forgetAfter = 15 * time.Minute
	// assumedSpan is the time constant of the use that is assumed of a host that becomes silent,
	// somewhat longer than nothing was received from it.
	assumedSpan = 2 * time.Second
	// assumedPart is the part of it that is charged. In the simulation of a cut with a burst in all
	// regions the bound needs some of it; all of it refuses requests for longer than needed.
	assumedPart = 0.5
	// maxRefreshGap is the time without a refresh from which this process was frozen.
	maxRefreshGap = time.Second
	// rotatePeriod is longer than staleAfter, so that the weights of a period before the last one
	// are those of before a silence that is noticed now.
	rotatePeriod = 2 * time.Second
	// forgetUseAfter is how long the counter of a customer at another host is kept without use. Its
	// weight is small by then, and the next announcement charges Use.Recent. At the size of 360
	// hosts and 1,100 customers most pairs of them have no use for longer.
	forgetUseAfter = 3 * shareMemory
	// maxExponent bounds the exponent of weights of recent use, far below where they overflow.
	maxExponent = 60
)

// peer is another host.
type peer struct {
	incarnation uint64
	// sent is the Sent of the last announcement, receivedAt when the last that was not late arrived.
	sent       time.Duration
	receivedAt time.Time
	quiet      bool
	// fastest and fastestBefore are the least difference of arrival and Sent in the current and
	// the previous span of delayMemory, which began at span.
	fastest, fastestBefore time.Duration
	span                   time.Time
	// origin is the time of Sent 0, by the first announcement.
	origin time.Time
	uses   map[uint32]*peerUse
	// stale reports whether the host's part of the rate is kept for it, since staleSince; long,
	// whether that began more than longSilence ago. healed is when it ended last.
	stale, long        bool
	staleSince, healed time.Time
	// even is an even part of the rate as of staleSince.
	even float64
}

// peerUse is the use of one customer at another host.
type peerUse struct {
	total uint64
	// weight is the recent use in the scale of Table.weight.
	weight aged
	recent decayed
	// part is the host's part of the rate, kept of the level what the bucket lost for it, both as
	// of when it became stale.
	part, kept float64
	// credit is what was kept for the host while it was silent, until use is charged to it.
	credit float64
}

// Peers returns the names of the hosts that announce use.
func (t *Table) Peers() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]string, 0, len(t.peers))
	for name, p := range t.peers {
		if !p.quiet {
			out = append(out, name)
		}
	}
	return out
}

// SetPeers sets the other hosts: those that are known, also if they can't be reached, and those that
// announced that they leave. discovered is false while this host has no contact to any although
// there may be some.
func (t *Table) SetPeers(now time.Time, known, left []string, discovered bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	listed := make(map[string]bool, len(known))
	for _, name := range known {
		listed[name] = true
		if !t.listed[name] {
			t.grown = now
		}
	}
	t.listed, t.discovered = listed, discovered
	for _, name := range left {
		if p := t.peers[name]; p != nil {
			t.remove(name, p)
		}
	}
	for name, p := range t.peers {
		if !listed[name] && now.Sub(p.receivedAt) > forgetAfter {
			t.remove(name, p)
		}
	}
}

// remove drops a host. Its recent use no longer counts in the shares of the others.
func (t *Table) remove(name string, p *peer) {
	for id, u := range p.uses {
		if a := t.byID[id]; a != nil {
			a.all.subtract(u.weight)
		}
	}
	delete(t.peers, name)
	t.silenceChanged = true
}

// Receive applies an announcement of another host.
func (t *Table) Receive(now time.Time, host string, incarnation uint64, in Announcement) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refresh(now)
	p := t.peers[host]
	switch {
	case p == nil:
		p = &peer{incarnation: incarnation, uses: map[uint32]*peerUse{}}
		p.resetDelay(now, in.Sent)
		t.peers[host] = p
		t.hostCount++
	case incarnation > p.incarnation:
		// The counters of the new process begin at 0; what the earlier one used stays charged.
		p.incarnation, p.sent = incarnation, 0
		p.resetDelay(now, in.Sent)
		for _, u := range p.uses {
			u.total = 0
		}
	case incarnation < p.incarnation || in.Sent < p.sent:
		return
	}
	late := p.late(now, in.Sent)
	if late && p.stale {
		// The counters are repeated with an announcement that is not late.
		return
	}
	p.sent = in.Sent
	if !late {
		p.receivedAt = now
		p.quiet = in.Quiet
		t.heal(now, p)
	}
	for _, u := range in.Uses {
		if a := t.byID[u.Customer]; a != nil {
			t.receiveUse(now, p, a, u)
		}
	}
}

// resetDelay starts to measure the delay of a host's announcements.
func (p *peer) resetDelay(now time.Time, sent time.Duration) {
	p.origin, p.span = now.Add(-sent), now
	p.fastest, p.fastestBefore = 0, 0
}

// late reports whether an announcement arrived much later than the fastest ones of the host.
func (p *peer) late(now time.Time, sent time.Duration) bool {
	delay := now.Sub(p.origin) - sent
	if now.Sub(p.span) > delayMemory {
		p.fastestBefore, p.fastest, p.span = p.fastest, delay, now
	}
	p.fastest = min(p.fastest, delay)
	return delay-min(p.fastest, p.fastestBefore) > delayedBy
}

// heal ends the silence of a host. What was kept for it covers what it used meanwhile.
func (t *Table) heal(now time.Time, p *peer) {
	if !p.stale {
		return
	}
	for id, u := range p.uses {
		if a := t.byID[id]; a != nil {
			u.credit = (u.part+t.evenOf(a, p))*a.limit.PerSecond*now.Sub(p.staleSince).Seconds() + u.kept
		}
	}
	p.stale, p.healed = false, now
	t.silenceChanged = true
}

// receiveUse charges the use at another host that was not known yet.
func (t *Table) receiveUse(now time.Time, p *peer, a *account, in Use) {
	t.refill(a, now)
	u := p.uses[in.Customer]
	recent := float64(in.Recent)
	delta := recent
	switch {
	case u == nil:
		u = &peerUse{}
		p.uses[in.Customer] = u
	case in.Total >= u.total:
		delta = float64(in.Total - u.total)
	case float64(u.total-in.Total) <= t.windowLimit(a):
		// Requests that did not run returned what they took, each at most the limit of a window.
		a.level = min(t.capacity(a)*(1-a.silent), a.level+float64(u.total-in.Total))
		delta = 0
	}
	u.total = in.Total
	if delta == 0 {
		return
	}
	counted := min(delta, max(recent, a.limit.PerSecond*reportPeriod.Seconds())) * t.weight(now)
	u.weight.now += counted
	u.recent.add(now, min(delta, max(recent, a.limit.PerSecond*reportPeriod.Seconds())))
	t.addWeight(a, now, counted)
	if u.credit > 0 {
		// Use of the time since the silence ended is not covered.
		since := 0.0
		if now.Sub(p.healed) > recentReports*reportPeriod {
			since = min(delta, recent)
		}
		delta = max(0, delta-since-u.credit) + since
		u.credit = 0
	}
	t.debit(a, delta)
}

// refresh brings up to date what depends on time alone.
func (t *Table) refresh(now time.Time) {
	if now.Sub(t.refreshed) >= refreshPeriod {
		t.rebase(now)
		t.rotate(now)
		t.updateSilence(now)
	}
}

// rotate moves the weights from which the parts of silent hosts follow. Those of the time in which
// silence was not noticed yet do not count: each side of a partition has only its own use then,
// and would take too large a part.
func (t *Table) rotate(now time.Time) {
	if now.Sub(t.rotated) < rotatePeriod {
		return
	}
	t.rotated = now
	for _, a := range t.accounts {
		a.all.rotate()
	}
	for _, p := range t.peers {
		for id, u := range p.uses {
			u.weight.rotate()
			if !p.stale && now.Sub(u.recent.as) > forgetUseAfter {
				delete(p.uses, id)
			}
		}
	}
}

// rebase moves the epoch of weights before they grow too large.
func (t *Table) rebase(now time.Time) {
	exponent := now.Sub(t.epoch).Seconds() / shareMemory.Seconds()
	if exponent < maxExponent {
		return
	}
	f := math.Exp(-exponent)
	t.epoch = now
	for _, a := range t.accounts {
		a.own *= f
		a.all.scale(f)
	}
	for _, p := range t.peers {
		for _, u := range p.uses {
			u.weight.scale(f)
		}
	}
}

// updateSilence determines which hosts are silent and what part of each rate is kept for them. Time
// since the last update counts with the new parts: if it is long, this process was frozen and received
// nothing.
func (t *Table) updateSilence(now time.Time) {
	before := t.refreshed
	t.refreshed = now
	t.countHosts()
	t.settle(now)
	var stale, newest []*peer
	for _, p := range t.peers {
		if p.quiet {
			continue
		}
		if !p.stale && now.Sub(p.receivedAt) > staleAfter {
			t.markStale(p, before)
			newest = append(newest, p)
		}
		if !p.stale {
			continue
		}
		if long := now.Sub(p.staleSince) > longSilence; long != p.long {
			p.long, t.silenceChanged = long, true
		}
		stale = append(stale, p)
	}
	t.silentCount = len(stale)
	// The others announce to a host that callers are not given only after it announced use.
	isolated := !t.entry && len(stale) == t.hostCount-1 && len(t.listed) > 0
	if t.settled && !t.silenceChanged && isolated == t.isolated {
		return
	}
	t.isolated, t.silenceChanged = isolated, !t.settled
	unknown := 0.0
	if !t.settled || isolated {
		unknown = 1 - float64(t.hostCount-len(stale))/float64(max(assumedHosts, t.hostCount, len(t.listed)+1))
	}
	t.setSilent(stale, unknown, before, now)
	if now.Sub(before) < maxRefreshGap {
		// A process that was frozen used nothing while the others did.
		t.assumeUse(now, newest)
	}
}

// assumeUse charges what hosts that became silent have most likely used since their last announcement:
// as much of their parts as the others used of theirs. Otherwise each side of a partition would use
// the whole burst, and the rate until it notices the silence.
func (t *Table) assumeUse(now time.Time, newest []*peer) {
	if len(newest) == 0 {
		return
	}
	// known is the use of the hosts that announce.
	known := make(map[*account]float64, len(t.accounts))
	for _, a := range t.accounts {
		known[a] = a.recent.at(now)
	}
	for _, p := range t.peers {
		if p.stale || p.quiet {
			continue
		}
		for id, u := range p.uses {
			if a := t.byID[id]; a != nil {
				known[a] += u.recent.at(now)
			}
		}
	}
	for id, a := range t.byID {
		assumed := 0.0
		for _, p := range newest {
			u, part := p.uses[id], t.evenOf(a, p)
			if u != nil {
				part += u.part
			}
			use := assumedPart * known[a] * part / (1 - a.silent)
			if u != nil {
				u.kept += use
			}
			assumed += use
		}
		a.level = max(-t.windowLimit(a), a.level-assumed)
	}
}

// aged is recent use in the scale of Table.weight: its present value, that of the last rotation and
// that of the rotation before.
type aged struct{ now, last, before float64 }

func (w *aged) rotate() { w.before, w.last = w.last, w.now }

func (w *aged) scale(f float64) { w.now, w.last, w.before = w.now*f, w.last*f, w.before*f }

func (w *aged) subtract(o aged) {
	w.now, w.last, w.before = max(0, w.now-o.now), max(0, w.last-o.last), max(0, w.before-o.before)
}

// decayed is use that counts less with time, with the time constant assumedSpan.
type decayed struct {
	value float64
	as    time.Time
}

func (d *decayed) add(now time.Time, tokens float64) { d.value, d.as = d.at(now)+tokens, now }

func (d *decayed) at(now time.Time) float64 {
	if d.value <= 0 {
		return 0
	}
	return d.value * math.Exp(-now.Sub(d.as).Seconds()/assumedSpan.Seconds())
}

// countHosts counts the hosts that share the limits.
func (t *Table) countHosts() {
	t.hostCount = 1
	for _, p := range t.peers {
		if !p.quiet {
			t.hostCount++
		}
	}
}

// settle records when this host has discovered the others.
func (t *Table) settle(now time.Time) {
	age := now.Sub(t.started)
	if !t.settled && t.discovered && age >= discoveryTime && (now.Sub(t.grown) >= settleTime || age >= maxSettleTime) {
		t.settled, t.silenceChanged = true, true
	}
}

// markStale keeps a host's part of each rate and level for it.
func (t *Table) markStale(p *peer, before time.Time) {
	p.stale, p.long, p.staleSince = true, false, p.receivedAt.Add(staleAfter)
	p.even = 1 / float64(t.hostCount)
	for id, u := range p.uses {
		a := t.byID[id]
		if a == nil {
			continue
		}
		u.part, u.kept = 0, 0
		if a.all.before > 0 {
			u.part = (1 - evenPart) * min(1, u.weight.before/a.all.before)
		}
		t.refill(a, before)
		u.kept = max(0, a.level) / (1 - a.silent) * (u.part + t.evenOf(a, p))
	}
	t.silenceChanged = true
}

// evenOf returns the part of an account's rate that a stale host has whatever its use.
func (t *Table) evenOf(a *account, p *peer) float64 {
	if p.long || a.firstUse.IsZero() || a.firstUse.After(p.staleSince) {
		return p.even
	}
	return evenPart * p.even
}

// setSilent sets the part of each rate that is kept for stale hosts, at least a given one.
func (t *Table) setSilent(stale []*peer, least float64, before, now time.Time) {
	parts := make(map[*account]float64, len(t.accounts))
	for _, a := range t.accounts {
		for _, p := range stale {
			parts[a] += t.evenOf(a, p)
		}
	}
	for _, p := range stale {
		if p.long {
			continue
		}
		for id, u := range p.uses {
			if a := t.byID[id]; a != nil {
				parts[a] += u.part
			}
		}
	}
	most := 1 - evenPart/float64(max(assumedHosts, t.hostCount))
	for _, a := range t.accounts {
		next := min(most, max(least, parts[a]))
		t.refill(a, before)
		if next > a.silent && a.level > 0 {
			a.level *= (1 - next) / (1 - a.silent)
		}
		a.silent = next
		t.refill(a, now)
	}
}
