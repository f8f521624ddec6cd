package routed

import (
	"net"
	"net/http"
	"strconv"
	"strings"
)

// Ending names how an answer ends that has neither a length nor chunks, or that breaks off,
// empty for a whole answer that has one of them.
type Ending string

// The endings. EndWhole closes the connection after the whole answer, EndEvent and EndRune
// within an event and within a character, and EndReset resets it after a whole event or a
// part of the body.
const (
	EndWhole Ending = "whole"
	EndEvent Ending = "event"
	EndRune  Ending = "rune"
	EndReset Ending = "reset"
)

// The endings of an answer with a length or chunks, which closes the connection before its end:
// after a whole event or a part of the body, or within an event, and for chunks also before the
// last chunk only, or within it.
const (
	EndShort      Ending = "short"
	EndShortEvent Ending = "short event"
	EndChunks     Ending = "chunks"
	EndChunkEvent Ending = "chunks event"
	EndNoLast     Ending = "no last chunk"
	EndInLast     Ending = "within last chunk"
)

// FramedEndings returns the endings of answers with a length or chunks.
func FramedEndings() []Ending {
	return []Ending{EndShort, EndShortEvent, EndChunks, EndChunkEvent, EndNoLast, EndInLast}
}

// Endings returns all endings of answers without a length or chunks.
func Endings() []Ending { return []Ending{EndWhole, EndEvent, EndRune, EndReset} }

// Cut returns what of the parts of an answer, the events of a stream, is sent before this
// ending.
func (f Ending) Cut(parts []string) string {
	all := strings.Join(parts, "")
	first, second := "", ""
	if len(parts) > 0 {
		first = parts[0]
	}
	if len(parts) > 1 {
		second = parts[1]
	}
	chunk := func(text string) string { return strconv.FormatInt(int64(len(text)), 16) + "\r\n" + text + "\r\n" }
	switch f {
	case EndEvent, EndShortEvent:
		return first + second[:len(second)/2]
	case EndRune:
		return first + strings.TrimRight(second, "\n") + "é"[:1]
	case EndReset, EndShort:
		return first
	case EndChunks:
		return chunk(first)
	case EndChunkEvent:
		return chunk(first + second[:len(second)/2])
	case EndNoLast:
		return chunk(all)
	case EndInLast:
		return chunk(all) + "0\r\n"
	case EndWhole:
	}
	return all
}

// Send sends the head and what is left of the parts to a connection, and ends it.
func (f Ending) Send(c net.Conn, head string, parts []string) {
	if _, err := c.Write([]byte(head + f.Cut(parts))); err == nil && f == EndReset {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	_ = c.Close()
}

// PlainParts returns the parts of the plain answer to the request with the given id.
func PlainParts(id string) []string {
	text := PlainAnswer(id)
	return []string{text[:len(text)/2], text[len(text)/2:]}
}

// events returns the events of the streamed answer to a request from event first on.
func (e *Endpoint) events(id string, first int) []string {
	var list []string
	for n := first; n < e.EventCount; n++ {
		list = append(list, Event(id, n))
	}
	return list
}

// frame sets the header fields that frame an answer with this ending. Without parts the framing is whole, so the
// answer announces that its connection ends: another request may be sent on it else.
func (f Ending) frame(h http.Header, parts []string) {
	if len(parts) == 0 {
		h.Set("Connection", "close")
	}
	switch f {
	case EndShort, EndShortEvent:
		h.Set("Content-Length", strconv.Itoa(len(strings.Join(parts, ""))))
	case EndChunks, EndChunkEvent, EndNoLast, EndInLast:
		h.Set("Transfer-Encoding", "chunked")
	case EndWhole, EndEvent, EndRune, EndReset:
	}
}

// sendUpTo takes the connection over and sends parts up to the ending.
func (e *Endpoint) sendUpTo(w http.ResponseWriter, f Ending, parts []string) {
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\n")
	f.frame(w.Header(), parts)
	_ = w.Header().Write(&head)
	head.WriteString("\r\n")
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	f.Send(c, head.String(), parts)
}
