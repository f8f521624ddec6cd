package link

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/certs"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/netem"
)

// TestSilentPeerLosesStreams: a connection whose peer is silent for too long gets no new
// stream, and the open ones resume when the peer does.
func TestSilentPeerLosesStreams(t *testing.T) {
	const keepAlive, maxSilence, idle = 200 * time.Millisecond, 2 * time.Second, 30 * time.Second
	ca, err := certs.NewAuthority(time.Now(), time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	open := func(name string, h Handlers) *Link {
		s, err := ca.Issue(name, time.Now(), time.Hour)
		if err != nil {
			t.Fatal(err)
		}
		l, err := New("127.0.0.1:0", s, WithKeepAlive(keepAlive, maxSilence, idle))
		if err != nil {
			t.Fatal(err)
		}
		l.Serve(h)
		t.Cleanup(func() { _ = l.Close() })
		return l
	}
	a, b := open("a", Handlers{}), open("b", echoHandlers())
	var silent atomic.Bool
	network, err := netem.Start("127.0.0.1:0", b.Address(), netem.Rules{
		Delay: func(string) time.Duration { return 0 },
		Drop:  func(string, bool, time.Time) bool { return silent.Load() },
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = network.Close() })
	stream, err := a.OpenStream(context.Background(), "b", network.Address())
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Abort()
	time.Sleep(2 * maxSilence)
	if !a.Connected("b") {
		t.Fatal("an idle connection with a live peer was retired")
	}
	silent.Store(true)
	eventually(t, "the silent connection retired", func() bool { return !a.Connected("b") })
	silent.Store(false)
	if err := stream.Write(wire.Frame{KeepAlive: true}, time.Now().Add(waitTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := stream.Read(wire.MaxFrame, time.Now().Add(waitTimeout)); err != nil {
		t.Errorf("the open stream did not go on: %v", err)
	}
}

// TestSilenceCountsChecks: the checks start again with each packet.
func TestSilenceCountsChecks(t *testing.T) {
	var s silence
	for i, tt := range []struct {
		received uint64
		want     int
	}{{5, 0}, {5, 1}, {5, 2}, {6, 0}, {6, 1}} {
		if got := s.observe(tt.received); got != tt.want {
			t.Errorf("check %d: got %d checks without a packet, want %d", i, got, tt.want)
		}
	}
}
