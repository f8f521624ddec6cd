// Package keys is the command that makes an authority and host certificates for
// trials.
package keys

import (
	"context"
	"fmt"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hyssopspindle/hyssopspindle/internal/cmd/common"
	"github.com/hyssopspindle/hyssopspindle/internal/fleet/certs"
)

const defaultDays = 30

// Options are those of the command.
type Options struct {
	Factory *common.Factory
	Folder  string
	Hosts   []string
	Days    int
}

// New returns the command.
func New(f *common.Factory) *cli.Command {
	o := &Options{Factory: f}
	return &cli.Command{
		Name:      "keys",
		Usage:     "make an authority and host certificates for trials",
		ArgsUsage: "HOST...",
		Description: "Writes a folder for each host with the authority, the host's certificate and key,\n" +
			"and the fleet key. The authority's own key is not kept.\n\n" +
			"Example:\n  hyssopspindle keys --out keys dub-1 dub-2 cork-1",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "`FOLDER` to write into", Value: "keys", Destination: &o.Folder},
			&cli.IntFlag{Name: "days", Usage: "`DAYS` of validity", Value: defaultDays, Destination: &o.Days},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			o.Hosts = c.Args().Slice()
			return Run(o)
		},
	}
}

// Run makes the keys.
func Run(o *Options) error {
	if len(o.Hosts) == 0 {
		return common.Flagf("the name of a host is needed")
	}
	if o.Days < 1 {
		return common.Flagf("--days must be at least 1")
	}
	now := o.Factory.Now()
	life := time.Duration(o.Days) * 24 * time.Hour
	ca, err := certs.NewAuthority(now, life)
	if err != nil {
		return fmt.Errorf("make authority: %w", err)
	}
	for _, host := range o.Hosts {
		set, err := ca.Issue(host, now, life)
		if err != nil {
			return fmt.Errorf("make keys: %w", err)
		}
		if err := ca.Save(filepath.Join(o.Folder, host), set); err != nil {
			return fmt.Errorf("make keys: %w", err)
		}
	}
	fmt.Fprintf(o.Factory.Streams.Out, "wrote keys of %d hosts to %s\n", len(o.Hosts), o.Folder)
	return nil
}
