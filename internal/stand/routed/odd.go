package routed

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"net/http"
	"strings"
)

// Odd is an answer that is not the rest of a stream, or not as the client can read it. The zero
// value is none.
type Odd struct {
	Status int
	// Type is the value of Content-Type, empty for an answer without one. An answer of the type of
	// streams has the stream's events, any other one a line of text.
	Type string
	// Encoding is the value of Content-Encoding, empty for an answer without one; the body is in the
	// format of gzip then, compressed at Level.
	Encoding string
	Level    int
}

// StreamType is the media type of streams.
const StreamType = "text/event-stream"

// sendOdd sends the answer of a run, which ends as whole; events are those that the client lacks of
// its stream.
func (e *Endpoint) sendOdd(w http.ResponseWriter, o Odd, run int, events []string) {
	h := w.Header()
	h["Content-Type"] = nil
	if o.Type != "" {
		h.Set("Content-Type", o.Type)
	}
	body := fmt.Sprintf("failed at %s.%d\n", e.ID, run)
	if o.Type == StreamType {
		body = strings.Join(events, "")
	}
	if o.Encoding != "" {
		h.Set("Content-Encoding", o.Encoding)
		body = pack(body, o.Level)
	}
	e.recordWritten(run, body, true)
	w.WriteHeader(o.Status)
	if o.Status != http.StatusNoContent {
		_, _ = w.Write([]byte(body))
	}
}

// pack returns a text in the format of gzip.
func pack(text string, level int) string {
	var out bytes.Buffer
	z, err := gzip.NewWriterLevel(&out, level)
	if err != nil {
		panic(err)
	}
	_, _ = z.Write([]byte(text))
	_ = z.Close()
	return out.String()
}
