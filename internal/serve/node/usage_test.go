package node

import (
	"fmt"
	"math"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
	"github.com/hyssopspindle/hyssopspindle/internal/route/usage"
)

// TestCustomerLimitOverHosts: hosts of two regions each admit what a customer's limit allows, refuse
// requests as if they might have run, or lose what was admitted.
func TestCustomerLimitOverHosts(t *testing.T) {
	const rate, burst = 3.0, 6.0
	f := startFleet(t)
	f.store.put(feed.Change{Rules: testRules(8, rules.WithCustomers([]rules.Customer{{
		Name: "c", Keys: []rules.KeyHash{rules.HashKey([]byte("key"))}, Quota: rules.Quota{PerSecond: rate, Burst: burst, Unit: rules.Requests},
	}}))})
	f.eventually("both hosts hear each other and have a full bucket", func() bool {
		for _, n := range f.nodes {
			s, ok := n.usage.State(time.Now(), "c")
			if !ok || s.Level < burst || s.Share < 1 || len(n.usage.Peers()) != 1 {
				return false
			}
		}
		return true
	})
	var mu sync.Mutex
	var wg sync.WaitGroup
	admitted, refused := 0, 0
	for i := range 100 {
		for region := range f.nodes {
			wg.Go(func() {
				var header http.Header
				status, _, err := f.callResponse(region, http.MethodPost, "/unsafe/x", fmt.Sprint("limit-", region, i),
					func(r *http.Response) { header = r.Header }, func(r *http.Request) { r.Header.Set(platTerms.Key, "key") })
				mu.Lock()
				defer mu.Unlock()
				switch {
				case err != nil:
					t.Error(err)
				case status == http.StatusOK:
					admitted++
				case status == http.StatusTooManyRequests:
					refused++
					if wait, err := strconv.ParseFloat(header.Get("Retry-After"), 64); err != nil || wait <= 0 {
						t.Errorf("Retry-After of a refusal is %q", header.Get("Retry-After"))
					}
				default:
					t.Errorf("status %d", status)
				}
			})
		}
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	ran := 0
	for _, e := range f.endpoints {
		ran += len(e.Runs())
	}
	most, least := (rate*8+burst)*1.25, rate*4
	if float64(admitted) > most || float64(admitted) < least || ran != admitted || refused == 0 {
		t.Errorf("%d requests are admitted, %d run, %d are refused; the limit allows %.0f, and %.0f are asked for at least", admitted, ran, refused, most, least)
	}
}

// TestLargeUsePackets: an announcement of many customers does not fit into a datagram, or a part of
// it is lost.
func TestLargeUsePackets(t *testing.T) {
	var in usage.Announcement
	in.Sent = math.MaxInt64
	for i := range 2*maxPacketUses + 1 {
		in.Uses = append(in.Uses, usage.Use{Customer: math.MaxUint32 - uint32(i), Total: math.MaxUint64, Recent: math.MaxUint64})
	}
	counters := 0
	for _, p := range toWireUses(in) {
		data, err := wire.Encode(wire.Packet{
			Kind: wire.Announce, From: "255.255.255.255:65535", Incarnation: math.MaxUint64, Revision: math.MaxUint64,
			InFlight: math.MaxInt64, Leaving: true, Uses: p,
		})
		if err != nil || len(data) > wire.MaxPacket {
			t.Errorf("a packet has %d bytes, more than %d; error %v", len(data), wire.MaxPacket, err)
		}
		counters += len(p.Counters)
	}
	if counters != len(in.Uses) {
		t.Errorf("%d of %d counters are in the packets", counters, len(in.Uses))
	}
}
