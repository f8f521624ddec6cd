package spread

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

type offer struct {
	head []byte
	part []byte
}

func publish(t *testing.T, revision uint64, text string) offer {
	t.Helper()
	o := offer{part: []byte(text)}
	var err error
	if o.head, err = invent.Bundle(revision, []invent.Source{{Name: "all", Data: o.part}}).Marshal(); err != nil {
		t.Fatal(err)
	}
	return o
}

func syncer() *Syncer {
	return &Syncer{
		Board: board.New(epoch, "h", "r", "c", 1), Meter: meter.New(), Log: zerolog.Nop(),
		Now: func() time.Time { return epoch }, Changed: func() {},
	}
}

func (o offer) to(s *Syncer) (bool, error) {
	return s.Offer(context.Background(), o.head, func(context.Context, []string) ([][]byte, error) {
		return [][]byte{o.part}, nil
	})
}

// TestOffer: only a higher revision that is accepted and whole comes into force.
func TestOffer(t *testing.T) {
	s := syncer()
	steps := []struct {
		name  string
		offer offer
		done  bool
		err   bool
		force uint64
	}{
		{"first", publish(t, 5, document), true, false, 5},
		{"the same again", publish(t, 5, document), false, false, 5},
		{"older", publish(t, 4, document), false, false, 5},
		{"not accepted", publish(t, 6, "colour = 1"), false, true, 5},
		{"no head", offer{head: []byte("=")}, false, true, 5},
		{"another part than named", offer{head: publish(t, 7, document+"#").head, part: []byte(document + "x")}, false, true, 5},
		{"higher", publish(t, 7, document+"# 7\n"), true, false, 7},
		{"what was not accepted, mended", publish(t, 8, document+"# 8\n"), true, false, 8},
	}
	for _, st := range steps {
		done, err := st.offer.to(s)
		if done != st.done || (err != nil) != st.err || s.Board.Revisions.Revision() != st.force {
			t.Errorf("%s: %v, %v, in force %d", st.name, done, err, s.Board.Revisions.Revision())
		}
	}
	if n := testutil.ToFloat64(s.Meter.StaleHead); n != 1 {
		t.Errorf("%v stale heads counted, want 1", n)
	}
	if r := s.Board.Revisions.Rejected(); r == nil {
		t.Error("what was not accepted is not told")
	}
}

func TestLostPart(t *testing.T) {
	s := syncer()
	lost := errors.New("lost")
	_, err := s.Offer(context.Background(), publish(t, 1, document).head, func(context.Context, []string) ([][]byte, error) {
		return nil, lost
	})
	if !errors.Is(err, lost) || s.Board.Revisions.Force() != nil {
		t.Errorf("err = %v", err)
	}
}

// TestHolders: every host comes to the same few, and the loss of one changes no
// more than its own place.
func TestHolders(t *testing.T) {
	var hosts []string
	for i := range 9 {
		hosts = append(hosts, fmt.Sprint("h", i))
	}
	for task := range 50 {
		name := fmt.Sprint("task", task)
		held := Holders(name, hosts, 2)
		for _, h := range hosts {
			if Holds(name, hosts, h, 2) != slices.Contains(held, h) {
				t.Fatalf("%s: %s and %v do not agree", name, h, held)
			}
		}
		rest := slices.DeleteFunc(slices.Clone(hosts), func(h string) bool { return h == held[0] })
		if now := Holders(name, rest, 2); !slices.Contains(now, held[1]) {
			t.Fatalf("%s: without %s it moved from %v to %v", name, held[0], held, now)
		}
	}
}
