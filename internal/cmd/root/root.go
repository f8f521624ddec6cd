// Package root assembles the commands of the hyssopspindle program.
package root

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/hyssopspindle/hyssopspindle/internal/cmd/about"
	"github.com/hyssopspindle/hyssopspindle/internal/cmd/attach"
	"github.com/hyssopspindle/hyssopspindle/internal/cmd/call"
	"github.com/hyssopspindle/hyssopspindle/internal/cmd/check"
	"github.com/hyssopspindle/hyssopspindle/internal/cmd/common"
	"github.com/hyssopspindle/hyssopspindle/internal/cmd/config"
	"github.com/hyssopspindle/hyssopspindle/internal/cmd/entry"
	"github.com/hyssopspindle/hyssopspindle/internal/cmd/keys"
	"github.com/hyssopspindle/hyssopspindle/internal/cmd/load"
	"github.com/hyssopspindle/hyssopspindle/internal/cmd/member"
	"github.com/hyssopspindle/hyssopspindle/internal/cmd/reason"
	"github.com/hyssopspindle/hyssopspindle/internal/cmd/serve"
	"github.com/hyssopspindle/hyssopspindle/internal/cmd/status"
	"github.com/hyssopspindle/hyssopspindle/internal/cmd/trace"
)

// New returns the program's root command.
func New(f *common.Factory) *cli.Command {
	return common.WrapUsageErrors(&cli.Command{
		Name:                  "hyssopspindle",
		Usage:                 "a multi-region inference gateway",
		Version:               f.Version,
		EnableShellCompletion: true,
		Writer:                f.Streams.Out,
		ErrWriter:             f.Streams.Err,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		Commands: []*cli.Command{
			serve.New(f), attach.New(f), check.New(f), status.New(f), member.New(f), config.New(f), reason.New(f),
			entry.New(f), call.New(f), load.New(f), load.NewReplay(f), trace.New(f), keys.New(f), about.New(f),
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Present() {
				return common.Flagf("unknown command %q", c.Args().First())
			}
			return cli.ShowAppHelp(c)
		},
	})
}

// Main runs the program and returns its exit code.
func Main(ctx context.Context, f *common.Factory, args []string) int {
	return common.ExitCode(New(f).Run(ctx, args), f.Streams.Err)
}
