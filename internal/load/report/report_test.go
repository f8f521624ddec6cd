package report

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/load/agent"
	"github.com/hyssopspindle/hyssopspindle/internal/load/drive"
	"github.com/hyssopspindle/hyssopspindle/internal/load/trace"
)

func samples() []drive.Sample {
	item := trace.Item{Service: "s", Caller: "c", Region: "r", DeadlineMS: 1000}
	return []drive.Sample{
		{Item: item, Outcome: agent.Outcome{Whole: true, Tries: 1}, First: 10 * time.Millisecond, Took: 500 * time.Millisecond},
		{Item: item, Outcome: agent.Outcome{Whole: true, Tries: 3, Served: "h"}, First: 90 * time.Millisecond, Took: 2 * time.Second},
		{Item: item, Outcome: agent.Outcome{Code: "busy", Tries: 1}},
		{Item: item, Outcome: agent.Outcome{Tries: 1}},
	}
}

func make4() Report {
	return Make("x", 1, samples(), func(string, string) float64 { return 2.5 })
}

func TestMake(t *testing.T) {
	s := make4().Services[0]
	if s.Sent != 4 || s.Whole != 2 || s.InTime != 1 || s.Away != 1 || s.Cost != 2.5 || s.Repeats != 2 {
		t.Errorf("sums: %+v", s)
	}
	if s.Refusals["busy"] != 1 || s.Refusals["no_answer"] != 1 || s.First.Max < 89 || s.First.Max > 91 {
		t.Errorf("sums: %+v", s)
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
	missed := Missed(make4(), list)
	if len(missed) != 2 || !strings.Contains(missed[0], "away_share is 0.500, want at most 0.400") || !strings.Contains(missed[1], "none") {
		t.Errorf("missed: %q", missed)
	}
	for _, bad := range []string{"=", "[[expect]]\nmetric = \"x\"\nleast = 1.0", "[[expect]]\nmetric = \"cost\""} {
		if _, err := ParseExpect([]byte(bad)); err == nil {
			t.Errorf("%q was taken", bad)
		}
	}
}

func TestPage(t *testing.T) {
	var b bytes.Buffer
	if err := Page(&b, make4(), samples()); err != nil {
		t.Fatal(err)
	}
	if n := strings.Count(b.String(), "<svg"); n != 2 || strings.Contains(b.String(), "src=") {
		t.Errorf("page has %d plots, or needs other files", n)
	}
}
