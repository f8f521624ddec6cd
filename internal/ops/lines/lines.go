// Package lines writes log lines without blocking the code that logs: lines pass
// through a bounded queue, and are dropped and counted if the queue is full or a
// rate limit is exceeded. Debug lines are dropped before lines of higher levels.
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
	// debugLineRate and infoLineRate bound the lines per second of level debug and
	// of higher levels; a burst of one second's lines is allowed.
	debugLineRate = 40.0
	infoLineRate  = 400.0
	// bufferLines is the capacity of the queue, in lines.
	bufferLines = 2048
	// reservedLines is the part of the queue that debug lines can't use.
	reservedLines = bufferLines / 4
	// batchBytes bounds one write to the output, unless a single line is longer: a pipe
	// takes up to PIPE_BUF bytes whole, while longer writes can be cut or mixed with others.
	batchBytes = 4 << 10
	// flushDelay bounds how long a line waits for its batch to fill.
	flushDelay = 200 * time.Millisecond
)

// tokenBucket limits a rate, with a burst of one second's tokens.
type tokenBucket struct {
	rate, tokens float64
	updated      time.Time
}

// take removes a token; it reports whether there was one.
func (b *tokenBucket) take(now time.Time) bool {
	if !b.updated.IsZero() {
		b.tokens = min(b.rate, b.tokens+b.rate*now.Sub(b.updated).Seconds())
	} else {
		b.tokens = b.rate
	}
	b.updated = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Writer is a zerolog.LevelWriter whose Write and WriteLevel never wait for the output.
type Writer struct {
	out   io.Writer
	now   func() time.Time
	queue chan []byte
	done  chan struct{}

	mu          sync.Mutex
	debugBucket tokenBucket
	infoBucket  tokenBucket
	closed      bool
	dropped     atomic.Uint64
}

// New returns a writer and starts its goroutine; Close stops it.
func New(out io.Writer, now func() time.Time) *Writer {
	w := &Writer{
		out: out, now: now, queue: make(chan []byte, bufferLines), done: make(chan struct{}),
		debugBucket: tokenBucket{rate: debugLineRate}, infoBucket: tokenBucket{rate: infoLineRate},
	}
	go w.writeLoop()
	return w
}

// Write queues a line without a level, as one of level info.
func (w *Writer) Write(p []byte) (int, error) { return w.WriteLevel(zerolog.InfoLevel, p) }

// WriteLevel queues or drops a line. Lines of level debug and below are routine;
// higher levels report failures and state changes.
func (w *Writer) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	b, room := &w.infoBucket, bufferLines
	if level <= zerolog.DebugLevel {
		b, room = &w.debugBucket, bufferLines-reservedLines
	}
	if w.closed || len(w.queue) >= room || !b.take(w.now()) {
		w.dropped.Add(1)
		return len(p), nil
	}
	// The logger reuses p for its next line.
	w.queue <- append([]byte(nil), p...)
	return len(p), nil
}

// Dropped returns the number of lines dropped so far; a failed write counts as one.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// writeLoop writes queued lines in batches and adds a line with the number of dropped
// lines whenever it has grown.
func (w *Writer) writeLoop() {
	defer close(w.done)
	var reported uint64
	// next is a line that did not fit into the last batch.
	var next []byte
	buf := make([]byte, 0, batchBytes)
	for {
		if next == nil {
			line, ok := <-w.queue
			if !ok {
				return
			}
			next = line
		}
		timer := time.NewTimer(flushDelay)
		buf, next = w.fillBatch(append(buf[:0], next...), timer.C)
		timer.Stop()
		w.write(buf)
		if n := w.dropped.Load(); n > reported {
			w.write(fmt.Appendf(nil, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"dropped\":%d}\n", n))
			reported = n
		}
	}
}

func (w *Writer) write(p []byte) {
	if _, err := w.out.Write(p); err != nil {
		w.dropped.Add(1)
	}
}

// fillBatch appends queued lines to buf until timeout fires or the batch is full. It
// returns the line that no longer fits, nil if there is none.
func (w *Writer) fillBatch(buf []byte, timeout <-chan time.Time) (batch, next []byte) {
	for {
		select {
		case line, ok := <-w.queue:
			if !ok {
				return buf, nil
			}
			if len(buf)+len(line) > batchBytes {
				return buf, line
			}
			buf = append(buf, line...)
		case <-timeout:
			return buf, nil
		}
	}
}

// Close writes the queued lines and stops the writer.
func (w *Writer) Close() error {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return nil
	}
	w.closed = true
	close(w.queue)
	w.mu.Unlock()
	<-w.done
	return nil
}
