package soak

import (
	"errors"
	"strings"
	"testing"

	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// TestCheckStreamFindsWrongPieces guards against a soak that passes streams with events or an end that
// no endpoint wrote for them.
func TestCheckStreamFindsWrongPieces(t *testing.T) {
	event := func(endpoint string, ids ...int) string {
		var out strings.Builder
		for _, n := range ids {
			out.WriteString(routed.MarkedEvent("q", n, endpoint, 0))
		}
		return out.String()
	}
	written := func(endpoint string, after int, ended bool, text string) *run {
		return &run{endpoint: endpoint, Run: routed.Run{ID: "q", ResumeAfter: after, Written: text, Ended: ended}}
	}
	broken, rest := written("x", -1, false, event("x", 0, 1)), written("y", 1, true, event("y", 2, 3))
	whole, anew := written("x", -1, true, event("x", 0, 1, 2, 3)), written("y", -1, true, event("y", 0, 1, 2, 3))
	errCut := errors.New("cut")
	for _, tt := range []struct {
		name string
		from int
		body string
		err  error
		runs []*run
		want string
	}{
		{"whole", 0, event("x", 0, 1, 2, 3), nil, []*run{whole}, ""},
		{"continued", 0, event("x", 0, 1) + event("y", 2, 3), nil, []*run{broken, rest}, ""},
		{"continued after a comment", 0, ": begun\n\n" + event("x", 0, 1, 2, 3), nil, []*run{whole}, ""},
		{"resumed by the caller", 2, event("y", 2, 3), nil, []*run{rest}, ""},
		{"cut", 0, event("x", 0, 1), errCut, []*run{broken}, ""},
		{"cut within an event", 0, event("x", 0) + "id: 1\nda", errCut, []*run{broken}, ""},
		{"ended by a run after the last event", 0, event("x", 0, 1, 2, 3), nil, []*run{written("x", -1, false, event("x", 0, 1, 2, 3)), written("y", 3, true, "")}, ""},
		{"ends early", 0, event("x", 0, 1), nil, []*run{broken}, "ends as complete after event 1"},
		{"ends within an event", 0, event("x", 0) + "id: 1\nda", nil, []*run{broken}, "piece 1 is no event"},
		{"ends within the last event", 0, event("x", 0, 1, 2) + "id: 3\nda", nil, []*run{whole}, "piece 3 is no event"},
		{"ends empty", 0, "", nil, []*run{whole}, "ends as complete after event -1"},
		{"end not written", 0, event("x", 0, 1, 2, 3), nil, []*run{written("x", -1, false, event("x", 0, 1, 2, 3))}, "no endpoint ended it"},
		{"text of a failure", 0, event("x", 0, 1) + "failed at y.0\n", nil, []*run{broken, written("y", 1, true, "failed at y.0\n")}, "piece 2 is no event"},
		{"event of another request", 0, strings.ReplaceAll(event("x", 0), "q-", "p-"), errCut, []*run{whole}, "piece 0 is no event"},
		{"event is missing", 0, event("x", 0, 2), errCut, []*run{whole}, "event 2 follows instead of 1"},
		{"event comes twice", 0, event("x", 0, 0), errCut, []*run{whole}, "event 0 follows instead of 1"},
		{"runs are joined", 0, event("x", 0, 1) + event("y", 2, 3), nil, []*run{broken, anew}, "is joined to run"},
		{"resumed by a run from the start", 2, event("y", 2, 3), nil, []*run{anew}, "is joined to run"},
	} {
		c := &call{id: "q", from: tt.from, body: tt.body, err: tt.err}
		if got := c.checkStream(tt.runs, 4); (tt.want == "") != (got == "") || !strings.Contains(got, tt.want) {
			t.Errorf("%s: got %q, want %q", tt.name, got, tt.want)
		}
	}
}
