package node

import (
	"math"

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

// fitness is how well a host suits as an entry host. Of a region, only hosts of the best one that
// any of them has are entry hosts.
type fitness int

// The values of fitness. A host that is cut off from its endpoints passes requests on; one without
// a confirmation of its rules refuses those that need a key.
const (
	fit fitness = iota
	cutOff
	unproven
	fitnessCount
)

func fitnessOf(cut, withoutProof bool) fitness {
	switch {
	case withoutProof:
		return unproven
	case cut:
		return cutOff
	}
	return fit
}

// assignDuties chooses the hosts that callers are given in each region, and whether this
// host reads the store.
func (n *Node) assignDuties(list []member.Member) {
	now := n.now()
	var fits [fitnessCount]map[string][]member.Member
	for i := range fits {
		fits[i] = map[string][]member.Member{}
	}
	var inCentre []member.Member
	add := func(m member.Member, cut, withoutProof bool) {
		of := fits[fitnessOf(cut, withoutProof)]
		of[m.Region] = append(of[m.Region], m)
		if m.Centre == n.board.Centre {
			inCentre = append(inCentre, m)
		}
	}
	for _, m := range list {
		if m.Healthy() && m.Region != "" {
			add(m, n.board.CutHosts.Cut(now, m.Name, m.Incarnation), n.board.Unproven.Cut(now, m.Name, m.Incarnation))
		}
	}
	if !n.board.Health.Leaving() {
		add(member.Member{Candidate: n.self()}, n.board.CutHosts.SelfCut(), n.board.Unproven.SelfCut())
	}
	regions := fits[fit]
	for _, others := range fits[cutOff:] {
		for region, hosts := range others {
			if len(regions[region]) == 0 {
				regions[region] = hosts
			}
		}
	}
	plan := &duties.Plan{Entries: map[string][]member.Member{}}
	for region, hosts := range regions {
		entries := duty.Entries(hosts, n.regionSlots(region))
		others := make([]member.Member, 0, len(entries))
		for _, m := range entries {
			if m.Name == n.board.Name {
				plan.SelfEntry = true
				continue
			}
			others = append(others, m)
		}
		plan.Entries[region] = others
	}
	for _, m := range duty.Readers(inCentre) {
		if m.Name == n.board.Name {
			plan.SelfReads = true
			continue
		}
		plan.Readers = append(plan.Readers, m)
	}
	n.logDuties(n.board.Duties.Plan(), plan)
	n.board.Duties.Store(plan)
}

// self returns this host as its peers know it.
func (n *Node) self() member.Candidate {
	s := n.settings
	return member.Candidate{Name: s.Peers, Address: s.Peers, Region: s.Region, Centre: s.Centre, Callers: s.Callers, Cores: s.Machine.Capacity()}
}

// regionSlots returns the number of slots of a region's endpoints. It is unbounded until
// rules are in force.
func (n *Node) regionSlots(region string) int {
	inForce := n.board.Routes.Rules()
	if inForce == nil {
		return math.MaxInt
	}
	slots := 0
	for _, name := range inForce.ServiceNames() {
		s, _ := inForce.Service(name)
		for _, e := range n.board.Registry.Endpoints(name) {
			if e.Region == region {
				slots += e.SlotsOf(s)
			}
		}
	}
	return slots
}

// logDuties logs a change of this host's duties.
func (n *Node) logDuties(old, plan *duties.Plan) {
	if old.SelfEntry == plan.SelfEntry && old.SelfReads == plan.SelfReads {
		return
	}
	n.log.Info().Bool("entry", plan.SelfEntry).Bool("reads", plan.SelfReads).Int("entries", len(plan.Entries[n.board.Region])).Msg("duties changed")
}
