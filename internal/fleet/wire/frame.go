// Package wire defines the messages between hosts and their CBOR encoding.
// A stream carries frames, each a big-endian length of four bytes and a Frame.
// A datagram carries one Packet.
package wire

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/terms"
)

// MaxFrame is the maximum size of a frame, in bytes. It leaves room for a whole
// inventory part and for the largest request body.
const MaxFrame = 68 << 20

// MaxPacket is the maximum size of a datagram before sealing, in bytes.
const MaxPacket = 1150

// Frame is a message on a stream. Exactly one field is set.
type Frame struct {
	Request    *Request    `cbor:"1,keyasint,omitempty"`
	FetchParts *FetchParts `cbor:"2,keyasint,omitempty"`
	Head       *Head       `cbor:"3,keyasint,omitempty"`
	Data       []byte      `cbor:"4,keyasint,omitempty"`
	End        *End        `cbor:"5,keyasint,omitempty"`
	Parts      *Parts      `cbor:"6,keyasint,omitempty"`
	// KeepAlive is a keep-alive: the request is still in progress.
	KeepAlive  bool        `cbor:"7,keyasint,omitempty"`
	FetchItems *FetchItems `cbor:"8,keyasint,omitempty"`
	Items      *Items      `cbor:"9,keyasint,omitempty"`
}

// Role is the part that the receiver of a request takes in serving it.
type Role uint8

// The roles. A Relay serves the request in its own region and cannot relay it
// again. A Home, the home host of the operation key, may send the request to
// another region only if it has not crossed regions yet.
const (
	Relay Role = 1
	Home  Role = 2
)

// Field is an HTTP header field.
type Field struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// Request asks a peer host to serve a request.
type Request struct {
	Role    Role    `cbor:"1,keyasint"`
	ID      string  `cbor:"2,keyasint"`
	Caller  string  `cbor:"3,keyasint"`
	Service string  `cbor:"4,keyasint"`
	Method  string  `cbor:"5,keyasint"`
	Path    string  `cbor:"6,keyasint"`
	Fields  []Field `cbor:"7,keyasint,omitempty"`
	Body    []byte  `cbor:"8,keyasint,omitempty"`
	// TimeLeftMS is the time left until the deadline, in milliseconds.
	TimeLeftMS int64 `cbor:"9,keyasint"`
	// Key is the operation key of a request that must not run twice.
	Key string `cbor:"10,keyasint,omitempty"`
	// FirstAttempt reports whether the caller declared this its first attempt.
	FirstAttempt bool `cbor:"11,keyasint,omitempty"`
	// Prefix is the hash of the prompt prefix.
	Prefix uint64 `cbor:"12,keyasint,omitempty"`
	// Stream reports whether the caller asked for a streamed answer.
	Stream bool `cbor:"13,keyasint,omitempty"`
	// EntryRegion is the region of the host that the caller sent the request to.
	EntryRegion string `cbor:"14,keyasint"`
	// Revision is the configuration revision that the sender routed by.
	Revision uint64 `cbor:"15,keyasint"`
	// Routing is set if a published route matched the request.
	Routing *Routing `cbor:"16,keyasint,omitempty"`
}

// Routing is the published route that the sender chose for a request, with the
// state of the request.
type Routing struct {
	Route rules.Route `cbor:"1,keyasint"`
	// Host is the request's host name.
	Host   string       `cbor:"2,keyasint"`
	Prompt terms.Prompt `cbor:"3,keyasint"`
	// LastEventID is the id of the last event that the caller received, -1 for none.
	LastEventID int `cbor:"4,keyasint"`
	// AttemptsLeft is the number of endpoints that the request may still be sent to.
	AttemptsLeft int `cbor:"5,keyasint"`
	// AgeMS is the time since the caller's request arrived, in milliseconds.
	AgeMS int64 `cbor:"6,keyasint"`
	// Release is that of the endpoints which may continue the stream; nil means any.
	Release *string `cbor:"7,keyasint,omitempty"`
	// Trial reports whether the request is the trial of a quarantined prompt part.
	Trial bool `cbor:"8,keyasint,omitempty"`
	// Caller is the caller's address without the port, empty if the sender is of a build that
	// does not have the field.
	Caller string `cbor:"9,keyasint,omitempty"`
	// Begun reports whether the caller has the head of a stream, which only a stream of events can
	// continue; nil if the sender is of a build that does not have the field.
	Begun *bool `cbor:"10,keyasint,omitempty"`
}

// End is the end of an answer. An answer without an End is truncated.
type End struct {
	Code         fault.Code `cbor:"1,keyasint,omitempty"`
	Message      string     `cbor:"2,keyasint,omitempty"`
	Ran          fault.Ran  `cbor:"3,keyasint,omitempty"`
	RetryAfterMS int64      `cbor:"4,keyasint,omitempty"`
	// Attempts is the number of attempts that reached an endpoint.
	Attempts int `cbor:"5,keyasint,omitempty"`
	// Answer is an error answer of an endpoint. The sender returns it to the
	// caller if no other attempt gives a better answer.
	Answer *Answer `cbor:"6,keyasint,omitempty"`
	// Runs is the number of attempts that may have run; hosts of older builds do not send it.
	Runs int `cbor:"7,keyasint,omitempty"`
}

// Answer is a complete answer, head and body.
type Answer struct {
	Head Head   `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint,omitempty"`
}

// FetchParts asks for the head of the configuration if Hashes is empty, else for the
// parts with these hashes.
type FetchParts struct {
	Hashes []string `cbor:"1,keyasint,omitempty"`
}

// Parts is a host's answer with configuration documents: the head, or the parts in
// the order of the requested hashes. A part that the host does not have is empty.
type Parts struct {
	Head      []byte   `cbor:"1,keyasint,omitempty"`
	Documents [][]byte `cbor:"2,keyasint,omitempty"`
}

// FetchItems asks for the store's items that changed after a revision.
type FetchItems struct {
	Revision uint64 `cbor:"1,keyasint"`
	// Era is the store's era of Revision.
	Era uint64 `cbor:"2,keyasint,omitempty"`
	// Memory asks also for what the host holds and the store may lack.
	Memory bool `cbor:"3,keyasint,omitempty"`
}

// Items is a host's answer with items of the store.
type Items struct {
	// Revision is the store revision up to which List is complete.
	Revision uint64 `cbor:"1,keyasint"`
	// Snapshot reports whether List is a full snapshot of the store.
	Snapshot bool   `cbor:"2,keyasint,omitempty"`
	List     []Item `cbor:"3,keyasint,omitempty"`
	// AgeMS is the time since the sender's view of the store was the newest one, and StableMS the time
	// since a call last failed or was slow, both in milliseconds.
	AgeMS    uint64 `cbor:"4,keyasint,omitempty"`
	StableMS uint64 `cbor:"5,keyasint,omitempty"`
	// Era is the store's era of all revisions here.
	Era uint64 `cbor:"6,keyasint,omitempty"`
	// Memory is nil if it was not asked for, or the host is not ready.
	Memory *Memory `cbor:"7,keyasint,omitempty"`
}

// Memory is what a host holds and a store that came back from an older copy may lack, for a host
// that has just started.
type Memory struct {
	// Listed and ListedEra are the revision and the era of the last listing, Restored and
	// RestoredEra those of the first listing after the store came back, 0 if it never did.
	Listed      uint64 `cbor:"1,keyasint,omitempty"`
	ListedEra   uint64 `cbor:"2,keyasint,omitempty"`
	Restored    uint64 `cbor:"3,keyasint,omitempty"`
	RestoredEra uint64 `cbor:"4,keyasint,omitempty"`
	// Gone lists the endpoints whose removal the store acknowledged.
	Gone []string `cbor:"5,keyasint,omitempty"`
	// Draining lists the registered endpoints that drain, Leaving those that announced to a
	// host that they leave.
	Draining []LeavingEndpoint `cbor:"6,keyasint,omitempty"`
	Leaving  []LeavingEndpoint `cbor:"7,keyasint,omitempty"`
	// Rules is the item of the rules in force.
	Rules *Item `cbor:"8,keyasint,omitempty"`
}

// Item is the last version of a key in the store, or its tombstone if Deleted.
type Item struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
	// AgeMS is the time since the item was read from the store, in milliseconds.
	AgeMS uint64
}

var (
	enc cbor.EncMode
	dec cbor.DecMode
)

const (
	maxElements = 65536
	maxNesting  = 8
)

func init() {
	var err error
	enc, err = cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err)
	}
	dec, err = cbor.DecOptions{
		MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNesting,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		// The values of header fields may have any bytes over 0x7f.
		UTF8: cbor.UTF8DecodeInvalid,
	}.DecMode()
	if err != nil {
		panic(err)
	}
}

// lengthBytes is the size of the length before each frame.
const lengthBytes = 4

// Write writes a frame with a single call of w.Write.
func Write(w io.Writer, f Frame) error {
	data, err := enc.Marshal(f)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	if len(data) > MaxFrame {
		return fmt.Errorf("frame of %d bytes exceeds %d", len(data), MaxFrame)
	}
	out := make([]byte, lengthBytes, lengthBytes+len(data))
	binary.BigEndian.PutUint32(out, uint32(len(data)))
	if _, err := w.Write(append(out, data...)); err != nil {
		return fmt.Errorf("write frame: %w", err)
	}
	return nil
}

// Read reads a frame of at most limit bytes. It returns io.EOF if the stream
// ends before the frame starts.
func Read(r io.Reader, limit int) (Frame, error) {
	return ReadReserved(r, limit, func(int) error { return nil })
}

// ReadReserved is like Read, and calls reserve with the size of the frame before it reads the frame itself. It
// returns the error of reserve if there is one, and reads no more then.
func ReadReserved(r io.Reader, limit int, reserve func(bytes int) error) (Frame, error) {
	var f Frame
	var length [lengthBytes]byte
	if _, err := io.ReadFull(r, length[:]); err != nil {
		if err == io.EOF {
			return f, io.EOF
		}
		return f, fmt.Errorf("read frame length: %w", err)
	}
	n := binary.BigEndian.Uint32(length[:])
	if int64(n) > int64(limit) {
		return f, fmt.Errorf("frame of %d bytes exceeds %d", n, limit)
	}
	if err := reserve(int(n)); err != nil {
		return f, fmt.Errorf("reserve %d bytes for frame: %w", n, err)
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(n)))
	if err != nil {
		return f, fmt.Errorf("read frame: %w", err)
	}
	if len(data) < int(n) {
		return f, fmt.Errorf("read frame: %w", io.ErrUnexpectedEOF)
	}
	if err := dec.Unmarshal(data, &f); err != nil {
		return f, fmt.Errorf("decode frame: %w", err)
	}
	return f, nil
}

// Encode returns the CBOR encoding of v.
func Encode(v any) ([]byte, error) {
	data, err := enc.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return data, nil
}

// Decode decodes a CBOR value into v.
func Decode(data []byte, v any) error {
	if err := dec.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}
