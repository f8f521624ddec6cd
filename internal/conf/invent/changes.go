package invent

import (
	"fmt"
	"reflect"
	"slices"
)

// Changes lists what differs between two inventories, a line each; before may be nil.
func Changes(before, after *Inventory) []string {
	if before == nil {
		before = &Inventory{}
	}
	var out []string
	out = append(out, diff("region", names(before.doc.Regions), names(after.doc.Regions))...)
	out = append(out, diff("centre", names(before.doc.Centres), names(after.doc.Centres))...)
	out = append(out, diff("host", names(before.doc.Hosts), names(after.doc.Hosts))...)
	out = append(out, diff("service", names(before.doc.Services), names(after.doc.Services))...)
	out = append(out, diff("endpoint", names(before.doc.Endpoints), names(after.doc.Endpoints))...)
	out = append(out, diff("caller", names(before.doc.Callers), names(after.doc.Callers))...)
	return out
}

// names returns the entries of a list of structs by their Name field.
func names(list any) map[string]any {
	out := map[string]any{}
	v := reflect.ValueOf(list)
	for i := range v.Len() {
		e := v.Index(i)
		out[e.FieldByName("Name").String()] = e.Interface()
	}
	return out
}

func diff(kind string, before, after map[string]any) []string {
	var out []string
	for name, was := range before {
		is, ok := after[name]
		switch {
		case !ok:
			out = append(out, fmt.Sprintf("%s %s is removed", kind, name))
		case !reflect.DeepEqual(was, is):
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
