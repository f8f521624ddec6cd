package proxy

import (
	"context"
	"errors"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/origin"
	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
)

const (
	// maxStoreAge is the age of the view of the store up to which it shows all releases
	// that serve.
	maxStoreAge = 2 * time.Second
	// askTimeout is how long peer hosts have to tell the release of a stream, a round trip
	// between regions. They are asked askRounds times, as datagrams get lost.
	askTimeout = 150 * time.Millisecond
	askRounds  = 2
)

// errOtherRelease is the error of an answer that continues a stream at another release
// than the one that began it.
var errOtherRelease = errors.New("endpoint has another release than the one that began the stream")

// setRelease sets the release that may continue a stream which the caller takes up. It
// returns a refusal if the release is not known.
func (p *Proxy) setRelease(ctx context.Context, t *task) *fault.Refusal {
	if t.Route.Kind != rules.Stream || t.LastEventID == stream.NoID {
		return nil
	}
	release, from := p.findRelease(ctx, t)
	p.Log.Info().Str("request", t.ID).Str("resumes", t.Resumes).Str("service", t.Service).Str("release", release).Str("outcome", from).Msg("stream taken up")
	if from == "" {
		return fault.New(fault.NoEndpoint, fault.RanNo, "the release that began the stream is not known").WithRetryAfter(defaultRetryAfter)
	}
	t.release = &release
	return nil
}

// findRelease returns the release that began a stream and how it is known, empty if it is
// not.
func (p *Proxy) findRelease(ctx context.Context, t *task) (release, from string) {
	key := origin.KeyOf(t.Resumes)
	if release, ok := p.Board.Origins.Find(p.Now(), key); ok && t.Resumes != "" {
		return release, "known"
	}
	if release, ok := p.onlyRelease(p.Now(), t.Service); ok {
		return release, "only release"
	}
	if t.Resumes == "" {
		return "", ""
	}
	recorded, forget := p.Board.Origins.Await(key)
	defer forget()
	for range askRounds {
		p.AskOrigin(key)
		select {
		case <-recorded:
			release, ok := p.Board.Origins.Find(p.Now(), key)
			if ok {
				return release, "told"
			}
		case <-time.After(askTimeout):
		case <-ctx.Done():
			return "", ""
		}
	}
	return "", ""
}

// onlyRelease returns the release of a service's endpoints if they all have the same, as
// far as a fresh view of the store shows.
func (p *Proxy) onlyRelease(now time.Time, service string) (string, bool) {
	if p.StoreAge(now) > maxStoreAge {
		return "", false
	}
	return p.Board.Registry.OnlyRelease(service)
}

// recordStart records the release that began the stream of an answer with the head h, and
// has it announced to other hosts unless any of them would know.
func (p *Proxy) recordStart(t *task, h wire.Head) {
	if t.release != nil {
		return
	}
	release, ok := p.releaseOf(h)
	if !ok {
		return
	}
	t.release = &release
	if !t.Route.Resumable {
		return
	}
	now, start := p.Now(), origin.Start{Key: origin.KeyOf(t.ID), Release: release}
	if _, only := p.onlyRelease(now, t.Service); only || !t.mayCross {
		p.Board.Origins.Record(now, start)
		return
	}
	p.Board.Origins.Begin(now, start)
}

// releaseOf returns the release of the endpoint that sent an answer, and false if it is not
// known.
func (p *Proxy) releaseOf(h wire.Head) (string, bool) {
	if h.Release != nil {
		return *h.Release, true
	}
	e, ok := p.Board.Registry.Get(h.Endpoint)
	return e.Release, ok
}

// checkRelease returns errOtherRelease if an answer of another region would continue the
// stream at another release: a host of an older build does not know the restriction.
func (p *Proxy) checkRelease(t *task, h wire.Head) error {
	if t.release == nil || t.Route.Kind != rules.Stream {
		return nil
	}
	if release, ok := p.releaseOf(h); !ok || release != *t.release {
		return errOtherRelease
	}
	return nil
}

// mayServe reports whether an endpoint may get the request: it accepts requests and has
// the release that began the stream.
func (p *Proxy) mayServe(t *task, e regis.Endpoint) bool {
	return p.acceptsRequests(e) && (t.release == nil || *t.release == e.Release)
}
