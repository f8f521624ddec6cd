package proxy

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/endpt"
	"github.com/hyssopspindle/hyssopspindle/internal/board/origin"
	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/pool"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
)

const (
	// maxStoreAge is the age of the view of the store up to which it shows all releases
	// that serve.
	maxStoreAge = 2 * time.Second
	// maxStreamAge is the time after its begin within which a stream is resumed at most.
	maxStreamAge = 20 * time.Second
	// minPatience is how long a caller waits for a whole stream at least, as a multiple of its route's
	// timeout. Operators shorten timeouts while callers wait as long as before.
	minPatience = 1.25
	// maxViewAge is how long after its removal from the store a host may still begin a stream at an
	// endpoint.
	maxViewAge = 3 * time.Second
	// askTimeout is how long peer hosts have to tell the release of a stream, a round trip
	// between regions. They are asked askRounds times, as datagrams get lost.
	askTimeout = 150 * time.Millisecond
	askRounds  = 2
	// verifyTimeout bounds the read of the store before a begun stream continues.
	verifyTimeout = 300 * time.Millisecond
)

// errOtherRelease is the error of an answer that continues a stream at another release
// than the one that began it.
var errOtherRelease = errors.New("endpoint has another release than the one that began the stream")

// setRelease sets the release that may continue a stream which the caller resumes. It returns a
// refusal if the release is not known.
func (p *Proxy) setRelease(ctx context.Context, t *task) *fault.Refusal {
	if t.Route.Kind != rules.Stream || t.LastEventID == stream.NoID {
		return nil
	}
	release, source := p.findRelease(ctx, t)
	p.Meter.CountResumed(string(source))
	p.Log.Info().Str("request", t.ID).Str("resumes", cmp.Or(t.Resumes, "none")).Str("service", t.Service).
		Str("release", cmp.Or(release, "none")).Time("releases_known", p.Board.Registry.ReleasesKnown()).Str("outcome", string(source)).Msg("stream resumed")
	if source == releaseUnknown {
		// No host will know the release later, so the caller is not asked to return.
		return fault.New(fault.NoEndpoint, fault.RanNo, "the release that began the stream is not known")
	}
	t.release = &release
	return nil
}

// releaseSource is how the release that began a stream is known.
type releaseSource string

const (
	// releaseRecorded means that this host has a record of the stream, releaseAsked that another had.
	releaseRecorded releaseSource = "known"
	releaseAsked    releaseSource = "asked"
	// releaseOnly means that no other release can have begun the stream, as this host has seen, and
	// releaseHistory that the store's history shows the same.
	releaseOnly    releaseSource = "only"
	releaseHistory releaseSource = "history"
	releaseUnknown releaseSource = "refused"
)

// findRelease returns the release that began a stream and how it is known.
func (p *Proxy) findRelease(ctx context.Context, t *task) (release string, source releaseSource) {
	key := origin.KeyOf(t.Resumes)
	if release, ok := p.Board.Origins.Find(p.Now(), key); ok && t.Resumes != "" {
		return release, releaseRecorded
	}
	if release, source := p.onlyPossibleRelease(ctx, t); source != releaseUnknown {
		return release, source
	}
	if t.Resumes == "" {
		return "", releaseUnknown
	}
	recorded, forget := p.Board.Origins.Await(key)
	defer forget()
	for range askRounds {
		p.AskOrigin(key)
		select {
		case <-recorded:
			release, ok := p.Board.Origins.Find(p.Now(), key)
			if ok {
				return release, releaseAsked
			}
		case <-time.After(askTimeout):
		case <-ctx.Done():
			return "", releaseUnknown
		}
	}
	return "", releaseUnknown
}

// onlyPossibleRelease returns the release of a stream that the caller resumes if the endpoints of
// its service have had no other one since the stream can have begun. The store is read for that:
// another host may have used a release that is too new for this host's view.
func (p *Proxy) onlyPossibleRelease(ctx context.Context, t *task) (string, releaseSource) {
	now := p.Now()
	since := now.Add(-p.patience.streamAge(&t.Request) - maxViewAge)
	if !p.Board.Registry.SeesOneRelease(t.Service, since) {
		return "", releaseUnknown
	}
	source := releaseOnly
	if known := p.Board.Registry.ReleasesKnown(); known.IsZero() || since.Before(known) {
		source = releaseHistory
	}
	if !p.ReadReleases(ctx, since) {
		return "", releaseUnknown
	}
	release, ok := p.Board.Registry.OnlyRelease(t.Service, since)
	if !ok {
		return "", releaseUnknown
	}
	return release, source
}

// maxPatienceRoutes bounds the routes whose callers' patience is kept.
const maxPatienceRoutes = 1024

// patience holds the longest time that callers have stated that they wait, by the name of the route.
// Its lock is a leaf.
type patience struct {
	mu      sync.Mutex
	longest map[string]time.Duration
}

// record records how long the caller of a stream waits. Callers that resume one state less than they
// did at first.
func (p *patience) record(r *Request) {
	if r.Route.Kind != rules.Stream || !r.Route.Resumable {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.longest == nil || len(p.longest) >= maxPatienceRoutes {
		p.longest = map[string]time.Duration{}
	}
	p.longest[r.Route.Name] = max(p.longest[r.Route.Name], r.Patience)
}

// streamAge returns how long ago a stream that a caller resumes can have begun: the caller has some
// of its patience left. In all that is as much as callers of the route have stated, and at least
// minPatience, as a host that has just started has seen few of them.
func (p *patience) streamAge(r *Request) time.Duration {
	if r.Patience <= 0 {
		return maxStreamAge
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	whole := max(p.longest[r.Route.Name], time.Duration(minPatience*float64(r.Route.Timeout)))
	return min(maxStreamAge, max(0, whole-r.Patience))
}

// onlyRelease returns the release of a service's endpoints if they all have had the same, as far as
// a fresh view of the store shows, for as long as streams can be resumed.
func (p *Proxy) onlyRelease(now time.Time, service string) (string, bool) {
	if p.StoreAge(now) > maxStoreAge {
		return "", false
	}
	return p.Board.Registry.OnlyRelease(service, now.Add(-maxStreamAge))
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
	if h.Release() != nil {
		return *h.Release(), true
	}
	e, ok := p.Board.Registry.Get(h.Endpoint())
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

// verifyRelease returns an error if the process that an endpoint's connection leads to may have another
// release than the one that began the stream, as it has started again under the endpoint's id. The
// connection is open, so a read of the registration shows that of this process, unless the process has
// started too recently. If there is no answer, an endpoint counts as the same if no attempt of this
// host failed there since its last view.
func (p *Proxy) verifyRelease(ctx context.Context, e regis.Endpoint, c pool.Contact) error {
	now := p.Now()
	age := p.StoreAge(now)
	// A process that has just started is cold, and announces it before its registration shows it.
	suspected := func() bool {
		why, first := p.Board.Endpoints.RestartSuspected(p.Now(), e.ID, age)
		current, _ := p.Board.Registry.Get(e.ID)
		return (why == endpt.Ended || current.ColdReason(p.Now()) == regis.ColdAnnounced) && !c.Opened.Before(first)
	}
	if s := p.service(e.Service); s.ColdRate > 0 && s.HealthPath != "" && suspected() {
		if p.CheckWarm(ctx, e); suspected() {
			return fmt.Errorf("%w: it may have started again", errOtherRelease)
		}
	}
	if age <= maxStoreAge {
		ctx, cancel := context.WithTimeout(ctx, verifyTimeout)
		defer cancel()
		if same, err := p.VerifyEndpoint(ctx, e); err == nil && !same {
			return fmt.Errorf("%w: it has started again", errOtherRelease)
		} else if err == nil {
			return nil
		}
	}
	if p.Board.Endpoints.FailedWithin(p.Now(), e.ID, age) {
		return fmt.Errorf("%w: it failed since the last view of the store", errOtherRelease)
	}
	return nil
}

// mayServe reports whether an endpoint may get the request: it accepts requests and has
// the release that began the stream.
func (p *Proxy) mayServe(t *task, e regis.Endpoint) bool {
	return p.acceptsRequests(e) && (t.release == nil || *t.release == e.Release)
}
