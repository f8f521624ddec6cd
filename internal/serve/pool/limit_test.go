package pool

import (
	"context"
	"errors"
	"testing"
	"time"
)

// TestSlowServiceTakesAllConnections: attempts at a service find no room beyond its share, those at others do up to the
// limit, and what is given back can be used again.
func TestSlowServiceTakesAllConnections(t *testing.T) {
	refused := 0
	p := New(WithLimit(8, func(string) { refused++ }))
	for n := range 6 {
		if err := p.reserve("slow"); err != nil {
			t.Fatalf("attempt %d: %v", n, err)
		}
	}
	if err := p.reserve("slow"); !errors.Is(err, ErrNoRoom) {
		t.Errorf("attempt beyond the share of a service: error %v, want %v", err, ErrNoRoom)
	}
	for range 2 {
		if err := p.reserve("quick"); err != nil {
			t.Errorf("attempt at another service: %v", err)
		}
	}
	if err := p.reserve("quick"); !errors.Is(err, ErrNoRoom) {
		t.Errorf("attempt beyond the limit: error %v, want %v", err, ErrNoRoom)
	}
	p.unreserve("slow")
	if err := p.reserve("quick"); err != nil {
		t.Errorf("attempt after another one has ended: %v", err)
	}
	if refused != 2 {
		t.Errorf("%d attempts are reported as refused, want 2", refused)
	}
}

// TestIdleConnectionsExceedTheLimit: idle connections make room for attempts.
func TestIdleConnectionsExceedTheLimit(t *testing.T) {
	p := New(WithLimit(4, func(string) {}))
	addresses := []string{listenWrites(t, nil), listenWrites(t, nil)}
	for n := range 4 {
		c, err := p.open(context.Background(), addresses[n%2])
		if err != nil {
			t.Fatal(err)
		}
		p.put(c, "", time.Duration(4-n)*time.Minute)
	}
	for used, want := range []int{3, 2, 1, 0} {
		if err := p.reserve([]string{"s1", "s2"}[used%2]); err != nil {
			t.Fatal(err)
		}
		if n := p.idleCount(); n != want {
			t.Errorf("%d attempts: %d idle connections, want %d", used+1, n, want)
		}
	}
	p.Close()
}
