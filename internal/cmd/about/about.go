// Package about implements the version command.
package about

import (
	"context"
	"fmt"
	"runtime"

	"github.com/urfave/cli/v3"

	"github.com/hyssopspindle/hyssopspindle/internal/cmd/common"
)

// New returns the version command.
func New(f *common.Factory) *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(context.Context, *cli.Command) error {
			fmt.Fprintf(f.Streams.Out, "hyssopspindle %s (%s %s/%s)\n", f.Version, runtime.Version(), runtime.GOOS, runtime.GOARCH)
			return nil
		},
	}
}
