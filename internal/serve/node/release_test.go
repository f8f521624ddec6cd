package node

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"github.com/hyssopspindle/hyssopspindle/internal/board/origin"
	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// startRelease starts an endpoint of the model service with a release.
func (f *fleet) startRelease(id, region, release string, draining bool) {
	f.t.Helper()
	if f.endpoints[id] == nil {
		e, err := routed.New(id, platTerms)
		if err != nil {
			f.t.Fatal(err)
		}
		f.t.Cleanup(func() { _ = e.Close() })
		f.endpoints[id] = e
	}
	f.store.put(feed.Change{Key: id, Endpoint: &regis.Endpoint{
		ID: id, Service: "model", Address: f.endpoints[id].Address(), Centre: region + "1", Slots: 8, Release: release, Draining: draining,
	}})
}

// hostsKnow waits until all hosts know the endpoints of the model service by their
// releases, each as ID/RELEASE.
func (f *fleet) hostsKnow(want ...string) {
	f.t.Helper()
	f.eventually("all hosts know "+strings.Join(want, " "), func() bool {
		for _, n := range f.nodes {
			var got []string
			for _, e := range n.board.Registry.Endpoints("model") {
				if !e.Draining {
					got = append(got, e.ID+"/"+e.Release)
				}
			}
			if strings.Join(got, " ") != strings.Join(want, " ") {
				return false
			}
		}
		return true
	})
}

// resumed returns the number of streams that went on at an endpoint.
func (f *fleet) resumed(id string) int {
	n := 0
	for _, r := range f.runs(id) {
		if r.ResumeAfter >= 0 {
			n++
		}
	}
	return n
}

// takeUp returns the change of a request that takes a stream up after an event.
func takeUp(id string, after int) func(*http.Request) {
	return func(r *http.Request) {
		r.Header.Set(platTerms.Resumes, id)
		r.Header.Set(platTerms.LastEvent, strconv.Itoa(after))
	}
}

// TestStreamChangesReleaseWithinAnswer: a stream that breaks goes on only at an endpoint of
// the release that began it, in whichever region, and ends as broken if there is none.
func TestStreamChangesReleaseWithinAnswer(t *testing.T) {
	f := startFleet(t)
	f.startRelease("model-a1", "a", "v1", false)
	f.startRelease("model-a2", "a", "v2", true)
	f.startRelease("model-b1", "b", "v2", false)
	f.hostsKnow("model-a1/v1", "model-b1/v2")
	first := f.endpoints["model-a1"]
	// The endpoint breaks both runs that the route allows.
	first.SetFault(routed.Fault{Times: 2, CutAfter: 3})
	if _, body, err := f.call("POST", "/stream/x", "r1", nil); err == nil || strings.Contains(body, routed.Event("r1", 3)) {
		t.Errorf("got body %q, error %v, want a broken stream: no endpoint of its release is left", body, err)
	}
	f.startRelease("model-b2", "b", "v1", false)
	f.hostsKnow("model-a1/v1", "model-b1/v2", "model-b2/v1")
	for i := range 12 {
		id := fmt.Sprint("s", i)
		first.SetFault(routed.Fault{Times: 1, CutAfter: 3})
		if _, body, err := f.call("POST", "/stream/x", id, nil); err != nil || body != wholeStream(id) {
			t.Errorf("got body %q, error %v, want the whole stream", body, err)
		}
	}
	if n := f.resumed("model-b1"); n != 0 {
		t.Errorf("%d streams of v1 went on at v2", n)
	}
}

// TestTakenUpStreamChangesRelease: a stream that a caller takes up at another host, after
// the host that began it has ended, goes on only at an endpoint of its release; a stream of
// unknown release is refused.
func TestTakenUpStreamChangesRelease(t *testing.T) {
	const streams = 12
	f := startFleet(t)
	f.startRelease("model-a1", "a", "v1", false)
	f.startRelease("model-b1", "b", "v2", true)
	f.hostsKnow("model-a1/v1")
	f.endpoints["model-a1"].SetFault(routed.Fault{Times: 2 * streams, CutAfter: 3})
	for i := range streams {
		id := fmt.Sprint("s", i)
		if _, body, err := f.call("POST", "/stream/x", id, nil); err == nil || !strings.HasSuffix(body, routed.Event(id, 2)) {
			t.Errorf("got body %q, error %v, want a stream that breaks after event 2", body, err)
		}
	}
	f.startRelease("model-b1", "b", "v2", false)
	f.startRelease("model-b2", "b", "v1", false)
	f.hostsKnow("model-a1/v1", "model-b1/v2", "model-b2/v1")
	f.closeHost("a")
	for i := range streams {
		id := fmt.Sprint("s", i)
		_, body, err := f.callHost("b", "POST", "/stream/x", "up-"+id, takeUp(id, 2))
		if want := routed.Event("up-"+id, 3) + routed.Event("up-"+id, 4); err != nil || body != want {
			t.Errorf("stream %s: got body %q, error %v, want its events 3 and 4", id, body, err)
		}
	}
	status, body, err := f.callHost("b", "POST", "/stream/x", "up-unknown", takeUp("unknown", 2))
	if err != nil || status != http.StatusServiceUnavailable {
		t.Errorf("stream of unknown release: got status %d, body %q, error %v, want 503", status, body, err)
	}
	if n := f.resumed("model-b1"); n != 0 {
		t.Errorf("%d streams of v1 went on at v2", n)
	}
}

// TestTakenUpStreamIsLostToOtherHosts: a host that was not told which release began a stream
// learns it from one that was, also after the host that began it has ended.
func TestTakenUpStreamIsLostToOtherHosts(t *testing.T) {
	const hosts, streams = 6, 12
	f := startCentre(t, hosts)
	f.endpoints = map[string]*routed.Endpoint{}
	f.startRelease("model-a1", "a", "v1", false)
	f.startRelease("model-a2", "a", "v2", true)
	f.hostsKnow("model-a1/v1")
	f.eventually("all hosts are ready and know both releases", func() bool {
		for _, n := range f.nodes {
			if n.board.Registry.Len() != 2 || !n.board.Health.Ready() {
				return false
			}
		}
		return true
	})
	f.endpoints["model-a1"].SetFault(routed.Fault{Times: 2 * streams, CutAfter: 3})
	for i := range streams {
		if _, _, err := f.callHost("n0", "POST", "/stream/x", fmt.Sprint("s", i), nil); err == nil {
			t.Errorf("stream %d is whole, want it cut", i)
		}
	}
	f.startRelease("model-a2", "a", "v2", false)
	f.startRelease("model-a3", "a", "v1", false)
	f.hostsKnow("model-a1/v1", "model-a2/v2", "model-a3/v1")
	f.eventually("the streams are announced", func() bool {
		told := 0
		for name, n := range f.nodes {
			for i := range streams {
				if _, ok := n.board.Origins.Find(n.now(), origin.KeyOf(fmt.Sprint("s", i))); ok && name != "n0" {
					told++
				}
			}
		}
		return told >= 3*streams
	})
	f.closeHost("n0")
	asked := 0
	for i := range streams {
		id := fmt.Sprint("s", i)
		for name, n := range f.nodes {
			if _, known := n.board.Origins.Find(n.now(), origin.KeyOf(id)); known {
				continue
			}
			asked++
			want := routed.Event("up-"+id, 3) + routed.Event("up-"+id, 4)
			if _, body, err := f.callHost(name, "POST", "/stream/x", "up-"+id, takeUp(id, 2)); err != nil || body != want {
				t.Errorf("stream %s at host %s: got body %q, error %v, want its events 3 and 4", id, name, body, err)
			}
			break
		}
	}
	if asked == 0 || f.resumed("model-a2") != 0 {
		t.Errorf("%d streams were taken up at hosts that did not know them, and %d went on at v2", asked, f.resumed("model-a2"))
	}
}
