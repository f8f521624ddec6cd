package syncer

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus/testutil"
	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/board/board"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/meter"
)

var epoch = time.Unix(1_000_000, 0)

const document = `[[regions]]
name = "r"
[[centres]]
name = "c"
region = "r"
[[hosts]]
name = "h"
centre = "c"
callers = "127.0.0.1:1"
peers = "127.0.0.1:2"
`

// bundle is a published configuration of one part, with its head.
type bundle struct {
	head []byte
	part []byte
}

func publish(t *testing.T, revision uint64, text string) bundle {
	t.Helper()
	b := bundle{part: []byte(text)}
	var err error
	if b.head, err = invent.NewHead(revision, []invent.Source{{Name: "all", Data: b.part}}).Marshal(); err != nil {
		t.Fatal(err)
	}
	return b
}

func newSyncer() *Syncer {
	return &Syncer{
		Board: board.New(epoch, "h", "r", "c", 1), Meter: meter.New(), Log: zerolog.Nop(),
		Now: func() time.Time { return epoch }, OnChange: func() {},
	}
}

func (b bundle) offerTo(s *Syncer) (bool, error) {
	return s.Offer(context.Background(), b.head, func(context.Context, []string) ([][]byte, error) {
		return [][]byte{b.part}, nil
	})
}

// TestOffer checks that only a higher revision that is valid and complete is
// activated.
func TestOffer(t *testing.T) {
	s := newSyncer()
	steps := []struct {
		name      string
		bundle    bundle
		activated bool
		err       bool
		active    uint64
	}{
		{"first", publish(t, 5, document), true, false, 5},
		{"same revision", publish(t, 5, document), false, false, 5},
		{"older", publish(t, 4, document), false, false, 5},
		{"invalid part", publish(t, 6, "colour = 1"), false, true, 5},
		{"invalid head", bundle{head: []byte("=")}, false, true, 5},
		{"part with another hash", bundle{head: publish(t, 7, document+"#").head, part: []byte(document + "x")}, false, true, 5},
		{"higher", publish(t, 7, document+"# 7\n"), true, false, 7},
		{"valid again after the invalid part", publish(t, 8, document+"# 8\n"), true, false, 8},
	}
	for _, st := range steps {
		activated, err := st.bundle.offerTo(s)
		if activated != st.activated || (err != nil) != st.err || s.Board.Revisions.Revision() != st.active {
			t.Errorf("%s: got activated %v, err %v, active revision %d", st.name, activated, err, s.Board.Revisions.Revision())
		}
	}
	if n := testutil.ToFloat64(s.Meter.StaleHeads); n != 1 {
		t.Errorf("%v stale heads counted, want 1", n)
	}
	if r := s.Board.Revisions.LastRejection(); r == nil {
		t.Error("the rejected revision is not reported")
	}
}

func TestFetchError(t *testing.T) {
	s := newSyncer()
	fetchErr := errors.New("lost")
	_, err := s.Offer(context.Background(), publish(t, 1, document).head, func(context.Context, []string) ([][]byte, error) {
		return nil, fetchErr
	})
	if !errors.Is(err, fetchErr) || s.Board.Revisions.Active() != nil {
		t.Errorf("err = %v, want the fetch error and no active configuration", err)
	}
}

// TestAssignedHosts checks that every host computes the same assignment of a task, and
// that the loss of one assigned host does not move the task away from the other.
func TestAssignedHosts(t *testing.T) {
	var hosts []string
	for i := range 9 {
		hosts = append(hosts, fmt.Sprint("h", i))
	}
	for task := range 50 {
		name := fmt.Sprint("task", task)
		assigned := AssignedHosts(name, hosts, 2)
		for _, h := range hosts {
			if IsAssigned(name, hosts, h, 2) != slices.Contains(assigned, h) {
				t.Fatalf("%s: the check for %s does not agree with the assigned hosts %v", name, h, assigned)
			}
		}
		rest := slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return h == assigned[0] })
		if left := AssignedHosts(name, rest, 2); !slices.Contains(left, assigned[1]) {
			t.Fatalf("%s: without %s the assigned hosts changed from %v to %v", name, assigned[0], assigned, left)
		}
	}
}
