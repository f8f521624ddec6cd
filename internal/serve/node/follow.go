package node

import (
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
)

const (
	// storePace is the least time between two reads of the store, which changes
	// with each heartbeat of each endpoint.
	storePace = 900 * time.Millisecond
	// outageGrace is how long after the last failed call a registration that
	// vanished in an outage is awaited: live ones are back within about two seconds.
	outageGrace = 2200 * time.Millisecond
)

// follow sets the feed up.
func (n *Node) follow(store *feed.Feed) {
	store.Name, store.Pace, store.Now, store.Log = "store", storePace, n.now, n.log
	store.Listed, store.Changed = n.storeListed, n.storeChanged
	store.Lost = func(now time.Time, _ error) {
		n.board.Registry.Postpone(now.Add(outageGrace))
		n.runner.Kick(askName)
	}
	n.feed = store
}

// storeListed takes the whole store in: what it lacks is gone.
func (n *Node) storeListed(now time.Time, b feed.Batch, until time.Time) {
	marked := map[string]bool{}
	var list []regis.Endpoint
	for _, c := range b.Changes {
		if c.Centre != "" && c.Evacuated {
			marked[c.Centre] = true
		}
		if c.Endpoint != nil {
			list = append(list, n.placed(*c.Endpoint))
		}
	}
	for _, centre := range n.board.Registry.Marks() {
		if !marked[centre] {
			n.evacuate(centre, false, b.At)
		}
	}
	changed, gone := n.board.Registry.Replace(list, b.At, until)
	for _, e := range changed {
		n.endpointChanged(e)
	}
	for _, id := range gone {
		n.log.Info().Str("endpoint", id).Msg("endpoint is gone")
	}
	n.listed.Store(true)
	n.storeChanged(now, b, until)
}

// storeChanged takes changes in.
func (n *Node) storeChanged(now time.Time, b feed.Batch, until time.Time) {
	for _, c := range b.Changes {
		switch {
		case c.Err != nil:
			n.log.Warn().Str("key", c.Key).Uint64("revision", c.Revision).Err(c.Err).Msg("item can't be read and is ignored")
		case c.Rules != nil:
			n.applyRules(c)
		case c.Centre != "":
			n.evacuate(c.Centre, c.Evacuated, c.Revision)
		case c.Endpoint != nil:
			if e := n.placed(*c.Endpoint); n.board.Registry.Put(e) {
				n.endpointChanged(e)
			}
		case c.Gone != "":
			if n.board.Registry.Remove(c.Gone, c.Revision, until) {
				n.log.Info().Str("endpoint", c.Gone).Uint64("revision", c.Revision).Msg("endpoint is gone")
			}
		}
	}
	n.board.Endpoints.Sync(now, n.board.Registry.IDs(n.board.Region))
	n.ready()
}

func (n *Node) applyRules(c feed.Change) {
	if n.board.Routes.Apply(c.Rules) {
		n.meter.Revision.Set(float64(c.Rules.Version))
		names := c.Rules.RouteNames()
		n.meter.Routes(names)
		n.log.Info().Uint64("version", c.Rules.Version).Int("routes", len(names)).
			Uint64("revision", c.Revision).Msg("rules in force")
		return
	}
	if c.Rules.Version < n.board.Routes.Version() {
		n.meter.StaleHead.Inc()
		n.log.Warn().Uint64("version", c.Rules.Version).Msg("older rules ignored")
	}
}

func (n *Node) evacuate(centre string, on bool, revision uint64) {
	if !n.board.Registry.Evacuate(centre, on, revision) {
		return
	}
	n.log.Info().Str("centre", centre).Bool("evacuated", on).Uint64("revision", revision).Msg("evacuation changed")
}

// placed completes a registration with the region of its data centre.
func (n *Node) placed(e regis.Endpoint) regis.Endpoint {
	e.Region = n.settings.Regions[e.Centre]
	return e
}

func (n *Node) endpointChanged(e regis.Endpoint) {
	if !e.ColdUntil.IsZero() {
		// It started or lost what it kept.
		n.carrier.Keeps.Forget(e.ID)
	}
	ev := n.log.Info().Str("endpoint", e.ID).Str("service", e.Service).Str("address", e.Address).Str("centre", e.Centre).
		Bool("draining", e.Draining).Int64("born", e.Born).Uint64("revision", e.Revision)
	if !e.ColdUntil.IsZero() {
		ev = ev.Time("cold_until", e.ColdUntil)
	}
	ev.Msg("endpoint changed")
}

// ready lets the host serve once it has read the store and rules are in force.
func (n *Node) ready() {
	if n.listed.Load() && n.board.Routes.Rules() != nil && !n.board.Pulse.Ready() {
		n.board.Pulse.SetReady()
		n.log.Info().Uint64("version", n.board.Routes.Version()).Int("endpoints", n.board.Registry.Len()).Msg("host ready")
	}
}
