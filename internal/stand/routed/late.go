package routed

import (
	"fmt"
	"net/http"
	"strings"
)

// Late names a copy of an earlier answer that arrives on the connection just before the answer
// to the next request.
type Late string

// The copies: with the id of an earlier request, with an unknown id, without an id, and without
// an id as a refusal that states that the request was not run.
const (
	LateEarlier Late = "earlier"
	LateUnknown Late = "unknown"
	LateNoID    Late = "no id"
	LateRefusal Late = "refusal"
)

// LateCopies returns all copies.
func LateCopies() []Late { return []Late{LateEarlier, LateUnknown, LateNoID, LateRefusal} }

// sendAfterLate takes the connection over and sends the copy, then the parts of the answer with
// their length, and closes it.
func (e *Endpoint) sendAfterLate(w http.ResponseWriter, l Late, parts []string) {
	earlier := "none"
	if runs := e.Runs(); len(runs) > 1 {
		earlier = runs[len(runs)-2].ID
	}
	status, id := "200 OK", ""
	switch l {
	case LateEarlier:
		id = fmt.Sprintf("%s: %s\r\n", e.Terms.RequestID, earlier)
	case LateUnknown:
		id = fmt.Sprintf("%s: unknown\r\n", e.Terms.RequestID)
	case LateRefusal:
		status, id = "503 Service Unavailable", e.Terms.NotRun+": 1\r\n"
	case LateNoID:
	}
	late, body := PlainAnswer(earlier), strings.Join(parts, "")
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, len(late), late)
	fmt.Fprintf(&text, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(body))
	_ = w.Header().Write(&text)
	text.WriteString("\r\n" + body)
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = c.Write([]byte(text.String()))
	_ = c.Close()
}
