package node

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/base/ctrl"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
	"github.com/hyssopspindle/hyssopspindle/platform"
	"github.com/hyssopspindle/hyssopspindle/platform/stand"
)

const (
	restartBeat = 40 * time.Millisecond
	// restartTimeout is that of the route, resumePatience what callers have left when they resume.
	// Releases count that were registered within resumeWindow.
	restartTimeout = 2 * time.Second
	resumePatience = 1500 * time.Millisecond
	resumeWindow   = 4 * time.Second
)

// restartFleet is a fleet of hosts on a stand-in of the store in which endpoints renew their
// registrations.
type restartFleet struct {
	*fleet
	platform *stand.Store
	releases map[string]string
	stop     map[string]context.CancelFunc
	// wrap changes the feed of a host before its start; it may be nil.
	wrap func(name string, store *feed.Feed)
}

func startRestartFleet(t *testing.T) *restartFleet {
	t.Helper()
	store, err := stand.New(stand.WithoutEra())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Close() })
	f := &restartFleet{
		fleet:    &fleet{t: t, log: &logRecorder{}, nodes: map[string]*Node{}, endpoints: map[string]*routed.Endpoint{}},
		platform: store, releases: map[string]string{}, stop: map[string]context.CancelFunc{},
	}
	store.Publish(7, []string{"model"}, stand.Route{
		Name: "stream", Host: "h", Prefix: "/stream/", Service: "model", Kind: stand.KindStream, Timeout: restartTimeout, Attempts: 2, Resumable: true, Public: true,
	})
	return f
}

// addEndpoint starts an endpoint of a release, which renews its registration until it is removed.
func (f *restartFleet) addEndpoint(id, release string) {
	f.t.Helper()
	e, err := routed.New(id, platTerms)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = e.Close() })
	f.endpoints[id], f.releases[id] = e, release
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	entry := stand.Registration{Service: "model", Address: e.Address(), Centre: "a1", Release: release, Slots: 8, Born: time.Now()}
	f.platform.Register(id, entry)
	go func() {
		defer close(ended)
		for ctrl.Sleep(ctx, restartBeat); ctx.Err() == nil; ctrl.Sleep(ctx, restartBeat) {
			f.platform.Register(id, entry)
		}
	}()
	f.stop[id] = func() {
		cancel()
		<-ended
	}
	f.t.Cleanup(f.stop[id])
}

func (f *restartFleet) removeEndpoint(id string) {
	f.stop[id]()
	f.platform.Delete("servers/" + id)
}

// startHosts starts hosts, new ones if there were some before, and waits until all are ready.
func (f *restartFleet) startHosts(names ...string) {
	f.t.Helper()
	bounds := setup.DefaultBounds()
	bounds.BeatMS, bounds.HistoryS = float64(restartBeat.Milliseconds()), 20
	seed := freeAddress(f.t)
	for i, name := range names {
		peers := seed
		if i > 0 {
			peers = freeAddress(f.t)
		}
		store := (&platform.Store{Address: f.platform.Address(), Now: time.Now}).Feed()
		if f.wrap != nil {
			f.wrap(name, store)
		}
		n, err := New(setup.Hosted{
			Name: name, Region: "a", Centre: "a1", Callers: freeAddress(f.t), Ready: freeAddress(f.t), Directory: freeAddress(f.t),
			Peers: peers, Seeds: []string{seed}, Regions: map[string]string{"a1": "a"}, Bounds: bounds,
		}, platTerms, store, zerolog.New(f.log).With().Str("host", name).Logger())
		if err != nil {
			f.t.Fatal(err)
		}
		if err := n.Start(); err != nil {
			f.t.Fatal(err)
		}
		f.nodes[name] = n
		f.t.Cleanup(func() { f.closeHost(name) })
	}
	f.eventually("all hosts are ready", func() bool {
		for _, name := range names {
			if !f.nodes[name].board.Health.Ready() {
				return false
			}
		}
		return true
	})
}

// breakStreams begins streams at a host whose endpoint breaks them after event 1.
func (f *restartFleet) breakStreams(host, endpoint string, ids ...string) {
	f.t.Helper()
	f.endpoints[endpoint].SetFault(routed.Fault{Times: 2 * len(ids), CutAfter: 2})
	for _, id := range ids {
		if _, body, err := f.callHost(host, "POST", "/stream/x", id, nil); err == nil || !strings.HasSuffix(body, routed.Event(id, 1)) {
			f.t.Fatalf("got body %q, error %v, want a stream that breaks after event 1", body, err)
		}
	}
	f.endpoints[endpoint].SetFault(routed.Fault{})
}

// resume resumes a stream at a host and returns the status.
func (f *restartFleet) resume(host, id string) int {
	f.t.Helper()
	status, _, err := f.callHost(host, "POST", "/stream/x", "up-"+id, func(r *http.Request) {
		takeUp(id, 1)(r)
		r.Header.Set(platTerms.Deadline, fmt.Sprint(resumePatience.Milliseconds()))
	})
	if err != nil {
		f.t.Fatalf("resume %s at %s: %v", id, host, err)
	}
	return status
}

func (f *restartFleet) restartHosts(names ...string) {
	f.t.Helper()
	for _, name := range names {
		f.closeHost(name)
	}
	f.startHosts(names...)
}

// TestRestartOfAllHostsJoinsNoReleases guards against a stream of a release that has left, which the
// hosts of a fleet that restarted as a whole continue at the release that their first listing shows.
func TestRestartOfAllHostsJoinsNoReleases(t *testing.T) {
	for _, tt := range []struct {
		name string
		// noHistory drops the store's history before the restart.
		noHistory bool
	}{{name: "history"}, {name: "history dropped", noHistory: true}} {
		t.Run(tt.name, func(t *testing.T) {
			f := startRestartFleet(t)
			f.addEndpoint("v1-a", "v1")
			f.startHosts("n0", "n1")
			f.breakStreams("n0", "v1-a", "s0", "s1")
			f.addEndpoint("v2-a", "v2")
			f.removeEndpoint("v1-a")
			if tt.noHistory {
				f.platform.SetBlind(true)
				f.platform.SetBlind(false)
			}
			f.restartHosts("n0", "n1")
			for i, host := range []string{"n0", "n1"} {
				if status := f.resume(host, fmt.Sprint("s", i)); status != http.StatusServiceUnavailable {
					t.Errorf("stream of a release that left: got status %d at host %s, want 503", status, host)
				}
			}
			if n := f.resumed("v2-a"); n != 0 {
				t.Errorf("%d streams of v1 were continued at v2", n)
			}
		})
	}
}

// TestRestartOfAllHostsKeepsStreams: after a restart of all hosts, streams are continued if the
// store's history shows that no other release can have begun them.
func TestRestartOfAllHostsKeepsStreams(t *testing.T) {
	f := startRestartFleet(t)
	f.addEndpoint("v1-a", "v1")
	f.startHosts("n0", "n1")
	f.breakStreams("n0", "v1-a", "s0")
	f.restartHosts("n0", "n1")
	if status := f.resume("n1", "s0"); status != http.StatusOK {
		t.Errorf("got status %d, want 200: there was one release only", status)
	}
	if n := f.resumed("v1-a"); n == 0 {
		t.Error("no stream was continued")
	}
}

// TestReleaseNewerThanTheView guards against a host that continues a stream at the release of its
// view while another host, which has ended, had begun it at one that is newer.
func TestReleaseNewerThanTheView(t *testing.T) {
	f := startRestartFleet(t)
	f.addEndpoint("v1-a", "v1")
	f.startHosts("n0", "n1")
	behind := f.nodes["n1"]
	f.eventually("the host has one release in view for long enough", func() bool {
		return time.Since(behind.board.Registry.ReleasesKnown()) > resumeWindow
	})
	f.addEndpoint("v2-a", "v2")
	// Nothing of this stream is recorded at any host.
	if status := f.resume("n1", "unknown"); status != http.StatusServiceUnavailable {
		t.Errorf("got status %d, want 503: the store shows two releases", status)
	}
}
