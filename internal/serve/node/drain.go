package node

import (
	"context"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/ctrl"
)

const (
	// acceptTime is how long a draining host still accepts new requests, because
	// callers keep using open connections and cached directory answers. The rest of
	// the grace period is for in-flight requests. It is less than 3 s, the time for which
	// requests are certain to have enough of that rest, as a request is read some time
	// after it was sent, and the signal is handled some time after it was.
	acceptTime = 2800 * time.Millisecond
	// idleTime is how long a draining host must have no in-flight requests before
	// Drain returns.
	idleTime = 700 * time.Millisecond
	// closeMargin is the part of the grace period that is reserved for the end of the requests in
	// flight and for Close.
	closeMargin = 1200 * time.Millisecond
	// endTime is how long the requests in flight have at most to be answered once they are ended.
	endTime = 400 * time.Millisecond
)

// drain is a planned stop that has begun.
type drain struct {
	lastBusy time.Time
	// end is when the host closes at the latest, accept until when it accepts requests.
	end    time.Time
	accept time.Time
	// refuse makes the host refuse requests from now on.
	refuse func()
	// open returns the number of requests that are in progress.
	open func() int
}

// newDrain returns a drain that begins now and leaves closeMargin of a grace period.
func newDrain(now time.Time, grace time.Duration, refuse func(), open func() int) *drain {
	length := grace - closeMargin
	return &drain{
		lastBusy: now, end: now.Add(length), accept: now.Add(min(acceptTime, length-idleTime)),
		refuse: refuse, open: open,
	}
}

// done reports whether the host may be closed.
func (d *drain) done(now time.Time) bool {
	refusing := now.After(d.accept)
	if refusing {
		// Before the look, so that each request that was accepted is among those in progress.
		d.refuse()
	}
	if d.open() > 0 {
		d.lastBusy = now
	}
	return now.After(d.end) || (refusing && now.Sub(d.lastBusy) > idleTime)
}

// Drain prepares the host for Close: it reports not ready, accepts new requests for
// acceptTime and then refuses them. It returns once the host is idle, or before the
// grace period ends, with the requests in flight ended.
func (n *Node) Drain(ctx context.Context) {
	n.board.Health.SetLeaving()
	n.updateSelf()
	n.sendPackets(n.board.Members.Announce(true))
	n.log.Info().Int("open", n.board.Health.InFlight()).Msg("host is draining")
	d := newDrain(n.now(), n.settings.Bounds.GracePeriod(), func() { n.refusing.Store(true) }, func() int {
		// A request that has begun to arrive gets an answer: served, or a refusal, which states
		// that it has not run, as a closed connection would not.
		return n.board.Health.InFlight() + n.front.OpenRequests()
	})
	n.proxy.CloseAt(d.end)
	for ctx.Err() == nil && !d.done(n.now()) {
		ctrl.Sleep(ctx, drainPollPeriod)
	}
	n.endRequests(ctx, d.open)
}

// endRequests ends the requests in flight and waits until they are answered, for at most endTime. open
// returns their number.
func (n *Node) endRequests(ctx context.Context, open func() int) {
	if count := open(); count > 0 {
		n.log.Info().Int("open", count).Msg("ending the requests in flight")
	}
	n.proxy.EndRequests()
	// A request that waits behind another one on a connection is open a moment after that is answered.
	for idle, end := 0, n.now().Add(endTime); ctx.Err() == nil && idle < 2 && n.now().Before(end); {
		if idle++; open() > 0 {
			idle = 0
		}
		ctrl.Sleep(ctx, drainPollPeriod)
	}
}
