package node

import (
	"math"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
)

// TestPanicEndsRequestWithoutAnswer: a request whose handler panics ends with an answer and
// leaves a line in the log.
func TestPanicEndsRequestWithoutAnswer(t *testing.T) {
	f := startFleet(t)
	n := f.nodes["a"]
	n.proxy.ColdShare = func(*rules.Service, string) int { panic("no share") }
	cold := testRules(8)
	s, _ := cold.Service("plain")
	s.ColdRate = 1
	f.store.put(feed.Change{Rules: cold})
	f.eventually("the rules are in force", func() bool { return n.board.Routes.Version() == 8 })
	n.board.Registry.Remove("plain-a1", math.MaxUint64, time.Now().Add(time.Hour))
	status, _, err := f.call(http.MethodGet, "/safe/x", "r", nil)
	if err != nil || status != fault.Internal.Status() {
		t.Errorf("got status %d, error %v, want %d", status, err, fault.Internal.Status())
	}
	if !strings.Contains(f.log.requestLines("r"), "panicked") {
		t.Error("the log has no line on the panic")
	}
}
