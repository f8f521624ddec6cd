package stream

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/base/seeds"
)

func init() { seeds.Fix() }

func event(i int) string { return fmt.Sprintf("id: %d\ndata: token %d\n\n", i, i) }

// TestResumeAnywhere: a stream that is split into random reads, broken and resumed
// with repeated events yields the whole stream, each event once.
func TestResumeAnywhere(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 20).Draw(rt, "events")
		var whole strings.Builder
		for i := range n {
			whole.WriteString(event(i))
		}
		whole.WriteString("data: [DONE]\n\n")
		s := NewSplitter()
		s.RequireConsecutive()
		var got strings.Builder
		for !s.Done() {
			from := rapid.IntRange(0, max(0, s.LastID()+1)).Draw(rt, "from")
			text := whole.String()[strings.Index(whole.String()+"id: "+fmt.Sprint(from), fmt.Sprintf("id: %d\n", min(from, n-1))):]
			cut := rapid.IntRange(0, len(text)).Draw(rt, "cut")
			if rapid.Bool().Draw(rt, "all") {
				cut = len(text)
			}
			for text = text[:cut]; text != ""; {
				k := rapid.IntRange(1, len(text)).Draw(rt, "read")
				out, err := s.Add([]byte(text[:k]))
				if err != nil {
					rt.Fatal(err)
				}
				got.Write(out)
				text = text[k:]
			}
			s.DropPartial()
		}
		if got.String() != whole.String() {
			rt.Fatalf("got %q, want %q", got.String(), whole.String())
		}
	})
}

func TestGapIsDetected(t *testing.T) {
	s := NewSplitter()
	s.RequireConsecutive()
	out, err := s.Add([]byte(event(0) + event(2) + "data: [DONE]\n\n"))
	if !errors.Is(err, ErrGap) || string(out) != event(0) || s.Done() {
		t.Fatalf("Add = %q, %v, done %v; want event 0, ErrGap, false", out, err, s.Done())
	}
}

func TestEventTooLong(t *testing.T) {
	if _, err := NewSplitter().Add(make([]byte, MaxEvent+1)); !errors.Is(err, ErrTooLong) {
		t.Fatalf("Add: %v, want ErrTooLong", err)
	}
}

func TestDoneEventForms(t *testing.T) {
	for _, text := range []string{"data: [DONE]\n\n", "data:[DONE]\r\n\r\n", ": hint\n\ndata: [DONE]\n\n"} {
		s := NewSplitter()
		out, err := s.Add([]byte(text))
		if err != nil || string(out) != text || !s.Done() {
			t.Errorf("Add(%q) = %q, %v, done %v; want the event unchanged, nil, true", text, out, err, s.Done())
		}
	}
}

// TestTextIsNoClosingEvent guards against a stream that ends as complete at an event whose text names
// the closing event.
func TestTextIsNoClosingEvent(t *testing.T) {
	for _, text := range []string{
		"data: a\ndata: [DONE]\n\n", "data: [DONE]\ndata: a\n\n", "data: say data: [DONE]\n\n", "event: data: [DONE]\n\n", ": data: [DONE]\n\n",
		"data: [DONE]", "data: [DONE]\n",
	} {
		s := NewSplitter()
		if _, err := s.Add([]byte(text)); err != nil || s.Done() || HasClosing([]byte(text)) {
			t.Errorf("%q: error %v, done %v, closing %v, want an event like others", text, err, s.Done(), HasClosing([]byte(text)))
		}
	}
	for _, text := range []string{"data: [DONE]\n\n", "data:[DONE]\r\n\r\n", "data: a\n\nid: 3\ndata: [DONE]\n\n"} {
		if !HasClosing([]byte(text)) {
			t.Errorf("%q: the closing event is not found", text)
		}
	}
}

// TestEventLikeClosingOneIsDropped guards against a stream that lacks an event, with an id of its own,
// because an earlier one had the text of the closing event too.
func TestEventLikeClosingOneIsDropped(t *testing.T) {
	const text = "id: 1\ndata: [DONE]\n\nid: 2\ndata: [DONE]\n\nid: 3\ndata: a\n\n"
	s := NewSplitter()
	if out, err := s.Add([]byte(text)); err != nil || string(out) != text || s.LastID() != 3 {
		t.Errorf("got %q, error %v, want all events", out, err)
	}
	s = NewSplitter()
	const closing = "data: [DONE]\n\n"
	if out, err := s.Add([]byte(closing + closing)); err != nil || string(out) != closing {
		t.Errorf("got %q, error %v, want the closing event once", out, err)
	}
}
