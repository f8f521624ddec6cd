// Package replay runs a trace as an open loop: it sends each request at its due
// time without waiting for earlier answers, so that a slow system does not slow
// down its own load.
package replay

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

// Sample is the measured result of one request.
type Sample struct {
	Item    trace.Item
	Outcome agent.Outcome
	// TimeToFirstToken is the time to the first data of the answer, Elapsed the time to
	// the end of the request, both from the time at which the request was due.
	TimeToFirstToken time.Duration
	Elapsed          time.Duration
	// MaxGap is the longest time between two pieces of data of the answer.
	MaxGap time.Duration
}

// InTime reports whether the complete answer arrived before the deadline.
func (s Sample) InTime() bool { return s.Outcome.Complete && s.Elapsed <= s.Item.Deadline() }

// Options configure a run.
type Options struct {
	// Seeds are the addresses of seed hosts by region. Regions without an entry use the
	// addresses under "".
	Seeds map[string][]string
	// Key returns a caller's bearer key.
	Key func(caller string) string
	// MaxAttempts is the largest number of attempts per request.
	MaxAttempts int
	// Progress is called about once a second.
	Progress func(sent, done int)
}

const idleTimeout = 30 * time.Second

// Run sends the requests of a trace and returns a sample of each one sent, in order.
func Run(ctx context.Context, items []trace.Item, o Options) []Sample {
	d := &driver{options: o, agents: map[string]*agent.Agent{}, samples: make([]Sample, len(items))}
	start := time.Now()
	stop := d.reportProgress()
	var requests sync.WaitGroup
	sent := 0
	for i, it := range items {
		if !sleepUntil(ctx, start.Add(it.SendTime())) {
			break
		}
		sent++
		due := start.Add(it.SendTime())
		d.addCounts(1, 0)
		requests.Go(func() {
			d.samples[i] = d.send(ctx, it, due, i)
			d.addCounts(0, 1)
		})
	}
	requests.Wait()
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

func (d *driver) addCounts(sent, done int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sent += sent
	d.done += done
}

// reportProgress calls the progress function every second until the returned function
// is called.
func (d *driver) reportProgress() func() {
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

// sleepUntil waits until at. It returns false if ctx ends first.
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

// clientsPerCaller is the number of client processes simulated for each caller.
const clientsPerCaller = 8

// agentFor returns the agent for request n; the requests of a caller rotate through its
// clients.
func (d *driver) agentFor(it trace.Item, n int) *agent.Agent {
	d.mu.Lock()
	defer d.mu.Unlock()
	name := fmt.Sprintf("%s/%s/%d", it.Caller, it.Region, n%clientsPerCaller)
	a, ok := d.agents[name]
	if !ok {
		seeds := d.options.Seeds[it.Region]
		if len(seeds) == 0 {
			seeds = d.options.Seeds[""]
		}
		a = &agent.Agent{Seeds: seeds, Key: d.options.Key(it.Caller), ClientID: name, MaxAttempts: d.options.MaxAttempts}
		d.agents[name] = a
	}
	return a
}

// bytesPerToken is the size of a token as the stand-in engine counts it.
const bytesPerToken = 4

// promptText returns a prompt of it.PromptTokens tokens, or more if the prefix is
// longer. Prompts with the same it.Prefix share a prompt prefix.
func promptText(it trace.Item, unique int) string {
	prefix := it.Prefix
	if prefix == "" {
		prefix = fmt.Sprintf("alone-%d-%d", it.AtMS, unique)
	}
	// More than the 1024 bytes that hosts and engines compare as the prompt prefix.
	const minPrefixBytes = 1200
	text := strings.Repeat(prefix+" ", minPrefixBytes/(len(prefix)+1)+1)
	if n := it.PromptTokens*bytesPerToken - len(text); n > 0 {
		text += strings.Repeat("x", n)
	}
	return text
}

func (d *driver) send(ctx context.Context, it trace.Item, due time.Time, n int) Sample {
	a := d.agentFor(it, n)
	r := agent.Request{
		Method: it.Method, Path: "/v1/call/" + it.Service + it.Path, Operation: it.Operation,
		Deadline: due.Add(it.Deadline()), IdleTimeout: idleTimeout,
	}
	if it.Path == "" {
		body, err := agent.ChatBody(it.Service, promptText(it, n), max(1, it.AnswerTokens), true)
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
			s.TimeToFirstToken = now.Sub(due)
		} else {
			s.MaxGap = max(s.MaxGap, now.Sub(last))
		}
		last = now
		return nil
	})
	s.Elapsed = time.Since(due)
	return s
}
