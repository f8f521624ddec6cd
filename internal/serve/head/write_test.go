package head

import (
	"testing"

	"github.com/cloudwego/hertz/pkg/protocol"

	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
)

// TestFieldsOfAnswerAreLost guards against lines of a field that are lost or doubled: those of the endpoint are kept, and replace
// what the host had set.
func TestFieldsOfAnswerAreLost(t *testing.T) {
	var to protocol.ResponseHeader
	to.Set("X-Request-Id", "host")
	Write(&to, wire.NewHead(418, wire.Field{Name: "X-Odd", Value: "1"}, wire.Field{Name: "x-request-id", Value: "endpoint"}, wire.Field{Name: "x-odd", Value: "2"}, wire.Field{Name: "Content-Type", Value: "text/odd"}))
	var odd, ids []string
	to.VisitAll(func(k, v []byte) {
		switch string(k) {
		case "X-Odd":
			odd = append(odd, string(v))
		case "X-Request-Id":
			ids = append(ids, string(v))
		}
	})
	if to.StatusCode() != 418 || len(odd) != 2 || odd[0] != "1" || odd[1] != "2" || len(ids) != 1 || ids[0] != "endpoint" || string(to.ContentType()) != "text/odd" {
		t.Errorf("got status %d, X-Odd %q, X-Request-Id %q, type %q", to.StatusCode(), odd, ids, to.ContentType())
	}
}
