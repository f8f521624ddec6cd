// Package agent is a well-behaved caller: it asks which hosts to use, honours
// when to come back, and keeps the key of an operation over its attempts.
package agent

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/wire"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/entry"
)

const (
	entryTimeout = 2 * time.Second
	entryLimit   = 1 << 20
	answerLimit  = 64 << 20
	firstBackoff = 100 * time.Millisecond
)

// Agent calls on behalf of one caller.
type Agent struct {
	// Seeds are hosts to ask first.
	Seeds []string
	Key   string
	// Client tells apart the processes of one caller.
	Client string
	// MaxTries bounds the attempts of a request.
	MaxTries int

	mu     sync.Mutex
	answer entry.Answer
	until  time.Time
	down   map[string]time.Time
}

// Request is one request.
type Request struct {
	Method   string
	Path     string
	Body     []byte
	Fields   []wire.Field
	Deadline time.Time
	// Operation says that the request may not be repeated without its key.
	Operation bool
	// Silence bounds the time without progress.
	Silence time.Duration
}

// Outcome is how a request ended.
type Outcome struct {
	Status int
	// Whole says that the whole answer arrived.
	Whole bool
	Host  string
	Tries int
	// Served is the host of another region that carried the request out.
	Served string
	// Code and Ran are those of a refusal.
	Code  fault.Code
	Ran   fault.Ran
	First time.Duration
	Took  time.Duration
	Key   string
	ID    string
	Err   error
}

// errNoHost is the error of an agent that no host answers.
var errNoHost = errors.New("no host answers")

// Entry returns which hosts to use, asked again when its time is over.
func (a *Agent) Entry(ctx context.Context) (entry.Answer, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Now().Before(a.until) {
		return a.answer, nil
	}
	var addresses []string
	for _, h := range a.answer.Hosts {
		addresses = append(addresses, h.Address)
	}
	for _, address := range append(addresses, a.Seeds...) {
		got, err := a.ask(ctx, address)
		if err != nil {
			continue
		}
		a.answer = got
		a.until = time.Now().Add(time.Duration(got.TTLMS) * time.Millisecond)
		return got, nil
	}
	return a.answer, errNoHost
}

func (a *Agent) ask(ctx context.Context, address string) (entry.Answer, error) {
	var out entry.Answer
	var body []byte
	status := 0
	res := client.Do(ctx, client.Attempt{
		Address: address, Method: http.MethodGet, Path: "/v1/entry?client=" + a.Client,
		Fields:   []wire.Field{{Name: "Authorization", Value: "Bearer " + a.Key}},
		Deadline: time.Now().Add(entryTimeout), Silence: entryTimeout, MaxAnswer: entryLimit,
	}, client.Collect(&status, &body))
	if !res.Whole {
		return out, fmt.Errorf("ask %s: %w", address, res.Err)
	}
	if status != http.StatusOK {
		return out, fmt.Errorf("ask %s: status %d: %s", address, status, body)
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return out, fmt.Errorf("ask %s: %w", address, err)
	}
	return out, nil
}

// hosts returns the addresses in the order to try them; ones that failed lately
// come last.
func (a *Agent) hosts(ctx context.Context) []string {
	answer, err := a.Entry(ctx)
	if err != nil && len(answer.Hosts) == 0 {
		return a.Seeds
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var good, bad []string
	for _, h := range answer.Hosts {
		if time.Now().Before(a.down[h.Address]) {
			bad = append(bad, h.Address)
			continue
		}
		good = append(good, h.Address)
	}
	return append(good, bad...)
}

func (a *Agent) fail(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.down == nil {
		a.down = map[string]time.Time{}
	}
	a.down[address] = time.Now().Add(entry.TTL)
}

// NewKey returns a fresh operation key.
func (a *Agent) NewKey(ctx context.Context) (string, error) {
	answer, err := a.Entry(ctx)
	if err != nil {
		return "", err
	}
	return answer.Home + "." + uuid.NewString(), nil
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type question struct {
	Model     string    `json:"model"`
	Stream    bool      `json:"stream"`
	MaxTokens int       `json:"max_tokens"`
	Messages  []message `json:"messages"`
}

// Chat returns the body of an inference request.
func Chat(model, prompt string, tokens int, stream bool) ([]byte, error) {
	body, err := json.Marshal(question{
		Model: model, Stream: stream, MaxTokens: tokens, Messages: []message{{Role: "user", Content: prompt}},
	})
	if err != nil {
		return nil, fmt.Errorf("write request: %w", err)
	}
	return body, nil
}

// Do sends a request, again where that is safe and helps, and passes the answer
// to data as it arrives.
func (a *Agent) Do(ctx context.Context, r Request, data func([]byte) error) Outcome {
	start := time.Now()
	out := Outcome{ID: uuid.NewString()}
	if r.Operation {
		key, err := a.NewKey(ctx)
		if err != nil {
			out.Err = err
			return out
		}
		out.Key = key
	}
	again := r
	for {
		next, wait := a.try(ctx, again, &out, data)
		out.Took = time.Since(start)
		if !next || !sleep(ctx, wait, r.Deadline) {
			return out
		}
	}
}

// sleep waits; it reports false where the deadline or ctx comes first.
func sleep(ctx context.Context, d time.Duration, deadline time.Time) bool {
	if time.Now().Add(d).After(deadline) {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// try makes one attempt and says whether and when to make another one.
func (a *Agent) try(ctx context.Context, r Request, out *Outcome, data func([]byte) error) (bool, time.Duration) {
	hosts := a.hosts(ctx)
	if len(hosts) == 0 {
		out.Err = errNoHost
		return false, 0
	}
	address := hosts[out.Tries%len(hosts)]
	out.Tries++
	out.Host = address
	got := attempt(ctx, a.Key, address, r, out, data)
	if got.whole {
		return false, 0
	}
	if got.lost {
		a.fail(address)
	}
	more := out.Tries < max(1, a.MaxTries) && ctx.Err() == nil && !got.begun
	if r.Operation && !got.lost && out.Ran == fault.RanNo && rekey(out.Code) {
		// Nothing was run under the old key, so a new one is safe.
		a.mu.Lock()
		a.until = time.Time{}
		a.mu.Unlock()
		if key, err := a.NewKey(ctx); err == nil {
			out.Key = key
		}
	}
	return more && helps(out.Status, got.lost), max(got.after, firstBackoff<<min(out.Tries, 6))
}

func rekey(c fault.Code) bool {
	return c == fault.KeyExpired || c == fault.HomeGone || c == fault.HomeLost || c == fault.Leaving
}

// helps reports whether another attempt may end better.
func helps(status int, lost bool) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return lost
}

type reply struct {
	whole bool
	begun bool
	// lost says that the host did not answer.
	lost  bool
	after time.Duration
}

type errorBody struct {
	Error struct {
		Code    fault.Code `json:"code"`
		Message string     `json:"message"`
		Ran     fault.Ran  `json:"ran"`
	} `json:"error"`
}

func attempt(ctx context.Context, key, address string, r Request, out *Outcome, data func([]byte) error) reply {
	fields := append([]wire.Field{
		{Name: "Authorization", Value: "Bearer " + key},
		{Name: "X-Request-Id", Value: out.ID},
		{Name: "X-Request-Timeout", Value: strconv.FormatInt(max(1, time.Until(r.Deadline).Milliseconds()), 10)},
	}, r.Fields...)
	if r.Operation {
		fields = append(fields, wire.Field{Name: "Idempotency-Key", Value: out.Key})
		if out.Tries == 1 {
			fields = append(fields, wire.Field{Name: "X-Attempt", Value: "1"})
		}
	}
	var rep reply
	var problem []byte
	start := time.Now()
	res := client.Do(ctx, client.Attempt{
		Address: address, Method: r.Method, Path: r.Path, Fields: fields, Body: r.Body,
		Deadline: r.Deadline, Silence: r.Silence, MaxAnswer: answerLimit,
	}, client.Sink{
		Head: func(h wire.Head) error {
			out.Status = h.Status
			rep.after = afterOf(h)
			out.Served = valueOf(h, "X-Served-By")
			return nil
		},
		Data: func(p []byte) error {
			if out.Status >= http.StatusBadRequest {
				problem = append(problem, p...)
				return nil
			}
			rep.begun = true
			if out.First == 0 {
				out.First = time.Since(start)
			}
			return data(p)
		},
	})
	out.Err = res.Err
	if out.Status >= http.StatusBadRequest {
		var e errorBody
		if json.Unmarshal(problem, &e) == nil {
			out.Code, out.Ran = e.Error.Code, e.Error.Ran
		}
		out.Whole = false
		return rep
	}
	rep.whole, rep.lost = res.Whole, !res.Whole
	out.Whole = res.Whole
	if res.Whole {
		out.Code, out.Ran, out.Err = "", "", nil
	} else {
		out.Ran = fault.RanUnknown
	}
	return rep
}

func valueOf(h wire.Head, name string) string {
	for _, f := range h.Fields {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

func afterOf(h wire.Head) time.Duration {
	n, err := strconv.ParseInt(valueOf(h, "Retry-After-Ms"), 10, 64)
	if err != nil || n <= 0 {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}
