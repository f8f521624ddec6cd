package dedup

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/base/seeds"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
)

func init() { seeds.Fix() }

var epoch = time.Unix(1_000_000, 0)

func signer() *Signer { return NewSigner([]byte("fleet")) }

func prefixText(t testing.TB, s *Signer, p Prefix) string {
	t.Helper()
	text, err := s.Sign(p)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func TestParse(t *testing.T) {
	s := signer()
	good := prefixText(t, s, Prefix{Host: "h", Life: 7, Caller: "c", Expires: epoch.Unix() + 60})
	forged := prefixText(t, NewSigner([]byte("other")), Prefix{Host: "h", Life: 7, Caller: "c", Expires: epoch.Unix() + 60})
	tests := []struct {
		name, text, caller string
		ok                 bool
	}{
		{"good", good + ".own-part", "c", true},
		{"other caller", good + ".own-part", "d", false},
		{"forged", forged + ".own-part", "c", false},
		{"no caller part", good, "c", false},
		{"empty caller part", good + ".", "c", false},
		{"long caller part", good + "." + strings.Repeat("x", MaxCallerPart+1), "c", false},
		{"cut", good[:len(good)-2] + ".own", "c", false},
		{"changed", "A" + good[1:] + ".own", "c", false},
		{"empty", "", "c", false},
		{"long", strings.Repeat("a.b.", MaxKey), "c", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			k, err := s.Parse(tt.text, tt.caller)
			if (err == nil) != tt.ok {
				t.Fatalf("Parse: %v, want ok %v", err, tt.ok)
			}
			if err != nil && !errors.Is(err, ErrKey) {
				t.Errorf("Parse: %v, want ErrKey", err)
			}
			if tt.ok && (k.Prefix.Host != "h" || k.Prefix.Life != 7 || k.CallerPart != "own-part") {
				t.Errorf("Parse = %+v, want host h, incarnation 7 and caller part own-part", k)
			}
		})
	}
}

func FuzzParse(f *testing.F) {
	s := signer()
	f.Add(prefixText(f, s, Prefix{Host: "h", Life: 7, Caller: "c", Expires: 9})+".own", "c")
	f.Add("a.b.c", "c")
	f.Add("..", "")
	f.Fuzz(func(t *testing.T, text, caller string) {
		k, err := s.Parse(text, caller)
		if err == nil && k.Prefix.Caller != caller {
			t.Errorf("Parse accepted a key of caller %q from caller %q", k.Prefix.Caller, caller)
		}
	})
}

func key(t testing.TB, callerPart string) Key {
	t.Helper()
	s := signer()
	k, err := s.Parse(prefixText(t, s, Prefix{Host: "h", Caller: "c", Expires: epoch.Unix() + 60})+"."+callerPart, "c")
	if err != nil {
		t.Fatal(err)
	}
	return k
}

func guard(limit int) *Guard {
	return &Guard{Home: NewHome(limit), Now: func() time.Time { return epoch }, Enter: func() int { return 0 }, Exit: func() {}, Retried: func() {}}
}

func answered(_ context.Context, sink client.Sink) *fault.Refusal {
	if err := sink.Head(wire.NewHead(200)); err != nil {
		return fault.From(err)
	}
	if err := sink.Data([]byte("answer")); err != nil {
		return fault.From(err)
	}
	return nil
}

// TestConcurrentRetriesRunOnce: of concurrent requests with one key, some of whose
// callers disconnect, one runs the operation, and all that stay get its answer.
func TestConcurrentRetriesRunOnce(t *testing.T) {
	g := guard(10)
	k, d := key(t, "x"), Digest("s", "POST", "/p", nil)
	var runs atomic.Int32
	gate := make(chan struct{})
	run := func(ctx context.Context, sink client.Sink) *fault.Refusal {
		runs.Add(1)
		<-gate
		return answered(ctx, sink)
	}
	var wait sync.WaitGroup
	for i := range 20 {
		wait.Go(func() {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if i%4 == 0 {
				cancel()
			}
			out := g.Do(ctx, k, d, time.Now().Add(time.Minute), run)
			switch {
			case i%4 == 0 && out.Refusal != nil && out.Refusal.Ran == fault.RanUnknown:
			case out.Refusal == nil && string(out.Body) == "answer":
			default:
				t.Errorf("request %d: outcome %+v, want the answer", i, out)
			}
		})
	}
	for g.Home.Len() == 0 || runs.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	close(gate)
	wait.Wait()
	if runs.Load() != 1 {
		t.Fatalf("operation ran %d times, want once", runs.Load())
	}
}

func TestOutcomes(t *testing.T) {
	unknown := fault.New(fault.EndpointSilent, fault.RanUnknown, "silent")
	no := fault.New(fault.NoEndpoint, fault.RanNo, "none")
	d := Digest("s", "POST", "/p", nil)
	deadline := time.Now().Add(time.Minute)
	refuse := func(r *fault.Refusal) Run {
		return func(context.Context, client.Sink) *fault.Refusal { return r }
	}
	ctx := context.Background()

	g := guard(10)
	if out := g.Do(ctx, key(t, "a"), d, deadline, refuse(unknown)); out.Refusal.Ran != fault.RanUnknown {
		t.Fatalf("first run of a: %+v, want ran unknown", out.Refusal)
	}
	if out := g.Do(ctx, key(t, "a"), d, deadline, answered); out.Refusal == nil || out.Refusal.Ran != fault.RanUnknown {
		t.Fatal("an operation with an unknown outcome ran again")
	}
	if out := g.Do(ctx, key(t, "b"), d, deadline, refuse(no)); out.Refusal.Ran != fault.RanNo {
		t.Fatalf("first run of b: %+v, want ran no", out.Refusal)
	}
	if out := g.Do(ctx, key(t, "b"), d, deadline, answered); out.Refusal != nil {
		t.Fatalf("retry of an operation that did not run: %+v, want an answer", out.Refusal)
	}
	if out := g.Do(ctx, key(t, "b"), Digest("s", "POST", "/q", nil), deadline, answered); out.Refusal.Code != fault.KeyReused {
		t.Fatalf("key of another request: %+v, want operation_key_reused", out.Refusal)
	}
}

func TestExpiryAndLimit(t *testing.T) {
	h := NewHome(1)
	d := Digest("s", "POST", "/p", nil)
	op, first, r := h.Begin(epoch, key(t, "a"), d)
	if !first || r != nil {
		t.Fatalf("Begin: first %v, refusal %v; want true, nil", first, r)
	}
	if _, _, r := h.Begin(epoch, key(t, "b"), d); r == nil || r.Code != fault.HomeFull || r.Ran != fault.RanNo {
		t.Fatalf("Begin at a full home: %+v, want home_full and ran no", r)
	}
	late := epoch.Add(2 * time.Minute)
	if _, first, r := h.Begin(late, key(t, "a"), d); first || r != nil {
		t.Fatal("a running operation was removed when its key expired")
	}
	h.Finish(op, Outcome{})
	if _, _, r := h.Begin(late, key(t, "a"), d); r == nil || r.Code != fault.KeyExpired || r.Ran != fault.RanUnknown {
		t.Fatalf("Begin with an expired key: %+v, want operation_key_expired and ran unknown", r)
	}
	if h.Len() != 0 {
		t.Fatalf("home stores %d operations, want 0", h.Len())
	}
}

// TestStoredBytesAreBounded: a home whose stored answers reach the memory limit stores
// no more answers, but still every operation.
func TestStoredBytesAreBounded(t *testing.T) {
	h := NewHome(10_000)
	d := Digest("s", "POST", "/p", nil)
	body := make([]byte, maxStoredBody)
	n := maxStoredTotal/maxStoredBody + 5
	for i := range n {
		op, _, r := h.Begin(epoch, key(t, fmt.Sprint(i)), d)
		if r != nil {
			t.Fatal(r)
		}
		h.Finish(op, Outcome{Body: body})
	}
	if h.storedBytes > maxStoredTotal || h.Len() != n {
		t.Errorf("%d bytes stored of %d operations, want at most maxStoredTotal and every operation", h.storedBytes, h.Len())
	}
	op, first, _ := h.Begin(epoch, key(t, fmt.Sprint(n-1)), d)
	if out := h.Wait(context.Background(), op); first || out.Refusal == nil || out.Refusal.Ran != fault.RanYes {
		t.Errorf("operation without a stored answer: first %v, %+v; want false and ran yes", first, out.Refusal)
	}
	if _, _, r := h.Begin(epoch.Add(time.Hour), key(t, "late"), d); r == nil {
		t.Error("Begin accepted an expired key")
	}
	if h.storedBytes != 0 {
		t.Errorf("%d bytes stored of expired operations, want 0", h.storedBytes)
	}
}

// TestAtMostOnce drives a home through random sequences of attempts, outcomes and
// clock steps. An operation must not start while it runs or after it may have run.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		h := NewHome(4)
		d := Digest("s", "POST", "/p", nil)
		names := []string{"a", "b", "c", "d", "e", "f"}
		keys := map[string]Key{}
		for _, n := range names {
			keys[n] = key(t, n)
		}
		now := epoch
		running := map[string]*Op{}
		mayHaveRun := map[string]int{}
		rt.Repeat(map[string]func(*rapid.T){
			"attempt": func(rt *rapid.T) {
				n := rapid.SampledFrom(names).Draw(rt, "key")
				op, first, _ := h.Begin(now, keys[n], d)
				if !first {
					return
				}
				if running[n] != nil || mayHaveRun[n] > 0 {
					rt.Fatalf("operation %s was started again", n)
				}
				running[n] = op
			},
			"end": func(rt *rapid.T) {
				n := rapid.SampledFrom(names).Draw(rt, "key")
				if running[n] == nil {
					rt.Skip()
				}
				ran := rapid.SampledFrom([]fault.Ran{fault.RanNo, fault.RanYes, fault.RanUnknown}).Draw(rt, "ran")
				out := Outcome{}
				if ran != fault.RanYes {
					out.Refusal = fault.New(fault.EndpointError, ran, "x")
				}
				if ran != fault.RanNo {
					mayHaveRun[n]++
				}
				h.Finish(running[n], out)
				delete(running, n)
			},
			"time": func(rt *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(rt, "s")) * time.Second)
			},
		})
	})
}
