// Command second plays the cases 6 to 10 of the review: it starts hosts of the gateway as
// processes beside stand-ins of the platform's store, of runners and of clients, and checks one
// rule by what these see. It exits with 1 if the rule was broken, 0 if it held and 2 if the case
// could not run. With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	hostName  = "lookup.example"
	heartbeat = 1200 * time.Millisecond
)

// deployment is a running deployment.
type deployment struct {
	folder  string
	trouble bool
	store   *store
	hosts   []*host
	runners []*runner

	mu     sync.Mutex
	record *os.File
	start  time.Time
	broken int
}

// note writes a line to the record.
func (d *deployment) note(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	fmt.Fprintf(d.record, "%8.3f "+format+"\n", append([]any{time.Since(d.start).Seconds()}, args...)...)
}

// fail records that the rule was broken.
func (d *deployment) fail(format string, args ...any) {
	d.note("BROKEN: "+format, args...)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.broken++
}

func (d *deployment) close() {
	for _, h := range d.hosts {
		h.kill()
	}
	for _, r := range d.runners {
		r.leave()
		_ = r.listener.Close()
	}
	if d.store != nil {
		_ = d.store.listener.Close()
	}
	_ = os.RemoveAll(d.folder)
}

// freeAddress returns a loopback address that is free for TCP and UDP.
func freeAddress() (string, error) {
	for range 100 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		address := l.Addr().String()
		u, err := net.ListenPacket("udp", address)
		_ = l.Close()
		if err == nil {
			_ = u.Close()
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

// store is the platform's store: items, listings and watches.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    int    `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 40, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.key)
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.write(item{Key: key, Value: data})
}

func (s *store) remove(key string) { s.write(item{Key: key, Deleted: true}) }

func (s *store) write(it item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision, it.Created = s.revision, s.revision
	if old, ok := s.items[it.Key]; ok {
		it.Created = old.Created
	}
	if it.Deleted {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		answer(w, http.StatusNotFound, map[string]any{"at": at})
		return
	}
	answer(w, http.StatusOK, map[string]any{
		"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": it.Lease, "at": at,
	})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	list := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			list = append(list, it)
		}
	}
	at := s.revision
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": list, "has-more": false, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, waitErr := strconv.Atoi(q.Get("wait-ms"))
	if err != nil || waitErr != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	end := time.After(time.Duration(min(wait, 30_000)) * time.Millisecond)
	for last := false; ; {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || last {
			answer(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			last = true
		case <-r.Context().Done():
			return
		}
	}
}

// request is a request as a runner read it.
type request struct {
	id, method, target string
	header             http.Header
	body               []byte
	conn               net.Conn
	runner             *runner
}

// runner is a stand-in of a runner, which serves one request at a time on a connection.
type runner struct {
	id, service, zone string
	listener          net.Listener
	store             *store
	born              time.Time
	// serve runs a request and returns the whole answer; it may write the answer itself and return nil.
	serve func(r *request) []byte

	mu       sync.Mutex
	sequence int
	draining bool
	gone     chan struct{}
}

// addRunner starts a runner that writes its entry in each heartbeat.
func (d *deployment) addRunner(id, service, zone string, serve func(r *request) []byte) (*runner, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &runner{id: id, service: service, zone: zone, listener: l, store: d.store, born: time.Now(), serve: serve, gone: make(chan struct{})}
	d.runners = append(d.runners, r)
	go r.accept()
	r.register()
	go func() {
		for {
			select {
			case <-r.gone:
				return
			case <-time.After(heartbeat):
				r.register()
			}
		}
	}()
	return r, nil
}

func (r *runner) register() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.gone:
		return
	default:
	}
	r.sequence++
	state := "ready"
	if r.draining {
		state = "draining"
	}
	r.store.put("servers/"+r.id, map[string]any{
		"service": r.service, "address": r.listener.Addr().String(), "zone": r.zone, "version": "1", "slots": 64,
		"state": state, "cold-remaining-ms": 0, "sequence": r.sequence, "born": r.born.UnixMilli(),
	})
}

// leave ends the heartbeats.
func (r *runner) leave() {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.gone:
	default:
		close(r.gone)
	}
}

func (r *runner) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.serveConn(c)
	}
}

func (r *runner) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		hr, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(hr.Body)
		if err != nil {
			return
		}
		q := &request{id: hr.Header.Get("Request-Id"), method: hr.Method, target: hr.RequestURI, header: hr.Header, body: body, conn: c, runner: r}
		var out []byte
		expected := hr.Header.Get("Expected-Instance")
		switch {
		case hr.URL.Path == "/health":
			out = []byte("HTTP/1.1 200 OK\r\nInstance-Id: " + r.id + "\r\nContent-Length: 0\r\n\r\n")
		case expected != "" && expected != r.id:
			out = plain(421, q.id, "", "Not-Executed: 1\r\n")
		case q.id == "":
			out = plain(400, q.id, "", "Not-Executed: 1\r\n")
		default:
			out = r.serve(q)
		}
		if out == nil {
			continue
		}
		if _, err := c.Write(out); err != nil {
			return
		}
	}
}

// signature is the value of Response-Signature of a runner's answer.
func (r *runner) signature(id string) string { return r.id + "." + id }

// plain returns an answer with a length; fields are further lines of its head.
func plain(status int, id, body, fields string) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), id, fields, len(body), body)
	return b.Bytes()
}

// signed returns a runner's own answer with a length.
func (q *request) signed(status int, body string) []byte {
	return plain(status, q.id, body, "Response-Signature: "+q.runner.signature(q.id)+"\r\n")
}

// host is a process of the gateway.
type host struct {
	name, region, zone                        string
	front, ready, directory, control, metrics string
	settings                                  string
	cmd                                       *exec.Cmd
	ended                                     chan struct{}
	log                                       *os.File
}

// addHost prepares a host; startHosts starts all of them.
func (d *deployment) addHost(name, region, zone string) (*host, error) {
	h := &host{name: name, region: region, zone: zone, settings: filepath.Join(d.folder, name+".toml")}
	for _, a := range []*string{&h.front, &h.ready, &h.directory, &h.control, &h.metrics} {
		address, err := freeAddress()
		if err != nil {
			return nil, err
		}
		*a = address
	}
	d.hosts = append(d.hosts, h)
	return h, nil
}

// writeSettings writes the settings of all hosts, as deploy/settings.tmpl renders them for the machines of
// a small deployment. extra are lines of the table of the bounds.
func (d *deployment) writeSettings(extra string) error {
	zones := map[string]string{}
	var seeds []string
	for _, h := range d.hosts {
		zones[h.zone] = h.region
		if len(seeds) < 3 {
			seeds = append(seeds, strconv.Quote(h.control))
		}
	}
	var regions strings.Builder
	for zone, region := range zones {
		fmt.Fprintf(&regions, "%s = %q\n", zone, region)
	}
	for _, h := range d.hosts {
		text := fmt.Sprintf(`name = %q
region = %q
centre = %q
callers = %q
ready = %q
directory = %q
peers = %q
metrics = %q
store = %q
seeds = [%s]
log_level = "debug"

[regions]
%s
[machine]
share = 0.4
cores = 1
link_mbps = 1000
memory_mb = 284
descriptors = 4100
[bounds]
grace_s = 8
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 54
cold_over = 1.5
cold_slack = 3
directory_ttl_s = 5
beat_ms = 1200
history_s = 20
%s`, h.name, h.region, h.zone, h.front, h.ready, h.directory, h.control, h.metrics, d.store.listener.Addr(), strings.Join(seeds, ", "), regions.String(), extra)
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return err
		}
	}
	return nil
}

// start starts the process of a host with the command of the deploy file.
func (d *deployment) startHost(h *host) error {
	var err error
	if h.log, err = os.OpenFile(filepath.Join(d.folder, h.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600); err != nil {
		return err
	}
	h.cmd = exec.Command("target/hyssopspindle", "attach")
	h.cmd.Env = append(os.Environ(), "HYSSOPSPINDLE_NODE_FILE="+h.settings)
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	if err := h.cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	h.ended = ended
	cmd, log := h.cmd, h.log
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(ended)
	}()
	d.note("host %s started, front %s", h.name, h.front)
	return nil
}

// kill ends the process of a host.
func (h *host) kill() {
	if h.cmd == nil || h.cmd.Process == nil {
		return
	}
	_ = h.cmd.Process.Kill()
	<-h.ended
}

// startHosts starts all hosts and waits until they are ready and have been so for a while.
func (d *deployment) startHosts(extra string) error {
	if err := d.writeSettings(extra); err != nil {
		return err
	}
	for _, h := range d.hosts {
		if err := d.startHost(h); err != nil {
			return err
		}
	}
	for _, h := range d.hosts {
		if err := h.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	// The contact time of the rules: the hosts are in touch from then on.
	time.Sleep(5500 * time.Millisecond)
	return nil
}

func (h *host) awaitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get((&url.URL{Scheme: "http", Host: h.ready, Path: "/api/readiness"}).String())
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("host %s is not ready", h.name)
}

// route is a route of the configuration.
func route(name, kind string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": hostName, "prefix": "/" + name + "/", "service": "rental-app", "kind": kind,
		"timeout-ms": 3000, "target-latency-ms": 500, "attempts": 2, "priority": 2,
	}
	for k, v := range more {
		r[k] = v
	}
	return r
}

// publish writes a configuration.
func (d *deployment) publish(version int, routes ...map[string]any) {
	d.store.put("op/config", map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{
			{"name": "rental-app", "health-check-path": "/health", "connection-limit": 100},
			{"name": "advisor-models", "health-check-path": "/health", "connection-limit": 490},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 5000, "idle-timeout-ms": 30000},
	})
}

// play runs a case in a folder of the review and returns the exit code.
func play(name, folder string, f func(d *deployment) error) int {
	work, err := os.MkdirTemp("", "review-second-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	d := &deployment{folder: work, trouble: os.Getenv("TROUBLE") != "0", start: time.Now()}
	defer d.close()
	if d.record, err = os.Create(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = d.record.Close() }()
	d.note("case %s, trouble %v", name, d.trouble)
	if d.store, err = newStore(); err == nil {
		err = f(d)
	}
	switch {
	case err != nil:
		d.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return 2
	case d.broken > 0:
		d.note("the rule was broken %d times", d.broken)
		return 1
	}
	d.note("the rule held")
	return 0
}

func main() {
	cases := map[string]func(d *deployment) error{
		"smuggled": smuggled,
		"memory":   memoryBurst,
		"signed":   signedFailure,
		"streams":  streamBurst,
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: second CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(os.Args[1], os.Args[2], cases[os.Args[1]]))
}
