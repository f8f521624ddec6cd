// Package soak runs a fleet of real host processes beside stand-ins of the store and of
// endpoints, injects faults by a seed, and compares what callers received with what the
// endpoints ran.
package soak

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/setup"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/terms"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/routed"
	"github.com/hyssopspindle/hyssopspindle/platform"
	"github.com/hyssopspindle/hyssopspindle/platform/stand"
)

// HostName is the value of the Host header of all requests.
const HostName = "soak.example"

const (
	startTimeout = 30 * time.Second
	stopTimeout  = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	// renewInterval is the period in which endpoints write their entries.
	renewInterval = 500 * time.Millisecond
	slots         = 64
	// historyS is the time for which the store keeps its history at least, in seconds.
	historyS = 20
)

// Fleet is a running fleet.
type Fleet struct {
	Store     *stand.Store
	Terms     *terms.Terms
	Hosts     []*Host
	Endpoints []*Endpoint

	program string
	folder  string
	regions map[string]string
	client  *http.Client
	// Machine is the machine that the settings of the hosts state.
	Machine setup.Machine
	// retrySlack is the number of retries that need no budget, 0 for the default.
	retrySlack float64
}

// New returns a fleet without hosts. It runs the program at a path and keeps settings and
// logs in a folder. The caller closes it.
func New(program, folder string, opts ...stand.Option) (*Fleet, error) {
	store, err := stand.New(opts...)
	if err != nil {
		return nil, fmt.Errorf("start store: %w", err)
	}
	return &Fleet{Store: store, Terms: platform.Terms(), program: program, folder: folder, regions: map[string]string{}, client: &http.Client{Timeout: time.Second}}, nil
}

// AddRegion adds a region with one data centre of the same name.
func (f *Fleet) AddRegion(name string) { f.regions[name] = name }

// Host is a host process.
type Host struct {
	Name     string
	Region   string
	settings setup.Hosted
	file     string

	mu  sync.Mutex
	cmd *exec.Cmd
	log *os.File
	// logBegin is the size of the log when the process was started.
	logBegin int64
	// ended is closed once the process has ended; err is then its error.
	ended chan struct{}
	err   error
}

// Address returns the address that callers use.
func (h *Host) Address() string { return h.settings.Callers }

// AddHost adds a host to a region. Start starts it.
func (f *Fleet) AddHost(name, region string) (*Host, error) {
	h := &Host{Name: name, Region: region, file: filepath.Join(f.folder, name+".toml")}
	s := &h.settings
	*s = setup.Hosted{Name: name, Region: region, Centre: region, Store: f.Store.Address(), LogLevel: "debug", Bounds: setup.DefaultBounds(), Machine: f.Machine}
	if f.retrySlack > 0 {
		s.Bounds.RetrySlack = f.retrySlack
	}
	s.Bounds.BeatMS, s.Bounds.HistoryS = float64(renewInterval.Milliseconds()), historyS
	for _, a := range []*string{&s.Callers, &s.Ready, &s.Directory, &s.Metrics, &s.Peers} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	f.Hosts = append(f.Hosts, h)
	return h, nil
}

// Start starts the process of a host.
func (f *Fleet) Start(h *Host) error {
	h.settings.Regions, h.settings.Seeds = f.regions, nil
	for _, other := range f.Hosts {
		h.settings.Seeds = append(h.settings.Seeds, other.settings.Peers)
	}
	data, err := toml.Marshal(h.settings)
	if err != nil {
		return fmt.Errorf("encode settings: %w", err)
	}
	if err := os.WriteFile(h.file, data, 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	log, err := os.OpenFile(filepath.Join(f.folder, h.Name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return fmt.Errorf("open log: %w", err)
	}
	info, err := log.Stat()
	if err != nil {
		return errors.Join(fmt.Errorf("read size of log: %w", err), log.Close())
	}
	cmd := exec.Command(f.program, "attach", "--settings", h.file)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return errors.Join(fmt.Errorf("start %s: %w", h.Name, err), log.Close())
	}
	ended := make(chan struct{})
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cmd, h.log, h.logBegin, h.ended, h.err = cmd, log, info.Size(), ended, nil
	go func() {
		err := cmd.Wait()
		h.mu.Lock()
		defer h.mu.Unlock()
		h.err = err
		_ = log.Close()
		close(ended)
	}()
	return nil
}

// PID returns the id of the host's process.
func (h *Host) PID() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd.Process.Pid
}

// HasEnded reports whether the process of a host has ended.
func (h *Host) HasEnded() bool { return h.hasEnded() }

// OtherAddresses returns the addresses of the host's other HTTP listeners, by their use.
func (h *Host) OtherAddresses() map[string]string {
	return map[string]string{"ready": h.settings.Ready, "directory": h.settings.Directory, "metrics": h.settings.Metrics}
}

// Signal sends a signal to the process of a host.
func (h *Host) Signal(s syscall.Signal) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if err := h.cmd.Process.Signal(s); err != nil {
		return fmt.Errorf("signal %s: %w", h.Name, err)
	}
	return nil
}

// hasEnded reports whether the process of a host has ended.
func (h *Host) hasEnded() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	select {
	case <-h.ended:
		return true
	default:
		return false
	}
}

// Wait waits until the process of a host has ended and returns its error.
func (h *Host) Wait() error {
	h.mu.Lock()
	ended := h.ended
	h.mu.Unlock()
	select {
	case <-ended:
	case <-time.After(stopTimeout):
		return fmt.Errorf("%s does not end", h.Name)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.err
}

// EndedAtStart reports whether SIGTERM ended the process of a host before it caught signals. Hosts do so from
// before their first line in the log, and open their listeners after it.
func (h *Host) EndedAtStart() (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	info, err := os.Stat(h.log.Name())
	if err != nil {
		return false, fmt.Errorf("read size of log: %w", err)
	}
	var exit *exec.ExitError
	if !errors.As(h.err, &exit) || info.Size() != h.logBegin {
		return false, nil
	}
	status, ok := exit.Sys().(syscall.WaitStatus)
	return ok && status.Signal() == syscall.SIGTERM, nil
}

// WaitReady waits until all hosts report that they are ready.
func (f *Fleet) WaitReady() error {
	var left []string
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		left = nil
		for _, h := range f.Hosts {
			switch {
			case h.hasEnded():
				return fmt.Errorf("%s has ended: %s", h.Name, f.lastLine(h))
			case !f.ready(h):
				left = append(left, h.Name)
			}
		}
		if len(left) == 0 {
			return nil
		}
	}
	return fmt.Errorf("hosts %v are not ready in %v", left, startTimeout)
}

// lastLine returns the last line of a host's log.
func (f *Fleet) lastLine(h *Host) string {
	data, err := os.ReadFile(filepath.Join(f.folder, h.Name+".log"))
	if err != nil {
		return err.Error()
	}
	text := strings.TrimSpace(string(data))
	return text[strings.LastIndex(text, "\n")+1:]
}

func (f *Fleet) ready(h *Host) bool {
	resp, err := f.client.Get("http://" + h.settings.Ready + f.Terms.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Close ends all processes of the fleet and its stand-ins.
func (f *Fleet) Close() {
	for _, h := range f.Hosts {
		h.mu.Lock()
		running := h.cmd != nil
		if running {
			_ = h.cmd.Process.Kill()
		}
		h.mu.Unlock()
		if running {
			_ = h.Wait()
		}
	}
	for _, e := range f.Endpoints {
		e.close()
	}
	_ = f.Store.Close()
}

// Endpoint is a stand-in of an endpoint that keeps itself registered.
type Endpoint struct {
	*routed.Endpoint
	Region string

	store *stand.Store
	stop  context.CancelFunc
	done  chan struct{}

	mu    sync.Mutex
	entry stand.Registration
}

// AddEndpoint starts an endpoint; setup may change it before it is registered, and changes its entry.
func (f *Fleet) AddEndpoint(id, service, region string, setup func(*routed.Endpoint), changes ...func(*stand.Registration)) (*Endpoint, error) {
	inner, err := routed.New(id, f.Terms)
	if err != nil {
		return nil, fmt.Errorf("start endpoint: %w", err)
	}
	setup(inner)
	ctx, stop := context.WithCancel(context.Background())
	e := &Endpoint{
		Endpoint: inner, Region: region, store: f.Store, stop: stop, done: make(chan struct{}),
		entry: stand.Registration{Service: service, Address: inner.Address(), Centre: region, Release: "v1", Slots: slots, Born: time.Now()},
	}
	f.Endpoints = append(f.Endpoints, e)
	for _, change := range changes {
		change(&e.entry)
	}
	e.register(func(*stand.Registration) {})
	go func() {
		defer close(e.done)
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(renewInterval):
				e.register(func(*stand.Registration) {})
			}
		}
	}()
	return e, nil
}

// register changes the endpoint's entry and writes it.
func (e *Endpoint) register(change func(*stand.Registration)) {
	e.mu.Lock()
	defer e.mu.Unlock()
	change(&e.entry)
	e.store.Register(e.ID, e.entry)
}

// release returns the release of the endpoint's software.
func (e *Endpoint) release() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.entry.Release
}

// leave removes the endpoint's entry for good.
func (e *Endpoint) leave() {
	e.stop()
	<-e.done
	e.store.Delete("servers/" + e.ID)
}

func (e *Endpoint) close() {
	e.stop()
	<-e.done
	_ = e.Close()
}

// Ports lie below the ephemeral range, so that no outgoing connection takes one between
// its choice and its use.
const (
	firstPort = 12000
	portCount = 15000
)

// triedPorts counts the ports that this process has tried, from an offset by process.
var triedPorts atomic.Int64

// freeAddress returns a loopback address whose port is free for TCP and for UDP.
func freeAddress() (string, error) {
	// Each process has a loopback address of its own, as hosts still probe those that have ended.
	pid := os.Getpid()
	loopback, offset := fmt.Sprintf("127.%d.%d.1", 1+pid/250%250, 1+pid%250), int64(pid)*97
	for range portCount {
		address := fmt.Sprintf("%s:%d", loopback, firstPort+(offset+triedPorts.Add(1))%portCount)
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return address, nil
		}
	}
	return "", errors.New("no port is free for TCP and for UDP")
}
