package node

import "time"

// keysValid reports whether a version of the rules was confirmed recently enough to accept the
// customers' keys in it.
func (n *Node) keysValid(version uint64) bool {
	return !n.settings.Bounds.StrictKeys || n.board.Proof.Valid(n.boot(), version)
}

// rulesAge returns the time since it was last confirmed that this host's rules are the newest.
func (n *Node) rulesAge(now time.Time) (time.Duration, bool) {
	if n.settings.Bounds.StrictKeys {
		return n.board.Proof.Age(n.boot())
	}
	return n.storeAge(now), true
}

// refreshRules requests a confirmation of the rules.
func (n *Node) refreshRules() {}
