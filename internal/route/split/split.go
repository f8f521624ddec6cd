// Package split decides on which side of a network split a host may be, from the age of its view of
// the platform's store and from its contact with peer hosts.
package split

import "time"

const (
	// maxViewAge is the age up to which a view is current: hosts that read the store renew theirs
	// every second, and those that follow them one announcement later.
	maxViewAge = 2500 * time.Millisecond
	// maxSilence is the time without a packet of any peer host after which a host is alone. In a
	// fleet of any size a host gets a probe or the answer to one every second.
	maxSilence = 2500 * time.Millisecond
)

// Side is the side of a network split on which a host may be.
type Side string

const (
	// Whole means that no other host is likely to have a newer view: this host's is current, or most
	// hosts of the region are in contact and have an old one too, as the store is down.
	Whole Side = ""
	// Minority means that the view is old and most hosts of the region are out of contact.
	Minority Side = "minority"
	// Alone means that the view is old and no peer host is in contact.
	Alone Side = "alone"
)

// View is a host's view of the store and its contact with the fleet.
type View struct {
	// Age is the time since the store confirmed the host's view, to itself or to a peer host.
	Age time.Duration
	// Silence is the time since the last packet of a peer host.
	Silence time.Duration
	// Hosts is the number of other hosts of the region that have not left, Alive that of those which
	// answer probes.
	Hosts, Alive int
}

// Side returns the side on which the host may be.
func (v View) Side() Side {
	switch {
	case v.Age <= maxViewAge:
		return Whole
	case v.Silence > maxSilence:
		return Alone
	case 2*v.Alive < v.Hosts:
		return Minority
	}
	return Whole
}

// SharesLapse reports whether the host's shares of limits may be in use by other hosts, which may not
// count it any more.
func (v View) SharesLapse() bool { return v.Side() == Alone && v.Hosts > 0 }
