// Package agent is a well-behaved client of the gateway: it fetches the list of
// hosts to use, honours retry delays, and keeps an operation's key across attempts.
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
	entryTimeout   = 2 * time.Second
	maxEntryBytes  = 1 << 20
	maxAnswerBytes = 64 << 20
	baseBackoff    = 100 * time.Millisecond
)

// Agent sends requests on behalf of one caller.
type Agent struct {
	// Seeds are the addresses of the hosts to use before the first host list arrives and
	// whenever no listed host answers.
	Seeds []string
	// Key is the caller's bearer key.
	Key string
	// ClientID identifies one process of the caller.
	ClientID string
	// MaxAttempts is the largest number of attempts per request.
	MaxAttempts int

	mu           sync.Mutex
	entryAnswer  entry.Answer
	entryExpires time.Time
	failedUntil  map[string]time.Time
}

// Request describes a request to the gateway.
type Request struct {
	Method   string
	Path     string
	Body     []byte
	Fields   []wire.Field
	Deadline time.Time
	// Operation marks a request that may only be retried with its operation key.
	Operation bool
	// IdleTimeout is the longest time without data from the host.
	IdleTimeout time.Duration
}

// Outcome is the result of a request after all its attempts.
type Outcome struct {
	Status int
	// Complete reports whether the complete answer arrived.
	Complete bool
	// Host is the address of the host in the last attempt.
	Host string
	// Attempts is the number of attempts.
	Attempts int
	// ServedBy is the host in a remote region that served the request, empty if it was
	// served locally.
	ServedBy string
	// Code is that of the last refusal, if there is one.
	Code fault.Code
	// Ran combines what all attempts report about the run. It is empty after a complete
	// answer.
	Ran fault.Ran
	// TimeToFirstToken is the time from the start of the attempt to the first data of
	// the answer.
	TimeToFirstToken time.Duration
	// Elapsed is the time of all attempts, with the delays between them.
	Elapsed time.Duration
	// Key is the operation key, empty if the request is not an operation.
	Key string
	// ID is the request id, the same in all attempts.
	ID  string
	Err error
}

// errNoHost is returned if no known host answered.
var errNoHost = errors.New("no host answered")

// Entry returns the list of hosts to use. It is cached until its TTL expires.
func (a *Agent) Entry(ctx context.Context) (entry.Answer, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if time.Now().Before(a.entryExpires) {
		return a.entryAnswer, nil
	}
	var addresses []string
	for _, h := range a.entryAnswer.Hosts {
		addresses = append(addresses, h.Address)
	}
	for _, address := range append(addresses, a.Seeds...) {
		fetched, err := a.fetchEntry(ctx, address)
		if err != nil {
			continue
		}
		a.entryAnswer = fetched
		a.entryExpires = time.Now().Add(time.Duration(fetched.TTLMS) * time.Millisecond)
		return fetched, nil
	}
	return a.entryAnswer, errNoHost
}

func (a *Agent) fetchEntry(ctx context.Context, address string) (entry.Answer, error) {
	var out entry.Answer
	var body []byte
	status := 0
	res := client.Do(ctx, client.Attempt{
		Address: address, Method: http.MethodGet, Path: "/v1/entry?client=" + a.ClientID,
		Fields:   []wire.Field{{Name: "Authorization", Value: "Bearer " + a.Key}},
		Deadline: time.Now().Add(entryTimeout), IdleTimeout: entryTimeout, MaxAnswerBytes: maxEntryBytes,
	}, client.Collect(&status, &body))
	if !res.Whole {
		return out, fmt.Errorf("fetch host list from %s: %w", address, res.Err)
	}
	if status != http.StatusOK {
		return out, fmt.Errorf("fetch host list from %s: status %d: %s", address, status, body)
	}
	if err := json.Unmarshal(body, &out); err != nil {
		return out, fmt.Errorf("fetch host list from %s: %w", address, err)
	}
	return out, nil
}

// hostOrder returns the host addresses in the order of the attempts, with those that
// failed recently last.
func (a *Agent) hostOrder(ctx context.Context) []string {
	answer, err := a.Entry(ctx)
	if err != nil && len(answer.Hosts) == 0 {
		return a.Seeds
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var preferred, failed []string
	for _, h := range answer.Hosts {
		if time.Now().Before(a.failedUntil[h.Address]) {
			failed = append(failed, h.Address)
			continue
		}
		preferred = append(preferred, h.Address)
	}
	return append(preferred, failed...)
}

// markFailed moves a host to the end of the order for entry.TTL.
func (a *Agent) markFailed(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.failedUntil == nil {
		a.failedUntil = map[string]time.Time{}
	}
	a.failedUntil[address] = time.Now().Add(entry.TTL)
}

// NewKey returns a new operation key with the prefix of its home host.
func (a *Agent) NewKey(ctx context.Context) (string, error) {
	answer, err := a.Entry(ctx)
	if err != nil {
		return "", err
	}
	return answer.KeyPrefix + "." + uuid.NewString(), nil
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type chatRequest struct {
	Model     string        `json:"model"`
	Stream    bool          `json:"stream"`
	MaxTokens int           `json:"max_tokens"`
	Messages  []chatMessage `json:"messages"`
}

// ChatBody returns the body of a chat completion request.
func ChatBody(model, prompt string, tokens int, stream bool) ([]byte, error) {
	body, err := json.Marshal(chatRequest{
		Model: model, Stream: stream, MaxTokens: tokens, Messages: []chatMessage{{Role: "user", Content: prompt}},
	})
	if err != nil {
		return nil, fmt.Errorf("encode chat request: %w", err)
	}
	return body, nil
}

// Do sends a request, retries it if that is safe and can succeed, and passes the
// answer to data as it arrives.
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
	req := r
	for {
		retry, wait := a.attempt(ctx, req, &out, data)
		out.Elapsed = time.Since(start)
		if !retry || !sleep(ctx, wait, r.Deadline) {
			return out
		}
	}
}

// sleep waits for d. It returns false if the deadline would pass or ctx ends first.
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

// attempt sends the request to one host and returns whether to retry and after
// which delay.
func (a *Agent) attempt(ctx context.Context, r Request, out *Outcome, data func([]byte) error) (bool, time.Duration) {
	hosts := a.hostOrder(ctx)
	if len(hosts) == 0 {
		out.Err = errNoHost
		return false, 0
	}
	address := hosts[out.Attempts%len(hosts)]
	out.Attempts++
	out.Host = address
	res := sendAttempt(ctx, a.Key, address, r, out, data)
	if res.complete {
		return false, 0
	}
	if res.interrupted {
		a.markFailed(address)
	}
	mayRetry := out.Attempts < max(1, a.MaxAttempts) && ctx.Err() == nil && !res.started
	if r.Operation && out.Ran == fault.RanNo && needsNewKey(out.Code) {
		// No attempt with the old key ran, so a new one is safe.
		a.mu.Lock()
		a.entryExpires = time.Time{}
		a.mu.Unlock()
		if key, err := a.NewKey(ctx); err == nil {
			out.Key = key
		}
	}
	return mayRetry && retryable(out.Status, res.interrupted), max(res.retryAfter, baseBackoff<<min(out.Attempts, 6))
}

// needsNewKey reports whether a refusal means that the operation key is no longer usable.
func needsNewKey(c fault.Code) bool {
	return c == fault.KeyExpired || c == fault.HomeGone || c == fault.HomeLost || c == fault.Leaving
}

// retryable reports whether another attempt could succeed.
func retryable(status int, interrupted bool) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusBadGateway, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return true
	}
	return interrupted
}

// attemptResult is the result of one attempt. All flags are false after a refusal.
type attemptResult struct {
	complete bool
	// started reports whether data of the answer was received.
	started bool
	// interrupted reports whether the answer is missing or incomplete.
	interrupted bool
	retryAfter  time.Duration
}

type errorBody struct {
	Error struct {
		Code    fault.Code `json:"code"`
		Message string     `json:"message"`
		Ran     fault.Ran  `json:"ran"`
	} `json:"error"`
}

// sendAttempt sends the request to the host at address and stores the result in out.
func sendAttempt(ctx context.Context, key, address string, r Request, out *Outcome, data func([]byte) error) attemptResult {
	fields := append([]wire.Field{
		{Name: "Authorization", Value: "Bearer " + key},
		{Name: "X-Request-Id", Value: out.ID},
		{Name: "X-Request-Timeout", Value: strconv.FormatInt(max(1, time.Until(r.Deadline).Milliseconds()), 10)},
	}, r.Fields...)
	if r.Operation {
		fields = append(fields, wire.Field{Name: "Idempotency-Key", Value: out.Key})
		if out.Attempts == 1 {
			// Tells the host that no earlier attempt can have run the operation.
			fields = append(fields, wire.Field{Name: "X-Attempt", Value: "1"})
		}
	}
	var result attemptResult
	var errBody []byte
	earlier := out.Ran
	if earlier == "" {
		earlier = fault.RanNo
	}
	out.Status, out.Code, out.ServedBy = 0, "", ""
	start := time.Now()
	res := client.Do(ctx, client.Attempt{
		Address: address, Method: r.Method, Path: r.Path, Fields: fields, Body: r.Body,
		Deadline: r.Deadline, IdleTimeout: r.IdleTimeout, MaxAnswerBytes: maxAnswerBytes,
	}, client.Sink{
		Head: func(h wire.Head) error {
			out.Status = h.Status()
			result.retryAfter = retryAfterOf(h)
			out.ServedBy = headerValue(h, "X-Served-By")
			return nil
		},
		Data: func(p []byte) error {
			if out.Status >= http.StatusBadRequest {
				errBody = append(errBody, p...)
				return nil
			}
			result.started = true
			if out.TimeToFirstToken == 0 {
				out.TimeToFirstToken = time.Since(start)
			}
			return data(p)
		},
	})
	out.Err = res.Err
	if out.Status >= http.StatusBadRequest {
		ran := fault.RanUnknown
		var e errorBody
		if json.Unmarshal(errBody, &e) == nil && e.Error.Ran != "" {
			out.Code, ran = e.Error.Code, e.Error.Ran
		}
		out.Complete, out.Ran = false, earlier.Combine(ran)
		result.interrupted = !res.Whole
		return result
	}
	result.complete, result.interrupted = res.Whole, !res.Whole
	out.Complete = res.Whole
	if res.Whole {
		out.Code, out.Ran, out.Err = "", "", nil
	} else {
		out.Ran = fault.RanUnknown
	}
	return result
}

// headerValue returns the value of a header field, empty if it is missing.
func headerValue(h wire.Head, name string) string {
	for _, f := range h.Fields() {
		if f.Name == name {
			return f.Value
		}
	}
	return ""
}

// retryAfterOf returns the retry delay in a response, 0 if there is none.
func retryAfterOf(h wire.Head) time.Duration {
	n, err := strconv.ParseInt(headerValue(h, "Retry-After-Ms"), 10, 64)
	if err != nil || n <= 0 {
		return 0
	}
	return time.Duration(n) * time.Millisecond
}
