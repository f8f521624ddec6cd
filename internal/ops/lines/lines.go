// Package lines writes log lines without blocking the code that logs: lines pass
// through a bounded queue, and are dropped and counted if the queue is full or a
// rate limit is exceeded. Each level has a rate and a part of the queue of its own, so
// that lines of lower levels do not cause the loss of warnings.
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
	// debugLineRate, infoLineRate and warnLineRate bound the lines per second of level
	// debug, of level info, and of higher levels; a burst of one second's lines is allowed.
	debugLineRate = 40.0
	infoLineRate  = 400.0
	warnLineRate  = 1000.0
	// bufferLines is the capacity of the queue, in lines.
	bufferLines = 2560
	// infoRoom and debugRoom are the parts of the queue that lines of level info and of level
	// debug can use.
	infoRoom  = 2048
	debugRoom = 1536
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

	mu      sync.Mutex
	classes [classCount]class
	closed  bool
	// failed counts the failed writes.
	failed atomic.Uint64
}

// class is what bounds the lines of some levels.
type class struct {
	// name is the key of the class in the line with the number of dropped lines.
	name    string
	bucket  tokenBucket
	room    int
	dropped atomic.Uint64
}

// The classes by index.
const (
	debugClass = iota
	infoClass
	warnClass
	classCount
)

// classOf returns the class of a level.
func classOf(level zerolog.Level) int {
	switch {
	case level <= zerolog.DebugLevel:
		return debugClass
	case level == zerolog.InfoLevel, level == zerolog.NoLevel:
		return infoClass
	}
	return warnClass
}

// New returns a writer and starts its goroutine; Close stops it.
func New(out io.Writer, now func() time.Time) *Writer {
	w := &Writer{
		out: out, now: now, queue: make(chan []byte, bufferLines), done: make(chan struct{}),
		classes: [classCount]class{
			debugClass: {name: "debug", bucket: tokenBucket{rate: debugLineRate}, room: debugRoom},
			infoClass:  {name: "info", bucket: tokenBucket{rate: infoLineRate}, room: infoRoom},
			warnClass:  {name: "warn", bucket: tokenBucket{rate: warnLineRate}, room: bufferLines},
		},
	}
	go w.writeLoop()
	return w
}

// Write queues a line without a level, as one of level info.
func (w *Writer) Write(p []byte) (int, error) { return w.WriteLevel(zerolog.InfoLevel, p) }

// WriteLevel queues or drops a line. Lines of level debug and below are routine, those of level
// info report failures and state changes, and higher levels what must not be lost.
func (w *Writer) WriteLevel(level zerolog.Level, p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := &w.classes[classOf(level)]
	if w.closed || len(w.queue) >= c.room || !c.bucket.take(w.now()) {
		c.dropped.Add(1)
		return len(p), nil
	}
	// The logger reuses p for its next line.
	w.queue <- append([]byte(nil), p...)
	return len(p), nil
}

// Dropped returns the number of lines dropped so far; a failed write counts as one.
func (w *Writer) Dropped() uint64 {
	n := w.failed.Load()
	for i := range w.classes {
		n += w.classes[i].dropped.Load()
	}
	return n
}

// appendDropped appends a line with the number of lines dropped so far, in all and by class.
func (w *Writer) appendDropped(b []byte, total uint64) []byte {
	b = fmt.Appendf(b, "{\"level\":\"warn\",\"message\":\"log lines dropped\",\"dropped\":%d", total)
	for i := range w.classes {
		c := &w.classes[i]
		b = fmt.Appendf(b, ",%q:%d", c.name, c.dropped.Load())
	}
	return append(b, "}\n"...)
}

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
		if n := w.Dropped(); n > reported {
			w.write(w.appendDropped(nil, n))
			reported = n
		}
	}
}

func (w *Writer) write(p []byte) {
	if _, err := w.out.Write(p); err != nil {
		w.failed.Add(1)
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
