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

// waitInForce waits until a revision is in force on every running host.
func (f *fleet) waitInForce(revision uint64) {
	f.t.Helper()
	f.eventually(fmt.Sprintf("revision %d is in force on all hosts", revision), func() bool {
		for _, h := range f.hosts {
			if h.board.Revisions.Revision() != revision {
				return false
			}
		}
		return true
	})
}

// smallFleet returns a fleet of three hosts and an engine in region a and a host in
// region b.
func smallFleet(t *testing.T) *fleet {
	return newFleet(t, plan{
		hosts:   map[string]string{"a1": "a", "a2": "a", "a3": "a", "b1": "b"},
		engines: map[string]string{"e1": "a"},
	})
}

// watchers returns the names of the hosts that watch the platform.
func (f *fleet) watchers() []string {
	var out []string
	for _, name := range f.order {
		if f.hosts[name].isWatcher() {
			out = append(out, name)
		}
	}
	return out
}

// TestPlatformDownAfterPublishing: when the platform goes down after one host has
// read a revision, all hosts get the revision from that host.
func TestPlatformDownAfterPublishing(t *testing.T) {
	t.Parallel()
	f := smallFleet(t)
	f.platform.SetFault(platf.Fault{Down: true})
	pub := f.documents("")
	f.revision++
	pub.Revision = f.revision
	if err := f.platform.Publish(pub); err != nil {
		t.Fatal(err)
	}
	// The platform is up until one host has read the revision.
	f.platform.SetFault(platf.Fault{})
	f.eventually("one host has the revision in force", func() bool {
		for _, h := range f.hosts {
			if h.board.Revisions.Revision() == f.revision {
				f.platform.SetFault(platf.Fault{Down: true})
				return true
			}
		}
		return false
	})
	f.waitInForce(f.revision)
}

// TestRevisionNeverReverts: when the configuration service returns an older
// revision, running hosts keep the newer one, and a host that starts fetches the
// newer one from peer hosts before it is ready.
func TestRevisionNeverReverts(t *testing.T) {
	t.Parallel()
	f := smallFleet(t)
	newest := f.publish("")
	f.waitInForce(newest)
	f.platform.SetFault(platf.Fault{ServeRevision: 1})
	f.stopHost("a2")
	h := f.startHost("a2")
	f.eventually("the restarted host is ready", func() bool { return h.board.Health.Ready() })
	if got := h.board.Revisions.Revision(); got != newest {
		t.Errorf("restarted host is ready with revision %d, want %d", got, newest)
	}
	for name, h := range f.hosts {
		for range 3 {
			if _, err := h.syncer.SyncFromPlatform(t.Context(), 0, 0); err != nil {
				t.Fatal(err)
			}
		}
		if got := h.board.Revisions.Revision(); got != newest {
			t.Errorf("%s reverted to revision %d", name, got)
		}
	}
}

// TestConcurrentPublications: when two operators publish different documents under
// the same revision, all hosts end with the same one, in whatever order they
// receive them.
func TestConcurrentPublications(t *testing.T) {
	t.Parallel()
	f := smallFleet(t)
	f.platform.SetFault(platf.Fault{Down: true})
	f.revision++
	heads := make([][]byte, 2)
	parts := make([][]byte, 2)
	for i := range heads {
		doc := f.documents(fmt.Sprintf("# by operator %d\n", i)).Parts[0]
		parts[i] = []byte(doc.Data)
		var err error
		heads[i], err = invent.NewHead(f.revision, []invent.Source{{Name: "all", Data: parts[i]}}).Marshal()
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

// TestMissedChanges: a region that is partitioned during three changes gets the
// last one after the partition heals.
func TestMissedChanges(t *testing.T) {
	t.Parallel()
	f := smallFleet(t)
	f.isolate("b")
	b := f.hosts["b1"]
	f.platform.SetFault(platf.Fault{Down: true})
	for range 3 {
		f.revision++
		doc := []byte(f.documents(fmt.Sprintf("# %d\n", f.revision)).Parts[0].Data)
		head, err := invent.NewHead(f.revision, []invent.Source{{Name: "all", Data: doc}}).Marshal()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := f.hosts["a1"].syncer.Offer(t.Context(), head, partsFrom(doc)); err != nil {
			t.Fatal(err)
		}
	}
	if b.board.Revisions.Revision() != 1 {
		t.Fatal("region b received a change during the partition")
	}
	f.heal()
	f.waitInForce(f.revision)
}

// TestRejectedDocuments: a document that is rejected leaves the last one in force
// and is recorded with the reason, and the next valid one comes into force.
func TestRejectedDocuments(t *testing.T) {
	t.Parallel()
	f := smallFleet(t)
	bad := f.publish("[[hosts]]\nname = \"x\"\ncolour = 1\n")
	f.eventually("a watcher has rejected the document", func() bool {
		for _, h := range f.hosts {
			if r := h.board.Revisions.LastRejection(); r != nil && r.Revision == bad && strings.Contains(r.Err.Error(), "colour") {
				return true
			}
		}
		return false
	})
	for name, h := range f.hosts {
		if got := h.board.Revisions.Revision(); got != 1 {
			t.Errorf("%s has revision %d in force, want 1", name, got)
		}
	}
	f.waitInForce(f.publish(""))
}

// TestBadParts: parts that are missing or don't match the hash in the head are
// never put in force, and are fetched again.
func TestBadParts(t *testing.T) {
	t.Parallel()
	for _, fault := range []platf.Fault{{MissingParts: true}, {CorruptParts: true}} {
		t.Run(fmt.Sprintf("%+v", fault), func(t *testing.T) {
			t.Parallel()
			f := smallFleet(t)
			f.platform.SetFault(fault)
			calls := f.platform.Calls()
			want := f.publish("# changed\n")
			f.eventually("the hosts have called the platform for the parts", func() bool { return f.platform.Calls() > calls+4 })
			for name, h := range f.hosts {
				if got := h.board.Revisions.Revision(); got != 1 {
					t.Errorf("%s has revision %d in force, want 1", name, got)
				}
			}
			f.platform.SetFault(platf.Fault{})
			f.waitInForce(want)
		})
	}
}

// TestLargestPart: a part of the maximum size reaches every host.
func TestLargestPart(t *testing.T) {
	t.Parallel()
	f := smallFleet(t)
	plain := f.documents("").Parts[0].Data
	f.waitInForce(f.publish(strings.Repeat("#", invent.MaxPartBytes-len(plain)-1) + "\n"))
}

// TestWatchersPerCentre: a fixed number of hosts of each data centre watch the
// platform, so that its load grows with the data centres and not with the hosts.
func TestWatchersPerCentre(t *testing.T) {
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
	f.stopHost(watching[0])
	f.eventually("another host has taken over the watch", func() bool {
		n := 0
		for name, h := range f.hosts {
			if f.plan.hosts[name] == f.plan.hosts[watching[0]] && h.isWatcher() {
				n++
			}
		}
		return n == 2
	})
}

// TestSilentPlatformWatch: a watch that never answers times out, and the change is
// read on a new connection.
func TestSilentPlatformWatch(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a"}})
	// One stuck call is the read of the host list, the second one is the watch.
	f.platform.SetFault(platf.Fault{Frozen: true})
	f.eventually("the watch is stuck", func() bool { return f.platform.Unanswered() > 1 })
	want := f.publish("# one\n")
	f.platform.SetFault(platf.Fault{})
	f.waitInForce(want)
}

// partsFrom returns a fetch function that returns one document as the only part.
func partsFrom(doc []byte) func(context.Context, []string) ([][]byte, error) {
	return func(context.Context, []string) ([][]byte, error) { return [][]byte{doc}, nil }
}
