package proxy

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/board/origin"
	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
)

// releaseProxy returns a proxy with an endpoint of each release.
func releaseProxy(now time.Time, releases ...string) *Proxy {
	p := New()
	p.Board = board.New(now, "h", "r", "c", 1)
	p.Log = zerolog.Nop()
	p.Now = func() time.Time { return now }
	p.StoreAge = func(time.Time) time.Duration { return 0 }
	p.AskOrigin = func(origin.Key) {}
	p.ReadReleases = func(context.Context, time.Time) bool { return true }
	p.Meter = meter.New()
	p.Board.Registry.ResetReleases(now.Add(-time.Minute))
	for i, r := range releases {
		p.Board.Registry.Put(regis.Endpoint{ID: "e-" + r, Service: "s", Centre: "c", Region: "r", Slots: 12, Release: r, Revision: uint64(i + 1)})
	}
	p.Board.Registry.RecordReleases(now)
	return p
}

// TestReleaseOfResumedStream: a stream continues at the release that is certain to have begun
// it, and is refused if none is.
func TestReleaseOfResumedStream(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	known := origin.Start{Key: origin.KeyOf("begun"), Release: "v1"}
	tests := []struct {
		name     string
		releases []string
		resumes  string
		// fresh reports whether this host has just started, noStore whether it can't read the store.
		fresh, noStore bool
		// past is a release that a read of the store shows besides.
		past string
		// local and remote report whether this host knows the stream, and whether another does.
		local, remote bool
		want          string
	}{
		{name: "known here", releases: []string{"v1", "v2"}, resumes: "begun", local: true, want: "v1"},
		{name: "known to another host", releases: []string{"v1", "v2"}, resumes: "begun", remote: true, want: "v1"},
		{name: "known to no host", releases: []string{"v1", "v2"}, resumes: "begun"},
		{name: "one release", releases: []string{"v2"}, resumes: "begun", want: "v2"},
		{name: "one release, not named", releases: []string{"v2"}, want: "v2"},
		{name: "one release, known here", releases: []string{"v2"}, resumes: "begun", local: true, want: "v1"},
		{name: "one release, store away", releases: []string{"v2"}, resumes: "begun", noStore: true},
		{name: "store away, known to another host", releases: []string{"v2"}, resumes: "begun", noStore: true, remote: true, want: "v1"},
		{name: "one release at a fresh host without history", releases: []string{"v2"}, resumes: "begun", fresh: true, noStore: true},
		{name: "fresh host, history shows one release", releases: []string{"v2"}, resumes: "begun", fresh: true, want: "v2"},
		{name: "fresh host, history shows another release that left", releases: []string{"v2"}, resumes: "begun", fresh: true, past: "v1"},
		{name: "fresh host, the same, known to another host", releases: []string{"v2"}, resumes: "begun", fresh: true, past: "v1", remote: true, want: "v1"},
		{name: "release that is too new for this host's view", releases: []string{"v1"}, resumes: "begun", past: "v2"},
		{name: "two releases, not named", releases: []string{"v1", "v2"}},
	}
	for _, tt := range tests {
		p := releaseProxy(now, tt.releases...)
		if tt.fresh {
			p.Board.Registry.ResetReleases(now)
		}
		p.ReadReleases = func(_ context.Context, since time.Time) bool {
			if tt.noStore {
				return false
			}
			var list []regis.Registered
			if tt.past != "" {
				list = append(list, regis.Registered{Service: "s", Release: tt.past, Last: now})
			}
			return p.Board.Registry.AddReleases(since, p.Board.Registry.ReleasesKnown(), list)
		}
		if tt.local {
			p.Board.Origins.Record(now, known)
		}
		p.AskOrigin = func(key origin.Key) {
			if tt.remote && key == known.Key {
				p.Board.Origins.Record(now, known)
			}
		}
		task := &task{Request: Request{ID: "up", Resumes: tt.resumes, LastEventID: 2, Route: &rules.Route{Kind: rules.Stream, Timeout: 5 * time.Second}, Patience: 2 * time.Second, Service: "s"}}
		refusal := p.setRelease(context.Background(), task)
		switch {
		case tt.want == "" && refusal == nil:
			t.Errorf("%s: goes on at release %q, want a refusal", tt.name, *task.release)
		case tt.want != "" && (refusal != nil || *task.release != tt.want):
			t.Errorf("%s: got release %v, refusal %v, want %s", tt.name, task.release, refusal, tt.want)
		}
	}
}

// TestStreamAge: a stream can have begun as long ago as its caller waits in all, less what is left.
func TestStreamAge(t *testing.T) {
	for _, tt := range []struct {
		name                           string
		timeout, longest, stated, want time.Duration
	}{
		{"caller's time is the timeout", 5 * time.Second, 0, 2 * time.Second, 4250 * time.Millisecond},
		{"operator has shortened the timeout", time.Second, 5 * time.Second, 2 * time.Second, 3 * time.Second},
		{"long streams", 30 * time.Second, 0, 2 * time.Second, maxStreamAge},
		{"caller states nothing", time.Second, 0, 0, maxStreamAge},
	} {
		var p patience
		route := &rules.Route{Name: "r", Kind: rules.Stream, Resumable: true, Timeout: tt.timeout}
		p.record(&Request{Route: route, Patience: tt.longest})
		p.record(&Request{Route: route, Patience: tt.stated})
		if got := p.streamAge(&Request{Route: route, Patience: tt.stated}); got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.name, got, tt.want)
		}
	}
}

// TestOlderBuildContinuesOtherRelease: an answer of a relay that does not know releases is
// checked by its endpoint, and is not passed on if that is unknown.
func TestOlderBuildContinuesOtherRelease(t *testing.T) {
	p := releaseProxy(time.Unix(1_000_000, 0), "v1", "v2")
	v1, v2 := "v1", "v2"
	task := &task{Request: Request{Route: &rules.Route{Kind: rules.Stream}}, release: &v1}
	for _, tt := range []struct {
		name string
		head wire.Head
		want error
	}{
		{"same release", wire.Head{}.WithEndpoint("e").WithRelease(v1), nil},
		{"other release", wire.Head{}.WithEndpoint("e").WithRelease(v2), errOtherRelease},
		{"older build, same release", wire.Head{}.WithEndpoint("e-v1"), nil},
		{"older build, other release", wire.Head{}.WithEndpoint("e-v2"), errOtherRelease},
		{"older build, unknown endpoint", wire.Head{}.WithEndpoint("e-new"), errOtherRelease},
	} {
		if err := p.checkRelease(task, tt.head); !errors.Is(err, tt.want) {
			t.Errorf("%s: got error %v, want %v", tt.name, err, tt.want)
		}
	}
}

// TestOnlyNeededStartsAreAnnounced: while all endpoints have one release, no host needs to
// be told which one began a stream.
func TestOnlyNeededStartsAreAnnounced(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	for _, tt := range []struct {
		name     string
		releases []string
		storeAge time.Duration
		want     int
	}{
		{"one release", []string{"v1"}, 0, 0},
		{"one release in an old view", []string{"v1"}, 3 * time.Second, 1},
		{"two releases", []string{"v1", "v2"}, 0, 1},
	} {
		p := releaseProxy(now, tt.releases...)
		p.StoreAge = func(time.Time) time.Duration { return tt.storeAge }
		p.recordStart(&task{Request: Request{ID: "x", Route: &rules.Route{Kind: rules.Stream, Resumable: true}, Service: "s"}, mayCross: true}, wire.Head{}.WithEndpoint("e-v1"))
		if got := len(p.Board.Origins.TakePending()); got != tt.want {
			t.Errorf("%s: %d streams are announced, want %d", tt.name, got, tt.want)
		}
		if release, ok := p.Board.Origins.Find(now, origin.KeyOf("x")); !ok || release != "v1" {
			t.Errorf("%s: the stream's release is %q, %v, want v1", tt.name, release, ok)
		}
	}
}
