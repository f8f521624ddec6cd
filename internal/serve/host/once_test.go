package host

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/serve/once"
)

const order = "/v1/call/shop/order"

func (f *fleet) operate(host, key string, opts ...option) reply {
	return f.send(context.Background(), host, "POST", order, "x", append(opts, field("Idempotency-Key", key))...)
}

// effectsOf counts the runs by operation key and fails on a double.
func (f *fleet) effectsOf() map[string]int {
	f.t.Helper()
	runs := map[string]int{}
	for _, p := range f.plains {
		for _, e := range p.Effects() {
			runs[e.Key]++
			if runs[e.Key] > 1 {
				f.t.Errorf("operation %s ran %d times", e.Key, runs[e.Key])
			}
		}
	}
	return runs
}

// TestOperationAtManyHosts: the same key at the same time at every host runs
// once, and each attempt gets the one answer.
func TestOperationAtManyHosts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts:  map[string]string{"a1": "a", "a2": "a", "b1": "b"},
		plains: map[string]string{"p1": "a", "p2": "a"},
	})
	for round := range 5 {
		key := f.key("a1") + fmt.Sprintf(".k%d", round)
		var wait sync.WaitGroup
		answers := make([]reply, 9)
		for i := range answers {
			wait.Go(func() { answers[i] = f.operate(f.order[i%3], key) })
		}
		wait.Wait()
		for i, r := range answers {
			if r.status != 200 || r.body != answers[0].body {
				t.Errorf("attempt %d: %d %q, want %q", i, r.status, r.body, answers[0].body)
			}
		}
		if f.effectsOf()[key] != 1 {
			t.Errorf("round %d: %d runs", round, f.effectsOf()[key])
		}
	}
}

// TestOperationThroughPartition: with the home on the other side nothing runs
// and nothing certain is said; a new operation goes on at either side.
func TestOperationThroughPartition(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts:  map[string]string{"a1": "a", "b1": "b"},
		plains: map[string]string{"pa": "a", "pb": "b"},
	})
	key := f.key("a1") + ".k"
	if r := f.operate("b1", key+"0"); r.status != 200 {
		t.Fatalf("before: %d %q", r.status, r.body)
	}
	f.isolate("a")
	if p := f.operate("b1", key).problem(t); p.Error.Ran != "unknown" || p.Error.Code != "home_lost" {
		t.Errorf("home on the other side: %+v", p)
	}
	for _, host := range f.order {
		if r := f.operate(host, f.key(host)+".new"); r.status != 200 {
			t.Errorf("new operation at %s: %d %q", host, r.status, r.body)
		}
	}
	if r := f.operate("a1", key); r.status != 200 {
		t.Errorf("at the home's own side: %d %q", r.status, r.body)
	}
	f.heal()
	f.eventually("the operation's answer is had by way of the other side", func() bool {
		return f.operate("b1", key).status == 200
	})
	if f.effectsOf()[key] != 1 {
		t.Errorf("%d runs", f.effectsOf()[key])
	}
}

// TestOperationAfterRestart: a home that has restarted forgot its operations and
// says so for ever; only a first attempt is known not to have run.
func TestOperationAfterRestart(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a", "a2": "a"}, plains: map[string]string{"p1": "a"}})
	key := f.key("a1") + ".k"
	if r := f.operate("a2", key); r.status != 200 {
		t.Fatalf("before: %d %q", r.status, r.body)
	}
	f.stop("a1")
	if p := f.operate("a2", key).problem(t); p.Error.Ran != "unknown" {
		t.Errorf("home lost: %+v", p)
	}
	f.start("a1")
	f.joined()
	for _, host := range f.order {
		if p := f.operate(host, key).problem(t); p.Error.Ran != "unknown" || p.Error.Code != "home_gone" {
			t.Errorf("home gone, at %s: %+v", host, p)
		}
		if p := f.operate(host, key+"2", field("X-Attempt", "1")).problem(t); p.Error.Ran != "no" {
			t.Errorf("first attempt at %s: %+v", host, p)
		}
	}
	if runs := f.effectsOf(); len(runs) != 1 {
		t.Errorf("runs: %v", runs)
	}
}

// TestKeyOfAnotherCallerOrTime: forged, foreign and expired keys run nothing.
func TestKeyOfAnotherCallerOrTime(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a"}, plains: map[string]string{"p1": "a"}})
	signer := f.hosts["a1"].front.Signer
	sign := func(caller string, expires time.Time) string {
		text, err := signer.Sign(prefixFor("a1", f.hosts["a1"].board.Members.Life(), caller, expires))
		if err != nil {
			t.Fatal(err)
		}
		return text + ".own"
	}
	tests := []struct{ name, key, code, ran string }{
		{"foreign", sign("other", time.Now().Add(time.Hour)), "operation_key_invalid", "no"},
		{"expired", sign("app", time.Now().Add(-time.Hour)), "operation_key_expired", "unknown"},
		{"forged", "x" + sign("app", time.Now().Add(time.Hour)), "operation_key_invalid", "no"},
	}
	for _, tt := range tests {
		if p := f.operate("a1", tt.key).problem(t); p.Error.Code != tt.code || p.Error.Ran != tt.ran {
			t.Errorf("%s: %+v, want %s %s", tt.name, p, tt.code, tt.ran)
		}
	}
	if n := len(f.effectsOf()); n != 0 {
		t.Errorf("%d runs", n)
	}
}

func prefixFor(host string, life uint64, caller string, expires time.Time) once.Prefix {
	return once.Prefix{Host: host, Life: life, Caller: caller, Expires: expires.Unix()}
}
