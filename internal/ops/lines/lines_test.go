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

// blockedOutput is an output whose writes block until unblock is closed.
type blockedOutput struct{ unblock chan struct{} }

func (s *blockedOutput) Write(p []byte) (int, error) {
	<-s.unblock
	return len(p), nil
}

// TestBlockedOutputDoesNotBlockWriter checks that a write never waits for a blocked
// output, and that the lines that do not fit into the queue are dropped and counted.
func TestBlockedOutputDoesNotBlockWriter(t *testing.T) {
	out := &blockedOutput{unblock: make(chan struct{})}
	now := start
	w := New(out, func() time.Time { return now })
	for range 50_000 {
		now = now.Add(10 * time.Millisecond)
		if _, err := w.WriteLevel(zerolog.WarnLevel, []byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if w.Dropped() == 0 {
		t.Error("Dropped returned 0, want the lines that did not fit into the queue")
	}
	close(out.unblock)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
}

// buffer is a bytes.Buffer that is safe for concurrent writes.
type buffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (b *buffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.b.Write(p)
}

// TestDebugLinesAreDroppedFirst checks that only debug lines are dropped at 200 lines a
// second of each level, which exceeds debugLineRate but not infoLineRate.
func TestDebugLinesAreDroppedFirst(t *testing.T) {
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
		t.Errorf("%d warnings were written, want all 1000", n)
	}
	if n := strings.Count(text, "routine"); n < 200 || n > 260 {
		t.Errorf("%d debug lines were written in 5 s, want about %v a second", n, debugLineRate)
	}
	if !strings.Contains(text, "log lines dropped") {
		t.Error("output does not report the dropped lines")
	}
}

func TestCloseTwice(t *testing.T) {
	w := New(&buffer{}, time.Now)
	_ = w.Close()
	if err := w.Close(); err != nil {
		t.Errorf("second Close returned %v, want no error", err)
	}
	if _, err := w.Write([]byte("late\n")); err != nil || w.Dropped() != 1 {
		t.Errorf("line after Close: error %v, %d lines dropped, want no error and 1", err, w.Dropped())
	}
}

// chunks records each write.
type chunks struct {
	mu   sync.Mutex
	list []string
}

func (c *chunks) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, string(p))
	return len(p), nil
}

// TestWritesAreShort checks that no write exceeds what a pipe takes whole, and that each
// write ends with a whole line.
func TestWritesAreShort(t *testing.T) {
	const pipeBuf = 4096
	out, lines := &chunks{}, 300
	w := New(out, func() time.Time { return start })
	for i := range lines {
		if _, err := w.WriteLevel(zerolog.InfoLevel, []byte(strings.Repeat("x", i)+"\n")); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	count := 0
	for _, p := range out.list {
		count += strings.Count(p, "\n")
		if len(p) > pipeBuf || !strings.HasSuffix(p, "\n") {
			t.Errorf("write of %d bytes, ends with a whole line: %v; want at most %d bytes and whole lines", len(p), strings.HasSuffix(p, "\n"), pipeBuf)
		}
	}
	if count != lines {
		t.Errorf("%d lines were written, want %d", count, lines)
	}
}

// TestWarningsAreKeptAmongInfoLines guards against the loss of warnings, which are rare, at a host
// that drops thousands of info lines.
func TestWarningsAreKeptAmongInfoLines(t *testing.T) {
	out := &buffer{}
	now := start
	w := New(out, func() time.Time { return now })
	for range 1000 {
		now = now.Add(5 * time.Millisecond)
		for range 10 {
			_, _ = w.WriteLevel(zerolog.InfoLevel, []byte("change\n"))
		}
		_, _ = w.WriteLevel(zerolog.WarnLevel, []byte("broken\n"))
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	text := out.b.String()
	if n := strings.Count(text, "broken"); n != 1000 {
		t.Errorf("%d warnings were written, want all 1000", n)
	}
	if !strings.Contains(text, `"warn":0`) {
		t.Error("output does not report by class which lines were dropped")
	}
}
