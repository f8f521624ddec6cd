// Package entry implements the entry command, which shows the hosts that a caller
// should use.
package entry

import (
	"context"
	"fmt"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/hyssopspindle/hyssopspindle/internal/cmd/common"
	"github.com/hyssopspindle/hyssopspindle/internal/load/agent"
)

// Options holds the command's flags and dependencies.
type Options struct {
	Factory *common.Factory
	Hosts   []string
	Key     string
	JSON    bool
}

// New returns the entry command.
func New(f *common.Factory) *cli.Command {
	o := &Options{Factory: f}
	return &cli.Command{
		Name:        "entry",
		Usage:       "show the hosts that a caller should use",
		Description: "Example:\n  hyssopspindle entry --host 127.0.0.1:7101 --key KEY",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "host", Usage: "`ADDRESS` of a host to ask", Required: true, Destination: &o.Hosts},
			&cli.StringFlag{Name: "key", Usage: "bearer `KEY`", Sources: cli.EnvVars("HYSSOPSPINDLE_KEY"), Required: true, Destination: &o.Key},
			&cli.BoolFlag{Name: "json", Usage: "print JSON", Destination: &o.JSON},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return Run(ctx, o) },
	}
}

// Run asks the given hosts in turn and prints the first answer.
func Run(ctx context.Context, o *Options) error {
	a := &agent.Agent{Seeds: o.Hosts, Key: o.Key}
	answer, err := a.Entry(ctx)
	if err != nil {
		return fmt.Errorf("request to hosts %v: %w", o.Hosts, err)
	}
	if o.JSON {
		return o.Factory.Streams.PrintJSON(answer)
	}
	rows := [][]string{{"HOST", "ADDRESS", "REGION", "CENTRE", "WEIGHT"}}
	for _, h := range answer.Hosts {
		rows = append(rows, []string{h.Host, h.Address, h.Region, h.Centre, strconv.FormatFloat(h.Weight, 'f', 1, 64)})
	}
	return o.Factory.Streams.Table(rows)
}
