package node

import (
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/route/usage"
)

// usageName is the controller that announces the use of customers. Large use also triggers it.
const usageName = "usage"

const (
	usagePeriod = 100 * time.Millisecond
	// maxPacketUses bounds the counters in one packet; each takes 20 bytes at most.
	maxPacketUses = 40
	// usageLogPeriod is the least time between two log lines on silent hosts.
	usageLogPeriod = time.Second
)

// newUsage returns the table of the use of customers.
func (n *Node) newUsage() *usage.Table {
	b := n.settings.Bounds
	return usage.New(n.started, n.settings.Peers, usage.Bound{Window: b.QuotaWindow(), Over: b.QuotaOver},
		usage.WithUrgent(func() { n.runner.Trigger(usageName) }))
}

// applyQuotas sets the limits of the customers of published rules. A rate of 0 means no limit.
func (n *Node) applyQuotas(now time.Time, list []*rules.Customer) {
	var limits []usage.Limit
	var names []string
	for _, c := range list {
		if c.Quota.PerSecond <= 0 {
			continue
		}
		l := usage.Limit{Customer: c.Name, PerSecond: c.Quota.PerSecond, Burst: c.Quota.Burst}
		if c.Quota.Unit == rules.Tokens {
			// The slack of the settings is stated in tokens.
			l.Slack = n.settings.Bounds.QuotaSlack
		}
		limits, names = append(limits, l), append(names, c.Name)
	}
	n.usage.SetLimits(now, limits)
	n.meter.KeepLimited(names)
}

// updateUsagePeers sets the hosts that share the limits of customers.
func (n *Node) updateUsagePeers(now time.Time, list []member.Member) {
	var known, left []string
	discovered := true
	for _, seed := range n.settings.Seeds {
		discovered = discovered && seed == n.settings.Peers
	}
	for _, m := range list {
		if m.State == wire.Left {
			left = append(left, m.Name)
			continue
		}
		if m.Incarnation != 0 {
			known = append(known, m.Name)
			discovered = discovered || m.Usable()
		}
	}
	n.usage.SetPeers(now, known, left, discovered)
}

// shareUsage announces the use of customers at this host to the entry hosts of all regions and to
// the hosts that announced theirs.
func (n *Node) shareUsage(now time.Time) {
	if !n.usage.Limited() {
		return
	}
	n.logUsage(now)
	plan := n.board.Duties.Plan()
	report, due := n.usage.Report(now, plan.SelfEntry)
	if !due {
		return
	}
	var to []member.Member
	included := map[string]bool{}
	for _, entries := range plan.Entries {
		for _, m := range entries {
			included[m.Name] = true
			to = append(to, m)
		}
	}
	for _, name := range n.usage.Peers() {
		// Also those that count as dead: they may be reachable again.
		if m, ok := n.board.Members.Member(name); ok && !included[name] {
			to = append(to, m)
		}
	}
	if len(to) == 0 {
		return
	}
	for _, p := range toWireUses(report) {
		n.announceTo(to, wire.Packet{Uses: p})
	}
}

// logUsage logs changes of the number of silent hosts and updates the metrics of customers.
func (n *Node) logUsage(now time.Time) {
	if now.Sub(n.usageLogged) < usageLogPeriod {
		return
	}
	n.usageLogged = now
	for customer, level := range n.usage.Levels(now) {
		n.meter.SetCustomerLevel(customer, level)
	}
	if silent := n.usage.Silent(); silent != n.usageSilent && n.board.Duties.Plan().SelfEntry {
		n.usageSilent = silent
		n.log.Warn().Int("silent", silent).Int("announcing", len(n.usage.Peers())).Msg("hosts that do not announce the use of customers changed; their parts of the limits are kept for them")
	}
}

// toWireUses returns an announcement in the form of packets.
func toWireUses(in usage.Announcement) []*wire.Uses {
	var out []*wire.Uses
	for rest := in.Uses; ; rest = rest[maxPacketUses:] {
		p := &wire.Uses{SentMS: uint64(in.Sent.Milliseconds()), Quiet: in.Quiet}
		for _, u := range rest[:min(len(rest), maxPacketUses)] {
			p.Counters = append(p.Counters, wire.UseCounter{Customer: u.Customer, Total: u.Total, Recent: u.Recent})
		}
		out = append(out, p)
		if len(rest) <= maxPacketUses {
			return out
		}
	}
}

// receiveUses applies what a peer host announced of the use of customers.
func (n *Node) receiveUses(now time.Time, from string, incarnation uint64, in *wire.Uses) {
	if !n.usage.Limited() {
		return
	}
	a := usage.Announcement{Sent: time.Duration(min(in.SentMS, maxUsesSentMS)) * time.Millisecond, Quiet: in.Quiet}
	for _, c := range in.Counters {
		a.Uses = append(a.Uses, usage.Use{Customer: c.Customer, Total: c.Total, Recent: c.Recent})
	}
	n.usage.Receive(now, from, incarnation, a)
}

// maxUsesSentMS bounds the age of a process that an announcement states, in milliseconds, so that it
// does not overflow: ten years.
const maxUsesSentMS = 10 * 365 * 24 * 3600 * 1000
