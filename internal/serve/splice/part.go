// Package splice decides which attempts' answers may be passed on as one answer to a caller, and
// records what each attempt contributes to it.
package splice

import (
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
)

// Part is what one attempt sent of an answer. The zero value is nothing.
type Part struct {
	// Status and Type are the status and the media type with its parameters, 0 and empty before
	// the head.
	Status int
	Type   string
	// First and Last are the ids of the first and the last event that had one, if Events.
	First, Last int
	Events      bool
	Bytes       int
}

// WithHead returns the part with the head of its answer.
func (p Part) WithHead(h wire.Head) Part {
	p.Status, p.Type = h.Status(), MediaType(h)
	return p
}

// WithData returns the part with more of its answer's body: of a stream, whole events.
func (p Part) WithData(data []byte) Part {
	p.Bytes += len(data)
	if last := stream.LastID(data); last != stream.NoID {
		if !p.Events {
			p.First = stream.FirstID(data)
		}
		p.Events, p.Last = true, last
	}
	return p
}

// MediaType returns the value of the field Content-Type, empty if there is none.
func MediaType(h wire.Head) string { return h.Field("Content-Type") }
