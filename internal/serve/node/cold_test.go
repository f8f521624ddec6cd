package node

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
)

// TestColdEndpointUnknownWithoutStore: an endpoint that becomes cold while the hosts of its
// region can't read the store gets no more requests than one that the store says is cold.
func TestColdEndpointUnknownWithoutStore(t *testing.T) {
	const share, requests, warmUp = 2, 8, time.Minute
	f := startFleet(t)
	for _, n := range f.nodes {
		n.proxy.ColdShare = func(*rules.Service, string) int { return share }
	}
	cold := testRules(8)
	s, _ := cold.Service("plain")
	s.ColdRate, s.HealthPath = 1, routed.HealthPath
	f.store.put(feed.Change{Rules: cold})
	n := f.nodes["a"]
	f.eventually("the rules are in force", func() bool { return n.board.Routes.Version() == 8 })
	f.store.refuseRegions("a")
	f.endpoints["plain-a1"].SetCold(warmUp)
	f.eventually("the host learns that the endpoint is cold", func() bool {
		e, ok := n.board.Registry.Get("plain-a1")
		return ok && e.Cold(time.Now())
	})
	for i := range requests {
		id := fmt.Sprint("r", i)
		if status, _, err := f.call("GET", "/safe/x", id, nil); status != 200 {
			t.Errorf("request %s: status %d, error %v, want 200", id, status, err)
		}
	}
	if got := len(f.runs("plain-a1")); got > share {
		t.Errorf("the cold endpoint got %d requests at once, want at most %d", got, share)
	}
}

// TestColdChecksOverloadEndpoints plays hosts that lose the store at once: an endpoint gets
// no more checks a second than hostCheckInterval allows, from one host or from a hundred,
// and each is soon checked by one of them.
func TestColdChecksOverloadEndpoints(t *testing.T) {
	const outage = 20 * time.Second
	for _, hosts := range []int{1, 2, 10, 100} {
		rnd := rand.New(rand.NewPCG(uint64(hosts), 1))
		all := make([]coldChecks, hosts)
		start := time.Unix(1000, 0)
		last, longest, checks := start, time.Duration(0), 0
		for now := start; now.Before(start.Add(outage)); now = now.Add(coldCheckPeriod) {
			for i := range all {
				if len(all[i].due(now, []string{"e"}, hosts, rnd.Float64)) > 0 {
					checks++
					longest, last = max(longest, now.Sub(last)), now
				}
			}
		}
		if most := int(outage/hostCheckInterval) + hosts; checks > most {
			t.Errorf("%d hosts: %d checks, want at most %d", hosts, checks, most)
		}
		if longest > time.Second {
			t.Errorf("%d hosts: nobody checked for %v", hosts, longest)
		}
	}
}

// TestColdChecksEndEarly: checks continue for checkTail after the store answers again, as
// registrations written before may be old, and then end.
func TestColdChecksEndEarly(t *testing.T) {
	var c coldChecks
	random := func() float64 { return 0 }
	now := time.Unix(1000, 0)
	if got := c.due(now, []string{"e"}, 1, random); len(got) != 1 {
		t.Errorf("first checks are %v, want one of e", got)
	}
	if got := c.due(now.Add(checkTail-1), nil, 1, random); len(got) != 1 {
		t.Errorf("checks shortly after the outage are %v, want one of e", got)
	}
	if got := c.due(now.Add(checkTail), nil, 1, random); len(got) != 0 || len(c.endpoints) != 0 {
		t.Errorf("checks later are %v, want none", got)
	}
}

// TestColdEndpointUnknownToPeers: what an endpoint answers to one host reaches the other
// hosts of its region.
func TestColdEndpointUnknownToPeers(t *testing.T) {
	f := startCentre(t, 2)
	f.endpoints = map[string]*routed.Endpoint{}
	f.startEndpoint("cold", "model", "a")
	f.eventually("both hosts have the endpoint", func() bool {
		return f.nodes["n0"].board.Registry.Len() == 1 && f.nodes["n1"].board.Registry.Len() == 1
	})
	f.endpoints["cold"].SetCold(time.Minute)
	e, _ := f.nodes["n0"].board.Registry.Get("cold")
	f.nodes["n0"].askCold(e, routed.HealthPath)
	f.eventually("the other host has received it", func() bool {
		e, _ := f.nodes["n1"].board.Registry.Get("cold")
		return e.Cold(time.Now())
	})
	if list := f.nodes["n1"].board.Registry.AnnouncedCold(time.Now()); len(list) != 0 {
		t.Errorf("the other host passes on %v, want nothing, as the endpoint did not answer it", list)
	}
}

// TestPausedEndpointGetsColdChecks: an endpoint that asked for a pause gets no checks either.
func TestPausedEndpointGetsColdChecks(t *testing.T) {
	f := startFleet(t)
	cold := testRules(8)
	s, _ := cold.Service("plain")
	s.ColdRate, s.HealthPath = 1, routed.HealthPath
	f.store.put(feed.Change{Rules: cold})
	n := f.nodes["a"]
	f.eventually("the rules are in force", func() bool { return n.board.Routes.Version() == 8 })
	e, _ := n.board.Registry.Get("plain-a1")
	if got := n.healthPath(e); got != routed.HealthPath {
		t.Errorf("the path of checks is %q, want %q", got, routed.HealthPath)
	}
	n.board.Endpoints.SetPause(time.Now(), e.ID, time.Minute)
	if got := n.healthPath(e); got != "" {
		t.Errorf("the path of checks in a pause is %q, want none", got)
	}
}

// TestUsedEndpointIsCheckedLate: the check of an endpoint that got requests is due sooner, and no sooner
// than an interval after the last one.
func TestUsedEndpointIsCheckedLate(t *testing.T) {
	var c coldChecks
	random := func() float64 { return 0 }
	now := time.Unix(1000, 0)
	c.hasten("e", usedCheckInterval)
	if got := c.due(now, []string{"e"}, 1, random); len(got) != 1 {
		t.Errorf("first checks are %v, want one of e", got)
	}
	for _, tt := range []struct {
		after time.Duration
		used  bool
		want  int
	}{{usedCheckInterval - 1, true, 0}, {usedCheckInterval, false, 1}, {2 * usedCheckInterval, false, 0}, {2*usedCheckInterval + 1, true, 1}} {
		if tt.used {
			c.hasten("e", usedCheckInterval)
		}
		if got := c.due(now.Add(tt.after), []string{"e"}, 1, random); len(got) != tt.want {
			t.Errorf("%v after the first check: checks %v, want %d", tt.after, got, tt.want)
		}
	}
}
