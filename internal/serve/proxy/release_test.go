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
)

// releaseProxy returns a proxy with an endpoint of each release.
func releaseProxy(now time.Time, releases ...string) *Proxy {
	p := New()
	p.Board = board.New(now, "h", "r", "c", 1)
	p.Log = zerolog.Nop()
	p.Now = func() time.Time { return now }
	p.StoreAge = func(time.Time) time.Duration { return 0 }
	p.AskOrigin = func(origin.Key) {}
	for i, r := range releases {
		p.Board.Registry.Put(regis.Endpoint{ID: "e-" + r, Service: "s", Centre: "c", Region: "r", Slots: 12, Release: r, Revision: uint64(i + 1)})
	}
	p.Board.Registry.RecordReleases(now)
	return p
}

// TestReleaseOfTakenUpStream: a stream goes on at the release that is certain to have begun
// it, and is refused if none is.
func TestReleaseOfTakenUpStream(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	known := origin.Start{Key: origin.KeyOf("begun"), Release: "v1"}
	tests := []struct {
		name     string
		releases []string
		resumes  string
		storeAge time.Duration
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
		{name: "one release in an old view", releases: []string{"v2"}, resumes: "begun", storeAge: 3 * time.Second},
		{name: "old view, known to another host", releases: []string{"v2"}, resumes: "begun", storeAge: 3 * time.Second, remote: true, want: "v1"},
		{name: "two releases, not named", releases: []string{"v1", "v2"}},
	}
	for _, tt := range tests {
		p := releaseProxy(now, tt.releases...)
		p.StoreAge = func(time.Time) time.Duration { return tt.storeAge }
		if tt.local {
			p.Board.Origins.Record(now, known)
		}
		p.AskOrigin = func(key origin.Key) {
			if tt.remote && key == known.Key {
				p.Board.Origins.Record(now, known)
			}
		}
		task := &task{Request: Request{ID: "up", Resumes: tt.resumes, LastEventID: 2, Route: &rules.Route{Kind: rules.Stream}, Service: "s"}}
		refusal := p.setRelease(context.Background(), task)
		switch {
		case tt.want == "" && refusal == nil:
			t.Errorf("%s: goes on at release %q, want a refusal", tt.name, *task.release)
		case tt.want != "" && (refusal != nil || *task.release != tt.want):
			t.Errorf("%s: got release %v, refusal %v, want %s", tt.name, task.release, refusal, tt.want)
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
		{"same release", wire.Head{Endpoint: "e", Release: &v1}, nil},
		{"other release", wire.Head{Endpoint: "e", Release: &v2}, errOtherRelease},
		{"older build, same release", wire.Head{Endpoint: "e-v1"}, nil},
		{"older build, other release", wire.Head{Endpoint: "e-v2"}, errOtherRelease},
		{"older build, unknown endpoint", wire.Head{Endpoint: "e-new"}, errOtherRelease},
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
		p.recordStart(&task{Request: Request{ID: "x", Route: &rules.Route{Kind: rules.Stream, Resumable: true}, Service: "s"}, mayCross: true}, wire.Head{Endpoint: "e-v1"})
		if got := len(p.Board.Origins.TakePending()); got != tt.want {
			t.Errorf("%s: %d streams are announced, want %d", tt.name, got, tt.want)
		}
		if release, ok := p.Board.Origins.Find(now, origin.KeyOf("x")); !ok || release != "v1" {
			t.Errorf("%s: the stream's release is %q, %v, want v1", tt.name, release, ok)
		}
	}
}
