package soak

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
	"github.com/hyssopspindle/hyssopspindle/platform/stand"
)

const (
	service    = "s"
	eventCount = 5
	// callTimeout is the deadline that callers name.
	callTimeout = 6 * time.Second
	// resumeTimeout is what is left of it when a caller resumes a stream.
	resumeTimeout = 4 * time.Second
	readBytes     = 4 << 10
	// farRegion is the only region that serves the routes with a home.
	farRegion = "b"
)

// routes are the published routes. Requests of those that are unsafe run at most once.
func routes() []stand.Route {
	list := []stand.Route{
		{Name: "safe", Kind: stand.KindSafe, Attempts: 2},
		{Name: "once", Kind: stand.KindUnsafe, Attempts: 1},
		{Name: "stream", Kind: stand.KindStream, Attempts: 2, Resumable: true},
		{Name: "far-once", Kind: stand.KindUnsafe, Attempts: 1, Homes: []string{farRegion}},
		{Name: "far-stream", Kind: stand.KindStream, Attempts: 1, Homes: []string{farRegion}},
	}
	for i := range list {
		r := &list[i]
		r.Host, r.Prefix, r.Service, r.Timeout = HostName, "/"+r.Name+"/", service, 2*callTimeout
	}
	return list
}

// call is one request of a caller and what came of it.
type call struct {
	id     string
	route  stand.Route
	host   string
	status int
	// mediaType is the value of the answer's Content-Type.
	mediaType string
	// signedBy is the endpoint that the answer names.
	signedBy string
	body     string
	// leaveAfter is the number of events after which the caller closes its connection, 0 for none.
	leaveAfter int
	// err is why the answer is not whole, or nil.
	err error
	// resumes is the id of the request whose stream the call resumes, empty for none, and from the
	// first event that is missing.
	resumes string
	from    int
}

// events returns the number of whole events of a broken stream.
func (c *call) events() int { return strings.Count(c.body, "\n\n") }

func (c *call) String() string {
	return fmt.Sprintf("%s (%s) at %s: status %d, %d bytes, error %v", c.id, c.route.Name, c.host, c.status, len(c.body), c.err)
}

// want returns the whole answer to the call.
func (c *call) want() string {
	if c.route.Kind != stand.KindStream {
		return routed.PlainAnswer(c.id)
	}
	var out strings.Builder
	for n := c.from; n < eventCount; n++ {
		out.WriteString(routed.Event(c.id, n))
	}
	return out.String()
}

// send sends a request to a host by a connection that is kept open.
func (f *Fleet) send(client *http.Client, h *Host, route stand.Route, id string) *call {
	return f.sendCall(client, h, &call{id: id, route: route})
}

// sendCall sends the request of a call to a host and records in it what came of it.
func (f *Fleet) sendCall(client *http.Client, h *Host, c *call) *call {
	c.host = h.Name
	ctx, cancel := context.WithTimeout(context.Background(), 2*callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.Address()+c.route.Prefix+"x", strings.NewReader("question "+c.id))
	if err != nil {
		c.err = fmt.Errorf("create request: %w", err)
		return c
	}
	req.Host = HostName
	req.Header.Set(f.Terms.RequestID, c.id)
	left := callTimeout
	if c.resumes != "" {
		left = resumeTimeout
		req.Header.Set(f.Terms.Resumes, c.resumes)
		req.Header.Set(f.Terms.LastEvent, fmt.Sprint(c.from-1))
	}
	req.Header.Set(f.Terms.Deadline, fmt.Sprint(left.Milliseconds()))
	resp, err := client.Do(req)
	if err != nil {
		c.err = fmt.Errorf("send request: %w", err)
		return c
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := c.read(resp.Body)
	c.status, c.mediaType, c.body = resp.StatusCode, resp.Header.Get("Content-Type"), string(body)
	c.signedBy = resp.Header.Get(routed.SignedBy)
	if err != nil {
		c.err = fmt.Errorf("read answer: %w", err)
	}
	return c
}

// errLeft is the error of a call whose caller closed its connection.
var errLeft = errors.New("caller left")

// read reads an answer until its end, or until the caller leaves.
func (c *call) read(r io.Reader) ([]byte, error) {
	if c.leaveAfter == 0 {
		return io.ReadAll(r)
	}
	var body []byte
	for buf := make([]byte, readBytes); ; {
		n, err := r.Read(buf)
		body = append(body, buf[:n]...)
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		case bytes.Count(body, []byte("\n\n")) >= c.leaveAfter:
			return body, errLeft
		}
	}
}

// ledger holds the calls that have ended.
type ledger struct {
	mu    sync.Mutex
	calls []*call
}

func (l *ledger) add(c *call) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls = append(l.calls, c)
}

// sendCalls sends one request after the other until ctx ends, to the same host while it
// answers.
func (f *Fleet) sendCalls(ctx context.Context, l *ledger, caller int) {
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	list, at := routes(), caller
	for n := 0; ctx.Err() == nil; n++ {
		c := f.send(client, f.Hosts[at%len(f.Hosts)], list[(caller+n)%len(list)], fmt.Sprintf("c%d-%d", caller, n))
		l.add(c)
		if c.err != nil || c.status != http.StatusOK {
			at++
			time.Sleep(pollInterval)
		}
	}
}

// mayHaveRun reports whether a status leaves open that the request ran.
func mayHaveRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return false
	}
	return true
}

// check returns what callers and endpoints saw that must not be, one line each.
func (f *Fleet) check(l *ledger) []string {
	runs := map[string]int{}
	for _, e := range f.Endpoints {
		for _, r := range e.Runs() {
			runs[r.ID]++
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, c := range l.calls {
		want := c.want()
		switch {
		case c.status != http.StatusOK:
		case c.err == nil && c.body != want:
			out = append(out, fmt.Sprintf("answer is not whole, but ended as whole: %v", c))
		case !strings.HasPrefix(want, c.body):
			out = append(out, fmt.Sprintf("answer is not the request's own: %v", c))
		}
		if c.route.Kind != stand.KindUnsafe {
			continue
		}
		if runs[c.id] > 1 {
			out = append(out, fmt.Sprintf("ran %d times: %v", runs[c.id], c))
		}
		if c.status != 0 && !mayHaveRun(c.status) && runs[c.id] > 0 {
			out = append(out, fmt.Sprintf("refused as not run, but ran: %v", c))
		}
		if c.status == http.StatusOK && runs[c.id] == 0 {
			out = append(out, fmt.Sprintf("answered, but did not run: %v", c))
		}
	}
	return out
}
