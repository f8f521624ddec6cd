package wire

// State is what a host believes of another one.
type State uint8

// The states, from the weakest claim to the strongest within one incarnation.
const (
	Alive   State = 1
	Suspect State = 2
	Dead    State = 3
	Left    State = 4
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Suspect:
		return "suspect"
	case Dead:
		return "dead"
	case Left:
		return "left"
	}
	return "unknown"
}

// Update is one claim about a host.
type Update struct {
	_    struct{} `cbor:",toarray"`
	Host string
	// Life is the start of the host's process, in milliseconds since 1970.
	Life uint64
	// Count is raised by the host itself to refute a suspicion.
	Count uint32
	State State
}

// Kind tells heartbeats apart.
type Kind uint8

// The kinds of packet.
const (
	Ping     Kind = 1
	Ack      Kind = 2
	PingReq  Kind = 3
	Announce Kind = 4
)

// Packet is one datagram between hosts.
type Packet struct {
	Kind Kind   `cbor:"1,keyasint"`
	Seq  uint64 `cbor:"2,keyasint,omitempty"`
	From string `cbor:"3,keyasint"`
	// Life is the start of the sender's process, in milliseconds since 1970.
	Life uint64 `cbor:"4,keyasint"`
	// Target is the host that a PingReq asks to probe, or that an Ack speaks for.
	Target string `cbor:"5,keyasint,omitempty"`
	// Revision and Sum mark the configuration in force at the sender.
	Revision uint64       `cbor:"6,keyasint,omitempty"`
	Sum      uint32       `cbor:"12,keyasint,omitempty"`
	Updates  []Update     `cbor:"7,keyasint,omitempty"`
	Loads    []Load       `cbor:"8,keyasint,omitempty"`
	Regions  []RegionLoad `cbor:"9,keyasint,omitempty"`
	// Places tells a fleet that is found from seeds where hosts are, the sender first.
	Places []Place `cbor:"13,keyasint,omitempty"`
	// Taken is what the sender has at the endpoints of its region.
	Taken []Taken `cbor:"14,keyasint,omitempty"`
	// Sums describe services in regions by name.
	Sums []Sum `cbor:"15,keyasint,omitempty"`
	// Sent lists the shared beginnings of prompts that the sender sent lately.
	Sent []Sent `cbor:"16,keyasint,omitempty"`
	// Open is the number of requests in flight at the sender.
	Open int `cbor:"10,keyasint,omitempty"`
	// Leaving says that the sender takes no new requests.
	Leaving bool `cbor:"11,keyasint,omitempty"`
}

// Load is an endpoint's report as it is known at the sender.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Endpoint is the place in the inventory that the packet's mark names.
	Endpoint uint32
	// AgeMS is the age of the report, in milliseconds.
	AgeMS   uint32
	Running uint32
	Queued  uint32
	Flags   uint8
	// MarkMS is the age of the host list's mark, with FlagListed, in milliseconds.
	MarkMS uint32
}

// The flags of a Load.
const (
	FlagLeaving uint8 = 1
	FlagFailing uint8 = 2
	// FlagListed is set where the host list marks the endpoint as leaving.
	FlagListed uint8 = 4
	// FlagReport is set where the load is a report and not only a mark.
	FlagReport uint8 = 8
)

// RegionLoad sums up one service in one region.
type RegionLoad struct {
	_ struct{} `cbor:",toarray"`
	// Region and Service are places in the inventory that the packet's mark names.
	Region  uint32
	Service uint32
	// AgeMS is the age of the sum, in milliseconds.
	AgeMS uint32
	// Slots counts those of endpoints that take work.
	Slots uint32
	// Busy counts requests running or queued.
	Busy uint32
}

// Place says where a host is.
type Place struct {
	_    struct{} `cbor:",toarray"`
	Host string
	// Address is the one for hosts, Callers that for callers: IP number and port.
	// An empty Address is the host's name.
	Address string
	Callers string
	Region  string
	Centre  string
}

// Taken is what a host has in flight at one endpoint.
type Taken struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Requests uint32
	// PendingMS is the time of prompts whose first token is not there yet, by rank, ms.
	PendingMS []uint32
}

// Sum is the state of one service in one region.
type Sum struct {
	_       struct{} `cbor:",toarray"`
	Region  string
	Service string
	AgeMS   uint32
	Slots   uint32
	Busy    uint32
	// WaitMS is the time of unread prompts at its endpoints, on average, by rank, ms.
	WaitMS []uint32
}

// Sent says that an endpoint was sent a prompt with a shared beginning.
type Sent struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Prefix   uint64
}
