package paths

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestReportsReachAllHosts: in fleets of any size, with lost packets, hosts that are away and one
// that starts, all agree in time which hosts are cut off, and that they are so no longer.
func TestReportsReachAllHosts(t *testing.T) {
	const limit = 32
	for _, count := range []int{2, 6, 60, 300} {
		rnd := rand.New(rand.NewPCG(1, uint64(count)))
		hosts := make([]*Hosts, count)
		name := func(i int) string { return fmt.Sprint("h", i) }
		for i := range hosts {
			hosts[i] = NewHosts(name(i), 1)
		}
		cut := count / 2
		isCut := func(ms, i int) bool { return i < cut && ms >= 1000 && ms < 15_000 }
		away := func(ms, i int) bool { return i == count-1 && count > 2 && ms > 2000 && ms < 10_000 }
		check := func(ms int, when string) {
			wrong := 0
			for j, h := range hosts {
				if away(ms, j) {
					continue
				}
				for i := range cut {
					if h.Cut(at(ms), name(i), 1) != isCut(ms, i) {
						wrong++
					}
				}
			}
			if wrong > 0 {
				t.Errorf("%d hosts, %s: %d of %d views are wrong", count, when, wrong, cut*count)
			}
		}
		for ms := 0; ms <= 20_000; ms += 200 {
			if ms == 11_000 && count > 2 {
				hosts[count-2] = NewHosts(name(count-2), 2)
			}
			for i, h := range hosts {
				h.SetSelf(at(ms), isCut(ms, i))
				h.Sweep(at(ms))
				if away(ms, i) {
					continue
				}
				for list := h.Outgoing(limit); len(list) > 0; list = nil {
					for range 3 {
						if to := rnd.IntN(count); !away(ms, to) && rnd.Float64() < 0.9 {
							hosts[to].Merge(at(ms), list)
						}
					}
				}
			}
			switch ms {
			case 6000:
				check(ms, "5 s after the cut")
			case 14_800:
				check(ms, "4.8 s after a host was away")
			case 20_000:
				check(ms, "5 s after the end")
			}
		}
	}
}

// TestOldReportsDoNotCount: neither a report that is overtaken, nor one of an earlier process, nor
// one that is not renewed counts.
func TestOldReportsDoNotCount(t *testing.T) {
	h := NewHosts("a", 1)
	h.Merge(at(0), []Report{{Host: "b", Incarnation: 2, Serial: 5}})
	h.Merge(at(0), []Report{{Host: "b", Incarnation: 2, Serial: 4, Cut: true}, {Host: "b", Incarnation: 1, Serial: 9, Cut: true}})
	if h.Cut(at(0), "b", 2) {
		t.Error("an earlier report counts")
	}
	if !h.Merge(at(0), []Report{{Host: "b", Incarnation: 2, Serial: 6, Cut: true}}) || !h.Cut(at(0), "b", 2) {
		t.Error("a later report does not count")
	}
	if h.Cut(at(0), "b", 3) {
		t.Error("a report of an earlier process counts")
	}
	if later := at(0).Add(reportTTL + time.Second); h.Cut(later, "b", 2) || !h.Sweep(later) {
		t.Error("a report that is not renewed counts")
	}
}
