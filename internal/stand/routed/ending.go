package routed

import (
	"net"
	"net/http"
	"strings"
)

// Ending names how an answer ends that has neither a length nor chunks, empty for an answer
// that has one of them.
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

// Endings returns all endings.
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
	switch f {
	case EndEvent:
		return first + second[:len(second)/2]
	case EndRune:
		return first + strings.TrimRight(second, "\n") + "é"[:1]
	case EndReset:
		return first
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

// sendUnframed takes the connection over and sends parts without a length, up to the ending.
func (e *Endpoint) sendUnframed(w http.ResponseWriter, f Ending, parts []string) {
	var head strings.Builder
	head.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(&head)
	head.WriteString("\r\n")
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	f.Send(c, head.String(), parts)
}
