// Package wire defines the messages between hosts and their CBOR encoding.
// A stream carries frames: a length of four bytes, big endian, and one Frame.
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

// MaxFrame bounds one frame, in bytes; it leaves room for a whole part of an
// inventory and for the largest request body.
const MaxFrame = 68 << 20

// MaxPacket bounds one datagram before sealing, in bytes.
const MaxPacket = 1150

// Frame is one message on a stream; exactly one field is set.
type Frame struct {
	Open  *Open  `cbor:"1,keyasint,omitempty"`
	Fetch *Fetch `cbor:"2,keyasint,omitempty"`
	Head  *Head  `cbor:"3,keyasint,omitempty"`
	Data  []byte `cbor:"4,keyasint,omitempty"`
	End   *End   `cbor:"5,keyasint,omitempty"`
	Parts *Parts `cbor:"6,keyasint,omitempty"`
	// Alive says that the request is still worked on.
	Alive bool   `cbor:"7,keyasint,omitempty"`
	Since *Since `cbor:"8,keyasint,omitempty"`
	Items *Items `cbor:"9,keyasint,omitempty"`
}

// Role says what the receiver of an Open is asked to be.
type Role uint8

// The roles. A relay has no way to relay again; a home may cross once more
// only where the request has not crossed regions yet.
const (
	Relay Role = 1
	Home  Role = 2
)

// Field is one header field.
type Field struct {
	_     struct{} `cbor:",toarray"`
	Name  string
	Value string
}

// Open asks another host to carry out a request.
type Open struct {
	Role    Role    `cbor:"1,keyasint"`
	ID      string  `cbor:"2,keyasint"`
	Caller  string  `cbor:"3,keyasint"`
	Service string  `cbor:"4,keyasint"`
	Method  string  `cbor:"5,keyasint"`
	Path    string  `cbor:"6,keyasint"`
	Fields  []Field `cbor:"7,keyasint,omitempty"`
	Body    []byte  `cbor:"8,keyasint,omitempty"`
	// LeftMS is the time left before the deadline, in milliseconds.
	LeftMS int64 `cbor:"9,keyasint"`
	// Key is the operation key of a request that may not be repeated.
	Key string `cbor:"10,keyasint,omitempty"`
	// First says that the caller called this its first attempt.
	First bool `cbor:"11,keyasint,omitempty"`
	// Prefix is the hash of the prompt's beginning.
	Prefix uint64 `cbor:"12,keyasint,omitempty"`
	// Stream says that the caller asked for a streamed answer.
	Stream bool `cbor:"13,keyasint,omitempty"`
	// From is the region in which the request entered.
	From string `cbor:"14,keyasint"`
	// Revision is the configuration that the sender decided by.
	Revision uint64 `cbor:"15,keyasint"`
	// Routed is set for a request that came by a published route.
	Routed *Routed `cbor:"16,keyasint,omitempty"`
}

// Routed is what a published route says of a request, as the sender decided.
type Routed struct {
	Route rules.Route `cbor:"1,keyasint"`
	// Host is the request's host name.
	Host   string       `cbor:"2,keyasint"`
	Prompt terms.Prompt `cbor:"3,keyasint"`
	// After is the id of the last event that the caller has, -1 for none.
	After int `cbor:"4,keyasint"`
	// Tries is the number of endpoints that may still be tried.
	Tries int `cbor:"5,keyasint"`
	// AgeMS is the time since the caller's request came, in milliseconds.
	AgeMS int64 `cbor:"6,keyasint"`
}

// Head begins an answer.
type Head struct {
	Status   int     `cbor:"1,keyasint"`
	Fields   []Field `cbor:"2,keyasint,omitempty"`
	Endpoint string  `cbor:"3,keyasint,omitempty"`
}

// End ends an answer. A missing End means that the answer is not whole.
type End struct {
	Code    fault.Code `cbor:"1,keyasint,omitempty"`
	Message string     `cbor:"2,keyasint,omitempty"`
	Ran     fault.Ran  `cbor:"3,keyasint,omitempty"`
	RetryMS int64      `cbor:"4,keyasint,omitempty"`
	// Sent counts the attempts that reached an endpoint.
	Sent int `cbor:"5,keyasint,omitempty"`
	// Answer is what an endpoint answered of its own failure, for a sender that
	// finds no better one.
	Answer *Answer `cbor:"6,keyasint,omitempty"`
}

// Answer is a whole answer.
type Answer struct {
	Head Head   `cbor:"1,keyasint"`
	Body []byte `cbor:"2,keyasint,omitempty"`
}

// Fetch asks for documents of the configuration: the head where Hashes is
// empty, else the parts with these hashes.
type Fetch struct {
	Hashes []string `cbor:"1,keyasint,omitempty"`
}

// Parts answers a Fetch. Documents are in the order asked; a missing one is empty.
type Parts struct {
	Head      []byte   `cbor:"1,keyasint,omitempty"`
	Documents [][]byte `cbor:"2,keyasint,omitempty"`
}

// Since asks what the platform's store holds that changed after a revision.
type Since struct {
	Revision uint64 `cbor:"1,keyasint"`
}

// Items answers a Since.
type Items struct {
	// At is the revision up to which the list is complete.
	At uint64 `cbor:"1,keyasint"`
	// Whole says that the list is all that the store holds.
	Whole bool   `cbor:"2,keyasint,omitempty"`
	List  []Item `cbor:"3,keyasint,omitempty"`
}

// Item is one key of the store as it was last written, or removed.
type Item struct {
	_        struct{} `cbor:",toarray"`
	Key      string
	Value    []byte
	Revision uint64
	Deleted  bool
	// AgeMS is the time since it was read from the store, in milliseconds.
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
	}.DecMode()
	if err != nil {
		panic(err)
	}
}

const lengthBytes = 4

// Write sends one frame with a single call of w.Write.
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

// Read receives one frame of at most limit bytes. It returns io.EOF where the
// stream ends before a frame begins.
func Read(r io.Reader, limit int) (Frame, error) {
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

// Encode returns v in CBOR.
func Encode(v any) ([]byte, error) {
	data, err := enc.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode message: %w", err)
	}
	return data, nil
}

// Decode reads one CBOR value into v.
func Decode(data []byte, v any) error {
	if err := dec.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode message: %w", err)
	}
	return nil
}
