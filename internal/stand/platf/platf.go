// Package platf is a stand-in for the platform: a configuration service that can only
// be read and watched and counts its calls, a host list that lags, and a directory of
// hosts for callers.
package platf

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/httpd"
)

// Fault is an injected fault.
type Fault struct {
	// Down closes the connection of every call, Frozen never responds.
	Down   bool `json:"down"`
	Frozen bool `json:"frozen"`
	// ServeRevision is an older revision to serve instead of the last one; 0 is off.
	ServeRevision uint64 `json:"restore"`
	// CorruptParts changes the data of every part that is sent; MissingParts responds
	// with status 404 for every part.
	CorruptParts bool `json:"corrupt"`
	MissingParts bool `json:"lose"`
}

// ListEntry is an entry of the host list: a host or an endpoint with its state.
type ListEntry struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

type hostList struct {
	Hosts []ListEntry `json:"hosts"`
}

type directory struct {
	Hosts []string `json:"hosts"`
}

// Publication is a set of documents that an operator publishes under a revision.
type Publication struct {
	Revision uint64         `json:"revision"`
	Parts    []PartDocument `json:"parts"`
}

// PartDocument is one document of a publication.
type PartDocument struct {
	Name string `json:"name"`
	Data string `json:"data"`
}

// Platform is a running stand-in.
type Platform struct {
	server *httpd.Server
	lag    time.Duration

	mu              sync.Mutex
	heads           map[uint64][]byte
	lastRevision    uint64
	parts           map[string][]byte
	fault           Fault
	calls           int
	unanswered      int
	changed         chan struct{}
	states          map[string]stateChange
	names           []string
	callerAddresses []string
}

// stateChange is a change in the host list, which is shown once the lag has passed.
type stateChange struct {
	state string
	at    time.Time
}

// Start starts a platform on an address. Its host list lags by lag.
func Start(address string, lag time.Duration) (*Platform, error) {
	p := &Platform{
		lag: lag, heads: map[uint64][]byte{}, parts: map[string][]byte{},
		changed: make(chan struct{}), states: map[string]stateChange{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /config/head", p.applyOutage(p.serveHead))
	mux.HandleFunc("GET /config/part", p.applyOutage(p.servePart))
	mux.HandleFunc("GET /hosts", p.applyOutage(p.serveHosts))
	mux.HandleFunc("GET /directory", p.applyOutage(p.serveDirectory))
	mux.HandleFunc("GET /calls", p.serveCalls)
	mux.HandleFunc("POST /operator/publish", p.servePublish)
	mux.HandleFunc("POST /operator/state", p.serveState)
	mux.HandleFunc("POST /fault", p.serveFault)
	s, err := httpd.Serve(address, mux)
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	p.server = s
	return p, nil
}

// Address returns the platform's address.
func (p *Platform) Address() string { return p.server.Address() }

// Close stops the platform.
func (p *Platform) Close() error { return p.server.Close() }

// SetFault replaces the injected fault; the zero value removes it.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.notifyWatches()
}

// Calls returns the number of reads and watches since the start.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// ErrRevision is returned for a publication whose revision is not above the last one.
var ErrRevision = errors.New("revision is not above the published one")

// Publish publishes documents under a revision, as an operator does.
func (p *Platform) Publish(pub Publication) error {
	var sources []invent.Source
	for _, d := range pub.Parts {
		if len(d.Data) > invent.MaxPartBytes {
			return fmt.Errorf("part %s of %d bytes exceeds the limit of %d", d.Name, len(d.Data), invent.MaxPartBytes)
		}
		sources = append(sources, invent.Source{Name: d.Name, Data: []byte(d.Data)})
	}
	head, err := invent.NewHead(pub.Revision, sources).Marshal()
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if pub.Revision <= p.lastRevision {
		return ErrRevision
	}
	for _, s := range sources {
		p.parts[invent.Hash(s.Data)] = s.Data
	}
	p.heads[pub.Revision], p.lastRevision = head, pub.Revision
	p.updateLists(pub.Revision, sources)
	p.notifyWatches()
	return nil
}

// updateLists fills the host list and the directory from an inventory. An invalid
// inventory leaves them unchanged.
func (p *Platform) updateLists(revision uint64, sources []invent.Source) {
	inv, err := invent.Accept(revision, sources)
	if err != nil {
		return
	}
	p.names, p.callerAddresses = nil, nil
	for _, h := range inv.Hosts() {
		p.names = append(p.names, h.Name)
		p.callerAddresses = append(p.callerAddresses, h.Callers)
	}
	for _, e := range inv.Endpoints() {
		p.names = append(p.names, e.Name)
	}
}

// SetState sets the state of a host or endpoint in the host list: live, leaving or gone.
func (p *Platform) SetState(name, state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.states[name] = stateChange{state: state, at: time.Now()}
}

// notifyWatches wakes up all watches. The caller holds p.mu.
func (p *Platform) notifyWatches() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// applyOutage returns a handler that counts calls and applies the faults Down and Frozen.
func (p *Platform) applyOutage(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.calls++
		f := p.fault
		p.mu.Unlock()
		switch {
		case f.Down:
			httpd.CloseConn(w)
		case f.Frozen:
			p.hang(r)
		default:
			next(w, r)
		}
	}
}

// currentHead returns the served revision, its head, and a channel that is closed at
// the next change.
func (p *Platform) currentHead() (uint64, []byte, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := p.lastRevision
	if p.fault.ServeRevision != 0 {
		revision = p.fault.ServeRevision
	}
	return revision, p.heads[revision], p.changed
}

func (p *Platform) serveHead(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	wait, err := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	if err != nil {
		wait = 0
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		revision, head, changed := p.currentHead()
		if p.frozen() {
			// The fault applies also to watches that started before it.
			p.hang(r)
			return
		}
		if head != nil && revision > after {
			// The error is ignored: the client may have disconnected.
			_, _ = w.Write(head)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			w.WriteHeader(http.StatusNoContent)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// hang holds a call without a response until the client disconnects.
func (p *Platform) hang(r *http.Request) {
	p.mu.Lock()
	p.unanswered++
	p.mu.Unlock()
	<-r.Context().Done()
}

// Unanswered returns the number of calls that got no response because of Frozen.
func (p *Platform) Unanswered() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.unanswered
}

func (p *Platform) frozen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault.Frozen
}

func (p *Platform) servePart(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	data, ok := p.parts[r.URL.Query().Get("hash")]
	f := p.fault
	p.mu.Unlock()
	if !ok || f.MissingParts {
		http.Error(w, "no such part", http.StatusNotFound)
		return
	}
	if f.CorruptParts {
		data = append(slices.Clone(data), '#')
	}
	_, _ = w.Write(data)
}

func (p *Platform) serveHosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := hostList{Hosts: []ListEntry{}}
	for _, name := range p.names {
		c, ok := p.states[name]
		switch {
		case !ok || time.Since(c.at) < p.lag:
			out.Hosts = append(out.Hosts, ListEntry{Name: name, State: "live"})
		case c.state != "gone":
			out.Hosts = append(out.Hosts, ListEntry{Name: name, State: c.state})
		}
	}
	httpd.WriteJSON(w, http.StatusOK, out)
}

func (p *Platform) serveDirectory(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	httpd.WriteJSON(w, http.StatusOK, directory{Hosts: p.callerAddresses})
}

func (p *Platform) serveCalls(w http.ResponseWriter, _ *http.Request) {
	httpd.WriteJSON(w, http.StatusOK, p.Calls())
}

func (p *Platform) servePublish(w http.ResponseWriter, r *http.Request) {
	var pub Publication
	if !httpd.ReadJSON(w, r, &pub) {
		return
	}
	if err := p.Publish(pub); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) serveState(w http.ResponseWriter, r *http.Request) {
	var l ListEntry
	if httpd.ReadJSON(w, r, &l) {
		p.SetState(l.Name, l.State)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (p *Platform) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if httpd.ReadJSON(w, r, &f) {
		p.SetFault(f)
		w.WriteHeader(http.StatusNoContent)
	}
}

// ReadFolder reads the TOML documents of a folder as a publication.
func ReadFolder(folder string, revision uint64) (Publication, error) {
	pub := Publication{Revision: revision}
	files, err := filepath.Glob(filepath.Join(folder, "*.toml"))
	if err != nil {
		return pub, fmt.Errorf("list %s: %w", folder, err)
	}
	if len(files) == 0 {
		return pub, fmt.Errorf("no TOML documents in folder %s", folder)
	}
	slices.Sort(files)
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			return pub, fmt.Errorf("read document: %w", err)
		}
		name := strings.TrimSuffix(filepath.Base(f), ".toml")
		pub.Parts = append(pub.Parts, PartDocument{Name: name, Data: string(data)})
	}
	return pub, nil
}
