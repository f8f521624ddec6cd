package host

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/engine"
)

// ask sends one inference request and fails unless its answer is whole.
func ask(b *testing.B, address string, body []byte) client.Result {
	b.Helper()
	res := client.Do(context.Background(), client.Attempt{
		Address: address, Method: http.MethodPost, Path: chatPath, Body: body, MaxAnswer: 1 << 30,
		Fields:   []wire.Field{{Name: "Authorization", Value: "Bearer " + callerKey}},
		Deadline: time.Now().Add(patience), Silence: patience,
	}, discard())
	if !res.Whole {
		b.Fatalf("status %d: %v", res.Status, res.Err)
	}
	return res
}

// BenchmarkWay compares the ways of one request: straight to the endpoint,
// through a host of its region, and through two regions.
func BenchmarkWay(b *testing.B) {
	f := newFleet(b, plan{
		hosts:   map[string]string{"a1": "a", "b1": "b"},
		engines: map[string]string{"e1": "b"}, engine: engine.Config{Slots: 1000},
	})
	body := []byte(chat(1, true))
	for _, way := range []struct{ name, address string }{
		{"direct", f.engines["e1"].Address()}, {"region", f.set["b1"].Callers}, {"crossing", f.set["a1"].Callers},
	} {
		b.Run(way.name, func(b *testing.B) {
			b.ReportAllocs()
			var first time.Duration
			for b.Loop() {
				first += ask(b, way.address, body).First
			}
			b.ReportMetric(float64(first.Microseconds())/float64(b.N), "first-µs/op")
		})
	}
}

// BenchmarkTokens streams long answers without any decode time.
func BenchmarkTokens(b *testing.B) {
	const tokens = 2000
	f := newFleet(b, plan{
		hosts:   map[string]string{"a1": "a", "b1": "b"},
		engines: map[string]string{"e1": "b"}, engine: engine.Config{Slots: 1000},
	})
	body := []byte(chat(tokens, true))
	for _, way := range []struct{ name, address string }{
		{"direct", f.engines["e1"].Address()}, {"region", f.set["b1"].Callers}, {"crossing", f.set["a1"].Callers},
	} {
		b.Run(way.name, func(b *testing.B) {
			for b.Loop() {
				ask(b, way.address, body)
			}
			b.ReportMetric(float64(b.N*tokens)/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}

// BenchmarkExplain600 is one whole decision, with the board read, among 600
// endpoints of one service in this region.
func BenchmarkExplain600(b *testing.B) {
	f := newFleet(b, plan{hosts: map[string]string{"a1": "a"}, engines: map[string]string{"e1": "a"}})
	var extra strings.Builder
	for i := range 600 {
		fmt.Fprintf(&extra, "[[endpoints]]\nname = \"x%d\"\nservice = \"chat\"\ncentre = \"a-1\"\naddress = \"127.0.0.1:%d\"\nslots = 4\n", i, 40000+i)
	}
	f.inForce(f.publish(extra.String()))
	h := f.hosts["a1"]
	inv := h.board.Revisions.Inventory()
	c, _ := inv.CallerByName("app")
	s, _ := inv.Service("chat")
	b.ReportAllocs()
	for b.Loop() {
		h.flow.Explain(time.Now(), c, s)
	}
}
