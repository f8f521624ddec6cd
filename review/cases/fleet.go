package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	hostName = "ficu95.example"
	// heartbeat is the period in which the runners' entries are written.
	heartbeat   = 1200 * time.Millisecond
	readyWithin = 30 * time.Second
	maxSlots    = 96
)

// record is what a case writes to record.txt. It is safe for concurrent use.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, start: time.Now()}, nil
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f s  "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// host is a host process of the system.
type host struct {
	name, callers, ready, directory string
	cmd                             *exec.Cmd
	ended                           chan struct{}
}

// run is what a runner reports of a request that it ran.
type run struct {
	Runner    string `json:"runner"`
	ID        string `json:"id"`
	Method    string `json:"method"`
	Target    string `json:"target"`
	After     string `json:"after"`
	Event     string `json:"event"`
	Status    int    `json:"status"`
	Signature string `json:"signature"`
	Weights   int    `json:"weights"`
	// At is when the line arrived.
	At time.Time `json:"-"`
}

// runner is a stand-in for a runner, a process of its own.
type runner struct {
	id, service, address, zone, version string
	weights, slots                      int
	born                                time.Time
	// coldUntil is the end of its warm-up.
	coldUntil time.Time
	cmd       *exec.Cmd
	ended     chan struct{}
	// silent stops its heartbeats.
	silent bool
}

// fleet is a small deployment: the store, hosts and runners.
type fleet struct {
	record  *record
	store   *store
	folder  string
	program string
	hosts   []*host

	mu      sync.Mutex
	runners []*runner
	runs    []run
	version int
	stop    chan struct{}
}

func newFleet(rec *record, program string) (*fleet, error) {
	s, err := newStore()
	if err != nil {
		return nil, err
	}
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	f := &fleet{record: rec, store: s, folder: folder, program: program, version: 7, stop: make(chan struct{})}
	go f.beat()
	return f, nil
}

// close ends all processes that the fleet started and removes its folder.
func (f *fleet) close() {
	f.mu.Lock()
	close(f.stop)
	f.mu.Unlock()
	for _, h := range f.hosts {
		_ = h.cmd.Process.Signal(syscall.SIGKILL)
		<-h.ended
	}
	for _, r := range f.runners {
		_ = r.cmd.Process.Signal(syscall.SIGKILL)
		<-r.ended
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.folder)
	} else {
		fmt.Println(f.folder)
	}
}

// usedPorts holds the ports that freePort returned.
var usedPorts = map[int]bool{}

// freePort returns a loopback address that is free for TCP and UDP. Its port is below those that the kernel
// gives to outgoing connections, one of which could take it before it is used.
func freePort() (string, error) {
	for range 1000 {
		port := 15000 + rand.IntN(15000)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if usedPorts[port] {
			continue
		}
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = l.Close()
		u, err := net.ListenPacket("udp", address)
		if err != nil {
			continue
		}
		_ = u.Close()
		usedPorts[port] = true
		return address, nil
	}
	return "", errors.New("no port is free")
}

// startHosts starts hosts in the zones and waits until all are ready. regions maps zones to regions.
func (f *fleet) startHosts(zones []string, regions map[string]string) error {
	type ports struct{ callers, ready, directory, peers, metrics string }
	list, seeds := make([]ports, len(zones)), []string{}
	for i := range zones {
		p := &list[i]
		for _, a := range []*string{&p.callers, &p.ready, &p.directory, &p.peers, &p.metrics} {
			var err error
			if *a, err = freePort(); err != nil {
				return err
			}
		}
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", p.peers))
		}
	}
	for i, zone := range zones {
		p := list[i]
		h := &host{name: fmt.Sprintf("front-%s-%d", zone, i+1), callers: p.callers, ready: p.ready, directory: p.directory, ended: make(chan struct{})}
		var b strings.Builder
		fmt.Fprintf(&b, "name = %q\nregion = %q\ncentre = %q\ncallers = %q\nready = %q\ndirectory = %q\npeers = %q\nmetrics = %q\nstore = %q\nseeds = [%s]\nlog_level = \"debug\"\n[regions]\n",
			h.name, regions[zone], zone, p.callers, p.ready, p.directory, p.peers, p.metrics, f.store.address, strings.Join(seeds, ", "))
		for z, r := range regions {
			fmt.Fprintf(&b, "%s = %q\n", z, r)
		}
		b.WriteString("[machine]\nshare = 0.4\ncores = 1\nlink_mbps = 1000.0\nmemory_mb = 284\ndescriptors = 4100\n[bounds]\ngrace_s = 8\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 54\ncold_over = 1.5\ncold_slack = 3\ndirectory_ttl_s = 5\nbeat_ms = 1200\nhistory_s = 20\n")
		file := filepath.Join(f.folder, h.name+".toml")
		if err := os.WriteFile(file, []byte(b.String()), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(f.folder, h.name+".log"))
		if err != nil {
			return err
		}
		h.cmd = exec.Command(f.program, "attach", "--settings", file)
		h.cmd.Stdout, h.cmd.Stderr = log, log
		if err := h.cmd.Start(); err != nil {
			return err
		}
		go func() { _ = h.cmd.Wait(); close(h.ended) }()
		f.hosts = append(f.hosts, h)
		f.record.printf("host %s starts, pid %d, callers %s", h.name, h.cmd.Process.Pid, h.callers)
	}
	return f.waitReady()
}

// restart starts the process of a host again, which has ended, unless the fleet is being closed.
func (f *fleet) restart(h *host) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.stop:
		return errors.New("the case ends")
	default:
	}
	old := h.cmd
	h.cmd = exec.Command(old.Path, old.Args[1:]...)
	h.cmd.Stdout, h.cmd.Stderr = old.Stdout, old.Stderr
	if err := h.cmd.Start(); err != nil {
		return err
	}
	h.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) { _ = cmd.Wait(); close(ended) }(h.cmd, h.ended)
	return nil
}

func (f *fleet) waitReady() error {
	end := time.Now().Add(readyWithin)
	for _, h := range f.hosts {
		for {
			resp, err := http.Get("http://" + h.ready + "/api/readiness")
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("host %s is not ready", h.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	f.record.printf("all hosts are ready")
	return nil
}

// addresses asks a host's directory where to connect.
func (f *fleet) addresses(region, zone string) ([]string, error) {
	q := url.Values{"name": {hostName}, "region": {region}, "zone": {zone}}
	resp, err := http.Get("http://" + f.hosts[0].directory + "/api/resolve?" + q.Encode())
	if err != nil {
		return nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return nil, err
	}
	if len(answer.Addresses) == 0 {
		return nil, fmt.Errorf("the directory names no address")
	}
	return answer.Addresses, nil
}

// startRunner starts a runner's process, at its address if it has one, and registers it. extra are further flags of it.
func (f *fleet) startRunner(r *runner, extra ...string) error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	args := append([]string{"runner", "--id", r.id, "--weights", fmt.Sprint(r.weights), "--slots", fmt.Sprint(r.slots), "--listen", r.address}, extra...)
	r.cmd = exec.Command(program, args...)
	r.cmd.Stderr = os.Stderr
	out, err := r.cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if err := r.cmd.Start(); err != nil {
		return err
	}
	cmd, ended := r.cmd, make(chan struct{})
	r.ended, r.born = ended, time.Now()
	lines := bufio.NewScanner(out)
	lines.Buffer(nil, 1<<20)
	if !lines.Scan() {
		return fmt.Errorf("runner %s did not start", r.id)
	}
	r.address = lines.Text()
	go func() {
		for lines.Scan() {
			var got run
			if json.Unmarshal(lines.Bytes(), &got) != nil {
				continue
			}
			f.record.printf("runner %s: %s %s %s %s after=%q status=%d signature=%q weights=%d", got.Runner, got.Event, got.ID, got.Method, got.Target, got.After, got.Status, got.Signature, got.Weights)
			got.At = time.Now()
			f.mu.Lock()
			f.runs = append(f.runs, got)
			f.mu.Unlock()
		}
		_ = cmd.Wait()
		close(ended)
	}()
	f.mu.Lock()
	r.silent = false
	if !slices.Contains(f.runners, r) {
		f.runners = append(f.runners, r)
	}
	f.mu.Unlock()
	f.record.printf("runner %s of %s starts at %s, pid %d, version %s, weights %d", r.id, r.service, r.address, r.cmd.Process.Pid, r.version, r.weights)
	f.register(r, 1)
	return nil
}

// register writes a runner's entry as the protocol's page shows it.
func (f *fleet) register(r *runner, sequence int) {
	f.mu.Lock()
	cold := max(0, time.Until(r.coldUntil).Milliseconds())
	f.mu.Unlock()
	f.store.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": r.version, "slots": r.slots, "state": "ready",
		"cold-remaining-ms": cold, "stage": "both", "models": []any{map[string]any{"name": "m", "version": r.weights, "adapters": []any{}}},
		"sequence": sequence, "born": r.born.UnixMilli(),
	})
}

// beat writes the entries of the live runners again and again, one after the other within a heartbeat.
func (f *fleet) beat() {
	for n := 2; ; n++ {
		f.mu.Lock()
		list := append([]*runner(nil), f.runners...)
		f.mu.Unlock()
		for i := range max(1, len(list)) {
			select {
			case <-time.After(heartbeat / time.Duration(max(1, len(list)))):
			case <-f.stop:
				return
			}
			if i >= len(list) {
				continue
			}
			f.mu.Lock()
			silent := list[i].silent
			f.mu.Unlock()
			if !silent {
				f.register(list[i], n)
			}
		}
	}
}

// kill ends the processes of runners at once. Their entries lapse after three heartbeats of silence.
func (f *fleet) kill(list ...*runner) {
	for _, r := range list {
		_ = r.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, r := range list {
		f.record.printf("runner %s is killed", r.id)
		<-r.ended
		f.lapse(r)
	}
}

// lapse ends the heartbeats of a runner, and removes its entry unless it starts again in time.
func (f *fleet) lapse(r *runner) {
	f.mu.Lock()
	r.silent = true
	f.mu.Unlock()
	time.AfterFunc(3*heartbeat, func() {
		select {
		case <-f.stop:
			return
		default:
		}
		f.mu.Lock()
		silent := r.silent
		f.mu.Unlock()
		if silent {
			f.store.remove("servers/" + r.id)
		}
	})
}

// allRuns returns what the runners reported so far.
func (f *fleet) allRuns() []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]run(nil), f.runs...)
}

// publish writes the configuration: two services and the four kinds of request of the sheet.
func (f *fleet) publish() {
	route := func(name, prefix, kind, service string, timeout, target, attempts int, resumable bool) map[string]any {
		m := map[string]any{
			"name": name, "host": hostName, "prefix": prefix, "kind": kind, "timeout-ms": timeout, "target-latency-ms": target,
			"priority": 0, "service": service, "attempts": attempts, "sticky-sessions": kind == "streaming", "resumable": resumable,
			"home-regions": []string{},
		}
		if kind == "streaming" {
			m["target-gap-ms"] = 400
		}
		return m
	}
	f.store.put("op/config", map[string]any{
		"version": f.version,
		"routes": []any{
			route("r-lookup", "/lookup/", "streaming", "advisor-models", 4000, 600, 2, true),
			route("r-confirm", "/confirm/", "unsafe", "rental-app", 1500, 500, 1, false),
			route("r-stock", "/stock/", "safe", "rental-app", 1500, 500, 2, false),
		},
		"services": []any{
			map[string]any{
				"name": "advisor-models", "health-check-path": "/health", "connection-limit": 490, "protocol": "h1", "tls": false, "cold-start-s": 3.0, "cold-per-s": 9.7,
				"engine": map[string]any{"slots": maxSlots, "kv-cache-tokens": 419295, "kv-token-bytes": 131072, "stride": 7, "models": []any{map[string]any{"name": "m"}}},
			},
			map[string]any{"name": "rental-app", "health-check-path": "/health", "connection-limit": 100, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}
