package wire

// State is the membership state of a host, as seen by another host.
type State uint8

// The membership states. Within one incarnation a higher state overrides a lower one.
const (
	Alive   State = 1
	Suspect State = 2
	Dead    State = 3
	Left    State = 4
)

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

// Update is a membership update: the state of one host as gossiped by another.
type Update struct {
	_    struct{} `cbor:",toarray"`
	Host string
	// Life is the host's incarnation: the start time of its process, in
	// milliseconds since 1970.
	Life uint64
	// Count is the number of refutations: the host itself raises it to refute a
	// suspicion.
	Count uint32
	State State
}

// Kind is the type of a packet.
type Kind uint8

// The kinds of packet. Ping, Ack and PingReq are those of SWIM; an Announce
// expects no answer.
const (
	Ping     Kind = 1
	Ack      Kind = 2
	PingReq  Kind = 3
	Announce Kind = 4
)

// Packet is a datagram between hosts: a membership message that also carries loads and
// the sender's configuration version.
type Packet struct {
	Kind Kind   `cbor:"1,keyasint"`
	Seq  uint64 `cbor:"2,keyasint,omitempty"`
	From string `cbor:"3,keyasint"`
	// Incarnation is the sender's incarnation: the start time of its process, in
	// milliseconds since 1970.
	Incarnation uint64 `cbor:"4,keyasint"`
	// Target is the host that a PingReq asks to probe. In an Ack to a PingReq it
	// is the host that answered the indirect probe.
	Target string `cbor:"5,keyasint,omitempty"`
	// Revision is that of the sender's active configuration.
	Revision uint64 `cbor:"6,keyasint,omitempty"`
	// DigestPrefix is the start of the digest of the sender's active configuration.
	DigestPrefix uint32   `cbor:"12,keyasint,omitempty"`
	Updates      []Update `cbor:"7,keyasint,omitempty"`
	Loads        []Load   `cbor:"8,keyasint,omitempty"`
	// RegionLoads are service loads by inventory index.
	RegionLoads []RegionLoad `cbor:"9,keyasint,omitempty"`
	// Hosts lists addresses and locations of hosts, the sender first. It is set
	// only in a fleet that discovers its hosts from seeds.
	Hosts []HostInfo `cbor:"13,keyasint,omitempty"`
	// Millicores lists the processor capacity of each of Hosts, in thousandths of a core.
	// Hosts of builds that do not know the field send none.
	Millicores []uint32 `cbor:"17,keyasint,omitempty"`
	// DeadHosts lists hosts that the sender lists as dead, which may only be cut off. Hosts of older
	// builds ignore the field.
	DeadHosts []DeadHost `cbor:"33,keyasint,omitempty"`
	// Store is set by a host that reads the platform's store.
	Store *StoreState `cbor:"18,keyasint,omitempty"`
	// StoreEra is the era of the revisions in Store. Hosts of builds that do not know the
	// field send none.
	StoreEra uint64 `cbor:"22,keyasint,omitempty"`
	// StoreRestored is the revision of the sender's first listing of that era, 0 if the store was
	// never restored. Hosts of older builds ignore the field.
	StoreRestored uint64 `cbor:"32,keyasint,omitempty"`
	// HostLoads are the sender's in-flight requests at the endpoints of its region.
	HostLoads []HostLoad `cbor:"14,keyasint,omitempty"`
	// ServiceLoads are service loads by name.
	ServiceLoads []ServiceLoad `cbor:"15,keyasint,omitempty"`
	// SentPrefixes are the shared prompt prefixes that the sender sent to endpoints lately.
	SentPrefixes []SentPrefix `cbor:"16,keyasint,omitempty"`
	// Limits are the rate limits that endpoints of the region named or lifted lately in
	// answers to the sender. Hosts of builds that do not know the field ignore it.
	Limits []Limit `cbor:"19,keyasint,omitempty"`
	// LeavingEndpoints are endpoints of the region that announced lately that they leave. Hosts of
	// older builds ignore the field.
	LeavingEndpoints []LeavingEndpoint `cbor:"23,keyasint,omitempty"`
	// ColdEndpoints are endpoints of the region that answered the sender that they are cold.
	// Hosts of older builds ignore the field.
	ColdEndpoints []ColdEndpoint `cbor:"25,keyasint,omitempty"`
	// Starts are streams and the releases that began them, and Asked the keys of streams
	// whose start the sender asks for. Hosts of builds that do not know the fields ignore them.
	Starts []Starts `cbor:"20,keyasint,omitempty"`
	Asked  []uint64 `cbor:"21,keyasint,omitempty"`
	// Poison is the evidence against prompt parts. Hosts of older builds
	// ignore the field.
	Poison []PoisonPart `cbor:"24,keyasint,omitempty"`
	// PoisonRepeats is the evidence against requests that their callers repeat. Hosts of older
	// builds ignore the field.
	PoisonRepeats []PoisonPart `cbor:"26,keyasint,omitempty"`
	// Frail are the services whose endpoints announced lately, in answers to the sender, that they
	// are brittle or no longer are. Hosts of older builds ignore the field.
	Frail []FrailService `cbor:"28,keyasint,omitempty"`
	// CutHosts says which hosts are cut off from the endpoints of their regions. Hosts of older
	// builds ignore the field.
	CutHosts []CutHost `cbor:"27,keyasint,omitempty"`
	// AskProof is the nonce of a question whether the receiver has a confirmation of its rules, 0 for
	// none, and Proof the answer to one, or whether the sender has none. Hosts of older builds ignore the fields.
	AskProof uint64      `cbor:"30,keyasint,omitempty"`
	Proof    *RulesProof `cbor:"31,keyasint,omitempty"`
	// Uses is what the sender's requests of customers with a limit used. Hosts of older builds
	// ignore the field.
	Uses *Uses `cbor:"29,keyasint,omitempty"`
	// InFlight is the number of in-flight requests at the sender.
	InFlight int `cbor:"10,keyasint,omitempty"`
	// Leaving reports whether the sender is leaving and accepts no new requests.
	Leaving bool `cbor:"11,keyasint,omitempty"`
}

// Load is the last load report of an endpoint that the sender has.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// Endpoint is an index into the inventory of the sender's active configuration.
	Endpoint uint32
	// AgeMS is the age of the report, in milliseconds.
	AgeMS   uint32
	Running uint32
	Queued  uint32
	Flags   uint8
	// MarkMS is the age of the host list's leaving mark, in milliseconds, if the
	// flags include that mark.
	MarkMS uint32
}

// The flags of a Load.
const (
	FlagLeaving uint8 = 1
	FlagFailing uint8 = 2
	// FlagListedLeaving is set if the host list marks the endpoint as leaving.
	FlagListedLeaving uint8 = 4
	// FlagHasReport is set if the Load contains an endpoint's report. Without it
	// only the leaving mark is valid.
	FlagHasReport uint8 = 8
)

// RegionLoad is a service load, the load of one service in one region, by inventory
// index.
type RegionLoad struct {
	_ struct{} `cbor:",toarray"`
	// Region and Service are indexes into the inventory of the sender's active
	// configuration.
	Region  uint32
	Service uint32
	// AgeMS is the age of the service load, in milliseconds.
	AgeMS uint32
	// Slots is the number of slots at endpoints that accept requests.
	Slots uint32
	// Busy is the number of running and queued requests.
	Busy uint32
}

// HostInfo is the addresses and the location of a host.
type HostInfo struct {
	_    struct{} `cbor:",toarray"`
	Host string
	// Address is the host's address for peer hosts and Callers its address for
	// callers, each an IP address and port. If Address is empty, the host's name
	// is the address.
	Address string
	Callers string
	Region  string
	Centre  string
}

// DeadHost is a host that is listed as dead.
type DeadHost struct {
	_    struct{} `cbor:",toarray"`
	Info HostInfo
	// Millicores is the host's processor capacity, in thousandths of a core.
	Millicores uint32
	// DeadMS is the time since the host was declared dead, in milliseconds.
	DeadMS uint32
}

// StoreState is what the sender has read of the platform's store.
type StoreState struct {
	_ struct{} `cbor:",toarray"`
	// Revision is the store's revision up to which the sender knows all changes.
	Revision uint64
	// Changed is the revision of the last change that was more than a heartbeat of an
	// endpoint.
	Changed uint64
	// AgeMS is the time since the store's last answer, in milliseconds.
	AgeMS uint64
}

// RulesProof is the confirmation that the sender has of its rules: a read of the store that showed
// no newer version.
type RulesProof struct {
	// Nonce is that of the question, 0 if the packet answers none.
	Nonce   uint64 `cbor:"1,keyasint,omitempty"`
	Version uint64 `cbor:"2,keyasint,omitempty"`
	// AgeMS is the time since that read was sent, in milliseconds, rounded up.
	AgeMS uint64 `cbor:"3,keyasint,omitempty"`
	// Unproven reports whether the sender has no confirmation; Cut means that it has none.
	Unproven *CutHost `cbor:"4,keyasint,omitempty"`
}

// HostLoad is the sender's own in-flight requests at one endpoint.
type HostLoad struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Requests uint32
	// PendingMS is the queued prefill by priority rank, in milliseconds: the prefill
	// time of the prompts that have no first token yet.
	PendingMS []uint32
}

// ServiceLoad is a service load by name.
type ServiceLoad struct {
	_       struct{} `cbor:",toarray"`
	Region  string
	Service string
	AgeMS   uint32
	Slots   uint32
	Busy    uint32
	// WaitMS is the mean queued prefill of the service's endpoints by priority rank, in
	// milliseconds.
	WaitMS []uint32
}

// SentPrefix records that a prompt with a shared prompt prefix was sent to an endpoint,
// which is then expected to have the prefix cached.
type SentPrefix struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	Prefix   uint64
}

// Limit is what the sender heard of the rate limit of an endpoint.
type Limit struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	// Limited is false if the endpoint lifted its limit.
	Limited bool
	// PerSecond is the limit in requests per second, for all hosts together.
	PerSecond float64
	// AgeMS is the time since the sender heard it, in milliseconds.
	AgeMS uint32
}

// Starts are the keys of streams that one release of an endpoint began.
type Starts struct {
	_       struct{} `cbor:",toarray"`
	Release string
	Keys    []uint64
}

// PoisonPart is the evidence against a prompt part or a request under which endpoints ended.
// Ages are in milliseconds, 0 for none.
type PoisonPart struct {
	_ struct{} `cbor:",toarray"`
	// Part is the hash of the part's id, or of what identifies the request.
	Part uint64
	// ServedMS is the age of the last answer to a request with the part.
	ServedMS uint32
	// Trials counts the trials of the part, TriedMS is the age of the last.
	Trials  uint32
	TriedMS uint32
	// Served and Tried are the ids of that answer and that trial.
	Served uint32
	Tried  uint32
	Ends   []PoisonEnd
}

// PoisonEnd is the end of an endpoint under a prompt part or a request.
type PoisonEnd struct {
	_ struct{} `cbor:",toarray"`
	// Life is the hash of the endpoint's id and incarnation, Request that of the request's id.
	Life    uint64
	Request uint32
	AgeMS   uint32
	// FlightMS is how long the request had been in flight, in milliseconds.
	FlightMS uint32
}

// FrailService is a service whose endpoints are brittle or no longer are.
type FrailService struct {
	_       struct{} `cbor:",toarray"`
	Service string
	Brittle bool
	// Limit is the number of requests that an endpoint may turn away in a second.
	Limit uint32
	// AgeMS is the time since the answer, in milliseconds.
	AgeMS uint32
}

// CutHost says whether a host is cut off from the endpoints of its region.
type CutHost struct {
	_    struct{} `cbor:",toarray"`
	Host string
	// Life is the incarnation of the host.
	Life   uint64
	Serial uint32
	Cut    bool
}

// Uses is a part of what the requests of customers used at the sender.
type Uses struct {
	_ struct{} `cbor:",toarray"`
	// SentMS is the age of the sender's process, in milliseconds. The parts of one announcement
	// have the same.
	SentMS uint64
	// Quiet reports that the sender announces nothing until its requests use something again.
	Quiet    bool
	Counters []UseCounter
}

// UseCounter is what the requests of one customer used at the sender, in the unit of its limit.
type UseCounter struct {
	_ struct{} `cbor:",toarray"`
	// Customer is the hash of the customer's name.
	Customer uint32
	// Total is the use since the sender's process started, Recent that of the last seconds, which a
	// receiver without an earlier Total counts.
	Total  uint64
	Recent uint64
}

// LeavingEndpoint is an endpoint that announced that it takes no new requests and ends.
type LeavingEndpoint struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	// Life is the incarnation of the endpoint that announced it.
	Life int64
}

// ColdEndpoint is an endpoint that announced that it is cold.
type ColdEndpoint struct {
	_        struct{} `cbor:",toarray"`
	Endpoint string
	// Life is the incarnation of the endpoint that announced it.
	Life int64
	// RemainingMS is the time for which it stays cold, in milliseconds.
	RemainingMS uint32
}
