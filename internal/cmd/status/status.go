// Package status implements the status command, which shows the state of a host and
// of its region's endpoints.
package status

import (
	"context"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hyssopspindle/hyssopspindle/internal/cmd/common"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/admin"
)

// New returns the status command.
func New(f *common.Factory) *cli.Command {
	return common.NewView(f, "status", "show the state of a host and its region's endpoints",
		"hyssopspindle status --settings dub-1.toml", Run)
}

// View is the JSON output of the command.
type View struct {
	State     admin.State      `json:"state"`
	Endpoints []admin.Endpoint `json:"endpoints"`
}

// Run shows the state.
func Run(ctx context.Context, o *common.ViewOptions) error {
	var v View
	if err := o.Factory.GetJSON(ctx, o.Admin, "/admin/state", nil, &v.State); err != nil {
		return err
	}
	if err := o.Factory.GetJSON(ctx, o.Admin, "/admin/endpoints", nil, &v.Endpoints); err != nil {
		return err
	}
	if o.Admin.JSON {
		return o.Factory.Streams.PrintJSON(v)
	}
	s := v.State
	err := o.Factory.Streams.Table([][]string{
		{"host", s.Host},
		{"place", s.Region + " / " + s.Centre},
		{"ready", strconv.FormatBool(s.Ready)},
		{"leaving", strconv.FormatBool(s.Leaving)},
		{"open requests", strconv.Itoa(s.InFlight)},
		{"operations", strconv.Itoa(s.Operations)},
		{"pauses", strconv.FormatUint(s.Pauses, 10)},
		{"revision", strconv.FormatUint(s.Revision, 10)},
		{"uptime", (time.Duration(s.UptimeMS) * time.Millisecond).Round(time.Second).String()},
		{},
	})
	if err != nil {
		return err
	}
	rows := [][]string{{"ENDPOINT", "SERVICE", "CENTRE", "SLOTS", "LOAD", "OWN", "REPORT AGE", "NOTE"}}
	for _, e := range v.Endpoints {
		rows = append(rows, []string{
			e.Name, e.Service, e.Centre, strconv.Itoa(e.Slots),
			strconv.FormatFloat(e.Load, 'f', 1, 64), strconv.Itoa(e.InFlight),
			(time.Duration(e.AgeMS) * time.Millisecond).String(),
			common.TextIf(e.Ejected, "ejected ") + common.TextIf(e.Leaving, "leaving"),
		})
	}
	return o.Factory.Streams.Table(rows)
}
