package routed

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
)

// Late names a copy of an earlier answer that arrives on the connection just before the answer
// to the next request.
type Late string

// The copies: with the id of an earlier request, with an unknown id, without an id, with an empty
// one, with the ids of the request and of an earlier one, without an id as a refusal that states
// that the request was not run, and with the id of an earlier request as a stream.
const (
	LateEarlier Late = "earlier"
	LateUnknown Late = "unknown"
	LateNoID    Late = "no id"
	LateEmptyID Late = "empty id"
	LateTwoIDs  Late = "two ids"
	LateRefusal Late = "refusal"
	LateStream  Late = "stream"
)

// LateCopies returns all copies.
func LateCopies() []Late {
	return []Late{LateEarlier, LateUnknown, LateNoID, LateEmptyID, LateTwoIDs, LateRefusal, LateStream}
}

// earlierID returns the id of an earlier request than the one with the id own: the last one that was
// refused for a copy of a refusal, else the last other one that ran.
func (e *Endpoint) earlierID(own string, refusal bool) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if refusal && e.refusedID != "" {
		return e.refusedID
	}
	for _, r := range slices.Backward(e.runs) {
		if r.ID != own {
			return r.ID
		}
	}
	return "none"
}

// lateFields returns the header fields of a copy with ids.
func (e *Endpoint) lateFields(l Late, earlier, own string) string {
	field := func(id string) string { return fmt.Sprintf("%s: %s\r\n", e.Terms.RequestID, id) }
	switch l {
	case LateEarlier:
		return field(earlier)
	case LateStream:
		return field(earlier) + "Content-Type: " + StreamType + "\r\n"
	case LateUnknown:
		return field("unknown")
	case LateEmptyID:
		return field("")
	case LateTwoIDs:
		return field(own) + field(earlier)
	case LateNoID, LateRefusal:
	}
	return ""
}

// sendAfterLate takes the connection over and sends the copy, then the parts of the answer with
// their length, and closes it. If the fault is silent too, it sends the copy only.
func (e *Endpoint) sendAfterLate(w http.ResponseWriter, f Fault, parts []string) {
	status := f.LateStatus
	if status == 0 && f.Late == LateRefusal {
		status = http.StatusServiceUnavailable
	}
	own := w.Header().Get(e.Terms.RequestID)
	earlier := e.earlierID(own, status != 0)
	late, fields := PlainAnswer(earlier), e.lateFields(f.Late, earlier, own)
	if f.Late == LateStream {
		late = strings.Join(e.events(earlier, 0), "")
	}
	if status == 0 {
		status = http.StatusOK
	} else {
		fields += e.Terms.NotRun + ": 1\r\nRetry-After: 9\r\n"
	}
	body := strings.Join(parts, "")
	var text strings.Builder
	fmt.Fprintf(&text, "HTTP/1.1 %d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), fields, len(late), late)
	if !f.Silent {
		fmt.Fprintf(&text, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n", len(body))
		_ = w.Header().Write(&text)
		text.WriteString("\r\n" + body)
	}
	c, r, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	_, _ = c.Write([]byte(text.String()))
	if f.Silent {
		// The client closes the connection.
		_, _ = r.ReadByte()
	}
	_ = c.Close()
}
