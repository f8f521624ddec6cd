package node

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
)

// startCentre starts hosts in one data centre. The store counts and refuses the calls of
// each by its name.
func startCentre(t *testing.T, count int, opts ...func(name string) Option) *fleet {
	t.Helper()
	f := &fleet{t: t, log: &logRecorder{}, store: &fakeStore{}, nodes: map[string]*Node{}}
	f.store.put(feed.Change{Rules: testRules(7)})
	seed := freeAddress(t)
	for i := range count {
		name, peers := fmt.Sprintf("n%d", i), seed
		if i > 0 {
			peers = freeAddress(t)
		}
		n, err := New(setup.Hosted{
			Name: name, Region: "a", Centre: "a1", Callers: freeAddress(t), Ready: freeAddress(t), Directory: freeAddress(t),
			Peers: peers, Seeds: []string{seed}, Regions: map[string]string{"a1": "a"}, Bounds: setup.DefaultBounds(),
		}, platTerms, f.store.feed(name), zerolog.Nop(), optionsOf(name, opts)...)
		if err != nil {
			t.Fatal(err)
		}
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
		f.nodes[name] = n
		t.Cleanup(func() { f.closeHost(name) })
	}
	f.eventually("every host knows all others", func() bool {
		for _, n := range f.nodes {
			if n.board.Members.CountUsable("a") != count-1 {
				return false
			}
		}
		return true
	})
	return f
}

// optionsOf returns the options of the host with a name.
func optionsOf(name string, opts []func(string) Option) []Option {
	var out []Option
	for _, o := range opts {
		out = append(out, o(name))
	}
	return out
}

// callers returns the names of the hosts that call the store within a while.
func (f *fleet) callers() []string {
	counts := func() map[string]int {
		f.store.mu.Lock()
		defer f.store.mu.Unlock()
		return maps.Clone(f.store.calls)
	}
	before := counts()
	time.Sleep(2 * minStoreInterval)
	var out []string
	for name, n := range counts() {
		if n > before[name] {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// readers returns the names of the hosts whose duty is to read the store.
func (f *fleet) readers() []string {
	var out []string
	for name, n := range f.nodes {
		if n.board.Duties.Plan().SelfReads {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

func (f *fleet) allEvacuated(want bool) func() bool {
	return func() bool {
		for _, n := range f.nodes {
			if n.board.Registry.Evacuated("a1") != want {
				return false
			}
		}
		return true
	}
}

// TestFewHostsReadTheStore: in a data centre of many hosts, a few read the store and the
// others get its changes from them. If the store refuses the reading hosts, or they end,
// the others still learn of all changes.
func TestFewHostsReadTheStore(t *testing.T) {
	const hosts, reading = 7, 3
	f := startCentre(t, hosts)
	f.eventually("a few hosts read the store and no other calls it", func() bool {
		readers := f.readers()
		return len(readers) == reading && slices.Equal(f.callers(), readers)
	})
	f.store.put(feed.Change{Centre: "a1", Evacuated: true})
	f.eventually("all hosts learn of an evacuation", f.allEvacuated(true))
	if callers := f.callers(); !slices.Equal(callers, f.readers()) {
		t.Errorf("%v call the store after a change, want only the reading hosts %v", callers, f.readers())
	}
	f.store.refuseRegions(f.readers()...)
	f.store.put(feed.Change{Centre: "a1"})
	f.eventually("all hosts learn of a change that the reading hosts can't read", f.allEvacuated(false))
	f.store.refuseRegions()
	for _, name := range f.readers()[:2] {
		if err := f.nodes[name].Close(); err != nil {
			t.Fatal(err)
		}
		delete(f.nodes, name)
	}
	f.store.put(feed.Change{Centre: "a1", Evacuated: true})
	f.eventually("all hosts learn of a change after two reading hosts ended", f.allEvacuated(true))
	f.eventually("other hosts took over their duty", func() bool { return len(f.readers()) == reading })
}
