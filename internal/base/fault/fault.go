// Package fault defines the typed refusals that callers and peer hosts receive.
package fault

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Ran states whether the operation of a request was run.
type Ran string

// The values of Ran. RanNo is used only if it is certain for every attempt that the
// answering host is responsible for.
const (
	RanNo      Ran = "no"
	RanYes     Ran = "yes"
	RanUnknown Ran = "unknown"
)

// Combine combines the values of two attempts at the same operation: unknown if either
// is unknown, else yes if either is yes. A value of another build of the program counts as unknown.
func (r Ran) Combine(other Ran) Ran {
	for _, v := range []Ran{r, other} {
		if v != RanNo && v != RanYes {
			return RanUnknown
		}
	}
	if r == RanYes || other == RanYes {
		return RanYes
	}
	return RanNo
}

// Code identifies the reason for a refusal.
type Code string

// All refusal codes. BadKey concerns the caller's bearer key, KeyMissing to KeyReused
// concern operation keys, and HomeLost to HomeFull the home host of an operation.
const (
	BadRequest     Code = "bad_request"
	BadKey         Code = "bad_key"
	Forbidden      Code = "forbidden"
	NoService      Code = "no_service"
	NoRoute        Code = "no_route"
	TooLarge       Code = "too_large"
	RateLimit      Code = "rate_limit"
	Busy           Code = "busy"
	QueueFull      Code = "queue_full"
	Deadline       Code = "deadline"
	NoRegion       Code = "no_region"
	NoEndpoint     Code = "no_endpoint"
	Leaving        Code = "leaving"
	NotReady       Code = "not_ready"
	EndpointError  Code = "endpoint_error"
	EndpointSilent Code = "endpoint_silent"
	Truncated      Code = "truncated"
	RelayError     Code = "relay_error"
	KeyMissing     Code = "operation_key_missing"
	KeyInvalid     Code = "operation_key_invalid"
	KeyExpired     Code = "operation_key_expired"
	KeyReused      Code = "operation_key_reused"
	HomeLost       Code = "home_lost"
	HomeGone       Code = "home_gone"
	HomeFull       Code = "home_full"
	Cancelled      Code = "cancelled"
	Internal       Code = "internal"
	// Poisoned refuses a request under which, or under whose prompt parts, endpoints end.
	Poisoned Code = "poisoned"
	// Misdirected refuses a request that another host sent as if this one were an endpoint.
	Misdirected Code = "misdirected"
)

// statuses maps each refusal code to its HTTP status.
var statuses = map[Code]int{
	BadRequest: 400, BadKey: 401, Forbidden: 403, NoService: 404, NoRoute: 404, TooLarge: 413,
	RateLimit: 429, Busy: 503, QueueFull: 503, Deadline: 504, NoRegion: 503, NoEndpoint: 503,
	Leaving: 503, NotReady: 503, EndpointError: 502, EndpointSilent: 504,
	Truncated: 502, RelayError: 502, KeyMissing: 428, KeyInvalid: 400, KeyExpired: 410,
	KeyReused: 422, HomeLost: 502, HomeGone: 410, HomeFull: 503, Cancelled: 499, Internal: 502,
	Poisoned: 503, Misdirected: 421,
}

// StatesNotRun reports whether a status guarantees callers that the request was not run and will
// not be.
func StatesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// Codes returns every refusal code, in no particular order.
func Codes() []Code {
	codes := make([]Code, 0, len(statuses))
	for c := range statuses {
		codes = append(codes, c)
	}
	return codes
}

// Status returns the HTTP status of a code, 500 for an unknown one.
func (c Code) Status() int {
	if s, ok := statuses[c]; ok {
		return s
	}
	return 500
}

// Refusal is the only error type that a host sends to callers and peer hosts.
type Refusal struct {
	Code    Code
	Message string
	Ran     Ran
	// RetryAfter is the delay before a retry; zero if a retry does not help.
	RetryAfter time.Duration
	// Cause is written to logs and never sent.
	Cause error
}

// New returns a refusal with a formatted message.
func New(code Code, ran Ran, format string, args ...any) *Refusal {
	return &Refusal{Code: code, Ran: ran, Message: fmt.Sprintf(format, args...)}
}

func (r *Refusal) Error() string {
	if r.Cause != nil {
		return fmt.Sprintf("%s: %s: %v", r.Code, r.Message, r.Cause)
	}
	return fmt.Sprintf("%s: %s", r.Code, r.Message)
}

func (r *Refusal) Unwrap() error { return r.Cause }

// WithRetryAfter returns a copy that tells the caller to retry after d.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	out := *r
	out.RetryAfter = d
	return &out
}

// WithCause returns a copy that wraps err.
func (r *Refusal) WithCause(err error) *Refusal {
	out := *r
	out.Cause = err
	return &out
}

// WithRan returns a copy with another value of Ran.
func (r *Refusal) WithRan(ran Ran) *Refusal {
	out := *r
	out.Ran = ran
	return &out
}

// From returns the refusal wrapped in err. Any other error becomes an EndpointError
// with RanUnknown and err as its cause.
func From(err error) *Refusal {
	var r *Refusal
	if errors.As(err, &r) {
		return r
	}
	return New(EndpointError, RanUnknown, "internal error").WithCause(err)
}
