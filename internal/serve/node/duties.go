package node

import (
	"github.com/hyssopspindle/hyssopspindle/internal/board/duties"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/duty"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
)

// membersChanged triggers the assignment of duties if members changed since the last one.
func (n *Node) membersChanged() {
	if n.board.Members.Changes() != n.assignedFor.Load() {
		n.runner.Trigger(dutyName)
	}
}

// assignDuties decides whether this host reads the store.
func (n *Node) assignDuties(list []member.Member) {
	var inCentre []member.Member
	for _, m := range list {
		if m.Healthy() && m.Centre == n.board.Centre {
			inCentre = append(inCentre, m)
		}
	}
	if !n.board.Health.Leaving() {
		inCentre = append(inCentre, member.Member{Candidate: n.self()})
	}
	plan := &duties.Plan{}
	for _, m := range duty.Readers(inCentre) {
		plan.SelfReads = plan.SelfReads || m.Name == n.board.Name
	}
	if plan.SelfReads != n.board.Duties.Plan().SelfReads {
		n.log.Info().Bool("reads", plan.SelfReads).Msg("duties changed")
	}
	n.board.Duties.Store(plan)
}

// self returns this host as its peers know it.
func (n *Node) self() member.Candidate {
	s := n.settings
	return member.Candidate{Name: s.Peers, Address: s.Peers, Region: s.Region, Centre: s.Centre, Callers: s.Callers, Cores: s.Machine.Capacity()}
}
