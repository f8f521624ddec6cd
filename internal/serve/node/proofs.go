package node

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/board/paths"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

const (
	// proofsName is the controller that asks other hosts for confirmations of the rules. A request
	// that needs one also triggers it.
	proofsName   = "proofs"
	proofsPeriod = 250 * time.Millisecond
	// askPeriod is the time between two questions of a host that does not read the store, while its
	// own confirmation is young.
	askPeriod = time.Second
	// minAskGap is the least time between two questions: each request that needs a confirmation
	// triggers one.
	minAskGap = 100 * time.Millisecond
	// askAllShare is the share of the life of a confirmation from which a host asks in each period,
	// and hosts that do not read the store too. From readShare on it reads the store itself.
	askAllShare = 0.5
	readShare   = 0.75
	// leaveShare is the share from which a host leaves the directory: its last answers are used for
	// up to 2 s.
	leaveShare = 0.75
	// maxProofAgeMS bounds the age that a peer host states.
	maxProofAgeMS = 24 * 60 * 60 * 1000
	// returnReports is how often a host reports that its confirmation is back.
	returnReports = 3
)

// proofQuestions is the state of the questions and reports that a host sends.
type proofQuestions struct {
	count int
	sent  time.Duration
	// reported is the serial of the last report of this host that was sent, reports how often.
	reported uint32
	reports  int
}

// askProofs asks other hosts for their confirmation of the rules.
func (n *Node) askProofs() {
	n.updateUnproven()
	n.shareUnproven()
	if !n.needsProofs() {
		return
	}
	now, q, plan := n.boot(), &n.proofQuestions, n.board.Duties.Plan()
	age, ok := n.board.Proof.Age(now)
	life := n.board.Proof.Life()
	old := !ok || age >= time.Duration(askAllShare*float64(life))
	gap := askPeriod
	if old {
		gap = minAskGap
	}
	if (!old && plan.SelfReads) || now-q.sent < gap {
		return
	}
	q.sent = now
	q.count++
	var to []member.Member
	if len(plan.Readers) > 0 {
		to = append(to, plan.Readers[q.count%len(plan.Readers)])
	}
	if old || len(to) == 0 {
		to = append(to, n.board.Members.RandomUsable(1, func(m member.Member) bool {
			return m.Region != "" && (len(to) == 0 || m.Name != to[0].Name)
		})...)
	}
	for _, m := range to {
		nonce := max(1, rand.Uint64())
		n.board.Questions.Ask(n.boot(), nonce)
		n.announceTo([]member.Member{m}, wire.Packet{AskProof: nonce})
	}
	if !ok || age >= time.Duration(readShare*float64(life)) {
		n.feed.RequestProof()
	}
}

// receiveProof answers the question of a peer host for a confirmation, and records an answer.
func (n *Node) receiveProof(m member.Member, p wire.Packet) {
	if p.AskProof != 0 {
		n.answerProof(m, p.AskProof)
	}
	if p.Proof == nil {
		return
	}
	if r := p.Proof.Unproven; r != nil && r.Host == m.Name && n.board.Unproven.Merge(n.now(), []paths.Report{
		{Host: r.Host, Incarnation: r.Life, Serial: r.Serial, Cut: r.Cut},
	}) {
		n.log.Info().Str("peer", m.Name).Bool("ending", r.Cut).Msg("peer host leaves the directory, or returns, by the confirmation of its rules")
		n.runner.Trigger(dutyName)
	}
	sent, ok := n.board.Questions.Answer(p.Proof.Nonce)
	if !ok {
		return
	}
	// The age counts from when the question was sent: the peer host stated it later.
	age := time.Duration(min(p.Proof.AgeMS, maxProofAgeMS)) * time.Millisecond
	n.recordProof(sent-age, p.Proof.Version)
	if inForce := n.board.Routes.Version(); p.Proof.Version > inForce {
		n.log.Debug().Str("peer", m.Name).Uint64("version", inForce).Uint64("peers", p.Proof.Version).Msg("peer host has newer rules")
		n.ahead.Store(&m)
		n.runner.Trigger(itemsName)
	}
}

// updateUnproven records whether the confirmation of this host is missing or about to end. Directories
// leave such a host out while others of its region have one.
func (n *Node) updateUnproven() {
	now := n.boot()
	age, ok := n.board.Proof.Age(now)
	if !ok {
		age = now - n.bootedAt
	}
	n.logConfirmation(now, age)
	ending := !ok || age >= time.Duration(leaveShare*float64(n.board.Proof.Life()))
	if !n.board.Unproven.SetSelf(n.now(), n.needsProofs() && ending) {
		return
	}
	n.log.Info().Bool("ending", ending).Uint64("version", n.board.Routes.Version()).Msg("host leaves the directory, or returns, by the confirmation of its rules")
	n.runner.Trigger(dutyName)
	n.runner.Trigger(proofsName)
}

// shareUnproven reports to the hosts of the region, whose directories list this one, whether its
// confirmation is missing. Passing reports on at random, as those on cut hosts are, would exceed the
// limit of control traffic while the store is down and all hosts report.
func (n *Node) shareUnproven() {
	if n.board.Unproven.Sweep(n.now()) {
		n.runner.Trigger(dutyName)
	}
	r, q := n.board.Unproven.SelfReport(), &n.proofQuestions
	if r.Serial != q.reported {
		q.reported, q.reports = r.Serial, 0
	}
	// A report that it is missing is renewed, one that it is back may be lost.
	most := returnReports
	if r.Cut {
		most = 1
	}
	if r.Serial == 0 || q.reports >= most {
		return
	}
	q.reports++
	inRegion := func(m member.Member) bool { return m.Region == n.board.Region }
	n.announce(math.MaxInt, inRegion, wire.Packet{Proof: &wire.RulesProof{
		Unproven: &wire.CutHost{Host: r.Host, Life: r.Incarnation, Serial: r.Serial, Cut: r.Cut},
	}})
}

// logConfirmation logs whether keys are accepted, if that changed.
func (n *Node) logConfirmation(now, age time.Duration) {
	n.meter.ConfirmationAge.Set(age.Seconds())
	version := n.board.Routes.Version()
	refused := n.needsProofs() && !n.board.Proof.Valid(now, version)
	if n.keysRefused.Swap(refused) == refused {
		return
	}
	if refused {
		n.log.Warn().Dur("age", age).Uint64("version", version).Msg("rules are not confirmed; keys are refused")
		return
	}
	n.log.Info().Dur("age", age).Uint64("version", version).Msg("rules are confirmed; keys are accepted")
}

// answerProof sends the confirmation that this host has, if it has one.
func (n *Node) answerProof(m member.Member, nonce uint64) {
	version := n.board.Routes.Version()
	now := n.boot()
	age, ok := n.board.Proof.Age(now)
	if !ok || !n.board.Proof.Valid(now, version) {
		return
	}
	ageMS := uint64((max(0, age) + time.Millisecond - 1) / time.Millisecond)
	n.announceTo([]member.Member{m}, wire.Packet{Proof: &wire.RulesProof{Nonce: nonce, Version: version, AgeMS: ageMS}})
}
