// Package config is the command that shows the configuration in force at a host.
package config

import (
	"context"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hyssopspindle/hyssopspindle/internal/cmd/common"
	"github.com/hyssopspindle/hyssopspindle/internal/ops/admin"
)

// Options are those of the command.
type Options struct {
	Factory *common.Factory
	Admin   common.AdminOptions
}

// New returns the command.
func New(f *common.Factory) *cli.Command {
	o := &Options{Factory: f}
	return &cli.Command{
		Name:        "config",
		Usage:       "show the configuration in force at a host",
		Description: "Example:\n  hyssopspindle config --settings dub-1.toml --json",
		Flags:       common.AdminFlags(&o.Admin),
		Action:      func(ctx context.Context, _ *cli.Command) error { return Run(ctx, o) },
	}
}

// Run shows the configuration.
func Run(ctx context.Context, o *Options) error {
	var c admin.Config
	if err := o.Factory.Ask(ctx, o.Admin, "/admin/config", nil, &c); err != nil {
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
