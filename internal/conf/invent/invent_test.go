package invent

import (
	"errors"
	"slices"
	"strings"
	"testing"
)

const validDocument = `
[[regions]]
name = "north"
[[regions]]
name = "south"

[[centres]]
name = "n1"
region = "north"
[[centres]]
name = "s1"
region = "south"

[[hosts]]
name = "h1"
centre = "n1"
callers = "127.0.0.1:1001"
peers = "127.0.0.1:1002"

[[links]]
from = "north"
to = "south"
latency_ms = 20.0
spill = 0.5

[[services]]
name = "chat"
kind = "model"
repeatable = true

[[services]]
name = "shop"
kind = "plain"
regions = ["north"]
[[services.calls]]
method = "GET"
path = "/stock"
repeatable = true

[[endpoints]]
name = "e1"
service = "chat"
centre = "n1"
address = "127.0.0.1:1003"
slots = 4

[[callers]]
name = "app"
key_hash = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa"
region = "north"
services = ["chat"]
residency = ["north"]
`

func accept(text string) (*Inventory, error) {
	return Accept(1, []Source{{Name: "doc", Data: []byte(text)}})
}

func TestAcceptValid(t *testing.T) {
	v, err := accept(validDocument)
	if err != nil {
		t.Fatal(err)
	}
	c, _ := v.CallerByName("app")
	chat, _ := v.Service("chat")
	shop, _ := v.Service("shop")
	if !RegionAllowed(c, chat, "north") || RegionAllowed(c, chat, "south") || RegionAllowed(&Caller{}, shop, "south") {
		t.Error("the regions of the service or the residency of the caller are not applied")
	}
	if !shop.MayRetry("GET", "/stock/1") || shop.MayRetry("POST", "/stock/1") || shop.MayRetry("GET", "/x") || !chat.MayRetry("POST", "/") {
		t.Error("the retry rules of the service are not applied")
	}
	if v.Link("south", "north").LatencyMS != 20 || v.HostRegion("h1") != "north" || chat.TimeoutMS == 0 {
		t.Error("latency of the reverse link, region of the host or default timeout is wrong")
	}
	again, err := accept(validDocument)
	if err != nil || again.Digest != v.Digest {
		t.Error("accepting the same documents twice gave an error or another digest")
	}
}

// TestAcceptRejectsFaults makes one kind of fault per row by a replacement in a valid
// document, and expects a fault with that key and text and a line number.
func TestAcceptRejectsFaults(t *testing.T) {
	tests := []struct{ name, old, new, key, text string }{
		{"syntax", `name = "h1"`, `name = `, "", ""},
		{"type", `slots = 4`, `slots = "four"`, "endpoints.slots", ""},
		{"unknown key", `slots = 4`, "slots = 4\ncolour = 1", "endpoints.colour", "unknown key"},
		{"unknown table", "[[regions]]\nname = \"north\"", "[[planets]]\nname = \"x\"\n[[regions]]\nname = \"north\"", "planets", "unknown key"},
		{"missing", `address = "127.0.0.1:1003"`, ``, "endpoints[0].address", "required"},
		{"range", `slots = 4`, `slots = 0`, "endpoints[0].slots", "gte"},
		{"share", `spill = 0.5`, `spill = 1.5`, "links[0].spill", "lte"},
		{"kind", `kind = "plain"`, `kind = "magic"`, "services[1].kind", "oneof"},
		{"host name in address", `callers = "127.0.0.1:1001"`, `callers = "localhost:1001"`, "hosts[0].callers", "hostport"},
		{"port", `callers = "127.0.0.1:1001"`, `callers = "127.0.0.1:99999"`, "hosts[0].callers", "hostport"},
		{"call path", `path = "/stock"`, `path = "stock"`, "services[1].calls[0].path", "startswith"},
		{"region of centre", `region = "south"`, `region = "west"`, "centres[1].region", "not listed"},
		{"centre of host", "centre = \"n1\"\ncallers", "centre = \"zz\"\ncallers", "hosts[0].centre", "not listed"},
		{"service of endpoint", `service = "chat"`, `service = "talk"`, "endpoints[0].service", "not listed"},
		{"service outside its regions", "service = \"chat\"\ncentre = \"n1\"", "service = \"shop\"\ncentre = \"s1\"", "endpoints[0].centre", "outside"},
		{"region of caller", "region = \"north\"\nservices", "region = \"west\"\nservices", "callers[0].region", "not listed"},
		{"residency", `residency = ["north"]`, `residency = ["west"]`, "callers[0].residency", "not listed"},
		{"service of caller", `services = ["chat"]`, `services = ["talk"]`, "callers[0].services", "not listed"},
		{"key hash", `key_hash = "aaaa`, `key_hash = "zzzz`, "callers[0].key_hash", "hexadecimal"},
		{"region twice", `name = "south"`, `name = "north"`, "regions[1].name", "twice"},
		{"service twice", `name = "shop"`, `name = "chat"`, "services[1].name", "twice"},
		{"link to itself", `to = "south"`, `to = "north"`, "links[0].from", "two listed regions"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			if !strings.Contains(validDocument, tt.old) {
				t.Fatalf("validDocument does not contain %q", tt.old)
			}
			_, err := accept(strings.Replace(validDocument, tt.old, tt.new, 1))
			var rejected *Rejected
			if !errors.As(err, &rejected) {
				t.Fatalf("error is %v, want *Rejected", err)
			}
			at := slices.IndexFunc(rejected.Faults, func(f Fault) bool {
				return (f.Key == tt.key || tt.key == "") && strings.Contains(f.Text, tt.text)
			})
			if at < 0 {
				t.Fatalf("no fault with key %q and text %q in %v", tt.key, tt.text, rejected.Faults)
			}
			if f := rejected.Faults[at]; f.File != "doc" || f.Line == 0 {
				t.Errorf("fault %+v is without file doc or line number", f)
			}
		})
	}
}

func TestAcceptRejectsAddressOfTwoHosts(t *testing.T) {
	_, err := accept(validDocument + "[[hosts]]\nname = \"h2\"\ncentre = \"n1\"\ncallers = \"127.0.0.1:1001\"\npeers = \"127.0.0.1:1009\"\n")
	if err == nil || !strings.Contains(err.Error(), "belongs to host") {
		t.Fatalf("error is %v, want a fault that the address belongs to another host", err)
	}
}

func TestFaultLineIsWithinPart(t *testing.T) {
	_, err := Accept(1, []Source{
		{Name: "one", Data: []byte(validDocument)},
		{Name: "two", Data: []byte("# comment\n\n[[endpoints]]\nname = \"e2\"\nservice = \"none\"\ncentre = \"n1\"\naddress = \"127.0.0.1:1\"\nslots = 1\n")},
	})
	var rejected *Rejected
	if !errors.As(err, &rejected) || len(rejected.Faults) != 1 {
		t.Fatalf("error is %v, want *Rejected with one fault", err)
	}
	if f := rejected.Faults[0]; f.File != "two" || f.Line != 5 {
		t.Errorf("fault at %s:%d, want two:5", f.File, f.Line)
	}
}

func TestPartSizeLimit(t *testing.T) {
	tooLarge := validDocument + strings.Repeat("#"+strings.Repeat("x", 1000)+"\n", 1100)
	if _, err := accept(tooLarge); err == nil || !strings.Contains(err.Error(), "exceed") {
		t.Fatalf("error is %v, want a part size limit exceeded", err)
	}
	largest := validDocument + strings.Repeat("#", MaxPartBytes-len(validDocument)-1) + "\n"
	if _, err := accept(largest); err != nil {
		t.Fatalf("part of exactly the largest size was rejected: %v", err)
	}
}

func TestParseHead(t *testing.T) {
	valid, err := NewHead(3, []Source{{Name: "doc", Data: []byte(validDocument)}}).Marshal()
	if err != nil {
		t.Fatal(err)
	}
	h, err := ParseHead(valid)
	if err != nil || h.Revision != 3 || h.Parts[0].Hash != Hash([]byte(validDocument)) {
		t.Fatalf("ParseHead = %+v, %v", h, err)
	}
	for _, bad := range []string{"", "revision = 0", "revision = 1", "revision = 1\n[[parts]]\nname = \"x\"\nhash = \"y\"", "=", "revision = -1"} {
		if _, err := ParseHead([]byte(bad)); err == nil {
			t.Errorf("ParseHead(%q) gave no error", bad)
		}
	}
}

func FuzzAccept(f *testing.F) {
	f.Add([]byte(validDocument))
	f.Add([]byte("[[hosts]]\nname = 1"))
	f.Fuzz(func(t *testing.T, data []byte) {
		v, err := Accept(1, []Source{{Name: "doc", Data: data}})
		var rejected *Rejected
		if err == nil && v == nil || err != nil && !errors.As(err, &rejected) {
			t.Errorf("error is %v, want an inventory or *Rejected", err)
		}
	})
}
