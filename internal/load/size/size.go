// Package size makes inventories and fleets of any size and measures what they
// cost at rest and while the configuration changes.
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

// Shape is the size of a deployment.
type Shape struct {
	Hosts     int `json:"hosts"`
	Regions   int `json:"regions"`
	Centres   int `json:"centres"`
	Endpoints int `json:"endpoints"`
	Services  int `json:"services"`
	Callers   int `json:"callers"`
}

// The addresses of a fleet's hosts and endpoints.
const (
	hostNet      = 92
	perNet       = 250
	callersPort  = 7101
	peersPort    = 7301
	adminPort    = 7302
	endpointPort = 30000
	keyLife      = 24 * time.Hour
	adminKey     = "trial-admin-key-0001"
	readyTime    = 2 * time.Minute
	readyStep    = 20 * time.Millisecond
	perPart      = 300
	slots        = 4
)

func hostIP(i int) string { return fmt.Sprintf("127.%d.%d.%d", hostNet, 1+i/perNet, 1+i%perNet) }

func endpointAddress(i int) string { return fmt.Sprintf("127.0.0.1:%d", endpointPort+i) }

func (s Shape) region(i int) string { return fmt.Sprintf("region-%d", i%s.Regions) }

func (s Shape) centre(i int) string { return fmt.Sprintf("centre-%d", i%s.Centres) }

// Publication returns an inventory of the shape; note goes into it as a comment,
// so that each one differs in the part with the services only.
func (s Shape) Publication(revision uint64, note string) platf.Publication {
	pub := platf.Publication{Revision: revision}
	add := func(name string, b *strings.Builder) {
		pub.Parts = append(pub.Parts, platf.PartDocument{Name: name, Data: b.String()})
	}
	var b strings.Builder
	for i := range s.Regions {
		fmt.Fprintf(&b, "[[regions]]\nname = %q\n", s.region(i))
		for j := range i {
			fmt.Fprintf(&b, "[[links]]\nfrom = %q\nto = %q\nlatency_ms = 20\nspill = 0.3\n", s.region(i), s.region(j))
		}
	}
	for i := range s.Centres {
		fmt.Fprintf(&b, "[[centres]]\nname = %q\nregion = %q\n", s.centre(i), s.region(i))
	}
	for i := range s.Hosts {
		fmt.Fprintf(&b, "[[hosts]]\nname = \"host-%d\"\ncentre = %q\ncallers = \"%s:%d\"\npeers = \"%s:%d\"\n",
			i, s.centre(i), hostIP(i), callersPort, hostIP(i), peersPort)
	}
	add("regions", &b)
	var c strings.Builder
	fmt.Fprintf(&c, "# %s\n", note)
	for i := range s.Services {
		fmt.Fprintf(&c, "[[services]]\nname = \"model-%d\"\nkind = \"model\"\nrepeatable = true\n", i)
	}
	add("services", &c)
	for from := 0; from < s.Endpoints; from += perPart {
		var e strings.Builder
		for i := from; i < min(from+perPart, s.Endpoints); i++ {
			fmt.Fprintf(&e, "[[endpoints]]\nname = \"endpoint-%d\"\nservice = \"model-%d\"\ncentre = %q\naddress = %q\nslots = %d\n",
				i, i%s.Services, s.centre(i), endpointAddress(i), slots)
		}
		add(fmt.Sprintf("endpoints-%d", from), &e)
	}
	for from := 0; from < s.Callers; from += perPart {
		var e strings.Builder
		for i := from; i < min(from+perPart, s.Callers); i++ {
			name := fmt.Sprintf("caller-%d", i)
			fmt.Fprintf(&e, "[[callers]]\nname = %q\nkey_hash = %q\nregion = %q\nrate = 10.0\n", name, trial.HashOf(name), s.region(i))
		}
		add(fmt.Sprintf("callers-%d", from), &e)
	}
	return pub
}

// Fleet is a fleet of hosts at rest, all in this process.
type Fleet struct {
	Shape Shape

	platform  *platf.Platform
	hosts     []*host.Host
	endpoints []*plain.Service
	folder    string
	revision  uint64
}

// Start starts a fleet and waits until every host is ready and knows the others.
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
		return fmt.Errorf("make folder: %w", err)
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
	ca, err := certs.NewAuthority(time.Now(), keyLife)
	if err != nil {
		return err
	}
	for i := range f.Shape.Hosts {
		if err := f.startHost(ca, i); err != nil {
			return err
		}
	}
	return f.until("hosts know each other", f.joined)
}

func (f *Fleet) startHost(ca *certs.Authority, i int) error {
	name := fmt.Sprintf("host-%d", i)
	set, err := ca.Issue(name, time.Now(), keyLife)
	if err != nil {
		return err
	}
	folder := filepath.Join(f.folder, name)
	if err := ca.Save(folder, set); err != nil {
		return err
	}
	s := setup.Default()
	s.Name, s.Centre, s.Region = name, f.Shape.centre(i), f.Shape.region(i%f.Shape.Centres)
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
		if !b.Pulse.Ready() {
			return false
		}
		for _, m := range b.Members.Members() {
			if !m.Sound() {
				return false
			}
		}
	}
	return true
}

func (f *Fleet) until(what string, holds func() bool) error {
	for end := time.Now().Add(readyTime); time.Now().Before(end); time.Sleep(readyStep) {
		if holds() {
			return nil
		}
	}
	return fmt.Errorf("it never came that %s", what)
}

// Publish publishes the next revision.
func (f *Fleet) Publish(note string) error {
	f.revision++
	return f.platform.Publish(f.Shape.Publication(f.revision, note))
}

// Spread publishes a change and returns how long it took to be in force
// everywhere.
func (f *Fleet) Spread(note string) (time.Duration, error) {
	start := time.Now()
	if err := f.Publish(note); err != nil {
		return 0, err
	}
	err := f.until("the change is in force everywhere", func() bool {
		for _, h := range f.hosts {
			if h.Board().Revisions.Revision() < f.revision {
				return false
			}
		}
		return true
	})
	return time.Since(start), err
}

// Cost is what a host spends on control, as a mean over the fleet.
type Cost struct {
	// Core is the share of a processor core, stand-ins included.
	Core float64 `json:"core"`
	// Bytes are datagram bytes sent a second.
	Bytes float64 `json:"bytes_per_second"`
	// Calls are the platform's calls a second, of all hosts together.
	Calls float64 `json:"calls_per_second"`
	// Heap is the memory in use, in bytes, stand-ins included.
	Heap float64 `json:"heap_bytes"`
}

// Measure watches the fleet for a time.
func (f *Fleet) Measure(d time.Duration) Cost {
	runtime.GC()
	cpu, sent, calls, start := processTime(), f.sent(), f.platform.Calls(), time.Now()
	time.Sleep(d)
	seconds := time.Since(start).Seconds()
	n := float64(len(f.hosts))
	out := Cost{
		Core:  (processTime() - cpu).Seconds() / seconds / n,
		Bytes: (f.sent() - sent) / seconds / n,
		Calls: float64(f.platform.Calls()-calls) / seconds,
	}
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	out.Heap = float64(m.HeapInuse+m.StackInuse) / n
	return out
}

func (f *Fleet) sent() float64 {
	sum := 0.0
	for _, h := range f.hosts {
		sum += h.SentBytes()
	}
	return sum
}

// processTime returns the processor time of this process.
func processTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// Close ends the fleet.
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
