package host

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/certs"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/engine"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/netem"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/plain"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/platf"
)

// waitTimeout bounds each wait of a test. It is long because no test here measures
// a time.
const waitTimeout = 60 * time.Second

const (
	callerKey = "caller-key"
	adminKey  = "0123456789abcdef"
)

// plan is the configuration of a fleet. hosts, engines and plains map the name of
// each host and endpoint to its region.
type plan struct {
	hosts   map[string]string
	engines map[string]string
	plains  map[string]string
	// residency is added to the caller in the inventory.
	residency string
	// engine is the configuration of each engine.
	engine engine.Config
	// leavingEndpoints are the endpoints that the inventory lists as leaving.
	leavingEndpoints []string
	// processes runs each host in a separate process.
	processes bool
	// change changes the settings of each host; it may be nil.
	change func(s *setup.Settings)
	// log receives the log lines of all hosts; it may be nil.
	log io.Writer
}

// fleet is a deployment of a few hosts on loopback, each behind a UDP relay that
// can drop packets.
type fleet struct {
	t         testing.TB
	plan      plan
	ip        string
	port      int
	authority *certs.Authority
	folder    string
	platform  *platf.Platform
	engines   map[string]*engine.Engine
	plains    map[string]*plain.Service
	hosts     map[string]*Host
	procs     map[string]*process
	settings  map[string]setup.Settings
	order     []string
	revision  uint64

	mu sync.Mutex
	// hostByIP maps an IP address to the name of its host.
	hostByIP map[string]string
	// isCut reports whether all packets from one host to another are dropped.
	isCut func(from, to string) bool
	// flowsLostAt maps a host to the time at which its flows were lost: packets of
	// flows that began before it are dropped.
	flowsLostAt map[string]time.Time
}

var lastIP struct {
	sync.Mutex
	n int
}

// uniqueIP returns a loopback IP address that no other test of any process uses.
func uniqueIP() string {
	lastIP.Lock()
	defer lastIP.Unlock()
	lastIP.n++
	n := os.Getpid()*64 + lastIP.n
	return fmt.Sprintf("127.%d.%d.%d", 1+n/62500%250, 1+n/250%250, 1+n%250)
}

// newAddress returns the fleet's IP address with the next port.
func (f *fleet) newAddress() string {
	f.port++
	return fmt.Sprintf("%s:%d", f.ip, f.port)
}

func newFleet(t testing.TB, p plan) *fleet {
	t.Helper()
	f := &fleet{
		t: t, plan: p, ip: uniqueIP(), port: 20000, folder: t.TempDir(), engines: map[string]*engine.Engine{},
		plains: map[string]*plain.Service{}, hosts: map[string]*Host{}, procs: map[string]*process{}, settings: map[string]setup.Settings{},
		flowsLostAt: map[string]time.Time{}, hostByIP: map[string]string{}, isCut: func(string, string) bool { return false },
	}
	var err error
	if f.authority, err = certs.NewAuthority(time.Now(), time.Hour); err != nil {
		t.Fatal(err)
	}
	if f.platform, err = platf.Start(f.newAddress(), 0); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.platform.Close() })
	for _, name := range sortedKeys(p.engines) {
		f.startEngine(name)
	}
	for _, name := range sortedKeys(p.plains) {
		s, err := plain.Start(f.newAddress(), name, 0)
		if err != nil {
			t.Fatal(err)
		}
		f.plains[name] = s
		t.Cleanup(func() { _ = s.Close() })
	}
	for _, name := range sortedKeys(p.hosts) {
		f.prepareHost(name)
	}
	f.publish("")
	for _, name := range f.order {
		f.startHost(name)
	}
	f.waitJoined()
	return f
}

// sortedKeys returns the keys of m in ascending order.
func sortedKeys(m map[string]string) []string {
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
	c.ResumeGrace, c.CacheTokens = cmp.Or(c.ResumeGrace, 3*time.Second), 1000
	e, err := engine.Start(f.newAddress(), c)
	if err != nil {
		f.t.Fatal(err)
	}
	f.engines[name] = e
	f.t.Cleanup(func() { _ = e.Close() })
}

// prepareHost creates a host's certificates, settings and UDP relay.
func (f *fleet) prepareHost(name string) {
	set, err := f.authority.Issue(name, time.Now(), time.Hour)
	if err != nil {
		f.t.Fatal(err)
	}
	folder := filepath.Join(f.folder, name)
	if err := f.authority.Save(folder, set); err != nil {
		f.t.Fatal(err)
	}
	s := setup.Default()
	ip := uniqueIP()
	s.Name, s.Region, s.Centre = name, f.plan.hosts[name], f.plan.hosts[name]+"-1"
	s.Callers, s.Admin, s.Peers = f.newAddress(), f.newAddress(), ip+":7301"
	s.Platform, s.AdminKey, s.Keys = f.platform.Address(), adminKey, folder
	s.LogLevel, s.Limits.DrainSeconds = "debug", 60
	if f.plan.change != nil {
		f.plan.change(&s)
	}
	f.settings[name] = s
	f.order = append(f.order, name)
	f.mu.Lock()
	f.hostByIP[ip] = name
	f.mu.Unlock()
	f.startRelay(name, ip)
}

// startRelay starts the UDP relay that forwards datagrams from the host's address
// in the inventory to the address on which the host listens.
func (f *fleet) startRelay(name, ip string) {
	c, err := netem.Start(ip+":7302", ip+":7301", netem.Rules{
		Delay: func(string) time.Duration { return 0 },
		Drop: func(peer string, toHost bool, began time.Time) bool {
			f.mu.Lock()
			defer f.mu.Unlock()
			if toHost {
				return f.isLost(f.hostByIP[peer], name, began)
			}
			return f.isLost(name, f.hostByIP[peer], began)
		},
	})
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close() })
}

// isLost reports whether a datagram is dropped. began is the start of its flow. The
// caller holds mu.
func (f *fleet) isLost(from, to string, began time.Time) bool {
	return f.isCut(from, to) || began.Before(f.flowsLostAt[from]) || began.Before(f.flowsLostAt[to])
}

// setCut drops all packets between the hosts for which isCut returns true.
func (f *fleet) setCut(isCut func(from, to string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.isCut = isCut
}

// loseFlows drops all further packets of the host's existing flows.
func (f *fleet) loseFlows(name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.flowsLostAt[name] = time.Now()
}

// isolate partitions a region from all others.
func (f *fleet) isolate(region string) {
	f.setCut(func(from, to string) bool {
		return (f.plan.hosts[from] == region) != (f.plan.hosts[to] == region)
	})
}

// heal ends all partitions.
func (f *fleet) heal() { f.setCut(func(string, string) bool { return false }) }

// documents returns the fleet's inventory, with extra appended.
func (f *fleet) documents(extra string) platf.Publication {
	var b strings.Builder
	regions := map[string]bool{}
	for _, name := range f.order {
		regions[f.plan.hosts[name]] = true
	}
	var names []string
	for _, r := range sortedKeys(identityMap(regions)) {
		names = append(names, r)
		fmt.Fprintf(&b, "[[regions]]\nname = %q\n[[centres]]\nname = %q\nregion = %q\n", r, r+"-1", r)
	}
	for i := range names {
		for j := range i {
			fmt.Fprintf(&b, "[[links]]\nfrom = %q\nto = %q\nlatency_ms = 10\nspill = 1.0\n", names[i], names[j])
		}
	}
	for _, name := range f.order {
		s := f.settings[name]
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
	for _, name := range sortedKeys(f.plan.engines) {
		f.writeEndpoint(&b, name, "chat", f.plan.engines[name], f.engines[name].Address())
	}
	for _, name := range sortedKeys(f.plan.plains) {
		f.writeEndpoint(&b, name, "shop", f.plan.plains[name], f.plains[name].Address())
	}
	sum := sha256.Sum256([]byte(callerKey))
	fmt.Fprintf(&b, "[[callers]]\nname = \"app\"\nkey_hash = %q\nregion = %q\n%s\n", hex.EncodeToString(sum[:]), names[0], f.plan.residency)
	b.WriteString(extra)
	return platf.Publication{Parts: []platf.PartDocument{{Name: "all", Data: b.String()}}}
}

// identityMap returns a map of the keys of m to themselves.
func identityMap(m map[string]bool) map[string]string {
	out := map[string]string{}
	for k := range m {
		out[k] = k
	}
	return out
}

func (f *fleet) writeEndpoint(b *strings.Builder, name, service, region, address string) {
	leaving := false
	for _, e := range f.plan.leavingEndpoints {
		leaving = leaving || e == name
	}
	fmt.Fprintf(b, "[[endpoints]]\nname = %q\nservice = %q\ncentre = %q\naddress = %q\nslots = 4\nleaving = %v\n",
		name, service, region+"-1", address, leaving)
}

// publish publishes the inventory with extra appended and returns its revision.
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

// startHost starts a host, also again after stopHost. It returns nil if hosts run
// in separate processes.
func (f *fleet) startHost(name string) *Host {
	f.t.Helper()
	if f.plan.processes {
		f.startProcess(name)
		return nil
	}
	log := zerolog.New(zerolog.NewTestWriter(f.t)).With().Str("host", name).Logger()
	if os.Getenv("HYSSOPSPINDLE_TEST_LOG") == "" {
		log = zerolog.Nop()
	}
	if f.plan.log != nil {
		log = zerolog.New(f.plan.log).With().Str("host", name).Logger()
	}
	h, err := New(f.settings[name], log)
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

func (f *fleet) stopHost(name string) {
	f.t.Helper()
	if err := f.hosts[name].Close(); err != nil {
		f.t.Error(err)
	}
	delete(f.hosts, name)
}

// eventually waits until holds returns true.
func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	f.t.Fatalf("timed out waiting until %s", what)
}

// waitJoined waits until every running host is ready, sees all others alive and
// receives heartbeats of the remote regions.
func (f *fleet) waitJoined() {
	f.t.Helper()
	if f.plan.processes {
		f.waitProcessesJoined()
		return
	}
	f.eventually("all hosts are ready and see each other alive", func() bool {
		for _, h := range f.hosts {
			if !h.board.Health.Ready() {
				return false
			}
			healthy := 0
			for _, m := range h.board.Members.Members() {
				if m.Healthy() {
					healthy++
				}
				if m.Region != h.board.Region && f.hosts[m.Name] != nil && h.board.Remotes.Silent(time.Now(), m.Region) {
					return false
				}
			}
			if healthy < len(f.hosts)-1 {
				return false
			}
		}
		return true
	})
}

// reply is an answer that a caller received.
type reply struct {
	status int
	body   string
	fields map[string]string
	res    client.Result
}

// ok reports whether the answer is whole and has status 200.
func (r reply) ok() bool { return r.res.Whole && r.status == 200 }

// attemptOption changes the attempt that fleet.send makes.
type attemptOption func(*client.Attempt)

// withHeader sets a field, in the place of an earlier one of that name.
func withHeader(name, value string) attemptOption {
	return func(a *client.Attempt) {
		a.Fields = slices.DeleteFunc(a.Fields, func(f wire.Field) bool { return f.Name == name })
		a.Fields = append(a.Fields, wire.Field{Name: name, Value: value})
	}
}

// send sends one request to a host as the inventory's caller.
func (f *fleet) send(ctx context.Context, host, method, path, body string, opts ...attemptOption) reply {
	r := reply{fields: map[string]string{}}
	var text strings.Builder
	a := client.Attempt{
		Address: f.settings[host].Callers, Method: method, Path: path, Body: []byte(body),
		Fields:   []wire.Field{{Name: "Authorization", Value: "Bearer " + callerKey}},
		Deadline: time.Now().Add(waitTimeout), IdleTimeout: waitTimeout, MaxAnswerBytes: 1 << 24,
	}
	for _, o := range opts {
		o(&a)
	}
	r.res = client.Do(ctx, a, client.Sink{
		Head: func(h wire.Head) error {
			r.status = h.Status()
			for _, fl := range h.Fields() {
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

// chatBody returns the body of a chat completion request.
func chatBody(tokens int, stream bool) string {
	return fmt.Sprintf(`{"model":"chat","stream":%v,"max_tokens":%d,"messages":[{"role":"user","content":"hi"}]}`, stream, tokens)
}

const chatPath = "/v1/chat/completions"
