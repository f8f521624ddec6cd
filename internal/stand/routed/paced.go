package routed

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/stand/httpd"
)

// Framing is how an answer states where it ends.
type Framing string

// The framings: a length, chunks, or the end of the connection.
const (
	FrameLength     Framing = "length"
	FrameChunks     Framing = "chunks"
	FrameConnection Framing = "connection"
)

// Framings returns all framings.
func Framings() []Framing { return []Framing{FrameLength, FrameChunks, FrameConnection} }

// Paced is a stream that is sent event by event, each marked with its run, and recorded in the run.
type Paced struct {
	Framing Framing
	// Ending is EndWhole, or how the stream breaks off after After events: EndEvent and EndRune within
	// the next one, EndReset by a reset, and EndShort, but for FrameConnection, by the end of the
	// connection; for FrameChunks also EndNoLast and EndInLast after the last event.
	Ending Ending
	After  int
	// Silence is a pause after the first event.
	Silence time.Duration
	// Begin is sent before the first event.
	Begin string
}

// longEvent is the length that every third event has at least, so that it takes several reads.
const longEvent = 5000

// MarkedEvent returns event n of the streamed answer to the request with the given id, by a run of an
// endpoint.
func MarkedEvent(id string, n int, endpoint string, run int) string {
	text := fmt.Sprintf("id: %d\ndata: %s-%d-%s.%d", n, id, n, endpoint, run)
	if n%3 == 2 {
		text += strings.Repeat(".", longEvent)
	}
	return text + "\n\n"
}

// Reset breaks all paced streams off that are being sent, and resets the connections of those that
// their endings would break.
func (e *Endpoint) Reset() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.resets++
	for c := range e.paced {
		reset(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// runEvents returns the events that the client of a run lacks, marked if there is a plan.
func (e *Endpoint) runEvents(s streamRun) []string {
	e.mu.Lock()
	marked := e.plan != nil
	e.mu.Unlock()
	if !marked {
		return e.events(s.id, s.from+1)
	}
	var list []string
	for n := s.from + 1; n < e.EventCount; n++ {
		list = append(list, MarkedEvent(s.id, n, e.ID, s.run))
	}
	return list
}

// recordWritten records what a run writes before it is written.
func (e *Endpoint) recordWritten(run int, text string, ends bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.runs[run].Written += text
	e.runs[run].Ended = e.runs[run].Ended || ends
}

// resetCount returns the number of calls of Reset.
func (e *Endpoint) resetCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resets
}

// sendWhole sends the events of a run on a connection that is kept open.
func (e *Endpoint) sendWhole(w http.ResponseWriter, r *http.Request, p Paced, run int, events []string) {
	if p.Framing == FrameLength {
		w.Header().Set("Content-Length", p.length(events))
	}
	e.recordWritten(run, p.Begin, len(events) == 0)
	resets, flush := e.resetCount(), http.NewResponseController(w)
	write := func(text string) bool {
		if _, err := w.Write([]byte(text)); err != nil || e.resetCount() != resets {
			return false
		}
		return flush.Flush() == nil
	}
	if !write(p.Begin) || !e.sendEvents(r, p, run, events, write) {
		panic(http.ErrAbortHandler)
	}
	e.recordWritten(run, "", true)
}

// length returns the value of Content-Length of an answer with events.
func (p Paced) length(events []string) string {
	return strconv.Itoa(len(p.Begin) + len(strings.Join(events, "")))
}

// sendPaced sends the events of a run. Unless the answer is whole and states where it ends, it takes
// the connection over and closes it.
func (e *Endpoint) sendPaced(w http.ResponseWriter, r *http.Request, p Paced, run int, events []string) {
	if p.Ending == EndWhole && p.Framing != FrameConnection {
		e.sendWhole(w, r, p, run, events)
		return
	}
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\n")
	w.Header().Set("Connection", "close")
	switch p.Framing {
	case FrameLength:
		w.Header().Set("Content-Length", p.length(events))
	case FrameChunks:
		w.Header().Set("Transfer-Encoding", "chunked")
	case FrameConnection:
	}
	_ = w.Header().Write(&head)
	head.WriteString("\r\n")
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	e.mu.Lock()
	e.paced[c] = true
	e.mu.Unlock()
	e.recordWritten(run, p.Begin, len(events) == 0 && p.endsWithBytes())
	defer func() {
		e.mu.Lock()
		delete(e.paced, c)
		e.mu.Unlock()
		_ = c.Close()
	}()
	write := func(text string) bool {
		if p.Framing == FrameChunks && text != "" {
			text = strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n"
		}
		_, err := c.Write([]byte(text))
		return err == nil
	}
	if _, err := c.Write([]byte(head.String())); err != nil || !write(p.Begin) {
		return
	}
	if e.sendEvents(r, p, run, events, write) {
		e.endPaced(c, p, run)
	}
}

// endsWithBytes reports whether the stream is complete once its last byte has arrived.
func (p Paced) endsWithBytes() bool {
	return p.Framing == FrameLength || (p.Framing == FrameConnection && p.Ending != EndReset)
}

// sendEvents sends events up to the ending, and reports whether the ending is due.
func (e *Endpoint) sendEvents(r *http.Request, p Paced, run int, events []string, write func(string) bool) bool {
	for n, text := range events {
		if p.After == n && p.cuts() {
			return write(p.part(text))
		}
		e.recordWritten(run, text, n == len(events)-1 && p.endsWithBytes())
		if !write(text) {
			return false
		}
		gap := e.EventGap
		if n == 0 {
			gap += p.Silence
		}
		if !httpd.Sleep(r.Context(), gap) || !e.waitWhileSilent(r) {
			return false
		}
	}
	return true
}

// part returns what is sent of the event within which the stream breaks off.
func (p Paced) part(event string) string {
	switch p.Ending {
	case EndEvent:
		return event[:len(event)/2]
	case EndRune:
		return strings.TrimRight(event, "\n") + "é"[:1]
	default:
		return ""
	}
}

// cuts reports whether the stream breaks off before its last event.
func (p Paced) cuts() bool {
	return p.Ending != EndWhole && p.Ending != EndNoLast && p.Ending != EndInLast
}

// endPaced ends a stream.
func (e *Endpoint) endPaced(c net.Conn, p Paced, run int) {
	switch p.Ending {
	case EndReset:
		reset(c)
	case EndInLast:
		_, _ = c.Write([]byte("0\r\n"))
	case EndWhole:
		e.recordWritten(run, "", true)
	default:
	}
}
