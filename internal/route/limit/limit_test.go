package limit

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/base/seeds"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
)

func init() { seeds.Fix() }

var epoch = time.Unix(1_000_000, 0)

func TestConcurrencyLimit(t *testing.T) {
	l := NewTable(100)
	c := &invent.Caller{Name: "c", Concurrent: 2}
	for i := range 2 {
		if r := l.Admit(epoch, c, "s", 1); r != nil {
			t.Fatalf("request %d within the limit of 2: refused with %v", i, r)
		}
	}
	r := l.Admit(epoch, c, "s", 1)
	if r == nil || r.RetryAfter <= 0 || r.Ran != "no" {
		t.Fatalf("third request: got %+v, want a refusal with a retry delay and ran \"no\"", r)
	}
	if r := l.Admit(epoch, c, "other", 1); r != nil {
		t.Fatalf("request to another service: refused with %v", r)
	}
	l.Done("c", "s")
	if r := l.Admit(epoch, c, "s", 1); r != nil {
		t.Fatalf("request after another one ended: refused with %v", r)
	}
}

func TestHostCap(t *testing.T) {
	l := NewTable(1)
	c := &invent.Caller{Name: "c"}
	if l.Admit(epoch, c, "s", 1) != nil || l.Admit(epoch, c, "s", 1) == nil {
		t.Fatal("want one request admitted and the second refused by the host's cap of 1")
	}
}

// TestRateLimit checks that over any time no more requests are admitted than the rate
// and a burst allow.
func TestRateLimit(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rate := rapid.Float64Range(1, 50).Draw(rt, "rate")
		hosts := rapid.IntRange(1, 10).Draw(rt, "hosts")
		l := NewTable(1000)
		c := &invent.Caller{Name: "c", Rate: rate}
		now, admitted := epoch, 0
		for range rapid.IntRange(1, 300).Draw(rt, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(rt, "ms")) * time.Millisecond)
			if r := l.Admit(now, c, "s", hosts); r == nil {
				admitted++
				l.Done("c", "s")
			} else if r.RetryAfter < minRetryAfter {
				rt.Fatalf("retry delay %v is below minRetryAfter", r.RetryAfter)
			}
		}
		share := Share(rate, hosts)
		if limit := share*(now.Sub(epoch).Seconds()+burstSeconds) + 2; float64(admitted) > limit {
			rt.Fatalf("admitted %d requests, want at most %.1f", admitted, limit)
		}
	})
}
