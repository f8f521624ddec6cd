package node

import (
	"context"
	"math"
	"slices"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/ctrl"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

// maxSilentStart is how long a process that starts waits for a packet of a peer host before it takes
// what the store shows for the newest.
const maxSilentStart = 2 * time.Second

// needsProofs reports whether this host needs confirmations of its rules.
func (n *Node) needsProofs() bool {
	inForce := n.board.Routes.Rules()
	return n.settings.Bounds.StrictKeys && inForce != nil && inForce.HasCustomers()
}

// keysValid reports whether a version of the rules was confirmed recently enough to accept the
// customers' keys in it.
func (n *Node) keysValid(version uint64) bool {
	return !n.settings.Bounds.StrictKeys || n.board.Proof.Valid(n.boot(), version)
}

// rulesAge returns the time since it was last confirmed that this host's rules are the newest, and
// false if it never was or newer ones are known.
func (n *Node) rulesAge(now time.Time) (time.Duration, bool) {
	if n.behindSince.Load() != 0 {
		return 0, false
	}
	age, ok := n.board.Proof.Age(n.boot())
	if n.settings.Bounds.StrictKeys {
		return age, ok
	}
	// Without strict keys, hosts are not asked for confirmations.
	if view := n.storeAge(now); !ok || view < age {
		age = view
	}
	return age, true
}

// refreshRules requests a confirmation of the rules.
func (n *Node) refreshRules() {
	n.feed.RequestProof()
	n.runner.Trigger(proofsName)
}

const (
	// maxConfirmWait is how long a request with an unknown key waits for a confirmation. Reads of the
	// rules alone are 250 ms apart at least.
	maxConfirmWait = 500 * time.Millisecond
	confirmPoll    = 10 * time.Millisecond
	// maxConfirming bounds the requests that wait, as callers can send any number of unknown keys.
	maxConfirming = 64
)

// confirmNow requests a confirmation and waits until one has come whose read was sent after the call,
// for at most maxConfirmWait.
func (n *Node) confirmNow(ctx context.Context) {
	defer n.confirming.Add(-1)
	if n.confirming.Add(1) > maxConfirming {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, maxConfirmWait)
	defer cancel()
	since := n.boot()
	n.feed.RequestProof()
	for ctx.Err() == nil {
		now := n.boot()
		if age, ok := n.board.Proof.Age(now); ok && now-age >= since {
			return
		}
		ctrl.Sleep(ctx, confirmPoll)
	}
}

// confirmRules records a read of the store like recordProof. A process that starts waits for peer
// hosts first.
func (n *Node) confirmRules(sent time.Duration, newest uint64) bool {
	return sent >= n.contactedPeers() && n.recordProof(sent, newest)
}

// recordProof records that a read which was sent at a time showed a version of the rules as the
// newest, and reports whether that confirms the rules in force. It does not if a newer version is
// known: one that can't be decoded, or one that peer hosts have and a store that was restored from
// an older copy has not.
func (n *Node) recordProof(sent time.Duration, newest uint64) bool {
	inForce, peers := n.board.Routes.Version(), n.newestAtPeers()
	if max(newest, peers) <= inForce {
		n.behindSince.Store(0)
		n.board.Proof.Confirm(sent, newest)
		n.updateUnproven()
		return true
	}
	if since := n.behindSince.Load(); since == 0 {
		n.behindSince.Store(int64(n.boot()))
	} else if peers > newest && sent > time.Duration(since) {
		// The store does not have what peer hosts have read of it.
		n.board.Proof.Void()
	}
	n.log.Debug().Uint64("version", inForce).Uint64("read", newest).Uint64("peers", peers).Msg("rules in force are not the newest")
	return false
}

// contactedPeers returns when this process first received a packet of a peer host, and a later time than any until
// it has. After maxSilentStart it no longer waits: there may be none.
func (n *Node) contactedPeers() time.Duration {
	if at := n.contactAt.Load(); at != 0 {
		return time.Duration(at)
	}
	others := slices.ContainsFunc(n.settings.Seeds, func(seed string) bool { return seed != n.settings.Peers })
	if !others || n.boot()-n.bootedAt > maxSilentStart {
		return n.bootedAt
	}
	return math.MaxInt64
}

// newestAtPeers returns the newest version of the rules that live peer hosts have in force.
func (n *Node) newestAtPeers() uint64 {
	newest := uint64(0)
	for _, m := range n.board.Members.Members() {
		if m.State == wire.Alive || m.State == wire.Suspect {
			newest = max(newest, m.Version.Revision)
		}
	}
	return newest
}

// maxLoggedCustomers bounds each list of customers and keys in a log line.
const maxLoggedCustomers = 32

// logCustomers logs the customers that new rules add, change or remove. Keys appear as short hashes.
func (n *Node) logCustomers(old, next *rules.Rules) {
	names := make([]string, 0, len(next.Customers()))
	for _, c := range next.Customers() {
		names = append(names, c.Name)
	}
	n.meter.KeepCustomers(names)
	d := rules.CompareCustomers(old, next)
	if len(d.Added)+len(d.Changed)+len(d.Removed) == 0 {
		return
	}
	first := func(list []string) []string { return list[:min(len(list), maxLoggedCustomers)] }
	n.log.Info().Uint64("version", next.Version).Int("customers", len(names)).
		Int("added", len(d.Added)).Int("changed", len(d.Changed)).Int("removed", len(d.Removed)).
		Strs("added_names", first(d.Added)).Strs("changed_names", first(d.Changed)).Strs("removed_names", first(d.Removed)).
		Strs("keys_added", first(d.KeysAdded)).Strs("keys_removed", first(d.KeysRemoved)).Msg("customers changed")
}
