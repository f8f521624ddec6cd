package node

import (
	"net/netip"
	"slices"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/socket"
	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/eras"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
)

const (
	// minStoreInterval is the minimum time between two reads of the store, which
	// changes with every endpoint heartbeat.
	minStoreInterval = 900 * time.Millisecond
	// outageGrace is how long after the last failed call a registration that
	// disappeared during a store outage is kept. Live endpoints register again within
	// about two seconds.
	outageGrace = 2200 * time.Millisecond
	// invalidGrace is how long an endpoint whose registration was overwritten with something that
	// can't be decoded stays in force. Live endpoints write theirs again within about two seconds.
	invalidGrace = 5 * time.Second
)

// setUpFeed sets the feed's callbacks, which update the registry and the routes.
func (n *Node) setUpFeed(store *feed.Feed) {
	store.Name, store.MinInterval, store.Now, store.Log = "store", minStoreInterval, n.now, n.log
	store.OnList, store.OnChange = n.applyListing, n.applyChanges
	store.Reads = func() bool { return n.board.Duties.Plan().SelfReads }
	store.OnFailure = func(now time.Time, _ error) {
		n.board.Registry.PostponeExpiry(now.Add(outageGrace))
		n.runner.Trigger(itemsName)
	}
	store.Proofs = feed.Proofs{Boot: n.boot, Needed: n.needsProofs, Read: store.Proofs.Read, OnConfirmed: n.confirmRules}
	n.feed = store
}

// applyListing applies a listing of the whole store. Evacuations and
// registrations that are not in the listing are removed.
func (n *Node) applyListing(now time.Time, b feed.Batch, until time.Time) {
	n.board.Registry.RecordReleases(now)
	hosts := n.hostAddresses()
	evacuated := map[string]bool{}
	var list []regis.Endpoint
	for _, c := range b.Changes {
		if c.Centre != "" && c.Evacuated {
			evacuated[c.Centre] = true
		}
		if c.Endpoint != nil {
			list = append(list, n.registered(*c.Endpoint, hosts))
		}
		n.keepInvalid(now, c)
	}
	restored := n.listedAt != 0 && eras.Of(b.Revision) > eras.Of(n.listedAt)
	if restored {
		n.logRestore(b, evacuated)
	}
	n.listedAt = b.Revision
	for _, centre := range n.board.Registry.EvacuatedCentres() {
		switch {
		case evacuated[centre]:
		case restored:
			n.heldEvacuations.hold(centre, heldEvacuation{until: now.Add(evacuationHold), revision: b.Revision})
		case !n.heldEvacuations.holds(now, centre):
			n.setEvacuated(centre, false, b.Revision)
		}
	}
	changed, removed := n.board.Registry.Replace(list, b.Revision, until)
	for _, e := range changed {
		n.endpointChanged(e)
	}
	for _, id := range removed {
		n.log.Info().Str("endpoint", id).Msg("endpoint removed")
	}
	fromPeer := slices.ContainsFunc(b.Changes, func(c feed.Change) bool { return !c.ReadAt.IsZero() })
	n.needsPeers.Store(fromPeer || eras.Of(b.Revision) != 0)
	n.storeListed.Store(true)
	n.applyChanges(now, b, until)
	if !n.learned.Load() {
		n.runner.Trigger(itemsName)
	}
}

// applyChanges applies changes of the store in their order.
func (n *Node) applyChanges(now time.Time, b feed.Batch, until time.Time) {
	n.board.Registry.RecordReleases(now)
	hosts := n.hostAddresses()
	if b.Gap {
		n.board.Registry.ResetReleases(now)
	}
	for _, c := range b.Changes {
		switch {
		case c.Err != nil:
			n.keepInvalid(now, c)
			if !n.warnedItems.due(now, c.Key) {
				continue
			}
			n.log.Warn().Str("key", c.Key).Uint64("revision", eras.Revision(c.Revision)).Err(c.Err).Msg("ignoring a store item that can't be decoded")
		case c.Rules != nil:
			n.applyRules(c)
		case c.Centre != "":
			n.heldEvacuations.release(c.Centre)
			n.setEvacuated(c.Centre, c.Evacuated, c.Revision)
		case c.Endpoint != nil:
			if e := n.registered(*c.Endpoint, hosts); n.board.Registry.Put(e) {
				n.endpointChanged(e)
			}
		case c.RemovedEndpoint != "":
			if n.board.Registry.Remove(c.RemovedEndpoint, c.Revision, until) {
				n.log.Info().Str("endpoint", c.RemovedEndpoint).Uint64("revision", eras.Revision(c.Revision)).Msg("endpoint removed")
			}
		}
	}
	n.board.Registry.RecordReleases(now)
	ids := n.board.Registry.IDs(n.board.Region)
	n.board.Endpoints.Sync(now, ids)
	n.meter.KeepEndpoints(ids)
	n.setReadyOnce()
	n.runner.Trigger(storeStateName)
}

// keepInvalid keeps an endpoint in force for invalidGrace if its registration can't be decoded.
func (n *Node) keepInvalid(now time.Time, c feed.Change) {
	if c.InvalidEndpoint == "" || !n.board.Registry.MarkInvalid(c.InvalidEndpoint, c.Revision, now.Add(invalidGrace)) {
		return
	}
	// The endpoint and the other writer may overwrite each other's item again and again.
	if n.warnedItems.due(now, "kept/"+c.InvalidEndpoint) {
		n.log.Warn().Str("endpoint", c.InvalidEndpoint).Uint64("revision", eras.Revision(c.Revision)).Dur("kept", invalidGrace).
			Msg("registration of an endpoint was overwritten with something that can't be decoded")
	}
}

func (n *Node) applyRules(c feed.Change) {
	n.rulesMu.Lock()
	defer n.rulesMu.Unlock()
	old := n.board.Routes.Rules()
	if n.board.Routes.Apply(c.Rules) {
		n.logCustomers(old, c.Rules)
		n.rulesItem.Store(&wire.Item{Key: c.Key, Value: c.Value, Revision: c.Revision})
		n.meter.Revision.Set(float64(c.Rules.Version))
		// Peer hosts that start compare what the store shows them with this version.
		n.updateSelf()
		// The first rules with customers need a confirmation.
		n.runner.Trigger(proofsName)
		names := c.Rules.RouteNames()
		n.meter.KeepRoutes(names)
		n.applyQuotas(n.now(), c.Rules.Customers())
		n.log.Info().Uint64("version", c.Rules.Version).Int("routes", len(names)).
			Uint64("revision", eras.Revision(c.Revision)).Msg("rules in force")
		return
	}
	if c.Rules.Version < n.board.Routes.Version() {
		n.meter.StaleHeads.Inc()
		n.log.Warn().Uint64("version", c.Rules.Version).Msg("ignoring an older version of the rules")
	}
}

func (n *Node) setEvacuated(centre string, on bool, revision uint64) {
	if !n.board.Registry.SetEvacuated(centre, on, revision) {
		return
	}
	n.log.Info().Str("centre", centre).Bool("evacuated", on).Uint64("revision", eras.Revision(revision)).Msg("evacuation changed")
}

// registered returns a registration with the region of its data centre filled in. One with the address
// of a host gets no requests: the host would send them on.
func (n *Node) registered(e regis.Endpoint, hosts map[netip.AddrPort]bool) regis.Endpoint {
	e.Region = n.settings.Regions[e.Centre]
	if hosts[socket.AddrPort(e.Address)] {
		e.Draining = true
		if n.warnedItems.due(n.now(), "host/"+e.ID) {
			n.log.Warn().Str("endpoint", e.ID).Str("address", e.Address).Msg("registration has the address of a host; it gets no requests")
		}
	}
	return e
}

// hostAddresses returns the addresses at which this host and all known ones accept callers.
func (n *Node) hostAddresses() map[netip.AddrPort]bool {
	out := map[netip.AddrPort]bool{socket.AddrPort(n.settings.Callers): true}
	for _, m := range n.board.Members.Members() {
		out[socket.AddrPort(m.Callers)] = true
	}
	delete(out, netip.AddrPort{})
	return out
}

func (n *Node) endpointChanged(e regis.Endpoint) {
	if stored, ok := n.board.Registry.Get(e.ID); ok {
		now := n.now()
		sent := n.board.Endpoints.RecentRequests(now, e.ID)
		if n.board.Endpoints.SetStart(now, e.ID, stored.Start) {
			// A warning, as the requests may have exceeded the rate limit of a cold endpoint.
			n.log.Warn().Str("endpoint", e.ID).Str("service", e.Service).Int64("born", e.Incarnation).Int("sent", sent).
				Time("cold_until", e.ColdUntil).Msg("endpoint has started again")
		}
		n.proxy.Prefixes.SetStart(n.now(), e.ID, stored.Start)
	}
	if !e.ColdUntil.IsZero() {
		// A cold endpoint has restarted or lost its prefix cache.
		n.proxy.Prefixes.Forget(e.ID)
	}
	ev := n.log.Info().Str("endpoint", e.ID).Str("service", e.Service).Str("address", e.Address).Str("centre", e.Centre).
		Str("release", e.Release).Bool("draining", e.Draining).Int64("born", e.Incarnation).Uint64("revision", eras.Revision(e.Revision))
	if !e.ColdUntil.IsZero() {
		ev = ev.Time("cold_until", e.ColdUntil)
	}
	ev.Msg("endpoint changed")
}

// setReadyOnce marks the host ready as soon as the store has been listed and rules are in force. If
// the store names an era, it may have been restored from an older copy, and if the listing is that
// of a peer host, the store may not show what left since. The host then also waits, for at most
// learnWait, until a peer host has reported what the listing may lack.
func (n *Node) setReadyOnce() {
	if n.needsPeers.Load() && !n.learned.Load() && n.now().Sub(n.started) < learnWait {
		return
	}
	if n.storeListed.Load() && n.board.Routes.Rules() != nil && !n.board.Health.Ready() {
		n.board.Health.SetReady()
		n.log.Info().Uint64("version", n.board.Routes.Version()).Int("endpoints", n.board.Registry.Len()).Msg("host ready")
	}
}
