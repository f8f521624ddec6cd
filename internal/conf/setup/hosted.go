package setup

import (
	"fmt"
	"time"
)

// Hosted are the settings of a host that the platform places in a data centre. The
// host reads routes and endpoints from the platform's store and discovers other hosts
// through seeds.
type Hosted struct {
	Name   string `toml:"name" validate:"required,max=80"`
	Region string `toml:"region" validate:"required"`
	Centre string `toml:"centre" validate:"required"`
	// Callers, Ready and Directory are the listen addresses of the HTTP servers; Peers is
	// the one for peer hosts.
	Callers   string `toml:"callers" validate:"required,hostport"`
	Ready     string `toml:"ready" validate:"required,hostport"`
	Directory string `toml:"directory" validate:"required,hostport"`
	Peers     string `toml:"peers" validate:"required,hostport"`
	// Metrics is the listen address of the metrics server; empty turns it off.
	Metrics string `toml:"metrics" validate:"omitempty,hostport"`
	// Store is the address of the platform's store.
	Store string `toml:"store" validate:"required,hostport"`
	// Seeds are the addresses of peer hosts through which the host joins the fleet; not
	// all of them need to be alive.
	Seeds []string `toml:"seeds" validate:"dive,hostport"`
	// Keys is the folder that holds the host's certificate; if empty, hosts do not
	// verify each other.
	Keys string `toml:"keys"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `toml:"log_level" validate:"omitempty,oneof=debug info warn error"`
	// Regions maps the names of data centres to their regions.
	Regions map[string]string `toml:"regions" validate:"required"`
	Bounds  Bounds            `toml:"bounds"`
	Machine Machine           `toml:"machine"`
}

// Machine is the capacity of the machine that the host runs on. Hosts with more of it take
// on more duties; a host that states none takes on the fewest.
type Machine struct {
	// Share is the share of each core that the host may use.
	Share float64 `toml:"share" validate:"gte=0"`
	// Cores is the number of cores.
	Cores float64 `toml:"cores" validate:"gte=0"`
	// LinkMbps is the bandwidth of the machine's link, in Mbit/s; 0 means that it does
	// not limit the host.
	LinkMbps float64 `toml:"link_mbps" validate:"gte=0"`
	// MemoryMB is the memory that the process may use, in MiB, and Descriptors the number of files
	// and sockets that it may have open; 0 means that the machine sets no limit.
	MemoryMB    float64 `toml:"memory_mb" validate:"eq=0|gte=64"`
	Descriptors int     `toml:"descriptors" validate:"eq=0|gte=128"`
}

// mbpsPerCore is the traffic that one core forwards, in Mbit/s. Below it, the link limits
// a host before its processor does.
const mbpsPerCore = 50

// Capacity returns the number of cores that the host can use, less if its link carries
// less than they forward.
func (m Machine) Capacity() float64 {
	cores := m.Share * m.Cores
	if m.LinkMbps > 0 {
		cores = min(cores, m.LinkMbps/mbpsPerCore)
	}
	return cores
}

// Bounds are the limits that the platform sets for its hosts.
type Bounds struct {
	// GraceS is the time from SIGTERM to SIGKILL, in seconds.
	GraceS float64 `toml:"grace_s" validate:"gt=0"`
	// RetryRatio, RetryWindowS and RetrySlack bound the retries for a service over all
	// hosts: in a window of RetryWindowS seconds at most RetryRatio times the number of
	// its requests, plus RetrySlack.
	RetryRatio   float64 `toml:"retry_ratio" validate:"gte=0"`
	RetryWindowS float64 `toml:"retry_window_s" validate:"gt=0"`
	RetrySlack   float64 `toml:"retry_slack" validate:"gte=0"`
	// ColdOver and ColdSlack bound the requests per second at a cold endpoint over all
	// hosts: at most ColdOver times the ColdRate of its service plus ColdSlack.
	ColdOver  float64 `toml:"cold_over" validate:"gte=0"`
	ColdSlack float64 `toml:"cold_slack" validate:"gte=0"`
	// DirectoryTTLS is the longest time to live of a directory answer, in seconds.
	DirectoryTTLS float64 `toml:"directory_ttl_s" validate:"gt=0"`
	// StrictKeys makes a host refuse customers' requests unless it has confirmed within RevokeMS,
	// in milliseconds, that its configuration is the newest.
	StrictKeys bool    `toml:"strict_keys"`
	RevokeMS   float64 `toml:"revoke_ms" validate:"gt=0"`
	// QuotaWindowS, QuotaOver and QuotaSlack bound what a customer's requests may use over all
	// hosts: in a window of QuotaWindowS seconds, what its quota allows times 1 + QuotaOver, plus
	// QuotaSlack.
	QuotaWindowS float64 `toml:"quota_window_s" validate:"gt=0"`
	QuotaOver    float64 `toml:"quota_over" validate:"gte=0"`
	QuotaSlack   float64 `toml:"quota_slack" validate:"gte=0"`
	// BeatMS is the time in which each endpoint renews its registration, in milliseconds, and HistoryS
	// that for which the store keeps its history, in seconds; 0 if not known.
	BeatMS   float64 `toml:"beat_ms" validate:"gte=0"`
	HistoryS float64 `toml:"history_s" validate:"gte=0"`
}

// Beat returns the time in which each endpoint renews its registration.
func (b Bounds) Beat() time.Duration { return time.Duration(b.BeatMS * float64(time.Millisecond)) }

// History returns the time for which the store keeps its history.
func (b Bounds) History() time.Duration { return time.Duration(b.HistoryS * float64(time.Second)) }

// RevokePeriod returns the longest time for which a key may be served after it was taken away.
func (b Bounds) RevokePeriod() time.Duration {
	return time.Duration(b.RevokeMS * float64(time.Millisecond))
}

// QuotaWindow returns the window of customers' quotas.
func (b Bounds) QuotaWindow() time.Duration {
	return time.Duration(b.QuotaWindowS * float64(time.Second))
}

// GracePeriod returns the time from SIGTERM to SIGKILL.
func (b Bounds) GracePeriod() time.Duration { return time.Duration(b.GraceS * float64(time.Second)) }

// DefaultBounds returns the bounds for a platform that sets none.
func DefaultBounds() Bounds {
	return Bounds{
		GraceS: 8, RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 50,
		ColdOver: 1.5, ColdSlack: 3, DirectoryTTLS: 5, RevokeMS: 5000, QuotaWindowS: 8, QuotaOver: 0.25,
	}
}

// LoadHosted reads and validates a settings file.
func LoadHosted(file string) (Hosted, error) {
	data, err := readFile(file)
	if err != nil {
		return Hosted{}, err
	}
	s, err := ParseHosted(file, data)
	if err != nil {
		return Hosted{}, fmt.Errorf("load settings: %w", err)
	}
	return s, nil
}

// ParseHosted decodes and validates the contents of a settings file. Its error is
// an *Invalid that lists every fault.
func ParseHosted(file string, data []byte) (Hosted, error) {
	s := Hosted{LogLevel: "info", Bounds: DefaultBounds()}
	if err := parse(file, data, &s, "Hosted.", func() []Fault { return checkRegion(&s) }); err != nil {
		return Hosted{}, err
	}
	return s, nil
}

func checkRegion(s *Hosted) []Fault {
	if s.Regions != nil && s.Regions[s.Centre] != s.Region {
		return []Fault{{Key: "regions", Text: "does not map this host's data centre to its region"}}
	}
	return nil
}
