package splice

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/head"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/stream"
)

// ErrOther is the error of an answer that is not the rest of the one that has begun.
var ErrOther = errors.New("answer does not continue the stream")

// Answer is what a caller has received of its answer, over all attempts at it. The zero value is
// nothing.
type Answer struct {
	begun, events bool
	// unnumbered reports whether an event without an id follows the last one with an id: an attempt
	// that continues after that one may send it again.
	unnumbered bool
}

// NewBegun returns an answer that has begun as a stream of events, by an attempt of another host.
func NewBegun() Answer { return Answer{begun: true, events: true} }

// WithHead returns the answer after an attempt's head was accepted. The first one counts.
func (a Answer) WithHead(h wire.Head) Answer {
	if a.begun {
		return a
	}
	return Answer{begun: true, events: IsEvents(h)}
}

// WithData returns the answer after more of its body was passed on: of a stream, whole events.
func (a Answer) WithData(data []byte) Answer {
	if a.events {
		a.unnumbered = stream.EndsUnnumbered(a.unnumbered, data)
	}
	return a
}

// Begun reports whether the caller has the head.
func (a Answer) Begun() bool { return a.begun }

// Resumable reports whether another attempt may send the rest.
func (a Answer) Resumable() bool { return a.begun && a.events && !a.unnumbered }

// Accept returns nil if an attempt's answer with the head may be passed on: as the first, or as the
// rest of a stream of events. The error is ErrOther, with the status and the media type.
func (a Answer) Accept(h wire.Head) error {
	if !a.begun || (a.Resumable() && IsEvents(h)) {
		return nil
	}
	return fmt.Errorf("%w: status %d, media type %q", ErrOther, h.Status(), MediaType(h))
}

// IsEvents reports whether an answer with the head is a stream of events. An encoded one is not, as
// its bytes can't be split into events.
func IsEvents(h wire.Head) bool {
	return h.Status() == http.StatusOK && stream.IsEvents(MediaType(h)) && head.Encoding(h) == ""
}
