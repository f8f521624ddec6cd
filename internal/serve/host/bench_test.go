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

// sendChat sends one inference request and fails the benchmark unless the answer is
// whole.
func sendChat(b *testing.B, address string, body []byte) client.Result {
	b.Helper()
	res := client.Do(context.Background(), client.Attempt{
		Address: address, Method: http.MethodPost, Path: chatPath, Body: body, MaxAnswerBytes: 1 << 30,
		Fields:   []wire.Field{{Name: "Authorization", Value: "Bearer " + callerKey}},
		Deadline: time.Now().Add(waitTimeout), IdleTimeout: waitTimeout,
	}, discardSink())
	if !res.Whole {
		b.Fatalf("got status %d, error %v, want a whole answer", res.Status, res.Err)
	}
	return res
}

// BenchmarkPaths compares the paths of one request: directly to the endpoint, through
// a host of the endpoint's region, and through hosts of two regions.
func BenchmarkPaths(b *testing.B) {
	f := newFleet(b, plan{
		hosts:   map[string]string{"a1": "a", "b1": "b"},
		engines: map[string]string{"e1": "b"}, engine: engine.Config{Slots: 1000},
	})
	body := []byte(chatBody(1, true))
	for _, path := range []struct{ name, address string }{
		{"direct", f.engines["e1"].Address()}, {"region", f.settings["b1"].Callers}, {"crossing", f.settings["a1"].Callers},
	} {
		b.Run(path.name, func(b *testing.B) {
			b.ReportAllocs()
			var first time.Duration
			for b.Loop() {
				first += sendChat(b, path.address, body).TimeToFirstByte
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
	body := []byte(chatBody(tokens, true))
	for _, path := range []struct{ name, address string }{
		{"direct", f.engines["e1"].Address()}, {"region", f.settings["b1"].Callers}, {"crossing", f.settings["a1"].Callers},
	} {
		b.Run(path.name, func(b *testing.B) {
			for b.Loop() {
				sendChat(b, path.address, body)
			}
			b.ReportMetric(float64(b.N*tokens)/b.Elapsed().Seconds(), "tokens/s")
		})
	}
}

// BenchmarkExplain600 measures one placement decision, including the reads of the
// board, among 600 local endpoints of one service.
func BenchmarkExplain600(b *testing.B) {
	f := newFleet(b, plan{hosts: map[string]string{"a1": "a"}, engines: map[string]string{"e1": "a"}})
	var extra strings.Builder
	for i := range 600 {
		fmt.Fprintf(&extra, "[[endpoints]]\nname = \"x%d\"\nservice = \"chat\"\ncentre = \"a-1\"\naddress = \"127.0.0.1:%d\"\nslots = 4\n", i, 40000+i)
	}
	f.waitInForce(f.publish(extra.String()))
	h := f.hosts["a1"]
	inv := h.board.Revisions.Inventory()
	c, _ := inv.CallerByName("app")
	s, _ := inv.Service("chat")
	b.ReportAllocs()
	for b.Loop() {
		h.flow.Explain(time.Now(), c, s)
	}
}
