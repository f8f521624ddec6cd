package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// TestLeavingEndpointGetsRequests: an endpoint that announces in an answer that it leaves
// gets no further request from any host, whatever the store says of it, until it starts
// again.
func TestLeavingEndpointGetsRequests(t *testing.T) {
	f := startCentre(t, 2)
	f.endpoints = map[string]*routed.Endpoint{}
	f.startEndpoint("leaves", "model", "a")
	f.startEndpoint("stays", "model", "a")
	f.eventually("all hosts are ready and know both endpoints", func() bool {
		for _, n := range f.nodes {
			if n.board.Registry.Len() != 2 || !n.board.Health.Ready() {
				return false
			}
		}
		return true
	})
	leaves := f.endpoints["leaves"]
	leaves.SetLeaving(true)
	f.eventually("the endpoint has announced that it leaves", func() bool { f.get("n0", "first"); return len(leaves.Runs()) > 0 })
	before := len(leaves.Runs())
	send := func(name, host string) {
		for i := range 20 {
			if id := fmt.Sprint(name, i); !f.get(host, id) {
				t.Errorf("request %s was not answered whole, though another endpoint serves", id)
			}
		}
	}
	send("own", "n0")
	f.eventually("the other host has heard of it", func() bool {
		return f.nodes["n1"].board.Registry.Endpoints("model")[0].Draining
	})
	send("other", "n1")
	again := func(revisionOnly bool) {
		e := &regis.Endpoint{ID: "leaves", Service: "model", Address: leaves.Address(), Centre: "a1", Slots: 8}
		if !revisionOnly {
			e.Incarnation = time.Now().UnixMilli()
		}
		f.store.put(feed.Change{Key: "leaves", Endpoint: e})
	}
	again(true)
	time.Sleep(2 * minStoreInterval)
	send("ready", "n0")
	if n := len(leaves.Runs()) - before; n > 0 {
		t.Errorf("the endpoint got %d requests after it announced that it leaves", n)
	}
	leaves.SetLeaving(false)
	again(false)
	f.eventually("the endpoint gets requests again after its next start", func() bool {
		f.get("n0", "next")
		return len(leaves.Runs()) > before
	})
}
