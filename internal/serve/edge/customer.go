package edge

import (
	"github.com/cloudwego/hertz/pkg/app"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/proxy"
)

// maxKeyBytes bounds the keys that are looked up; longer ones are refused as malformed.
const maxKeyBytes = 256

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
	customer, ok := published.Customer(keys[0])
	if !ok {
		return fault.New(fault.BadKey, fault.RanNo, "%s is not the key of a customer", s.Terms.Key)
	}
	route, ok := r.Route.WithCustomer(customer)
	if !ok {
		return fault.New(fault.NoRegion, fault.RanNo, "no region is a home of both the route and the customer")
	}
	r.Customer, r.Route = customer, route
	return nil
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
