package front

import (
	"net/http"
	"strings"
	"testing"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/app/server"
	"github.com/cloudwego/hertz/pkg/common/ut"
	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/board/health"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/flow"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/held"
)

// TestPanicEndsRequestWithoutAnswer: a request whose handler panics, here for want of the
// configuration's table, is refused and leaves a line in the log.
func TestPanicEndsRequestWithoutAnswer(t *testing.T) {
	var log strings.Builder
	f := &Front{Board: &board.Board{Health: &health.Table{}}, Meter: meter.New(), Log: zerolog.New(&log), server: server.New()}
	f.registerRoutes()
	answer := ut.PerformRequest(f.server.Engine, http.MethodGet, "/v1/models", nil).Result()
	if answer.StatusCode() != http.StatusBadGateway || !strings.Contains(string(answer.Body()), `"ran":"unknown"`) {
		t.Errorf("got status %d, body %s, want 502 with ran unknown", answer.StatusCode(), answer.Body())
	}
	if !strings.Contains(log.String(), "panicked") {
		t.Errorf("the log has no line on the panic: %s", log.String())
	}
}

// TestRefusalHasFieldsOfBrokenAnswer guards against a refusal under the head of an answer that broke off:
// a caller can't read it by an encoding that it does not have.
func TestRefusalHasFieldsOfBrokenAnswer(t *testing.T) {
	f := &Front{Meter: meter.New()}
	c := app.NewContext(0)
	c.Header(RequestIDField, "r")
	a := &answerWriter{c: c, waiting: held.NewWaiting(nil, func() {})}
	broken := wire.NewHead(http.StatusOK,
		wire.Field{Name: "Content-Type", Value: "text/plain"}, wire.Field{Name: "Content-Encoding", Value: "gzip"}, wire.Field{Name: "Etag", Value: "x"},
		wire.Field{Name: "Content-Encoding", Value: "br"},
	)
	if err := a.head(broken); err != nil {
		t.Fatal(err)
	}
	if err := a.data([]byte("part")); err != nil {
		t.Fatal(err)
	}
	f.finishAnswer(c, a, flow.Report{Refusal: fault.New(fault.RelayError, fault.RanUnknown, "broke off")})
	h := &c.Response.Header
	if h.Get("Content-Encoding") != "" || h.Get("Etag") != "" || !strings.HasPrefix(h.Get("Content-Type"), "application/json") || h.Get(RequestIDField) != "r" {
		t.Errorf("got the fields\n%s", h.Header())
	}
	if c.Response.StatusCode() != fault.RelayError.Status() || strings.Contains(string(c.Response.Body()), "part") {
		t.Errorf("got status %d, body %s", c.Response.StatusCode(), c.Response.Body())
	}
}
