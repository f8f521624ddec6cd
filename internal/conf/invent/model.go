// Package invent holds the inventory: what operators publish about regions,
// data centres, hosts, services, endpoints and callers, and the rules on top.
package invent

import (
	"slices"
	"strings"
	"time"
)

// Region is a jurisdiction.
type Region struct {
	Name string `toml:"name" validate:"required,max=40"`
}

// Centre is a data centre of a region.
type Centre struct {
	Name   string `toml:"name" validate:"required,max=40"`
	Region string `toml:"region" validate:"required"`
}

// Host is an entry host of the system.
type Host struct {
	Name   string `toml:"name" validate:"required,max=40"`
	Centre string `toml:"centre" validate:"required"`
	// Callers is the address of the HTTP listener.
	Callers string `toml:"callers" validate:"required,hostport"`
	// Peers is the UDP address of the listener for other hosts.
	Peers string `toml:"peers" validate:"required,hostport"`
	// Leaving marks a host that is to get no new work.
	Leaving bool `toml:"leaving"`
}

// Link describes the network between two regions, in both directions.
type Link struct {
	From string `toml:"from" validate:"required"`
	To   string `toml:"to" validate:"required"`
	// LatencyMS is the one-way latency in milliseconds.
	LatencyMS float64 `toml:"latency_ms" validate:"gte=0,lte=10000"`
	// Cost is the price of one crossing request.
	Cost float64 `toml:"cost" validate:"gte=0"`
	// Spill bounds the share of a region's requests sent over this link, 0 to 1.
	Spill float64 `toml:"spill" validate:"gte=0,lte=1"`
}

// Kind tells model engines from plain services.
type Kind string

// The kinds of service.
const (
	Model Kind = "model"
	Plain Kind = "plain"
)

// Objective is what a service's placement weighs most.
type Objective string

// The objectives.
const (
	Latency Objective = "latency"
	Cost    Objective = "cost"
)

// Policy names the placement rule of a service. Every policy but Product is a
// baseline for measurements.
type Policy string

// The placement policies.
const (
	Product Policy = "product"
	Round   Policy = "round"
	Least   Policy = "least"
	Near    Policy = "near"
)

// Queue is the order of requests that wait, within a class of priority.
type Queue string

// The orders.
const (
	Fifo Queue = "fifo"
	Fair Queue = "fair"
)

// Service is something callers ask for by name.
type Service struct {
	Name      string    `toml:"name" validate:"required,max=80"`
	Kind      Kind      `toml:"kind" validate:"oneof=model plain"`
	Objective Objective `toml:"objective" validate:"omitempty,oneof=latency cost"`
	Policy    Policy    `toml:"policy" validate:"omitempty,oneof=product round least near"`
	// Regions lists where the service may run; empty means anywhere.
	Regions []string `toml:"regions"`
	// Priority is 0 (first) to 3 (last).
	Priority int `toml:"priority" validate:"gte=0,lte=3"`
	// TimeoutMS is the default time for a whole answer, in milliseconds.
	TimeoutMS int `toml:"timeout_ms" validate:"gte=0,lte=86400000"`
	// SilenceMS bounds the time without progress on an answer, in milliseconds.
	SilenceMS int `toml:"silence_ms" validate:"gte=0,lte=3600000"`
	// Queue says who is first among those that wait: fifo, or fair, the caller
	// that got least.
	Queue Queue `toml:"queue" validate:"omitempty,oneof=fifo fair"`
	// QueueLimit bounds the requests that wait at one host.
	QueueLimit int `toml:"queue_limit" validate:"gte=0,lte=100000"`
	// Repeatable says whether calls that match no rule may be sent again.
	Repeatable bool `toml:"repeatable"`
	// Calls are the rules for single calls of a plain service, first match first.
	Calls []Call `toml:"calls" validate:"dive"`
	// NotRun lists the statuses by which an endpoint says that it ran nothing.
	NotRun []int `toml:"not_run" validate:"dive,gte=400,lte=599"`
	// CrossMS is what a crossing must gain in expected time, in milliseconds.
	CrossMS float64 `toml:"cross_ms" validate:"gte=0"`
	// WorkMS is the usual time of one answer at an endpoint, in milliseconds.
	WorkMS float64 `toml:"work_ms" validate:"gte=0"`
	// PrefillMS is the usual time before the first token on a cold cache, in milliseconds.
	PrefillMS float64 `toml:"prefill_ms" validate:"gte=0"`
}

// Call is a rule for calls of a plain service.
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
	// Slots is the number of requests it works on at once.
	Slots   int  `toml:"slots" validate:"gte=1,lte=100000"`
	Leaving bool `toml:"leaving"`
}

// Caller is a customer's programme with its own bearer key.
type Caller struct {
	Name string `toml:"name" validate:"required,max=80"`
	// KeyHash is the SHA-256 of the bearer key, in hexadecimal.
	KeyHash string `toml:"key_hash" validate:"required,len=64,hexadecimal"`
	// Region is where the caller is.
	Region string `toml:"region" validate:"required"`
	// Services lists what the caller may ask for; empty means all.
	Services []string `toml:"services"`
	// Residency lists the regions that may serve the caller; empty means all.
	Residency []string `toml:"residency"`
	// Concurrent bounds the requests to one service in flight over the whole fleet;
	// 0 is no bound.
	Concurrent int `toml:"concurrent" validate:"gte=0"`
	// Rate bounds the requests a second to one service over the whole fleet; 0 is
	// no bound.
	Rate float64 `toml:"rate" validate:"gte=0"`
}

// Document is one part of an inventory as published.
type Document struct {
	Regions   []Region   `toml:"regions" validate:"dive"`
	Centres   []Centre   `toml:"centres" validate:"dive"`
	Hosts     []Host     `toml:"hosts" validate:"dive"`
	Links     []Link     `toml:"links" validate:"dive"`
	Services  []Service  `toml:"services" validate:"dive"`
	Endpoints []Endpoint `toml:"endpoints" validate:"dive"`
	Callers   []Caller   `toml:"callers" validate:"dive"`
}

// Inventory is an accepted set of documents. It is never changed.
type Inventory struct {
	// Revision is that of the head document.
	Revision uint64
	// Digest identifies the content, in hexadecimal.
	Digest string

	doc       Document
	centres   map[string]string
	hosts     map[string]Host
	services  map[string]*Service
	endpoints map[string]Endpoint
	byService map[string][]Endpoint
	callers   map[string]*Caller
	byName    map[string]*Caller
	links     map[linkKey]Link
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
func (v *Inventory) RegionOf(centre string) string { return v.centres[centre] }

// Host returns a host by name.
func (v *Inventory) Host(name string) (Host, bool) {
	h, ok := v.hosts[name]
	return h, ok
}

// HostRegion returns the region of a host, empty if unknown.
func (v *Inventory) HostRegion(name string) string { return v.centres[v.hosts[name].Centre] }

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
func (v *Inventory) EndpointsOf(service string) []Endpoint { return v.byService[service] }

// CallerByHash returns the caller whose bearer key has the given SHA-256 in hexadecimal.
func (v *Inventory) CallerByHash(hash string) (*Caller, bool) {
	c, ok := v.callers[hash]
	return c, ok
}

// CallerByName returns a caller by name.
func (v *Inventory) CallerByName(name string) (*Caller, bool) {
	c, ok := v.byName[name]
	return c, ok
}

// Link returns the link between two regions; a missing one has zero values
// and may not be used to spill.
func (v *Inventory) Link(from, to string) Link { return v.links[linkKey{from, to}] }

// May reports whether the caller may ask for the service.
func (c *Caller) May(service string) bool {
	return len(c.Services) == 0 || slices.Contains(c.Services, service)
}

// Allowed reports whether a region may serve the caller's request for the service.
func Allowed(c *Caller, s *Service, region string) bool {
	if len(s.Regions) > 0 && !slices.Contains(s.Regions, region) {
		return false
	}
	return len(c.Residency) == 0 || slices.Contains(c.Residency, region)
}

// MayRepeat reports whether a call may be sent again after a doubt.
func (s *Service) MayRepeat(method, path string) bool {
	for _, c := range s.Calls {
		if c.Method == method && strings.HasPrefix(path, c.Path) {
			return c.Repeatable
		}
	}
	return s.Repeatable
}

// Timeout returns the default time for a whole answer.
func (s *Service) Timeout() time.Duration { return time.Duration(s.TimeoutMS) * time.Millisecond }

// Silence returns the bound on the time without progress.
func (s *Service) Silence() time.Duration { return time.Duration(s.SilenceMS) * time.Millisecond }
