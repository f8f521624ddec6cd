package node

import (
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/origin"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/duty"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

const (
	// originsPeriod is the time between two announcements of started streams. Streams that
	// began since the last one are lost to other hosts if this one ends.
	originsPeriod = 100 * time.Millisecond
	// maxPacketKeys bounds the keys of streams in one packet.
	maxPacketKeys = 96
	// maxAsked bounds the questions of one packet that are answered.
	maxAsked = 16
)

// otherHosts returns the usable other hosts of the fleet.
func (n *Node) otherHosts() []member.Member {
	var out []member.Member
	for _, m := range n.board.Members.Members() {
		if m.Usable() && m.Region != "" {
			out = append(out, m)
		}
	}
	return out
}

// shareOrigins tells a few other hosts which releases began the streams of this host.
func (n *Node) shareOrigins(time.Time) {
	pending := n.board.Origins.TakePending()
	if len(pending) == 0 {
		return
	}
	others := n.otherHosts()
	byHost := map[string]member.Member{}
	starts := map[string]map[string][]uint64{}
	for _, s := range pending {
		for _, m := range duty.OriginKeepers(uint64(s.Key), n.board.Region, others) {
			byHost[m.Name] = m
			if starts[m.Name] == nil {
				starts[m.Name] = map[string][]uint64{}
			}
			starts[m.Name][s.Release] = append(starts[m.Name][s.Release], uint64(s.Key))
		}
	}
	for name, releases := range starts {
		n.sendStarts(byHost[name], releases)
	}
}

// sendStarts sends the keys of streams by the releases that began them to a host.
func (n *Node) sendStarts(to member.Member, releases map[string][]uint64) {
	var list []wire.Starts
	count := 0
	flush := func() {
		if count > 0 {
			n.announceTo([]member.Member{to}, wire.Packet{Starts: list})
		}
		list, count = nil, 0
	}
	for release, keys := range releases {
		for len(keys) > 0 {
			part := keys[:min(len(keys), maxPacketKeys-count)]
			keys = keys[len(part):]
			list = append(list, wire.Starts{Release: release, Keys: part})
			if count += len(part); count == maxPacketKeys {
				flush()
			}
		}
	}
	flush()
}

// askOrigin asks the hosts that may know it for the release that began a stream. Their
// answers are recorded in the board.
func (n *Node) askOrigin(key origin.Key) {
	n.announceTo(duty.OriginSources(uint64(key), n.otherHosts()), wire.Packet{Asked: []uint64{uint64(key)}})
}

// receiveOrigins records the starts that a peer host sent and answers its questions.
func (n *Node) receiveOrigins(now time.Time, from member.Member, p wire.Packet) {
	for _, s := range p.Starts {
		for _, key := range s.Keys {
			n.board.Origins.Record(now, origin.Start{Key: origin.Key(key), Release: s.Release})
		}
	}
	known := map[string][]uint64{}
	for _, key := range p.Asked[:min(len(p.Asked), maxAsked)] {
		if release, ok := n.board.Origins.Find(now, origin.Key(key)); ok {
			known[release] = append(known[release], key)
		}
	}
	if len(known) > 0 {
		n.sendStarts(from, known)
	}
}

// storeAge returns the time since the store last confirmed this host's view.
func (n *Node) storeAge(now time.Time) time.Duration {
	state, _ := n.feed.State(now)
	return state.Age
}
