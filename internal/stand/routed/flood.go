package routed

import (
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Flood names what an endpoint sends without end instead of an answer, empty for none.
type Flood string

// The floods.
const (
	FloodStatus   Flood = "status"
	FloodLine     Flood = "line"
	FloodLines    Flood = "lines"
	FloodInterim  Flood = "interim"
	FloodForeign  Flood = "foreign"
	FloodBody     Flood = "body"
	FloodChunks   Flood = "chunks"
	FloodEvent    Flood = "event"
	FloodComments Flood = "comments"
	FloodTrailer  Flood = "trailer"
	FloodChunk    Flood = "chunk"
)

// HeadFloods returns the floods that never complete the head of an answer, or never get to
// the head of the answer to the request.
func HeadFloods() []Flood {
	return []Flood{FloodStatus, FloodLine, FloodLines, FloodInterim, FloodForeign}
}

// BodyFloods returns the floods that follow the head of an answer.
func BodyFloods() []Flood {
	return []Flood{FloodBody, FloodChunks, FloodEvent, FloodComments, FloodTrailer, FloodChunk}
}

const (
	floodPart    = 4 << 10
	floodOK      = "HTTP/1.1 200 OK\r\n"
	floodStream  = floodOK + "Content-Type: text/event-stream\r\n\r\n"
	floodChunked = floodOK + "Transfer-Encoding: chunked\r\n\r\n"
)

// parts returns what is sent first, and what is sent again and again; idField is the name of
// the header field with the id of the request.
func (f Flood) parts(idField string) (first, again string) {
	filler := strings.Repeat("x", floodPart)
	switch f {
	case FloodStatus:
		return "HTTP/1.1 200 ", filler
	case FloodLine:
		return floodOK + "X-Filler: ", filler
	case FloodLines:
		return floodOK, "X-Filler: " + filler + "\r\n"
	case FloodInterim:
		return "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	case FloodForeign:
		return floodOK + idField + ": another\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", floodPart, filler)
	case FloodBody:
		return floodOK + "\r\n", filler
	case FloodChunks:
		return floodChunked, fmt.Sprintf("%x\r\n%s\r\n", floodPart, filler)
	case FloodEvent:
		return floodStream + "data: ", filler
	case FloodComments:
		return floodStream, ": " + filler + "\n\n"
	case FloodTrailer:
		return floodChunked + "0\r\nX-Filler: ", filler
	case FloodChunk:
		return floodChunked + "1;", filler
	}
	return "", ""
}

// Send writes the flood to w until a write fails.
func (f Flood) Send(w io.Writer, idField string) {
	first, again := f.parts(idField)
	if again == "" {
		return
	}
	_, err := w.Write([]byte(first))
	for part := []byte(again); err == nil; {
		_, err = w.Write(part)
	}
}

// sendFlood takes the connection over and sends the flood until the client closes it.
func (e *Endpoint) sendFlood(w http.ResponseWriter, f Flood) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = c.Close() }()
	f.Send(c, e.Terms.RequestID)
	e.countCancelled()
}
