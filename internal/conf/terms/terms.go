// Package terms defines the header fields, paths and value formats of a
// deployment's wire protocol, so that the packages that route requests are
// independent of any one deployment.
package terms

import "time"

// Part is a segment of a prompt that several requests can share.
type Part struct {
	ID     string
	Tokens int
}

// Prompt describes the prompt of a request, as stated by its caller.
type Prompt struct {
	// Tokens is the length of the prompt, Most the largest length of the answer, in tokens.
	Tokens int
	Most   int
	// Parts lists the prompt's parts in order; the last part is unique to the request.
	Parts []Part
}

// Load is the load that an endpoint reports in the header of an answer.
type Load struct {
	Running int
	Waiting int
	Slots   int
	// Pace is how long work takes there at the moment, as a multiple of the usual time; 0 if
	// the endpoint does not report it.
	Pace float64
}

// Terms holds the names of header fields and paths and the codecs of their values.
type Terms struct {
	// RequestID identifies an attempt of the caller; endpoints echo it.
	RequestID string
	// Deadline is the time until the deadline, in milliseconds.
	Deadline string
	// Tokens has the token counts of the prompt and the answer, Parts the prompt's parts.
	Tokens string
	Parts  string
	// LastEvent is the id of the last event that the caller received.
	LastEvent string
	// Resumes is the id of the caller's request that brought the first event of a stream that
	// the caller takes up again.
	Resumes string
	// ExpectedEndpoint names the endpoint that the request is for; any other endpoint refuses it.
	ExpectedEndpoint string
	// NotRun is set on an answer by an endpoint that did not run the request.
	NotRun string
	// Load is the endpoint's load, sent with an answer.
	Load string
	// RateLimit is the rate of requests that the endpoint takes from all hosts together, in
	// requests per second, sent with each answer while the endpoint limits it.
	RateLimit string
	// Brittle is the number of requests that an endpoint may turn away in a second for want of
	// room; it ends if it has to turn away more.
	Brittle string
	// Leaving has the value LeavingValue on each answer of an endpoint that takes no new
	// requests and will end.
	Leaving      string
	LeavingValue string
	// EndpointID is the endpoint's id and ColdTime the time for which it stays cold, in
	// milliseconds, in its answers to health checks.
	EndpointID string
	ColdTime   string
	// Priority is the priority of a request within an engine; 0 is the highest.
	Priority string
	// Key is the key by which a caller identifies its customer, CustomerName the name of that
	// customer, which the gateway sets in requests to endpoints.
	Key          string
	CustomerName string
	// Single lists further fields that a caller's request may have once at most.
	Single []string
	// Reserved lists the fields that only the gateway may set in requests to endpoints.
	Reserved []string
	// ReadyPath and ResolvePath are the paths of the readiness check and the directory.
	ReadyPath   string
	ResolvePath string
	// ResolveName is the directory's query parameter for the host name of requests.
	ResolveName string
	// ResolveRegion is the directory's query parameter for the caller's region.
	ResolveRegion string

	// ParsePrompt parses the values of the fields Tokens and Parts.
	ParsePrompt func(tokens, parts string) Prompt
	// ParseLoad parses the value of the field Load; false means that it is malformed.
	ParseLoad func(value string) (Load, bool)
	// ParseDecimal parses the value of the field RateLimit, or a number of seconds; false means
	// that it is malformed or negative.
	ParseDecimal func(value string) (float64, bool)
	// EncodeAddresses encodes the directory's answer: listen addresses of hosts and their time to live.
	EncodeAddresses func(addresses []string, ttl time.Duration) ([]byte, error)
}

// SingleFields returns the fields of a caller's request that state which request it is and what it is for, so
// that it may have each of them once at most.
func (t *Terms) SingleFields() []string {
	var out []string
	for _, name := range []string{
		t.RequestID, t.Deadline, t.Tokens, t.Parts, t.LastEvent, t.Resumes, t.ExpectedEndpoint, t.Key, "Authorization",
	} {
		if name != "" {
			out = append(out, name)
		}
	}
	return append(out, t.Single...)
}
