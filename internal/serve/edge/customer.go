package edge

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/proxy"
)

// maxKeyBytes bounds the keys that are looked up; longer ones are refused as malformed.
const maxKeyBytes = 256

// maxUnknownAge is the longest time since the rules were last confirmed for a key that is not
// in them to be refused for good, if they can't be confirmed at once. With older rules it may belong
// to a newer version.
const maxUnknownAge = 3 * time.Second

// errUnknownKey is the cause of the refusal of a key that is not in the rules.
var errUnknownKey = errors.New("key is not in the rules in force")

// Keys decides whether the host accepts customers' keys. Its functions must be set.
type Keys struct {
	// Valid reports whether a version of the rules was confirmed recently enough to accept the
	// keys in it.
	Valid func(version uint64) bool
	// Age returns the time since it was last confirmed that the rules are the newest, and false if
	// it never was.
	Age func(now time.Time) (time.Duration, bool)
	// Refresh requests a confirmation.
	Refresh func()
	// Confirm requests a confirmation by a read that is sent after the call, and waits for it for a
	// moment.
	Confirm func(ctx context.Context)
}

// identify sets the customer of a request and applies the customer's priority and homes to its
// route. It does nothing if no customers are published or the route is public.
func (s *Server) identify(c *app.RequestContext, published *rules.Rules, r *proxy.Request) *fault.Refusal {
	if !published.HasCustomers() || r.Route.Public {
		return nil
	}
	keys := c.Request.Header.PeekAll(s.Terms.Key)
	if refusal := checkKeyForm(s.Terms.Key, keys); refusal != nil {
		return refusal
	}
	r.Keyed, r.Key = true, rules.HashKey(keys[0])
	if !s.Keys.Valid(published.Version) {
		s.Keys.Refresh()
		age, ok := s.Keys.Age(s.Now())
		return proxy.NotConfirmed().WithCause(fmt.Errorf("last confirmation: %v, age %v", ok, age))
	}
	customer, ok := published.Customer(keys[0])
	if !ok {
		return s.unknownKey()
	}
	r.Customer = customer
	route, ok := r.Route.WithCustomer(customer)
	if !ok {
		return fault.New(fault.NoRegion, fault.RanNo, "no region is a home of both the route and the customer")
	}
	r.Route = route
	return nil
}

// customerName returns the name of the customer that a request's key belongs to, empty if the key is
// not known.
func customerName(r proxy.Request) string {
	if r.Customer == nil {
		return ""
	}
	return r.Customer.Name
}

// unknownKey returns the refusal of a key that is not in the rules. Unless they were confirmed a
// moment ago, the key may belong to a newer version.
func (s *Server) unknownKey() *fault.Refusal {
	if age, ok := s.Keys.Age(s.Now()); !ok || age > maxUnknownAge {
		s.Keys.Refresh()
		return fault.New(fault.NotReady, fault.RanNo, "%s is not known, and the rules may not be the newest", s.Terms.Key).
			WithRetryAfter(proxy.ConfirmRetryAfter).WithCause(errUnknownKey)
	}
	return fault.New(fault.BadKey, fault.RanNo, "%s is not the key of a customer", s.Terms.Key).WithCause(errUnknownKey)
}

// checkKeyForm returns a refusal unless there is exactly one key of printable ASCII characters.
func checkKeyForm(name string, keys [][]byte) *fault.Refusal {
	switch {
	case len(keys) == 0:
		return fault.New(fault.BadKey, fault.RanNo, "%s is missing", name)
	case len(keys) > 1:
		return fault.New(fault.BadRequest, fault.RanNo, "%s is sent %d times", name, len(keys))
	case len(keys[0]) == 0:
		return fault.New(fault.BadKey, fault.RanNo, "%s is empty", name)
	case len(keys[0]) > maxKeyBytes:
		return fault.New(fault.BadRequest, fault.RanNo, "%s has %d bytes, more than %d", name, len(keys[0]), maxKeyBytes)
	}
	for _, b := range keys[0] {
		if b <= ' ' || b > '~' {
			return fault.New(fault.BadRequest, fault.RanNo, "%s has a byte that is not printable ASCII", name)
		}
	}
	return nil
}
