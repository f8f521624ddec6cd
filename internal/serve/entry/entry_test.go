package entry

import (
	"fmt"
	"testing"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
)

func healthyHosts(n int) []Candidate {
	var out []Candidate
	for i := range n {
		out = append(out, Candidate{
			Host: invent.Host{Name: fmt.Sprintf("h%d", i), Callers: "x"}, Region: "r", Healthy: true, Current: true,
		})
	}
	return out
}

func firstHost(caller string, l []Candidate) string {
	return Rank(&invent.Inventory{}, caller, "r", l)[0].Host
}

// TestSpread: callers are spread evenly over hosts, and the loss of a host moves only
// its callers, and moves them to all other hosts.
func TestSpread(t *testing.T) {
	const callers, hosts = 7000, 7
	l := healthyHosts(hosts)
	before := map[string]string{}
	count := map[string]int{}
	for i := range callers {
		c := fmt.Sprint("c", i)
		before[c] = firstHost(c, l)
		count[before[c]]++
	}
	for h, n := range count {
		if n < 800 || n > 1200 {
			t.Errorf("%s has %d of %d callers, want 800 to 1200", h, n, callers)
		}
	}
	l[2].Healthy = false
	moved := map[string]int{}
	for c, old := range before {
		host := firstHost(c, l)
		if old != "h2" && host != old {
			t.Fatalf("caller %s moved from %s to %s, want no move", c, old, host)
		}
		if old == "h2" {
			moved[host]++
		}
	}
	for i := range hosts {
		if name := fmt.Sprintf("h%d", i); i != 2 && moved[name] < 100 {
			t.Errorf("%s took over %d callers, want at least 100", name, moved[name])
		}
	}
}

func TestOnlyHealthyAndCurrent(t *testing.T) {
	l := healthyHosts(4)
	l[0].Healthy = false
	l[1].Current = false
	l[2].Host.Leaving = true
	got := Rank(&invent.Inventory{}, "c", "r", l)
	if len(got) != 1 || got[0].Host != "h3" {
		t.Errorf("Rank = %+v, want h3 only", got)
	}
}

func TestBusyHostsGetFewerCallers(t *testing.T) {
	l := healthyHosts(4)
	l[0].InFlight = 100
	n := 0
	for i := range 1000 {
		if firstHost(fmt.Sprint("c", i), l) == "h0" {
			n++
		}
	}
	if n > 200 || n == 0 {
		t.Errorf("a busy host is first for %d of 1000 callers, want 1 to 200", n)
	}
}

// TestFallbackToUsableHosts: hosts that are suspected, or not known to have the newest
// configuration, are listed only if no other host is left.
func TestFallbackToUsableHosts(t *testing.T) {
	l := healthyHosts(2)
	for i := range l {
		l[i].Usable = true
	}
	l[0].Healthy = false
	if got := Rank(&invent.Inventory{}, "c", "r", l); len(got) != 1 || got[0].Host != "h1" {
		t.Errorf("one host suspected, one healthy: %+v, want h1 only", got)
	}
	l[1].Usable, l[1].Healthy = false, false
	if got := Rank(&invent.Inventory{}, "c", "r", l); len(got) != 1 || got[0].Host != "h0" {
		t.Errorf("only a suspected host left: %+v, want h0", got)
	}
	l[0].Healthy, l[0].Current = true, false
	if got := Rank(&invent.Inventory{}, "c", "r", l); len(got) != 1 || got[0].Host != "h0" {
		t.Errorf("only a host with an older configuration left: %+v, want h0", got)
	}
	l[0].Usable, l[0].Healthy = false, false
	if got := Rank(&invent.Inventory{}, "c", "r", l); len(got) != 0 {
		t.Errorf("no usable host left: %+v, want none", got)
	}
}
