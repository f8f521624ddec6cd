package proxy

import (
	"context"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/endpt"
	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
)

// recordOpened records that a connection to an endpoint was opened.
func (p *Proxy) recordOpened(e regis.Endpoint) {
	if p.Board.Paths.RecordOpened(p.Now(), e.ID) {
		p.Log.Info().Str("endpoint", e.ID).Str("service", e.Service).Msg("endpoint is reachable again")
	}
}

// recordUnreachable records that no connection to an endpoint could be opened.
func (p *Proxy) recordUnreachable(e regis.Endpoint, err error) {
	if p.Board.Paths.RecordFailed(p.Now(), e.ID) {
		// What is sent on an idle connection now may be lost.
		p.Client.Pool.CloseIdle(e.Address)
		if p.Board.CutHosts.SelfCut() {
			p.Client.Pool.Interrupt(e.Address)
		}
		p.Log.Info().Str("endpoint", e.ID).Str("service", e.Service).AnErr("cause", err).Msg("endpoint is unreachable")
	}
}

// CheckPaths opens connections to the endpoints of the region of which it is not known whether
// they can be reached.
func (p *Proxy) CheckPaths(ctx context.Context, now time.Time) {
	ids := p.Board.Registry.IDs(p.Board.Region)
	p.Meter.UnreachableEndpoints.Set(float64(p.Board.Paths.Sync(ids)))
	var wg sync.WaitGroup
	for _, id := range p.Board.Paths.Due(now, ids) {
		e, ok := p.Board.Registry.Get(id)
		if !ok {
			continue
		}
		wg.Go(func() {
			reachable, known := p.Client.Pool.Check(ctx, e.Address)
			switch {
			case reachable:
				p.recordOpened(e)
			case known:
				p.suspectRestart(e, endpt.Ended, p.Now())
				p.recordUnreachable(e, nil)
			}
		})
	}
	wg.Wait()
}

// LeaveUnreachable lets the attempts at endpoints that this host can't reach decide anew whether
// they wait on. It is for a host that is cut off: a single endpoint may only be silent.
func (p *Proxy) LeaveUnreachable() {
	for _, id := range p.Board.Registry.IDs(p.Board.Region) {
		if e, ok := p.Board.Registry.Get(id); ok && !p.Board.Paths.Reachable(id) {
			p.Client.Pool.Interrupt(e.Address)
		}
	}
}
