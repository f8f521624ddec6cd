package node

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/board/regis"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/eras"
	"github.com/hyssopspindle/hyssopspindle/platform"
	"github.com/hyssopspindle/hyssopspindle/platform/stand"
)

const restoreConfig = `{"version":7,"routes":[{"name":"r1","host":"h","prefix":"/p/","kind":"safe","timeout-ms":4000,"service":"s","attempts":2}],
"services":[{"name":"s","cold-per-s":5}],"limits":{"max-body-bytes":1048576}}`

// registration returns the item of an endpoint.
func registration(state string) string {
	return fmt.Sprintf(`{"service":"s","address":"127.0.0.1:9","zone":"z1","version":"v1","slots":8,"state":%q,"born":5}`, state)
}

// startOnStore starts hosts in one data centre that read a stand-in of the platform's store.
func startOnStore(t *testing.T, store *stand.Store, count int) []*Node {
	t.Helper()
	seed := freeAddress(t)
	var out []*Node
	for i := range count {
		peers := seed
		if i > 0 {
			peers = freeAddress(t)
		}
		n, err := New(setup.Hosted{
			Name: fmt.Sprint("n", i), Region: "a", Centre: "z1", Callers: freeAddress(t), Ready: freeAddress(t), Directory: freeAddress(t),
			Peers: peers, Seeds: []string{seed}, Regions: map[string]string{"z1": "a", "z2": "a"}, Bounds: setup.DefaultBounds(),
		}, platTerms, (&platform.Store{Address: store.Address(), Now: time.Now}).Feed(), zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = n.Close() })
		out = append(out, n)
	}
	return out
}

// storeView is what a host makes of the store.
func storeView(n *Node) string {
	var ready, draining []string
	for _, e := range n.board.Registry.Endpoints("s") {
		if e.Draining {
			draining = append(draining, e.ID)
		} else {
			ready = append(ready, e.ID)
		}
	}
	return fmt.Sprint("version ", n.board.Routes.Version(), " ready ", ready, " draining ", draining, " evacuated ", n.board.Registry.EvacuatedCentres())
}

func allSee(nodes []*Node, want string) func() bool {
	return func() bool {
		return !slices.ContainsFunc(nodes, func(n *Node) bool { return storeView(n) != want })
	}
}

func (f *fleet) allSee(nodes []*Node, want string) {
	f.t.Helper()
	end := time.Now().Add(waitTimeout)
	for !allSee(nodes, want)() {
		if time.Now().After(end) {
			for i, n := range nodes {
				f.t.Errorf("host %d sees %s, want %s", i, storeView(n), want)
			}
			f.t.FailNow()
		}
		time.Sleep(5 * time.Millisecond)
	}
}

// TestRestoredStoreIsIgnored: hosts follow a store that came back from an older copy, whose
// revisions are below those that they have seen.
func TestRestoredStoreIsIgnored(t *testing.T) {
	store, err := stand.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Close() })
	store.Put("op/config", restoreConfig)
	for _, id := range []string{"stays", "drains", "ends"} {
		store.Put("servers/"+id, registration("ready"))
	}
	f := &fleet{t: t}
	nodes := startOnStore(t, store, 5)
	f.allSee(nodes, "version 7 ready [drains ends stays] draining [] evacuated []")
	older := store.Copy()
	for range 50 {
		for _, id := range []string{"stays", "drains", "ends"} {
			store.Put("servers/"+id, registration("ready"))
		}
	}
	store.Put("servers/new", registration("ready"))
	f.allSee(nodes, "version 7 ready [drains ends new stays] draining [] evacuated []")
	store.Restore(older)
	store.Put("servers/drains", registration("draining"))
	store.Put("op/evacuate/z2", "{}")
	store.Delete("servers/ends")
	store.Put("servers/new", registration("ready"))
	f.allSee(nodes, "version 7 ready [new stays] draining [drains] evacuated [z2]")
	store.Restore(older)
	store.Put("servers/new", registration("ready"))
	store.Put("servers/newer", registration("ready"))
	store.Put("servers/drains", registration("draining"))
	store.Put("op/evacuate/z2", "{}")
	store.Delete("servers/ends")
	f.allSee(nodes, "version 7 ready [new newer stays] draining [drains] evacuated [z2]")
}

// TestRestoredCopyForgets: what hosts have acknowledged and an older copy of the store has
// not is kept until it is written again: a draining mark, an evacuation and its end, and
// the end of an endpoint.
func TestRestoredCopyForgets(t *testing.T) {
	store, err := stand.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Close() })
	store.Put("op/config", restoreConfig)
	for _, id := range []string{"drains", "ends", "stays"} {
		store.Put("servers/"+id, registration("ready"))
	}
	store.Put("op/evacuate/z2", "{}")
	f := &fleet{t: t}
	nodes := startOnStore(t, store, 5)
	f.allSee(nodes, "version 7 ready [drains ends stays] draining [] evacuated [z2]")
	older := store.Copy()
	store.Put("servers/drains", registration("draining"))
	store.Delete("servers/ends")
	store.Delete("op/evacuate/z2")
	store.Put("op/evacuate/z1", "{}")
	const want = "version 7 ready [stays] draining [drains] evacuated [z1]"
	f.allSee(nodes, want)
	store.Restore(older)
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		for i, n := range nodes {
			if got := storeView(n); got != want {
				t.Fatalf("host %d sees %s after the restore, want %s", i, got, want)
			}
		}
	}
	store.Put("servers/drains", registration("draining"))
	store.Put("servers/ends", registration("ready"))
	store.Put("op/evacuate/z1", "{}")
	f.allSee(nodes, "version 7 ready [ends stays] draining [drains] evacuated [z1]")
	store.Delete("op/evacuate/z1")
	f.allSee(nodes, "version 7 ready [ends stays] draining [drains] evacuated []")
}

// TestRestoredCopyHidesEndpoint guards against hosts that do not get an endpoint that was removed, is
// in the older copy, and was written again: hosts that rely on others to read the store, and hosts
// that list the store only after that write.
func TestRestoredCopyHidesEndpoint(t *testing.T) {
	for _, tt := range []struct {
		name string
		// seen is the number of hosts that have listed the restored store before the write.
		seen int
	}{{"all hosts have listed the store", 5}, {"some hosts have not listed the store", 1}} {
		t.Run(tt.name, func(t *testing.T) {
			store, err := stand.New()
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = store.Close() })
			store.Put("op/config", restoreConfig)
			f := &fleet{t: t}
			nodes := startOnStore(t, store, 5)
			var renewed time.Time
			// count renews the endpoint that stays, and returns the hosts for which holds is true.
			count := func(holds func(n *Node) bool) (out int) {
				if time.Since(renewed) > 100*time.Millisecond {
					store.Put("servers/stays", registration("ready"))
					renewed = time.Now()
				}
				for _, n := range nodes {
					if holds(n) {
						out++
					}
				}
				return out
			}
			sees := func(want string) func(n *Node) bool {
				return func(n *Node) bool { return storeView(n) == want }
			}
			follows := func(n *Node) bool {
				_, reads := n.feed.State(time.Now())
				return !reads
			}
			const with, without = "version 7 ready [ends stays] draining [] evacuated []", "version 7 ready [stays] draining [] evacuated []"
			store.Put("servers/ends", registration("ready"))
			f.eventually("all hosts use both endpoints", func() bool { return count(sees(with)) == 5 })
			older := store.Copy()
			store.Delete("servers/ends")
			f.eventually("all hosts have seen the end", func() bool { return count(sees(without)) == 5 })
			f.eventually("two hosts follow the others", func() bool { return count(follows) == 2 })
			store.Restore(older)
			f.eventually("hosts have seen the restore", func() bool {
				return count(func(n *Node) bool { return eras.Of(n.feed.Reached()) == 2 }) >= tt.seen && count(follows) == 2
			})
			if n := count(sees(without)); n != 5 {
				t.Errorf("%d hosts do not use the endpoint of the older copy, want 5", n)
			}
			store.Put("servers/ends", registration("ready"))
			f.eventually("all hosts use the endpoint that was written again", func() bool { return count(sees(with)) == 5 })
		})
	}
}

// TestRestartForgetsWhatPeersKnow guards against a host that starts again after the store came
// back from an older copy, and uses an endpoint that had left, or rules that were replaced,
// though other hosts have seen it leave.
func TestRestartForgetsWhatPeersKnow(t *testing.T) {
	store, err := stand.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Close() })
	store.Put("op/config", restoreConfig)
	for _, id := range []string{"drains", "ends", "leaves", "stays"} {
		store.Put("servers/"+id, registration("ready"))
	}
	f := &fleet{t: t}
	nodes := startOnStore(t, store, 3)
	f.allSee(nodes, "version 7 ready [drains ends leaves stays] draining [] evacuated []")
	older := store.Copy()
	store.Put("op/config", strings.Replace(restoreConfig, `"version":7`, `"version":9`, 1))
	store.Put("servers/drains", registration("draining"))
	store.Delete("servers/ends")
	for _, n := range nodes {
		n.board.Registry.MarkLeaving(time.Now(), regis.Leaving{ID: "leaves", Incarnation: 5}, n == nodes[0])
	}
	const want = "version 9 ready [stays] draining [drains leaves] evacuated []"
	f.allSee(nodes, want)
	store.Restore(older)
	time.Sleep(2500 * time.Millisecond)
	f.allSee(nodes, want)
	for i := range nodes {
		settings := nodes[i].settings
		if err := nodes[i].Close(); err != nil {
			t.Fatal(err)
		}
		settings.Seeds = []string{nodes[(i+1)%len(nodes)].settings.Peers}
		n, err := New(settings, platTerms, (&platform.Store{Address: store.Address(), Now: time.Now}).Feed(), zerolog.Nop())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = n.Close() })
		if err := n.Start(); err != nil {
			t.Fatal(err)
		}
		nodes[i] = n
		f.eventually("the host is ready", func() bool { return n.board.Health.Ready() })
		if got := storeView(n); got != want {
			t.Errorf("host %d sees %s once it is ready, want %s", i, got, want)
		}
	}
}

// TestRestartWhileStoreUnreachable guards against a host that starts again while the store can't
// be read, and uses an endpoint that announced to others that it leaves.
func TestRestartWhileStoreUnreachable(t *testing.T) {
	f := startFleet(t)
	for _, n := range f.nodes {
		n.board.Registry.MarkLeaving(time.Now(), regis.Leaving{ID: "plain-a1"}, false)
	}
	f.store.refuseRegions("a", "b")
	settings := f.nodes["a"].settings
	f.closeHost("a")
	settings.Seeds = []string{f.nodes["b"].settings.Peers}
	n, err := New(settings, platTerms, f.store.feed("a"), zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	f.nodes["a"] = n
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	f.eventually("the host is ready", func() bool { return n.board.Health.Ready() })
	if e, ok := n.board.Registry.Get("plain-a1"); ok && !e.Draining {
		t.Error("the endpoint that leaves is in use again")
	}
}

// TestReadyWithoutPeersIfNoEraIsNamed guards against a host that starts refusing requests while it
// waits for peer hosts, though its store names no era and so gives no sign of a restore.
func TestReadyWithoutPeersIfNoEraIsNamed(t *testing.T) {
	for _, tt := range []struct {
		name  string
		opts  []stand.Option
		ready bool
	}{
		{"no era", []stand.Option{stand.WithoutEra()}, true},
		{"era", nil, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			store, err := stand.New(tt.opts...)
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = store.Close() })
			store.Put("op/config", restoreConfig)
			n, err := New(setup.Hosted{
				Name: "n", Region: "a", Centre: "z1", Callers: freeAddress(t), Ready: freeAddress(t), Directory: freeAddress(t),
				Peers: freeAddress(t), Seeds: []string{freeAddress(t)}, Regions: map[string]string{"z1": "a"}, Bounds: setup.DefaultBounds(),
			}, platTerms, (&platform.Store{Address: store.Address(), Now: time.Now}).Feed(), zerolog.Nop())
			if err != nil {
				t.Fatal(err)
			}
			// learnWait does not end during the test.
			n.started = time.Now().Add(time.Hour)
			t.Cleanup(func() { _ = n.Close() })
			if err := n.Start(); err != nil {
				t.Fatal(err)
			}
			f := &fleet{t: t}
			f.eventually("the store is listed", func() bool { return n.storeListed.Load() && n.board.Routes.Rules() != nil })
			if tt.ready {
				f.eventually("the host is ready", n.board.Health.Ready)
				return
			}
			time.Sleep(2 * fetchItemsPeriod)
			if n.board.Health.Ready() {
				t.Error("the host is ready before learnWait has passed, though no peer host told what the store may lack")
			}
		})
	}
}
