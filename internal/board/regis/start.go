package regis

// process identifies a process of an endpoint.
type process struct {
	incarnation int64
	address     string
	number      uint64
}

// setStart sets the number of an endpoint's process. A registration without an incarnation is that
// of the last known process if the address is the same: an odd field of a live endpoint is no
// restart, while a process that starts again may listen elsewhere.
func (t *Table) setStart(e *Endpoint) {
	last, known := t.starts[e.ID]
	switch {
	case known && (e.Incarnation == 0 || last.incarnation == 0) && e.Address == last.address:
		e.Incarnation = max(e.Incarnation, last.incarnation)
		e.Start = last.number
	case known && e.Incarnation != 0 && e.Incarnation == last.incarnation:
		e.Start = last.number
	default:
		if known && e.Incarnation == 0 {
			// The mark names no incarnation, or an earlier one.
			delete(t.leaving, e.ID)
		}
		if len(t.starts) >= maxGone {
			t.forgetStarts()
		}
		t.lastStart++
		e.Start = t.lastStart
	}
	t.starts[e.ID] = process{incarnation: e.Incarnation, address: e.Address, number: e.Start}
}

// forgetStarts removes the processes of endpoints that are not registered.
func (t *Table) forgetStarts() {
	for id := range t.starts {
		if _, ok := t.endpoints[id]; !ok {
			delete(t.starts, id)
		}
	}
}

// Current reports whether the process of a registration is the last one known under its id.
func (t *Table) Current(e Endpoint) bool {
	t.mu.RLock()
	defer t.mu.RUnlock()
	last, known := t.starts[e.ID]
	return !known || e.Start == 0 || e.Start == last.number
}
