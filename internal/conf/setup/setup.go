// Package setup reads and checks the settings of one host.
package setup

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"reflect"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
	"github.com/samber/oops"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
)

// Settings are the settings of a host that reads its inventory from the platform.
type Settings struct {
	// Name is the host's name in the inventory.
	Name   string `toml:"name" validate:"required,max=40"`
	Region string `toml:"region" validate:"required"`
	Centre string `toml:"centre" validate:"required"`
	// Callers, Admin and Peers are listen addresses, each an IP address and a port.
	Callers string `toml:"callers" validate:"required,hostport"`
	Admin   string `toml:"admin" validate:"required,hostport"`
	Peers   string `toml:"peers" validate:"required,hostport"`
	// Platform is the address of the platform's configuration and host list services.
	Platform string `toml:"platform" validate:"required,hostport"`
	// AdminKey is the bearer key that the admin listener requires.
	AdminKey string `toml:"admin_key" validate:"required,min=16"`
	// Keys is the folder that holds ca.pem, cert.pem, key.pem and fleet.key.
	Keys string `toml:"keys" validate:"required"`
	// LogLevel is debug, info, warn or error.
	LogLevel string `toml:"log_level" validate:"omitempty,oneof=debug info warn error"`
	// CallerCert and CallerKey are the certificate and key files of the callers'
	// listener; TLS is off without them.
	CallerCert string `toml:"caller_cert" validate:"required_with=CallerKey"`
	CallerKey  string `toml:"caller_key" validate:"required_with=CallerCert"`
	// Neighbours are peer hosts that provide the configuration while the platform is
	// unreachable.
	Neighbours []Neighbour `toml:"neighbours" validate:"dive"`
	Limits     Limits      `toml:"limits"`
	Machine    Machine     `toml:"machine"`
}

// Neighbour is a peer host from which a starting host can get its configuration.
type Neighbour struct {
	Name string `toml:"name" validate:"required"`
	// Address is the peer host's address for other hosts: IP address and port.
	Address string `toml:"address" validate:"required,hostport"`
}

// Limits are the resource limits of one host.
type Limits struct {
	// Body is the largest request body, in bytes.
	Body int `toml:"body" validate:"gte=1024,lte=67108864"`
	// Answer is the largest answer, in bytes.
	Answer int `toml:"answer" validate:"gte=1024,lte=1073741824"`
	// Header is the largest request header, in bytes.
	Header int `toml:"header" validate:"gte=1024,lte=1048576"`
	// Open is the largest number of in-flight requests.
	Open int `toml:"open" validate:"gte=1,lte=100000"`
	// OpenCaller is the largest number of in-flight requests of one caller.
	OpenCaller int `toml:"open_caller" validate:"gte=1,lte=100000"`
	// Operations is the largest number of operations that the host stores.
	Operations int `toml:"operations" validate:"gte=1,lte=10000000"`
	// KeyMinutes is how long an operation key is valid, in minutes.
	KeyMinutes int `toml:"key_minutes" validate:"gte=1,lte=10080"`
	// DrainSeconds is the longest duration of a graceful shutdown, in seconds.
	DrainSeconds int `toml:"drain_seconds" validate:"gte=1,lte=86400"`
}

// Fault is one error in a settings file.
type Fault struct {
	// Key is the dotted TOML key.
	Key string
	// Line is the line number, from 1; 0 if it is not known.
	Line int
	// Text describes the fault.
	Text string
}

// Invalid is the error for an invalid settings file; it lists every fault.
type Invalid struct {
	File   string
	Faults []Fault
}

// Error implements error.
func (e *Invalid) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "settings %s have %d faults", e.File, len(e.Faults))
	for _, f := range e.Faults {
		fmt.Fprintf(&b, "\n  line %d: %s: %s", f.Line, f.Key, f.Text)
	}
	return b.String()
}

// Default returns the defaults of the settings that a file leaves out.
func Default() Settings {
	return Settings{
		LogLevel: "info",
		Limits: Limits{
			Body: 4 << 20, Answer: 64 << 20, Header: 32 << 10,
			Open: 4096, OpenCaller: 512, Operations: 200_000,
			KeyMinutes: 24 * 60, DrainSeconds: 15 * 60,
		},
	}
}

// DrainTimeout returns the longest duration of a graceful shutdown.
func (l Limits) DrainTimeout() time.Duration { return time.Duration(l.DrainSeconds) * time.Second }

// KeyValidity returns how long an operation key is valid.
func (l Limits) KeyValidity() time.Duration { return time.Duration(l.KeyMinutes) * time.Minute }

// Load reads and validates a settings file.
func Load(file string) (Settings, error) {
	data, err := readFile(file)
	if err != nil {
		return Settings{}, err
	}
	s, err := Parse(file, data)
	if err != nil {
		return Settings{}, fmt.Errorf("load settings: %w", err)
	}
	return s, nil
}

func readFile(file string) ([]byte, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, oops.In("setup").Wrapf(err, "read settings file")
	}
	return data, nil
}

// Parse decodes and validates the contents of a settings file. Its error is an
// *Invalid that lists every fault.
func Parse(file string, data []byte) (Settings, error) {
	s := Default()
	err := parse(file, data, &s, "Settings.", func() []Fault { return checkConflicts(&s) })
	if err != nil {
		return Settings{}, err
	}
	return s, nil
}

// parse decodes settings into dst, which holds the defaults, and validates each
// field. crossCheck then checks fields against each other. typePrefix is the name of
// the type of dst and a dot, which the validator puts before field names.
func parse(file string, data []byte, dst any, typePrefix string, crossCheck func() []Fault) error {
	dec := toml.NewDecoder(bytes.NewReader(data))
	dec.DisallowUnknownFields()
	faults := decodeFaults(dec.Decode(dst))
	if len(faults) == 0 || onlyUnknownKeys(faults) {
		faults = append(faults, checkFields(dst, typePrefix)...)
		faults = append(faults, crossCheck()...)
	}
	if len(faults) > 0 {
		return &Invalid{File: file, Faults: faults}
	}
	return nil
}

const unknownKey = "unknown key"

func onlyUnknownKeys(faults []Fault) bool {
	for _, f := range faults {
		if f.Text != unknownKey {
			return false
		}
	}
	return true
}

func decodeFaults(err error) []Fault {
	if err == nil {
		return nil
	}
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var out []Fault
		for i := range strict.Errors {
			row, _ := strict.Errors[i].Position()
			out = append(out, Fault{Key: strings.Join(strict.Errors[i].Key(), "."), Line: row, Text: unknownKey})
		}
		return out
	}
	var dec *toml.DecodeError
	if errors.As(err, &dec) {
		row, _ := dec.Position()
		return []Fault{{Key: strings.Join(dec.Key(), "."), Line: row, Text: dec.Error()}}
	}
	return []Fault{{Text: err.Error()}}
}

// checkFields validates each field of a settings struct and removes typePrefix from
// the keys of the faults.
func checkFields(s any, typePrefix string) []Fault {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string { return f.Tag.Get("toml") })
	err := v.RegisterValidation("hostport", func(fl validator.FieldLevel) bool {
		return invent.HostPort(fl.Field().String())
	})
	if err != nil {
		return []Fault{{Text: err.Error()}}
	}
	var list validator.ValidationErrors
	if !errors.As(v.Struct(s), &list) {
		return nil
	}
	var out []Fault
	for _, e := range list {
		key := strings.TrimPrefix(e.Namespace(), typePrefix)
		out = append(out, Fault{Key: key, Text: strings.TrimSpace("must satisfy " + e.Tag() + " " + e.Param())})
	}
	return out
}

func checkConflicts(s *Settings) []Fault {
	var out []Fault
	if s.Callers != "" && s.Callers == s.Admin {
		out = append(out, Fault{Key: "admin", Text: "is the same address as callers"})
	}
	if s.Platform != "" && (s.Platform == s.Callers || s.Platform == s.Admin) {
		out = append(out, Fault{Key: "platform", Text: "is the same address as callers or admin"})
	}
	if s.Limits.OpenCaller > s.Limits.Open {
		out = append(out, Fault{Key: "limits.open_caller", Text: "exceeds limits.open"})
	}
	return out
}
