// Package plain is a stand-in for a plain service with calls that must not run twice.
// It records each run of such a call, so that tests can count duplicates independently
// of the gateway.
package plain

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/stand/httpd"
)

// Fault is an injected fault.
type Fault struct {
	// Times is the number of calls that the fault applies to; 0 means all.
	Times int `json:"times"`
	// CutBefore closes the connection before the call runs, CutAfter after it ran.
	CutBefore bool `json:"cut_before"`
	CutAfter  bool `json:"cut_after"`
	// SilentAfter runs the call and never responds; Freeze neither runs it nor responds.
	SilentAfter bool `json:"silent_after"`
	Freeze      bool `json:"freeze"`
	// Refuse responds with status 429 without running the call.
	Refuse bool `json:"refuse"`
	// Status is sent as the response status without running the call; 0 is off.
	Status int `json:"status"`
	// Leaving reports the service as draining to the hosts.
	Leaving bool `json:"leaving"`
	// DelayMS delays the response after the call ran, in milliseconds.
	DelayMS int `json:"delay_ms"`
	// Raw runs the call and sends this answer.
	Raw httpd.Raw `json:"raw"`
	// RawLoad is sent instead of load reports.
	RawLoad httpd.Raw `json:"raw_load"`
}

// Effect is one run of a call that is not a read.
type Effect struct {
	Request string `json:"request"`
	Key     string `json:"key"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Digest  string `json:"digest"`
}

// Service is a running stand-in.
type Service struct {
	name   string
	delay  time.Duration
	server *httpd.Server

	mu      sync.Mutex
	fault   Fault
	effects []Effect
	reads   int
	running int
	// left is the number of raw answers whose client closed the connection.
	left int
}

type answer struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	// Target is the path and query as they were sent.
	Target string `json:"target"`
	Method string `json:"method"`
	Number int    `json:"number"`
	Body   string `json:"body,omitempty"`
}

type loadReport struct {
	Running int   `json:"running"`
	Queued  int   `json:"queued"`
	AgeMS   int64 `json:"age_ms"`
	Leaving bool  `json:"leaving"`
}

// Start starts a service on an address. Each call takes delay.
func Start(address, name string, delay time.Duration) (*Service, error) {
	s := &Service{name: name, delay: delay}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /load", s.serveLoad)
	mux.HandleFunc("GET /effects", s.serveEffects)
	mux.HandleFunc("POST /fault", s.serveFault)
	srv, err := httpd.Serve(address, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		// The multiplexer would redirect calls whose path it would write in another way.
		if _, pattern := mux.Handler(r); pattern == "" || r.URL.Path != r.RequestURI {
			s.serveCall(w, r)
			return
		}
		mux.ServeHTTP(w, r)
	}))
	if err != nil {
		return nil, fmt.Errorf("service %s: %w", name, err)
	}
	s.server = srv
	return s, nil
}

// Address returns the service's address.
func (s *Service) Address() string { return s.server.Address() }

// Close stops the service.
func (s *Service) Close() error { return s.server.Close() }

// SetFault replaces the injected fault; the zero value removes it.
func (s *Service) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Effects returns the recorded runs of calls that are not reads.
func (s *Service) Effects() []Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Effect(nil), s.effects...)
}

// nextFault returns the fault for a new call and counts down its Times.
func (s *Service) nextFault() Fault {
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

func (s *Service) addRunning(d int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += d
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	f := s.nextFault()
	s.addRunning(1)
	defer s.addRunning(-1)
	if f.Raw.Early {
		r.Body = io.NopCloser(io.LimitReader(r.Body, int64(f.Raw.Read)))
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if f.Leaving {
		w.Header().Set("X-Leaving", "1")
	}
	switch {
	case f.CutBefore:
		httpd.CloseConn(w)
		return
	case f.Freeze:
		<-r.Context().Done()
		return
	case f.Refuse:
		httpd.WriteJSON(w, http.StatusTooManyRequests, "busy")
		return
	case f.Status != 0:
		httpd.WriteJSON(w, f.Status, "fault")
		return
	}
	number := s.run(r, body)
	httpd.Sleep(r.Context(), s.delay+time.Duration(f.DelayMS)*time.Millisecond)
	switch {
	case f.CutAfter:
		httpd.CloseConn(w)
	case f.SilentAfter:
		<-r.Context().Done()
	case f.Raw != (httpd.Raw{}):
		s.sendRaw(w, f.Raw)
	default:
		httpd.WriteJSON(w, http.StatusOK, answer{Service: s.name, Path: r.URL.Path, Target: r.RequestURI, Method: r.Method, Number: number, Body: string(body)})
	}
}

func (s *Service) sendRaw(w http.ResponseWriter, a httpd.Raw) {
	if a.Send(w) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.left++
	}
}

// Left returns the number of raw answers whose client closed the connection.
func (s *Service) Left() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.left
}

// run counts a read or records an effect, and returns its number. A GET with an
// operation key is an effect.
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

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	l, raw := loadReport{Running: s.running, Leaving: s.fault.Leaving}, s.fault.RawLoad
	s.mu.Unlock()
	if raw != (httpd.Raw{}) {
		s.sendRaw(w, raw)
		return
	}
	httpd.WriteJSON(w, http.StatusOK, l)
}

func (s *Service) serveEffects(w http.ResponseWriter, _ *http.Request) {
	httpd.WriteJSON(w, http.StatusOK, s.Effects())
}

func (s *Service) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if httpd.ReadJSON(w, r, &f) {
		s.SetFault(f)
		w.WriteHeader(http.StatusNoContent)
	}
}
