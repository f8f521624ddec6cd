package invent

import "testing"

// TestPathIsRepeatableInOneFormOnly guards against a repeat of a call whose path begins like one that may be repeated, and that an
// endpoint reads as another one.
func TestPathIsRepeatableInOneFormOnly(t *testing.T) {
	s := &Service{Calls: []Call{{Method: "GET", Path: "/stock/", Repeatable: true}, {Method: "GET", Path: "/stock", Repeatable: true}, {Method: "GET", Path: "/q?a=", Repeatable: true}}}
	for path, want := range map[string]bool{
		"/stock": true, "/stock/": true, "/stock/a%2Fb": true, "/stock//x": true, "/stock/a/../b?c=/../../order": true, "/stock?x": true, "/q?a=1": true,
		"/order": false, "/stock/../order": false, "/stock/%2e%2e/order": false, "/stock%2F..%2Forder": false, "/s%74ock": false, "/q": false, "/stock/%zz/../../order": false,
	} {
		if got := s.MayRetry("GET", path); got != want {
			t.Errorf("%s: got %v, want %v", path, got, want)
		}
	}
}
