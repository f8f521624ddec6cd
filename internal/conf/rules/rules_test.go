package rules

import (
	"testing"
)

func TestMatch(t *testing.T) {
	r := New(7, []Route{
		{Name: "short", Host: "a", Prefix: "/x/", Shares: []Share{{Service: "s", Weight: 1}}},
		{Name: "long", Host: "a", Prefix: "/x/y/", Shares: []Share{{Service: "s", Weight: 1}}},
		{Name: "other", Host: "b", Prefix: "/x/", Shares: []Share{{Service: "s", Weight: 1}}},
	}, nil, Limits{})
	tests := []struct{ host, path, want string }{
		{"a", "/x/", "short"},
		{"a", "/x/z", "short"},
		{"a", "/x/y/z", "long"},
		{"a", "/x/y", "short"},
		{"b", "/x/y/z", "other"},
		{"a", "/x", ""},
		{"a", "/", ""},
		{"c", "/x/", ""},
	}
	for _, tt := range tests {
		got := ""
		if route := r.Match(tt.host, tt.path); route != nil {
			got = route.Name
		}
		if got != tt.want {
			t.Errorf("Match(%q, %q) = %q, want %q", tt.host, tt.path, got, tt.want)
		}
	}
}

func TestPickServiceByWeight(t *testing.T) {
	r := Route{Shares: []Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}, {Service: "c", Weight: 0}}}
	for x, want := range map[float64]string{0: "a", 0.89: "a", 0.91: "b", 0.999: "b"} {
		if got := r.PickService(x); got != want {
			t.Errorf("PickService(%v) = %s, want %s", x, got, want)
		}
	}
}

func TestRetryable(t *testing.T) {
	tests := []struct {
		route Route
		want  bool
	}{
		{Route{Kind: Safe}, true},
		{Route{Kind: Unsafe}, false},
		{Route{Kind: Unsafe, Resumable: true}, false},
		{Route{Kind: Stream}, false},
		{Route{Kind: Stream, Resumable: true}, true},
	}
	for _, tt := range tests {
		if got := tt.route.Retryable(); got != tt.want {
			t.Errorf("%+v: Retryable returned %v, want %v", tt.route, got, tt.want)
		}
	}
}

func TestAllowsHomeRegions(t *testing.T) {
	unrestricted, restricted := Route{}, Route{Homes: []string{"a", "b"}}
	if !unrestricted.Allows("z") || !restricted.Allows("b") || restricted.Allows("z") {
		t.Error("Allows does not follow the home regions of the route")
	}
}
