package memory

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestUnfinishedBodiesTakeAllRoom plays a crowd of bodies that stop short of their end: one that arrives
// later is accepted, as it makes the largest of them leave.
func TestUnfinishedBodiesTakeAllRoom(t *testing.T) {
	for _, client := range []string{"crowd", "other"} {
		t.Run("body of "+client, func(t *testing.T) {
			const size = 1 << 20
			a := NewAccount(8 * size)
			var wg sync.WaitGroup
			for range 20 {
				var h *Hold
				ended := make(chan struct{})
				h = a.Open("crowd", func() { close(ended) })
				// A body that is refused leaves, like one that is dropped later.
				if err := h.Grow(size); err != nil {
					h.Close()
					continue
				}
				wg.Go(func() {
					<-ended
					h.Close()
				})
			}
			h := a.Open(client, func() {})
			for range 16 {
				if err := h.Grow(size / 16); err != nil {
					t.Fatal(err)
				}
			}
			if err := h.Accept(); err != nil {
				t.Fatal(err)
			}
		})
	}
}

// TestLargeBodiesTakeTheRoomOfSmallOnes: bodies that have arrived are never dropped, and leave room for small ones.
func TestLargeBodiesTakeTheRoomOfSmallOnes(t *testing.T) {
	const size = 1 << 20
	a := NewAccount(8 * size)
	accepted := 0
	for i := range 20 {
		h := a.Open(fmt.Sprint("client", i), func() { t.Error("a body that has arrived was dropped") })
		if h.Grow(size) != nil {
			h.Close()
			continue
		}
		if err := h.Accept(); err != nil {
			t.Fatal(err)
		}
		accepted++
	}
	if accepted != 6 {
		t.Errorf("%d large bodies were accepted, want 6 of 8 MiB", accepted)
	}
	small := a.Open("small", func() {})
	if err := small.Grow(SmallBytes); err != nil {
		t.Errorf("no room for a small body: %v", err)
	}
}

// TestAccountExceedsItsLimit plays bodies of a few clients that arrive in pieces, end and are dropped: no more than the limit is
// held at any time, and all of it is given back.
func TestAccountExceedsItsLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		const limit = 1 << 20
		level, most := 0, 0
		a := NewAccount(limit, WithLevel(func(bytes int) { level, most = bytes, max(most, bytes) }))
		var wg sync.WaitGroup
		for i := range rapid.IntRange(1, 30).Draw(rt, "bodies") {
			client, pieces := fmt.Sprint(rapid.IntRange(0, 3).Draw(rt, "client")), rapid.IntRange(1, 20).Draw(rt, "pieces")
			piece := rapid.IntRange(1, 100_000).Draw(rt, "piece")
			finishes := rapid.Bool().Draw(rt, "finishes")
			wg.Go(func() {
				ended := make(chan struct{})
				h := a.Open(client, func() { close(ended) })
				defer h.Close()
				for range pieces {
					if h.Grow(piece) != nil {
						return
					}
				}
				if finishes && h.Accept() == nil || i%2 == 0 {
					return
				}
				select {
				case <-ended:
				case <-time.After(time.Millisecond):
				}
			})
		}
		wg.Wait()
		if most > limit || level != 0 || a.leaving != 0 || len(a.holds) != 0 || len(a.clients) != 0 {
			rt.Errorf("held %d of %d at most, %d, %d and %d bodies are left", most, limit, level, a.leaving, len(a.holds))
		}
	})
}

// TestDroppedBodyIsAccepted guards against a body that is accepted after it was dropped for another one.
func TestDroppedBodyIsAccepted(t *testing.T) {
	a := NewAccount(100)
	ended := make(chan struct{})
	first := a.Open("a", func() { close(ended) })
	if err := first.Grow(75); err != nil {
		t.Fatal(err)
	}
	second := a.Open("b", func() {})
	done := make(chan error, 1)
	go func() { done <- second.Grow(50) }()
	<-ended
	if err := first.Accept(); !errors.Is(err, ErrFull) {
		t.Errorf("error %v, want that of a host without room", err)
	}
	first.Close()
	if err := <-done; err != nil {
		t.Error(err)
	}
}

// TestWaitingBodyIsDropped guards against a body that is reset because it waits for room: it has not grown for
// longest then, but has arrived as far as it may.
func TestWaitingBodyIsDropped(t *testing.T) {
	const size = 1 << 20
	for _, tt := range []struct {
		name string
		// client is that of the body that is short of room, bytes what it has, waiting what the one that waits
		// has, and stopped what one has that stops short of its end and has grown after that.
		client                  string
		waiting, stopped, bytes int
		wantFull, wantServed    bool
	}{
		{"for one of its client", "a", size, 0, 3 * size, true, true},
		{"for one of its client, beside one that stops", "a", size, size, 2 * size, false, true},
		{"for one of another client", "b", 3 * size, 0, size, false, false},
		{"for one of another client, beside one that stops", "b", 2 * size, size, size, false, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			a := NewAccount(8 * size)
			left, reset := make(chan struct{}), make(chan struct{})
			leaving, waiting := a.Open("a", func() { close(left) }), a.Open("a", func() { close(reset) })
			var stopped *Hold
			stopped = a.Open("a", func() { stopped.Close() })
			other := a.Open(tt.client, func() {})
			for _, body := range []struct {
				hold  *Hold
				bytes int
			}{{leaving, 2 * size}, {waiting, tt.waiting}, {stopped, tt.stopped}, {other, tt.bytes}} {
				if err := body.hold.Grow(body.bytes); err != nil {
					t.Fatal(err)
				}
			}
			served, full := make(chan error, 1), make(chan error, 1)
			go func() {
				err := waiting.Grow(size)
				if err == nil {
					err = waiting.Accept()
				}
				waiting.Close()
				served <- err
			}()
			<-left
			go func() { full <- other.Grow(2*size + 1) }()
			for end := time.Now().Add(time.Second); len(full) == 0 && !other.waitsForRoom() && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			leaving.Close()
			if err := <-served; (err == nil) != tt.wantServed {
				t.Errorf("the body that waited got %v, want it served: %v", err, tt.wantServed)
			}
			if err := <-full; errors.Is(err, ErrFull) != tt.wantFull {
				t.Errorf("the other body got %v, want it refused: %v", err, tt.wantFull)
			}
			select {
			case <-reset:
				t.Error("the connection of a body that waited was closed, want its refusal to be sent")
			case <-time.After(10 * time.Millisecond):
			}
		})
	}
}

func (h *Hold) waitsForRoom() bool {
	h.account.mu.Lock()
	defer h.account.mu.Unlock()
	return h.waiting
}
