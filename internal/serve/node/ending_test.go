package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// received is what a caller received.
type received struct {
	status int
	body   string
	// whole reports whether the answer ended as its framing demands.
	whole bool
	// chunked reports whether the answer came in chunks.
	chunked bool
}

// callRaw sends a request of a version of HTTP to the host of region a, on a connection of
// its own.
func (f *fleet) callRaw(version, path, id string) received {
	f.t.Helper()
	c, err := net.Dial("tcp", f.nodes["a"].settings.Callers)
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(waitTimeout))
	if _, err := fmt.Fprintf(c, "POST %s %s\r\nHost: h\r\n%s: %s\r\nContent-Length: 1\r\n\r\nx", path, version, platTerms.RequestID, id); err != nil {
		f.t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return received{}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return received{status: resp.StatusCode, body: string(body), whole: err == nil, chunked: len(resp.TransferEncoding) > 0}
}

// onlyIn removes the endpoints of a service in the other region and adds one in this region.
// Requests are sent to the first endpoint before the second.
func (f *fleet) onlyIn(region, service string) (first, second string) {
	f.t.Helper()
	removed := service + "-" + map[string]string{"a": "b", "b": "a"}[region] + "1"
	first, second = service+"-"+region+"1", service+"-2"
	f.store.put(feed.Change{RemovedEndpoint: removed})
	f.startEndpoint(second, service, region)
	f.eventually("only the endpoints of one region are registered", func() bool {
		for _, n := range f.nodes {
			list := n.board.Registry.Endpoints(service)
			if len(list) != 2 || slices.ContainsFunc(list, func(e regis.Endpoint) bool { return e.ID == removed }) {
				return false
			}
		}
		return true
	})
	for range 4 {
		f.nodes[region].board.Endpoints.StartRequest(time.Now(), second)
	}
	return first, second
}

func TestBrokenUnframedAnswerIsNotShownAsWhole(t *testing.T) {
	first, all := routed.Event("r", 0), wholeStream("r")
	tests := []struct {
		path   string
		ending routed.Ending
		whole  bool
		status int
		body   string
	}{
		{"/stream-once/x", routed.EndWhole, true, 200, all},
		{"/stream-once/x", routed.EndEvent, false, 200, first},
		{"/stream-once/x", routed.EndRune, false, 200, first},
		{"/stream-once/x", routed.EndReset, false, 200, first},
		{"/stream/x", routed.EndWhole, true, 200, all},
		{"/stream/x", routed.EndEvent, true, 200, all},
		{"/stream/x", routed.EndRune, true, 200, all},
		{"/stream/x", routed.EndReset, true, 200, all},
		{"/unsafe/x", routed.EndWhole, true, 200, routed.PlainAnswer("r")},
		{"/unsafe/x", routed.EndReset, true, 502, "endpoint failed\n"},
		{"/safe/x", routed.EndReset, true, 200, routed.PlainAnswer("r")},
	}
	for _, region := range []string{"a", "b"} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			for _, tt := range tests {
				where := map[string]string{"a": "local", "b": "relayed"}[region]
				t.Run(strings.Join([]string{where, version, tt.path, string(tt.ending)}, " "), func(t *testing.T) {
					t.Parallel()
					service := "model"
					if !strings.HasPrefix(tt.path, "/stream") {
						service = "plain"
					}
					f := startFleet(t)
					first, second := f.onlyIn(region, service)
					f.endpoints[first].SetFault(routed.Fault{Times: 1, Ending: tt.ending})
					f.endpoints[second].SetFault(routed.Fault{Times: 1, Ending: routed.EndWhole})
					got := f.callRaw(version, tt.path, "r")
					if n := len(f.runs(first)); n != 1 {
						t.Fatalf("got %d runs at the endpoint with the fault, want 1", n)
					}
					if got.status != tt.status || got.whole != tt.whole || got.body != tt.body {
						t.Errorf("got %+v, want status %d, whole %v, body %q", got, tt.status, tt.whole, tt.body)
					}
					if got.chunked && version == "HTTP/1.0" {
						t.Error("got chunks, which HTTP/1.0 does not have")
					}
				})
			}
		}
	}
}

// TestBrokenFramedAnswerIsNotShownAsWhole guards against a complete success for an answer with a
// length or chunks that broke off, also where the attempt that continues it breaks off too.
func TestBrokenFramedAnswerIsNotShownAsWhole(t *testing.T) {
	for _, region := range []string{"a", "b"} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run(map[string]string{"a": "local ", "b": "relayed "}[region]+version, func(t *testing.T) {
				t.Parallel()
				f := startFleet(t)
				for path, service := range map[string]string{"/stream-once/x": "model", "/stream/x": "model", "/unsafe/x": "plain", "/safe/x": "plain"} {
					endpoints := []string{service + "-a1", service + "-b1"}
					if len(f.nodes["a"].board.Registry.Endpoints(service)) == 2 && f.endpoints[service+"-2"] == nil {
						f.onlyIn(region, service)
					}
					endpoints = append(endpoints, service+"-2")
					for _, ending := range routed.FramedEndings() {
						id := strings.Join([]string{path, string(ending)}, " ")
						for _, e := range endpoints {
							f.endpoints[e].SetFault(routed.Fault{Times: 2, Ending: ending})
						}
						got := f.callRaw(version, path, id)
						// An attempt that continues a stream after its last event has none to lose.
						ended := path == "/stream/x" && (ending == routed.EndNoLast || ending == routed.EndInLast)
						switch {
						case ended && (!got.whole || got.body != wholeStream(id)):
							t.Errorf("%s: got %+v, want all events", id, got)
						case ended:
						case service == "plain" && (got.status != 502 || !got.whole || got.body != "endpoint failed\n"):
							t.Errorf("%s: got %+v, want status 502", id, got)
						case service == "model" && (got.status != 200 || got.whole || !strings.HasPrefix(wholeStream(id), got.body) || !strings.HasPrefix(got.body, routed.Event(id, 0))):
							t.Errorf("%s: got %+v, want a stream that is not whole", id, got)
						}
					}
				}
			})
		}
	}
}

// TestHostThatEndsCompletesStream guards against a stream that ends for its caller as complete because
// its entry host, or the relay, closed without a drain in the middle of it.
func TestHostThatEndsCompletesStream(t *testing.T) {
	for _, stopped := range []string{"a", "b"} {
		for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
			t.Run("host "+stopped+" closes, "+version, func(t *testing.T) {
				t.Parallel()
				f := startFleet(t)
				first, second := f.onlyIn("b", "model")
				for _, id := range []string{first, second} {
					f.endpoints[id].EventGap = 300 * time.Millisecond
				}
				answers := make(chan received)
				const calls = 4
				for i := range calls {
					go func() { answers <- f.callRaw(version, "/stream-once/x", fmt.Sprint("r", i)) }()
				}
				f.eventually("all streams run", func() bool { return len(f.runs(first, second)) == calls })
				time.Sleep(150 * time.Millisecond)
				closed := make(chan struct{})
				n := f.nodes[stopped]
				go func() {
					defer close(closed)
					_ = n.Close()
				}()
				broken := 0
				for range calls {
					got := <-answers
					if got.whole && got.status == 200 && strings.Count(got.body, "\n\n") < 5 {
						t.Errorf("got %+v, want all events or a stream that is broken off", got)
					}
					if !got.whole {
						broken++
					}
				}
				if broken == 0 {
					t.Error("no stream was broken off")
				}
				<-closed
				delete(f.nodes, stopped)
			})
		}
	}
}
