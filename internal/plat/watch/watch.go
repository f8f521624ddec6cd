// Package watch reads the platform's services: the configuration service, which
// can only be read and watched, and the host list.
package watch

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/client"
)

const (
	callTimeout = 2 * time.Second
	hostsLimit  = 4 << 20
)

// Platform is a reader of the platform at one address.
type Platform struct{ Address string }

// Head returns the head document if its revision is above after, waiting for
// one at most the given time; nil if there is none.
func (p Platform) Head(ctx context.Context, after uint64, wait time.Duration) ([]byte, error) {
	path := "/config/head?after=" + strconv.FormatUint(after, 10) +
		"&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	status, body, err := client.Get(ctx, p.Address, path, invent.MaxPart, wait+callTimeout)
	if err != nil {
		return nil, fmt.Errorf("read head: %w", err)
	}
	switch status {
	case http.StatusOK:
		return body, nil
	case http.StatusNoContent:
		return nil, nil
	}
	return nil, fmt.Errorf("read head: platform answered status %d", status)
}

// Part returns the document with the given hash.
func (p Platform) Part(ctx context.Context, hash string) ([]byte, error) {
	status, body, err := client.Get(ctx, p.Address, "/config/part?hash="+hash, invent.MaxPart, callTimeout)
	if err != nil {
		return nil, fmt.Errorf("read part: %w", err)
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("read part: platform answered status %d", status)
	}
	return body, nil
}

// Listed is one entry of the host list.
type Listed struct {
	Name string `json:"name"`
	// State is live or leaving.
	State string `json:"state"`
}

// Leaving is the state of a host or endpoint that is to get no new work.
const Leaving = "leaving"

// Roster is the host list: hosts and endpoints that the platform sees.
type Roster struct {
	Hosts []Listed `json:"hosts"`
}

// Hosts returns the host list, which may lag.
func (p Platform) Hosts(ctx context.Context) (Roster, error) {
	var r Roster
	status, body, err := client.Get(ctx, p.Address, "/hosts", hostsLimit, callTimeout)
	if err != nil {
		return r, fmt.Errorf("read host list: %w", err)
	}
	if status != http.StatusOK {
		return r, fmt.Errorf("read host list: platform answered status %d", status)
	}
	if err := json.Unmarshal(body, &r); err != nil {
		return r, fmt.Errorf("read host list: %w", err)
	}
	return r, nil
}
