package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// run is one run of a request by an endpoint.
type run struct {
	routed.Run
	endpoint string
	number   int
}

func (r *run) String() string { return fmt.Sprintf("%s.%d", r.endpoint, r.number) }

// eventID returns the id of a marked event, and false for anything else.
func eventID(piece string) (int, bool) {
	line, _, _ := strings.Cut(piece, "\n")
	n, err := strconv.Atoi(strings.TrimPrefix(line, "id: "))
	return n, err == nil && strings.HasSuffix(piece, "\n\n")
}

// isComment reports whether a piece of a stream is a comment, which belongs to no event.
func isComment(piece string) bool { return strings.HasPrefix(piece, ":") }

// next returns the id of the event that the caller lacks next.
func (c *call) next() int {
	next := c.from
	for piece := range strings.SplitAfterSeq(c.body, "\n\n") {
		if n, isEvent := eventID(piece); isEvent {
			next = n + 1
		}
	}
	return next
}

// checkStreams compares each event and each end of the streams that callers received with what the
// endpoints wrote for them. It returns what must not be, one line each; count is the number of events.
func (f *Fleet) checkStreams(l *ledger, count int) []string {
	runs := map[string][]*run{}
	for _, e := range f.Endpoints {
		for n, r := range e.Runs() {
			runs[r.ID] = append(runs[r.ID], &run{Run: r, endpoint: e.ID, number: n})
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []string
	for _, c := range l.calls {
		own := runs[c.id]
		if !c.route.Resumable && len(own) > 1 {
			out = append(out, fmt.Sprintf("ran %d times: %v", len(own), c))
		}
		if c.status != http.StatusOK {
			continue
		}
		if !slices.ContainsFunc(own, func(r *run) bool { return r.endpoint == c.signedBy }) {
			out = append(out, fmt.Sprintf("names %q, which did not run it: %v, runs %v", c.signedBy, c, own))
		}
		check := c.checkOther
		if strings.HasPrefix(c.mediaType, routed.StreamType) {
			check = c.checkStream
		}
		text := check(own, count)
		if text != "" {
			out = append(out, fmt.Sprintf("%s: %v, runs %v: %q", text, c, own, shorten(c.body)))
		}
	}
	return out
}

// shorten leaves out what makes events long.
func shorten(body string) string { return strings.ReplaceAll(body, "..........", "") }

// checkStream returns what is wrong with a stream, empty for nothing.
func (c *call) checkStream(runs []*run, count int) string {
	next, current := c.from, (*run)(nil)
	pieces := strings.SplitAfter(c.body, "\n\n")
	for i, piece := range pieces {
		if piece == "" || isComment(piece) {
			continue
		}
		if i == len(pieces)-1 && c.err != nil {
			// The connection broke within an event.
			break
		}
		from := writer(runs, piece)
		id, isEvent := eventID(piece)
		switch {
		case from == nil || !isEvent:
			return fmt.Sprintf("piece %d is no event of the stream", i)
		case id != next:
			return fmt.Sprintf("event %d follows instead of %d", id, next)
		case from != current && from.ResumeAfter != next-1:
			return fmt.Sprintf("event %d of run %v, which began after event %d, is joined to run %v", id, from, from.ResumeAfter, current)
		}
		next, current = id+1, from
	}
	if c.err != nil {
		return ""
	}
	return checkEnd(runs, current, next, count)
}

// checkEnd returns what is wrong with the end of a stream before event next, whose last events are
// those of a run, empty for nothing.
func checkEnd(runs []*run, last *run, next, count int) string {
	if next != count {
		return fmt.Sprintf("ends as complete after event %d", next-1)
	}
	for _, r := range runs {
		if r.Ended && (r == last || r.ResumeAfter == count-1) {
			return ""
		}
	}
	return "ends as complete, but no endpoint ended it"
}

// checkOther returns what is wrong with an answer that is no stream, empty for nothing.
func (c *call) checkOther(runs []*run, _ int) string {
	for _, r := range runs {
		if c.body == r.Written || (c.err != nil && strings.HasPrefix(r.Written, c.body)) {
			return ""
		}
	}
	return "answer is none of an endpoint's"
}

// writer returns the run that wrote an event, nil if none did.
func writer(runs []*run, event string) *run {
	for _, r := range runs {
		if strings.Contains(r.Written, event) {
			return r
		}
	}
	return nil
}
