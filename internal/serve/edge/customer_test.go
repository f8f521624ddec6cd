package edge

import (
	"strings"
	"testing"
	"time"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/hyssopspindle/hyssopspindle/internal/base/fault"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/rules"
	"github.com/hyssopspindle/hyssopspindle/internal/conf/terms"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/proxy"
)

// keyCase is a host's state and a request's keys.
type keyCase struct {
	name string
	keys []string
	// invalid reports whether the rules are not confirmed, age is that of the confirmation.
	invalid bool
	age     time.Duration
	never   bool
	public  bool
	want    fault.Code
	// refreshes is the number of confirmations that the request asks for.
	refreshes int
}

// TestKeysAreAccepted guards against keys being accepted by rules that may be outdated, and against
// a key of newer rules being refused for good.
func TestKeysAreAccepted(t *testing.T) {
	published := rules.New(7, nil, nil, rules.Limits{}, rules.WithCustomers([]rules.Customer{
		{Name: "c", Keys: []rules.KeyHash{rules.HashKey([]byte("good"))}},
		{Name: "elsewhere", Keys: []rules.KeyHash{rules.HashKey([]byte("far"))}, Homes: []string{"b"}},
	}))
	for _, tt := range []keyCase{
		{name: "known", keys: []string{"good"}},
		{name: "not confirmed", keys: []string{"good"}, invalid: true, want: fault.NotReady, refreshes: 1},
		{name: "unknown", keys: []string{"bad"}, age: maxUnknownAge, want: fault.BadKey},
		{name: "unknown, old rules", keys: []string{"bad"}, age: maxUnknownAge + 1, want: fault.NotReady, refreshes: 1},
		{name: "unknown, never confirmed", keys: []string{"bad"}, never: true, want: fault.NotReady, refreshes: 1},
		{name: "known, old rules", keys: []string{"good"}, age: time.Hour},
		{name: "public without confirmation", invalid: true, public: true},
		{name: "missing", want: fault.BadKey},
		{name: "empty", keys: []string{""}, want: fault.BadKey},
		{name: "twice", keys: []string{"good", "good"}, want: fault.BadRequest},
		{name: "too long", keys: []string{strings.Repeat("k", maxKeyBytes+1)}, want: fault.BadRequest},
		{name: "odd byte", keys: []string{"go\x7fod"}, want: fault.BadRequest},
		{name: "no home in common", keys: []string{"far"}, want: fault.NoRegion},
	} {
		t.Run(tt.name, func(t *testing.T) { checkKeys(t, published, tt) })
	}
}

func checkKeys(t *testing.T, published *rules.Rules, tt keyCase) {
	t.Helper()
	refreshes := 0
	s := &Server{Terms: &terms.Terms{Key: "Key"}, Now: time.Now, Keys: Keys{
		Valid:   func(version uint64) bool { return version == published.Version && !tt.invalid },
		Age:     func(time.Time) (time.Duration, bool) { return tt.age, !tt.never },
		Refresh: func() { refreshes++ },
	}}
	c := app.NewContext(0)
	for _, k := range tt.keys {
		c.Request.Header.Add("Key", k)
	}
	r := proxy.Request{Route: &rules.Route{Name: "r", Homes: []string{"a"}, Public: tt.public}}
	refusal := s.identify(c, published, &r)
	switch {
	case refusal == nil && tt.want != "":
		t.Fatalf("accepted, want %s", tt.want)
	case refusal != nil && (refusal.Code != tt.want || refusal.Ran != fault.RanNo):
		t.Fatalf("got %v, ran %s, want %q, ran no", refusal, refusal.Ran, tt.want)
	case refusal != nil && refusal.Code == fault.NotReady && refusal.RetryAfter <= 0:
		t.Error("refused without a time to come back")
	}
	if refreshes != tt.refreshes {
		t.Errorf("asked for %d confirmations, want %d", refreshes, tt.refreshes)
	}
	if tt.want == "" && !tt.public && (r.Customer == nil || r.Customer.Name != "c" || r.Key != rules.HashKey([]byte("good"))) {
		t.Errorf("customer %v, want c with its key", r.Customer)
	}
}
