package entry

import (
	"fmt"
	"testing"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
)

func list(n int) []Candidate {
	var out []Candidate
	for i := range n {
		out = append(out, Candidate{
			Host: invent.Host{Name: fmt.Sprintf("h%d", i), Callers: "x"}, Region: "r", Sound: true, Current: true,
		})
	}
	return out
}

func first(caller string, l []Candidate) string {
	return Rank(&invent.Inventory{}, caller, "r", l)[0].Host
}

// TestSpread: callers are spread evenly, and the loss of a host moves only its
// own callers, over all the others.
func TestSpread(t *testing.T) {
	const callers, hosts = 7000, 7
	l := list(hosts)
	before := map[string]string{}
	count := map[string]int{}
	for i := range callers {
		c := fmt.Sprint("c", i)
		before[c] = first(c, l)
		count[before[c]]++
	}
	for h, n := range count {
		if n < 800 || n > 1200 {
			t.Errorf("%s has %d of %d callers", h, n, callers)
		}
	}
	l[2].Sound = false
	moved := map[string]int{}
	for c, was := range before {
		is := first(c, l)
		if was != "h2" && is != was {
			t.Fatalf("caller %s moved from %s to %s", c, was, is)
		}
		if was == "h2" {
			moved[is]++
		}
	}
	for i := range hosts {
		if name := fmt.Sprintf("h%d", i); i != 2 && moved[name] < 100 {
			t.Errorf("%s took over %d callers", name, moved[name])
		}
	}
}

func TestOnlyUsable(t *testing.T) {
	l := list(4)
	l[0].Sound = false
	l[1].Current = false
	l[2].Host.Leaving = true
	got := Rank(&invent.Inventory{}, "c", "r", l)
	if len(got) != 1 || got[0].Host != "h3" {
		t.Errorf("Rank = %+v", got)
	}
}

func TestBusyHostsGetFewerCallers(t *testing.T) {
	l := list(4)
	l[0].Open = 100
	n := 0
	for i := range 1000 {
		if first(fmt.Sprint("c", i), l) == "h0" {
			n++
		}
	}
	if n > 200 || n == 0 {
		t.Errorf("a busy host is first for %d of 1000 callers", n)
	}
}

// TestSuspectedIsTheLastResort: a caller is told of a host that is only suspected,
// or has not been heard to have the newest configuration, where no other is left.
func TestSuspectedIsTheLastResort(t *testing.T) {
	l := list(2)
	for i := range l {
		l[i].Usable = true
	}
	l[0].Sound = false
	if got := Rank(&invent.Inventory{}, "c", "r", l); len(got) != 1 || got[0].Host != "h1" {
		t.Errorf("beside a sound host: %+v", got)
	}
	l[1].Usable, l[1].Sound = false, false
	if got := Rank(&invent.Inventory{}, "c", "r", l); len(got) != 1 || got[0].Host != "h0" {
		t.Errorf("only a suspected one is left: %+v", got)
	}
	l[0].Sound, l[0].Current = true, false
	if got := Rank(&invent.Inventory{}, "c", "r", l); len(got) != 1 || got[0].Host != "h0" {
		t.Errorf("only one behind is left: %+v", got)
	}
	l[0].Usable, l[0].Sound = false, false
	if got := Rank(&invent.Inventory{}, "c", "r", l); len(got) != 0 {
		t.Errorf("a dead one is named: %+v", got)
	}
}
