package node

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/base/clock"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/member"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/plat/feed"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
	"github.com/hyssopspindle/hyssopspindle/platform"
	"github.com/hyssopspindle/hyssopspindle/platform/stand"
)

// keyHost is what a test does to one host of a keyFleet.
type keyHost struct {
	// cut makes all calls to the store fail.
	cut atomic.Bool
	// noReads makes the reads of the configuration alone fail.
	noReads atomic.Bool
	// late is how long answers of the store are on their way, in nanoseconds.
	late atomic.Int64
	// slept is the time for which the machine was suspended, in nanoseconds.
	slept atomic.Int64
	// deaf drops the answers of peer hosts to questions for confirmations.
	deaf atomic.Bool
	// asked counts the questions for confirmations that the host received.
	asked atomic.Int64
}

// keyFleet is a fleet of hosts with strict keys on a stand-in of the platform's store. The first
// letter of a host's name is its region.
type keyFleet struct {
	*fleet
	platform *stand.Store
	hosts    map[string]*keyHost
	seed     string
}

var keyRoutes = []stand.Route{
	{Name: "keyed", Host: "h", Prefix: "/keyed/", Service: "plain", Kind: stand.KindSafe, Timeout: 3 * waitTimeout, Attempts: 3},
	{Name: "stream", Host: "h", Prefix: "/stream/", Service: "plain", Kind: stand.KindStream, Timeout: 3 * waitTimeout, Attempts: 3, Resumable: true},
	{Name: "public", Host: "h", Prefix: "/public/", Service: "plain", Kind: stand.KindSafe, Timeout: 3 * waitTimeout, Attempts: 2, Public: true},
}

// publish writes a version of the configuration with a customer who has the given keys.
func (f *keyFleet) publish(version int, keys ...string) {
	f.platform.PublishCustomers(version, []string{"plain"}, []stand.Customer{{Name: "acme", Keys: keys}}, keyRoutes...)
}

// startKeyFleet starts hosts whose configuration, version 7, has the key "k1".
func startKeyFleet(t *testing.T, names ...string) *keyFleet {
	t.Helper()
	store, err := stand.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = store.Close() })
	f := &keyFleet{
		fleet:    &fleet{t: t, log: &logRecorder{}, nodes: map[string]*Node{}, endpoints: map[string]*routed.Endpoint{}},
		platform: store, hosts: map[string]*keyHost{}, seed: freeAddress(t),
	}
	f.publish(7, "k1")
	for i, name := range names {
		if f.endpoints["e-"+name[:1]] == nil {
			f.addEndpoint("e-"+name[:1], name[:1])
		}
		peers := f.seed
		if i > 0 {
			peers = freeAddress(t)
		}
		f.startHost(name, peers)
	}
	f.eventually("all hosts are ready, know each other and accept the key", func() bool {
		for _, name := range names {
			n := f.nodes[name]
			if !n.board.Health.Ready() || len(n.board.Members.Members()) < len(names)-1 || n.board.Routes.Version() != 7 || n.board.Registry.Len() != len(f.endpoints) || !n.keysValid(7) {
				return false
			}
		}
		return true
	})
	return f
}

func (f *keyFleet) addEndpoint(id, region string) {
	f.t.Helper()
	e, err := routed.New(id, platTerms)
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = e.Close() })
	f.endpoints[id] = e
	f.platform.Register(id, stand.Registration{Service: "plain", Address: e.Address(), Centre: region + "1", Release: "v1", Slots: 8, Born: time.Now()})
}

// startHost starts a host, or starts it again after closeHost.
func (f *keyFleet) startHost(name, peers string) {
	f.t.Helper()
	h := f.hosts[name]
	if h == nil {
		h = &keyHost{}
		f.hosts[name] = h
	}
	bounds := setup.DefaultBounds()
	bounds.StrictKeys = true
	n, err := New(setup.Hosted{
		Name: name, Region: name[:1], Centre: name[:1] + "1", Callers: freeAddress(f.t), Ready: freeAddress(f.t), Directory: freeAddress(f.t),
		Peers: peers, Seeds: []string{f.seed}, Regions: map[string]string{"a1": "a", "b1": "b"}, Bounds: bounds,
	}, platTerms, h.wrap((&platform.Store{Address: f.platform.Address(), Now: time.Now}).Feed()),
		zerolog.New(f.log).With().Str("host", name).Logger(),
		WithBootClock(func() time.Duration { return clock.Boot() + time.Duration(h.slept.Load()) }))
	if err != nil {
		f.t.Fatal(err)
	}
	receive := n.handlers.Packet
	n.handlers.Packet = func(p wire.Packet, size int) {
		if p.AskProof != 0 {
			h.asked.Add(1)
		}
		if p.Proof != nil && h.deaf.Load() {
			p.Proof = &wire.RulesProof{Unproven: p.Proof.Unproven}
		}
		receive(p, size)
	}
	if err := n.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.nodes[name] = n
	f.t.Cleanup(func() { f.closeHost(name) })
}

// wrap returns a feed whose calls fail while the host is cut off, and whose answers are late.
func (h *keyHost) wrap(fd *feed.Feed) *feed.Feed {
	list, watch, read := fd.List, fd.Watch, fd.Proofs.Read
	pass := func(ctx context.Context) error {
		select {
		case <-time.After(time.Duration(h.late.Load())):
		case <-ctx.Done():
		}
		if h.cut.Load() {
			return fmt.Errorf("host is cut off")
		}
		return ctx.Err()
	}
	fd.List = func(ctx context.Context) (feed.Batch, error) {
		b, err := list(ctx)
		if cut := pass(ctx); cut != nil {
			return feed.Batch{}, cut
		}
		return b, err
	}
	fd.Watch = func(ctx context.Context, after uint64) (feed.Batch, error) {
		b, err := watch(ctx, after)
		if cut := pass(ctx); cut != nil {
			return feed.Batch{}, cut
		}
		return b, err
	}
	fd.Proofs.Read = func(ctx context.Context) (feed.Change, error) {
		if h.noReads.Load() {
			return feed.Change{}, fmt.Errorf("store rejects the read")
		}
		c, err := read(ctx)
		if cut := pass(ctx); cut != nil {
			return feed.Change{}, cut
		}
		return c, err
	}
	return fd
}

// status sends a request with a key to a host and returns the status.
func (f *keyFleet) status(host, path, key string) int {
	f.t.Helper()
	id := fmt.Sprint(host, "-", time.Now().UnixNano())
	status, _, err := f.callHost(host, "GET", path, id, func(r *http.Request) {
		if key != "" {
			r.Header.Set(platTerms.Key, key)
		}
	})
	if err != nil {
		f.t.Fatal(err)
	}
	return status
}

func (f *keyFleet) wantStatus(host, path, key string, want int) {
	f.t.Helper()
	if got := f.status(host, path, key); got != want {
		f.t.Errorf("host %s answers %d to %s with key %q, want %d", host, got, path, key, want)
	}
}

// revokePeriod is the period of the bounds that the tests use.
var revokePeriod = setup.DefaultBounds().RevokePeriod()

// refusesAfter sends requests with the key "k1" to all hosts for a while and fails if one that is sent
// later than the revocation period after since is answered.
func (f *keyFleet) refusesAfter(since time.Time, until time.Duration) {
	f.t.Helper()
	for time.Since(since) < until {
		for name := range f.nodes {
			sent := time.Since(since)
			if status := f.status(name, "/keyed/x", "k1"); status == http.StatusOK && sent > revokePeriod {
				f.t.Fatalf("host %s runs a request that was sent %v after its key was taken away", name, sent)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// TestKeyEndsOnHostsCutOffFromTheStore guards against hosts that the store does not answer, and
// that only reach each other, accepting a key for longer than the revocation period.
func TestKeyEndsOnHostsCutOffFromTheStore(t *testing.T) {
	f := startKeyFleet(t, "a1", "a2", "b1")
	for name, h := range f.hosts {
		f.wantStatus(name, "/keyed/x", "k1", 200)
		f.wantStatus(name, "/keyed/x", "other", 401)
		h.cut.Store(true)
	}
	f.publish(8, "k2")
	since := time.Now()
	f.refusesAfter(since, revokePeriod+time.Second)
	for name, h := range f.hosts {
		f.wantStatus(name, "/keyed/x", "k1", 503)
		f.wantStatus(name, "/keyed/x", "k2", 503)
		f.wantStatus(name, "/public/x", "", 200)
		h.cut.Store(false)
	}
	for name := range f.hosts {
		f.eventually("host "+name+" serves the new key", func() bool { return f.status(name, "/keyed/x", "k2") == 200 })
		f.wantStatus(name, "/keyed/x", "k1", 401)
	}
}

// TestKeyEndsWhileWatchesReturnNothing guards against watches that hide a change counting as
// confirmations. The change is found by reading the configuration alone.
func TestKeyEndsWhileWatchesReturnNothing(t *testing.T) {
	f := startKeyFleet(t, "a1")
	f.platform.SetBlind(true)
	f.publish(8, "k2")
	since := time.Now()
	f.eventually("the new key is served", func() bool { return f.status("a1", "/keyed/x", "k2") == 200 })
	if took := time.Since(since); took > revokePeriod {
		t.Errorf("the new key was served after %v", took)
	}
	f.wantStatus("a1", "/keyed/x", "k1", 401)
	f.addEndpoint("late", "a")
	f.platform.SetBlind(false)
	f.eventually("the host learns of an endpoint that watches did not show", func() bool {
		_, ok := f.nodes["a1"].board.Registry.Get("late")
		return ok
	})
}

// TestKeyEndsIfConfigurationIsUnreadable guards against watches with other events confirming rules that
// the store has deleted, or has replaced by some that can't be read: a key may have been taken away.
func TestKeyEndsIfConfigurationIsUnreadable(t *testing.T) {
	f := startKeyFleet(t, "a1", "a2")
	ctx, cancel := context.WithCancel(context.Background())
	var writes sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		writes.Wait()
	})
	writes.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			f.platform.Put("op/other", fmt.Sprint(n))
			time.Sleep(100 * time.Millisecond)
		}
	})
	for i, damage := range []func() uint64{
		func() uint64 { return f.platform.Put("op/config", "{") },
		func() uint64 { return f.platform.Delete("op/config") },
	} {
		damage()
		f.refusesAfter(time.Now(), revokePeriod+500*time.Millisecond)
		f.publish(8+i, "k1")
		for name := range f.nodes {
			f.eventually("host "+name+" serves the next version", func() bool { return f.status(name, "/keyed/x", "k1") == 200 })
		}
	}
}

// TestKeyEndsIfAnswersAreLate guards against the age of a confirmation being counted from an answer
// that was on its way for seconds.
func TestKeyEndsIfAnswersAreLate(t *testing.T) {
	f := startKeyFleet(t, "a1")
	f.hosts["a1"].late.Store(int64(revokePeriod + time.Second))
	// Answers that were sent before the change arrive for longer than the period after it.
	time.Sleep(2 * time.Second)
	f.publish(8, "k2")
	f.refusesAfter(time.Now(), 2*revokePeriod)
}

// TestEmptyWatchesConfirmNothing guards against watches that hide a change keeping a key in use
// while the configuration can't be read alone.
func TestEmptyWatchesConfirmNothing(t *testing.T) {
	f := startKeyFleet(t, "a1")
	f.hosts["a1"].noReads.Store(true)
	f.platform.SetBlind(true)
	f.publish(8, "k2")
	f.refusesAfter(time.Now(), revokePeriod+time.Second)
	f.wantStatus("a1", "/keyed/x", "k1", 503)
}

// TestSuspendedHostChecksFirst guards against a host that was suspended serving by what it knew
// before.
func TestSuspendedHostChecksFirst(t *testing.T) {
	f := startKeyFleet(t, "a1")
	f.hosts["a1"].cut.Store(true)
	f.publish(8, "k2")
	f.wantStatus("a1", "/keyed/x", "k1", 200)
	f.hosts["a1"].slept.Add(int64(revokePeriod))
	f.wantStatus("a1", "/keyed/x", "k1", 503)
	f.hosts["a1"].cut.Store(false)
	f.eventually("the host serves the new key", func() bool { return f.status("a1", "/keyed/x", "k2") == 200 })
	f.wantStatus("a1", "/keyed/x", "k1", 401)
}

// TestRestoredStoreBringsNoKeyBack guards against a key being accepted again because the store was
// restored from a copy that still has it, also by a host that starts then.
func TestRestoredStoreBringsNoKeyBack(t *testing.T) {
	f := startKeyFleet(t, "a1", "a2")
	older := f.platform.Copy()
	f.publish(8, "k2")
	for name, n := range f.nodes {
		f.eventually("host "+name+" has version 8", func() bool { return n.board.Routes.Version() == 8 })
	}
	f.platform.Restore(older)
	f.closeHost("a2")
	f.startHost("a2", freeAddress(t))
	n := f.nodes["a2"]
	f.eventually("the host that starts has version 7", func() bool { return n.board.Routes.Version() == 7 && n.newestAtPeers() == 8 })
	for range 30 {
		for name := range f.nodes {
			if status := f.status(name, "/keyed/x", "k1"); status == 200 {
				t.Fatalf("host %s runs a request with a key that was taken away", name)
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.publish(9, "k3")
	for name := range f.nodes {
		f.eventually("host "+name+" serves the newest key", func() bool { return f.status(name, "/keyed/x", "k3") == 200 })
	}
}

// TestHostsConfirmEachOther guards against hosts that do not read the store, or that the store does
// not answer, refusing keys while others could confirm their rules; and against their reading the
// store all the same, which has a price.
func TestHostsConfirmEachOther(t *testing.T) {
	f := startKeyFleet(t, "a1", "a2", "a3", "a4", "a5", "b1")
	f.eventually("three hosts of the data centre read the store", func() bool { return len(f.readers()) == 4 })
	readers := 0
	for name, n := range f.nodes {
		if name == "b1" || (n.board.Duties.Plan().SelfReads && readers == 0) {
			f.hosts[name].cut.Store(true)
			readers++
		}
	}
	reads, began := f.platform.Reads(), time.Now()
	for time.Since(began) < 2*revokePeriod {
		for name := range f.nodes {
			f.wantStatus(name, "/keyed/x", "k1", 200)
		}
		time.Sleep(100 * time.Millisecond)
	}
	// The calls of hosts that are cut off fail on the way back, so the store counts them too.
	most := int(4*time.Since(began)/readRulesPeriod) + 4
	if reads = f.platform.Reads() - reads; reads > most {
		t.Errorf("the configuration was read %d times in %v, want at most %d", reads, time.Since(began), most)
	}
	f.publish(8, "k2")
	for name := range f.nodes {
		f.eventually("host "+name+" serves the new key", func() bool { return f.status(name, "/keyed/x", "k2") == 200 })
		f.wantStatus(name, "/keyed/x", "k1", 401)
	}
}

// readRulesPeriod is the time between two reads of the configuration by a host whose reads confirm
// nothing.
const readRulesPeriod = time.Second

// TestAgesCountFromTheQuestion guards against an answer that was on its way for long, that comes
// unasked, twice, or from a host with newer rules counting as a young confirmation.
func TestAgesCountFromTheQuestion(t *testing.T) {
	f := startKeyFleet(t, "a1")
	n, h := f.nodes["a1"], f.hosts["a1"]
	h.cut.Store(true)
	time.Sleep(200 * time.Millisecond)
	life := n.board.Proof.Life()
	m := member.Member{Candidate: member.Candidate{Name: "other", Address: freeAddress(t)}}
	answer := func(nonce, version uint64, age time.Duration) {
		n.receiveProof(m, wire.Packet{Proof: &wire.RulesProof{Nonce: nonce, Version: version, AgeMS: uint64(age.Milliseconds())}})
	}
	for _, tt := range []struct {
		name         string
		way, age     time.Duration
		version      uint64
		unasked, old bool
		want         bool
	}{
		{name: "young", version: 7, age: time.Second, want: true},
		{name: "of older rules, read after those in force", version: 6, want: true},
		{name: "old", version: 7, age: life},
		{name: "on its way for long", version: 7, way: life},
		{name: "old together", version: 7, way: life / 2, age: life / 2},
		{name: "of newer rules", version: 8},
		{name: "unasked", version: 7, unasked: true},
	} {
		h.slept.Add(int64(2 * life))
		if n.keysValid(7) {
			t.Fatal("an old confirmation is valid")
		}
		nonce := uint64(len(tt.name)) + 1000
		if !tt.unasked {
			n.board.Questions.Ask(n.boot(), nonce)
		}
		h.slept.Add(int64(tt.way))
		answer(nonce, tt.version, tt.age)
		answer(nonce, 7, life)
		if n.keysValid(7) != tt.want {
			t.Errorf("%s: confirmed %v, want %v", tt.name, n.keysValid(7), tt.want)
		}
	}
}

// TestHostStartsWithoutAConfirmation guards against a process that gets its configuration from a
// peer host which is itself cut off from the store accepting keys.
func TestHostStartsWithoutAConfirmation(t *testing.T) {
	f := startKeyFleet(t, "a1", "a2")
	for _, h := range f.hosts {
		h.cut.Store(true)
	}
	f.publish(8, "k2")
	since := time.Now()
	f.closeHost("a2")
	f.startHost("a2", freeAddress(t))
	f.eventually("the host that starts has its configuration from the other one", func() bool { return f.nodes["a2"].board.Routes.Version() == 7 })
	f.refusesAfter(since, revokePeriod+time.Second)
	f.wantStatus("a2", "/keyed/x", "k1", 503)
	f.wantStatus("a2", "/public/x", "", 200)
}

// listed reports whether the directory of a host answers with the address of another one.
func (f *keyFleet) listed(directory, host string) bool {
	f.t.Helper()
	resp, err := http.Get(fmt.Sprintf("http://%s%s?%s=h&%s=%s", f.nodes[directory].settings.Directory, platTerms.ResolvePath,
		platTerms.ResolveName, platTerms.ResolveRegion, host[:1]))
	if err != nil {
		f.t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	return strings.Contains(string(body), f.nodes[host].settings.Callers)
}

// TestKeyOfUnreadableVersionGetsNo401 guards against a host that has read a newer version, which it can't
// use, refusing that version's keys for good because its own rules were confirmed before.
func TestKeyOfUnreadableVersionGetsNo401(t *testing.T) {
	f := startKeyFleet(t, "a1")
	f.platform.Put("op/config", `{"version":8,"routes":[{"name":"odd","kind":"odd"}]}`)
	for began := time.Now(); time.Since(began) < time.Second; {
		f.wantStatus("a1", "/keyed/x", "key-of-8", 503)
	}
	f.publish(9, "k1")
	f.eventually("the host serves the next version", func() bool { return f.status("a1", "/keyed/x", "k1") == 200 })
	f.wantStatus("a1", "/keyed/x", "key-of-8", 401)
}

// TestUnconfirmedHostLeavesTheDirectory guards against callers being sent to a host that refuses
// their keys while others accept them, and against a directory without hosts if none does.
func TestUnconfirmedHostLeavesTheDirectory(t *testing.T) {
	f := startKeyFleet(t, "a1", "a2", "a3")
	all := func(want bool) func() bool {
		return func() bool {
			for name := range f.nodes {
				if f.listed(name, "a3") != want {
					return false
				}
			}
			return true
		}
	}
	f.eventually("all directories list the host", all(true))
	h := f.hosts["a3"]
	h.cut.Store(true)
	h.deaf.Store(true)
	f.eventually("its own directory leaves it out", func() bool { return !f.listed("a3", "a3") })
	f.wantStatus("a3", "/keyed/x", "k1", 200)
	f.eventually("no directory lists it", all(false))
	f.eventually("it refuses the key", func() bool { return f.status("a3", "/keyed/x", "k1") == 503 })
	h.deaf.Store(false)
	f.eventually("it accepts the key again", func() bool { return f.status("a3", "/keyed/x", "k1") == 200 })
	since := time.Now()
	f.eventually("all directories list it again", all(true))
	if took := time.Since(since); took > time.Second {
		t.Errorf("the host was listed again %v after its confirmation, want at most 1 s", took)
	}
	f.platform.SetDown(true)
	f.eventually("no host accepts the key", func() bool {
		for name := range f.nodes {
			if f.status(name, "/keyed/x", "k1") == 200 {
				return false
			}
		}
		return true
	})
	time.Sleep(time.Second)
	if !all(true)() {
		t.Error("a directory leaves out hosts though none has a confirmation")
	}
}

// TestNewKeyGetsNo401 guards against a key of a version that the host has not read yet being refused
// for good, though its rules were confirmed a moment ago.
func TestNewKeyGetsNo401(t *testing.T) {
	f := startKeyFleet(t, "a1", "a2", "a3", "a4")
	f.platform.SetBlind(true)
	for version := 8; version < 14; version++ {
		key := fmt.Sprint("key-of-", version)
		f.publish(version, key)
		for name := range f.nodes {
			if status := f.status(name, "/keyed/x", key); status != 200 {
				t.Errorf("host %s answers %d to a key that was just published, want 200", name, status)
			}
		}
		f.wantStatus("a1", "/keyed/x", fmt.Sprint("key-of-", version-1), 401)
	}
	for _, h := range f.hosts {
		h.cut.Store(true)
	}
	f.wantStatus("a1", "/keyed/x", "unknown", 401)
	f.eventually("hosts that are cut off refuse an unknown key as not run", func() bool { return f.status("a1", "/keyed/x", "unknown") == 503 })
}

// TestRefusedRequestsAskSeldom guards against each request that is refused for want of a confirmation
// causing a question to other hosts or a read of the store.
func TestRefusedRequestsAskSeldom(t *testing.T) {
	f := startKeyFleet(t, "a1", "a2")
	for _, h := range f.hosts {
		h.cut.Store(true)
		h.slept.Add(int64(revokePeriod))
	}
	reads, began := f.platform.Reads(), time.Now()
	asked := f.hosts["a2"].asked.Load()
	requests := 0
	for ; time.Since(began) < time.Second; requests++ {
		f.wantStatus("a1", "/keyed/x", "k1", 503)
	}
	asked = f.hosts["a2"].asked.Load() - asked
	if most := int64(time.Since(began)/minAskGap) + 2; asked > most {
		t.Errorf("%d requests caused %d questions, want at most %d", requests, asked, most)
	}
	// Both hosts read the store, at most every 250 ms.
	if reads = f.platform.Reads() - reads; reads > 2*6 {
		t.Errorf("%d requests caused %d reads, want at most 12", requests, reads)
	}
}
