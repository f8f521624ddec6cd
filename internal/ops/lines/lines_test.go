package lines

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

var start = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

// stuck is an output whose reader does not read.
type stuck struct{ free chan struct{} }

func (s *stuck) Write(p []byte) (int, error) {
	<-s.free
	return len(p), nil
}

// TestStuckReaderBlocksNobody: lines are dropped and counted, and writing never waits.
func TestStuckReaderBlocksNobody(t *testing.T) {
	out := &stuck{free: make(chan struct{})}
	now := start
	w := New(out, func() time.Time { return now })
	for range 50_000 {
		now = now.Add(10 * time.Millisecond)
		if _, err := w.WriteLevel(zerolog.WarnLevel, []byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if w.Dropped() == 0 {
		t.Error("nothing was counted as dropped")
	}
	close(out.free)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
}

type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// TestFailuresOutliveRoutine: at a rate above both bounds routine lines are
// dropped and failures kept as far as theirs allows.
func TestFailuresOutliveRoutine(t *testing.T) {
	out := &buffer{}
	now := start
	w := New(out, func() time.Time { return now })
	for range 1000 {
		now = now.Add(5 * time.Millisecond)
		_, _ = w.WriteLevel(zerolog.DebugLevel, []byte("routine\n"))
		_, _ = w.WriteLevel(zerolog.WarnLevel, []byte("failure\n"))
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	text := out.b.String()
	if n := strings.Count(text, "failure"); n != 1000 {
		t.Errorf("%d of 1000 failures were kept", n)
	}
	if n := strings.Count(text, "routine"); n < 200 || n > 260 {
		t.Errorf("%d routine lines in 5 s, want about %v a second", n, routineRate)
	}
	if !strings.Contains(text, "log lines dropped") {
		t.Error("dropped lines are not told")
	}
}

func TestCloseTwice(t *testing.T) {
	w := New(&buffer{}, time.Now)
	_ = w.Close()
	if err := w.Close(); err != nil {
		t.Error(err)
	}
	if _, err := w.Write([]byte("late\n")); err != nil || w.Dropped() != 1 {
		t.Error("a late line is not counted")
	}
}
