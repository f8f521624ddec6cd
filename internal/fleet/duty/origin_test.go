package duty

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
)

// TestStartsOutliveHosts: after the host that began a stream and one region more have
// ended, or any one other host, a host that is asked was told of the stream.
func TestStartsOutliveHosts(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		regions := rapid.IntRange(1, 5).Draw(rt, "regions")
		var fleet []member.Member
		for i := range rapid.IntRange(regions+1, 60).Draw(rt, "hosts") {
			fleet = append(fleet, member.Member{Candidate: member.Candidate{Name: fmt.Sprint("h", i), Region: fmt.Sprint("r", i%regions)}})
		}
		key := rapid.Uint64().Draw(rt, "key")
		first := rapid.IntRange(0, len(fleet)-1).Draw(rt, "first")
		without := func(lost func(member.Member) bool) []member.Member {
			return slices.DeleteFunc(slices.Clone(fleet), lost)
		}
		began := fleet[first]
		told := names(OriginKeepers(key, began.Region, without(func(m member.Member) bool { return m.Name == began.Name })))
		if len(told) != min(originCopies, len(fleet)-1) {
			rt.Fatalf("%d hosts are told, want %d of %d", len(told), originCopies, len(fleet)-1)
		}
		lost := rapid.SampledFrom([]string{"host", "region"}).Draw(rt, "lost")
		other := fleet[rapid.IntRange(0, len(fleet)-1).Draw(rt, "other")]
		left := without(func(m member.Member) bool {
			return m.Name == began.Name || (lost == "host" && m.Name == other.Name) || (lost == "region" && m.Region == other.Region)
		})
		if len(left) == 0 || (lost == "region" && regions == 1) || !slices.ContainsFunc(left, func(m member.Member) bool { return slices.Contains(told, m.Name) }) {
			return
		}
		// A host that has not noticed the losses yet asks by the old list.
		for name, list := range map[string][]member.Member{"old": fleet, "new": left} {
			asked := names(OriginSources(key, list))
			if !slices.ContainsFunc(asked, func(h string) bool {
				return slices.Contains(told, h) && slices.ContainsFunc(left, func(m member.Member) bool { return m.Name == h })
			}) {
				rt.Fatalf("%s list: of the asked %v none was told (%v) and is left", name, asked, told)
			}
		}
	})
}

// TestStartsLeaveTheRegion: a region that is lost whole does not take all that was told of
// its streams with it.
func TestStartsLeaveTheRegion(t *testing.T) {
	var others []member.Member
	for i := range 30 {
		others = append(others, member.Member{Candidate: member.Candidate{Name: fmt.Sprint("h", i), Region: fmt.Sprint("r", i%3)}})
	}
	for key := range uint64(100) {
		told := OriginKeepers(key, "r1", others)
		if told[0].Region != "r1" || told[1].Region == "r1" || told[2].Region == "r1" {
			t.Errorf("key %d: told are hosts of %s, %s and %s, want one of r1 and two of other regions", key, told[0].Region, told[1].Region, told[2].Region)
		}
	}
}
