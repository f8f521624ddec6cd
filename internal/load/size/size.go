// Package size generates inventories and fleets of any size. It measures the control
// overhead of an idle fleet and the time to apply a configuration change at all hosts.
package size

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/certs"
	"github.com/hyssopspindle/hyssopspindle/internal/load/trial"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/host"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/plain"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/platf"
)

// Shape holds the size of a deployment: the number of each kind of entity.
type Shape struct {
	Hosts     int `json:"hosts"`
	Regions   int `json:"regions"`
	Centres   int `json:"centres"`
	Endpoints int `json:"endpoints"`
	Services  int `json:"services"`
	Callers   int `json:"callers"`
}

// The loopback addresses of hosts and endpoints.
const (
	hostNet      = 92 // second number of the hosts' addresses
	hostsPerNet  = 250
	callersPort  = 7101
	peersPort    = 7301
	adminPort    = 7302
	endpointPort = 30000 // port of the first endpoint
)

const (
	certValidity      = 24 * time.Hour
	adminKey          = "trial-admin-key-0001"
	readyTimeout      = 2 * time.Minute
	readyPollInterval = 20 * time.Millisecond
	entriesPerPart    = 300
	slotsPerEndpoint  = 4
)

func hostIP(i int) string {
	return fmt.Sprintf("127.%d.%d.%d", hostNet, 1+i/hostsPerNet, 1+i%hostsPerNet)
}

func endpointAddress(i int) string { return fmt.Sprintf("127.0.0.1:%d", endpointPort+i) }

func (s Shape) regionName(i int) string { return fmt.Sprintf("region-%d", i%s.Regions) }

func (s Shape) centreName(i int) string { return fmt.Sprintf("centre-%d", i%s.Centres) }

// Publication returns an inventory of the shape. The note is written as a comment into
// the part with the services, so that publications with different notes differ in that
// part only.
func (s Shape) Publication(revision uint64, note string) platf.Publication {
	pub := platf.Publication{Revision: revision}
	add := func(name string, b *strings.Builder) {
		pub.Parts = append(pub.Parts, platf.PartDocument{Name: name, Data: b.String()})
	}
	var regions strings.Builder
	for i := range s.Regions {
		fmt.Fprintf(&regions, "[[regions]]\nname = %q\n", s.regionName(i))
		for j := range i {
			fmt.Fprintf(&regions, "[[links]]\nfrom = %q\nto = %q\nlatency_ms = 20\nspill = 0.3\n", s.regionName(i), s.regionName(j))
		}
	}
	for i := range s.Centres {
		fmt.Fprintf(&regions, "[[centres]]\nname = %q\nregion = %q\n", s.centreName(i), s.regionName(i))
	}
	for i := range s.Hosts {
		fmt.Fprintf(&regions, "[[hosts]]\nname = \"host-%d\"\ncentre = %q\ncallers = \"%s:%d\"\npeers = \"%s:%d\"\n",
			i, s.centreName(i), hostIP(i), callersPort, hostIP(i), peersPort)
	}
	add("regions", &regions)
	var services strings.Builder
	fmt.Fprintf(&services, "# %s\n", note)
	for i := range s.Services {
		fmt.Fprintf(&services, "[[services]]\nname = \"model-%d\"\nkind = \"model\"\nrepeatable = true\n", i)
	}
	add("services", &services)
	for from := 0; from < s.Endpoints; from += entriesPerPart {
		var endpoints strings.Builder
		for i := from; i < min(from+entriesPerPart, s.Endpoints); i++ {
			fmt.Fprintf(&endpoints, "[[endpoints]]\nname = \"endpoint-%d\"\nservice = \"model-%d\"\ncentre = %q\naddress = %q\nslots = %d\n",
				i, i%s.Services, s.centreName(i), endpointAddress(i), slotsPerEndpoint)
		}
		add(fmt.Sprintf("endpoints-%d", from), &endpoints)
	}
	for from := 0; from < s.Callers; from += entriesPerPart {
		var callers strings.Builder
		for i := from; i < min(from+entriesPerPart, s.Callers); i++ {
			name := fmt.Sprintf("caller-%d", i)
			fmt.Fprintf(&callers, "[[callers]]\nname = %q\nkey_hash = %q\nregion = %q\nrate = 10.0\n", name, trial.KeyHash(name), s.regionName(i))
		}
		add(fmt.Sprintf("callers-%d", from), &callers)
	}
	return pub
}

// Fleet is an idle fleet of hosts and their stand-ins, all in this process.
type Fleet struct {
	Shape Shape

	platform  *platf.Platform
	hosts     []*host.Host
	endpoints []*plain.Service
	folder    string
	revision  uint64
}

// Start starts a fleet and waits until every host is ready and lists its peer hosts
// as alive.
func Start(s Shape) (*Fleet, error) {
	f := &Fleet{Shape: s}
	if err := f.start(); err != nil {
		f.Close()
		return nil, fmt.Errorf("fleet of %d hosts: %w", s.Hosts, err)
	}
	return f, nil
}

func (f *Fleet) start() error {
	var err error
	if f.folder, err = os.MkdirTemp("", "size"); err != nil {
		return fmt.Errorf("create folder: %w", err)
	}
	for i := range f.Shape.Endpoints {
		p, err := plain.Start(endpointAddress(i), fmt.Sprintf("endpoint-%d", i), 0)
		if err != nil {
			return err
		}
		f.endpoints = append(f.endpoints, p)
	}
	if f.platform, err = platf.Start("127.0.0.1:0", time.Second); err != nil {
		return err
	}
	if err := f.Publish("first"); err != nil {
		return err
	}
	ca, err := certs.NewAuthority(time.Now(), certValidity)
	if err != nil {
		return err
	}
	for i := range f.Shape.Hosts {
		if err := f.startHost(ca, i); err != nil {
			return err
		}
	}
	return f.waitFor("all hosts to join", f.joined)
}

func (f *Fleet) startHost(ca *certs.Authority, i int) error {
	name := fmt.Sprintf("host-%d", i)
	set, err := ca.Issue(name, time.Now(), certValidity)
	if err != nil {
		return err
	}
	folder := filepath.Join(f.folder, name)
	if err := ca.Save(folder, set); err != nil {
		return err
	}
	s := setup.Default()
	// The region is that of the host's data centre, not region i.
	s.Name, s.Centre, s.Region = name, f.Shape.centreName(i), f.Shape.regionName(i%f.Shape.Centres)
	s.Callers, s.Admin = fmt.Sprintf("%s:%d", hostIP(i), callersPort), fmt.Sprintf("%s:%d", hostIP(i), adminPort)
	s.Peers, s.Platform, s.Keys, s.AdminKey = fmt.Sprintf("%s:%d", hostIP(i), peersPort), f.platform.Address(), folder, adminKey
	h, err := host.New(s, zerolog.Nop())
	if err != nil {
		return err
	}
	f.hosts = append(f.hosts, h)
	return h.Start()
}

func (f *Fleet) joined() bool {
	for _, h := range f.hosts {
		b := h.Board()
		if !b.Health.Ready() {
			return false
		}
		for _, m := range b.Members.Members() {
			if !m.Healthy() {
				return false
			}
		}
	}
	return true
}

func (f *Fleet) waitFor(what string, done func() bool) error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPollInterval) {
		if done() {
			return nil
		}
	}
	return fmt.Errorf("timed out waiting for %s", what)
}

// Publish publishes the next revision of the inventory with a note.
func (f *Fleet) Publish(note string) error {
	f.revision++
	return f.platform.Publish(f.Shape.Publication(f.revision, note))
}

// Propagate publishes a change and returns the time until all hosts have applied it.
func (f *Fleet) Propagate(note string) (time.Duration, error) {
	start := time.Now()
	if err := f.Publish(note); err != nil {
		return 0, err
	}
	err := f.waitFor("all hosts to apply the change", func() bool {
		for _, h := range f.hosts {
			if h.Board().Revisions.Revision() < f.revision {
				return false
			}
		}
		return true
	})
	return time.Since(start), err
}

// Overhead is the control overhead of a fleet, as the mean per host unless stated otherwise.
type Overhead struct {
	// Cores is the number of processor cores in use, stand-ins included.
	Cores float64 `json:"core"`
	// BytesPerSecond is the number of bytes sent in datagrams per second.
	BytesPerSecond float64 `json:"bytes_per_second"`
	// CallsPerSecond is the number of calls of all hosts to the platform per second.
	CallsPerSecond float64 `json:"calls_per_second"`
	// HeapBytes is the heap and stack memory in use in bytes, stand-ins included.
	HeapBytes float64 `json:"heap_bytes"`
}

// Measure returns the control overhead of the fleet over a duration.
func (f *Fleet) Measure(d time.Duration) Overhead {
	runtime.GC()
	cpu, sent, calls, start := cpuTime(), f.sentBytes(), f.platform.Calls(), time.Now()
	time.Sleep(d)
	seconds := time.Since(start).Seconds()
	n := float64(len(f.hosts))
	out := Overhead{
		Cores:          (cpuTime() - cpu).Seconds() / seconds / n,
		BytesPerSecond: (f.sentBytes() - sent) / seconds / n,
		CallsPerSecond: float64(f.platform.Calls()-calls) / seconds,
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	out.HeapBytes = float64(m.HeapInuse+m.StackInuse) / n
	return out
}

func (f *Fleet) sentBytes() float64 {
	sum := 0.0
	for _, h := range f.hosts {
		sum += h.SentBytes()
	}
	return sum
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Close stops the fleet and removes its files.
func (f *Fleet) Close() {
	done := make(chan struct{}, len(f.hosts))
	for _, h := range f.hosts {
		go func() {
			_ = h.Close()
			done <- struct{}{}
		}()
	}
	for range f.hosts {
		<-done
	}
	for _, e := range f.endpoints {
		_ = e.Close()
	}
	if f.platform != nil {
		_ = f.platform.Close()
	}
	_ = os.RemoveAll(f.folder)
}
