// Package drive sends the requests of a trace at their times, whatever becomes
// of the earlier ones, so that a slow system does not slow its own load.
package drive

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/base/ctrl"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/load/agent"
	"github.com/hyssopspindle/hyssopspindle/internal/load/trace"
)

// Sample is what became of one request.
type Sample struct {
	Item    trace.Item
	Outcome agent.Outcome
	// First and Took are from the time at which the request was due.
	First time.Duration
	Took  time.Duration
	// Gap is the longest time between parts of the answer.
	Gap time.Duration
}

// InTime reports whether the whole answer came before its deadline.
func (s Sample) InTime() bool { return s.Outcome.Whole && s.Took <= s.Item.Deadline() }

// Options say how to send.
type Options struct {
	// Seeds are hosts to ask first, by region; those of "" serve for any.
	Seeds map[string][]string
	// Key returns the bearer key of a caller.
	Key func(caller string) string
	// Tries bounds the attempts of a request.
	Tries int
	// Progress is called about once a second.
	Progress func(sent, done int)
}

const silence = 30 * time.Second

// Run sends a trace and returns what became of each request, in order.
func Run(ctx context.Context, items []trace.Item, o Options) []Sample {
	d := &driver{options: o, agents: map[string]*agent.Agent{}, samples: make([]Sample, len(items))}
	start := time.Now()
	stop := d.progress()
	var wait sync.WaitGroup
	sent := 0
	for i, it := range items {
		if !sleepUntil(ctx, start.Add(it.At())) {
			break
		}
		sent++
		due := start.Add(it.At())
		d.count(1, 0)
		wait.Go(func() {
			d.samples[i] = d.send(ctx, it, due, i)
			d.count(0, 1)
		})
	}
	wait.Wait()
	stop()
	return d.samples[:sent]
}

type driver struct {
	options Options
	samples []Sample

	mu     sync.Mutex
	agents map[string]*agent.Agent
	sent   int
	done   int
}

func (d *driver) count(sent, done int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent += sent
	d.done += done
}

func (d *driver) progress() func() {
	if d.options.Progress == nil {
		return func() {}
	}
	return ctrl.Every(time.Second, func() bool {
		d.mu.Lock()
		sent, done := d.sent, d.done
		d.mu.Unlock()
		d.options.Progress(sent, done)
		return true
	})
}

func sleepUntil(ctx context.Context, at time.Time) bool {
	t := time.NewTimer(time.Until(at))
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// clientsPerCaller is the number of processes that each caller is taken to have.
const clientsPerCaller = 8

func (d *driver) agent(it trace.Item, n int) *agent.Agent {
	d.mu.Lock()
	defer d.mu.Unlock()
	name := fmt.Sprintf("%s/%s/%d", it.Caller, it.Region, n%clientsPerCaller)
	a, ok := d.agents[name]
	if !ok {
		seeds := d.options.Seeds[it.Region]
		if len(seeds) == 0 {
			seeds = d.options.Seeds[""]
		}
		a = &agent.Agent{Seeds: seeds, Key: d.options.Key(it.Caller), Client: name, MaxTries: d.options.Tries}
		d.agents[name] = a
	}
	return a
}

// bytesPerToken is what the stand-in engine counts.
const bytesPerToken = 4

// prompt returns a prompt of so many tokens; all with one prefix begin alike.
func prompt(it trace.Item, unique int) string {
	begin := it.Prefix
	if begin == "" {
		begin = fmt.Sprintf("alone-%d-%d", it.AtMS, unique)
	}
	const beginning = 1200
	text := strings.Repeat(begin+" ", beginning/(len(begin)+1)+1)
	if n := it.Prompt*bytesPerToken - len(text); n > 0 {
		text += strings.Repeat("x", n)
	}
	return text
}

func (d *driver) send(ctx context.Context, it trace.Item, due time.Time, n int) Sample {
	a := d.agent(it, n)
	r := agent.Request{
		Method: it.Method, Path: "/v1/call/" + it.Service + it.Path, Operation: it.Operation,
		Deadline: due.Add(it.Deadline()), Silence: silence,
	}
	if it.Path == "" {
		body, err := agent.Chat(it.Service, prompt(it, n), max(1, it.Tokens), true)
		if err != nil {
			return Sample{Item: it, Outcome: agent.Outcome{Err: err}}
		}
		r.Method, r.Path, r.Body = http.MethodPost, "/v1/chat/completions", body
		r.Fields = []wire.Field{{Name: "Content-Type", Value: "application/json"}}
	}
	s := Sample{Item: it}
	var last time.Time
	s.Outcome = a.Do(ctx, r, func([]byte) error {
		now := time.Now()
		if last.IsZero() {
			s.First = now.Sub(due)
		} else {
			s.Gap = max(s.Gap, now.Sub(last))
		}
		last = now
		return nil
	})
	s.Took = time.Since(due)
	return s
}
