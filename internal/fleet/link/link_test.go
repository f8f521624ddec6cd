package link

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/certs"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

// waitTimeout bounds each wait of the tests. It is far below the idle timeout of a
// connection, so that no test passes because of that timeout.
const waitTimeout = 20 * time.Second

func newLinkPair(t *testing.T) (a, b *Link) {
	t.Helper()
	return newLinkPairWith(t, echoHandlers())
}

// newLinkPairWith returns two links, of which b serves streams with the handlers.
func newLinkPairWith(t *testing.T, handlers Handlers) (a, b *Link) {
	t.Helper()
	ca, err := certs.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	open := func(name, address string) *Link {
		s, err := ca.Issue(name, time.Now(), time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		l, err := New(address, s)
		if err != nil {
			t.Fatal(err)
		}
		return l
	}
	a = open("a", "127.0.0.1:0")
	b = open("b", "127.0.0.1:0")
	a.Serve(Handlers{})
	b.Serve(handlers)
	t.Cleanup(func() { _ = a.Close() })
	return a, b
}

// echoHandlers returns handlers that answer each stream with its first frame.
func echoHandlers() Handlers {
	return Handlers{Stream: func(_ context.Context, _ string, s *Stream) {
		f, err := s.Read(wire.MaxFrame, time.Now().Add(waitTimeout))
		if err == nil {
			_ = s.Write(f, time.Now().Add(waitTimeout))
		}
	}}
}

func exchange(l *Link, address string) error {
	s, err := l.OpenStream(context.Background(), "b", address)
	if err != nil {
		return err
	}
	defer s.Abort()
	if err := s.Write(wire.Frame{KeepAlive: true}, time.Now().Add(waitTimeout)); err != nil {
		return err
	}
	s.Finish()
	_, err = s.Read(wire.MaxFrame, time.Now().Add(waitTimeout))
	return err
}

// openConns returns the number of open outgoing connections.
func (l *Link) openConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, p := range l.conns {
		if p.conn.Context().Err() == nil {
			n++
		}
	}
	return n
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	if !waitFor(condition) {
		t.Fatalf("timed out waiting: want %s", what)
	}
}

// waitFor waits for a condition and reports whether it became true.
func waitFor(condition func() bool) bool {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}

func wait(t *testing.T, what string, c <-chan struct{}) {
	t.Helper()
	select {
	case <-c:
	case <-time.After(waitTimeout):
		t.Fatalf("timed out waiting: want %s", what)
	}
}

// TestCloseSaysSo checks that a closing link notifies its peers, so that they do
// not keep a dead connection until the idle timeout.
func TestCloseSaysSo(t *testing.T) {
	a, b := newLinkPair(t)
	address := b.transport.Conn.LocalAddr().String()
	if err := exchange(a, address); err != nil {
		t.Fatal(err)
	}
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the peer notified of the close", func() bool { return a.openConns() == 0 })
}

// TestCloseNotifiesBeforeSocketCloses holds the goroutine of an incoming connection
// until the socket is closed, and checks that the peer was notified nevertheless.
func TestCloseNotifiesBeforeSocketCloses(t *testing.T) {
	a, b := newLinkPair(t)
	socketClosed := func() bool { return b.transport.Conn.SetReadDeadline(time.Time{}) != nil }
	b.served = func() { waitFor(socketClosed) }
	address := b.transport.Conn.LocalAddr().String()
	if err := exchange(a, address); err != nil {
		t.Fatal(err)
	}
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	eventually(t, "the peer notified of the close", func() bool { return a.openConns() == 0 })
}

// TestCloseNotifiesOnDroppedConn checks that a closing link notifies the peer on a
// dropped connection that still has a stream.
func TestCloseNotifiesOnDroppedConn(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	a, b := newLinkPairWith(t, Handlers{Stream: func(ctx context.Context, _ string, _ *Stream) {
		close(started)
		<-ctx.Done()
		close(ended)
	}})
	defer func() { _ = b.Close() }()
	stream, err := a.OpenStream(context.Background(), "b", b.transport.Conn.LocalAddr().String())
	if err != nil {
		t.Fatal(err)
	}
	if err := stream.Write(wire.Frame{KeepAlive: true}, time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	wait(t, "the stream's handler started", started)
	a.DropConn("b")
	if err := a.Close(); err != nil {
		t.Fatal(err)
	}
	wait(t, "the peer notified of the close", ended)
}

// TestDropUsesNewPort checks that the next stream after a drop uses another local
// port, and that the dropped connection closes after its last stream.
func TestDropUsesNewPort(t *testing.T) {
	a, b := newLinkPair(t)
	defer func() { _ = b.Close() }()
	address := b.transport.Conn.LocalAddr().String()
	stream, err := a.OpenStream(context.Background(), "b", address)
	if err != nil {
		t.Fatal(err)
	}
	old := a.conns["b"]
	a.DropConn("b")
	if err := exchange(a, address); err != nil {
		t.Fatal(err)
	}
	if a.conns["b"].conn.LocalAddr().String() == old.conn.LocalAddr().String() {
		t.Error("the new connection has the port of the old one")
	}
	if old.conn.Context().Err() != nil {
		t.Error("the old connection was closed while it had an open stream")
	}
	stream.Abort()
	eventually(t, "the old connection closed", func() bool { return old.conn.Context().Err() != nil })
}

func TestNotSent(t *testing.T) {
	a, b := newLinkPair(t)
	address := b.transport.Conn.LocalAddr().String()
	if err := b.Close(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	if _, err := a.OpenStream(ctx, "b", address); err == nil {
		t.Error("a stream was opened after the peer closed, want an error")
	}
}

// TestCutFrameIsReceived guards against a frame that is received although its sender, or the sender's
// host, ended within it: after its length, within it, or but for its last byte.
func TestCutFrameIsReceived(t *testing.T) {
	var frame bytes.Buffer
	if err := wire.Write(&frame, wire.Frame{Data: []byte("id: 1\ndata: 0123456789\n\n")}); err != nil {
		t.Fatal(err)
	}
	for name, end := range map[string]func(l *Link, s *Stream){
		"finished": func(_ *Link, s *Stream) { s.Finish() }, "closed": func(_ *Link, s *Stream) { s.Close() },
		"aborted": func(_ *Link, s *Stream) { s.Abort() }, "handler returned": func(*Link, *Stream) {},
		"link closed": func(l *Link, _ *Stream) { go func() { _ = l.Close() }() },
	} {
		for _, sent := range []int{0, 1, 3, 4, 5, frame.Len() / 2, frame.Len() - 1, frame.Len()} {
			var b *Link
			ready := make(chan struct{})
			a, started := newLinkPairWith(t, Handlers{Stream: func(_ context.Context, _ string, s *Stream) {
				<-ready
				_, _ = s.Read(wire.MaxFrame, time.Now().Add(waitTimeout))
				_ = s.Write(wire.Frame{Head: new(wire.NewHead(200))}, time.Now().Add(waitTimeout))
				_, _ = s.s.Write(frame.Bytes()[:sent])
				end(b, s)
			}})
			b = started
			close(ready)
			s, err := a.OpenStream(context.Background(), "b", b.Address())
			if err != nil {
				t.Fatal(err)
			}
			if err := s.Write(wire.Frame{KeepAlive: true}, time.Now().Add(waitTimeout)); err != nil {
				t.Fatal(err)
			}
			var heads, data, ends int
			for err == nil {
				var f wire.Frame
				if f, err = s.Read(wire.MaxFrame, time.Now().Add(waitTimeout)); err != nil {
					break
				}
				switch {
				case f.Head != nil:
					heads++
				case f.Data != nil:
					data++
				default:
					ends++
				}
			}
			if heads > 1 || data > 1 || ends > 0 || (sent < frame.Len() && data > 0) {
				t.Errorf("%s after %d of %d bytes: received %d heads, %d frames of data, %d others", name, sent, frame.Len(), heads, data, ends)
			}
			s.Abort()
			_ = b.Close()
			_ = a.Close()
		}
	}
}

// TestFrameFollowsCutFrame guards against a frame that is cut by its timeout and completed with the
// bytes of the next ones, so that the receiver takes those for data of an answer.
func TestFrameFollowsCutFrame(t *testing.T) {
	const cutAfter = time.Second
	// cut exceeds the window of a stream, so that a part of its frame is sent.
	cut := wire.Frame{Data: make([]byte, 2<<20)}
	failed, failedAgain := make(chan error, 1), make(chan error, 1)
	a, b := newLinkPairWith(t, Handlers{Stream: func(_ context.Context, _ string, s *Stream) {
		_, _ = s.Read(wire.MaxFrame, time.Now().Add(waitTimeout))
		failed <- s.Write(cut, time.Now().Add(cutAfter))
		end := wire.Frame{Data: make([]byte, len(cut.Data)), End: &wire.End{}}
		failedAgain <- s.Write(end, time.Now().Add(waitTimeout))
	}})
	defer func() { _ = b.Close() }()
	s, err := a.OpenStream(context.Background(), "b", b.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Abort()
	if err := s.Write(wire.Frame{KeepAlive: true}, time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	if err := <-failed; err == nil {
		t.Fatal("the frame was written whole, want a timeout")
	}
	for {
		f, err := s.Read(wire.MaxFrame, time.Now().Add(waitTimeout))
		if err != nil {
			break
		}
		t.Errorf("received a frame with %d bytes of data, end %v, after a frame that was cut", len(f.Data), f.End)
	}
	if err := <-failedAgain; err == nil {
		t.Error("a frame was written after one that was cut")
	}
}

// TestLateFrameEndsStream guards against a stream that is reset for a frame of which nothing was sent:
// the next one, which states the end, arrives.
func TestLateFrameEndsStream(t *testing.T) {
	a, b := newLinkPairWith(t, Handlers{Stream: func(_ context.Context, _ string, s *Stream) {
		_, _ = s.Read(wire.MaxFrame, time.Now().Add(waitTimeout))
		if s.Write(wire.Frame{Data: []byte("late")}, time.Now().Add(-time.Second)) == nil {
			t.Error("a frame was written after its deadline")
		}
		if s.Write(wire.Frame{Data: make([]byte, wire.MaxFrame+1)}, time.Now().Add(waitTimeout)) == nil {
			t.Error("a frame was written that is too large")
		}
		_ = s.Write(wire.Frame{End: &wire.End{Code: "busy"}}, time.Now().Add(waitTimeout))
	}})
	defer func() { _ = b.Close() }()
	s, err := a.OpenStream(context.Background(), "b", b.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer s.Abort()
	if err := s.Write(wire.Frame{KeepAlive: true}, time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	if f, err := s.Read(wire.MaxFrame, time.Now().Add(waitTimeout)); err != nil || f.End == nil {
		t.Errorf("received %+v, error %v, want the end", f, err)
	}
}
