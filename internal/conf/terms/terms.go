// Package terms names what callers and endpoints put on the wire, so that the
// packages that carry requests hold no names of any one deployment.
package terms

import "time"

// Part is one part of a prompt that requests may share.
type Part struct {
	ID     string
	Tokens int
}

// Prompt is what a request says of its prompt.
type Prompt struct {
	// Tokens counts those of the prompt, Most those of the answer at most.
	Tokens int
	Most   int
	// Parts lists the prompt's parts in order; the last one is the request's own.
	Parts []Part
}

// Load is what an endpoint says of its load beside an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// Terms are the names of header fields and paths, with the readers of their values.
type Terms struct {
	// RequestID names a caller's attempt; endpoints echo it.
	RequestID string
	// Deadline is the time left in milliseconds.
	Deadline string
	// Tokens and Parts describe the prompt.
	Tokens string
	Parts  string
	// LastEvent is the id of the last event that a caller has.
	LastEvent string
	// Expect names the endpoint that is meant; any other one refuses.
	Expect string
	// NotRun is set on an answer by an endpoint that ran nothing.
	NotRun string
	// Load is the endpoint's load beside an answer.
	Load string
	// Rank orders requests within an engine, 0 first.
	Rank string
	// Reserved lists the fields that only the gateway may set towards endpoints.
	Reserved []string
	// ReadyPath and ResolvePath are those of the readiness check and the directory.
	ReadyPath   string
	ResolvePath string
	// ResolveName is the directory's query field for the host name of requests.
	ResolveName string
	// ResolveRegion is the directory's query field for the caller's region.
	ResolveRegion string

	// ReadPrompt reads the values of Tokens and Parts.
	ReadPrompt func(tokens, parts string) Prompt
	// ReadLoad reads the value of Load.
	ReadLoad func(value string) (Load, bool)
	// Resolved encodes the directory's answer.
	Resolved func(addresses []string, ttl time.Duration) ([]byte, error)
}
