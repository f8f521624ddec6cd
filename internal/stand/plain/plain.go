// Package plain is a stand-in for a plain service some of whose calls may not
// be repeated. It records each effect, so that doubles are counted from outside.
package plain

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/stand/basis"
)

// Fault is what goes wrong on purpose.
type Fault struct {
	// Times is the number of calls that meet the fault; 0 means all.
	Times int `json:"times"`
	// CutBefore closes the connection before the call is run, CutAfter after it.
	CutBefore bool `json:"cut_before"`
	CutAfter  bool `json:"cut_after"`
	// SilentAfter runs the call and never answers; Freeze does not run it either.
	SilentAfter bool `json:"silent_after"`
	Freeze      bool `json:"freeze"`
	// Refuse answers 429 without running the call.
	Refuse bool `json:"refuse"`
	// Status runs nothing and answers with a status.
	Status int `json:"status"`
	// Leaving tells hosts that the service takes no more work.
	Leaving bool `json:"leaving"`
	// DelayMS delays the answer after the call was run, in milliseconds.
	DelayMS int `json:"delay_ms"`
}

// Effect is one run of a call that changes something.
type Effect struct {
	Request string `json:"request"`
	Key     string `json:"key"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Digest  string `json:"digest"`
}

// Service is one plain service.
type Service struct {
	name   string
	delay  time.Duration
	server *basis.Server

	mu      sync.Mutex
	fault   Fault
	effects []Effect
	reads   int
	running int
}

type answer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Number  int    `json:"number"`
	Body    string `json:"body,omitempty"`
}

type load struct {
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	AgeMS   int64 `json:"age_ms"`
	Leaving bool  `json:"leaving"`
}

// Start begins to serve on an address; each call takes the given time.
func Start(address, name string, delay time.Duration) (*Service, error) {
	s := &Service{name: name, delay: delay}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", s.load)
	mux.HandleFunc("GET /effects", s.list)
	mux.HandleFunc("POST /fault", s.setFault)
	mux.HandleFunc("/", s.call)
	srv, err := basis.Serve(address, mux)
	if err != nil {
		return nil, fmt.Errorf("service %s: %w", name, err)
	}
	s.server = srv
	return s, nil
}

// Address returns the service's address.
func (s *Service) Address() string { return s.server.Address() }

// Close ends the service.
func (s *Service) Close() error { return s.server.Close() }

// SetFault switches a fault on; the zero value switches all off.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Effects returns the runs of calls that change something.
func (s *Service) Effects() []Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Effect(nil), s.effects...)
}

func (s *Service) takeFault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.fault
	if f.Times > 0 {
		s.fault.Times--
		if s.fault.Times == 0 {
			s.fault = Fault{}
		}
	}
	return f
}

func (s *Service) count(d int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += d
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	f := s.takeFault()
	s.count(1)
	defer s.count(-1)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if f.Leaving {
		w.Header().Set("X-Leaving", "1")
	}
	switch {
	case f.CutBefore:
		basis.Cut(w)
		return
	case f.Freeze:
		<-r.Context().Done()
		return
	case f.Refuse:
		basis.WriteJSON(w, http.StatusTooManyRequests, "busy")
		return
	case f.Status != 0:
		basis.WriteJSON(w, f.Status, "fault")
		return
	}
	number := s.run(r, body)
	basis.Sleep(r.Context(), s.delay+time.Duration(f.DelayMS)*time.Millisecond)
	switch {
	case f.CutAfter:
		basis.Cut(w)
	case f.SilentAfter:
		<-r.Context().Done()
	default:
		basis.WriteJSON(w, http.StatusOK, answer{Service: s.name, Path: r.URL.Path, Number: number, Body: string(body)})
	}
}

// run has the call's effect and returns its number.
func (s *Service) run(r *http.Request, body []byte) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodGet && r.Header.Get("Idempotency-Key") == "" {
		s.reads++
		return s.reads
	}
	sum := sha256.Sum256(body)
	s.effects = append(s.effects, Effect{
		Request: r.Header.Get("X-Request-Id"), Key: r.Header.Get("Idempotency-Key"),
		Method: r.Method, Path: r.URL.Path, Digest: hex.EncodeToString(sum[:]),
	})
	return len(s.effects)
}

func (s *Service) load(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	l := load{Running: s.running, Leaving: s.fault.Leaving}
	s.mu.Unlock()
	basis.WriteJSON(w, http.StatusOK, l)
}

func (s *Service) list(w http.ResponseWriter, _ *http.Request) {
	basis.WriteJSON(w, http.StatusOK, s.Effects())
}

func (s *Service) setFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if basis.ReadJSON(w, r, &f) {
		s.SetFault(f)
		w.WriteHeader(http.StatusNoContent)
	}
}
