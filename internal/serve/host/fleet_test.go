package host

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/certs"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/cable"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/engine"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/plain"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/platf"
)

// patience bounds every wait of a test; it is no expectation.
const patience = 60 * time.Second

const (
	callerKey = "caller-key"
	adminKey  = "0123456789abcdef"
)

// plan is the shape of a fleet: the region of each host and endpoint by name.
type plan struct {
	hosts   map[string]string
	engines map[string]string
	plains  map[string]string
	// rules is added to the services' part, residency to the caller.
	residency string
	engine    engine.Config
	listed    []string
	// processes runs each host as a process of its own.
	processes bool
}

// fleet is a few hosts in one process, with a relay before each of them that
// can lose packets.
type fleet struct {
	t        testing.TB
	plan     plan
	ip       string
	port     int
	keys     *certs.Authority
	folder   string
	platform *platf.Platform
	engines  map[string]*engine.Engine
	plains   map[string]*plain.Service
	hosts    map[string]*Host
	procs    map[string]*process
	set      map[string]setup.Settings
	order    []string
	revision uint64

	mu sync.Mutex
	// owner is the host at an IP number.
	owner map[string]string
	cut   func(from, to string) bool
	// until is when packet flows that began before it were lost for good.
	deaf map[string]time.Time
}

var lastNet struct {
	sync.Mutex
	n int
}

// ownIP returns a loopback address that no other test of any process uses.
func ownIP() string {
	lastNet.Lock()
	defer lastNet.Unlock()
	lastNet.n++
	n := os.Getpid()*64 + lastNet.n
	return fmt.Sprintf("127.%d.%d.%d", 1+n/62500%250, 1+n/250%250, 1+n%250)
}

func (f *fleet) address() string {
	f.port++
	return fmt.Sprintf("%s:%d", f.ip, f.port)
}

func newFleet(t testing.TB, p plan) *fleet {
	t.Helper()
	f := &fleet{
		t: t, plan: p, ip: ownIP(), port: 20000, folder: t.TempDir(), engines: map[string]*engine.Engine{},
		plains: map[string]*plain.Service{}, hosts: map[string]*Host{}, procs: map[string]*process{}, set: map[string]setup.Settings{},
		deaf: map[string]time.Time{}, owner: map[string]string{}, cut: func(string, string) bool { return false },
	}
	var err error
	if f.keys, err = certs.NewAuthority(time.Now(), time.Hour); err != nil {
		t.Fatal(err)
	}
	if f.platform, err = platf.Start(f.address(), 0); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.platform.Close() })
	for _, name := range sorted(p.engines) {
		f.startEngine(name)
	}
	for _, name := range sorted(p.plains) {
		s, err := plain.Start(f.address(), name, 0)
		if err != nil {
			t.Fatal(err)
		}
		f.plains[name] = s
		t.Cleanup(func() { _ = s.Close() })
	}
	for _, name := range sorted(p.hosts) {
		f.settle(name)
	}
	f.publish("")
	for _, name := range f.order {
		f.start(name)
	}
	f.joined()
	return f
}

func sorted(m map[string]string) []string {
	var out []string
	for k := range m {
		out = append(out, k)
	}
	for i := range out {
		for j := range out[:i] {
			if out[i] < out[j] {
				out[i], out[j] = out[j], out[i]
			}
		}
	}
	return out
}

func (f *fleet) startEngine(name string) {
	c := f.plan.engine
	c.Name, c.Slots = name, max(c.Slots, 4)
	c.Grace, c.Cache = cmp.Or(c.Grace, 3*time.Second), 1000
	e, err := engine.Start(f.address(), c)
	if err != nil {
		f.t.Fatal(err)
	}
	f.engines[name] = e
	f.t.Cleanup(func() { _ = e.Close() })
}

// settle makes a host's keys, settings and the relay before it.
func (f *fleet) settle(name string) {
	set, err := f.keys.Issue(name, time.Now(), time.Hour)
	if err != nil {
		f.t.Fatal(err)
	}
	folder := filepath.Join(f.folder, name)
	if err := f.keys.Save(folder, set); err != nil {
		f.t.Fatal(err)
	}
	s := setup.Default()
	own := ownIP()
	s.Name, s.Region, s.Centre = name, f.plan.hosts[name], f.plan.hosts[name]+"-1"
	s.Callers, s.Admin, s.Peers = f.address(), f.address(), own+":7301"
	s.Platform, s.AdminKey, s.Keys = f.platform.Address(), adminKey, folder
	s.LogLevel, s.Limits.DrainSeconds = "debug", 60
	f.set[name] = s
	f.order = append(f.order, name)
	f.mu.Lock()
	f.owner[own] = name
	f.mu.Unlock()
	f.relay(name, own)
}

// relay passes datagrams to a host on from its listed address.
func (f *fleet) relay(name, own string) {
	c, err := cable.Start(own+":7302", own+":7301", cable.Rules{
		Delay: func(string) time.Duration { return 0 },
		Lost: func(peer string, toHost bool, began time.Time) bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			if toHost {
				return f.lost(f.owner[peer], name, began)
			}
			return f.lost(name, f.owner[peer], began)
		},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close() })
}

// lost decides on one datagram; mu is held.
func (f *fleet) lost(from, to string, began time.Time) bool {
	return f.cut(from, to) || began.Before(f.deaf[from]) || began.Before(f.deaf[to])
}

// setCut loses all packets between hosts for which cut says so.
func (f *fleet) setCut(cut func(from, to string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = cut
}

// silence loses the packets of every flow of a host that began until now.
func (f *fleet) silence(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deaf[name] = time.Now()
}

// isolate cuts a region off from all others.
func (f *fleet) isolate(region string) {
	f.setCut(func(from, to string) bool {
		return (f.plan.hosts[from] == region) != (f.plan.hosts[to] == region)
	})
}

func (f *fleet) heal() { f.setCut(func(string, string) bool { return false }) }

// documents returns the parts of the fleet's inventory.
func (f *fleet) documents(extra string) platf.Publication {
	var b strings.Builder
	regions := map[string]bool{}
	for _, name := range f.order {
		regions[f.plan.hosts[name]] = true
	}
	var names []string
	for _, r := range sorted(invert(regions)) {
		names = append(names, r)
		fmt.Fprintf(&b, "[[regions]]\nname = %q\n[[centres]]\nname = %q\nregion = %q\n", r, r+"-1", r)
	}
	for i := range names {
		for j := range i {
			fmt.Fprintf(&b, "[[links]]\nfrom = %q\nto = %q\nlatency_ms = 10\nspill = 1.0\n", names[i], names[j])
		}
	}
	for _, name := range f.order {
		s := f.set[name]
		peers := strings.Replace(s.Peers, ":7301", ":7302", 1)
		fmt.Fprintf(&b, "[[hosts]]\nname = %q\ncentre = %q\ncallers = %q\npeers = %q\n", name, s.Centre, s.Callers, peers)
	}
	b.WriteString(`
[[services]]
name = "chat"
kind = "model"
repeatable = true
not_run = [429]
timeout_ms = 60000
silence_ms = 2000
work_ms = 100
[[services]]
name = "shop"
kind = "plain"
not_run = [429]
timeout_ms = 30000
silence_ms = 2000
work_ms = 10
[[services.calls]]
method = "GET"
path = "/stock"
repeatable = true
`)
	for _, name := range sorted(f.plan.engines) {
		f.endpoint(&b, name, "chat", f.plan.engines[name], f.engines[name].Address())
	}
	for _, name := range sorted(f.plan.plains) {
		f.endpoint(&b, name, "shop", f.plan.plains[name], f.plains[name].Address())
	}
	sum := sha256.Sum256([]byte(callerKey))
	fmt.Fprintf(&b, "[[callers]]\nname = \"app\"\nkey_hash = %q\nregion = %q\n%s\n", hex.EncodeToString(sum[:]), names[0], f.plan.residency)
	b.WriteString(extra)
	return platf.Publication{Parts: []platf.PartDocument{{Name: "all", Data: b.String()}}}
}

func invert(m map[string]bool) map[string]string {
	out := map[string]string{}
	for k := range m {
		out[k] = k
	}
	return out
}

func (f *fleet) endpoint(b *strings.Builder, name, service, region, address string) {
	leaving := false
	for _, l := range f.plan.listed {
		leaving = leaving || l == name
	}
	fmt.Fprintf(b, "[[endpoints]]\nname = %q\nservice = %q\ncentre = %q\naddress = %q\nslots = 4\nleaving = %v\n",
		name, service, region+"-1", address, leaving)
}

// publish publishes the inventory under the next revision.
func (f *fleet) publish(extra string) uint64 {
	f.t.Helper()
	f.revision++
	pub := f.documents(extra)
	pub.Revision = f.revision
	if err := f.platform.Publish(pub); err != nil {
		f.t.Fatal(err)
	}
	return f.revision
}

// start starts a host, also one that was closed before.
func (f *fleet) start(name string) *Host {
	f.t.Helper()
	if f.plan.processes {
		f.startProcess(name)
		return nil
	}
	log := zerolog.New(zerolog.NewTestWriter(f.t)).With().Str("host", name).Logger()
	if os.Getenv("HYSSOPSPINDLE_TEST_LOG") == "" {
		log = zerolog.Nop()
	}
	h, err := New(f.set[name], log)
	if err != nil {
		f.t.Fatal(err)
	}
	if err := h.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.hosts[name] = h
	f.t.Cleanup(func() {
		if f.hosts[name] == h {
			_ = h.Close()
		}
	})
	return h
}

func (f *fleet) stop(name string) {
	f.t.Helper()
	if err := f.hosts[name].Close(); err != nil {
		f.t.Error(err)
	}
	delete(f.hosts, name)
}

// eventually waits until something holds.
func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	f.t.Fatalf("it never came that %s", what)
}

// joined waits until every running host holds all others alive and hears of
// the other regions.
func (f *fleet) joined() {
	f.t.Helper()
	if f.plan.processes {
		f.processesJoined()
		return
	}
	f.eventually("all hosts know each other", func() bool {
		for _, h := range f.hosts {
			if !h.board.Pulse.Ready() {
				return false
			}
			sound := 0
			for _, m := range h.board.Members.Members() {
				if m.Sound() {
					sound++
				}
				if m.Region != h.board.Region && f.hosts[m.Name] != nil && h.board.Zones.Silent(time.Now(), m.Region) {
					return false
				}
			}
			if sound < len(f.hosts)-1 {
				return false
			}
		}
		return true
	})
}

// reply is an answer as a caller sees it.
type reply struct {
	status int
	body   string
	fields map[string]string
	res    client.Result
}

// ok reports whether it is a whole answer and no refusal.
func (r reply) ok() bool { return r.res.Whole && r.status == 200 }

type option func(*client.Attempt)

func field(name, value string) option {
	return func(a *client.Attempt) { a.Fields = append(a.Fields, wire.Field{Name: name, Value: value}) }
}

// send sends one request to a host, as a caller does.
func (f *fleet) send(ctx context.Context, host, method, path, body string, opts ...option) reply {
	r := reply{fields: map[string]string{}}
	var text strings.Builder
	a := client.Attempt{
		Address: f.set[host].Callers, Method: method, Path: path, Body: []byte(body),
		Fields:   []wire.Field{{Name: "Authorization", Value: "Bearer " + callerKey}},
		Deadline: time.Now().Add(patience), Silence: patience, MaxAnswer: 1 << 24,
	}
	for _, o := range opts {
		o(&a)
	}
	r.res = client.Do(ctx, a, client.Sink{
		Head: func(h wire.Head) error {
			r.status = h.Status
			for _, fl := range h.Fields {
				r.fields[fl.Name] = fl.Value
			}
			return nil
		},
		Data: func(p []byte) error {
			text.Write(p)
			return nil
		},
	})
	r.body = text.String()
	return r
}

func chat(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"chat","stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":"hi"}]}`, stream, tokens)
}

const chatPath = "/v1/chat/completions"
