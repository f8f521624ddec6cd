// Package watch is a client of two platform services: the configuration service,
// which can only be read and watched, and the host list.
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
	// callTimeout bounds a call, in addition to the wait that Head asks for.
	callTimeout      = 2 * time.Second
	maxHostListBytes = 4 << 20
)

// Platform is a client of the platform at an address, host:port.
type Platform struct{ Address string }

// Head returns the head document once its revision is above after; it returns nil
// if there is no such revision within the given wait.
func (p Platform) Head(ctx context.Context, after uint64, wait time.Duration) ([]byte, error) {
	path := "/config/head?after=" + strconv.FormatUint(after, 10) +
		"&wait_ms=" + strconv.FormatInt(wait.Milliseconds(), 10)
	status, body, err := client.Get(ctx, p.Address, path, invent.MaxPartBytes, wait+callTimeout)
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

// Part returns the part of the configuration with the given hash.
func (p Platform) Part(ctx context.Context, hash string) ([]byte, error) {
	status, body, err := client.Get(ctx, p.Address, "/config/part?hash="+hash, invent.MaxPartBytes, callTimeout)
	if err != nil {
		return nil, fmt.Errorf("read part: %w", err)
	}
	if status != http.StatusOK {
		return nil, fmt.Errorf("read part: platform answered status %d", status)
	}
	return body, nil
}

// HostEntry is a host or endpoint in the host list.
type HostEntry struct {
	Name string `json:"name"`
	// State is "live" or "leaving".
	State string `json:"state"`
}

// Leaving is the state of a host or endpoint that must get no new requests.
const Leaving = "leaving"

// HostList lists the hosts and endpoints known to the platform.
type HostList struct {
	Hosts []HostEntry `json:"hosts"`
}

// Hosts returns the host list, which can be out of date.
func (p Platform) Hosts(ctx context.Context) (HostList, error) {
	var list HostList
	status, body, err := client.Get(ctx, p.Address, "/hosts", maxHostListBytes, callTimeout)
	if err != nil {
		return list, fmt.Errorf("read host list: %w", err)
	}
	if status != http.StatusOK {
		return list, fmt.Errorf("read host list: platform answered status %d", status)
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return list, fmt.Errorf("read host list: %w", err)
	}
	return list, nil
}
