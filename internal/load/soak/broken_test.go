package soak

import (
	"compress/gzip"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
	"github.com/hyssopspindle/hyssopspindle/platform/stand"
)

// begins are the ways in which a stream begins before it breaks off. Those without an event id leave
// the caller nothing that it could be continued after.
var begins = []struct {
	name string
	// service is what the names of services begin with, regions are those of its endpoints. The first
	// host is in region a.
	service string
	regions []string
	only    string
	// resumable reports whether a proper answer to the next attempt completes the stream.
	resumable bool
}{
	{name: "two events", service: "events", regions: []string{"a", "b", "c"}, resumable: true},
	{name: "two events of another region", service: "far", regions: []string{"b", "c"}, resumable: true},
	{name: "two events, rest of the same region", service: "near", regions: []string{"a", "a"}, resumable: true},
	{name: "two events of another region, rest too", service: "there", regions: []string{"b", "b"}, resumable: true},
	{name: "a comment", service: "comment", regions: []string{"a", "b", "c"}, only: ": begun\n\n", resumable: true},
	{name: "an event without id", service: "unnamed", regions: []string{"a", "b", "c"}, only: "data: begun\n\n"},
}

// rests are the answers to the attempt that is to continue the stream.
var rests = []struct {
	name string
	odd  routed.Odd
}{
	{"proper", routed.Odd{}},
	{"status 500", routed.Odd{Status: http.StatusInternalServerError, Type: "text/plain"}},
	{"status 404", routed.Odd{Status: http.StatusNotFound, Type: "text/plain"}},
	{"status 204", routed.Odd{Status: http.StatusNoContent}},
	{"status 206 of events", routed.Odd{Status: http.StatusPartialContent, Type: routed.StreamType}},
	{"text", routed.Odd{Status: http.StatusOK, Type: "text/plain"}},
	{"json", routed.Odd{Status: http.StatusOK, Type: "application/json"}},
	{"no type", routed.Odd{Status: http.StatusOK}},
	{"compressed events", routed.Odd{Status: http.StatusOK, Type: routed.StreamType, Encoding: "gzip", Level: gzip.BestCompression}},
	{"packed events", routed.Odd{Status: http.StatusOK, Type: routed.StreamType, Encoding: "gzip", Level: gzip.NoCompression}},
}

// alwaysFails is the number of requests for which an endpoint keeps a fault.
const alwaysFails = 1 << 20

// TestRelayedAnswerEndsStreamEarly guards against the incident of docs/incidents/joined.md: a stream
// that breaks off and whose rest is answered with something else ended as complete.
func TestRelayedAnswerEndsStreamEarly(t *testing.T) {
	f := newFleet(t)
	for _, region := range []string{"a", "b", "c"} {
		f.AddRegion(region)
		if _, err := f.AddHost(region+"1", region); err != nil {
			t.Fatal(err)
		}
	}
	var services []string
	var list []stand.Route
	endpoints := map[string][]*Endpoint{}
	for _, begin := range begins {
		for i := range rests {
			name := fmt.Sprint(begin.service, i)
			services = append(services, name)
			list = append(list, stand.Route{
				Name: name, Host: HostName, Prefix: "/" + name + "/stream/", Kind: stand.KindStream, Service: name,
				Timeout: 2 * callTimeout, Attempts: 2, Resumable: true,
			})
			for n, region := range begin.regions {
				e, err := f.AddEndpoint(fmt.Sprint(name, "-", n), name, region, func(e *routed.Endpoint) {
					e.EventCount, e.EventGap = eventCount, 20*time.Millisecond
				})
				if err != nil {
					t.Fatal(err)
				}
				endpoints[name] = append(endpoints[name], e)
			}
		}
	}
	f.Store.Publish(1, services, list...)
	for _, h := range f.Hosts {
		if err := f.Start(h); err != nil {
			t.Fatal(err)
		}
	}
	if err := f.WaitReady(); err != nil {
		t.Fatal(err)
	}
	for at, route := range list {
		begin, rest := begins[at/len(rests)], rests[at%len(rests)]
		t.Run(begin.name+", "+rest.name, func(t *testing.T) {
			f.awaitRoute(t, route)
			for _, e := range endpoints[route.Name] {
				fault := routed.Fault{Times: alwaysFails, CutAfter: 2, CutOnce: true, Odd: rest.odd}
				switch {
				case begin.only == "":
				case e.Region == "a":
					fault = routed.Fault{Times: alwaysFails, Only: begin.only}
				default:
					fault = routed.Fault{Times: alwaysFails, Odd: rest.odd}
				}
				e.SetFault(fault)
			}
			client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
			defer client.CloseIdleConnections()
			id := "case-" + route.Name
			c := f.send(client, f.Hosts[0], route, id)
			want, isProper, isWhole := begin.only+c.want(), rest.odd == (routed.Odd{}), c.err == nil && c.status == http.StatusOK
			runs := countRuns(endpoints[route.Name], id)
			switch {
			case begin.resumable && runs < 2:
				t.Errorf("%d attempts ran, want that the stream is continued: %v", runs, c)
			case begin.resumable && isProper && (!isWhole || c.body != want):
				t.Errorf("stream is not continued: %v: %q", c, c.body)
			case isWhole && (c.body != want || !isProper || !begin.resumable):
				t.Errorf("ends as complete after piece %d, rest is %s: %q", c.events(), rest.name, c.body)
			case !strings.HasPrefix(want, c.body) || c.status != http.StatusOK:
				t.Errorf("got status %d and %q, want 200 and a beginning of %q", c.status, c.body, want)
			}
			if t.Failed() {
				logs(t, f, `"request":"`+id+`"`)
			}
		})
	}
}

// countRuns returns how often the endpoints ran a request.
func countRuns(endpoints []*Endpoint, id string) int {
	n := 0
	for _, e := range endpoints {
		for _, r := range e.Runs() {
			if r.ID == id {
				n++
			}
		}
	}
	return n
}

// awaitRoute waits until the first host serves a route.
func (f *Fleet) awaitRoute(t *testing.T, route stand.Route) {
	t.Helper()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for end := time.Now().Add(recoveryTime); ; time.Sleep(pollInterval) {
		c := f.send(client, f.Hosts[0], route, fmt.Sprintf("probe-%s-%d", route.Name, time.Now().UnixNano()))
		if c.err == nil && c.status == http.StatusOK {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("not served: %v", c)
		}
	}
}
