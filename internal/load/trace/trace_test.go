package trace

import (
	"bytes"
	"reflect"
	"strings"
	"testing"
	"time"
)

func TestRoundTripAndSeed(t *testing.T) {
	src := []Source{{Item: Item{Caller: "c", Service: "s", PromptTokens: 100, AnswerTokens: 10, DeadlineMS: 1000}, Rate: 50, Prefixes: 3, PeakFactor: 4}}
	a, b := Generate(1, 5*time.Second, src), Generate(1, 5*time.Second, src)
	if !reflect.DeepEqual(a, b) || len(a) == 0 {
		t.Fatal("traces of the same seed differ or are empty")
	}
	if reflect.DeepEqual(a, Generate(2, 5*time.Second, src)) {
		t.Error("seeds 1 and 2 give the same trace")
	}
	var buf bytes.Buffer
	if err := Write(&buf, a); err != nil {
		t.Fatal(err)
	}
	got, err := Read(&buf)
	if err != nil || !reflect.DeepEqual(got, a) {
		t.Errorf("trace differs after a write and a read (error %v)", err)
	}
}

func TestBadLines(t *testing.T) {
	for _, bad := range []string{"{", `{"service":"s"}`, `{"service":"s","caller":"c","deadline_ms":0}`} {
		if _, err := Read(strings.NewReader("\n" + bad)); err == nil || !strings.Contains(err.Error(), "line") {
			t.Errorf("Read(%q): got error %v, want one with the line number", bad, err)
		}
	}
}
