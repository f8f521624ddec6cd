package setup

import (
	"fmt"
	"time"
)

// Hosted are the settings of a host whose platform gives it its place: routes and
// endpoints come from the platform's store, other hosts are found from seeds.
type Hosted struct {
	Name   string `toml:"name" validate:"required,max=80"`
	Region string `toml:"region" validate:"required"`
	Centre string `toml:"centre" validate:"required"`
	// Callers, Ready and Directory are listen addresses for HTTP, Peers for hosts.
	Callers   string `toml:"callers" validate:"required,hostport"`
	Ready     string `toml:"ready" validate:"required,hostport"`
	Directory string `toml:"directory" validate:"required,hostport"`
	Peers     string `toml:"peers" validate:"required,hostport"`
	// Metrics is the listen address for metrics; empty is none.
	Metrics string `toml:"metrics" validate:"omitempty,hostport"`
	// Store is the address of the platform's store.
	Store string `toml:"store" validate:"required,hostport"`
	// Seeds are addresses for hosts that may be alive.
	Seeds []string `toml:"seeds" validate:"dive,hostport"`
	// Keys is the folder with the host's certificate; empty is a fleet without keys.
	Keys string `toml:"keys"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `toml:"log_level" validate:"omitempty,oneof=debug info warn error"`
	// Regions maps data centres to regions.
	Regions map[string]string `toml:"regions" validate:"required"`
	Bounds  Bounds            `toml:"bounds"`
}

// Bounds are what the platform holds its hosts to.
type Bounds struct {
	// GraceS is the time from SIGTERM to SIGKILL, s.
	GraceS float64 `toml:"grace_s" validate:"gt=0"`
	// RetryRatio, RetryWindowS and RetrySlack bound the repeats of a service over
	// all hosts: the ratio of its requests in a window of so many s, and the slack.
	RetryRatio   float64 `toml:"retry_ratio" validate:"gte=0"`
	RetryWindowS float64 `toml:"retry_window_s" validate:"gt=0"`
	RetrySlack   float64 `toml:"retry_slack" validate:"gte=0"`
	// ColdOver and ColdSlack bound the requests a second at a cold endpoint: its
	// rate times the first, and the second.
	ColdOver  float64 `toml:"cold_over" validate:"gte=0"`
	ColdSlack float64 `toml:"cold_slack" validate:"gte=0"`
	// DirectoryTTLS is the longest life of a directory answer, s.
	DirectoryTTLS float64 `toml:"directory_ttl_s" validate:"gt=0"`
}

// Grace returns the time from SIGTERM to SIGKILL.
func (b Bounds) Grace() time.Duration { return time.Duration(b.GraceS * float64(time.Second)) }

// DefaultBounds are those of a platform that states none.
func DefaultBounds() Bounds {
	return Bounds{
		GraceS: 8, RetryRatio: 0.2, RetryWindowS: 10, RetrySlack: 50,
		ColdOver: 1.5, ColdSlack: 3, DirectoryTTLS: 5,
	}
}

// LoadHosted reads and checks a settings file.
func LoadHosted(file string) (Hosted, error) {
	data, err := read(file)
	if err != nil {
		return Hosted{}, err
	}
	s, err := ParseHosted(file, data)
	if err != nil {
		return Hosted{}, fmt.Errorf("load settings: %w", err)
	}
	return s, nil
}

// ParseHosted checks settings; its error is an *Invalid that names each fault.
func ParseHosted(file string, data []byte) (Hosted, error) {
	s := Hosted{LogLevel: "info", Bounds: DefaultBounds()}
	if err := parse(file, data, &s, "Hosted.", func() []Fault { return checkPlace(&s) }); err != nil {
		return Hosted{}, err
	}
	return s, nil
}

func checkPlace(s *Hosted) []Fault {
	if s.Regions != nil && s.Regions[s.Centre] != s.Region {
		return []Fault{{Key: "regions", Text: "does not place this host's data centre in its region"}}
	}
	return nil
}
