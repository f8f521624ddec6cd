package host

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/pelletier/go-toml/v2"

	"github.com/hyssopspindle/hyssopspindle/internal/base/seeds"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/admin"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/engine"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/plain"
	"github.com/hyssopspindle/hyssopspindle/internal/stand/platf"
)

// process is a host that runs in a separate process.
type process struct {
	cmd  *exec.Cmd
	log  bytes.Buffer
	done chan error
}

var program struct {
	once sync.Once
	path string
	err  error
}

// buildProgram builds the program, once for all tests, and returns its path.
func buildProgram(t testing.TB) string {
	t.Helper()
	program.once.Do(func() {
		folder, err := os.MkdirTemp("", "hyssopspindle")
		if err != nil {
			program.err = err
			return
		}
		program.path = filepath.Join(folder, "hyssopspindle")
		out, err := exec.Command("go", "build", "-o", program.path, "../../../cmd/hyssopspindle").CombinedOutput()
		if err != nil {
			program.err = fmt.Errorf("%w: %s", err, out)
		}
	})
	if program.err != nil {
		t.Fatal(program.err)
	}
	return program.path
}

func TestMain(m *testing.M) {
	code := m.Run()
	if program.path != "" {
		_ = os.RemoveAll(filepath.Dir(program.path))
	}
	os.Exit(code)
}

func (f *fleet) startProcess(name string) {
	f.t.Helper()
	data, err := toml.Marshal(f.settings[name])
	if err != nil {
		f.t.Fatal(err)
	}
	file := filepath.Join(f.folder, name+".toml")
	if err := os.WriteFile(file, data, 0o600); err != nil {
		f.t.Fatal(err)
	}
	p := &process{cmd: exec.Command(buildProgram(f.t), "serve", "--settings", file), done: make(chan error, 1)}
	p.cmd.Stderr = &p.log
	if err := p.cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	go func() { p.done <- p.cmd.Wait() }()
	f.procs[name] = p
	f.t.Cleanup(func() {
		if f.procs[name] == p {
			_ = p.cmd.Process.Signal(syscall.SIGCONT)
			f.kill(name)
		}
	})
}

func (f *fleet) signal(name string, s syscall.Signal) {
	f.t.Helper()
	if err := f.procs[name].cmd.Process.Signal(s); err != nil {
		f.t.Error(err)
	}
}

// pause stops a host's process and waits until all its threads have stopped, as the signal only
// requests it.
func (f *fleet) pause(name string) {
	f.t.Helper()
	f.signal(name, syscall.SIGSTOP)
	f.eventually(name+" has stopped", func() bool {
		files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", f.procs[name].cmd.Process.Pid))
		if err != nil || len(files) == 0 {
			return false
		}
		return !slices.ContainsFunc(files, func(file string) bool {
			stat, err := os.ReadFile(file)
			// The state follows the name in parentheses.
			i := strings.LastIndex(string(stat), ") ")
			return err != nil || i < 0 || stat[i+2] != 'T'
		})
	})
}

// kill sends SIGKILL to a host's process and waits until it has ended.
func (f *fleet) kill(name string) {
	f.t.Helper()
	f.signal(name, syscall.SIGKILL)
	f.t.Logf("%s ended: %v", name, <-f.procs[name].done)
	delete(f.procs, name)
}

// getAdmin decodes a JSON document of a host's admin listener into out and reports
// whether that succeeded.
func (f *fleet) getAdmin(name, path string, out any) bool {
	var status int
	var body []byte
	res := client.Do(context.Background(), client.Attempt{
		Address: f.settings[name].Admin, Method: "GET", Path: path, Deadline: time.Now().Add(waitTimeout), IdleTimeout: waitTimeout,
		Fields: headerFields("Authorization", "Bearer "+adminKey), MaxAnswerBytes: 1 << 20,
	}, client.Collect(&status, &body))
	return res.Whole && status == 200 && json.Unmarshal(body, out) == nil
}

func (f *fleet) waitProcessesJoined() {
	f.t.Helper()
	f.eventually("all processes are ready and see each other alive", func() bool {
		for name := range f.procs {
			var s admin.State
			var list []admin.Member
			if !f.getAdmin(name, "/admin/state", &s) || !f.getAdmin(name, "/admin/members", &list) || !s.Ready {
				return false
			}
			alive := 0
			for _, m := range list {
				if m.State == "alive" && !m.Leaving {
					alive++
				}
			}
			if alive < len(f.procs)-1 {
				return false
			}
		}
		return true
	})
}

// TestKilledHome: after the home host is killed while it runs an operation, every
// retry of the operation is answered with ran unknown, and nothing runs twice.
func TestKilledHome(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a", "a2": "a"}, plains: map[string]string{"p1": "a"}, processes: true})
	key := f.operationPrefix("a1") + ".k"
	f.plains["p1"].SetFault(plain.Fault{Times: 1, DelayMS: 5000})
	first := make(chan reply)
	go func() { first <- f.sendOperation("a2", key) }()
	f.eventually("the operation runs", func() bool { return len(f.plains["p1"].Effects()) == 1 })
	f.kill("a1")
	if p := (<-first).problem(t); p.Error.Ran != "unknown" {
		t.Errorf("home host killed during the operation: got %+v, want ran unknown", p)
	}
	f.startProcess("a1")
	f.waitProcessesJoined()
	for range 3 {
		for _, host := range f.order {
			if p := f.sendOperation(host, key).problem(t); p.Error.Ran != "unknown" {
				t.Errorf("retry at %s: got %+v, want ran unknown", host, p)
			}
		}
	}
	f.runsByKey()
	if r := f.sendOperation("a2", f.operationPrefix("a2")+".n"); r.status != 200 {
		t.Errorf("new operation: %d %q", r.status, r.body)
	}
}

// TestFrozenHome: a home host that is paused for a while runs no operation that is
// past its deadline, and still has the answers of the operations that it ran.
func TestFrozenHome(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{hosts: map[string]string{"a1": "a", "a2": "a"}, plains: map[string]string{"p1": "a"}, processes: true})
	prefix := f.operationPrefix("a1")
	if r := f.sendOperation("a2", prefix+".before"); r.status != 200 {
		t.Fatalf("before: %d %q", r.status, r.body)
	}
	f.pause("a1")
	p := f.sendOperation("a2", prefix+".frozen", withHeader("X-Request-Timeout", "1000")).problem(t)
	if p.Error.Ran != "unknown" {
		t.Errorf("new operation at a paused home host: got %+v, want ran unknown", p)
	}
	if p := f.sendOperation("a2", prefix+".before").problem(t); p.Error.Ran != "unknown" {
		t.Errorf("retry at a paused home host: got %+v, want ran unknown", p)
	}
	f.signal("a1", syscall.SIGCONT)
	f.eventually("the home host returns the operation's answer", func() bool { return f.sendOperation("a2", prefix+".before").status == 200 })
	var s admin.State
	if !f.getAdmin("a1", "/admin/state", &s) || s.Pauses == 0 {
		t.Errorf("the pause was not detected: %+v", s)
	}
	runs := f.runsByKey()
	if runs[prefix+".frozen"] != 0 {
		t.Error("the home host ran an operation past its deadline after the pause")
	}
	if runs[prefix+".before"] != 1 {
		t.Errorf("got runs %v, want one of the operation before the pause", runs)
	}
}

// TestTermination: SIGTERM under load cuts no request, and the process exits with
// code 0 once no request is in flight.
func TestTermination(t *testing.T) {
	t.Parallel()
	f := newFleet(t, plan{
		hosts:   map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"},
		engines: map[string]string{"e1": "b"}, plains: map[string]string{"p1": "b"},
		engine: engine.Config{Slots: 64, Decode: 10 * time.Millisecond}, processes: true,
	})
	for _, leaving := range []string{"a1", "b1"} {
		var wait sync.WaitGroup
		before := len(f.engines["e1"].Records())
		for i := range 10 {
			wait.Go(func() {
				id := fmt.Sprintf("%s-%d", leaving, i)
				r := f.send(context.Background(), "a1", "POST", chatPath, chatBody(150, true), withHeader("X-Request-Id", id))
				if !r.ok() || streamedText(t, r.body) != engine.AnswerText(id, 150) {
					t.Errorf("%s was cut: %d %v", id, r.status, r.res.Err)
				}
			})
		}
		f.eventually("all answers are in flight", func() bool { return len(f.engines["e1"].Records()) == before+10 })
		f.signal(leaving, syscall.SIGTERM)
		wait.Wait()
		if err := <-f.procs[leaving].done; err != nil {
			t.Errorf("%s ended with %v: %s", leaving, err, f.procs[leaving].log.String())
		}
		f.startProcess(leaving)
		f.waitProcessesJoined()
	}
}

// ledger records the outcomes that callers received.
type ledger struct {
	mu sync.Mutex
	// outcomes maps an operation key to the results of outcomeOf, in the order of
	// the attempts.
	outcomes map[string][]string
}

func (l *ledger) add(key, outcome string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[key] = append(l.outcomes[key], outcome)
}

// faultRun is the state of one run of TestCombinedFaults.
type faultRun struct {
	*fleet
	seed   uint64
	ledger ledger
	ctx    context.Context
	wait   sync.WaitGroup
}

// TestCombinedFaults injects two or three random faults at a time under load and
// compares every answer with the runs that the stand-ins recorded.
func TestCombinedFaults(t *testing.T) {
	t.Parallel()
	seed, err := strconv.ParseUint(seeds.Value(), 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("seed %d; set %s to use another one", seed, seeds.EnvVariable)
	f := newFleet(t, plan{
		hosts:   map[string]string{"a1": "a", "a2": "a", "b1": "b", "b2": "b"},
		engines: map[string]string{"ea": "a", "eb": "b"}, plains: map[string]string{"pa": "a", "pb": "b"},
		engine: engine.Config{Slots: 32, Decode: 3 * time.Millisecond}, processes: true,
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	r := &faultRun{fleet: f, seed: seed, ledger: ledger{outcomes: map[string][]string{}}, ctx: ctx}
	for i := range 4 {
		r.wait.Go(func() { r.sendStreams(i) })
		r.wait.Go(func() { r.sendOperations(i) })
	}
	rnd := rand.New(rand.NewPCG(seed, 1))
	for range 3 {
		var undo []func()
		for _, i := range rnd.Perm(6)[:2+rnd.IntN(2)] {
			undo = append(undo, r.inject(i, f.order[rnd.IntN(len(f.order))]))
		}
		time.Sleep(time.Duration(500+rnd.IntN(3000)) * time.Millisecond)
		for _, u := range undo {
			u()
		}
		f.waitProcessesJoined()
	}
	cancel()
	r.wait.Wait()
	r.checkOutcomes()
}

// inject starts fault i, at a host if it affects one, and returns the function that
// ends it.
func (r *faultRun) inject(i int, host string) func() {
	switch i {
	case 0:
		r.t.Logf("%s is killed", host)
		r.kill(host)
		return func() { r.startProcess(host) }
	case 1:
		if r.procs[host] == nil {
			return func() {}
		}
		r.t.Logf("%s is paused", host)
		p := r.procs[host]
		r.signal(host, syscall.SIGSTOP)
		return func() { _ = p.cmd.Process.Signal(syscall.SIGCONT) }
	case 2:
		r.t.Log("region a is partitioned")
		r.isolate("a")
		return r.heal
	case 3:
		r.t.Log("the platform is down")
		r.platform.SetFault(platf.Fault{Down: true})
		return func() { r.platform.SetFault(platf.Fault{}) }
	case 4:
		r.t.Log("engine ea goes silent, endpoint pa cuts its answers")
		r.engines["ea"].SetFault(engine.Fault{SilentAfter: 3})
		r.plains["pa"].SetFault(plain.Fault{CutAfter: true})
		return func() {
			r.engines["ea"].SetFault(engine.Fault{})
			r.plains["pa"].SetFault(plain.Fault{})
		}
	}
	r.t.Logf("the packets of existing flows of %s are dropped", host)
	r.loseFlows(host)
	return func() {}
}

// sendStreams sends inference requests until the context ends. Each answer must be
// the request's own, and a partial one must not end as whole.
func (r *faultRun) sendStreams(worker int) {
	for n := 0; r.ctx.Err() == nil; n++ {
		id := fmt.Sprintf("s%d-%d", worker, n)
		got := r.send(context.Background(), r.order[(worker+n)%4], "POST", chatPath, chatBody(20, true),
			withHeader("X-Request-Id", id), withHeader("X-Request-Timeout", "5000"))
		if got.status != 200 {
			continue
		}
		text := streamedText(r.t, strings.Split(got.body, "event: error")[0])
		want := engine.AnswerText(id, 20)
		if !strings.HasPrefix(want, text) || (got.res.Whole && text != want) {
			r.t.Errorf("%s: whole %v, got %q", id, got.res.Whole, text)
		}
	}
}

// sendOperations sends operations until the context ends, each one to several
// hosts, and records the outcomes.
func (r *faultRun) sendOperations(worker int) {
	for n := 0; r.ctx.Err() == nil; n++ {
		home := r.order[(worker+n)%4]
		first := r.send(context.Background(), home, "POST", orderPath, "", withHeader("X-Request-Timeout", "1000"))
		prefix := first.fields["X-Operation-Prefix"]
		if prefix == "" {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		key := fmt.Sprintf("%s.o%d-%d", prefix, worker, n)
		for i := range 3 {
			got := r.sendOperation(r.order[(worker+n+i)%4], key, withHeader("X-Request-Timeout", "3000"), attemptNumber(i))
			r.ledger.add(key, outcomeOf(got))
		}
	}
}

func attemptNumber(i int) attemptOption { return withHeader("X-Attempt", strconv.Itoa(i+1)) }

// outcomeOf returns "whole" for a whole answer, the ran value of a refusal, or
// "nothing".
func outcomeOf(r reply) string {
	if r.res.Whole && r.status == 200 {
		return "whole"
	}
	var p problem
	if json.Unmarshal([]byte(r.body), &p) == nil && p.Error.Ran != "" {
		return p.Error.Ran
	}
	return "nothing"
}

// checkOutcomes compares the outcomes that callers received with the runs at the
// endpoints.
func (r *faultRun) checkOutcomes() {
	runs := r.runsByKey()
	count := map[string]int{}
	for key, answers := range r.ledger.outcomes {
		all := strings.Join(answers, " ")
		for _, a := range answers {
			count[a]++
		}
		if strings.Contains(all, "whole") && runs[key] != 1 {
			r.t.Errorf("callers got outcomes %s, but the operation ran %d times", all, runs[key])
		}
		if strings.Trim(strings.ReplaceAll(all, "no", ""), " ") == "" && runs[key] != 0 {
			r.t.Errorf("callers got outcomes %s, but the operation ran %d times", all, runs[key])
		}
	}
	r.t.Logf("%d operations: %v", len(r.ledger.outcomes), count)
	if count["whole"] == 0 {
		r.t.Error("no operation was answered")
	}
}

func headerFields(name, value string) []wire.Field { return []wire.Field{{Name: name, Value: value}} }
