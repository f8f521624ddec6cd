// Package rules holds the routes, services and limits that an operator publishes
// for a fleet whose endpoints register themselves. Rules are never changed once
// made.
package rules

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind string

// The kinds of route.
const (
	Safe   Kind = "safe"
	Unsafe Kind = "unsafe"
	Stream Kind = "stream"
)

// Share is a service's part of a route's requests.
type Share struct {
	Service string
	Weight  float64
}

// Route sends the requests of one host name and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Shares lists the services with their weights; it has at least one entry.
	Shares []Share
	Kind   Kind
	// Attempts is the most endpoints that one request may be sent to.
	Attempts int
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Target is the time to the answer, or to the first event of a stream, that
	// callers are promised; zero is none.
	Target time.Duration
	// Gap is the longest pause between events that callers are promised.
	Gap time.Duration
	// Priority is the route's rank, 0 first.
	Priority int
	// Homes lists the regions that may hold the requests; empty means all.
	Homes []string
	// Prompts says that requests name the parts of their prompt.
	Prompts bool
	// Resumable says that a broken stream may go on at another endpoint.
	Resumable bool
}

// Repeatable reports whether a request may be run more than once.
func (r *Route) Repeatable() bool { return r.Kind == Safe || (r.Kind == Stream && r.Resumable) }

// Allows reports whether the route's requests may be held in a region.
func (r *Route) Allows(region string) bool {
	return len(r.Homes) == 0 || slices.Contains(r.Homes, region)
}

// Pick returns the service for a request, by a number from 0 to below 1.
func (r *Route) Pick(at float64) string {
	total := 0.0
	for _, s := range r.Shares {
		total += s.Weight
	}
	at *= total
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return r.Shares[0].Service
}

// Engine describes a service's model engines.
type Engine struct {
	// Slots is the number of requests in one batch.
	Slots int
}

// Service is what endpoints register for.
type Service struct {
	Name string
	// ColdRate is the number of requests a second that a cold endpoint bears; 0
	// is no bound.
	ColdRate float64
	// Engine is nil for a plain service.
	Engine *Engine
}

// Limits bound what a caller may send.
type Limits struct {
	// Body is the largest request body, in bytes; 0 is no bound.
	Body int
}

// Rules are one published version.
type Rules struct {
	Version  uint64
	Limits   Limits
	routes   map[string][]*Route
	services map[string]*Service
}

// New returns the rules of a version.
func New(version uint64, routes []Route, services []Service, limits Limits) *Rules {
	r := &Rules{Version: version, Limits: limits, routes: map[string][]*Route{}, services: map[string]*Service{}}
	for i := range routes {
		route := routes[i]
		r.routes[route.Host] = append(r.routes[route.Host], &route)
	}
	for _, list := range r.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i := range services {
		service := services[i]
		r.services[service.Name] = &service
	}
	return r
}

// Match returns the route with the longest prefix of a path, or nil.
func (r *Rules) Match(host, path string) *Route {
	for _, route := range r.routes[host] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Of returns the routes of a host name.
func (r *Rules) Of(host string) []*Route { return r.routes[host] }

// Service returns a service by name.
func (r *Rules) Service(name string) (*Service, bool) {
	s, ok := r.services[name]
	return s, ok
}

// ServiceNames returns the names of the services.
func (r *Rules) ServiceNames() []string { return slices.Sorted(maps.Keys(r.services)) }

// RouteNames returns the names of the routes.
func (r *Rules) RouteNames() []string {
	var names []string
	for _, list := range r.routes {
		for _, route := range list {
			names = append(names, route.Name)
		}
	}
	return names
}
