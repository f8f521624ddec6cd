package proxy

import (
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/terms"
)

// TestKeyIsCheckedBeforeEachAttempt guards against a request that waited while its key was taken
// away, or while the host was frozen, being sent; and against a request that may have run being
// refused as not run.
func TestKeyIsCheckedBeforeEachAttempt(t *testing.T) {
	key := rules.HashKey([]byte("good"))
	withKeys := func(version uint64, keys ...rules.KeyHash) *rules.Rules {
		return rules.New(version, nil, nil, rules.Limits{}, rules.WithCustomers([]rules.Customer{{Name: "c", Keys: keys}}))
	}
	for _, tt := range []struct {
		name    string
		inForce *rules.Rules
		invalid bool
		none    bool
		ran     fault.Ran
		started bool
		want    fault.Code
	}{
		{name: "confirmed", inForce: withKeys(7, key)},
		{name: "not confirmed", inForce: withKeys(7, key), invalid: true, want: fault.NotReady},
		{name: "newer rules with the key", inForce: withKeys(8, key)},
		{name: "newer rules without the key", inForce: withKeys(8), want: fault.BadKey},
		{name: "newer rules without customers", inForce: rules.New(8, nil, nil, rules.Limits{}), invalid: true},
		{name: "may have run", inForce: withKeys(8), invalid: true, ran: fault.RanUnknown},
		{name: "answer begun", inForce: withKeys(8), invalid: true, started: true},
		{name: "without customer", inForce: withKeys(8), invalid: true, none: true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p := New()
			p.Board, p.Terms = board.New(time.Now(), "h", "a", "a1", 1), &terms.Terms{Key: "Key"}
			p.Board.Routes.Apply(tt.inForce)
			p.KeysValid = func(version uint64) bool { return version == tt.inForce.Version && !tt.invalid }
			task := &task{Request: Request{Version: 7, Customer: &rules.Customer{Name: "c"}, Key: key}, ran: fault.RanNo}
			task.report.Started = tt.started
			if tt.ran != "" {
				task.ran = tt.ran
			}
			if tt.none {
				task.Customer = nil
			}
			refusal := p.keyRefusal(task)
			if code := codeOf(refusal); code != tt.want {
				t.Errorf("refused with %q, want %q", code, tt.want)
			}
			if refusal != nil && refusal.Ran != fault.RanNo {
				t.Errorf("refused as ran %s, want no", refusal.Ran)
			}
		})
	}
}

func codeOf(r *fault.Refusal) fault.Code {
	if r == nil {
		return ""
	}
	return r.Code
}
