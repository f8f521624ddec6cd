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

// Fault is one reason why an inventory is not accepted.
type Fault struct {
	// File is the name of the part.
	File string `json:"file"`
	// Line counts from 1; 0 means that the fault has no place of its own.
	Line int `json:"line"`
	// Key is the dotted key.
	Key string `json:"key"`
	// Text says what is wrong.
	Text string `json:"text"`
}

// String returns the fault in the form file:line: key: text.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Text)
}

// Rejected is the error of an inventory that is not accepted.
type Rejected struct{ Faults []Fault }

// Error implements error.
func (r *Rejected) Error() string {
	lines := make([]string, len(r.Faults))
	for i, f := range r.Faults {
		lines[i] = f.String()
	}
	return fmt.Sprintf("inventory has %d faults: %s", len(r.Faults), strings.Join(lines, "; "))
}

// defaults of services, by kind.
const (
	defaultTimeoutMS  = 60_000
	defaultSilenceMS  = 10_000
	defaultQueueLimit = 256
	defaultWorkMS     = 500
)

// Accept decides whether the documents form a valid inventory. Its verdict
// depends on nothing but its arguments. The error is a *Rejected.
func Accept(revision uint64, sources []Source) (*Inventory, error) {
	a := &acceptor{out: &Inventory{Revision: revision}}
	for _, s := range sources {
		a.read(s)
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
	head, err := Bundle(revision, sources).Marshal()
	if err != nil {
		return nil, fmt.Errorf("digest: %w", err)
	}
	a.out.Digest = Hash(head)
	return a.out, nil
}

type acceptor struct {
	out    *Inventory
	places []place
	faults []Fault
}

// place says which entries of the merged document came from which source.
type place struct {
	file  string
	lines func() *lines
	table string
	first int
	count int
}

func (a *acceptor) read(s Source) {
	if len(s.Data) > MaxPart {
		a.add(Fault{File: s.Name, Text: fmt.Sprintf("%d bytes exceed the limit of %d", len(s.Data), MaxPart)})
		return
	}
	var doc Document
	dec := toml.NewDecoder(strings.NewReader(string(s.Data)))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&doc); err != nil {
		a.decodeFaults(s.Name, err)
		return
	}
	// The lines are looked up only where there is a fault to place.
	idx := sync.OnceValue(func() *lines { return indexLines(s.Data) })
	out := &a.out.doc
	a.mark(s.Name, idx, "regions", len(out.Regions), len(doc.Regions))
	a.mark(s.Name, idx, "centres", len(out.Centres), len(doc.Centres))
	a.mark(s.Name, idx, "hosts", len(out.Hosts), len(doc.Hosts))
	a.mark(s.Name, idx, "links", len(out.Links), len(doc.Links))
	a.mark(s.Name, idx, "services", len(out.Services), len(doc.Services))
	a.mark(s.Name, idx, "endpoints", len(out.Endpoints), len(doc.Endpoints))
	a.mark(s.Name, idx, "callers", len(out.Callers), len(doc.Callers))
	out.Regions = append(out.Regions, doc.Regions...)
	out.Centres = append(out.Centres, doc.Centres...)
	out.Hosts = append(out.Hosts, doc.Hosts...)
	out.Links = append(out.Links, doc.Links...)
	out.Services = append(out.Services, doc.Services...)
	out.Endpoints = append(out.Endpoints, doc.Endpoints...)
	out.Callers = append(out.Callers, doc.Callers...)
}

func (a *acceptor) mark(file string, idx func() *lines, table string, first, count int) {
	a.places = append(a.places, place{file: file, lines: idx, table: table, first: first, count: count})
}

func (a *acceptor) add(f Fault) { a.faults = append(a.faults, f) }

// at adds a fault of entry i of a table.
func (a *acceptor) at(table string, i int, key, format string, args ...any) {
	f := Fault{Key: fmt.Sprintf("%s[%d].%s", table, i, key), Text: fmt.Sprintf(format, args...)}
	for _, p := range a.places {
		if p.table == table && i >= p.first && i < p.first+p.count {
			f.File = p.file
			f.Line = p.lines().line(table, i-p.first, key)
		}
	}
	a.add(f)
}

func (a *acceptor) decodeFaults(file string, err error) {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		for i := range strict.Errors {
			e := &strict.Errors[i]
			row, _ := e.Position()
			a.add(Fault{File: file, Line: row, Key: strings.Join(e.Key(), "."), Text: "unknown key"})
		}
		return
	}
	var dec *toml.DecodeError
	if errors.As(err, &dec) {
		row, _ := dec.Position()
		a.add(Fault{File: file, Line: row, Key: strings.Join(dec.Key(), "."), Text: dec.Error()})
		return
	}
	a.add(Fault{File: file, Text: err.Error()})
}

func (a *acceptor) build() {
	a.checkFields()
	a.buildRegions()
	a.buildServices()
	a.buildCallers()
	if len(a.out.doc.Hosts) == 0 {
		a.add(Fault{Key: "hosts", Text: "no host is listed"})
	}
}

func (a *acceptor) checkFields() {
	err := newValidator().Struct(a.out.doc)
	var list validator.ValidationErrors
	if !errors.As(err, &list) {
		return
	}
	for _, e := range list {
		table, i, key := splitNamespace(e.Namespace())
		a.at(table, i, key, "%s", describe(e))
	}
}

func describe(e validator.FieldError) string {
	if e.Param() == "" {
		return fmt.Sprintf("value %v is not valid (%s)", e.Value(), e.Tag())
	}
	return fmt.Sprintf("value %v is not valid (%s %s)", e.Value(), e.Tag(), e.Param())
}

// splitNamespace reads a validator path such as Document.hosts[2].callers.
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
	v := a.out
	regions := map[string]bool{}
	for i, r := range v.doc.Regions {
		if regions[r.Name] {
			a.at("regions", i, "name", "region %q is listed twice", r.Name)
		}
		regions[r.Name] = true
	}
	v.centres = make(map[string]string, len(v.doc.Centres))
	for i, c := range v.doc.Centres {
		if _, twice := v.centres[c.Name]; twice {
			a.at("centres", i, "name", "data centre %q is listed twice", c.Name)
		}
		if !regions[c.Region] {
			a.at("centres", i, "region", "region %q is not listed", c.Region)
		}
		v.centres[c.Name] = c.Region
	}
	a.buildHosts()
	v.links = make(map[linkKey]Link, 2*len(v.doc.Links))
	for i, l := range v.doc.Links {
		if !regions[l.From] || !regions[l.To] || l.From == l.To {
			a.at("links", i, "from", "link %q to %q does not join two listed regions", l.From, l.To)
		}
		if _, twice := v.links[linkKey{l.From, l.To}]; twice {
			a.at("links", i, "from", "link %q to %q is listed twice", l.From, l.To)
		}
		v.links[linkKey{l.From, l.To}] = l
		v.links[linkKey{l.To, l.From}] = l
	}
}

func (a *acceptor) buildHosts() {
	v := a.out
	v.hosts = make(map[string]Host, len(v.doc.Hosts))
	taken := map[string]string{}
	for i, h := range v.doc.Hosts {
		if _, twice := v.hosts[h.Name]; twice {
			a.at("hosts", i, "name", "host %q is listed twice", h.Name)
		}
		if _, ok := v.centres[h.Centre]; !ok {
			a.at("hosts", i, "centre", "data centre %q is not listed", h.Centre)
		}
		for _, address := range []string{"tcp " + h.Callers, "udp " + h.Peers} {
			if other, ok := taken[address]; ok {
				a.at("hosts", i, "callers", "address %q belongs to host %q as well", address, other)
			}
			taken[address] = h.Name
		}
		v.hosts[h.Name] = h
	}
}

func (a *acceptor) buildServices() {
	v := a.out
	v.services = make(map[string]*Service, len(v.doc.Services))
	for i := range v.doc.Services {
		s := &v.doc.Services[i]
		if _, twice := v.services[s.Name]; twice {
			a.at("services", i, "name", "service %q is listed twice", s.Name)
		}
		a.checkRegions("services", i, "regions", s.Regions)
		fillDefaults(s)
		v.services[s.Name] = s
	}
	v.endpoints = make(map[string]Endpoint, len(v.doc.Endpoints))
	v.byService = make(map[string][]Endpoint, len(v.doc.Services))
	for i, e := range v.doc.Endpoints {
		if _, twice := v.endpoints[e.Name]; twice {
			a.at("endpoints", i, "name", "endpoint %q is listed twice", e.Name)
		}
		s, ok := v.services[e.Service]
		if !ok {
			a.at("endpoints", i, "service", "service %q is not listed", e.Service)
		}
		region, known := v.centres[e.Centre]
		if !known {
			a.at("endpoints", i, "centre", "data centre %q is not listed", e.Centre)
		}
		if ok && known && len(s.Regions) > 0 && !slices.Contains(s.Regions, region) {
			a.at("endpoints", i, "centre", "region %q is outside the regions of service %q", region, s.Name)
		}
		v.endpoints[e.Name] = e
		v.byService[e.Service] = append(v.byService[e.Service], e)
	}
}

func fillDefaults(s *Service) {
	s.Objective = cmp.Or(s.Objective, Latency)
	s.Policy = cmp.Or(s.Policy, Product)
	s.Queue = cmp.Or(s.Queue, Fifo)
	s.TimeoutMS = cmp.Or(s.TimeoutMS, defaultTimeoutMS)
	s.SilenceMS = cmp.Or(s.SilenceMS, defaultSilenceMS)
	s.QueueLimit = cmp.Or(s.QueueLimit, defaultQueueLimit)
	s.WorkMS = cmp.Or(s.WorkMS, defaultWorkMS)
}

func (a *acceptor) buildCallers() {
	v := a.out
	v.callers = make(map[string]*Caller, len(v.doc.Callers))
	v.byName = make(map[string]*Caller, len(v.doc.Callers))
	for i := range v.doc.Callers {
		c := &v.doc.Callers[i]
		if v.byName[c.Name] != nil {
			a.at("callers", i, "name", "caller %q is listed twice", c.Name)
		}
		v.byName[c.Name] = c
		hash := strings.ToLower(c.KeyHash)
		if _, twice := v.callers[hash]; twice {
			a.at("callers", i, "key_hash", "another caller has the same key")
		}
		a.checkRegions("callers", i, "region", []string{c.Region})
		a.checkRegions("callers", i, "residency", c.Residency)
		for _, s := range c.Services {
			if _, ok := v.services[s]; !ok {
				a.at("callers", i, "services", "service %q is not listed", s)
			}
		}
		v.callers[hash] = c
	}
}

func (a *acceptor) checkRegions(table string, i int, key string, names []string) {
	for _, name := range names {
		known := slices.ContainsFunc(a.out.doc.Regions, func(r Region) bool { return r.Name == name })
		if !known {
			a.at(table, i, key, "region %q is not listed", name)
		}
	}
}

// HostPort reports whether s is an IP number and a port.
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
