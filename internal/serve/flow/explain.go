package flow

import (
	"time"

	"github.com/hyssopspindle/hyssopspindle/internal/conf/invent"
	"github.com/hyssopspindle/hyssopspindle/internal/route/place"
)

// Row is one endpoint or region that was considered for a request.
type Row struct {
	Place string  `json:"place"`
	Kind  string  `json:"kind"`
	Load  float64 `json:"load"`
	Slots float64 `json:"slots"`
	// Note is why the request may not be sent there, empty if it may.
	Note string `json:"note,omitempty"`
}

// Explanation is the decision for a request that arrives now, with its inputs.
type Explanation struct {
	Decision string `json:"decision"`
	Place    string `json:"place,omitempty"`
	Reason   string `json:"reason,omitempty"`
	ExpectMS int64  `json:"expect_ms"`
	Rows     []Row  `json:"rows"`
}

// Explain returns the decision for a request without a prompt. It sends nothing.
func (f *Flow) Explain(now time.Time, c *invent.Caller, s *invent.Service) Explanation {
	t := &task{
		Request:  Request{Caller: c, Service: s, Deadline: now.Add(s.Timeout()), EntryRegion: f.board.Region},
		mayCross: true, start: now, inventory: f.board.Revisions.Inventory(), tried: map[string]bool{},
	}
	sc := &scratch{}
	f.mu.Lock()
	req := f.placementRequest(now, t)
	f.fillPlaces(now, t, sc)
	d := place.Decide(req, sc.candidates, sc.remotes, f.rand)
	f.mu.Unlock()
	out := Explanation{Decision: d.Kind.String(), Reason: string(d.Reason), ExpectMS: d.ExpectedLatency.Milliseconds(), Rows: []Row{}}
	for i := range sc.candidates {
		out.Rows = append(out.Rows, candidateRow(req, &sc.candidates[i]))
	}
	for i := range sc.remotes {
		out.Rows = append(out.Rows, remoteRow(&sc.remotes[i]))
	}
	switch d.Kind {
	case place.SendLocal:
		out.Place = sc.candidates[d.Index].Name
	case place.SendRemote:
		out.Place = sc.remotes[d.Index].Region
	case place.Wait, place.Refuse:
	}
	return out
}

func candidateRow(req place.Request, c *place.Candidate) Row {
	r := Row{Place: c.Name, Kind: "endpoint", Load: c.Load, Slots: float64(c.Slots)}
	switch {
	case !req.LocalAllowed:
		r.Note = "region not allowed"
	case c.Failing:
		r.Note = "failing"
	case c.Ejected:
		r.Note = "ejected"
	case c.Leaving:
		r.Note = "leaving"
	}
	return r
}

func remoteRow(m *place.RemoteRegion) Row {
	r := Row{Place: m.Region, Kind: "region", Load: m.Busy, Slots: m.Slots}
	switch {
	case !m.Reachable:
		r.Note = "no host can be reached"
	case m.Silent:
		r.Note = "silent"
	case !m.LoadKnown:
		r.Note = "no recent load"
	case !m.SpillAllowed:
		r.Note = "spill bound reached"
	}
	return r
}
