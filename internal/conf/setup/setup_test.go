package setup

import (
	"errors"
	"strings"
	"testing"
)

const validSettings = `name = "dub-1"
region = "dublin"
centre = "dub-a"
callers = "127.0.0.1:7101"
admin = "127.0.0.1:7201"
peers = "127.0.0.1:7301"
platform = "127.0.0.1:7000"
admin_key = "0123456789abcdef"
keys = "keys/dub-1"
`

func TestParse(t *testing.T) {
	s, err := Parse("f", []byte(validSettings))
	if err != nil {
		t.Fatal(err)
	}
	if s.Limits != Default().Limits || s.LogLevel != "info" {
		t.Errorf("settings are %+v, want the default limits and log level", s)
	}
}

func TestParseRejectsFaults(t *testing.T) {
	tests := []struct{ name, old, new, key string }{
		{"missing", `region = "dublin"`, ``, "region"},
		{"unknown key", `region = "dublin"`, "region = \"dublin\"\ncolour = 1", "colour"},
		{"type", `name = "dub-1"`, `name = 1`, "name"},
		{"syntax", `name = "dub-1"`, `name = "dub-1`, ""},
		{"host name", `127.0.0.1:7101`, `localhost:7101`, "callers"},
		{"no port", `127.0.0.1:7301`, `127.0.0.1`, "peers"},
		{"short key", `0123456789abcdef`, `short`, "admin_key"},
		{"level", `keys = `, "log_level = \"loud\"\nkeys = ", "log_level"},
		{"same address twice", `127.0.0.1:7201`, `127.0.0.1:7101`, "admin"},
		{"platform address in use", `127.0.0.1:7000`, `127.0.0.1:7101`, "platform"},
		{"range", `keys = "keys/dub-1"`, "keys = \"k\"\n[limits]\nopen = 0", "limits.open"},
		{"limit of a caller above the total", `keys = "keys/dub-1"`, "keys = \"k\"\n[limits]\nopen = 5\nopen_caller = 6", "limits.open_caller"},
		{"certificate without key", `keys = `, "caller_cert = \"c\"\nkeys = ", "caller_key"},
		{"neighbour", `keys = "keys/dub-1"`, "keys = \"k\"\n[[neighbours]]\nname = \"x\"\naddress = \"y\"", "neighbours[0].address"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := Parse("f", []byte(strings.Replace(validSettings, tt.old, tt.new, 1)))
			var invalid *Invalid
			if !errors.As(err, &invalid) {
				t.Fatalf("error is %v, want *Invalid", err)
			}
			for _, f := range invalid.Faults {
				if f.Key == tt.key || tt.key == "" {
					return
				}
			}
			t.Errorf("no fault has key %q: %v", tt.key, err)
		})
	}
}

func TestParseReportsAllFaults(t *testing.T) {
	_, err := Parse("f", []byte("name = \"x\"\ncolour = 1\ncallers = \"nowhere\"\n"))
	for _, want := range []string{"colour", "region", "callers", "admin_key"} {
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("error %v does not mention %q", err, want)
		}
	}
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := Parse("f", data)
		var invalid *Invalid
		if err != nil && !errors.As(err, &invalid) {
			t.Errorf("error is %v, want *Invalid", err)
		}
	})
}
