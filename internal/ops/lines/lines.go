// Package lines writes log lines without ever making their writer wait: lines
// go through a bounded buffer, and where it is full or a rate is exceeded they
// are dropped and counted. Routine lines are dropped before failures.
package lines

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
)

const (
	// routineRate and failureRate are lines a second, with a burst of as many.
	routineRate = 40.0
	failureRate = 400.0
	// buffered is the number of lines that wait for the output.
	buffered = 2048
	// reserve is the part of the buffer that only failures use.
	reserve   = buffered / 4
	batch     = 32 << 10
	flushTime = 200 * time.Millisecond
)

// bucket is a rate with a burst of one second.
type bucket struct {
	rate, left float64
	at         time.Time
}

func (b *bucket) take(now time.Time) bool {
	if !b.at.IsZero() {
		b.left = min(b.rate, b.left+b.rate*now.Sub(b.at).Seconds())
	} else {
		b.left = b.rate
	}
	b.at = now
	if b.left < 1 {
		return false
	}
	b.left--
	return true
}

// Writer is a zerolog.LevelWriter over a slow output.
type Writer struct {
	out  io.Writer
	now  func() time.Time
	ch   chan []byte
	done chan struct{}

	mu      sync.Mutex
	routine bucket
	failure bucket
	closed  bool
	dropped atomic.Uint64
}

// New returns a writer that starts at once; Close ends it.
func New(out io.Writer, now func() time.Time) *Writer {
	w := &Writer{
		out: out, now: now, ch: make(chan []byte, buffered), done: make(chan struct{}),
		routine: bucket{rate: routineRate}, failure: bucket{rate: failureRate},
	}
	go w.run()
	return w
}

// Write takes a line without a level.
func (w *Writer) Write(p []byte) (int, error) { return w.WriteLevel(zerolog.InfoLevel, p) }

// WriteLevel takes a line. Lines of level debug are routine, all others are failures
// or changes of belief.
func (w *Writer) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b, room := &w.failure, buffered
	if level <= zerolog.DebugLevel {
		b, room = &w.routine, buffered-reserve
	}
	if w.closed || len(w.ch) >= room || !b.take(w.now()) {
		w.dropped.Add(1)
		return len(p), nil
	}
	// The logger uses p again for its next line.
	w.ch <- append([]byte(nil), p...)
	return len(p), nil
}

// Dropped counts the lines that were not written.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// run writes what waits, many lines in one call.
func (w *Writer) run() {
	defer close(w.done)
	var told uint64
	buf := make([]byte, 0, batch)
	for line := range w.ch {
		buf = append(buf[:0], line...)
		end := time.NewTimer(flushTime)
		buf = w.fill(buf, end.C)
		end.Stop()
		if n := w.dropped.Load(); n > told {
			buf = fmt.Appendf(buf, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"dropped\":%d}\n", n)
			told = n
		}
		if _, err := w.out.Write(buf); err != nil {
			w.dropped.Add(1)
		}
	}
}

// fill collects lines until the time is up or the batch is full.
func (w *Writer) fill(buf []byte, end <-chan time.Time) []byte {
	for len(buf) < batch-2048 {
		select {
		case line, ok := <-w.ch:
			if !ok {
				return buf
			}
			buf = append(buf, line...)
		case <-end:
			return buf
		}
	}
	return buf
}

// Close writes what waits and ends the writer.
func (w *Writer) Close() error {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return nil
	}
	w.closed = true
	close(w.ch)
	w.mu.Unlock()
	<-w.done
	return nil
}
