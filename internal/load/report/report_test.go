package report

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/load/agent"
	"github.com/hyssopspindle/hyssopspindle/internal/load/replay"
	"github.com/hyssopspindle/hyssopspindle/internal/load/trace"
)

func testSamples() []replay.Sample {
	item := trace.Item{Service: "s", Caller: "c", Region: "r", DeadlineMS: 1000}
	return []replay.Sample{
		{Item: item, Outcome: agent.Outcome{Complete: true, Attempts: 1}, TimeToFirstToken: 10 * time.Millisecond, Elapsed: 500 * time.Millisecond},
		{Item: item, Outcome: agent.Outcome{Complete: true, Attempts: 3, ServedBy: "h"}, TimeToFirstToken: 90 * time.Millisecond, Elapsed: 2 * time.Second},
		{Item: item, Outcome: agent.Outcome{Code: "busy", Attempts: 1}},
		{Item: item, Outcome: agent.Outcome{Attempts: 1}},
	}
}

func testReport() Report {
	return Summarise("x", 1, testSamples(), func(string, string) float64 { return 2.5 })
}

func TestSummarise(t *testing.T) {
	s := testReport().Services[0]
	if s.Sent != 4 || s.Whole != 2 || s.InTime != 1 || s.Away != 1 || s.Cost != 2.5 || s.Repeats != 2 {
		t.Errorf("counts: got %+v, want 4 sent, 2 whole, 1 in time, 1 away, cost 2.5, 2 repeats", s)
	}
	if s.Refusals["busy"] != 1 || s.Refusals["no_answer"] != 1 || s.First.Max < 89 || s.First.Max > 91 {
		t.Errorf("got %+v, want refusals busy 1 and no_answer 1, First.Max about 90 ms", s)
	}
}

func TestExpect(t *testing.T) {
	list, err := ParseExpect([]byte(`
[[expect]]
service = "s"
metric = "completion"
least = 0.5
[[expect]]
service = "s"
metric = "away_share"
most = 0.4
[[expect]]
service = "none"
metric = "cost"
most = 1.0
`))
	if err != nil {
		t.Fatal(err)
	}
	missed := Unmet(testReport(), list)
	if len(missed) != 2 || !strings.Contains(missed[0], "away_share is 0.500, want at most 0.400") || !strings.Contains(missed[1], "none") {
		t.Errorf("missed outcomes: got %q, want away_share of s and the unknown service none", missed)
	}
	for _, bad := range []string{"=", "[[expect]]\nmetric = \"x\"\nleast = 1.0", "[[expect]]\nmetric = \"cost\""} {
		if _, err := ParseExpect([]byte(bad)); err == nil {
			t.Errorf("ParseExpect(%q): got no error, want one", bad)
		}
	}
}

func TestPage(t *testing.T) {
	var b bytes.Buffer
	if err := Page(&b, testReport(), testSamples()); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(b.String(), "<svg"); n != 2 || strings.Contains(b.String(), "src=") {
		t.Errorf("page: got %d plots, want 2, and no reference to other files (src=)", n)
	}
}
