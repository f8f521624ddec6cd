package held

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"pgregory.net/rapid"
)

// TestBodyIsCollected: a body that arrives in pieces of any size, with or without a length, is what was sent.
func TestBodyIsCollected(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		want := bytes.Repeat([]byte{1, 2, 3}, rapid.IntRange(0, 3*blockBytes).Draw(rt, "thirds"))
		announced := int64(-1)
		if rapid.Bool().Draw(rt, "announced") {
			announced = int64(len(want))
		}
		var src io.Reader = bytes.NewReader(want)
		if rapid.Bool().Draw(rt, "in halves") {
			src = iotest.HalfReader(src)
		}
		b := NewBody(announced)
		for {
			n, err := src.Read(b.Room())
			b.Extend(n)
			if errors.Is(err, io.EOF) {
				break
			}
		}
		got := b.Bytes()
		if !bytes.Equal(got, want) || b.Len() != len(want) || cap(got) > 2*len(got)+blockBytes/2 && len(got) > 0 {
			rt.Fatalf("got %d bytes with room for %d, want %d", len(got), cap(got), len(want))
		}
	})
}

// TestWaitingIsAccounted: what waits to be written counts until it is closed, a part only while it is passed, and a
// body of several parts is not written over its first part.
func TestWaitingIsAccounted(t *testing.T) {
	level, ended := 0, 0
	a := New(100, 10, func(n int) { level = n })
	w := NewWaiting(a, func() { ended++ })
	first := append(make([]byte, 0, 64), "first"...)
	if err := errors.Join(w.Add(first), w.Add([]byte(" second"))); err != nil || string(w.Body()) != "first second" || level != 12 {
		t.Fatalf("got body %q, error %v, %d bytes", w.Body(), err, level)
	}
	if more := first[:12]; bytes.Equal(more, w.Body()) {
		t.Error("the second part was written behind the first one, which another one may keep")
	}
	p := NewWaiting(a, func() {})
	during := 0
	if err := p.Pass(make([]byte, 20), func([]byte) error { during = level; return nil }); err != nil || during != 32 || level != 12 {
		t.Errorf("got error %v, %d bytes during the write and %d behind it, want 32 and 12", err, during, level)
	}
	if err := p.Add(make([]byte, 95)); !errors.Is(err, ErrFull) || ended != 0 {
		t.Errorf("got error %v, %d others ended, want the longest one to go", err, ended)
	}
	long := NewWaiting(a, func() {})
	if err := errors.Join(long.Add(make([]byte, 5)), w.Add(make([]byte, 80))); err != nil {
		t.Fatal(err)
	}
	if err := long.Add(make([]byte, 10)); err != nil || ended != 1 {
		t.Errorf("got error %v, %d others ended, want the longest one to go", err, ended)
	}
	w.Close()
	p.Close()
	long.Close()
	if level != 0 {
		t.Errorf("%d bytes are left", level)
	}
}
