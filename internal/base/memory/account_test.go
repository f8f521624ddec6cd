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
