package node

import (
	"math/rand/v2"
	"time"

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
	// askAllShare is the share of the life of a confirmation from which a host asks in each period,
	// and hosts that do not read the store too. From readShare on it reads the store itself.
	askAllShare = 0.5
	readShare   = 0.75
	// leaveShare is the share from which a host leaves the directory: its last answers are used for
	// up to 2 s.
	leaveShare = 0.75
	// maxProofAgeMS bounds the age that a peer host states.
	maxProofAgeMS = 24 * 60 * 60 * 1000
)

// proofQuestions is the state of the questions that a host sends.
type proofQuestions struct {
	count int
	sent  time.Duration
}

// askProofs asks other hosts for their confirmation of the rules.
func (n *Node) askProofs() {
	n.updateUnproven()
	if !n.needsProofs() {
		return
	}
	now, q, plan := n.boot(), &n.proofQuestions, n.board.Duties.Plan()
	age, ok := n.board.Proof.Age(now)
	life := n.board.Proof.Life()
	old := !ok || age >= time.Duration(askAllShare*float64(life))
	if !old && (plan.SelfReads || now-q.sent < askPeriod) {
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
	if n.board.Unproven.Merge(n.now(), fromWireCuts(p.Proof.Unproven)) {
		n.log.Info().Int("reports", len(p.Proof.Unproven)).Msg("hosts without a confirmation of their rules changed")
		n.runner.Trigger(dutyName)
	}
	sent, ok := n.board.Questions.Answer(p.Proof.Nonce)
	if !ok {
		return
	}
	if inForce := n.board.Routes.Version(); p.Proof.Version > inForce {
		n.log.Debug().Str("peer", m.Name).Uint64("version", inForce).Uint64("peers", p.Proof.Version).Msg("peer host has newer rules")
		n.ahead.Store(&m)
		n.runner.Trigger(itemsName)
		return
	}
	// The age counts from when the question was sent: the peer host stated it later.
	age := time.Duration(min(p.Proof.AgeMS, maxProofAgeMS)) * time.Millisecond
	n.recordProof(sent-age, p.Proof.Version)
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
	n.runner.Trigger(cutsName)
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
