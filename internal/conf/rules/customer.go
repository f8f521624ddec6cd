package rules

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
)

// Unit is what a customer's limit counts.
type Unit string

// The units of a limit: requests, or the tokens of the prompt and of the longest answer.
const (
	Requests Unit = "requests"
	Tokens   Unit = "tokens"
)

// KeyHash is the hash of a customer's key. Keys are kept only as hashes.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key []byte) KeyHash { return sha256.Sum256(key) }

// Short returns the first digits of the hash, by which logs identify a key.
func (h KeyHash) Short() string { return hex.EncodeToString(h[:4]) }

// Quota bounds what a customer's requests may use over all hosts: in any window, PerSecond times
// the window plus Burst. The zero value is no bound.
type Quota struct {
	PerSecond float64
	Burst     float64
	Unit      Unit
	// Uncounted is the number of tokens of a request that states none, if Unit is Tokens.
	Uncounted int
}

// Customer is a customer whose callers identify themselves by a key.
type Customer struct {
	Name string
	Keys []KeyHash
	// Priority replaces that of the route; nil keeps the route's.
	Priority *int
	// Homes lists the regions that may process the requests; empty means all.
	Homes []string
	Quota Quota
}

// Cost returns what a request with a number of prompt tokens and a longest answer counts towards
// the customer's quota.
func (c *Customer) Cost(promptTokens, mostTokens int) float64 {
	switch {
	case c.Quota.Unit != Tokens:
		return 1
	case promptTokens > 0 || mostTokens > 0:
		// The sum of two counts of a caller may exceed an int.
		return float64(promptTokens) + float64(mostTokens)
	}
	return float64(c.Quota.Uncounted)
}

// WithCustomers sets the customers. If there are any, requests need a key unless their route is
// public.
func WithCustomers(list []Customer) Option {
	return func(r *Rules) {
		r.customersByKey = map[KeyHash]*Customer{}
		for i := range list {
			c := list[i]
			r.customers = append(r.customers, &c)
			for _, k := range c.Keys {
				r.customersByKey[k] = &c
			}
		}
	}
}

// HasCustomers reports whether requests need a customer's key.
func (r *Rules) HasCustomers() bool { return len(r.customers) > 0 }

// Customers returns the customers. The list must not be changed.
func (r *Rules) Customers() []*Customer { return r.customers }

// Customer returns the customer that a key belongs to. The time that it takes does not depend on
// the number of customers, nor on how much of the key is right.
func (r *Rules) Customer(key []byte) (*Customer, bool) {
	c, ok := r.customersByKey[HashKey(key)]
	return c, ok
}

// HasKey reports whether a key belongs to a customer.
func (r *Rules) HasKey(key KeyHash) bool { return r.customersByKey[key] != nil }

// WithCustomer returns the route as it applies to a customer's requests, and false if no region
// may process them, as the homes of both have none in common.
func (r *Route) WithCustomer(c *Customer) (*Route, bool) {
	out := *r
	if c.Priority != nil {
		out.Priority = *c.Priority
	}
	switch {
	case len(c.Homes) == 0:
	case len(r.Homes) == 0:
		out.Homes = c.Homes
	default:
		out.Homes = slices.DeleteFunc(slices.Clone(r.Homes), func(region string) bool { return !slices.Contains(c.Homes, region) })
		if len(out.Homes) == 0 {
			return nil, false
		}
	}
	return &out, true
}

// CustomerChanges names the customers that differ between two versions of the rules, and their keys
// as "NAME:HASH" with short hashes.
type CustomerChanges struct {
	Added, Changed, Removed []string
	KeysAdded, KeysRemoved  []string
}

// CompareCustomers returns the changes from old rules, which may be nil, to new ones.
func CompareCustomers(old, next *Rules) CustomerChanges {
	var out CustomerChanges
	before := map[string]*Customer{}
	if old != nil {
		for _, c := range old.customers {
			before[c.Name] = c
		}
	}
	for _, c := range next.customers {
		b, known := before[c.Name]
		delete(before, c.Name)
		switch {
		case !known:
			out.Added = append(out.Added, c.Name)
			b = &Customer{}
		case !c.sameAs(b):
			out.Changed = append(out.Changed, c.Name)
		}
		out.KeysAdded = append(out.KeysAdded, c.keysMissingIn(b)...)
		out.KeysRemoved = append(out.KeysRemoved, b.keysMissingIn(c)...)
	}
	for name, b := range before {
		out.Removed = append(out.Removed, name)
		out.KeysRemoved = append(out.KeysRemoved, b.keysMissingIn(&Customer{})...)
	}
	slices.Sort(out.Removed)
	slices.Sort(out.KeysRemoved)
	return out
}

// keysMissingIn returns the keys of c that another version of the customer has not.
func (c *Customer) keysMissingIn(other *Customer) []string {
	var out []string
	for _, k := range c.Keys {
		if !slices.Contains(other.Keys, k) {
			out = append(out, c.Name+":"+k.Short())
		}
	}
	return out
}

func (c *Customer) sameAs(o *Customer) bool {
	samePriority := (c.Priority == nil) == (o.Priority == nil) && (c.Priority == nil || *c.Priority == *o.Priority)
	return samePriority && c.Quota == o.Quota && slices.Equal(c.Homes, o.Homes) &&
		len(c.keysMissingIn(o)) == 0 && len(o.keysMissingIn(c)) == 0
}
