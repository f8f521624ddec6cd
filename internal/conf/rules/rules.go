// Package rules holds the routes, services and limits that an operator publishes
// for a fleet whose endpoints register themselves. Rules are immutable.
package rules

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Kind determines whether a route's requests may be retried.
type Kind string

// The kinds of route.
const (
	Safe   Kind = "safe"
	Unsafe Kind = "unsafe"
	Stream Kind = "stream"
)

// Share is the weight of a service in the traffic split of a route.
type Share struct {
	Service string
	Weight  float64
}

// Route maps the requests of one host name and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Shares lists the services with their weights; it has at least one entry.
	Shares []Share
	Kind   Kind
	// Attempts is the largest number of endpoints to which one request may be sent.
	Attempts int
	// Timeout bounds the time from the arrival of a request to the end of its answer.
	Timeout time.Duration
	// Target is the latency promised to callers for an answer, or for the first event
	// of a stream; zero is none.
	Target time.Duration
	// Gap is the longest gap between two events of a stream promised to callers.
	Gap time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// Homes lists the regions that may process the requests; empty means all.
	Homes []string
	// Prompts reports whether requests list the parts of their prompts.
	Prompts bool
	// Resumable reports whether a broken stream may be resumed at another endpoint.
	Resumable bool
	// Public reports whether requests need no customer's key.
	Public bool
}

// Retryable reports whether a request may be run more than once.
func (r *Route) Retryable() bool { return r.Kind == Safe || (r.Kind == Stream && r.Resumable) }

// Allows reports whether the route's requests may be processed in a region.
func (r *Route) Allows(region string) bool {
	return len(r.Homes) == 0 || slices.Contains(r.Homes, region)
}

// PickService returns the service for a request by weight; point is a random number in
// [0, 1).
func (r *Route) PickService(point float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	point *= total
	for _, s := range r.Shares {
		if point -= s.Weight; point < 0 {
			return s.Service
		}
	}
	return r.Shares[0].Service
}

// Engine describes a service's model engines.
type Engine struct {
	// Slots is the largest number of requests in one batch.
	Slots int
}

// Service is a named service that endpoints register for.
type Service struct {
	Name string
	// ColdRate is the number of requests per second that a cold endpoint can serve; 0 is
	// no limit.
	ColdRate float64
	// HealthPath is the path of its endpoints' health checks, empty if it is not known.
	HealthPath string
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	// MaxBodyBytes is the largest request body, in bytes; 0 is no limit.
	MaxBodyBytes int
}

// Rules is one published version of the routes, services and limits.
type Rules struct {
	Version        uint64
	Limits         Limits
	routesByHost   map[string][]*Route
	servicesByName map[string]*Service
	customers      []*Customer
	customersByKey map[KeyHash]*Customer
}

// Option sets an optional part of rules.
type Option func(*Rules)

// New returns the rules of a version, with the routes of each host name ordered by
// descending length of their prefixes.
func New(version uint64, routes []Route, services []Service, limits Limits, opts ...Option) *Rules {
	r := &Rules{Version: version, Limits: limits, routesByHost: map[string][]*Route{}, servicesByName: map[string]*Service{}}
	for _, opt := range opts {
		opt(r)
	}
	for i := range routes {
		route := routes[i]
		r.routesByHost[route.Host] = append(r.routesByHost[route.Host], &route)
	}
	for _, list := range r.routesByHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range services {
		service := services[i]
		r.servicesByName[service.Name] = &service
	}
	return r
}

// Match returns the route of a host name with the longest prefix of the path, or
// nil if there is none.
func (r *Rules) Match(host, path string) *Route {
	for _, route := range r.routesByHost[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// RoutesOf returns the routes of a host name.
func (r *Rules) RoutesOf(host string) []*Route { return r.routesByHost[host] }

// Service returns a service by name.
func (r *Rules) Service(name string) (*Service, bool) {
	s, ok := r.servicesByName[name]
	return s, ok
}

// ServiceNames returns the names of the services.
func (r *Rules) ServiceNames() []string { return slices.Sorted(maps.Keys(r.servicesByName)) }

// RouteNames returns the names of the routes.
func (r *Rules) RouteNames() []string {
	var names []string
	for _, list := range r.routesByHost {
		for _, route := range list {
			names = append(names, route.Name)
		}
	}
	return names
}
