package node

import (
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
)

// The parts of the store that a host must have read before it is ready.
const (
	operatorPart = iota
	endpointPart
)

// registryPace is the least time between two reads of the registrations: they
// change with each heartbeat of each endpoint.
const registryPace = 900 * time.Millisecond

// follow sets the feeds up.
func (n *Node) follow(store Store) {
	op, reg := store.Operator, store.Endpoints
	op.Name, reg.Name = "operator", "endpoints"
	reg.Pace = registryPace
	op.Listed = func(now time.Time, b feed.Batch, _ time.Time) { n.listedOperator(now, b) }
	op.Changed = func(now time.Time, b feed.Batch, _ time.Time) { n.changedOperator(now, b) }
	reg.Listed, reg.Changed = n.listedEndpoints, n.changedEndpoints
	op.Lost = func(time.Time, error) {}
	reg.Lost = func(now time.Time, _ error) { n.board.Registry.Postpone(now.Add(outageGrace)) }
	for _, f := range []*feed.Feed{&op, &reg} {
		f.Now, f.Log = n.now, n.log
		n.feeds = append(n.feeds, f)
	}
}

// outageGrace is how long after the last failed call a registration that vanished
// in an outage is awaited: live ones are back within about two seconds.
const outageGrace = 2200 * time.Millisecond

func (n *Node) listedOperator(now time.Time, b feed.Batch) {
	marked := map[string]bool{}
	for _, c := range b.Changes {
		if c.Centre != "" && c.Evacuated {
			marked[c.Centre] = true
		}
	}
	for _, centre := range n.board.Registry.Marks() {
		if !marked[centre] {
			n.evacuate(centre, false)
		}
	}
	n.listed[operatorPart].Store(true)
	n.changedOperator(now, b)
}

func (n *Node) changedOperator(_ time.Time, b feed.Batch) {
	for _, c := range b.Changes {
		switch {
		case c.Err != nil:
			n.unreadable(c)
		case c.Rules != nil:
			if n.board.Routes.Apply(c.Rules) {
				n.meter.Revision.Set(float64(c.Rules.Version))
				n.log.Info().Uint64("version", c.Rules.Version).Int("routes", c.Rules.Routes()).
					Uint64("revision", c.Revision).Msg("rules in force")
			} else if c.Rules.Version < n.board.Routes.Version() {
				n.meter.StaleHead.Inc()
				n.log.Warn().Uint64("version", c.Rules.Version).Msg("older rules ignored")
			}
		case c.Centre != "":
			n.evacuate(c.Centre, c.Evacuated)
		}
	}
	n.ready()
}

func (n *Node) evacuate(centre string, on bool) {
	n.board.Registry.Evacuate(centre, on)
	n.log.Info().Str("centre", centre).Bool("evacuated", on).Msg("evacuation changed")
}

func (n *Node) unreadable(c feed.Change) {
	n.log.Warn().Str("key", c.Key).Uint64("revision", c.Revision).Err(c.Err).Msg("item can't be read and is ignored")
}

func (n *Node) listedEndpoints(now time.Time, b feed.Batch, until time.Time) {
	var list []regis.Endpoint
	for _, c := range b.Changes {
		switch {
		case c.Err != nil:
			n.unreadable(c)
		case c.Endpoint != nil:
			list = append(list, n.placed(*c.Endpoint))
		}
	}
	changed, gone := n.board.Registry.Replace(list, b.At, until)
	for _, e := range changed {
		n.changedEndpoint(e)
	}
	for _, id := range gone {
		n.log.Info().Str("endpoint", id).Msg("endpoint is gone")
	}
	n.sync(now)
	n.listed[endpointPart].Store(true)
	n.ready()
}

func (n *Node) changedEndpoints(now time.Time, b feed.Batch, until time.Time) {
	for _, c := range b.Changes {
		switch {
		case c.Err != nil:
			n.unreadable(c)
		case c.Endpoint != nil:
			if e := n.placed(*c.Endpoint); n.board.Registry.Put(e) {
				n.changedEndpoint(e)
			}
		case c.Gone != "":
			if n.board.Registry.Remove(c.Gone, c.Revision, until) {
				n.log.Info().Str("endpoint", c.Gone).Uint64("revision", c.Revision).Msg("endpoint is gone")
			}
		}
	}
	n.sync(now)
}

// placed completes a registration with the region of its data centre.
func (n *Node) placed(e regis.Endpoint) regis.Endpoint {
	e.Region = n.settings.Regions[e.Centre]
	return e
}

func (n *Node) changedEndpoint(e regis.Endpoint) {
	ev := n.log.Info().Str("endpoint", e.ID).Str("service", e.Service).Str("address", e.Address).Str("centre", e.Centre).
		Bool("draining", e.Draining).Int64("born", e.Born).Uint64("revision", e.Revision)
	if !e.ColdUntil.IsZero() {
		ev = ev.Time("cold_until", e.ColdUntil)
	}
	ev.Msg("endpoint changed")
}

// sync keeps what is believed of registered endpoints only.
func (n *Node) sync(now time.Time) {
	n.board.Endpoints.Sync(now, n.board.Registry.IDs(n.board.Region))
}

// ready lets the host serve once it has read both parts of the store and rules
// are in force.
func (n *Node) ready() {
	if n.listed[operatorPart].Load() && n.listed[endpointPart].Load() && n.board.Routes.Rules() != nil &&
		!n.board.Pulse.Ready() {
		n.board.Pulse.SetReady()
		n.log.Info().Uint64("version", n.board.Routes.Version()).Int("endpoints", n.board.Registry.Len()).Msg("host ready")
	}
}
