package node

import (
	"fmt"
	"net/http"
	"reflect"
	"strconv"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/poison"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
)

// maxPoisonBytes is the size up to which a datagram is not split on the way.
const maxPoisonBytes = 1100

// TestPoisonPacketFits: the largest evidence of one packet is read as it was sent, and fits.
func TestPoisonPacketFits(t *testing.T) {
	table, now := poison.NewTable(), time.Now()
	for i := range 40 {
		at := now.Add(-time.Duration(i) * time.Hour)
		table.RecordEnd(at, poison.KeyOf(fmt.Sprint(i)), poison.End{Life: ^uint64(i), Request: ^uint32(i), At: at, Flight: time.Hour})
	}
	list := table.Outgoing(now, maxPacketEnds)
	packet := wire.Packet{Kind: wire.Announce, From: "2001:db8::1234:5678:9abc:def0:60000", Incarnation: 1 << 60, Revision: 1 << 60, Poison: toWirePoison(now, list)}
	data, err := wire.Encode(packet)
	if err != nil {
		t.Fatal(err)
	}
	if len(list) != maxPacketEnds/2 || len(data) > maxPoisonBytes {
		t.Errorf("%d records in %d bytes, want %d in at most %d", len(list), len(data), maxPacketEnds/2, maxPoisonBytes)
	}
	var got wire.Packet
	if err := wire.Decode(data, &got); err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got.Poison, packet.Poison) {
		t.Error("the evidence changed on the way")
	}
	back := fromWirePoison(now, got.Poison)
	for i, r := range back {
		if r.Key != list[i].Key || !r.Served.At.IsZero() || len(r.Ends) != 1 || r.Ends[0].Life != list[i].Ends[0].Life || list[i].Ends[0].At.Sub(r.Ends[0].At).Abs() > time.Millisecond {
			t.Errorf("record %d is %+v, want %+v", i, r, list[i])
		}
	}
}

// quarantine makes a host refuse a prompt part under which endpoints ended some time ago.
func quarantine(n *Node, part string, ago time.Duration) {
	now := time.Now()
	for i := range 3 {
		at := now.Add(-ago - time.Duration(3-i)*time.Second)
		n.board.Poison.RecordEnd(now, poison.KeyOf(part), poison.End{Life: uint64(i), Request: uint32(i), At: at, Flight: 100 * time.Millisecond})
	}
}

// callWithPart sends a request with a shared prompt part to a host.
func (f *fleet) callWithPart(host, id, part string, fields ...string) (status int, retryAfter string) {
	status, _, err := f.callResponse(host, "GET", "/stream/x", id, func(r *http.Response) { retryAfter = r.Header.Get("Retry-After") }, func(r *http.Request) {
		r.Header.Set(platTerms.Tokens, "20,10")
		r.Header.Set(platTerms.Parts, part+":10,own-"+id+":10")
		for i := 0; i < len(fields); i += 2 {
			r.Header.Set(fields[i], fields[i+1])
		}
	})
	if err != nil {
		f.t.Error(err)
	}
	return status, retryAfter
}

// TestQuarantinedPartReachesNoEndpoint: neither new requests, nor resumed streams, nor requests
// that another region relays reach an endpoint, whichever host has the evidence.
func TestQuarantinedPartReachesNoEndpoint(t *testing.T) {
	for _, knows := range []string{"a", "b"} {
		f := startFleet(t)
		if knows == "b" {
			f.store.put(feed.Change{Key: "model-a1", Deleted: true, RemovedEndpoint: "model-a1"})
			f.eventually("host a has no endpoint", func() bool { return len(f.nodes["a"].board.Registry.Endpoints("model")) == 1 })
		}
		quarantine(f.nodes[knows], "bad", time.Second)
		for id, fields := range map[string][]string{"new": nil, "resumed": {platTerms.LastEvent, "1"}} {
			status, after := f.callWithPart("a", id, "bad", fields...)
			if seconds, err := strconv.ParseFloat(after, 64); status != http.StatusServiceUnavailable || err != nil || seconds < 30 {
				t.Errorf("host %s knows: %s request got status %d and Retry-After %q, want 503 and the time to the trial", knows, id, status, after)
			}
		}
		if status, _ := f.callWithPart("a", "sound", "good"); status != http.StatusOK {
			t.Errorf("host %s knows: status %d for a sound request", knows, status)
		}
		for _, r := range f.runs("model-a1", "model-b1") {
			if r.ID != "sound" {
				t.Errorf("host %s knows: request %s reached an endpoint", knows, r.ID)
			}
		}
		f.closeHost("a")
		f.closeHost("b")
	}
}

// TestTrialEndsQuarantine: a part that does no harm is in use again at all hosts after its trial,
// whichever host's turn it is.
func TestTrialEndsQuarantine(t *testing.T) {
	f := startFleet(t)
	for _, n := range f.nodes {
		quarantine(n, "part", 2*time.Minute)
	}
	f.eventually("a trial has been made", func() bool {
		id := fmt.Sprint(time.Now().UnixNano())
		a, _ := f.callWithPart("a", id+"-a", "part")
		b, _ := f.callWithPart("b", id+"-b", "part")
		return a == http.StatusOK || b == http.StatusOK
	})
	f.eventually("no host refuses the part", func() bool {
		for _, n := range f.nodes {
			if quarantined, _ := n.board.Poison.Sweep(time.Now()); len(quarantined) > 0 {
				return false
			}
		}
		return true
	})
}
