package trace

import (
	"strings"
	"testing"
)

const logs = `  29.2 front-1 {"level":"info","host":"b","request":"r1","endpoint":"e","time":2000,"message":"attempt failed","outcome":"retried","tries":1}
not a line of a log
{"level":"info","host":"a","request":"r2","time":1500,"message":"other"}
{"level":"info","host":"a","text":"r1","time":1500,"message":"names it elsewhere"}
{"broken
{"level":"debug","host":"a","request":"r1","time":"1970-01-01T00:00:01Z","message":"request","left":{"x":1}}
`

// TestCollect checks that only log lines whose request field is the id are collected,
// with both time formats and with text before the JSON object.
func TestCollect(t *testing.T) {
	lines, err := Collect(strings.NewReader(logs), "r1")
	if err != nil || len(lines) != 2 {
		t.Fatalf("lines %+v, error %v; want 2 lines", lines, err)
	}
	if l := lines[0]; l.Host != "b" || l.Message != "attempt failed" || l.Outcome != "retried" || l.Time.Unix() != 2 || l.formatFields() != "endpoint=e tries=1" {
		t.Errorf("first line %+v, want the attempt at host b at second 2", l)
	}
	if lines[1].Time.Unix() != 1 {
		t.Errorf("time of second line %v, want second 1", lines[1].Time)
	}
}

func FuzzCollect(f *testing.F) {
	f.Add([]byte(logs))
	f.Fuzz(func(_ *testing.T, data []byte) {
		_, _ = Collect(strings.NewReader(string(data)), "r1")
	})
}
