// Package eras orders the revisions of a store that can come back from an older copy: its
// revisions then go back and are given out again, in an era that is one higher. An ordered
// revision has the era in its upper bits, so that any revision of a later era is newer than
// all of an earlier one wherever two are compared. In era 0, that of a store that names no
// era, it is the store's own revision.
package eras

const (
	// revisionBits is the width of the store's own revision. At 100,000 changes a second it
	// lasts for 127 days; eras have the other 24 bits.
	revisionBits = 40
	maxRevision  = 1<<revisionBits - 1
	maxEra       = 1<<(64-revisionBits) - 1
)

// Join returns the ordered revision of a store's revision in an era. Values out of range
// are bounded.
func Join(era, revision uint64) uint64 {
	return min(era, maxEra)<<revisionBits | min(revision, maxRevision)
}

// Of returns the era of an ordered revision.
func Of(ordered uint64) uint64 { return ordered >> revisionBits }

// Revision returns the store's own revision of an ordered revision.
func Revision(ordered uint64) uint64 { return ordered & maxRevision }
