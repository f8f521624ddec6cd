package invent

import (
	"fmt"
	"reflect"
	"slices"
)

// Changes describes the differences between two inventories, except those of links, in
// one line per entry; before may be nil.
func Changes(before, after *Inventory) []string {
	if before == nil {
		before = &Inventory{}
	}
	var out []string
	out = append(out, diffEntries("region", entriesByName(before.doc.Regions), entriesByName(after.doc.Regions))...)
	out = append(out, diffEntries("centre", entriesByName(before.doc.Centres), entriesByName(after.doc.Centres))...)
	out = append(out, diffEntries("host", entriesByName(before.doc.Hosts), entriesByName(after.doc.Hosts))...)
	out = append(out, diffEntries("service", entriesByName(before.doc.Services), entriesByName(after.doc.Services))...)
	out = append(out, diffEntries("endpoint", entriesByName(before.doc.Endpoints), entriesByName(after.doc.Endpoints))...)
	out = append(out, diffEntries("caller", entriesByName(before.doc.Callers), entriesByName(after.doc.Callers))...)
	return out
}

// entriesByName indexes the entries of a slice of structs by their Name field.
func entriesByName(list any) map[string]any {
	out := map[string]any{}
	v := reflect.ValueOf(list)
	for i := range v.Len() {
		e := v.Index(i)
		out[e.FieldByName("Name").String()] = e.Interface()
	}
	return out
}

func diffEntries(kind string, before, after map[string]any) []string {
	var out []string
	for name, old := range before {
		current, ok := after[name]
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("%s %s is removed", kind, name))
		case !reflect.DeepEqual(old, current):
			out = append(out, fmt.Sprintf("%s %s changes", kind, name))
		}
	}
	for name := range after {
		if _, ok := before[name]; !ok {
			out = append(out, fmt.Sprintf("%s %s is added", kind, name))
		}
	}
	slices.Sort(out)
	return out
}
