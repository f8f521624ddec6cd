package link

import (
	"fmt"
	"io"
	"time"

	"github.com/quic-go/quic-go"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

// Stream carries one request and its answer.
type Stream struct {
	s *quic.Stream
	// release removes an outgoing stream from its connection; nil for an incoming
	// stream.
	release func()
}

// Write sends a frame. It fails if flow control blocks it until the deadline. If a part of the frame
// was sent then, it resets the stream, as the next frame would complete it.
func (s *Stream) Write(f wire.Frame, deadline time.Time) error {
	if err := s.s.SetWriteDeadline(deadline); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	if err := wire.Write(uncutWriter{s.s}, f); err != nil {
		return fmt.Errorf("write to stream: %w", err)
	}
	return nil
}

// uncutWriter resets a stream to which a part of a frame was written.
type uncutWriter struct{ s *quic.Stream }

// Write implements io.Writer.
func (w uncutWriter) Write(p []byte) (int, error) {
	n, err := w.s.Write(p)
	if err != nil && n > 0 {
		w.s.CancelWrite(streamCancelled)
	}
	return n, err
}

// Read receives a frame of at most limit bytes. It fails if no complete frame
// arrives before the deadline.
func (s *Stream) Read(limit int, deadline time.Time) (wire.Frame, error) {
	return s.ReadReserved(limit, deadline, func(int) error { return nil })
}

// ReadReserved is like Read, and calls reserve with the size of the frame before it receives the frame
// itself. It fails with the error of reserve if there is one.
func (s *Stream) ReadReserved(limit int, deadline time.Time, reserve func(bytes int) error) (wire.Frame, error) {
	if err := s.s.SetReadDeadline(deadline); err != nil {
		return wire.Frame{}, fmt.Errorf("set read deadline: %w", err)
	}
	f, err := wire.ReadReserved(s.s, limit, reserve)
	if err != nil {
		return f, fmt.Errorf("read from stream: %w", err)
	}
	return f, nil
}

// Next receives a frame of at most limit bytes. It waits until one arrives or Expire or
// Abort is called. It calls reserve like ReadReserved.
func (s *Stream) Next(limit int, reserve func(bytes int) error) (wire.Frame, error) {
	f, err := wire.ReadReserved(s.s, limit, reserve)
	if err != nil {
		return f, fmt.Errorf("read from stream: %w", err)
	}
	return f, nil
}

// Discard receives and drops what the peer still sends, until its end or the deadline.
func (s *Stream) Discard(deadline time.Time) {
	if s.s.SetReadDeadline(deadline) == nil {
		_, _ = io.Copy(io.Discard, s.s)
	}
}

// Expire fails the present read and all later ones.
func (s *Stream) Expire() { _ = s.s.SetReadDeadline(time.Now()) }

// Finish closes the sending direction.
func (s *Stream) Finish() { _ = s.s.Close() }

// Close closes both directions. Frames already written are still delivered.
func (s *Stream) Close() {
	s.s.CancelRead(streamCancelled)
	_ = s.s.Close()
	s.releaseConn()
}

func (s *Stream) releaseConn() {
	if s.release != nil {
		s.release()
	}
}

// Abort cancels both directions at once, which cancels the stream's context at
// the peer.
func (s *Stream) Abort() {
	s.s.CancelRead(streamCancelled)
	s.s.CancelWrite(streamCancelled)
	s.releaseConn()
}
