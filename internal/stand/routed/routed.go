// Package routed is a stand-in for an endpoint of a fleet with published routes:
// it answers under the names of given terms, records what it ran, and can be
// told to fail.
package routed

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/terms"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/basis"
)

// SignedBy names the endpoint on its answers.
const SignedBy = "X-Signed-By"

// Fault is how an endpoint misbehaves, for the next Times requests.
type Fault struct {
	Times int
	// NotRun refuses without running.
	NotRun bool
	// Status answers with a status of its own after running.
	Status int
	// CutAfter closes the connection after so many events; with CutBody before
	// the end of a plain body.
	CutAfter int
	CutBody  bool
	// Silent runs the request and never answers.
	Silent bool
	// Drop closes the connection without an answer after running.
	Drop bool
}

// Run is one request that the endpoint ran.
type Run struct {
	ID     string
	Method string
	Target string
	Body   string
	Header http.Header
	// From is the id of the event that the run went on after, -1 for none.
	From int
}

// Endpoint is one stand-in.
type Endpoint struct {
	ID     string
	Terms  *terms.Terms
	Events int
	// Gap is the time between events, Work that of a plain answer.
	Gap  time.Duration
	Work time.Duration

	server *basis.Server

	mu        sync.Mutex
	fault     Fault
	runs      []Run
	cancelled int
}

// New starts an endpoint at a loopback address; Close ends it.
func New(id string, t *terms.Terms) (*Endpoint, error) {
	e := &Endpoint{ID: id, Terms: t, Events: 5}
	s, err := basis.Serve("127.0.0.1:0", http.HandlerFunc(e.serve))
	if err != nil {
		return nil, fmt.Errorf("endpoint %s: %w", id, err)
	}
	e.server = s
	return e, nil
}

// Address is where the endpoint listens.
func (e *Endpoint) Address() string { return e.server.Address() }

// Close ends the endpoint and its connections.
func (e *Endpoint) Close() error { return e.server.Close() }

// SetFault changes how the endpoint misbehaves.
func (e *Endpoint) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
}

// Runs returns what was run.
func (e *Endpoint) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Run(nil), e.runs...)
}

// Cancelled counts the runs whose caller went away.
func (e *Endpoint) Cancelled() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cancelled
}

func (e *Endpoint) take() Fault {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.fault.Times == 0 {
		return Fault{}
	}
	e.fault.Times--
	return e.fault
}

// Event returns the text of one event of a request's answer.
func Event(id string, n int) string { return fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n) }

// Body returns the plain answer of a request.
func Body(id string) string { return "answer to " + id }

func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(e.Terms.RequestID)
	h := w.Header()
	h.Set(e.Terms.RequestID, id)
	h.Set(e.Terms.Load, "1,0,8")
	if want := r.Header.Get(e.Terms.Expect); want != "" && want != e.ID {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	f := e.take()
	if f.NotRun {
		h.Set(e.Terms.NotRun, "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	from := e.note(r, id)
	h.Set(SignedBy, e.ID)
	switch {
	case f.Silent:
		<-r.Context().Done()
		e.left()
	case f.Drop:
		panic(http.ErrAbortHandler)
	case f.Status != 0:
		w.WriteHeader(f.Status)
		_, _ = w.Write([]byte("failed"))
	case strings.Contains(r.URL.Path, "stream"):
		e.stream(w, r, id, from, f)
	default:
		e.plain(w, r, id, f)
	}
}

func (e *Endpoint) note(r *http.Request, id string) int {
	body := new(strings.Builder)
	buf := make([]byte, 4096)
	for {
		n, err := r.Body.Read(buf)
		body.Write(buf[:n])
		if err != nil {
			break
		}
	}
	from := -1
	if text := r.Header.Get(e.Terms.LastEvent); text != "" {
		if n, err := strconv.Atoi(text); err == nil {
			from = n
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs = append(e.runs, Run{ID: id, Method: r.Method, Target: r.RequestURI, Body: body.String(), Header: r.Header.Clone(), From: from})
	return from
}

func (e *Endpoint) left() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cancelled++
}

func (e *Endpoint) plain(w http.ResponseWriter, r *http.Request, id string, f Fault) {
	select {
	case <-time.After(e.Work):
	case <-r.Context().Done():
		e.left()
		return
	}
	if f.CutBody {
		w.Header().Set("Content-Length", "1000")
		_, _ = w.Write([]byte("part"))
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write([]byte(Body(id)))
}

func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request, id string, from int, f Fault) {
	w.Header().Set("Content-Type", "text/event-stream")
	flush := http.NewResponseController(w)
	for n := from + 1; n < e.Events; n++ {
		if f.CutAfter > 0 && n >= f.CutAfter {
			_, _ = w.Write([]byte("id: 99\nda"))
			_ = flush.Flush()
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(Event(id, n)))
		_ = flush.Flush()
		select {
		case <-time.After(e.Gap):
		case <-r.Context().Done():
			e.left()
			return
		}
	}
}
