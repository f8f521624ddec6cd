package duty

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/base/seeds"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
)

func init() { seeds.Fix() }

// region returns the hosts of a region with large and small hosts in two data centres.
func region(large, small int) []member.Member {
	var list []member.Member
	for i := range large + small {
		c := member.Candidate{Name: fmt.Sprintf("h%d", i), Region: "r", Centre: string(rune('a' + i%2)), Cores: 0.2}
		if i < large {
			c.Cores = 0.8
		}
		list = append(list, member.Member{Candidate: c})
	}
	return list
}

func names(list []member.Member) []string {
	var out []string
	for _, m := range list {
		out = append(out, m.Name)
	}
	return out
}

func TestEntries(t *testing.T) {
	tests := []struct {
		name         string
		hosts        []member.Member
		slots        int
		want         int
		wantFirstBig int
	}{
		{"large hosts carry all slots", region(6, 59), 440, 6, 6},
		{"few slots: the least number", region(6, 59), 20, minEntries, 6},
		{"small hosts help out", region(2, 59), 240, 6, 2},
		{"more slots than the region carries", region(2, 20), 4000, 22, 2},
		{"a small fleet", region(0, 3), 400, 3, 0},
		{"no hosts", nil, 400, 0, 0},
	}
	for _, tt := range tests {
		got := Entries(tt.hosts, tt.slots)
		if len(got) != tt.want {
			t.Errorf("%s: %d entry hosts, want %d", tt.name, len(got), tt.want)
		}
		big := 0
		for _, m := range got {
			if m.Cores > 0.5 {
				big++
			}
		}
		if big != tt.wantFirstBig {
			t.Errorf("%s: %d large entry hosts, want %d", tt.name, big, tt.wantFirstBig)
		}
	}
}

// TestEntriesWithoutCores: hosts that state no cores are all given to callers, in turns of
// their data centres.
func TestEntriesWithoutCores(t *testing.T) {
	list := region(0, 10)
	for i := range list {
		list[i].Cores = 0
	}
	got := Entries(list, 100)
	if len(got) != len(list) {
		t.Fatalf("%d entry hosts, want all %d", len(got), len(list))
	}
	for i := range got {
		if i%2 == 1 && got[i].Centre == got[i-1].Centre {
			t.Errorf("entry hosts %v are not spread over the data centres", names(got))
		}
	}
}

// TestEntriesCarryTheLoad checks for any region that its entry hosts are enough for all
// slots, that all hosts choose the same ones, and that the loss of one host moves no more
// than its own place.
func TestEntriesCarryTheLoad(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		list := region(rapid.IntRange(0, 8).Draw(rt, "large"), rapid.IntRange(1, 60).Draw(rt, "small"))
		slots := rapid.IntRange(0, 600).Draw(rt, "slots")
		got := Entries(list, slots)
		cores := 0.0
		for _, m := range got {
			cores += m.Cores
		}
		if len(got) < len(list) && cores < coresPerSlot*float64(slots) {
			rt.Fatalf("entry hosts have %.1f cores for %d slots though %d hosts are left", cores, slots, len(list)-len(got))
		}
		shuffled := slices.Clone(list)
		rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		if again := Entries(shuffled, slots); !slices.Equal(names(again), names(got)) {
			rt.Fatalf("another order of the members gives %v, want %v", names(again), names(got))
		}
	})
}

func TestReaders(t *testing.T) {
	list := region(2, 10)
	got := Readers(list)
	if len(got) != storeReaders || got[0].Cores != 0.8 || got[1].Cores != 0.8 {
		t.Errorf("readers are %v, want %d with the large hosts first", names(got), storeReaders)
	}
	left := slices.DeleteFunc(slices.Clone(list), func(m member.Member) bool { return m.Name == got[2].Name })
	if after := names(Readers(left)); after[0] != got[0].Name || after[1] != got[1].Name {
		t.Errorf("readers after the loss of one are %v, want the others of %v kept", after, names(got))
	}
	if got := Readers(list[:2]); len(got) != 2 {
		t.Errorf("readers of 2 hosts: %v, want both", names(got))
	}
}

// TestSampleSharesByCores: callers that spread their requests evenly over the hosts of
// their answers load each host in proportion to its cores.
func TestSampleSharesByCores(t *testing.T) {
	const answers = 20000
	tests := []struct {
		name         string
		large, small int
	}{{"equal", 6, 0}, {"few large", 4, 16}, {"one large", 1, 5}, {"small", 0, 9}}
	for _, tt := range tests {
		hosts := region(tt.large, tt.small)
		rnd := rand.New(rand.NewPCG(5, 5))
		shares, total := map[string]float64{}, 0.0
		for range answers {
			list := Sample(hosts, rnd.Float64)
			if len(list) < min(minSample, len(hosts)) {
				t.Fatalf("%s: an answer has %d hosts", tt.name, len(list))
			}
			for _, m := range list {
				shares[m.Name] += 1.0 / float64(len(list)) / answers
			}
		}
		for _, m := range hosts {
			total += m.Cores
		}
		for _, m := range hosts {
			want := m.Cores / total
			if tt.name == "one large" {
				// It is in every answer, which has minSample hosts.
				want = min(want, 1.0/minSample)
			}
			if got := shares[m.Name]; got < 0.8*want || got > 1.25*want+0.02 {
				t.Errorf("%s: host with %.1f cores gets %.3f of the requests, want about %.3f", tt.name, m.Cores, got, want)
			}
		}
	}
	if got := Sample(nil, rand.Float64); len(got) != 0 {
		t.Errorf("sample of no hosts = %v", names(got))
	}
}
