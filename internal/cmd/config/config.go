// Package config implements the config command, which shows the configuration in
// force at a host.
package config

import (
	"context"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hyssopspindle/hyssopspindle/internal/cmd/common"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/admin"
)

// New returns the config command.
func New(f *common.Factory) *cli.Command {
	return common.NewView(f, "config", "show the configuration in force at a host",
		"hyssopspindle config --settings dub-1.toml --json", Run)
}

// Run shows the configuration.
func Run(ctx context.Context, o *common.ViewOptions) error {
	var c admin.Config
	if err := o.Factory.GetJSON(ctx, o.Admin, "/admin/config", nil, &c); err != nil {
		return err
	}
	if o.Admin.JSON {
		return o.Factory.Streams.PrintJSON(c)
	}
	rows := [][]string{
		{"revision", strconv.FormatUint(c.Revision, 10)},
		{"digest", c.Digest},
		{"in force for", (time.Duration(c.SinceMS) * time.Millisecond).Round(time.Millisecond).String()},
		{"parts", strconv.Itoa(c.Parts)},
	}
	if c.Rejected != "" {
		rows = append(rows, []string{"not accepted", c.Rejected})
	}
	return o.Factory.Streams.Table(rows)
}
