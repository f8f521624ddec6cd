package host

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/serve/dedup"
)

const orderPath = "/v1/call/shop/order"

// sendOperation sends an operation with an operation key to a host.
func (f *fleet) sendOperation(host, key string, opts ...attemptOption) reply {
	return f.send(context.Background(), host, "POST", orderPath, "x", append(opts, withHeader("Idempotency-Key", key))...)
}

// runsByKey returns the number of runs by operation key and fails the test if an
// operation ran more than once.
func (f *fleet) runsByKey() map[string]int {
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

// TestOperationAtManyHosts: an operation that is sent with the same key to all
// hosts at the same time runs once, and each attempt gets the same answer.
func TestOperationAtManyHosts(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts:  map[string]string{"a1": "a", "a2": "a", "b1": "b"},
		plains: map[string]string{"p1": "a", "p2": "a"},
	})
	for round := range 5 {
		key := f.operationPrefix("a1") + fmt.Sprintf(".k%d", round)
		var wait sync.WaitGroup
		answers := make([]reply, 9)
		for i := range answers {
			wait.Go(func() { answers[i] = f.sendOperation(f.order[i%3], key) })
		}
		wait.Wait()
		for i, r := range answers {
			if r.status != 200 || r.body != answers[0].body {
				t.Errorf("attempt %d: %d %q, want %q", i, r.status, r.body, answers[0].body)
			}
		}
		if f.runsByKey()[key] != 1 {
			t.Errorf("round %d: got %d runs, want 1", round, f.runsByKey()[key])
		}
	}
}

// TestOperationThroughPartition: while an operation's home host is on the other
// side of a partition, the operation does not run and is answered with ran
// unknown. New operations run on both sides.
func TestOperationThroughPartition(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts:  map[string]string{"a1": "a", "b1": "b"},
		plains: map[string]string{"pa": "a", "pb": "b"},
	})
	key := f.operationPrefix("a1") + ".k"
	if r := f.sendOperation("b1", key+"0"); r.status != 200 {
		t.Fatalf("before: %d %q", r.status, r.body)
	}
	f.isolate("a")
	if p := f.sendOperation("b1", key).problem(t); p.Error.Ran != "unknown" || p.Error.Code != "home_lost" {
		t.Errorf("home host behind the partition: got %+v, want home_lost with ran unknown", p)
	}
	for _, host := range f.order {
		if r := f.sendOperation(host, f.operationPrefix(host)+".new"); r.status != 200 {
			t.Errorf("new operation at %s: %d %q", host, r.status, r.body)
		}
	}
	if r := f.sendOperation("a1", key); r.status != 200 {
		t.Errorf("on the home host's side: %d %q", r.status, r.body)
	}
	f.heal()
	f.eventually("the other region gets the operation's answer", func() bool {
		return f.sendOperation("b1", key).status == 200
	})
	if f.runsByKey()[key] != 1 {
		t.Errorf("got %d runs, want 1", f.runsByKey()[key])
	}
}

// TestOperationAfterRestart: a restarted home host has lost its operations and
// answers their keys with home_gone and ran unknown from then on. Only for a first
// attempt it answers ran no.
func TestOperationAfterRestart(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a", "a2": "a"}, plains: map[string]string{"p1": "a"}})
	key := f.operationPrefix("a1") + ".k"
	if r := f.sendOperation("a2", key); r.status != 200 {
		t.Fatalf("before: %d %q", r.status, r.body)
	}
	f.stopHost("a1")
	if p := f.sendOperation("a2", key).problem(t); p.Error.Ran != "unknown" {
		t.Errorf("home host stopped: got %+v, want ran unknown", p)
	}
	f.startHost("a1")
	f.waitJoined()
	for _, host := range f.order {
		if p := f.sendOperation(host, key).problem(t); p.Error.Ran != "unknown" || p.Error.Code != "home_gone" {
			t.Errorf("home host restarted, at %s: got %+v, want home_gone with ran unknown", host, p)
		}
		if p := f.sendOperation(host, key+"2", withHeader("X-Attempt", "1")).problem(t); p.Error.Ran != "no" {
			t.Errorf("first attempt at %s: got %+v, want ran no", host, p)
		}
	}
	if runs := f.runsByKey(); len(runs) != 1 {
		t.Errorf("got runs %v, want one operation", runs)
	}
}

// TestInvalidOperationKeys: operations with forged or expired keys or with keys of
// another caller don't run.
func TestInvalidOperationKeys(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a"}, plains: map[string]string{"p1": "a"}})
	signer := f.hosts["a1"].front.Signer
	sign := func(caller string, expires time.Time) string {
		text, err := signer.Sign(keyPrefix("a1", f.hosts["a1"].board.Members.Incarnation(), caller, expires))
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
		if p := f.sendOperation("a1", tt.key).problem(t); p.Error.Code != tt.code || p.Error.Ran != tt.ran {
			t.Errorf("%s: got %+v, want code %s and ran %s", tt.name, p, tt.code, tt.ran)
		}
	}
	if n := len(f.runsByKey()); n != 0 {
		t.Errorf("%d operations ran, want 0", n)
	}
}

func keyPrefix(host string, incarnation uint64, caller string, expires time.Time) dedup.Prefix {
	return dedup.Prefix{Host: host, Life: incarnation, Caller: caller, Expires: expires.Unix()}
}
