// Package stream splits a stream of server-sent events into whole events, so that a
// caller never gets a partial event and a broken stream can be resumed.
package stream

import (
	"bytes"
	"errors"
	"mime"
	"strconv"
)

// MaxEvent bounds one event, in bytes.
const MaxEvent = 1 << 20

// ErrGap is returned after RequireConsecutive if the stream skips an event id.
var ErrGap = errors.New("stream skipped an event")

// ErrTooLong is returned for an event longer than MaxEvent.
var ErrTooLong = errors.New("event is too long")

// NoID stands for no event id: the position before the first event.
const NoID = -1

// mediaType is that of a stream of events.
const mediaType = "text/event-stream"

var (
	doneData  = []byte("[DONE]")
	dataField = []byte("data")
	idField   = []byte("id")
)

// Splitter splits the bytes of a stream into events and tracks the last event id.
type Splitter struct {
	buf    []byte
	lastID int
	done   bool
	// consecutive reports whether event ids must be consecutive numbers from 0.
	consecutive bool
	// after is the id of SkipTo, skippedID the highest event id that was left out.
	after, skippedID int
	// progress counts the events with data, each id once.
	progress int
}

// NewSplitter returns a splitter at the start of a stream.
func NewSplitter() *Splitter { return &Splitter{lastID: NoID, after: NoID, skippedID: NoID} }

// RequireConsecutive makes Add return ErrGap unless the stream's event ids are consecutive
// numbers from 0.
func (s *Splitter) RequireConsecutive() { s.consecutive = true }

// Add appends bytes and returns the events that they complete, valid until the next
// call. It leaves out events up to the last id, so that a resumed stream has no event
// twice.
func (s *Splitter) Add(p []byte) ([]byte, error) {
	s.buf = append(s.buf, p...)
	var out []byte
	for {
		n := eventEnd(s.buf)
		if n < 0 {
			break
		}
		fresh, err := s.accept(s.buf[:n])
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

// parse returns the id of an event, NoID if it has none, and whether it has data and is the closing
// event.
func parse(event []byte) (id int, hasData, closes bool) {
	id = NoID
	for line := range bytes.Lines(event) {
		name, value, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case bytes.Equal(name, dataField):
			// The data of several lines is one text, which is not that of the closing event.
			closes, hasData = !hasData && bytes.Equal(value, doneData), true
		case bytes.Equal(name, idField):
			if n, err := strconv.Atoi(string(value)); err == nil && n >= 0 {
				id = n
			}
		}
	}
	return id, hasData, closes
}

// accept updates the last id and done with an event, and reports whether the event is new.
func (s *Splitter) accept(event []byte) (bool, error) {
	id, hasData, closes := parse(event)
	if id != NoID {
		if id <= s.lastID {
			if id > s.skippedID {
				s.skippedID = id
				if hasData {
					s.progress++
				}
			}
			return false, nil
		}
		if s.consecutive && id != s.lastID+1 {
			return false, ErrGap
		}
		s.lastID = id
	}
	if id == NoID && s.Short() {
		// It stands between events that the caller has.
		return false, nil
	}
	if closes {
		if s.done && id == NoID {
			return false, nil
		}
		s.done = true
	}
	if hasData {
		s.progress++
	}
	return true, nil
}

// EndsUnnumbered reports whether a stream has an event with data behind its last event with an id,
// the closing event aside. before states this of the stream without the given whole events.
func EndsUnnumbered(before bool, events []byte) bool {
	for {
		n := eventEnd(events)
		if n < 0 {
			return before
		}
		id, hasData, closes := parse(events[:n])
		switch {
		case id != NoID:
			before = false
		case hasData && !closes:
			before = true
		}
		events = events[n:]
	}
}

// Progress returns the number of events with data so far, also those that were left out as the
// caller has them. Comments and repeated events show no progress.
func (s *Splitter) Progress() int { return s.progress }

// LastID returns the last event id, NoID if there was none.
func (s *Splitter) LastID() int { return s.lastID }

// Done reports whether the closing event has arrived.
func (s *Splitter) Done() bool { return s.done }

// DropPartial drops the bytes of a partial event, before the stream is resumed.
func (s *Splitter) DropPartial() { s.buf = nil }

// SkipTo leaves out the events up to an id, which a caller that resumes already has.
func (s *Splitter) SkipTo(lastID int) { s.lastID, s.after = lastID, lastID }

// Short reports whether the stream has events that the caller had before and none from the last of
// those on: if it ends so, it is not the stream that the caller has the beginning of.
func (s *Splitter) Short() bool {
	return s.skippedID != NoID && s.skippedID < s.after && s.lastID == s.after
}

// Buffered returns the length of the partial event that is buffered.
func (s *Splitter) Buffered() int { return len(s.buf) }

// Partial reports whether a partial event is buffered. Empty lines after an event are none.
func (s *Splitter) Partial() bool { return len(bytes.Trim(s.buf, "\r\n")) > 0 }

// IsEvents reports whether a value of the field Content-Type is that of a stream of events.
func IsEvents(contentType string) bool {
	kind, _, err := mime.ParseMediaType(contentType)
	return kind == mediaType && (err == nil || errors.Is(err, mime.ErrInvalidMediaParameter))
}

// HasClosing reports whether the closing event is among whole events.
func HasClosing(events []byte) bool {
	if !bytes.Contains(events, doneData) {
		return false
	}
	s := NewSplitter()
	_, err := s.Add(events)
	return err == nil && s.Done()
}

// HasData reports whether there is an event with data among whole events. Comments have none.
func HasData(events []byte) bool {
	for line := range bytes.Lines(events) {
		name, _, _ := bytes.Cut(bytes.TrimRight(line, "\r\n"), []byte(":"))
		if bytes.Equal(name, dataField) {
			return true
		}
	}
	return false
}

// FirstID returns the first event id in whole events, NoID if there is none.
func FirstID(events []byte) int {
	for {
		n := eventEnd(events)
		if n < 0 {
			return NoID
		}
		if id, _, _ := parse(events[:n]); id != NoID {
			return id
		}
		events = events[n:]
	}
}

// LastID returns the last event id in whole events, NoID if there is none.
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
