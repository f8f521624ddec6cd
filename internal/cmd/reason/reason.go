// Package reason implements the explain command, which shows where a host would
// place a request, and why.
package reason

import (
	"context"
	"fmt"
	"net/url"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/hyssopspindle/hyssopspindle/internal/cmd/common"
	"github.com/hyssopspindle/hyssopspindle/internal/serve/flow"
)

// Options holds the command's flags and dependencies.
type Options struct {
	Factory *common.Factory
	Admin   common.AdminOptions
	Caller  string
	Service string
}

// New returns the explain command.
func New(f *common.Factory) *cli.Command {
	o := &Options{Factory: f}
	return &cli.Command{
		Name:        "explain",
		Usage:       "explain where a host would place a request now",
		Description: "Example:\n  hyssopspindle explain --settings dub-1.toml --caller rental-app --service advisor",
		Flags: append(common.AdminFlags(&o.Admin),
			&cli.StringFlag{Name: "caller", Usage: "`NAME` of the caller", Required: true, Destination: &o.Caller},
			&cli.StringFlag{Name: "service", Usage: "`NAME` of the service", Required: true, Destination: &o.Service}),
		Action: func(ctx context.Context, _ *cli.Command) error { return Run(ctx, o) },
	}
}

// Run prints the decision and the endpoints and regions considered for it.
func Run(ctx context.Context, o *Options) error {
	var e flow.Explanation
	query := url.Values{"caller": {o.Caller}, "service": {o.Service}}
	if err := o.Factory.GetJSON(ctx, o.Admin, "/admin/explain", query, &e); err != nil {
		return err
	}
	if o.Admin.JSON {
		return o.Factory.Streams.PrintJSON(e)
	}
	fmt.Fprintf(o.Factory.Streams.Out, "%s %s %s (first token expected in %d ms)\n\n", e.Decision, e.Place, e.Reason, e.ExpectMS)
	rows := [][]string{{"PLACE", "KIND", "LOAD", "SLOTS", "NOTE"}}
	for _, r := range e.Rows {
		rows = append(rows, []string{
			r.Place, r.Kind, strconv.FormatFloat(r.Load, 'f', 1, 64),
			strconv.FormatFloat(r.Slots, 'f', 0, 64), r.Note,
		})
	}
	return o.Factory.Streams.Table(rows)
}
