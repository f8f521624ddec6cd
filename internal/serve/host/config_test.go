package host

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/platf"
)

// inForce waits until every running host has the revision in force.
func (f *fleet) inForce(revision uint64) {
	f.t.Helper()
	f.eventually(fmt.Sprintf("revision %d is in force everywhere", revision), func() bool {
		for _, h := range f.hosts {
			if h.board.Revisions.Revision() != revision {
				return false
			}
		}
		return true
	})
}

func small(t *testing.T) *fleet {
	return newFleet(t, plan{
		hosts:   map[string]string{"a1": "a", "a2": "a", "a3": "a", "b1": "b"},
		engines: map[string]string{"e1": "a"},
	})
}

// watchers returns the hosts that hold the watch.
func (f *fleet) watchers() []string {
	var out []string
	for _, name := range f.order {
		if f.hosts[name].holdsWatch() {
			out = append(out, name)
		}
	}
	return out
}

// TestServiceDownAfterPublishing: one host that read a revision is enough.
func TestServiceDownAfterPublishing(t *testing.T) {
	t.Parallel()
	f := small(t)
	f.platform.SetFault(platf.Fault{Down: true})
	pub := f.documents("")
	f.revision++
	pub.Revision = f.revision
	if err := f.platform.Publish(pub); err != nil {
		t.Fatal(err)
	}
	// Only one host gets to read it.
	f.platform.SetFault(platf.Fault{})
	f.eventually("one host has it", func() bool {
		for _, h := range f.hosts {
			if h.board.Revisions.Revision() == f.revision {
				f.platform.SetFault(platf.Fault{Down: true})
				return true
			}
		}
		return false
	})
	f.inForce(f.revision)
}

// TestNeverReverts: a service that shows an older state changes nothing, and a
// host that starts then learns the newer one from its neighbours before it is ready.
func TestNeverReverts(t *testing.T) {
	t.Parallel()
	f := small(t)
	newest := f.publish("")
	f.inForce(newest)
	f.platform.SetFault(platf.Fault{Restore: 1})
	f.stop("a2")
	h := f.start("a2")
	f.eventually("the new host is ready", func() bool { return h.board.Pulse.Ready() })
	if got := h.board.Revisions.Revision(); got != newest {
		t.Errorf("new host is ready with revision %d, want %d", got, newest)
	}
	for name, h := range f.hosts {
		for range 3 {
			if _, err := h.syncer.FromPlatform(t.Context(), 0, 0); err != nil {
				t.Fatal(err)
			}
		}
		if got := h.board.Revisions.Revision(); got != newest {
			t.Errorf("%s went back to revision %d", name, got)
		}
	}
}

// TestRacingOperators: whatever the order in which hosts see two documents that
// were published under one number, all end with the same one.
func TestRacingOperators(t *testing.T) {
	t.Parallel()
	f := small(t)
	f.platform.SetFault(platf.Fault{Down: true})
	f.revision++
	heads := make([][]byte, 2)
	parts := make([][]byte, 2)
	for i := range heads {
		doc := f.documents(fmt.Sprintf("# by operator %d\n", i)).Parts[0]
		parts[i] = []byte(doc.Data)
		var err error
		heads[i], err = invent.Bundle(f.revision, []invent.Source{{Name: "all", Data: parts[i]}}).Marshal()
		if err != nil {
			t.Fatal(err)
		}
	}
	var wait sync.WaitGroup
	for i, name := range f.order {
		wait.Go(func() {
			for _, k := range []int{i % 2, (i + 1) % 2} {
				if name == "a1" && k == 1 {
					continue
				}
				_, err := f.hosts[name].syncer.Offer(t.Context(), heads[k], partsFrom(parts[k]))
				if err != nil {
					t.Errorf("%s: %v", name, err)
				}
			}
		})
	}
	wait.Wait()
	f.eventually("all hosts have the same configuration", func() bool {
		for _, h := range f.hosts {
			if h.board.Revisions.Inventory().Digest != f.hosts["a1"].board.Revisions.Inventory().Digest {
				return false
			}
		}
		return true
	})
}

// TestMissedChanges: a region that was cut off through three changes has the
// last one soon after, and never an older one.
func TestMissedChanges(t *testing.T) {
	t.Parallel()
	f := small(t)
	f.isolate("b")
	b := f.hosts["b1"]
	f.platform.SetFault(platf.Fault{Down: true})
	for range 3 {
		f.revision++
		doc := []byte(f.documents(fmt.Sprintf("# %d\n", f.revision)).Parts[0].Data)
		head, err := invent.Bundle(f.revision, []invent.Source{{Name: "all", Data: doc}}).Marshal()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.hosts["a1"].syncer.Offer(t.Context(), head, partsFrom(doc)); err != nil {
			t.Fatal(err)
		}
	}
	if b.board.Revisions.Revision() != 1 {
		t.Fatal("the cut does not hold")
	}
	f.heal()
	f.inForce(f.revision)
}

// TestRefusedDocuments: a document that is not accepted leaves the last one in
// force, says why, and the next good one comes into force.
func TestRefusedDocuments(t *testing.T) {
	t.Parallel()
	f := small(t)
	bad := f.publish("[[hosts]]\nname = \"x\"\ncolour = 1\n")
	f.eventually("a watcher has refused it", func() bool {
		for _, h := range f.hosts {
			if r := h.board.Revisions.Rejected(); r != nil && r.Revision == bad && strings.Contains(r.Err.Error(), "colour") {
				return true
			}
		}
		return false
	})
	for name, h := range f.hosts {
		if got := h.board.Revisions.Revision(); got != 1 {
			t.Errorf("%s has revision %d in force", name, got)
		}
	}
	f.inForce(f.publish(""))
}

// TestBadParts: parts that are missing or are not what the head names are never
// put in force, and are fetched again.
func TestBadParts(t *testing.T) {
	t.Parallel()
	for _, fault := range []platf.Fault{{Lose: true}, {Corrupt: true}} {
		t.Run(fmt.Sprintf("%+v", fault), func(t *testing.T) {
			t.Parallel()
			f := small(t)
			f.platform.SetFault(fault)
			calls := f.platform.Calls()
			want := f.publish("# changed\n")
			f.eventually("the parts were asked for", func() bool { return f.platform.Calls() > calls+4 })
			for name, h := range f.hosts {
				if got := h.board.Revisions.Revision(); got != 1 {
					t.Errorf("%s has revision %d in force", name, got)
				}
			}
			f.platform.SetFault(platf.Fault{})
			f.inForce(want)
		})
	}
}

// TestLargestPart: a part of the largest size reaches every host.
func TestLargestPart(t *testing.T) {
	t.Parallel()
	f := small(t)
	plain := f.documents("").Parts[0].Data
	f.inForce(f.publish(strings.Repeat("#", invent.MaxPart-len(plain)-1) + "\n"))
}

// TestCallsGrowWithCentres: of a data centre's hosts a fixed few hold the watch.
func TestCallsGrowWithCentres(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts: map[string]string{"a1": "a", "a2": "a", "a3": "a", "a4": "a", "a5": "a", "b1": "b", "b2": "b", "b3": "b"},
	})
	f.eventually("two hosts of each data centre watch", func() bool {
		watching := f.watchers()
		inA := 0
		for _, name := range watching {
			if f.plan.hosts[name] == "a" {
				inA++
			}
		}
		return len(watching) == 4 && inA == 2
	})
	watching := f.watchers()
	f.stop(watching[0])
	f.eventually("another host takes the watch over", func() bool {
		now := 0
		for name, h := range f.hosts {
			if f.plan.hosts[name] == f.plan.hosts[watching[0]] && h.holdsWatch() {
				now++
			}
		}
		return now == 2
	})
}

// TestPlatformWatchGoesSilent: a watch that never answers is given up, and the
// change is read on a new connection.
func TestPlatformWatchGoesSilent(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a"}})
	// The roster is read as well, so two stuck calls are the watch and that.
	f.platform.SetFault(platf.Fault{Frozen: true})
	f.eventually("the watch is stuck", func() bool { return f.platform.Stuck() > 1 })
	want := f.publish("# one\n")
	f.platform.SetFault(platf.Fault{})
	f.inForce(want)
}

func partsFrom(doc []byte) func(context.Context, []string) ([][]byte, error) {
	return func(context.Context, []string) ([][]byte, error) { return [][]byte{doc}, nil }
}
