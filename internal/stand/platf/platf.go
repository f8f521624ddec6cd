// Package platf is a stand-in for the platform: a configuration service that
// can only be read and watched and counts its calls, a host list that lags, and
// a client directory.
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
	"github.com/hyssopspindle/hyssopspindle/internal/stand/basis"
)

// Fault is what goes wrong on purpose.
type Fault struct {
	// Down cuts every connection, Frozen never answers.
	Down   bool `json:"down"`
	Frozen bool `json:"frozen"`
	// Restore shows an older revision; 0 is off.
	Restore uint64 `json:"restore"`
	// Corrupt changes every part on its way; Lose loses parts.
	Corrupt bool `json:"corrupt"`
	Lose    bool `json:"lose"`
}

// Listed is one entry of the host list.
type Listed struct {
	Name  string `json:"name"`
	State string `json:"state"`
}

type roster struct {
	Hosts []Listed `json:"hosts"`
}

type directory struct {
	Hosts []string `json:"hosts"`
}

// Publication is a set of documents that an operator publishes.
type Publication struct {
	Revision uint64         `json:"revision"`
	Parts    []PartDocument `json:"parts"`
}

// PartDocument is one document of a publication.
type PartDocument struct {
	Name string `json:"name"`
	Data string `json:"data"`
}

// Platform is one platform.
type Platform struct {
	server *basis.Server
	lag    time.Duration

	mu        sync.Mutex
	heads     map[uint64][]byte
	last      uint64
	parts     map[string][]byte
	fault     Fault
	calls     int
	stuck     int
	changed   chan struct{}
	states    map[string]change
	listed    []string
	addresses []string
}

type change struct {
	state string
	at    time.Time
}

// Start begins to serve on an address; the host list lags by the given time.
func Start(address string, lag time.Duration) (*Platform, error) {
	p := &Platform{
		lag: lag, heads: map[uint64][]byte{}, parts: map[string][]byte{},
		changed: make(chan struct{}), states: map[string]change{},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /config/head", p.guard(p.head))
	mux.HandleFunc("GET /config/part", p.guard(p.part))
	mux.HandleFunc("GET /hosts", p.guard(p.hosts))
	mux.HandleFunc("GET /directory", p.guard(p.directory))
	mux.HandleFunc("GET /calls", p.showCalls)
	mux.HandleFunc("POST /operator/publish", p.publish)
	mux.HandleFunc("POST /operator/state", p.state)
	mux.HandleFunc("POST /fault", p.setFault)
	s, err := basis.Serve(address, mux)
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	p.server = s
	return p, nil
}

// Address returns the platform's address.
func (p *Platform) Address() string { return p.server.Address() }

// Close ends the platform.
func (p *Platform) Close() error { return p.server.Close() }

// SetFault switches a fault on; the zero value switches all off.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
	p.wake()
}

// Calls returns the number of reads and watches.
func (p *Platform) Calls() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls
}

// ErrRevision is the error of a publication that is not above the last one.
var ErrRevision = errors.New("revision is not above the published one")

// Publish is what an operator does: it publishes documents under a revision.
func (p *Platform) Publish(pub Publication) error {
	var sources []invent.Source
	for _, d := range pub.Parts {
		if len(d.Data) > invent.MaxPart {
			return fmt.Errorf("part %s of %d bytes exceeds %d", d.Name, len(d.Data), invent.MaxPart)
		}
		sources = append(sources, invent.Source{Name: d.Name, Data: []byte(d.Data)})
	}
	head, err := invent.Bundle(pub.Revision, sources).Marshal()
	if err != nil {
		return fmt.Errorf("publish: %w", err)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if pub.Revision <= p.last {
		return ErrRevision
	}
	for _, s := range sources {
		p.parts[invent.Hash(s.Data)] = s.Data
	}
	p.heads[pub.Revision], p.last = head, pub.Revision
	p.list(pub.Revision, sources)
	p.wake()
	return nil
}

// list takes the host list and the directory from an inventory.
func (p *Platform) list(revision uint64, sources []invent.Source) {
	inv, err := invent.Accept(revision, sources)
	if err != nil {
		return
	}
	p.listed, p.addresses = nil, nil
	for _, h := range inv.Hosts() {
		p.listed = append(p.listed, h.Name)
		p.addresses = append(p.addresses, h.Callers)
	}
	for _, e := range inv.Endpoints() {
		p.listed = append(p.listed, e.Name)
	}
}

// SetState changes a state of the host list: live, leaving, or gone.
func (p *Platform) SetState(name, state string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.states[name] = change{state: state, at: time.Now()}
}

func (p *Platform) wake() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// guard counts calls and applies outages.
func (p *Platform) guard(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		p.mu.Lock()
		p.calls++
		f := p.fault
		p.mu.Unlock()
		switch {
		case f.Down:
			basis.Cut(w)
		case f.Frozen:
			p.freeze(r)
		default:
			next(w, r)
		}
	}
}

func (p *Platform) current() (uint64, []byte, chan struct{}) {
	p.mu.Lock()
	defer p.mu.Unlock()
	revision := p.last
	if p.fault.Restore != 0 {
		revision = p.fault.Restore
	}
	return revision, p.heads[revision], p.changed
}

func (p *Platform) head(w http.ResponseWriter, r *http.Request) {
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
		revision, head, changed := p.current()
		if p.frozen() {
			// A held watch freezes too.
			p.freeze(r)
			return
		}
		if head != nil && revision > after {
			// The caller may have left.
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

// freeze never answers a call.
func (p *Platform) freeze(r *http.Request) {
	p.mu.Lock()
	p.stuck++
	p.mu.Unlock()
	<-r.Context().Done()
}

// Stuck returns the number of calls that were never answered.
func (p *Platform) Stuck() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.stuck
}

func (p *Platform) frozen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault.Frozen
}

func (p *Platform) part(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	data, ok := p.parts[r.URL.Query().Get("hash")]
	f := p.fault
	p.mu.Unlock()
	if !ok || f.Lose {
		http.Error(w, "no such part", http.StatusNotFound)
		return
	}
	if f.Corrupt {
		data = append(slices.Clone(data), '#')
	}
	_, _ = w.Write(data)
}

func (p *Platform) hosts(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := roster{Hosts: []Listed{}}
	for _, name := range p.listed {
		c, ok := p.states[name]
		switch {
		case !ok || time.Since(c.at) < p.lag:
			out.Hosts = append(out.Hosts, Listed{Name: name, State: "live"})
		case c.state != "gone":
			out.Hosts = append(out.Hosts, Listed{Name: name, State: c.state})
		}
	}
	basis.WriteJSON(w, http.StatusOK, out)
}

func (p *Platform) directory(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	basis.WriteJSON(w, http.StatusOK, directory{Hosts: p.addresses})
}

func (p *Platform) showCalls(w http.ResponseWriter, _ *http.Request) {
	basis.WriteJSON(w, http.StatusOK, p.Calls())
}

func (p *Platform) publish(w http.ResponseWriter, r *http.Request) {
	var pub Publication
	if !basis.ReadJSON(w, r, &pub) {
		return
	}
	if err := p.Publish(pub); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) state(w http.ResponseWriter, r *http.Request) {
	var l Listed
	if basis.ReadJSON(w, r, &l) {
		p.SetState(l.Name, l.State)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (p *Platform) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if basis.ReadJSON(w, r, &f) {
		p.SetFault(f)
		w.WriteHeader(http.StatusNoContent)
	}
}

// Folder reads the documents of a folder as a publication.
func Folder(folder string, revision uint64) (Publication, error) {
	pub := Publication{Revision: revision}
	files, err := filepath.Glob(filepath.Join(folder, "*.toml"))
	if err != nil {
		return pub, fmt.Errorf("list %s: %w", folder, err)
	}
	if len(files) == 0 {
		return pub, fmt.Errorf("folder %s holds no documents", folder)
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
