package setup

import (
	"errors"
	"strings"
	"testing"
)

const validHosted = `name = "n1"
region = "r"
centre = "c"
callers = "127.0.0.1:1"
ready = "127.0.0.1:2"
directory = "127.0.0.1:3"
peers = "127.0.0.1:4"
store = "127.0.0.1:5"
[regions]
c = "r"
`

func TestParseHosted(t *testing.T) {
	s, err := ParseHosted("f", []byte(validHosted))
	if err != nil {
		t.Fatal(err)
	}
	if s.LogLevel != "info" || s.Bounds != DefaultBounds() || s.Bounds.GracePeriod().Seconds() != 8 {
		t.Errorf("settings are %+v, want the default bounds and log level", s)
	}
}

func TestParseHostedRejectsFaults(t *testing.T) {
	tests := []struct{ name, old, text, key string }{
		{"missing", "name = \"n1\"\n", "", "name"},
		{"no address", "127.0.0.1:5", "somewhere", "store"},
		{"unknown key", "name = ", "colour = \"red\"\nname = ", "colour"},
		{"wrong type", "\"n1\"", "4", "name"},
		{"wrong region", "c = \"r\"", "c = \"other\"", "regions"},
		{"seed without port", "store = ", "seeds = [\"127.0.0.1\"]\nstore = ", "seeds[0]"},
		{"negative cores", "[regions]", "[machine]\ncores = -1\n[regions]", "machine.cores"},
		{"log level", "store = ", "log_level = \"loud\"\nstore = ", "log_level"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ParseHosted("f", []byte(strings.Replace(validHosted, tt.old, tt.text, 1)))
			var invalid *Invalid
			if !errors.As(err, &invalid) {
				t.Fatalf("error is %v, want *Invalid", err)
			}
			for _, f := range invalid.Faults {
				if f.Key == tt.key {
					return
				}
			}
			t.Errorf("no fault in %+v has key %q", invalid.Faults, tt.key)
		})
	}
}

func TestMachineCapacity(t *testing.T) {
	tests := []struct {
		name    string
		machine Machine
		want    float64
	}{
		{"unknown", Machine{}, 0},
		{"share of a core", Machine{Share: 0.25, Cores: 2}, 0.5},
		{"fast link", Machine{Share: 0.8, Cores: 1, LinkMbps: 1000}, 0.8},
		{"slow link", Machine{Share: 0.8, Cores: 1, LinkMbps: 10}, 0.2},
	}
	for _, tt := range tests {
		if got := tt.machine.Capacity(); got != tt.want {
			t.Errorf("%s: Capacity = %v, want %v", tt.name, got, tt.want)
		}
	}
}
