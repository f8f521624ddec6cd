package head

import (
	"slices"
	"strings"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

// Write sets the status and the fields of an answer to a caller to those of an endpoint's answer. All lines of a field that the
// endpoint sends more than once are kept, in the place of what the host has set under that name.
func Write(to *protocol.ResponseHeader, h wire.Head) {
	to.SetStatusCode(h.Status())
	fields := h.Fields()
	for i, f := range fields {
		sameName := func(other wire.Field) bool { return strings.EqualFold(other.Name, f.Name) }
		if slices.ContainsFunc(fields[:i], sameName) {
			to.Add(f.Name, f.Value)
		} else {
			to.Set(f.Name, f.Value)
		}
	}
}
