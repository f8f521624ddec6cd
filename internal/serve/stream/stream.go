// Package stream splits a stream of server-sent events into whole events, so
// that a caller never gets a part of one and a broken stream can be resumed.
package stream

import (
	"bytes"
	"errors"
	"strconv"
)

// MaxEvent bounds one event, in bytes.
const MaxEvent = 1 << 20

// ErrGap is the error of a stream that left an event out.
var ErrGap = errors.New("stream left an event out")

// ErrTooLong is the error of an event that exceeds MaxEvent.
var ErrTooLong = errors.New("event is too long")

// NoID is the position before the first event with an id.
const NoID = -1

// Closing is the usual form of the event that closes a whole stream.
var Closing = []byte("data: [DONE]\n\n")

var (
	doneData = []byte("[DONE]")
	dataName = []byte("data")
	idName   = []byte("id")
)

// Splitter collects the bytes of a stream.
type Splitter struct {
	buf  []byte
	last int
	done bool
	// numbered says that ids are consecutive numbers.
	numbered bool
}

// NewSplitter returns a splitter at the beginning of a stream.
func NewSplitter() *Splitter { return &Splitter{last: NoID} }

// Numbered says that the stream's ids are consecutive numbers from 0, so that a
// gap is found.
func (s *Splitter) Numbered() { s.numbered = true }

// Add takes bytes in and returns the whole events that they complete, which are
// valid until the next call. Events up to the last id seen are left out, so
// that a resumed stream repeats nothing.
func (s *Splitter) Add(p []byte) ([]byte, error) {
	s.buf = append(s.buf, p...)
	var out []byte
	for {
		n := eventEnd(s.buf)
		if n < 0 {
			break
		}
		fresh, err := s.take(s.buf[:n])
		if err != nil {
			return out, err
		}
		if fresh {
			out = append(out, s.buf[:n]...)
		}
		s.buf = s.buf[n:]
	}
	if len(s.buf) > MaxEvent {
		return out, ErrTooLong
	}
	return out, nil
}

// eventEnd returns the length of the first whole event, -1 if there is none.
func eventEnd(b []byte) int {
	lf := bytes.Index(b, []byte("\n\n"))
	crlf := bytes.Index(b, []byte("\r\n\r\n"))
	switch {
	case lf < 0 && crlf < 0:
		return -1
	case crlf < 0 || (lf >= 0 && lf < crlf):
		return lf + len("\n\n")
	}
	return crlf + len("\r\n\r\n")
}

// take reads one event's fields and reports whether it is new.
func (s *Splitter) take(event []byte) (bool, error) {
	id, data := NoID, []byte(nil)
	for line := range bytes.Lines(event) {
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case bytes.Equal(name, dataName):
			data = value
		case bytes.Equal(name, idName):
			if n, err := strconv.Atoi(string(value)); err == nil && n >= 0 {
				id = n
			}
		}
	}
	if id != NoID {
		if id <= s.last {
			return false, nil
		}
		if s.numbered && id != s.last+1 {
			return false, ErrGap
		}
		s.last = id
	}
	if bytes.Equal(data, doneData) {
		if s.done {
			return false, nil
		}
		s.done = true
	}
	return true, nil
}

// Last returns the id of the last event, NoID if none had one.
func (s *Splitter) Last() int { return s.last }

// Done reports whether the closing event was seen.
func (s *Splitter) Done() bool { return s.done }

// Restart drops the bytes of an unfinished event, before a resumed stream.
func (s *Splitter) Restart() { s.buf = nil }

// Skip leaves out the events up to an id, as a caller that resumes has them.
func (s *Splitter) Skip(last int) { s.last = last }

// Pending reports whether an unfinished event is held.
func (s *Splitter) Pending() bool { return len(s.buf) > 0 }

// LastID returns the last id among whole events, NoID if none has one.
func LastID(events []byte) int {
	for {
		at := bytes.LastIndex(events, []byte("id:"))
		if at < 0 {
			return NoID
		}
		if at == 0 || events[at-1] == '\n' {
			line, _, _ := bytes.Cut(events[at+len("id:"):], []byte("\n"))
			if n, err := strconv.Atoi(string(bytes.TrimSpace(line))); err == nil && n >= 0 {
				return n
			}
		}
		events = events[:at]
	}
}
