// Package trial runs a whole deployment in one process, hosts and stand-ins as
// instances over loopback, for experiments. The network between hosts is a
// stand-in with the latencies of the inventory's links.
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
	"github.com/hyssopspindle/hyssopspindle/internal/load/drive"
	"github.com/hyssopspindle/hyssopspindle/internal/load/report"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/host"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/cable"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/engine"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/plain"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/platf"
)

const (
	keyLife    = 24 * time.Hour
	joinTime   = 30 * time.Second
	joinStep   = 50 * time.Millisecond
	peersPort  = 7301
	adminPort  = 7302
	adminKey   = "trial-admin-key-0001"
	keySuffix  = "-trial-key"
	drainTime  = 20 * time.Second
	plainDelay = 5 * time.Millisecond
)

// Key returns the trial key of a caller.
func Key(caller string) string { return caller + keySuffix }

// Options are those of a deployment.
type Options struct {
	// Sources is the inventory.
	Sources []invent.Source
	// Policy replaces that of every model service, where it is not empty.
	Policy invent.Policy
	// Queue replaces that of every service, where it is not empty.
	Queue  invent.Queue
	Engine engine.Config
	// Net is the second number of the loopback addresses of the hosts.
	Net int
}

// Deployment is a running deployment.
type Deployment struct {
	Inventory *invent.Inventory
	Engines   map[string]*engine.Engine
	Plains    map[string]*plain.Service

	platform *platf.Platform
	hosts    map[string]*host.Host
	cables   []*cable.Cable
	folder   string
	ips      map[string]string
	cut      atomic.Pointer[string]
}

// Start starts a deployment and waits until its hosts know each other.
func Start(o Options) (*Deployment, error) {
	for i := range o.Sources {
		o.Sources[i].Data = withRule(o.Sources[i].Data, "policy", string(o.Policy))
		o.Sources[i].Data = withRule(o.Sources[i].Data, "queue", string(o.Queue))
	}
	inv, err := invent.Accept(1, o.Sources)
	if err != nil {
		return nil, fmt.Errorf("trial: %w", err)
	}
	d := &Deployment{
		Inventory: inv, Engines: map[string]*engine.Engine{}, Plains: map[string]*plain.Service{},
		hosts: map[string]*host.Host{}, ips: map[string]string{},
	}
	if err := d.start(o); err != nil {
		d.Close()
		return nil, fmt.Errorf("trial: %w", err)
	}
	return d, nil
}

// withRule sets a rule of every service of a document.
func withRule(data []byte, key, value string) []byte {
	if value == "" {
		return data
	}
	line := fmt.Sprintf("[[services]]\n%s = %q\n", key, value)
	return []byte(strings.ReplaceAll(string(data), "[[services]]\n", line))
}

func (d *Deployment) start(o Options) error {
	var err error
	if d.folder, err = os.MkdirTemp("", "trial"); err != nil {
		return fmt.Errorf("make folder: %w", err)
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
			d.Plains[e.Name] = p
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
	ca, err := certs.NewAuthority(now, keyLife)
	if err != nil {
		return err
	}
	for i, h := range d.Inventory.Hosts() {
		ip := fmt.Sprintf("127.%d.0.%d", o.Net, i+1)
		d.ips[ip] = h.Name
	}
	for i, h := range d.Inventory.Hosts() {
		if err := d.startHost(ca, h, fmt.Sprintf("127.%d.0.%d", o.Net, i+1), now); err != nil {
			return err
		}
	}
	return d.join()
}

func (d *Deployment) startHost(ca *certs.Authority, h invent.Host, ip string, now time.Time) error {
	set, err := ca.Issue(h.Name, now, keyLife)
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
	c, err := cable.Start(h.Peers, s.Peers, d.rules(h.Name))
	if err != nil {
		return err
	}
	d.cables = append(d.cables, c)
	run, err := host.New(s, zerolog.Nop())
	if err != nil {
		return err
	}
	d.hosts[h.Name] = run
	return run.Start()
}

// rules give a cable the latencies between regions, and the cut of one region.
func (d *Deployment) rules(name string) cable.Rules {
	region := d.Inventory.HostRegion(name)
	return cable.Rules{
		Delay: func(peer string) time.Duration {
			other := d.Inventory.HostRegion(d.ips[peer])
			if other == region {
				return 0
			}
			return time.Duration(d.Inventory.Link(other, region).LatencyMS * float64(time.Millisecond))
		},
		Lost: func(peer string, _ bool, _ time.Time) bool {
			cut := d.cut.Load()
			other := d.Inventory.HostRegion(d.ips[peer])
			return cut != nil && (*cut == region) != (*cut == other)
		},
	}
}

// Cut isolates a region from all others; an empty name heals the network.
func (d *Deployment) Cut(region string) {
	if region == "" {
		d.cut.Store(nil)
		return
	}
	d.cut.Store(&region)
}

func (d *Deployment) join() error {
	for end := time.Now().Add(joinTime); time.Now().Before(end); time.Sleep(joinStep) {
		if d.joined() {
			return nil
		}
	}
	return fmt.Errorf("hosts do not know each other after %v", joinTime)
}

func (d *Deployment) joined() bool {
	for _, h := range d.hosts {
		b := h.Board()
		if !b.Pulse.Ready() {
			return false
		}
		for _, m := range b.Members.Members() {
			if !m.Sound() || (m.Region != b.Region && b.Zones.Silent(time.Now(), m.Region)) {
				return false
			}
		}
	}
	return true
}

// Seeds returns the hosts of each region.
func (d *Deployment) Seeds() map[string][]string {
	out := map[string][]string{}
	for _, h := range d.Inventory.Hosts() {
		r := d.Inventory.RegionOf(h.Centre)
		out[r] = append(out[r], h.Callers)
	}
	return out
}

// Cost returns the price of a crossing.
func (d *Deployment) Cost(region, servedBy string) float64 {
	return d.Inventory.Link(region, d.Inventory.HostRegion(servedBy)).Cost
}

// Judge compares what callers were told with what the plain services ran.
func (d *Deployment) Judge(r *report.Report, samples []drive.Sample) {
	runs := map[string]int{}
	for _, p := range d.Plains {
		for _, e := range p.Effects() {
			runs[e.Key]++
		}
	}
	r.Doubles, r.False = 0, 0
	for _, n := range runs {
		if n > 1 {
			r.Doubles++
		}
	}
	for _, s := range samples {
		if s.Outcome.Key != "" && !s.Outcome.Whole && s.Outcome.Ran == "no" && runs[s.Outcome.Key] > 0 {
			r.False++
		}
	}
}

// Close ends the deployment; requests in flight are cut.
func (d *Deployment) Close() {
	for _, h := range d.hosts {
		_ = h.Close()
	}
	for _, c := range d.cables {
		_ = c.Close()
	}
	if d.platform != nil {
		_ = d.platform.Close()
	}
	for _, e := range d.Engines {
		_ = e.Close()
	}
	for _, p := range d.Plains {
		_ = p.Close()
	}
	_ = os.RemoveAll(d.folder)
}

// HashOf returns the key hash of a caller's trial key, in hexadecimal.
func HashOf(caller string) string {
	sum := sha256.Sum256([]byte(Key(caller)))
	return hex.EncodeToString(sum[:])
}
