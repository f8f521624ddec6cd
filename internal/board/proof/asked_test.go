package proof

import "testing"

// TestAnswersBelongToQuestions guards against answers that were sent unasked or twice counting, and
// against questions without answers filling the memory.
func TestAnswersBelongToQuestions(t *testing.T) {
	q := NewQuestions()
	q.Ask(5*second, 8)
	if _, ok := q.Answer(9); ok {
		t.Error("an answer without a question counts")
	}
	if sent, ok := q.Answer(8); !ok || sent != 5*second {
		t.Errorf("Answer = %v, %v, want the question of 5 s", sent, ok)
	}
	if _, ok := q.Answer(8); ok {
		t.Error("an answer counts twice")
	}
	for n := range uint64(3 * maxAsked) {
		q.Ask(second, n)
	}
	if len(q.sent) != maxAsked || len(q.order) != maxAsked {
		t.Errorf("%d questions are remembered, want %d", len(q.sent), maxAsked)
	}
	if _, ok := q.Answer(3*maxAsked - 1); !ok {
		t.Error("the latest question is forgotten")
	}
}
