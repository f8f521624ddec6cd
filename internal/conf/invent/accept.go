package invent

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/go-playground/validator/v10"
	"github.com/pelletier/go-toml/v2"
)

// Fault is one error in an inventory.
type Fault struct {
	// File is the name of the part that has the fault.
	File string `json:"file"`
	// Line is the line number, from 1; 0 if the fault concerns no single line.
	Line int `json:"line"`
	// Key is the dotted TOML key.
	Key string `json:"key"`
	// Text describes the fault.
	Text string `json:"text"`
}

// String returns the fault in the form file:line: key: text.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Text)
}

// Rejected is the error for an invalid inventory.
type Rejected struct{ Faults []Fault }

// Error implements error.
func (r *Rejected) Error() string {
	lines := make([]string, len(r.Faults))
	for i, f := range r.Faults {
		lines[i] = f.String()
	}
	return fmt.Sprintf("inventory has %d faults: %s", len(r.Faults), strings.Join(lines, "; "))
}

// Defaults of settings that a service leaves out.
const (
	defaultTimeoutMS     = 60_000
	defaultIdleTimeoutMS = 10_000
	defaultQueueLimit    = 256
	defaultAnswerTimeMS  = 500
)

// Accept validates the documents and returns their inventory. The result depends on
// the arguments only. The error for invalid documents is a *Rejected.
func Accept(revision uint64, sources []Source) (*Inventory, error) {
	a := &acceptor{inventory: &Inventory{Revision: revision}}
	for _, s := range sources {
		a.decode(s)
	}
	if len(a.faults) == 0 {
		a.build()
	}
	if len(a.faults) > 0 {
		slices.SortStableFunc(a.faults, func(x, y Fault) int {
			return cmp.Or(cmp.Compare(x.File, y.File), cmp.Compare(x.Line, y.Line), cmp.Compare(x.Key, y.Key))
		})
		return nil, &Rejected{Faults: a.faults}
	}
	head, err := NewHead(revision, sources).Marshal()
	if err != nil {
		return nil, fmt.Errorf("compute digest: %w", err)
	}
	a.inventory.Digest = Hash(head)
	return a.inventory, nil
}

// acceptor merges documents into one and collects the faults that it finds.
type acceptor struct {
	inventory *Inventory
	ranges    []entryRange
	faults    []Fault
}

// entryRange records that a source provided count entries of a table of the merged
// document, starting at index first.
type entryRange struct {
	file  string
	index func() *lineIndex
	table string
	first int
	count int
}

func (a *acceptor) decode(s Source) {
	if len(s.Data) > MaxPartBytes {
		a.addFault(Fault{File: s.Name, Text: fmt.Sprintf("%d bytes exceed the limit of %d", len(s.Data), MaxPartBytes)})
		return
	}
	var doc Document
	dec := toml.NewDecoder(strings.NewReader(string(s.Data)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&doc); err != nil {
		a.addDecodeFaults(s.Name, err)
		return
	}
	// The line index is computed only if a fault is reported.
	idx := sync.OnceValue(func() *lineIndex { return newLineIndex(s.Data) })
	out := &a.inventory.doc
	a.addRange(s.Name, idx, "regions", len(out.Regions), len(doc.Regions))
	a.addRange(s.Name, idx, "centres", len(out.Centres), len(doc.Centres))
	a.addRange(s.Name, idx, "hosts", len(out.Hosts), len(doc.Hosts))
	a.addRange(s.Name, idx, "links", len(out.Links), len(doc.Links))
	a.addRange(s.Name, idx, "services", len(out.Services), len(doc.Services))
	a.addRange(s.Name, idx, "endpoints", len(out.Endpoints), len(doc.Endpoints))
	a.addRange(s.Name, idx, "callers", len(out.Callers), len(doc.Callers))
	out.Regions = append(out.Regions, doc.Regions...)
	out.Centres = append(out.Centres, doc.Centres...)
	out.Hosts = append(out.Hosts, doc.Hosts...)
	out.Links = append(out.Links, doc.Links...)
	out.Services = append(out.Services, doc.Services...)
	out.Endpoints = append(out.Endpoints, doc.Endpoints...)
	out.Callers = append(out.Callers, doc.Callers...)
}

func (a *acceptor) addRange(file string, idx func() *lineIndex, table string, first, count int) {
	a.ranges = append(a.ranges, entryRange{file: file, index: idx, table: table, first: first, count: count})
}

func (a *acceptor) addFault(f Fault) { a.faults = append(a.faults, f) }

// addEntryFault adds a fault in entry i of a table of the merged document, with the
// file and line that the entry was read from.
func (a *acceptor) addEntryFault(table string, i int, key, format string, args ...any) {
	f := Fault{Key: fmt.Sprintf("%s[%d].%s", table, i, key), Text: fmt.Sprintf(format, args...)}
	for _, r := range a.ranges {
		if r.table == table && i >= r.first && i < r.first+r.count {
			f.File = r.file
			f.Line = r.index().line(table, i-r.first, key)
		}
	}
	a.addFault(f)
}

func (a *acceptor) addDecodeFaults(file string, err error) {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		for i := range strict.Errors {
			e := &strict.Errors[i]
			row, _ := e.Position()
			a.addFault(Fault{File: file, Line: row, Key: strings.Join(e.Key(), "."), Text: "unknown key"})
		}
		return
	}
	var dec *toml.DecodeError
	if errors.As(err, &dec) {
		row, _ := dec.Position()
		a.addFault(Fault{File: file, Line: row, Key: strings.Join(dec.Key(), "."), Text: dec.Error()})
		return
	}
	a.addFault(Fault{File: file, Text: err.Error()})
}

func (a *acceptor) build() {
	a.checkFields()
	a.buildRegions()
	a.buildServices()
	a.buildCallers()
	if len(a.inventory.doc.Hosts) == 0 {
		a.addFault(Fault{Key: "hosts", Text: "at least one host is required"})
	}
}

func (a *acceptor) checkFields() {
	err := newValidator().Struct(a.inventory.doc)
	var list validator.ValidationErrors
	if !errors.As(err, &list) {
		return
	}
	for _, e := range list {
		table, i, key := splitNamespace(e.Namespace())
		a.addEntryFault(table, i, key, "%s", describeFieldError(e))
	}
}

func describeFieldError(e validator.FieldError) string {
	if e.Param() == "" {
		return fmt.Sprintf("value %v is not valid (%s)", e.Value(), e.Tag())
	}
	return fmt.Sprintf("value %v is not valid (%s %s)", e.Value(), e.Tag(), e.Param())
}

// splitNamespace splits a validator path such as Document.hosts[2].callers into
// table, index and key.
func splitNamespace(ns string) (table string, index int, key string) {
	parts := strings.SplitN(ns, ".", 3)
	if len(parts) < 3 {
		return ns, 0, ""
	}
	name, rest, _ := strings.Cut(parts[1], "[")
	n, err := strconv.Atoi(strings.TrimSuffix(rest, "]"))
	if err != nil {
		return name, 0, parts[2]
	}
	return name, n, parts[2]
}

func (a *acceptor) buildRegions() {
	v := a.inventory
	regions := map[string]bool{}
	for i, r := range v.doc.Regions {
		if regions[r.Name] {
			a.addEntryFault("regions", i, "name", "region %q is listed twice", r.Name)
		}
		regions[r.Name] = true
	}
	v.regionByCentre = make(map[string]string, len(v.doc.Centres))
	for i, c := range v.doc.Centres {
		if _, duplicate := v.regionByCentre[c.Name]; duplicate {
			a.addEntryFault("centres", i, "name", "data centre %q is listed twice", c.Name)
		}
		if !regions[c.Region] {
			a.addEntryFault("centres", i, "region", "region %q is not listed", c.Region)
		}
		v.regionByCentre[c.Name] = c.Region
	}
	a.buildHosts()
	v.links = make(map[linkKey]Link, 2*len(v.doc.Links))
	for i, l := range v.doc.Links {
		if !regions[l.From] || !regions[l.To] || l.From == l.To {
			a.addEntryFault("links", i, "from", "link %q to %q does not join two listed regions", l.From, l.To)
		}
		if _, duplicate := v.links[linkKey{l.From, l.To}]; duplicate {
			a.addEntryFault("links", i, "from", "link %q to %q is listed twice", l.From, l.To)
		}
		v.links[linkKey{l.From, l.To}] = l
		v.links[linkKey{l.To, l.From}] = l
	}
}

func (a *acceptor) buildHosts() {
	v := a.inventory
	v.hosts = make(map[string]Host, len(v.doc.Hosts))
	hostByAddress := map[string]string{}
	for i, h := range v.doc.Hosts {
		if _, duplicate := v.hosts[h.Name]; duplicate {
			a.addEntryFault("hosts", i, "name", "host %q is listed twice", h.Name)
		}
		if _, ok := v.regionByCentre[h.Centre]; !ok {
			a.addEntryFault("hosts", i, "centre", "data centre %q is not listed", h.Centre)
		}
		for _, address := range []string{"tcp " + h.Callers, "udp " + h.Peers} {
			if other, ok := hostByAddress[address]; ok {
				a.addEntryFault("hosts", i, "callers", "address %q also belongs to host %q", address, other)
			}
			hostByAddress[address] = h.Name
		}
		v.hosts[h.Name] = h
	}
}

func (a *acceptor) buildServices() {
	v := a.inventory
	v.services = make(map[string]*Service, len(v.doc.Services))
	for i := range v.doc.Services {
		s := &v.doc.Services[i]
		if _, duplicate := v.services[s.Name]; duplicate {
			a.addEntryFault("services", i, "name", "service %q is listed twice", s.Name)
		}
		a.checkRegions("services", i, "regions", s.Regions)
		applyDefaults(s)
		v.services[s.Name] = s
	}
	v.endpoints = make(map[string]Endpoint, len(v.doc.Endpoints))
	v.endpointsByService = make(map[string][]Endpoint, len(v.doc.Services))
	for i, e := range v.doc.Endpoints {
		if _, duplicate := v.endpoints[e.Name]; duplicate {
			a.addEntryFault("endpoints", i, "name", "endpoint %q is listed twice", e.Name)
		}
		s, ok := v.services[e.Service]
		if !ok {
			a.addEntryFault("endpoints", i, "service", "service %q is not listed", e.Service)
		}
		region, known := v.regionByCentre[e.Centre]
		if !known {
			a.addEntryFault("endpoints", i, "centre", "data centre %q is not listed", e.Centre)
		}
		if ok && known && len(s.Regions) > 0 && !slices.Contains(s.Regions, region) {
			a.addEntryFault("endpoints", i, "centre", "region %q is outside the regions of service %q", region, s.Name)
		}
		v.endpoints[e.Name] = e
		v.endpointsByService[e.Service] = append(v.endpointsByService[e.Service], e)
	}
}

func applyDefaults(s *Service) {
	s.Objective = cmp.Or(s.Objective, Latency)
	s.Policy = cmp.Or(s.Policy, Product)
	s.Queue = cmp.Or(s.Queue, Fifo)
	s.TimeoutMS = cmp.Or(s.TimeoutMS, defaultTimeoutMS)
	s.SilenceMS = cmp.Or(s.SilenceMS, defaultIdleTimeoutMS)
	s.QueueLimit = cmp.Or(s.QueueLimit, defaultQueueLimit)
	s.WorkMS = cmp.Or(s.WorkMS, defaultAnswerTimeMS)
}

func (a *acceptor) buildCallers() {
	v := a.inventory
	v.callersByHash = make(map[string]*Caller, len(v.doc.Callers))
	v.callersByName = make(map[string]*Caller, len(v.doc.Callers))
	for i := range v.doc.Callers {
		c := &v.doc.Callers[i]
		if v.callersByName[c.Name] != nil {
			a.addEntryFault("callers", i, "name", "caller %q is listed twice", c.Name)
		}
		v.callersByName[c.Name] = c
		hash := strings.ToLower(c.KeyHash)
		if _, duplicate := v.callersByHash[hash]; duplicate {
			a.addEntryFault("callers", i, "key_hash", "another caller has the same key hash")
		}
		a.checkRegions("callers", i, "region", []string{c.Region})
		a.checkRegions("callers", i, "residency", c.Residency)
		for _, s := range c.Services {
			if _, ok := v.services[s]; !ok {
				a.addEntryFault("callers", i, "services", "service %q is not listed", s)
			}
		}
		v.callersByHash[hash] = c
	}
}

func (a *acceptor) checkRegions(table string, i int, key string, names []string) {
	for _, name := range names {
		known := slices.ContainsFunc(a.inventory.doc.Regions, func(r Region) bool { return r.Name == name })
		if !known {
			a.addEntryFault(table, i, key, "region %q is not listed", name)
		}
	}
}

// HostPort reports whether s is an IP address and a port other than 0.
func HostPort(s string) bool {
	host, port, err := net.SplitHostPort(s)
	if err != nil {
		return false
	}
	if _, err := netip.ParseAddr(host); err != nil {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n > 0
}
