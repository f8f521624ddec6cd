// Package trial runs a complete deployment in one process for experiments: hosts and
// stand-ins for endpoints and platform, which communicate over loopback. The network
// between hosts is emulated with the latencies of the inventory's links.
package trial

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/certs"
	"github.com/hyssopspindle/hyssopspindle/internal/load/replay"
	"github.com/hyssopspindle/hyssopspindle/internal/load/report"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/host"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/engine"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/netem"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/plain"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/platf"
)

const (
	certValidity     = 24 * time.Hour
	joinTimeout      = 30 * time.Second
	joinPollInterval = 50 * time.Millisecond
	peersPort        = 7301
	adminPort        = 7302
	adminKey         = "trial-admin-key-0001"
	keySuffix        = "-trial-key"
	drainTime        = 20 * time.Second
	plainDelay       = 5 * time.Millisecond
)

// Key returns the bearer key of a caller in trials.
func Key(caller string) string { return caller + keySuffix }

// Options configure a deployment.
type Options struct {
	// Sources are the documents of the inventory.
	Sources []invent.Source
	// Policy replaces the placement policy of every service unless it is empty.
	Policy invent.Policy
	// Queue replaces the queue order of every service unless it is empty.
	Queue  invent.Queue
	Engine engine.Config
	// LoopbackNet is the second number of the hosts' loopback addresses.
	LoopbackNet int
}

// Deployment is a running deployment.
type Deployment struct {
	Inventory     *invent.Inventory
	Engines       map[string]*engine.Engine
	PlainServices map[string]*plain.Service

	platform *platf.Platform
	hosts    map[string]*host.Host
	proxies  []*netem.Proxy
	folder   string
	hostByIP map[string]string
	isolated atomic.Pointer[string]
}

// Start starts a deployment and waits until every host is ready, lists its peer hosts
// as alive and is in contact with every remote region.
func Start(o Options) (*Deployment, error) {
	for i := range o.Sources {
		o.Sources[i].Data = withSetting(o.Sources[i].Data, "policy", string(o.Policy))
		o.Sources[i].Data = withSetting(o.Sources[i].Data, "queue", string(o.Queue))
	}
	inv, err := invent.Accept(1, o.Sources)
	if err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	d := &Deployment{
		Inventory: inv, Engines: map[string]*engine.Engine{}, PlainServices: map[string]*plain.Service{},
		hosts: map[string]*host.Host{}, hostByIP: map[string]string{},
	}
	if err := d.start(o); err != nil {
		d.Close()
		return nil, fmt.Errorf("trial: %w", err)
	}
	return d, nil
}

// withSetting sets a key in every service of a TOML document.
func withSetting(data []byte, key, value string) []byte {
	if value == "" {
		return data
	}
	line := fmt.Sprintf("[[services]]\n%s = %q\n", key, value)
	return []byte(strings.ReplaceAll(string(data), "[[services]]\n", line))
}

func (d *Deployment) start(o Options) error {
	var err error
	if d.folder, err = os.MkdirTemp("", "trial"); err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	if err := d.startEndpoints(o); err != nil {
		return err
	}
	if d.platform, err = platf.Start("127.0.0.1:0", time.Second); err != nil {
		return err
	}
	pub := platf.Publication{Revision: 1}
	for _, s := range o.Sources {
		pub.Parts = append(pub.Parts, platf.PartDocument{Name: s.Name, Data: string(s.Data)})
	}
	if err := d.platform.Publish(pub); err != nil {
		return err
	}
	return d.startHosts(o)
}

func (d *Deployment) startEndpoints(o Options) error {
	for _, e := range d.Inventory.Endpoints() {
		s, _ := d.Inventory.Service(e.Service)
		if s.Kind == invent.Plain {
			p, err := plain.Start(e.Address, e.Name, plainDelay)
			if err != nil {
				return err
			}
			d.PlainServices[e.Name] = p
			continue
		}
		conf := o.Engine
		conf.Name, conf.Slots = e.Name, e.Slots
		en, err := engine.Start(e.Address, conf)
		if err != nil {
			return err
		}
		d.Engines[e.Name] = en
	}
	return nil
}

func (d *Deployment) startHosts(o Options) error {
	now := time.Now()
	ca, err := certs.NewAuthority(now, certValidity)
	if err != nil {
		return err
	}
	for i, h := range d.Inventory.Hosts() {
		ip := fmt.Sprintf("127.%d.0.%d", o.LoopbackNet, i+1)
		d.hostByIP[ip] = h.Name
	}
	for i, h := range d.Inventory.Hosts() {
		if err := d.startHost(ca, h, fmt.Sprintf("127.%d.0.%d", o.LoopbackNet, i+1), now); err != nil {
			return err
		}
	}
	return d.waitJoined()
}

func (d *Deployment) startHost(ca *certs.Authority, h invent.Host, ip string, now time.Time) error {
	set, err := ca.Issue(h.Name, now, certValidity)
	if err != nil {
		return err
	}
	folder := filepath.Join(d.folder, h.Name)
	if err := ca.Save(folder, set); err != nil {
		return err
	}
	s := setup.Default()
	s.Name, s.Centre, s.Region = h.Name, h.Centre, d.Inventory.RegionOf(h.Centre)
	s.Callers, s.Platform, s.Keys, s.AdminKey = h.Callers, d.platform.Address(), folder, adminKey
	s.Peers, s.Admin = fmt.Sprintf("%s:%d", ip, peersPort), fmt.Sprintf("%s:%d", ip, adminPort)
	proxy, err := netem.Start(h.Peers, s.Peers, d.networkRules(h.Name))
	if err != nil {
		return err
	}
	d.proxies = append(d.proxies, proxy)
	run, err := host.New(s, zerolog.Nop())
	if err != nil {
		return err
	}
	d.hosts[h.Name] = run
	return run.Start()
}

// networkRules returns the rules of the emulated network in front of a host: the
// latencies between regions, and the loss of all datagrams between an isolated region
// and the others.
func (d *Deployment) networkRules(name string) netem.Rules {
	region := d.Inventory.HostRegion(name)
	return netem.Rules{
		Delay: func(peer string) time.Duration {
			other := d.Inventory.HostRegion(d.hostByIP[peer])
			if other == region {
				return 0
			}
			return time.Duration(d.Inventory.Link(other, region).LatencyMS * float64(time.Millisecond))
		},
		Drop: func(peer string, _ bool, _ time.Time) bool {
			isolated := d.isolated.Load()
			other := d.Inventory.HostRegion(d.hostByIP[peer])
			return isolated != nil && (*isolated == region) != (*isolated == other)
		},
	}
}

// IsolateRegion cuts the network between a region and all others; an empty name ends that.
func (d *Deployment) IsolateRegion(region string) {
	if region == "" {
		d.isolated.Store(nil)
		return
	}
	d.isolated.Store(&region)
}

func (d *Deployment) waitJoined() error {
	for end := time.Now().Add(joinTimeout); time.Now().Before(end); time.Sleep(joinPollInterval) {
		if d.joined() {
			return nil
		}
	}
	return fmt.Errorf("not all hosts joined within %v", joinTimeout)
}

func (d *Deployment) joined() bool {
	for _, h := range d.hosts {
		b := h.Board()
		if !b.Health.Ready() {
			return false
		}
		for _, m := range b.Members.Members() {
			if !m.Healthy() || (m.Region != b.Region && b.Remotes.Silent(time.Now(), m.Region)) {
				return false
			}
		}
	}
	return true
}

// Seeds returns the addresses for callers of each region's hosts.
func (d *Deployment) Seeds() map[string][]string {
	out := map[string][]string{}
	for _, h := range d.Inventory.Hosts() {
		r := d.Inventory.RegionOf(h.Centre)
		out[r] = append(out[r], h.Callers)
	}
	return out
}

// Cost returns the price of a crossing from a region to the host that served the request.
func (d *Deployment) Cost(region, servedBy string) float64 {
	return d.Inventory.Link(region, d.Inventory.HostRegion(servedBy)).Cost
}

// CountOperationFaults counts, from the runs that the plain services recorded, the
// operations that ran more than once and the refusals that wrongly report an operation
// as not run.
func (d *Deployment) CountOperationFaults(r *report.Report, samples []replay.Sample) {
	runs := map[string]int{}
	for _, p := range d.PlainServices {
		for _, e := range p.Effects() {
			runs[e.Key]++
		}
	}
	r.DuplicateRuns, r.FalseNotRun = 0, 0
	for _, n := range runs {
		if n > 1 {
			r.DuplicateRuns++
		}
	}
	for _, s := range samples {
		if s.Outcome.Key != "" && !s.Outcome.Complete && s.Outcome.Ran == "no" && runs[s.Outcome.Key] > 0 {
			r.FalseNotRun++
		}
	}
}

// Close stops the deployment; in-flight requests are cut off.
func (d *Deployment) Close() {
	for _, h := range d.hosts {
		_ = h.Close()
	}
	for _, px := range d.proxies {
		_ = px.Close()
	}
	if d.platform != nil {
		_ = d.platform.Close()
	}
	for _, e := range d.Engines {
		_ = e.Close()
	}
	for _, p := range d.PlainServices {
		_ = p.Close()
	}
	_ = os.RemoveAll(d.folder)
}

// KeyHash returns the hash of a caller's trial key in hexadecimal, as in the inventory.
func KeyHash(caller string) string {
	sum := sha256.Sum256([]byte(Key(caller)))
	return hex.EncodeToString(sum[:])
}
