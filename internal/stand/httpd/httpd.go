// Package httpd holds the HTTP server code that the stand-ins share. They use the
// standard library, so that the HTTP library of the hosts is not tested against itself.
package httpd

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"
)

const (
	readHeaderTimeout = 10 * time.Second
	maxBodyBytes      = 16 << 20
)

// Server is an HTTP server that can be closed.
type Server struct {
	server   *http.Server
	listener net.Listener
	done     chan struct{}
}

// Serve starts a server on an address; port 0 selects a free port.
func Serve(address string, h http.Handler) (*Server, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	s := &Server{
		server: &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}, listener: l, done: make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			panic(err)
		}
	}()
	return s, nil
}

// Address returns the address that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server and closes its connections immediately.
func (s *Server) Close() error {
	err := s.server.Close()
	<-s.done
	if err != nil {
		return fmt.Errorf("close server: %w", err)
	}
	return nil
}

// WriteJSON sends v as a JSON response.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The error is ignored: the client may have disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// ReadJSON decodes the request body into v. On an error it responds with status 400
// and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// CloseConn closes the connection of a request without completing the response.
func CloseConn(w http.ResponseWriter) {
	h, ok := w.(http.Hijacker)
	if !ok {
		return
	}
	conn, _, err := h.Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// Sleep waits for d. It returns false if ctx ends first.
func Sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
