package link

import (
	"fmt"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

// Stream is one request and its answer.
type Stream struct {
	s *quic.Stream
	// release gives an outgoing stream's connection back.
	release func()
}

// Write sends one frame; it fails where the peer takes nothing until the deadline.
func (s *Stream) Write(f wire.Frame, deadline time.Time) error {
	if err := s.s.SetWriteDeadline(deadline); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	if err := wire.Write(s.s, f); err != nil {
		return fmt.Errorf("stream: %w", err)
	}
	return nil
}

// Read receives one frame; it fails where none arrives until the deadline.
func (s *Stream) Read(limit int, deadline time.Time) (wire.Frame, error) {
	if err := s.s.SetReadDeadline(deadline); err != nil {
		return wire.Frame{}, fmt.Errorf("set read deadline: %w", err)
	}
	f, err := wire.Read(s.s, limit)
	if err != nil {
		return f, fmt.Errorf("stream: %w", err)
	}
	return f, nil
}

// Finish says that this side sends no more frames.
func (s *Stream) Finish() { _ = s.s.Close() }

// Close ends both directions; what was written before Finish still arrives.
func (s *Stream) Close() {
	s.s.CancelRead(streamRefused)
	_ = s.s.Close()
	s.released()
}

func (s *Stream) released() {
	if s.release != nil {
		s.release()
	}
}

// Abort ends both directions at once; the peer's context is cancelled.
func (s *Stream) Abort() {
	s.s.CancelRead(streamRefused)
	s.s.CancelWrite(streamRefused)
	s.released()
}
