// Package invent defines the inventory that operators publish: regions, data
// centres, hosts, links, services, endpoints and callers, and how it is validated.
package invent

import (
	"net/url"
	"path"
	"slices"
	"strings"
	"time"
)

// Region is a jurisdiction; each data centre is in one region.
type Region struct {
	Name string `toml:"name" validate:"required,max=40"`
}

// Centre is a data centre.
type Centre struct {
	Name   string `toml:"name" validate:"required,max=40"`
	Region string `toml:"region" validate:"required"`
}

// Host is a host of the gateway, to which callers send their requests.
type Host struct {
	Name   string `toml:"name" validate:"required,max=40"`
	Centre string `toml:"centre" validate:"required"`
	// Callers is the address of the HTTP listener for callers.
	Callers string `toml:"callers" validate:"required,hostport"`
	// Peers is the UDP address of the listener for other hosts.
	Peers string `toml:"peers" validate:"required,hostport"`
	// Leaving marks a draining host, which gets no new requests.
	Leaving bool `toml:"leaving"`
}

// Link describes the network between two regions, in both directions.
type Link struct {
	From string `toml:"from" validate:"required"`
	To   string `toml:"to" validate:"required"`
	// LatencyMS is the one-way latency in milliseconds.
	LatencyMS float64 `toml:"latency_ms" validate:"gte=0,lte=10000"`
	// Cost is the price of sending one request over the link.
	Cost float64 `toml:"cost" validate:"gte=0"`
	// Spill is the largest share of a region's requests that may be sent over this
	// link, 0 to 1.
	Spill float64 `toml:"spill" validate:"gte=0,lte=1"`
}

// Kind distinguishes model engines from plain services.
type Kind string

// The kinds of service.
const (
	Model Kind = "model"
	Plain Kind = "plain"
)

// Objective is what the placement of a service's requests optimises.
type Objective string

// The placement objectives.
const (
	Latency Objective = "latency"
	Cost    Objective = "cost"
)

// Policy is the placement policy of a service. Product is the gateway's own policy, the
// others are baselines for measurements.
type Policy string

// The placement policies.
const (
	Product     Policy = "product"
	RoundRobin  Policy = "round"
	LeastLoaded Policy = "least"
	Nearest     Policy = "near"
)

// Queue is the order of queued requests of equal priority.
type Queue string

// The queue orders.
const (
	Fifo Queue = "fifo"
	Fair Queue = "fair"
)

// Service is a named service that callers send requests to.
type Service struct {
	Name      string    `toml:"name" validate:"required,max=80"`
	Kind      Kind      `toml:"kind" validate:"oneof=model plain"`
	Objective Objective `toml:"objective" validate:"omitempty,oneof=latency cost"`
	Policy    Policy    `toml:"policy" validate:"omitempty,oneof=product round least near"`
	// Regions lists the regions in which the service may run; empty means all.
	Regions []string `toml:"regions"`
	// Priority is 0 (highest) to 3 (lowest).
	Priority int `toml:"priority" validate:"gte=0,lte=3"`
	// TimeoutMS is the default timeout of a complete answer, in milliseconds.
	TimeoutMS int `toml:"timeout_ms" validate:"gte=0,lte=86400000"`
	// SilenceMS is the idle timeout: the longest time without progress on an answer,
	// in milliseconds.
	SilenceMS int `toml:"silence_ms" validate:"gte=0,lte=3600000"`
	// Queue is the queue order: fifo, or fair, in which the caller that received the
	// least service is first.
	Queue Queue `toml:"queue" validate:"omitempty,oneof=fifo fair"`
	// QueueLimit is the largest number of queued requests at one host.
	QueueLimit int `toml:"queue_limit" validate:"gte=0,lte=100000"`
	// Repeatable allows retries of requests that match no rule in Calls.
	Repeatable bool `toml:"repeatable"`
	// Calls are the retry rules of a plain service by method and path; the first match
	// applies.
	Calls []Call `toml:"calls" validate:"dive"`
	// NotRun lists the HTTP statuses that mean that an endpoint did not run the request.
	NotRun []int `toml:"not_run" validate:"dive,gte=400,lte=599"`
	// CrossMS is how much lower the expected latency of a remote region must be before
	// requests are sent there, in milliseconds.
	CrossMS float64 `toml:"cross_ms" validate:"gte=0"`
	// WorkMS is the usual time of an answer at an endpoint, in milliseconds.
	WorkMS float64 `toml:"work_ms" validate:"gte=0"`
	// PrefillMS is the usual time to first token with a cold cache, in milliseconds.
	PrefillMS float64 `toml:"prefill_ms" validate:"gte=0"`
}

// Call is the retry rule for the requests of one method and path prefix to a plain
// service.
type Call struct {
	Method     string `toml:"method" validate:"required"`
	Path       string `toml:"path" validate:"required,startswith=/"`
	Repeatable bool   `toml:"repeatable"`
}

// Endpoint serves one service in one data centre.
type Endpoint struct {
	Name    string `toml:"name" validate:"required,max=80"`
	Service string `toml:"service" validate:"required"`
	Centre  string `toml:"centre" validate:"required"`
	Address string `toml:"address" validate:"required,hostport"`
	// Slots is the number of requests that the endpoint processes at once.
	Slots   int  `toml:"slots" validate:"gte=1,lte=100000"`
	Leaving bool `toml:"leaving"`
}

// Caller is a client program of a customer, identified by its bearer key.
type Caller struct {
	Name string `toml:"name" validate:"required,max=80"`
	// KeyHash is the SHA-256 of the bearer key, in hexadecimal.
	KeyHash string `toml:"key_hash" validate:"required,len=64,hexadecimal"`
	// Region is the region that the caller is in.
	Region string `toml:"region" validate:"required"`
	// Services lists the services that the caller may use; empty means all.
	Services []string `toml:"services"`
	// Residency lists the regions that may process the caller's requests; empty means
	// all.
	Residency []string `toml:"residency"`
	// Concurrent is the largest number of in-flight requests to one service over the
	// whole fleet; 0 is no limit.
	Concurrent int `toml:"concurrent" validate:"gte=0"`
	// Rate is the largest number of requests per second to one service over the whole
	// fleet; 0 is no limit.
	Rate float64 `toml:"rate" validate:"gte=0"`
}

// Document is one published part of an inventory.
type Document struct {
	Regions   []Region   `toml:"regions" validate:"dive"`
	Centres   []Centre   `toml:"centres" validate:"dive"`
	Hosts     []Host     `toml:"hosts" validate:"dive"`
	Links     []Link     `toml:"links" validate:"dive"`
	Services  []Service  `toml:"services" validate:"dive"`
	Endpoints []Endpoint `toml:"endpoints" validate:"dive"`
	Callers   []Caller   `toml:"callers" validate:"dive"`
}

// Inventory is an accepted set of documents. It is immutable.
type Inventory struct {
	// Revision is the revision of the head document.
	Revision uint64
	// Digest is the SHA-256 of the head document, in hexadecimal.
	Digest string

	doc                Document
	regionByCentre     map[string]string
	hosts              map[string]Host
	services           map[string]*Service
	endpoints          map[string]Endpoint
	endpointsByService map[string][]Endpoint
	callersByHash      map[string]*Caller
	callersByName      map[string]*Caller
	links              map[linkKey]Link
}

type linkKey struct{ from, to string }

// Regions returns the regions in published order.
func (v *Inventory) Regions() []Region { return v.doc.Regions }

// Hosts returns the hosts in published order.
func (v *Inventory) Hosts() []Host { return v.doc.Hosts }

// Services returns the services in published order.
func (v *Inventory) Services() []Service { return v.doc.Services }

// Endpoints returns the endpoints in published order.
func (v *Inventory) Endpoints() []Endpoint { return v.doc.Endpoints }

// Callers returns the callers in published order.
func (v *Inventory) Callers() []Caller { return v.doc.Callers }

// RegionOf returns the region of a data centre, empty if unknown.
func (v *Inventory) RegionOf(centre string) string { return v.regionByCentre[centre] }

// Host returns a host by name.
func (v *Inventory) Host(name string) (Host, bool) {
	h, ok := v.hosts[name]
	return h, ok
}

// HostRegion returns the region of a host, empty if unknown.
func (v *Inventory) HostRegion(name string) string { return v.regionByCentre[v.hosts[name].Centre] }

// Service returns a service by name.
func (v *Inventory) Service(name string) (*Service, bool) {
	s, ok := v.services[name]
	return s, ok
}

// Endpoint returns an endpoint by name.
func (v *Inventory) Endpoint(name string) (Endpoint, bool) {
	e, ok := v.endpoints[name]
	return e, ok
}

// EndpointsOf returns the endpoints of a service.
func (v *Inventory) EndpointsOf(service string) []Endpoint { return v.endpointsByService[service] }

// CallerByHash returns the caller whose bearer key has the given SHA-256 in hexadecimal.
func (v *Inventory) CallerByHash(hash string) (*Caller, bool) {
	c, ok := v.callersByHash[hash]
	return c, ok
}

// CallerByName returns a caller by name.
func (v *Inventory) CallerByName(name string) (*Caller, bool) {
	c, ok := v.callersByName[name]
	return c, ok
}

// Link returns the link between two regions. For two regions without a link it is
// the zero value, whose spill limit of 0 allows no spilled requests.
func (v *Inventory) Link(from, to string) Link { return v.links[linkKey{from, to}] }

// MayUse reports whether the caller may use the service.
func (c *Caller) MayUse(service string) bool {
	return len(c.Services) == 0 || slices.Contains(c.Services, service)
}

// RegionAllowed reports whether a region may process the caller's requests for the service.
func RegionAllowed(c *Caller, s *Service, region string) bool {
	if len(s.Regions) > 0 && !slices.Contains(s.Regions, region) {
		return false
	}
	return len(c.Residency) == 0 || slices.Contains(c.Residency, region)
}

// MayRetry reports whether a request may be retried when it is unknown whether an
// earlier attempt ran. The path, with its query, is as the caller sent it: both that and the path that an endpoint
// makes of it must be repeatable.
func (s *Service) MayRetry(method, path string) bool {
	return s.mayRetry(method, path) && s.mayRetry(method, resolvedPath(path))
}

// resolvedPath returns a path without escapes, dot segments and empty segments.
func resolvedPath(sent string) string {
	raw, query, _ := strings.Cut(sent, "?")
	decoded, err := url.PathUnescape(raw)
	if err != nil {
		decoded = raw
	}
	out := path.Clean("/" + decoded)
	if strings.HasSuffix(decoded, "/") && out != "/" {
		out += "/"
	}
	if query != "" {
		out += "?" + query
	}
	return out
}

func (s *Service) mayRetry(method, path string) bool {
	for _, c := range s.Calls {
		if c.Method == method && strings.HasPrefix(path, c.Path) {
			return c.Repeatable
		}
	}
	return s.Repeatable
}

// Timeout returns the default timeout of a complete answer.
func (s *Service) Timeout() time.Duration { return time.Duration(s.TimeoutMS) * time.Millisecond }

// IdleTimeout returns the idle timeout: the longest time without progress on an answer.
func (s *Service) IdleTimeout() time.Duration { return time.Duration(s.SilenceMS) * time.Millisecond }
