package duty

import (
	"fmt"
	"slices"
	"testing"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
)

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
