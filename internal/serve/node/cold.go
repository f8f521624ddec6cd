package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/endpt"
	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/route/split"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/pool"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
)

const (
	coldCheckPeriod = 100 * time.Millisecond
	// minCheckInterval is the least time between two checks of an endpoint by one host.
	// With several hosts in a region it is at least hostCheckInterval for each of them.
	minCheckInterval  = 300 * time.Millisecond
	hostCheckInterval = 150 * time.Millisecond
	// usedCheckInterval is the least time between two checks of an endpoint by a host that may be cut
	// off and has sent it requests since the last one.
	usedCheckInterval = 100 * time.Millisecond
	// checkTail is how long endpoints are still checked once the store answers again: they
	// may not have been able to write before.
	checkTail = 2500 * time.Millisecond
	// maxRestartChecks bounds the checks of an endpoint that may have started again, per second by all
	// hosts of its region together.
	maxRestartChecks = 30
	// checkTimeout bounds a check; endpoints answer in a few milliseconds.
	checkTimeout = 300 * time.Millisecond
	// maxHealthBytes bounds the body of an answer to a check, maxWarmUp the time for which
	// an endpoint counts as cold by one answer.
	maxHealthBytes = 64 << 10
	maxWarmUp      = time.Minute
)

// restartChecks holds when the endpoints that may have started again were last checked, by id.
type restartChecks map[string]time.Time

// due returns the endpoints to check now, of those that may have started again and whose requests depend
// on it. hosts is the number of hosts of the region, which notice a restart each by itself.
func (c restartChecks) due(now time.Time, wanted []string, hosts int) []string {
	interval := max(usedCheckInterval, time.Duration(hosts)*time.Second/maxRestartChecks)
	var out []string
	for _, id := range wanted {
		if last, ok := c[id]; !ok || now.Sub(last) >= interval {
			c[id] = now
			out = append(out, id)
		}
	}
	for id, last := range c {
		if now.Sub(last) >= interval {
			delete(c, id)
		}
	}
	return out
}

// coldChecks decides when to ask endpoints whether they are cold. The store says so as long
// as it can be read; an endpoint that becomes cold meanwhile fails under the usual load.
type coldChecks struct {
	// endpoints holds the endpoints whose state may be unknown, by id.
	endpoints map[string]coldCheck
}

type coldCheck struct {
	// unsureUntil is the time until which the endpoint is checked, next that of its next
	// check.
	unsureUntil time.Time
	next        time.Time
	last        time.Time
}

// hasten makes the check of an endpoint due as soon as an interval has passed since the last one.
func (c *coldChecks) hasten(id string, interval time.Duration) {
	check, ok := c.endpoints[id]
	if at := check.last.Add(interval); ok && at.Before(check.next) {
		check.next = at
		c.endpoints[id] = check
	}
}

// due returns the endpoints to check now, given those whose state the store does not say
// at present. hosts is the number of hosts of the region, which share the checks and what
// they learn; random returns a number in [0, 1) that spreads their first checks.
func (c *coldChecks) due(now time.Time, unsure []string, hosts int, random func() float64) []string {
	interval := max(minCheckInterval, time.Duration(hosts)*hostCheckInterval)
	for _, id := range unsure {
		check, known := c.endpoints[id]
		if !known {
			check.next = now.Add(time.Duration(random() * float64(interval-minCheckInterval)))
		}
		check.unsureUntil = now.Add(checkTail)
		if c.endpoints == nil {
			c.endpoints = map[string]coldCheck{}
		}
		c.endpoints[id] = check
	}
	var out []string
	for id, check := range c.endpoints {
		switch {
		case !now.Before(check.unsureUntil):
			delete(c.endpoints, id)
		case !now.Before(check.next):
			check.next, check.last = now.Add(interval), now
			c.endpoints[id] = check
			out = append(out, id)
		}
	}
	return out
}

// checkCold asks endpoints of the region whether they are cold while the store does not
// say so: it can't be read, their registrations lapsed, or they may have started again.
func (n *Node) checkCold(now time.Time) {
	_, unreachable := n.feed.Unreachable(now)
	view := n.splitView(now)
	unreachable = unreachable || view.Side() != split.Whole
	unsure, restarted := n.doubtfulEndpoints(now, unreachable, view.Age)
	if len(unsure) == 0 && len(n.coldChecks.endpoints) == 0 && len(restarted) == 0 {
		return
	}
	hosts := n.regionHosts()
	due := n.restartChecks.due(now, restarted, hosts)
	if view.Side() != split.Whole {
		// Other hosts do not check, or this host does not learn of it.
		hosts = 1
		for _, id := range unsure {
			if n.board.Endpoints.UsedSinceWarm(now, id) > 0 {
				n.coldChecks.hasten(id, usedCheckInterval)
			}
		}
	}
	due = append(due, n.coldChecks.due(now, unsure, hosts, rand.Float64)...)
	slices.Sort(due)
	var wait sync.WaitGroup
	for _, id := range slices.Compact(due) {
		e, ok := n.board.Registry.Get(id)
		if path := n.healthPath(e); ok && path != "" {
			wait.Go(func() { n.askCold(e, path) })
		}
	}
	wait.Wait()
}

// doubtfulEndpoints returns the endpoints of the region whose state the store does not show, and those that
// may have started again and have requests that depend on it.
func (n *Node) doubtfulEndpoints(now time.Time, unreachable bool, viewAge time.Duration) (unsure, restarted []string) {
	for _, id := range n.board.Registry.IDs(n.board.Region) {
		if e, ok := n.board.Registry.Get(id); ok && (unreachable || e.Lapsed) {
			unsure = append(unsure, id)
		}
		if why, _ := n.board.Endpoints.RestartSuspected(now, id, viewAge); why != endpt.NotSuspected && n.board.Endpoints.CheckWanted(now, id) {
			restarted = append(restarted, id)
		}
	}
	return unsure, restarted
}

// regionHosts returns the number of hosts of the region, this one included.
func (n *Node) regionHosts() int {
	hosts := 1
	for _, m := range n.board.Members.Members() {
		if m.Region == n.board.Region && m.State != wire.Left {
			hosts++
		}
	}
	return hosts
}

// healthPath returns the path of an endpoint's health checks, empty if it is not checked: it
// gets no requests, as it asked for a pause for example, or as many while it is cold.
func (n *Node) healthPath(e regis.Endpoint) string {
	inForce := n.board.Routes.Rules()
	if inForce == nil || e.Draining || n.board.Registry.Evacuated(e.Centre) {
		return ""
	}
	state := n.board.Endpoints.Get(e.ID)
	s, ok := inForce.Service(e.Service)
	if !ok || s.ColdRate == 0 || state.PauseDelay(n.now()) > 0 {
		return ""
	}
	return s.HealthPath
}

// checkWarm asks an endpoint whether it is cold, for a request that waits for the answer. Requests that wait
// at the same time share a check.
func (n *Node) checkWarm(ctx context.Context, e regis.Endpoint) {
	path := n.healthPath(e)
	if path == "" {
		return
	}
	done := n.warmChecks.DoChan(e.ID, func() (any, error) {
		n.askCold(e, path)
		return nil, nil
	})
	select {
	case <-done:
	case <-ctx.Done():
	}
}

// askCold asks an endpoint whether it is cold.
func (n *Node) askCold(e regis.Endpoint, path string) {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	var id, cold string
	terms := n.proxy.Terms
	sink := client.Sink{
		Head: func(h wire.Head) error {
			for _, f := range h.Fields() {
				switch f.Name {
				case terms.EndpointID:
					id = f.Value
				case terms.ColdTime:
					cold = f.Value
				}
			}
			return nil
		},
		Data: func([]byte) error { return nil },
	}
	now := n.now()
	out := n.proxy.Client.Do(ctx, pool.Attempt{
		Address: e.Address, Method: http.MethodGet, Target: path, Host: e.Address, Deadline: now.Add(checkTimeout),
		LastEventID: stream.NoID, MaxAnswerBytes: maxHealthBytes,
	}, sink)
	n.proxy.RecordEnd(e, out)
	if id == e.ID && out.Status == http.StatusOK && (cold == "" || cold == "0") {
		n.board.Endpoints.ConfirmWarm(now, e.ID)
		return
	}
	if id != e.ID || cold == "" {
		n.log.Debug().Str("endpoint", e.ID).Str("answered", id).Int("status", out.Status).AnErr("cause", out.Err).Msg("endpoint checked")
		return
	}
	ms, err := strconv.ParseFloat(cold, 64)
	if err != nil || !(ms >= 0) {
		n.log.Warn().Str("endpoint", e.ID).Str("value", cold).Msg("ignoring a malformed warm-up time")
		return
	}
	n.markCold(now, regis.Cold{ID: e.ID, Incarnation: e.Incarnation, Until: now.Add(min(maxWarmUp, time.Duration(min(ms, 1e9)*float64(time.Millisecond))))}, "")
}

// markCold records that an endpoint announced that it is cold, to this host or to a peer.
func (n *Node) markCold(now time.Time, c regis.Cold, peer string) {
	if n.board.Registry.MarkCold(c, peer == "") {
		n.log.Info().Str("endpoint", c.ID).Int64("born", c.Incarnation).Dur("cold", c.Until.Sub(now)).Str("peer", peer).Msg("endpoint announces that it is cold")
	}
}

// toWireCold returns the first of the cold endpoints in the form of packets.
func toWireCold(now time.Time, list []regis.Cold) []wire.ColdEndpoint {
	var out []wire.ColdEndpoint
	for _, c := range list[:min(len(list), maxPacketCold)] {
		out = append(out, wire.ColdEndpoint{Endpoint: c.ID, Life: c.Incarnation, RemainingMS: uint32(c.Until.Sub(now).Milliseconds())})
	}
	return out
}

// receiveCold marks the endpoints that announced to a peer host of the region that they are
// cold.
func (n *Node) receiveCold(now time.Time, from string, list []wire.ColdEndpoint) {
	for _, c := range list {
		until := now.Add(min(maxWarmUp, time.Duration(c.RemainingMS)*time.Millisecond))
		n.markCold(now, regis.Cold{ID: c.Endpoint, Incarnation: c.Life, Until: until}, from)
	}
}
